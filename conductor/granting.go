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
	// tickInterval is the time between two runs of the loops that act on time-outs alone.
	tickInterval = 25 * time.Millisecond
	// grantTimeout bounds the call of a grant. It is many times the round trip, and short enough
	// that a lost answer costs little of the lease duration.
	grantTimeout = 400 * time.Millisecond
	// releaseTimeout bounds the call of a release, which waits for the requests that run on the
	// keys.
	releaseTimeout = 2500 * time.Millisecond
	// registrationLag is added to the heartbeat interval: after both, the entry of a restarted
	// server is in the store.
	registrationLag = 300 * time.Millisecond
	// verifyCheckInterval is the time between two checks whether a list of servers is due that
	// verifies their incarnations.
	verifyCheckInterval = 50 * time.Millisecond
	// minVerifyInterval is the shortest time between two such lists.
	minVerifyInterval = 300 * time.Millisecond
)

// grantLoop sends the orders that are due, each in a goroutine of its own, until ctx ends.
func (c *Conductor) grantLoop(ctx context.Context) {
	runEvery(ctx, tickInterval, c.grantTrigger, func() {
		c.mu.Lock()
		orders := c.ownership.DueOrders(c.clock())
		c.mu.Unlock()
		for _, o := range orders {
			c.tasks.Go(func(ctx context.Context) { c.executeOrder(ctx, o) })
		}
	})
}

// executeOrder sends one order, passes its outcome to the custodian, and logs and counts it.
func (c *Conductor) executeOrder(ctx context.Context, o leaser.Order) {
	outcome, handover, err := c.sendOrder(ctx, o)
	now := c.clock()
	c.mu.Lock()
	first := c.ownership.RecordOutcome(now, o, outcome, handover)
	c.mu.Unlock()
	if o.Kind == leaser.Grant && outcome == leaser.Accepted && o.Fencing {
		trigger(c.grantTrigger)
	}
	if o.Kind == leaser.Release && outcome == leaser.Accepted {
		trigger(c.planTrigger)
		trigger(c.sendTrigger)
	}
	if first || o.Kind == leaser.Release || outcome == leaser.Refused || outcome == leaser.Unknown {
		c.log.WithFields(logrus.Fields{"Subsystem": "granting", "Kind": o.Kind.String(), "Server": o.Server, "Life": o.Incarnation, "Range": o.Range.String(),
			"Epoch": o.Epoch, "Outcome": outcome.String(), "Handover": handover != "", "Error": err}).Info("order")
	}
	c.scope.Tagged(map[string]string{"Outcome": outcome.String()}).Counter("Orders").Inc(1)
}

