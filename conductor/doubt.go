package conductor

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

// entryDoubt is about an entry that contradicts what is known of its server. The known entry stays in force.
type entryDoubt struct {
	since     time.Time
	version   identifier.Version
	coldUntil time.Time // If the entry is true after all.
}

// endedEntry is the newest entry of a server whose entry is gone.
type endedEntry struct {
	registrar.Entry
	at time.Time
}

// endedRetention is how long the newest entry of a server is remembered after it is gone, so that an older one, which the
// store may write seconds later, does not bring the server back. It is far above the time that a write may take.
const endedRetention = time.Minute

// doubtTime is how long an entry that contradicts the known one changes nothing. If the entry is late or comes from another
// writer, the server writes its own within a heartbeat interval. If it still stands afterwards it is taken for true, so that
// a server whose clock was set back, or of which a wrong entry was believed first, is used.
func (c *Conductor) doubtTime() time.Duration { return 2*c.settings.Heartbeat + registrationLag }

// contradicts reports whether an entry cannot follow an entry of the same server: it is of an earlier incarnation, or it is
// an earlier one of the same incarnation, or it moves a running process to another service, zone or address.
func contradicts(known, e registrar.Entry) bool {
	if e.Incarnation != known.Incarnation {
		return e.Incarnation < known.Incarnation
	}
	return e.Sequence < known.Sequence || e.Service != known.Service || e.Zone != known.Zone || e.Address != known.Address
}

// comesBack reports whether an entry of a server whose entry was gone is older than the last one that was known, or the same.
func comesBack(ended, e registrar.Entry) bool {
	return e.Incarnation < ended.Incarnation || e.Incarnation == ended.Incarnation && e.Sequence <= ended.Sequence
}

// doubtful reports whether an entry changes nothing for now, because it is older than what is known of the server or
// contradicts it. The caller holds the lock.
func (c *Conductor) doubtful(now time.Time, e registrar.Entry) bool {
	known, listed := c.view.entries[e.ID]
	odd := listed && contradicts(known, e)
	if ended, gone := c.view.ended[e.ID]; !listed && gone {
		odd = comesBack(ended.Entry, e)
	}
	if !odd {
		delete(c.view.doubts, e.ID)
		return false
	}
	d, ok := c.view.doubts[e.ID]
	if !ok {
		d.since = now
	}
	fields := logrus.Fields{"Server": e.ID, "Life": e.Incarnation, "Sequence": e.Sequence, "Version": e.Version, "Address": e.Address, "Service": e.Service,
		"Zone": e.Zone, "Draining": !e.Usable(), "KnownLife": known.Incarnation, "KnownSequence": known.Sequence, "KnownVersion": known.Version,
		"DoubtMs": now.Sub(d.since).Milliseconds()}
	if ok && c.doubtOver(now, d) {
		delete(c.view.doubts, e.ID)
		c.log.WithFields(fields).Warning("entry contradicts the known one and was not corrected, it is applied")
		return false
	}
	if d.version != e.Version {
		d.version = e.Version
		if e.RemainingColdTime > 0 {
			d.coldUntil = now.Add(e.RemainingColdTime + coldMargin)
		}
		c.log.WithFields(fields).Warning("entry is older than the known one or contradicts it, it changes nothing for now")
		c.scope.Counter("DoubtfulEntries").Inc(1)
	}
	c.view.doubts[e.ID] = d
	return true
}

// doubtOver reports whether a server has had the time to correct an entry. Time in which the store did not answer does not
// count. The caller holds the lock.
func (c *Conductor) doubtOver(now time.Time, d entryDoubt) bool {
	since := d.since
	if c.view.storeUpAt.After(since) {
		since = c.view.storeUpAt
	}
	return c.view.storeDownAt.IsZero() && now.Sub(since) >= c.doubtTime()
}

// doubtsDue reports whether an entry has been in doubt for long enough. The caller holds the lock.
func (c *Conductor) doubtsDue(now time.Time) bool {
	for _, d := range c.view.doubts {
		if c.doubtOver(now, d) {
			return true
		}
	}
	return false
}

// forgetDoubts drops the doubts about entries that are gone, and the newest entries of servers that are gone for long. The
// caller holds the lock.
func (c *Conductor) forgetDoubts(now time.Time, read map[identifier.BackendServer]bool) {
	for id := range c.view.doubts {
		if !read[id] {
			delete(c.view.doubts, id)
		}
	}
	for id, e := range c.view.ended {
		if _, listed := c.view.entries[id]; listed || now.Sub(e.at) >= endedRetention {
			delete(c.view.ended, id)
		}
	}
}
