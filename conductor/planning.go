package conductor

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/gossiper"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

const (
	// planEvery is the time between two plans.
	planEvery = 100 * time.Millisecond
	// balanceEvery is the time between two plans that may move keys for balance: what the
	// last one did has to show in the rates.
	balanceEvery = 500 * time.Millisecond
	// steadyTime is the time after which a zone's granters and entries count as settled
	// again: entries that lapsed in a cut are back by then.
	steadyTime = 2500 * time.Millisecond
	// firstWait is the time without a new backend server after which a service's keys are
	// given out for the first time.
	firstWait = time.Second
	// coldCapacity is the capacity of a cold server, as a part of the requests a second that
	// it bears.
	coldCapacity = 0.5
	// leastSpeed and mostSpeed bound what latencies say of a server's speed.
	leastSpeed = 0.4
	mostSpeed  = 2.5
)

// planLoop registers this instance, keeps the rosters, and plans if that is this
// instance's task.
func (c *Conductor) planLoop(ctx context.Context) {
	var balancedAt time.Time
	every(ctx, planEvery, c.planKick, func() {
		now := c.clock()
		c.mu.Lock()
		up := c.view.storeDownAt.IsZero() && !c.view.ownAsked.IsZero()
		settled := now.Sub(c.startedAt) >= settleTime
		plans := settled && c.planner(now) == c.settings.Instance
		c.mu.Unlock()
		if !up {
			return
		}
		c.register(ctx)
		if !settled {
			return
		}
		c.keepRosters(ctx)
		if !plans {
			return
		}
		balance := now.Sub(balancedAt) >= balanceEvery
		if balance {
			balancedAt = now
		}
		c.plan(ctx, balance)
	})
}

// plan makes the next version of each keyed service's allocation.
func (c *Conductor) plan(ctx context.Context, balance bool) {
	now := c.clock()
	c.mu.Lock()
	var services []identifier.Service
	if c.view.table != nil {
		for name, s := range c.view.table.Services {
			if s.Keyed {
				services = append(services, name)
			}
		}
	}
	next := map[identifier.Service]*allocator.Allocation{}
	stale := false // A mark is newer than the newest list of rosters.
	for _, service := range services {
		if c.view.allocations[service] == nil && now.Sub(c.view.entriesAt) < firstWait {
			continue // Backend servers are still registering.
		}
		stale = stale || c.unreadMarks(service)
		if a := allocator.Plan(c.view.allocations[service], c.planInput(now, service, balance)); a != nil {
			next[service] = a
		}
	}
	c.mu.Unlock()
	if stale {
		c.listOwn(ctx)
	}
	for service, a := range next {
		data, err := a.Encode()
		if err != nil {
			c.log.WithField("Error", err).Error("allocation does not encode")
			continue
		}
		if c.write(ctx, allocationPrefix+string(service), a.Version, data) {
			c.scope.Counter("AllocationWrites").Inc(1)
		}
	}
}

// unreadMarks reports whether a segment's mark is newer than the newest list of the
// rosters: a granter may have joined before the mark without being known here.
func (c *Conductor) unreadMarks(service identifier.Service) bool {
	for key, st := range c.view.segments {
		if key.service == service && !st.movingAt.IsZero() && !c.view.ownAsked.After(st.movingAt) {
			return true
		}
	}
	return false
}

func (c *Conductor) planInput(now time.Time, service identifier.Service, balance bool) allocator.Input {
	in := allocator.Input{
		Service: service, Now: now, Balance: balance, Servers: map[identifier.BackendServer]allocator.Server{},
		Released: func(s allocator.Segment) (bool, string) { return c.released(now, service, s) },
	}
	in.Stuck = func(s allocator.Segment) (allocator.Fencer, bool) { return c.stuck(now, service, s) }
	lost := map[gossiper.LostServer]bool{}
	for _, p := range c.gossip.Live(now) {
		for _, l := range p.Lost {
			lost[l] = true
		}
	}
	usual := 0.0
	n := 0
	for _, e := range c.view.entries {
		if ms, ok := c.scheduler.Latency(e.ID); ok && e.Service == service {
			usual += ms
			n++
		}
	}
	usual /= float64(max(n, 1))
	for id, e := range c.view.entries {
		if e.Service != service {
			continue
		}
		in.Servers[id] = allocator.Server{
			Entry: e, Excluded: c.view.evacuated[e.Zone],
			Lost:     lost[gossiper.LostServer{Server: id, Life: e.Life}] || c.leaser.Lost(now, id, e.Life),
			Unsteady: !c.steady(now, e.Zone),
			Cold:     now.Before(c.coldUntil(e)),
			Capacity: c.capacity(now, e, usual),
		}
	}
	in.Steady = func(zone identifier.Zone) bool { return c.steady(now, zone) }
	if balance {
		sketches := []allocator.Sketch{}
		if counter := c.heat[service]; counter != nil {
			sketches = append(sketches, counter.Sketch(now))
		}
		for _, p := range c.gossip.Live(now) {
			sketches = append(sketches, p.Heat[service])
		}
		c.view.heat[service] = allocator.NewHeat(sketches)
	}
	in.Heat = c.view.heat[service]
	return in
}