// sendOrder sends one order over a verified connection if it is a grant. It returns the outcome
// and, for an accepted release, the handover text. The error, if any, explains an outcome other
// than Accepted.
func (c *Conductor) sendOrder(ctx context.Context, o leaser.Order) (leaser.Outcome, string, error) {
	path, body, err := c.codec.EncodeOrder(o)
	if err != nil {
		return leaser.Unsent, "", err
	}
	c.mu.Lock()
	key, orders := c.poolFor(o)
	data := c.pools[key]
	verified := c.verified[o.Server]
	c.mu.Unlock()
	if orders == nil {
		return leaser.Unsent, "", errors.New("no order connections to the backend server: its address is unknown or another server has it")
	}
	timeout := grantTimeout
	if o.Kind == leaser.Release {
		timeout = releaseTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r := &exchanger.Request{
		Method: http.MethodPost, Target: path, Host: key.address, Body: body, IDHeader: c.codec.HeaderNames.RequestID,
		Header: http.Header{"Content-Type": {"application/json"}, c.codec.HeaderNames.ExpectServer: {string(o.Server)}},
	}
	var a exchanger.Answer
	if o.Kind == leaser.Release {
		a, err = orders.Do(ctx, r)
	} else {
		a, err = c.sendVerified(ctx, o, key.address, r, orders, data, verified)
	}
	a.Close()
	if err == nil && a.Header.Get(c.codec.HeaderNames.Server) == string(o.Server) {
		c.applyNotice(registrar.Entry{ID: o.Server, Incarnation: o.Incarnation}, a)
	}
	var unsent *exchanger.UnsentError
	var tooNew *exchanger.ConnectionTooNewError
	switch {
	case errors.As(err, &tooNew):
		return leaser.Deferred, "", err
	case errors.As(err, &unsent):
		return leaser.Unsent, "", err
	case err != nil:
		return leaser.Unknown, "", err
	case a.Status == http.StatusMisdirectedRequest:
		return leaser.Unsent, "", errors.New("another backend server answers at the address")
	case a.Status == http.StatusOK:
		return leaser.Accepted, a.Header.Get(c.codec.HandoverHeader), nil
	case a.Status == http.StatusConflict, a.Status == http.StatusBadRequest:
		return leaser.Refused, "", nil
	default:
		return leaser.Unknown, "", nil
	}
}

// sendVerified sends a grant only over a connection that is likely to lead to the incarnation of the
// server that the grant is for. Such a connection is older than a list that shows this incarnation,
// by at least the time in which a new incarnation, or another server at the address, would have
// appeared in the list. It is no proof: a new incarnation that is cut off from the store appears in
// no list, and holds what it is granted. Releases, not this check, make sure that keys have one owner.
//
// A fence takes keys back, so it may go to any incarnation at the address. A release needs no such
// connection: if another process answers at the address, the incarnation that the release is for no
// longer holds the keys. Besides, a server that is leaving closes its connections after each answer.
func (c *Conductor) sendVerified(ctx context.Context, o leaser.Order, address string, r *exchanger.Request, orders, data *exchanger.Pool,
	verified verification) (exchanger.Answer, error) {
	before := verified.requestedAt.Add(-c.settings.Heartbeat - registrationLag)
	listed := verified.incarnation == o.Incarnation || o.Fencing && verified.address == address
	if !listed {
		before = time.Time{}
	}
	a, err := orders.DoDialedBefore(ctx, r, before)
	var unsent *exchanger.UnsentError
	if !errors.As(err, &unsent) {
		return a, err
	}
	if data != nil {
		a, dataErr := data.DoDialedBefore(ctx, r, before)
		if !errors.As(dataErr, &unsent) {
			return a, dataErr
		}
	}
	var tooNew *exchanger.ConnectionTooNewError
	if errors.As(err, &tooNew) {
		c.mu.Lock()
		c.requestVerification(tooNew.DialedAt)
		c.mu.Unlock()
	}
	return exchanger.Answer{}, err
}

// requestVerification requests a list of the servers at the time from which on the list proves that
// a connection dialed at dialedAt leads to the server's listed incarnation. The caller holds the lock.
func (c *Conductor) requestVerification(dialedAt time.Time) {
	at := dialedAt.Add(c.settings.Heartbeat + registrationLag + time.Millisecond)
	if c.verifyDueAt.IsZero() || at.Before(c.verifyDueAt) {
		c.verifyDueAt = at
	}
}

// prewarm opens order connections, as soon as the servers are known, to those servers that this
// instance must grant keys to. Connections need a minimum age before grants may be sent over them.
func (c *Conductor) prewarm() {
	c.mu.Lock()
	now := c.clock()
	if now.Sub(c.startedAt) > prewarmTime || c.view.table == nil {
		c.mu.Unlock()
		return
	}
	var unconnected []*exchanger.Pool
	for key, p := range c.orders {
		e, ok := c.view.entries[key.id]
		if ok && c.ownership.ShouldGrant(now, e) {
			unconnected = append(unconnected, p)
		}
	}
	if len(unconnected) > 0 {
		c.requestVerification(now)
	}
	c.mu.Unlock()
	for _, p := range unconnected {
		c.tasks.Go(func(ctx context.Context) {
			if err := p.EnsureConnection(ctx); err != nil {
				c.log.WithField("Error", err).Debug("no order connection could be opened, it is tried again")
			}
		})
	}
}

// prewarmTime is the time after the start in which order connections are opened in advance.
const prewarmTime = 1500 * time.Millisecond

// verifyLoop lists the servers when a connection awaits verification that it leads to the server's
// present incarnation.
func (c *Conductor) verifyLoop(ctx context.Context) {
	var listedAt time.Time
	runEvery(ctx, verifyCheckInterval, nil, func() {
		now := c.clock()
		if now.Sub(listedAt) < minVerifyInterval {
			return
		}
		c.prewarm()
		c.mu.Lock()
		wanted := !c.verifyDueAt.IsZero() && !now.Before(c.verifyDueAt) && c.view.storeDownAt.IsZero()
		if wanted {
			c.verifyDueAt = time.Time{}
		}
		c.mu.Unlock()
		if !wanted {
			return
		}
		listedAt = now
		page, err := c.calls(reasonVerify).List(ctx, c.kinds.Servers)
		if err != nil {
			c.recordStoreCall(c.kinds.Servers, err)
			return
		}
		c.mu.Lock()
		for _, o := range page.Objects {
			e, err := c.codec.DecodeEntry(o)
			known, listed := c.view.entries[identifier.BackendServer(o.Name)]
			if err != nil || listed && e.Incarnation != known.Incarnation && contradicts(known, e) {
				continue // Such entries are logged by readServers, and verify nothing.
			}
			c.verified[e.ID] = verification{e.Incarnation, e.Address, now}
		}
		c.mu.Unlock()
		c.applyList(c.kinds.Servers, page, now)
	})
}

// applyList replaces the mirror's copy of a kind by a list requested at a time, unless that is
// older, and reports whether it did.
func (c *Conductor) applyList(kind storer.ObjectKind, page storer.Page, requestedAt time.Time) bool {
	return c.mirrors[kind].ApplyList(newCopy(kind, page), requestedAt)
}

// listShared lists the shared objects, applies them to the mirror, and reports whether this instance's
// copy is at least as new as the list. It returns false if the call failed.
func (c *Conductor) listShared(ctx context.Context) bool {
	requestedAt := c.clock()
	page, err := c.calls(reasonShared).List(ctx, c.kinds.Shared)
	c.recordStoreCall(c.kinds.Shared, err)
	if err != nil {
		return false
	}
	return c.applyList(c.kinds.Shared, page, requestedAt)
}
