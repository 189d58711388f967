package conductor

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/exchanger"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

// serverIncarnation is an incarnation of a backend server.
type serverIncarnation struct {
	id          identifier.BackendServer
	incarnation registrar.Incarnation
}

// leavingRetention is how long it is remembered that a server has said that it leaves after its entry is gone. An entry that
// expired while the server runs may come back.
const leavingRetention = 10 * time.Minute

// applyNotice applies what a server says of itself in an answer to a health call or an order.
func (c *Conductor) applyNotice(e registrar.Entry, a exchanger.Answer) {
	n, err := c.codec.DecodeNotice(a.Status, a.Header)
	if err != nil {
		c.log.WithFields(logrus.Fields{"Server": e.ID, "EntryVersion": e.Version, "Error": err}).Warning("what the backend server says of itself is malformed in part")
	}
	if n.Leaving {
		now := c.clock()
		c.mu.Lock()
		c.recordLeaving(now, e)
		c.mu.Unlock()
	}
}

// recordLeaving records that a server has said in an answer that it leaves. From now on its entry counts as draining, whatever
// the store says of this incarnation or does not say. The caller holds the lock.
func (c *Conductor) recordLeaving(now time.Time, e registrar.Entry) {
	key := serverIncarnation{e.ID, e.Incarnation}
	if _, known := c.view.leaving[key]; known {
		return
	}
	c.view.leaving[key] = now
	c.scope.Counter("LeavingServers").Inc(1)
	c.log.WithFields(logrus.Fields{"Server": e.ID, "Life": e.Incarnation, "Service": e.Service, "EntryVersion": e.Version, "Waiting": c.scheduler.WaitingByServer()[e.ID]}).Info(
		"backend server says in an answer that it leaves, it gets no new requests")
	present, ok := c.view.entries[e.ID]
	if !ok || present.Incarnation != e.Incarnation || !present.Usable() {
		return
	}
	present.State = registrar.Draining
	c.view.entries[e.ID] = present
	s := c.view.seen[e.ID]
	s.leavingSince = now
	c.view.seen[e.ID] = s
	c.refresh(now)
	c.scheduler.Tick(now)
	trigger(c.planTrigger)
	trigger(c.grantTrigger)
}

// withNotice returns an entry as it counts: as draining if its server has said in an answer that it leaves. The caller holds
// the lock.
func (c *Conductor) withNotice(e registrar.Entry) registrar.Entry {
	if _, leaves := c.view.leaving[serverIncarnation{e.ID, e.Incarnation}]; leaves {
		e.State = registrar.Draining
	}
	return e
}

// forgetLeaving drops what was recorded of servers whose entries are gone for long, or which another incarnation has replaced.
// The caller holds the lock.
func (c *Conductor) forgetLeaving(now time.Time) {
	for key, at := range c.view.leaving {
		e, ok := c.view.entries[key.id]
		if ok && e.Incarnation != key.incarnation || !ok && now.Sub(at) >= leavingRetention {
			delete(c.view.leaving, key)
		}
	}
}
