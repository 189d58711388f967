package conductor

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/apportioner"
	"github.com/turmericlift/turmericlift/clocker"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/mirrorer"
	"github.com/turmericlift/turmericlift/ranker"
	"github.com/turmericlift/turmericlift/storer"
)

const (
	// firstEra is taken for the era of a store that never came back from a copy.
	firstEra = identifier.Era(1)
	// evacuationRetention is how long an evacuation holds that is missing after the store came back from a copy. Operators
	// write again what was lost; the copy is up to 10 s old.
	evacuationRetention = 10 * time.Second
	// eraNews is the time in which a lost history is taken for the effect of a new era.
	eraNews = 3 * time.Second
	// listSpread is multiplied by the number of instances for the time over which those that neither grant nor plan list the
	// shared objects of a new era.
	listSpread = 10 * time.Millisecond
)

// eraView is what is known of the era of the store, and what was known in the one before and may be missing in it.
type eraView struct {
	present     identifier.Era
	began       time.Time // When this process noticed the era; zero if that is the one in which it started.
	members     map[string]seenMember
	evacuated   map[identifier.Zone]time.Time
	lostRecords int // Records that are missing, as last logged.
}

// noticeEra acts on a new era of the store: it came back from a copy, and what was written since that is gone. Everything is
// listed again, and entries that are missing may come back as after an outage. The caller holds the lock.
func (c *Conductor) noticeEra(now time.Time, era identifier.Era) {
	c.ownership.SetEra(now, era)
	era = c.ownership.Era()
	former := c.view.era.present
	if era <= former {
		return
	}
	c.scope.Gauge("StoreEra").Update(float64(era))
	c.view.era.present = era
	if former == 0 && len(c.view.members) == 0 && len(c.view.entries) == 0 {
		return // This process has just started.
	}
	c.view.era = eraView{present: era, began: now, members: maps.Clone(c.view.members), evacuated: maps.Clone(c.view.evacuated)}
	c.view.storeUpAt = now
	c.scope.Counter("StoreRestores").Inc(1)
	c.log.WithFields(logrus.Fields{"Era": era, "Former": former, "Records": len(c.view.members), "Evacuated": len(c.view.evacuated),
		"Entries": len(c.view.entries), "Allocations": len(c.ownership.Allocations())}).Warning("platform's store came back from a copy, all kinds are listed again")
	c.ownership.SetEnvironment(c.environment())
	c.relist(era.FirstVersion())
	c.listSharedSoon(now)
}

// copiedEra returns the highest era in a mirror's copy, which other instances may have read; 0 if the store states none. The caller
// holds the lock.
func (c *Conductor) copiedEra(copied mirrorer.Copy) identifier.Era {
	if c.view.era.present == 0 {
		return 0
	}
	return copied.NewestVersion().Era()
}

// listSharedSoon lists the shared objects: at once if this instance grants or plans, otherwise spread over a time that grows
// with the number of instances, since all notice a new era together. The caller holds the lock.
func (c *Conductor) listSharedSoon(now time.Time) {
	delay := time.Duration(0)
	if c.ownership.Leases.Empty() && c.ownership.Planner(now) != c.settings.Instance {
		spread := uint64(listSpread) * uint64(c.apportioner.Count())
		delay = time.Duration(ranker.Weight("list", string(c.settings.Instance)) % spread)
	}
	c.tasks.Go(func(ctx context.Context) {
		if clocker.Sleep(ctx, delay) {
			c.mirrors[c.kinds.Shared].Relist()
		}
	})
}

// historyGoneBefore returns the version before which everything must be listed again, if a kind whose history was gone has
// been listed at a revision. All instances find that out when an era begins, so they all say the same then. The caller
// holds the lock.
func (c *Conductor) historyGoneBefore(now time.Time, revision identifier.Version) identifier.Version {
	if e := c.view.era; e.present > 0 && now.Sub(e.began) < eraNews {
		return e.present.FirstVersion()
	}
	return revision
}

// retainedMembers returns the records that were known when the era began and that may be missing, because their instances have
// yet to write them again. They count for as long as a list with them gives a share, so that no share grows meanwhile. The
// caller holds the lock.
func (c *Conductor) retainedMembers(now time.Time) map[string]seenMember {
	if e := c.view.era; !e.began.IsZero() && now.Sub(e.began) < apportioner.SettleTime {
		return e.members
	}
	return nil
}

// retainMembers adds the records to the members that are missing in the present era, and logs how many these are. The caller
// holds the lock.
func (c *Conductor) retainMembers(now time.Time) {
	lost := 0
	for name, m := range c.retainedMembers(now) {
		if _, ok := c.view.members[name]; !ok {
			c.view.members[name] = m
			lost++
		}
	}
	if lost != c.view.era.lostRecords {
		c.view.era.lostRecords = lost
		c.log.WithFields(logrus.Fields{"Era": c.view.era.present, "Missing": lost, "Records": len(c.view.members)}).Info(
			"records of instances are missing in the store's era, they count until they are written again")
	}
}

// settledRecord reports whether a record may say that its instance need not wait for a share. One of this process does not if
// the process started in an era in which records may be missing. The caller holds the lock.
func (c *Conductor) settledRecord(m seenMember) bool {
	e := c.view.era
	return m.Settled && (m.Instance != c.settings.Instance || e.present <= firstEra || !e.began.IsZero())
}

// retainEvacuations adds the evacuations that were known when the era began and are missing. The caller holds the lock.
func (c *Conductor) retainEvacuations(now time.Time, evacuated map[identifier.Zone]time.Time) {
	for zone, since := range c.view.era.evacuated {
		_, written := evacuated[zone]
		switch {
		case written:
			delete(c.view.era.evacuated, zone) // From now on the store is followed.
		case now.Sub(c.view.era.began) < evacuationRetention:
			evacuated[zone] = since
		}
	}
}

// evacuationsDue reports whether evacuations that were retained end now. The caller holds the lock.
func (c *Conductor) evacuationsDue(now time.Time) bool {
	if len(c.view.era.evacuated) == 0 || now.Sub(c.view.era.began) < evacuationRetention {
		return false
	}
	clear(c.view.era.evacuated)
	return true
}

// recordedInstances returns the instances on record that have not ended. The caller holds the lock.
func (c *Conductor) recordedInstances() []identifier.Instance {
	if c.view.era.present == 0 {
		return nil
	}
	recorded := make([]identifier.Instance, 0, len(c.view.members))
	for _, m := range c.view.members {
		if !m.Ended {
			recorded = append(recorded, m.Instance)
		}
	}
	return recorded
}

// applyFormer applies allocations of another instance that the store has lost: they say who owns the keys until the allocation
// of the present era is written.
func (c *Conductor) applyFormer(objects []storer.Object) {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view.era.present == 0 {
		return
	}
	c.ownership.ApplyObjects(now, objects, time.Time{})
	c.allocationsChanged(now, slices.Collect(maps.Keys(c.ownership.Allocations())))
}
