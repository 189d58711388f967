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
	// quotaStartName is the name of the shared object by which one instance gets the quotas as a whole when the whole
	// installation starts for the first time.
	quotaStartName = "quota.start"
	// quotaStartTime is for how long it has them, from a list without records. All records that are written meanwhile have
	// settled by then, and their instances may have shares.
	quotaStartTime = 20 * time.Second
	// quotaStartClaim is the time from that list within which the object must have been written. A list that gives another
	// instance a share is requested later than that.
	quotaStartClaim = 3 * time.Second
	// quotaStartMargin is for clocks that differ in speed.
	quotaStartMargin = quotaStartTime / 50
)

// startObject is the content of the object quotaStartName.
type startObject struct {
	Instance    identifier.Instance
	Incarnation identifier.Incarnation
	Ended       bool `json:",omitempty"` // Instances have their shares again.
}

// quotaStart is what this instance knows of the start of the whole installation.
type quotaStart struct {
	emptyListAt time.Time // When the first list of the shared objects was requested, if it had no records.
	listed      bool      // The first list was read.
	tried       bool      // This instance has tried to write the object.
	seenAt      time.Time // When the object was first seen; zero if it was not, or has ended.
	object      startObject
	version     identifier.Version
}

// holds reports whether an instance may have the quotas as a whole, so that no other one has a share.
func (s *quotaStart) holds(now time.Time) bool {
	return !s.seenAt.IsZero() && now.Sub(s.seenAt) < quotaStartTime+quotaStartMargin
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
	for _, o := range objects {
		if o.Name != quotaStartName || o.Version <= s.version {
			continue
		}
		s.version = o.Version
		if err := json.Unmarshal(o.Data, &s.object); err != nil {
			c.log.WithFields(logrus.Fields{"Object": o.Name, "Version": o.Version, "Error": err}).Warning("object does not decode, it counts as the start of the installation")
			s.object = startObject{}
		}
		switch {
		case s.object.Ended:
			s.seenAt = time.Time{}
		case s.seenAt.IsZero():
			s.seenAt = now
		}
	}
}

// claimQuotas writes the object that gives this instance the quotas as a whole, if the whole installation starts, and the one
// that ends it once all have their shares.
func (c *Conductor) claimQuotas(ctx context.Context) {
	now := c.clock()
	c.mu.Lock()
	s := &c.quotas.start
	first := c.settings.Bootstrap && c.quotas.rentier.HasQuotas() && s.mayClaim(now)
	over := s.isOver(now) && c.view.storeDownAt.IsZero() && c.ownership.Planner(now) == c.settings.Instance
	emptyListAt, version, ended := s.emptyListAt, s.version, s.object
	s.tried = s.tried || first
	c.mu.Unlock()
	if over {
		ended.Ended = true
		c.writeQuotaStart(ctx, version, ended)
	}
	self := startObject{Instance: c.settings.Instance, Incarnation: c.settings.Incarnation}
	if !first || !c.writeQuotaStart(ctx, 0, self) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if now = c.clock(); s.object == self && now.Sub(emptyListAt) < quotaStartClaim {
		c.quotas.rentier.OwnWhole(now, emptyListAt.Add(quotaStartTime))
		c.log.WithFields(logrus.Fields{"ForMs": quotaStartTime.Milliseconds()}).Info("the installation starts, this instance has the tenants' quotas until all have shares")
	}
}

// mayClaim reports whether this instance may still write the object first: there were no records, and there is no object.
func (s *quotaStart) mayClaim(now time.Time) bool {
	return !s.tried && s.version == 0 && !s.emptyListAt.IsZero() && now.Sub(s.emptyListAt) < quotaStartClaim
}

// isOver reports whether no instance has the quotas as a whole any more, and the object does not say so yet.
func (s *quotaStart) isOver(now time.Time) bool {
	return s.version != 0 && !s.object.Ended && !s.holds(now)
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
