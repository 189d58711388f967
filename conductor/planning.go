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
	// planEvery is the time between two plans.
	planEvery = 100 * time.Millisecond
	// balanceEvery is the time between two plans that may move keys for balance: what the
	// last one did has to show in the rates.
	balanceEvery = 300 * time.Millisecond
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
		up := c.custody.StoreUp()
		settled := now.Sub(c.startedAt) >= custodian.SettleTime
		plans := c.custody.Plans(now)
		planner := c.custody.Planner(now) == c.settings.Instance
		if planner && !c.wasPlanner {
			c.mirrors[c.kinds.Config].Refresh() // Its present watch waits for long.
		}
		c.wasPlanner = planner
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
		if c.custody.Allocation(service) == nil && now.Sub(c.view.entriesAt) < firstWait {
			continue // Backend servers are still registering.
		}
		stale = stale || c.custody.UnreadMarks(service)
		if a := allocator.Plan(c.custody.Allocation(service), c.planInput(now, service, balance)); a != nil {
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
		if c.write(ctx, custodian.AllocationPrefix+string(service), a.Version, data) {
			c.scope.Counter("AllocationWrites").Inc(1)
		}
	}
}

func (c *Conductor) planInput(now time.Time, service identifier.Service, balance bool) allocator.Input {
	in := allocator.Input{Service: service, Balance: balance, Servers: map[identifier.BackendServer]allocator.Server{}}
	in.Ended = func(id identifier.BackendServer, life registrar.Life) bool {
		ended, ok := c.view.replaced[id]
		return ok && ended == life
	}
	usual := 0.0
	n := 0
	for _, e := range c.view.entries {
		if ms, ok := c.scheduler.Work(e.ID); ok && e.Service == service {
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
			Entry: e, Excluded: c.excluded(e),
			Cold:     now.Before(c.coldUntil(e)),
			Capacity: c.capacity(now, e, usual),
		}
	}
	if balance {
		sketches := []allocator.Sketch{}
		if counter := c.heat[service]; counter != nil {
			sketches = append(sketches, counter.Sketch(now))
		}
		for _, p := range c.custody.Gossip.Live(now) {
			sketches = append(sketches, p.Heat[service])
		}
		c.view.heat[service] = allocator.NewHeat(sketches)
	}
	in.Heat = c.view.heat[service]
	return c.custody.Input(now, in)
}

// capacity returns the requests a second that a server can run.
func (c *Conductor) capacity(now time.Time, e registrar.Entry, usual float64) float64 {
	ms, ok := c.scheduler.Work(e.ID)
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
