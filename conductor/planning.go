package conductor

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/custodian"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

const (
	// planInterval is the time between two plans.
	planInterval = 100 * time.Millisecond
	// rosterInterval is the shortest time between two checks of the rosters, which takes a part of a millisecond for some
	// dozens of cells: plans are triggered more often than rosters have to change.
	rosterInterval = 80 * time.Millisecond
	// balanceInterval is the time between two plans that may move keys for balance. The effect of a
	// plan must show in the request rates before the next one.
	balanceInterval = 300 * time.Millisecond
	// initialAllocationDelay is the time without a new backend server after which a service's keys
	// are allocated for the first time.
	initialAllocationDelay = time.Second
	// coldCapacity is the capacity that a cold server is planned with, as a fraction of the
	// requests per second that it can run.
	coldCapacity = 0.5
	// minSpeed and maxSpeed bound the speed of a server, relative to the others, that is derived
	// from latencies.
	minSpeed = 0.4
	maxSpeed = 2.5
)

// planLoop registers this instance, updates the rosters, and plans if this instance is the planner.
func (c *Conductor) planLoop(ctx context.Context) {
	var balancedAt, rostersAt time.Time
	runEvery(ctx, planInterval, c.planTrigger, func() {
		now := c.clock()
		c.mu.Lock()
		up := c.ownership.StoreUp()
		settled := now.Sub(c.startedAt) >= custodian.DiscoveryTime
		plans := c.ownership.ShouldPlan(now)
		// Each instance takes itself for the planner until it has heard the others.
		watches := settled && c.watchesForOthers(now)
		if watches && !c.watchedForOthers {
			c.mirrors[c.kinds.Config].Relist() // Its present watch may wait for up to watchWait.
		}
		c.watchedForOthers = watches
		c.mu.Unlock()
		if !up {
			return
		}
		c.register(ctx)
		if !settled {
			return
		}
		if now.Sub(rostersAt) >= rosterInterval {
			rostersAt = now
			c.updateRosters(ctx)
		}
		if !plans {
			return
		}
		balance := now.Sub(balancedAt) >= balanceInterval
		if balance {
			balancedAt = now
		}
		if balance {
			c.removeRecords(ctx)
		}
		c.plan(ctx, balance)
	})
}

// plan computes the next version of each keyed service's allocation and writes those that changed.
// balance permits moves that only improve the balance.
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
	stale := false // A move was prepared after the newest list of the rosters was requested.
	for _, service := range services {
		if c.ownership.Allocation(service) == nil && now.Sub(c.view.newServerSeenAt) < initialAllocationDelay {
			continue // Backend servers are still registering.
		}
		if a, pending := c.ownership.Rewrite(now, service); pending {
			if a != nil {
				next[service] = a
				c.scope.Counter("AllocationRewrites").Inc(1)
			}
			continue
		}
		stale = stale || c.ownership.HasUnconfirmedPrepare(service)
		if a := allocator.Plan(c.ownership.Allocation(service), c.planInput(now, service, balance)); a != nil {
			next[service] = a
		}
	}
	c.mu.Unlock()
	if stale {
		c.listShared(ctx)
	}
	for _, a := range next {
		if c.writeAllocation(ctx, a) {
			c.scope.Counter("AllocationWrites").Inc(1)
		}
	}
}

// planInput returns the input of a service's plan: its servers with their capacities and, if
// balance is set, newly merged request rates by key. The caller holds the lock.
func (c *Conductor) planInput(now time.Time, service identifier.Service, balance bool) allocator.Input {
	in := allocator.Input{Service: service, Balance: balance, Servers: map[identifier.BackendServer]allocator.Server{}}
	in.IncarnationEnded = func(id identifier.BackendServer, incarnation registrar.Incarnation) bool {
		replaced, ok := c.view.replaced[id]
		return ok && replaced == incarnation
	}
	meanMs := 0.0
	n := 0
	for _, e := range c.view.entries {
		if ms, ok := c.scheduler.ServiceTime(e.ID); ok && e.Service == service {
			meanMs += ms
			n++
		}
	}
	meanMs /= float64(max(n, 1))
	for id, e := range c.view.entries {
		if e.Service != service {
			continue
		}
		in.Servers[id] = allocator.Server{
			Entry: e, Excluded: c.excluded(e),
			Cold:     now.Before(c.coldUntil(e)),
			Capacity: c.capacity(now, e, meanMs),
		}
	}
	if balance {
		sketches := []allocator.Sketch{}
		if counter := c.keyCounters[service]; counter != nil {
			sketches = append(sketches, counter.Sketch(now))
		}
		for _, p := range c.ownership.Gossip.Live(now) {
			sketches = append(sketches, p.KeyRates[service])
		}
		c.view.keyRates[service] = allocator.NewKeyRates(sketches)
	}
	in.KeyRates = c.view.keyRates[service]
	return c.ownership.CompleteInput(now, in)
}

// capacity returns the requests per second that a server can run. meanMs is the mean service time
// of the service's servers in milliseconds; zero if unknown. The caller holds the lock.
func (c *Conductor) capacity(now time.Time, e registrar.Entry, meanMs float64) float64 {
	ms, ok := c.scheduler.ServiceTime(e.ID)
	if !ok || meanMs <= 0 {
		ms, meanMs = 1, 1
	}
	ms = min(max(ms, meanMs*minSpeed), meanMs*maxSpeed)
	capacity := float64(e.Slots) * 1000 / max(ms, 1)
	if now.Before(c.coldUntil(e)) {
		rate := c.view.table.Services[e.Service].ColdRate
		capacity = min(capacity, max(rate*coldCapacity, 0.1))
	}
	return capacity
}

// tickLoop acts on time-outs: waiting requests that expire, removed entries that did not come back in
// time, and doubtful entries that were not corrected.
func (c *Conductor) tickLoop(ctx context.Context) {
	runEvery(ctx, tickInterval, nil, func() {
		now := c.clock()
		c.mu.Lock()
		expired := false
		for _, until := range c.view.removed {
			expired = expired || !now.Before(until)
		}
		expired = expired || c.doubtsDue(now)
		evacuationsDue := c.evacuationsDue(now)
		if c.refreshDue {
			c.refresh(now)
		}
		c.updateDelegation(now)
		c.updateFreshness(now)
		c.scope.Gauge("ViewAge").Update(c.viewAge(now).Seconds())
		c.logSharers(now)
		if c.scheduler.WaitingCount() > 0 {
			c.scheduler.Tick(now)
		}
		probes, healthCalls := c.scheduler.ProbesDue(now), c.scheduler.HealthCallsDue(now)
		c.mu.Unlock()
		for _, e := range healthCalls {
			c.tasks.Go(func(ctx context.Context) { c.callHealth(ctx, e) })
		}
		for _, e := range probes {
			c.tasks.Go(func(ctx context.Context) { c.probe(ctx, e) })
		}
		if expired {
			c.log.WithFields(logrus.Fields{"Kind": c.kinds.Servers}).Debug("removed entries did not come back in time, or doubtful ones were not corrected")
			c.mirrorChanged(c.kinds.Servers)
		}
		if evacuationsDue {
			c.mirrorChanged(c.kinds.Evacuations)
		}
	})
}
