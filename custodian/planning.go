package custodian

import (
	"time"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/gossiper"
	"github.com/turmericlift/turmericlift/identifier"
)

const (
	// steadyTime is the time after which a cell's granters and entries count as settled
	// again: entries that lapsed in a cut are back by then.
	steadyTime = 2500 * time.Millisecond
	// stuckAfter is the time after which keys whose granters are not all heard are taken
	// back by a fence.
	stuckAfter = 150 * time.Millisecond
	// fenceTime is the time after which a fence has failed: the owner cannot be reached.
	fenceTime = 3 * time.Second
)

// Plans reports whether planning is this process's task.
func (c *Custodian) Plans(now time.Time) bool {
	return c.StoreUp() && now.Sub(c.startedAt) >= SettleTime && c.Planner(now) == c.settings.Instance
}

// Input completes what a plan is made from. Servers and Heat are the caller's.
func (c *Custodian) Input(now time.Time, in allocator.Input) allocator.Input {
	in.Now = now
	steady := map[identifier.Cell]bool{}
	in.Steady = func(cell identifier.Cell) bool {
		if _, ok := steady[cell]; !ok {
			steady[cell] = c.Steady(now, cell)
		}
		return steady[cell]
	}
	in.Released = func(s allocator.Segment) (bool, string) { return c.released(now, in.Service, s) }
	in.Stuck = func(s allocator.Segment) (allocator.Fencer, bool) { return c.stuck(now, in.Service, s) }
	lost := map[gossiper.LostServer]bool{}
	for _, p := range c.Gossip.Live(now) {
		for _, l := range p.Lost {
			lost[l] = true
		}
	}
	for id, s := range in.Servers {
		s.Cell = c.parts.cellOf(s.Entry)
		s.Unsteady = !in.Steady(s.Cell)
		s.Lost = lost[gossiper.LostServer{Server: id, Life: s.Life}] || c.Holds(s.Cell) && c.Leases.Lost(now, id, s.Life)
		in.Servers[id] = s
	}
	return in
}

// UnreadMarks reports whether a service has a segment whose mark is newer than the
// newest list of the rosters: a granter may have joined before the mark without being
// known here.
func (c *Custodian) UnreadMarks(service identifier.Service) bool {
	for key, st := range c.segments {
		if key.service == service && !st.movingAt.IsZero() && !c.asked.After(st.movingAt) {
			return true
		}
	}
	return false
}

// Steady reports whether all processes on a cell's roster have been heard for a while
// and the store answers: only then does a missing entry or answer speak of the server,
// and only then can its keys be taken back soon.
func (c *Custodian) Steady(now time.Time, cell identifier.Cell) bool {
	if !c.world.StoreUpAt.IsZero() && now.Sub(c.world.StoreUpAt) < steadyTime {
		return false
	}
	for _, h := range c.rosters[cell].Holders {
		if h.Instance == c.settings.Instance {
			continue
		}
		p := c.Gossip.Peer(h.Instance)
		if p == nil || now.Sub(p.HeardAt) >= gossiper.SilentAfter {
			return false
		}
		if p.Incarnation != h.Incarnation {
			continue // That process has ended.
		}
		if now.Sub(p.HeardSince) < steadyTime && !p.HeardSince.Equal(p.FirstAt) {
			return false
		}
	}
	return true
}

// released reports whether nothing can be in force on a moving segment: its fencer says
// so, or every process on the roster of its cell.
func (c *Custodian) released(now time.Time, service identifier.Service, s allocator.Segment) (done bool, handover string) {
	st := c.segments[segmentKey{service, s.Range, s.Epoch}]
	if st == nil || st.movingAt.IsZero() || !c.asked.After(st.movingAt) {
		return false, ""
	}
	if s.Fence != 0 {
		handover, done = c.releaseOf(now, s.Fencer, service, s)
		return done, handover
	}
	for _, h := range c.rosters[s.Cell].Holders {
		theirs, free := c.releaseOf(now, allocator.Fencer{Instance: h.Instance, Incarnation: h.Incarnation}, service, s)
		if !free {
			return false, ""
		}
		if theirs != "" {
			handover = theirs
		}
	}
	return true, handover
}

// releaseOf returns what a process says of a moving segment.
func (c *Custodian) releaseOf(now time.Time, process allocator.Fencer, service identifier.Service, s allocator.Segment) (handover string, free bool) {
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

// stuck decides whether a segment is taken back in another way, and by whom.
func (c *Custodian) stuck(now time.Time, service identifier.Service, s allocator.Segment) (allocator.Fencer, bool) {
	st := c.segments[segmentKey{service, s.Range, s.Epoch}]
	if st == nil || st.movingAt.IsZero() {
		return allocator.Fencer{}, false
	}
	if s.Fence != 0 {
		// Back to the granters' word if it failed; then maybe another fence.
		return allocator.Fencer{}, !c.heard(now, s.Fencer) || now.Sub(st.roundAt) >= fenceTime
	}
	if now.Sub(st.roundAt) < stuckAfter {
		return allocator.Fencer{}, false
	}
	silent := false
	var fencer allocator.Fencer
	granter := c.Granter(now, s.Cell)
	for _, h := range c.rosters[s.Cell].Holders {
		process := allocator.Fencer{Instance: h.Instance, Incarnation: h.Incarnation}
		if !c.heard(now, process) {
			silent = true
			continue
		}
		if !h.Fenced() && (h.Instance == granter || fencer == allocator.Fencer{}) {
			fencer = process
		}
	}
	return fencer, silent && fencer != allocator.Fencer{}
}

// heard reports whether a process is heard now.
func (c *Custodian) heard(now time.Time, process allocator.Fencer) bool {
	if process == c.Self() {
		return true
	}
	p := c.Gossip.Peer(process.Instance)
	return p != nil && p.Incarnation == process.Incarnation && now.Sub(p.HeardAt) < gossiper.SilentAfter
}
