package conductor

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/exchanger"
	"github.com/turmericlift/turmericlift/gossiper"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/leaser"
	"github.com/turmericlift/turmericlift/ranker"
	"github.com/turmericlift/turmericlift/registrar"
	"github.com/turmericlift/turmericlift/storer"
)

const (
	// tickEvery is the time between two looks at what time alone allows.
	tickEvery = 25 * time.Millisecond
	// grantTimeout bounds a grant: many times the round trip, so that a lost answer costs
	// little of the hold.
	grantTimeout = 400 * time.Millisecond
	// releaseTimeout bounds a release, which waits for the work that runs on the keys.
	releaseTimeout = 2500 * time.Millisecond
	// lifeLag is added to the heartbeat: a server that was started again is in the store
	// by then.
	lifeLag = 300 * time.Millisecond
	// verifyEvery is the time between two lists of servers that are made to be sure of
	// their lives.
	verifyEvery = 300 * time.Millisecond
)

// may reports whether this process may grant in a zone now. The caller holds the lock.
func (c *Conductor) may(now time.Time, zone identifier.Zone) bool {
	h, ok := c.view.rosters[zone].Find(c.settings.Instance, c.settings.Incarnation)
	if !ok || h.Fenced || !c.joined[zone] || c.giving(now, zone) {
		return false
	}
	confirmed := c.view.ownAsked
	if relayed := c.relayed[zone]; relayed.After(confirmed) {
		confirmed = relayed
	}
	return now.Sub(confirmed) < grantAuthority
}

// self names this process.
func (c *Conductor) self() allocator.Fencer {
	return allocator.Fencer{Instance: c.settings.Instance, Incarnation: c.settings.Incarnation}
}

// giving reports whether another process that is on the roster is to grant in this
// one's place.
func (c *Conductor) giving(now time.Time, zone identifier.Zone) bool {
	to := c.granter(now, zone)
	if to == c.settings.Instance {
		return false
	}
	p := c.gossip.Peer(to)
	if p == nil {
		return false
	}
	h, ok := c.view.rosters[zone].Find(to, p.Incarnation)
	return ok && !h.Fenced
}

// granter returns the instance that is to grant in a zone: one of the zone if there is
// one. The caller holds the lock.
func (c *Conductor) granter(now time.Time, zone identifier.Zone) identifier.Instance {
	near, far := c.candidates(now, func(z identifier.Zone) bool { return z == zone })
	if top, ok := ranker.Top("granter "+string(zone), near); ok {
		return top
	}
	top, _ := ranker.Top("granter "+string(zone), far)
	return top
}

// planner returns the instance that is to plan.
func (c *Conductor) planner(now time.Time) identifier.Instance {
	near, _ := c.candidates(now, func(identifier.Zone) bool { return true })
	top, _ := ranker.Top("planner", near)
	return top
}

// candidates returns the live instances for a task that needs the store: those whose
// zone fits, and the others. Without an instance that the store answers, all count.
func (c *Conductor) candidates(now time.Time, fits func(identifier.Zone) bool) (near, far []identifier.Instance) {
	add := func(p gossiper.State) {
		switch {
		case p.Leaving:
		case fits(p.Zone):
			near = append(near, p.Instance)
		default:
			far = append(far, p.Instance)
		}
	}
	self := gossiper.State{
		Instance: c.settings.Instance, Zone: c.settings.Zone, Leaving: c.leaving,
		StoreUp: c.view.storeDownAt.IsZero() && !c.view.ownAsked.IsZero(),
	}
	states := []gossiper.State{self}
	for _, p := range c.gossip.Live(now) {
		states = append(states, p.State)
	}
	for _, s := range states {
		if s.StoreUp {
			add(s)
		}
	}
	if len(near) == 0 {
		for _, s := range states {
			if !s.StoreUp {
				add(s)
			}
		}
	}
	return near, far
}

