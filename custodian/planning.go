package custodian

import (
	"time"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/gossiper"
	"github.com/turmericlift/turmericlift/identifier"
)

const (
	// stableTime is the time after which a cell counts as stable again, once the store answers and its
	// granters have been heard from: entries that expired during a network partition are registered
	// again by then.
	stableTime = 2500 * time.Millisecond
	// stuckAfter is the time after which keys are taken back by a fence if some of their granters are
	// unresponsive.
	stuckAfter = 150 * time.Millisecond
	// fenceTimeout is the time after which a fence counts as failed, since the owner cannot be
	// reached.
	fenceTimeout = 3 * time.Second
)

// ShouldPlan reports whether this process should plan now: it is the planner, the store answers, and the
// time to hear from the others after its start has passed.
func (c *Custodian) ShouldPlan(now time.Time) bool {
	return c.StoreUp() && c.hasListed() && now.Sub(c.startedAt) >= DiscoveryTime && c.Planner(now) == c.settings.Instance
}

// CompleteInput completes the input of a plan with what this process knows. The caller has set the service,
// the servers and the request rates; the servers in the map are updated in place.
func (c *Custodian) CompleteInput(now time.Time, in allocator.Input) allocator.Input {
	in.Now, in.FirstEpoch = now, c.eras.present.FirstEpoch()
	stable := map[identifier.Cell]bool{}
	in.Stable = func(cell identifier.Cell) bool {
		if _, ok := stable[cell]; !ok {
			stable[cell] = c.Stable(now, cell)
		}
		return stable[cell]
	}
	in.Released = func(s allocator.Segment) (bool, string) { return c.released(now, in.Service, s) }
	in.Stuck = func(s allocator.Segment) (allocator.Fencer, bool) { return c.stuck(now, in.Service, s) }
	lost := map[gossiper.ServerIncarnation]bool{}
	for _, p := range c.Gossip.Live(now) {
		for _, l := range p.LostServers {
			lost[l] = true
		}
	}
	for id, s := range in.Servers {
		s.Cell = c.cellCounts.cellOf(s.Entry)
		s.Unstable = !in.Stable(s.Cell)
		s.Lost = lost[gossiper.ServerIncarnation{Server: id, Incarnation: s.Incarnation}] || c.OnRoster(s.Cell) && c.Leases.Lost(now, id, s.Incarnation)
		in.Servers[id] = s
	}
	return in
}

// HasUnconfirmedPrepare reports whether a service has a segment whose move was prepared later than the newest
// list of the rosters was requested: a granter may have joined a roster before the prepare without
// being known here.
func (c *Custodian) HasUnconfirmedPrepare(service identifier.Service) bool {
	for key, st := range c.segments {
		if key.service == service && !st.movingAt.IsZero() && !c.requestedAt.After(st.movingAt) {
			return true
		}
	}
	return false
}

// Stable reports whether a cell is stable: the store answers, and all other processes on the roster
// have been heard from, both for a while. Only then does a missing entry or answer indicate a fault of
// the server itself, and only then can the keys of the server be taken back soon.
func (c *Custodian) Stable(now time.Time, cell identifier.Cell) bool {
	if !c.environment.StoreUpAt.IsZero() && now.Sub(c.environment.StoreUpAt) < stableTime {
		return false
	}
	for _, h := range c.rosters[cell].Holders {
		if h.Instance == c.settings.Instance {
			continue
		}
		p := c.Gossip.Peer(h.Instance)
		if p == nil || now.Sub(p.HeardAt) >= c.Gossip.UnresponsiveAfter() {
			return false
		}
		if p.Incarnation != h.Incarnation {
			continue // That process has ended.
		}
		if now.Sub(p.HeardSince) < stableTime && !p.HeardSince.Equal(p.FirstHeardAt) {
			return false
		}
	}
	return true
}

// released reports whether no grant can be in force on a moving segment, and the handover if there is
// one. The fencer of the segment decides that if there is one, otherwise every process on the roster
// of its cell.
func (c *Custodian) released(now time.Time, service identifier.Service, s allocator.Segment) (done bool, handover string) {
	st := c.segments[segmentKey{service, s.Range, s.Epoch}]
	if st == nil || st.movingAt.IsZero() || !c.requestedAt.After(st.movingAt) || !c.rosterCounts(s.Cell) {
		return false, ""
	}
	if s.Fence != 0 {
		handover, done = c.releaseBy(now, s.Fencer, service, s)
		return done, handover
	}
	for _, h := range c.rosters[s.Cell].Holders {
		peerHandover, free := c.releaseBy(now, allocator.Fencer{Instance: h.Instance, Incarnation: h.Incarnation}, service, s)
		if !free {
			return false, ""
		}
		if peerHandover != "" {
			handover = peerHandover
		}
	}
	return true, handover
}

// releaseBy returns whether a process has released a moving segment, and with which handover.
func (c *Custodian) releaseBy(now time.Time, process allocator.Fencer, service identifier.Service, s allocator.Segment) (handover string, free bool) {
	if process == c.Self() {
		return c.Leases.Free(now, service, s)
	}
	p := c.Gossip.Peer(process.Instance)
	if p == nil || p.Incarnation != process.Incarnation {
		return "", false
	}
	for _, r := range p.Releases {
		if r.Service == service && r.Range == s.Range && r.Epoch == s.Epoch && r.Round == s.Round {
			return r.Handover, true
		}
	}
	return "", false
}

// stuck reports whether a segment must be taken back in another way: by a fence of the process that it
// returns, or without a fence, by releases of all granters, if that process is empty.
func (c *Custodian) stuck(now time.Time, service identifier.Service, s allocator.Segment) (allocator.Fencer, bool) {
	st := c.segments[segmentKey{service, s.Range, s.Epoch}]
	if st == nil || st.movingAt.IsZero() {
		return allocator.Fencer{}, false
	}
	if s.Fence != 0 {
		// If the fence failed, the releases of the granters count again; another fence may follow.
		return allocator.Fencer{}, !c.heardFrom(now, s.Fencer) || now.Sub(st.roundAt) >= fenceTimeout
	}
	if now.Sub(st.roundAt) < stuckAfter {
		return allocator.Fencer{}, false
	}
	unresponsive := false
	var fencer allocator.Fencer
	granter := c.Granter(now, s.Cell)
	for _, h := range c.rosters[s.Cell].Holders {
		process := allocator.Fencer{Instance: h.Instance, Incarnation: h.Incarnation}
		if !c.heardFrom(now, process) {
			unresponsive = true
			continue
		}
		if !h.Fenced() && (h.Instance == granter || fencer == allocator.Fencer{}) {
			fencer = process
		}
	}
	return fencer, unresponsive && fencer != allocator.Fencer{}
}

// heardFrom reports whether a process is this one or has sent a message recently.
func (c *Custodian) heardFrom(now time.Time, process allocator.Fencer) bool {
	if process == c.Self() {
		return true
	}
	p := c.Gossip.Peer(process.Instance)
	return p != nil && p.Incarnation == process.Incarnation && now.Sub(p.HeardAt) < c.Gossip.UnresponsiveAfter()
}
