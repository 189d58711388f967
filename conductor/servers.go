package conductor

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
	"github.com/turmericlift/turmericlift/storer"
)

// readServers applies the entries of backend servers and dates their cold and leaving times. The
// caller holds the lock.
func (c *Conductor) readServers(now time.Time, objects []storer.Object) {
	entries := make(map[identifier.BackendServer]registrar.Entry, len(objects))
	badEntries := map[string]identifier.Version{}
	doubted := map[identifier.BackendServer]bool{}
	for _, o := range objects {
		known, listed := c.view.entries[identifier.BackendServer(o.Name)]
		if listed && known.Version == o.Version {
			entries[known.ID] = known // Most entries are unchanged, and decoding is the greater part of the work.
			delete(c.view.removed, known.ID)
			continue
		}
		e, err := c.codec.DecodeEntry(o)
		if err != nil {
			badEntries[o.Name] = o.Version
			if c.view.badEntries[o.Name] != o.Version {
				c.log.WithFields(logrus.Fields{"Entry": o.Name, "Version": o.Version, "Error": err}).Warning("entry does not decode, its backend server is not used")
			}
			continue
		}
		if c.doubtful(now, e) {
			doubted[e.ID] = true
			if listed {
				entries[known.ID] = known
				delete(c.view.removed, known.ID)
			}
			continue
		}
		e = c.withNotice(e)
		entries[e.ID] = e
		delete(c.view.removed, e.ID)
		c.recordSeen(now, e)
	}
	c.retainExpired(now, entries)
	c.view.entries, c.view.badEntries = entries, badEntries
	c.forgetLeaving(now)
	c.forgetDoubts(now, doubted)
}

// recordSeen dates the cold and leaving times of an entry, unless this version of it was seen before. The caller holds the
// lock.
func (c *Conductor) recordSeen(now time.Time, e registrar.Entry) {
	s := c.view.seen[e.ID]
	if s.version == e.Version {
		return
	}
	if s.version == 0 {
		c.view.newServerSeenAt = now
	}
	coldUntil := s.coldUntil
	if s.incarnation != e.Incarnation {
		coldUntil = time.Time{}
	}
	if e.RemainingColdTime > 0 {
		coldUntil = now.Add(e.RemainingColdTime + coldMargin)
	}
	leavingSince := s.leavingSince
	if s.incarnation != e.Incarnation || e.Usable() {
		leavingSince = time.Time{}
	}
	if !e.Usable() && leavingSince.IsZero() {
		leavingSince = now
		if at, ok := c.view.leaving[serverIncarnation{e.ID, e.Incarnation}]; ok {
			leavingSince = at
		}
	}
	c.view.seen[e.ID] = seenEntry{e.Version, e.Incarnation, coldUntil, leavingSince}
	c.log.WithFields(logrus.Fields{"Server": e.ID, "Life": e.Incarnation, "Service": e.Service, "Zone": e.Zone,
		"Draining": e.State == registrar.Draining, "ColdMs": e.RemainingColdTime.Milliseconds(), "Version": e.Version}).Info("backend server registered or changed its entry")
}

// retainExpired keeps entries that are gone for the time in which they may come back. It does so
// during an outage of the store and shortly after one, when entries expire although their servers
// run.
func (c *Conductor) retainExpired(now time.Time, entries map[identifier.BackendServer]registrar.Entry) {
	for id, e := range c.view.entries {
		if _, ok := entries[id]; ok {
			continue
		}
		until, kept := c.view.removed[id]
		switch {
		case kept:
		case !c.view.storeDownAt.IsZero():
			until, kept = now.Add(reregisterTime), true
		case now.Sub(c.view.storeUpAt) < reregisterTime:
			until, kept = c.view.storeUpAt.Add(reregisterTime), true
		}
		if kept && now.Before(until) {
			c.view.removed[id] = until
			entries[id] = e
			continue
		}
		delete(c.view.removed, id)
		delete(c.view.seen, id)
		c.view.ended[id] = endedEntry{e, now}
		c.log.WithFields(logrus.Fields{"Server": id, "Life": e.Incarnation, "EntryVersion": e.Version}).Info("backend server is gone, its entry was removed")
	}
}
