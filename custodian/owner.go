package custodian

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

const (
	// moveTime is the approximate duration of a move, in which the requests that run on the keys end.
	moveTime = 300 * time.Millisecond
	// grantTime is the approximate time from the arrival of an allocation at this instance to the
	// arrival of the grant at the owner.
	grantTime = 20 * time.Millisecond
	// refusalPause is how long an owner is sent no requests for keys of a segment after it refused
	// one; the pause doubles with each further refusal.
	refusalPause = 40 * time.Millisecond
	// maxRefusalPause bounds that pause.
	maxRefusalPause = 640 * time.Millisecond
	// probePause is how long other requests wait while a single one tests whether an owner that
	// refused now has the keys.
	probePause = 100 * time.Millisecond
)

// Owner returns the owner of a key and whether requests can be sent to it now. If not, and the time at
// which it should be ready can be estimated, the result says when. The result is zero if the service
// has no allocation. A call may start the test of an owner that has refused requests.
func (c *Custodian) Owner(now time.Time, service identifier.Service, key identifier.ShardKey) registrar.Ownership {
	a := c.allocations[service]
	if a == nil {
		return registrar.Ownership{}
	}
	s := a.Find(key)
	st := c.segments[segmentKey{service, s.Range, s.Epoch}]
	own := registrar.Ownership{Server: s.Owner, Incarnation: s.Incarnation, Epoch: s.Epoch, Version: a.Version, Moving: s.Moving}
	switch {
	case s.Owner == "" || st == nil:
	case s.Moving:
		own.ReadyAt = st.movingAt.Add(moveTime)
		if now.After(own.ReadyAt.Add(moveTime)) {
			own.ReadyAt = time.Time{} // The move takes longer than running requests do: a grant has to lapse.
		}
	case now.Before(st.refusedUntil):
		own.ReadyAt = st.refusedUntil
	case now.Before(st.seenAt.Add(grantTime)):
		own.ReadyAt = st.seenAt.Add(grantTime)
	default:
		own.Ready = true
		if st.refusals > 0 {
			st.refusedUntil = now.Add(probePause) // This request tests the owner for all others.
		}
	}
	return own
}

// RecordNotOwner records that a backend server refused a request because it does not own the key.
func (c *Custodian) RecordNotOwner(now time.Time, e registrar.Entry, service identifier.Service, key identifier.ShardKey) {
	if st := c.segmentAt(e, service, key); st != nil {
		st.refusedUntil = now.Add(min(refusalPause<<min(st.refusals, 10), maxRefusalPause))
		st.refusals++
	}
}

// RecordOwner records that a backend server has shown that it owns a key, which ends the pause after
// refusals.
func (c *Custodian) RecordOwner(e registrar.Entry, service identifier.Service, key identifier.ShardKey) {
	if st := c.segmentAt(e, service, key); st != nil && st.refusals > 0 {
		st.refusals, st.refusedUntil = 0, time.Time{}
	}
}

// segmentAt returns the state of the segment that contains a key, or nil if the given incarnation of
// the server does not own the segment.
func (c *Custodian) segmentAt(e registrar.Entry, service identifier.Service, key identifier.ShardKey) *segmentState {
	a := c.allocations[service]
	if a == nil {
		return nil
	}
	s := a.Find(key)
	if s.Owner != e.ID || s.Incarnation != e.Incarnation {
		return nil
	}
	return c.segments[segmentKey{service, s.Range, s.Epoch}]
}