// grantLoop sends the orders that are due.
func (c *Conductor) grantLoop(ctx context.Context) {
	every(ctx, tickEvery, c.grantKick, func() {
		now := c.clock()
		c.mu.Lock()
		var orders []leaser.Order
		for _, a := range c.view.allocations {
			orders = append(orders, c.leaser.Due(now, leaser.View{
				Allocation: a,
				Self:       c.self(),
				Holds:      c.holds,
				May:        func(zone identifier.Zone) bool { return c.may(now, zone) },
				Life: func(id identifier.BackendServer) (registrar.Life, bool) {
					e, ok := c.view.entries[id]
					return e.Life, ok
				},
			})...)
		}
		c.leaser.Forget(now, func(service identifier.Service, r identifier.Range, e identifier.Epoch) bool {
			_, ok := c.view.segments[segmentKey{service, r, e}]
			return ok
		})
		c.mu.Unlock()
		for _, o := range orders {
			c.tasks.Go(func(ctx context.Context) { c.order(ctx, o) })
		}
	})
}

// order sends one order and takes in its outcome.
func (c *Conductor) order(ctx context.Context, o leaser.Order) {
	outcome, handover, err := c.sendOrder(ctx, o)
	now := c.clock()
	c.mu.Lock()
	c.leaser.Ended(now, o, outcome, handover)
	_, moved := c.view.segments[segmentKey{o.Service, o.Range, o.Epoch}]
	st := c.view.segments[segmentKey{o.Service, o.Range, o.Epoch}]
	first := st != nil && !st.servedLogged && outcome == leaser.Accepted && o.Kind == leaser.Grant
	if first {
		st.servedLogged = true
	}
	c.mu.Unlock()
	if o.Kind == leaser.Release && outcome == leaser.Accepted {
		kick(c.planKick)
		kick(c.sendKick)
	}
	if first || o.Kind == leaser.Release || outcome == leaser.Refused || outcome == leaser.Unknown {
		c.log.WithFields(logrus.Fields{"Subsystem": "granting", "Kind": o.Kind, "Server": o.Server, "Life": o.Life, "Range": o.Range.String(),
			"Epoch": o.Epoch, "Outcome": outcome, "Handover": handover != "", "Known": moved, "Error": err}).Info("order")
	}
	c.scope.Tagged(map[string]string{"Outcome": outcome.String()}).Counter("Orders").Inc(1)
}

