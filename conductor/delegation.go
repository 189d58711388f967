package conductor

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/gossiper"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/mirrorer"
	"github.com/turmericlift/turmericlift/storer"
)

// In a large installation, the relays of a zone follow the platform's store, and the other instances follow the relays:
// what the store is called for grows with the zones and not with the instances. An instance that hears no relay which the
// store answers follows the store itself.

const (
	// minDelegating is the number of instances on record from which on instances follow relays. Below it, the relays are a
	// quarter of the instances or more, and little is saved.
	minDelegating = 48
	// sourceTimeout is the time without a state from a relay after which it is not followed any more: five states. Changes
	// go unnoticed for that long at most, which the bounds on configuration, drains and evacuations leave room for.
	sourceTimeout = time.Second
	// sourceCopyInterval is the time between two copies of the shared objects. With the age of the relay's list, which
	// is listInterval at most, it is within apportioner.ListLifetime.
	sourceCopyInterval = 2500 * time.Millisecond
	// delegatedListInterval is the time between two own lists of the shared objects, which remove the records of
	// instances that are gone: copies do not tell what was removed.
	delegatedListInterval = time.Minute
)

// delegation is how an instance follows a relay.
type delegation struct {
	active   bool
	heardAt  time.Time // When the newest state of the relay came; of the last relay, if there is none any more.
	endedAt  time.Time // When the instance began to follow the store itself; zero if it never followed a relay.
	onRoster bool      // Whether this process is on a roster.
	// copyFrom is the address of a relay that has changes; empty if none is known to have any.
	copyFrom string
	copiedAt time.Time
}

// delegates reports whether instances of this installation follow relays. The caller holds the lock.
func (c *Conductor) delegates() bool { return c.apportioner.Count() >= minDelegating }

// source returns the relay that this instance follows, or nil if it follows the store itself. The caller holds the lock.
func (c *Conductor) source(now time.Time) *gossiper.Peer {
	if !c.delegates() || c.leaving || c.view.table == nil || now.Sub(c.startedAt) < startTime || c.ownership.Planner(now) == c.settings.Instance {
		return nil
	}
	return c.ownership.Gossip.Source(now, sourceTimeout)
}

// updateDelegation begins or ends to follow a relay. The caller holds the lock.
func (c *Conductor) updateDelegation(now time.Time) {
	p, was := c.source(now), c.delegation.active
	c.delegation.active = p != nil
	if p != nil {
		c.delegation.heardAt = p.ReceivedAt()
	}
	onRoster := c.isOnRoster()
	if onRoster && !c.delegation.onRoster && was {
		c.mirrors[c.kinds.Shared].Relist() // The present pause may be long.
	}
	c.delegation.onRoster = onRoster
	switch {
	case p != nil && !was:
		c.log.WithFields(logrus.Fields{"Relay": p.Instance}).Info("copies of a relay take the place of calls to the platform's store")
	case p == nil && was:
		c.delegation.endedAt = now
		c.log.WithFields(logrus.Fields{"HeardMsAgo": now.Sub(c.delegation.heardAt).Milliseconds()}).Info("no relay to follow, this instance follows the platform's store itself")
		for _, m := range c.mirrors {
			m.Relist()
		}
	}
}

// delegatedTiming returns how a kind is followed while this instance follows a relay; delegated is false otherwise. A
// process on a roster lists the shared objects itself, since each list renews its confirmation. The caller holds the lock.
func (c *Conductor) delegatedTiming(now time.Time, kind storer.ObjectKind) (timing mirrorer.Timing, delegated bool) {
	if !c.delegation.active || c.source(now) == nil {
		return mirrorer.Timing{}, false
	}
	if kind != c.kinds.Shared {
		return mirrorer.Timing{Delegated: true}, true
	}
	if c.isOnRoster() {
		return mirrorer.Timing{}, false
	}
	return mirrorer.Timing{ListInterval: delegatedListInterval}, true
}

// changedRevisions returns the revisions at which this instance's copies last changed, if it relays. The caller holds the
// lock.
func (c *Conductor) changedRevisions() map[storer.ObjectKind]identifier.Version {
	if !c.delegates() || !c.ownership.Gossip.Forwards() {
		return nil
	}
	revisions := make(map[storer.ObjectKind]identifier.Version, len(c.lagDetectors))
	for kind := range c.lagDetectors {
		revisions[kind] = c.mirrors[kind].ChangedRevision()
	}
	return revisions
}

// completeRevisions returns the revisions at which this instance's copies are complete, if it follows a relay. The caller
// holds the lock.
func (c *Conductor) completeRevisions() map[storer.ObjectKind]identifier.Version {
	if !c.delegation.active {
		return nil
	}
	revisions := make(map[storer.ObjectKind]identifier.Version, len(c.lagDetectors))
	for kind := range c.lagDetectors {
		if r := c.mirrors[kind].Revision(); r > 0 {
			revisions[kind] = r
		}
	}
	return revisions
}

// copyIfSourceChanged requests copies from a relay whose state shows that a kind has changed. The caller holds the lock.
func (c *Conductor) copyIfSourceChanged(s gossiper.State) {
	for kind, revision := range s.ChangedRevisions {
		if m, ok := c.mirrors[kind]; ok && revision > m.Revision() {
			c.delegation.copyFrom = s.Address
			trigger(c.copyTrigger)
			return
		}
	}
}

// takeCopySource returns the address of a relay from which copies are due, or an empty text. The caller holds the lock.
func (c *Conductor) takeCopySource(now time.Time) string {
	p := c.source(now)
	address := c.delegation.copyFrom
	if !c.delegation.active || p == nil || address == "" && now.Sub(c.delegation.copiedAt) < sourceCopyInterval {
		return ""
	}
	if address == "" {
		address = p.Address
	}
	c.delegation.copyFrom, c.delegation.copiedAt = "", now
	return address
}

// delegationInformedAt returns the time up to which this instance knows all changes, if it follows a relay or has begun to
// follow the store again and not read it yet; zero otherwise. The caller holds the lock.
func (c *Conductor) delegationInformedAt(now time.Time) time.Time {
	d := &c.delegation
	if !d.active {
		servers, evacuations := c.mirrors[c.kinds.Servers].ListedAt(), c.mirrors[c.kinds.Evacuations].ListedAt()
		if d.endedAt.IsZero() || servers.After(d.endedAt) && evacuations.After(d.endedAt) {
			return time.Time{}
		}
	}
	if now.Sub(d.heardAt) < sourceTimeout {
		return time.Time{}
	}
	return d.heardAt
}
