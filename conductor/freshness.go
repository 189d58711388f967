package conductor

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/exchanger"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

// unknownViewAge is taken for the age of the view as long as backend servers or evacuations have not been read.
const unknownViewAge = time.Hour

// informedAt returns the time up to which this instance knows all changes of backend servers and evacuations; zero if it
// is told of each change, because the store answers it, or answers none of the instances. Copies from another instance
// count if the store answers that one. The caller holds the lock.
func (c *Conductor) informedAt(now time.Time) time.Time {
	switch {
	case c.mirrors[c.kinds.Servers].Revision() == 0 || c.mirrors[c.kinds.Evacuations].Revision() == 0:
		return c.startedAt.Add(-unknownViewAge)
	case c.view.storeDownAt.IsZero():
		return c.delegationInformedAt(now)
	case c.storeDownForAll(now):
		return time.Time{}
	case c.view.copiedAt.After(c.view.storeAnsweredAt):
		return c.view.copiedAt
	case c.view.storeAnsweredAt.IsZero():
		return c.startedAt
	}
	return c.view.storeAnsweredAt
}

// storeDownForAll reports whether all instances on record are live and the store answers none of them. The caller holds
// the lock.
func (c *Conductor) storeDownForAll(now time.Time) bool {
	gossip := c.ownership.Gossip
	for _, m := range c.view.members {
		if m.Ended || m.Instance == c.settings.Instance {
			continue
		}
		if p := gossip.Peer(m.Instance); p == nil || p.StoreUp || now.Sub(p.HeardAt) >= gossip.UnresponsiveAfter() {
			return false
		}
	}
	return !c.view.storeDownAt.IsZero()
}

// viewAge returns the time for which changes of backend servers and evacuations may have gone unnoticed. The caller holds
// the lock.
func (c *Conductor) viewAge(now time.Time) time.Duration {
	at := c.informedAt(now)
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}

// updateFreshness tells the scheduler how fresh the view is, and logs when the view becomes stale or fresh. The caller holds
// the lock.
func (c *Conductor) updateFreshness(now time.Time) {
	c.scheduler.SetInformedAt(c.informedAt(now))
	stale := c.scheduler.IsViewStale(now)
	if stale != c.viewWasStale {
		c.log.WithFields(logrus.Fields{"Stale": stale, "ViewAgeMs": c.viewAge(now).Milliseconds()}).Info(
			"changes of backend servers and evacuations may go unnoticed, or do not any more")
		c.viewWasStale = stale
	}
}

// healthRequest returns the request of a server's health path.
func (c *Conductor) healthRequest(e registrar.Entry, path string) *exchanger.Request {
	names := c.codec.HeaderNames
	return &exchanger.Request{Method: http.MethodGet, Target: path, Host: e.Address, IDHeader: names.RequestID, Header: http.Header{names.ExpectServer: {string(e.ID)}}}
}

// healthCallTimeout bounds a call of a server's health path, which answers at once.
const healthCallTimeout = 400 * time.Millisecond

// callHealth calls the health path of a server over a connection for requests, to learn whether the server is cold.
func (c *Conductor) callHealth(ctx context.Context, e registrar.Entry) {
	c.mu.Lock()
	p := c.pools[poolKey{e.ID, e.Incarnation, e.Address}]
	path := ""
	if c.view.table != nil {
		path = c.view.table.Services[e.Service].HealthPath
	}
	c.mu.Unlock()
	if p == nil || path == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthCallTimeout)
	defer cancel()
	askedAt := c.clock()
	a, err := p.Do(ctx, c.healthRequest(e, path))
	a.Close()
	fields := logrus.Fields{"Server": e.ID, "Service": e.Service, "EntryVersion": e.Version, "Status": a.Status}
	if err != nil {
		c.log.WithFields(fields).WithField("Error", err).Info("health call was not answered, the server may be cold")
		return
	}
	coldFor, err := c.codec.DecodeColdRemaining(a.Header)
	by := identifier.BackendServer(a.Header.Get(c.codec.HeaderNames.Server))
	if by == e.ID {
		c.applyNotice(e, a)
	}
	if by != e.ID || err != nil {
		c.log.WithFields(fields).WithFields(logrus.Fields{"AnsweredBy": by, "Error": err}).Info(
			"answer to a health call does not show whether the server is cold")
		if by != e.ID && by != "" {
			c.RecordReplaced(e, by)
		}
		return
	}
	c.scope.Counter("HealthCalls").Inc(1)
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view.table != nil { // No server is cold for longer than its service says.
		coldFor = min(coldFor, c.view.table.Services[e.Service].ColdFor)
	}
	if coldFor > 0 { // A warm server is what was believed, and HealthCalls counts the calls.
		c.log.WithFields(fields).WithFields(logrus.Fields{"ColdMs": coldFor.Milliseconds(), "ViewAgeMs": c.viewAge(now).Milliseconds()}).Info("health call shows that the server is cold")
	}
	c.scheduler.RecordHealth(now, askedAt, e.ID, e.Incarnation, coldFor)
}