// capacity returns the requests a second that a server can run.
func (c *Conductor) capacity(now time.Time, e registrar.Entry, usual float64) float64 {
	ms, ok := c.scheduler.Latency(e.ID)
	if !ok || usual <= 0 {
		ms, usual = 1, 1
	}
	ms = min(max(ms, usual*leastSpeed), usual*mostSpeed)
	capacity := float64(e.Slots) * 1000 / max(ms, 1)
	if now.Before(c.coldUntil(e)) {
		rate := c.view.table.Services[e.Service].ColdRate
		capacity = min(capacity, max(rate*coldCapacity, 0.1))
	}
	return capacity
}

// steady reports whether all processes on a zone's roster have been heard for a while
// and the store answers: only then does a missing entry or answer speak of the server,
// and only then can its keys be taken back soon.
func (c *Conductor) steady(now time.Time, zone identifier.Zone) bool {
	if !c.view.storeUpAt.IsZero() && now.Sub(c.view.storeUpAt) < steadyTime {
		return false
	}
	for _, h := range c.view.rosters[zone].Holders {
		if h.Instance == c.settings.Instance {
			continue
		}
		p := c.gossip.Peer(h.Instance)
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

// released reports whether every process on the roster of a segment's zone has said
// that it has nothing in force there.
func (c *Conductor) released(now time.Time, service identifier.Service, s allocator.Segment) (done bool, handover string) {
	st := c.view.segments[segmentKey{service, s.Range, s.Epoch}]
	if st == nil || st.movingAt.IsZero() || !c.view.ownAsked.After(st.movingAt) {
		return false, ""
	}
	if s.Fence != 0 {
		if s.Fencer == c.self() {
			handover, done = c.leaser.Free(now, service, s)
		} else if p := c.gossip.Peer(s.Fencer.Instance); p != nil && p.Incarnation == s.Fencer.Incarnation {
			handover, done = findRelease(p.Releases, service, s)
		}
		return done, handover
	}
	for _, h := range c.view.rosters[s.Zone].Holders {
		theirs, free := "", false
		if h.Instance == c.settings.Instance && h.Incarnation == c.settings.Incarnation {
			theirs, free = c.leaser.Free(now, service, s)
		} else if p := c.gossip.Peer(h.Instance); p != nil && p.Incarnation == h.Incarnation {
			theirs, free = findRelease(p.Releases, service, s)
		}
		if !free {
			return false, ""
		}
		if theirs != "" {
			handover = theirs
		}
	}
	return true, handover
}

const (
	// stuckAfter is the time after which keys whose granters are not all heard are taken
	// back by a fence.
	stuckAfter = 150 * time.Millisecond
	// fenceTime is the time after which a fence has failed: the owner cannot be reached.
	fenceTime = 3 * time.Second
)

// stuck decides whether a segment is taken back in another way, and by whom.
func (c *Conductor) stuck(now time.Time, service identifier.Service, s allocator.Segment) (allocator.Fencer, bool) {
	st := c.view.segments[segmentKey{service, s.Range, s.Epoch}]
	if st == nil || st.movingAt.IsZero() {
		return allocator.Fencer{}, false
	}
	if s.Fence != 0 {
		lives := s.Fencer == c.self()
		if p := c.gossip.Peer(s.Fencer.Instance); p != nil && p.Incarnation == s.Fencer.Incarnation {
			lives = now.Sub(p.HeardAt) < silentTime
		}
		if lives && now.Sub(st.roundAt) < fenceTime {
			return allocator.Fencer{}, false
		}
		return allocator.Fencer{}, true // Back to the granters' word; then maybe another fence.
	}
	if now.Sub(st.roundAt) < stuckAfter {
		return allocator.Fencer{}, false
	}
	silent := false
	var fencer allocator.Fencer
	granter := c.granter(now, s.Zone)
	for _, h := range c.view.rosters[s.Zone].Holders {
		process := allocator.Fencer{Instance: h.Instance, Incarnation: h.Incarnation}
		p := c.gossip.Peer(h.Instance)
		heard := process == c.self() || p != nil && p.Incarnation == h.Incarnation && now.Sub(p.HeardAt) < gossiper.SilentAfter
		silent = silent || !heard
		if heard && !h.Fenced && (h.Instance == granter || fencer == allocator.Fencer{}) {
			fencer = process
		}
	}
	return fencer, silent && fencer != allocator.Fencer{}
}

func findRelease(releases []allocator.Release, service identifier.Service, s allocator.Segment) (handover string, free bool) {
	for _, r := range releases {
		if r.Service == service && r.Range == s.Range && r.Epoch == s.Epoch && r.Round == s.Round {
			return r.Handover, true
		}
	}
	return "", false
}

// tickLoop decides what time alone allows.
func (c *Conductor) tickLoop(ctx context.Context) {
	every(ctx, tickEvery, nil, func() {
		now := c.clock()
		c.mu.Lock()
		lapsed := false
		for _, till := range c.view.removed {
			lapsed = lapsed || !now.Before(till)
		}
		if c.scheduler.Waiting() > 0 {
			c.scheduler.Tick(now)
		}
		c.mu.Unlock()
		if lapsed {
			c.log.WithFields(logrus.Fields{"Kind": c.kinds.Servers}).Debug("entries did not come back")
			c.changed(c.kinds.Servers)
		}
	})
}
