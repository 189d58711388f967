package conductor

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/exchanger"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/leaser"
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
	// verifyTick is the time between two looks at whether a list of servers is due that
	// makes sure of their lives.
	verifyTick = 50 * time.Millisecond
	// verifyEvery is the least time between two such lists.
	verifyEvery = 300 * time.Millisecond
)

// grantLoop sends the orders that are due.
func (c *Conductor) grantLoop(ctx context.Context) {
	every(ctx, tickEvery, c.grantKick, func() {
		c.mu.Lock()
		orders := c.custody.Due(c.clock())
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
	first := c.custody.Ended(now, o, outcome, handover)
	c.mu.Unlock()
	if o.Kind == leaser.Grant && outcome == leaser.Accepted && o.Fencing {
		kick(c.grantKick)
	}
	if o.Kind == leaser.Release && outcome == leaser.Accepted {
		kick(c.planKick)
		kick(c.sendKick)
	}
	if first || o.Kind == leaser.Release || outcome == leaser.Refused || outcome == leaser.Unknown {
		c.log.WithFields(logrus.Fields{"Subsystem": "granting", "Kind": o.Kind.String(), "Server": o.Server, "Life": o.Life, "Range": o.Range.String(),
			"Epoch": o.Epoch, "Outcome": outcome.String(), "Handover": handover != "", "Error": err}).Info("order")
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
	if life, ok := c.view.replaced[o.Server]; ok && life == o.Life {
		orders = nil
	}
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
		Header: http.Header{"Content-Type": {"application/json"}, c.codec.Names.ExpectServer: {string(o.Server)}},
	}
	var a exchanger.Answer
	if o.Kind == leaser.Release {
		a, err = orders.Do(ctx, r)
	} else {
		a, err = c.sendVerified(ctx, o, r, orders, data, verified)
	}
	var unsent *exchanger.UnsentError
	var young *exchanger.YoungError
	switch {
	case errors.As(err, &young):
		return leaser.Deferred, "", err
	case errors.As(err, &unsent):
		return leaser.Unsent, "", err
	case err != nil:
		return leaser.Unknown, "", err
	case a.Status == http.StatusMisdirectedRequest:
		return leaser.Unsent, "", errors.New("another backend server has the address")
	case a.Status == http.StatusOK:
		return leaser.Accepted, a.Header.Get(c.codec.Handover), nil
	case a.Status == http.StatusConflict, a.Status == http.StatusBadRequest:
		return leaser.Refused, "", nil
	default:
		return leaser.Unknown, "", nil
	}
}

// sendVerified sends a grant over a connection that leads to the life that the grant
// is for: one that is older than a list which shows that life, by the time in which a
// new life, or another server at the address, would have shown. Grants name no server,
// so anyone who has the address by now would carry them out. A release needs no such
// connection: whoever answers it at the address, the life that it is for holds the keys no
// more, and a server that leaves ends its connections after each answer.
func (c *Conductor) sendVerified(ctx context.Context, o leaser.Order, r *exchanger.Request, orders, data *exchanger.Pool,
	verified verification) (exchanger.Answer, error) {
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
	var young *exchanger.YoungError
	if errors.As(err, &young) {
		c.mu.Lock()
		c.verifyFrom(young.MadeAt)
		c.mu.Unlock()
	}
	return exchanger.Answer{}, err
}

// verifyFrom asks for a list of the servers by which a connection that was made at a time is
// known to lead to its server's life. The caller holds the lock.
func (c *Conductor) verifyFrom(madeAt time.Time) {
	at := madeAt.Add(c.settings.Heartbeat + lifeLag + time.Millisecond)
	if c.verifyAt.IsZero() || at.Before(c.verifyAt) {
		c.verifyAt = at
	}
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

// prewarm makes connections for orders to the servers that this instance is to grant to as soon as
// they are known: they have to be some time old before grants may be sent over them.
func (c *Conductor) prewarm() {
	c.mu.Lock()
	now := c.clock()
	if now.Sub(c.startedAt) > prewarmTime || c.view.table == nil {
		c.mu.Unlock()
		return
	}
	var cold []*exchanger.Pool
	for key, p := range c.orders {
		e, ok := c.view.entries[key.id]
		if ok && c.custody.Grants(now, e) {
			cold = append(cold, p)
		}
	}
	if len(cold) > 0 {
		c.verifyFrom(now)
	}
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
	var listedAt time.Time
	every(ctx, verifyTick, nil, func() {
		now := c.clock()
		if now.Sub(listedAt) < verifyEvery {
			return
		}
		c.prewarm()
		c.mu.Lock()
		wanted := !c.verifyAt.IsZero() && !now.Before(c.verifyAt) && c.view.storeDownAt.IsZero()
		if wanted {
			c.verifyAt = time.Time{}
		}
		c.mu.Unlock()
		if !wanted {
			return
		}
		listedAt = now
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