func (c *Conductor) sendOrder(ctx context.Context, o leaser.Order) (leaser.Outcome, string, error) {
	path, body, err := c.codec.EncodeOrder(o)
	if err != nil {
		return leaser.Unsent, "", err
	}
	c.mu.Lock()
	key, orders := c.orderPool(o.Server, o.Life)
	data := c.pools[key]
	verified := c.verified[o.Server]
	c.mu.Unlock()
	if orders == nil {
		return leaser.Unsent, "", errors.New("backend server has no address")
	}
	timeout := grantTimeout
	if o.Kind == leaser.Release {
		timeout = releaseTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r := &exchanger.Request{
		Method: http.MethodPost, Target: path, Host: key.address, Body: body,
		Header: http.Header{"Content-Type": {"application/json"}},
	}
	a, err := c.sendVerified(ctx, o, r, orders, data, verified)
	var unsent *exchanger.UnsentError
	switch {
	case errors.As(err, &unsent):
		return leaser.Unsent, "", err
	case err != nil:
		return leaser.Unknown, "", err
	case a.Status == http.StatusOK:
		return leaser.Accepted, a.Header.Get(c.codec.Handover), nil
	case a.Status == http.StatusConflict, a.Status == http.StatusBadRequest:
		return leaser.Refused, "", nil
	default:
		return leaser.Unknown, "", nil
	}
}

// sendVerified sends an order over a connection that leads to the life that the order
// is for: one that is older than a list which shows that life, by the time in which a
// new life would have shown. A release needs no such care: it takes nothing from a life
// that holds nothing.
func (c *Conductor) sendVerified(ctx context.Context, o leaser.Order, r *exchanger.Request, orders, data *exchanger.Pool,
	verified verification) (exchanger.Answer, error) {
	if o.Kind == leaser.Release || o.Fencing {
		return orders.Do(ctx, r)
	}
	before := verified.asked.Add(-c.settings.Heartbeat - lifeLag)
	if verified.life != o.Life {
		before = time.Time{}
	}
	a, err := orders.DoBefore(ctx, r, before)
	var unsent *exchanger.UnsentError
	if !errors.As(err, &unsent) {
		return a, err
	}
	if data != nil {
		a, dataErr := data.DoBefore(ctx, r, before)
		if !errors.As(dataErr, &unsent) {
			return a, dataErr
		}
	}
	c.mu.Lock()
	c.verifyAt = c.clock()
	c.mu.Unlock()
	return exchanger.Answer{}, err
}

// orderPool returns the connections for orders to a life of a server.
func (c *Conductor) orderPool(id identifier.BackendServer, life registrar.Life) (poolKey, *exchanger.Pool) {
	for key, p := range c.orders {
		if key.id == id && key.life == life {
			return key, p
		}
	}
	return poolKey{}, nil
}

// prewarm makes connections for orders to the servers of this instance's zone as soon as
// they are known: they have to be some time old before grants may be sent over them.
func (c *Conductor) prewarm() {
	c.mu.Lock()
	if c.clock().Sub(c.startedAt) > prewarmTime || c.view.table == nil {
		c.mu.Unlock()
		return
	}
	var cold []*exchanger.Pool
	for key, p := range c.orders {
		e, ok := c.view.entries[key.id]
		if ok && e.Zone == c.settings.Zone && c.view.table.Services[e.Service].Keyed {
			cold = append(cold, p)
		}
	}
	c.verifyAt = c.clock()
	c.mu.Unlock()
	for _, p := range cold {
		c.tasks.Go(func(ctx context.Context) {
			if err := p.Prepare(ctx); err != nil {
				c.log.WithField("Error", err).Debug("no connection for orders yet")
			}
		})
	}
}

// prewarmTime is the time after the start in which connections for orders are made ahead.
const prewarmTime = 1500 * time.Millisecond

// verifyLoop lists the servers while a connection waits to be known by its server's life.
func (c *Conductor) verifyLoop(ctx context.Context) {
	every(ctx, verifyEvery, nil, func() {
		c.prewarm()
		now := c.clock()
		c.mu.Lock()
		wanted := !c.verifyAt.IsZero() && now.Sub(c.verifyAt) < c.settings.Heartbeat+lifeLag && c.view.storeDownAt.IsZero()
		c.mu.Unlock()
		if !wanted {
			return
		}
		page, err := c.store.List(ctx, c.kinds.Servers)
		if err != nil {
			c.storeEnded(c.kinds.Servers, err)
			return
		}
		c.mu.Lock()
		for _, o := range page.Objects {
			if e, err := c.codec.Entry(o); err == nil { // Entries that do not decode are logged by the view.
				c.verified[e.ID] = verification{e.Life, now}
			}
		}
		c.mu.Unlock()
		c.takeList(c.kinds.Servers, page, now)
	})
}

func (c *Conductor) takeList(kind storer.ObjectKind, page storer.Page, asked time.Time) bool {
	return c.mirrors[kind].Take(copyOf(kind, page), asked)
}

// listOwn reads the system's own objects and reports whether it could.
func (c *Conductor) listOwn(ctx context.Context) bool {
	asked := c.clock()
	page, err := c.store.List(ctx, c.kinds.Own)
	c.storeEnded(c.kinds.Own, err)
	if err != nil {
		return false
	}
	return c.takeList(c.kinds.Own, page, asked)
}
