package conductor

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/storer"
)

const (
	// quotaStartName is the name of the shared object by which one instance has the quotas as a whole, from the first start
	// of the whole installation on for as long as it renews the object.
	quotaStartName = "quota.start"
	// quotaStartTerm is for how long it has them, from the sending of a write.
	quotaStartTerm = 4 * time.Second
	// quotaStartRenewal is the time between two writes. One that fails leaves time for another.
	quotaStartRenewal = 1500 * time.Millisecond
	// quotaStartClaim is the time from the first list of the shared objects within which the object must have been written. A
	// list that gives another instance a share is requested later than that.
	quotaStartClaim = 3 * time.Second
	// quotaStartWait is the time from the first sight of a version after which a list that still has this version shows that it
	// was not renewed: the owner never renews after its term. It has a margin for clocks that differ in speed.
	quotaStartWait = quotaStartTerm + quotaStartTerm/50
	// quotaStartCheck is the time between two lists that are requested to show that.
	quotaStartCheck = 500 * time.Millisecond
)

// startObject is the content of the object quotaStartName.
type startObject struct {
	Instance    identifier.Instance
	Incarnation identifier.Incarnation
	Renewal     uint64 `json:",omitempty"` // Counts the writes.
	Ended       bool   `json:",omitempty"` // Instances have their shares.
}

// quotaStart is what this instance knows of the start of the whole installation.
type quotaStart struct {
	emptyListAt time.Time // When the first list of the shared objects was requested, if it had no records.
	listed      bool      // The first list was read.
	tried       bool      // This instance has tried to write the object.
	seenAt      time.Time // When the present version of the object was first seen; zero if there is none, or it has ended.
	listedAt    time.Time // When the newest list was requested that has this version, or an older one.
	checkedAt   time.Time // When a list was last requested to learn whether the object was renewed.
	object      startObject
	version     identifier.Version
	writtenAt   time.Time // When this instance last began to write the object.
	ownedUntil  time.Time // The end of this instance's term; zero if it does not have the quotas.
}

// holds reports whether an instance may have the quotas as a whole, so that no other one has a share.
func (s *quotaStart) holds() bool {
	return !s.seenAt.IsZero() && s.listedAt.Before(s.seenAt.Add(quotaStartWait))
}

// needsCheck reports whether a list is to show that the object was not renewed.
func (s *quotaStart) needsCheck(now time.Time) bool {
	return s.holds() && now.Sub(s.seenAt) >= quotaStartWait && now.Sub(s.checkedAt) >= quotaStartCheck
}

// readQuotaStart applies the shared objects. requestedAt is when the newest list among them was requested; zero if there was
// none. The caller holds the lock.
func (c *Conductor) readQuotaStart(now, requestedAt time.Time, objects []storer.Object) {
	s := &c.quotas.start
	if !s.listed && !requestedAt.IsZero() {
		s.listed = true
		if len(c.view.members) == 0 {
			s.emptyListAt = requestedAt
		}
	}
	if requestedAt.After(s.listedAt) {
		s.listedAt = requestedAt
	}
	for _, o := range objects {
		if o.Name != quotaStartName || o.Version <= s.version {
			continue
		}
		s.version = o.Version
		if err := json.Unmarshal(o.Data, &s.object); err != nil {
			c.log.WithFields(logrus.Fields{"Object": o.Name, "Version": o.Version, "Error": err}).Warning("object does not decode, it counts as the start of the installation")
			s.object = startObject{}
		}
		s.seenAt = now
		if s.object.Ended {
			s.seenAt = time.Time{}
		}
	}
}

// claimQuotas writes the object that gives this instance the quotas as a whole, if the whole installation starts, renews it,
// and writes the one that ends it once it was not renewed.
func (c *Conductor) claimQuotas(ctx context.Context) {
	now := c.clock()
	c.mu.Lock()
	s := &c.quotas.start
	storeUp := c.view.storeDownAt.IsZero()
	first := c.settings.Bootstrap && c.quotas.rentier.HasQuotas() && s.mayClaim(now)
	renews := storeUp && !c.leaving && s.mayRenew(now)
	over := s.isOver() && storeUp && c.ownership.Planner(now) == c.settings.Instance
	check := storeUp && s.needsCheck(now)
	if check {
		s.checkedAt = now
	}
	version, next := s.version, s.object
	s.tried = s.tried || first
	c.mu.Unlock()
	switch {
	case check:
		c.listShared(ctx)
	case over:
		next.Ended = true
		c.writeQuotaStart(ctx, version, next)
	case first:
		c.ownQuotas(ctx, now, 0, startObject{Instance: c.settings.Instance, Incarnation: c.settings.Incarnation})
	case renews:
		next.Renewal++
		c.ownQuotas(ctx, now, version, next)
	}
}

// ownQuotas writes the object and, if it was written in time, has the quotas for a term from now.
func (c *Conductor) ownQuotas(ctx context.Context, now time.Time, version identifier.Version, next startObject) {
	c.mu.Lock()
	s := &c.quotas.start
	s.writtenAt = now
	c.mu.Unlock()
	if !c.writeQuotaStart(ctx, version, next) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	answeredAt := c.clock()
	inTime := answeredAt.Before(s.ownedUntil)
	if s.ownedUntil.IsZero() {
		inTime = answeredAt.Sub(s.emptyListAt) < quotaStartClaim
	}
	if s.object != next || !inTime {
		return // Another instance may have a share by now.
	}
	if s.ownedUntil.IsZero() {
		c.log.WithFields(logrus.Fields{"TermMs": quotaStartTerm.Milliseconds()}).Info("the installation starts, this instance has the tenants' quotas for as long as it renews them")
	}
	s.ownedUntil = now.Add(quotaStartTerm)
	c.quotas.rentier.OwnWhole(answeredAt, s.ownedUntil)
}

// mayClaim reports whether this instance may still write the object first: there were no records, and there is no object.
func (s *quotaStart) mayClaim(now time.Time) bool {
	return !s.tried && s.version == 0 && !s.emptyListAt.IsZero() && now.Sub(s.emptyListAt) < quotaStartClaim
}

// mayRenew reports whether this instance has the quotas as a whole and is to renew the object now.
func (s *quotaStart) mayRenew(now time.Time) bool {
	return now.Before(s.ownedUntil) && !s.object.Ended && now.Sub(s.writtenAt) >= quotaStartRenewal
}

// isOver reports whether no instance has the quotas as a whole any more, and the object does not say so yet.
func (s *quotaStart) isOver() bool {
	return s.version != 0 && !s.object.Ended && !s.holds()
}

// writeQuotaStart writes the object. It returns false if it does not encode.
func (c *Conductor) writeQuotaStart(ctx context.Context, expected identifier.Version, o startObject) bool {
	data, err := json.Marshal(o)
	if err != nil {
		c.log.WithField("Error", err).Error("object does not encode, it is not written")
		return false
	}
	c.write(ctx, quotaStartName, expected, data)
	return true
}
