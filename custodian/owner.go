package custodian

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

const (
	// moveTime is about the time that a move takes: the work that runs on the keys ends.
	moveTime = 300 * time.Millisecond
	// grantTime is about the time from an allocation's arrival here to the grant's arrival
	// at the owner.
	grantTime = 20 * time.Millisecond
	// missTime is the time after a first refusal by an owner in which it is not asked for
	// keys of the segment; it doubles with each further one.
	missTime = 40 * time.Millisecond
	// missTimeMost bounds that time.
	missTimeMost = 640 * time.Millisecond
	// probeTime is the time in which one request finds out for the others whether an owner
	// that refused has the keys by now.
	probeTime = 100 * time.Millisecond
)

// Owner returns the owner of a key.
func (c *Custodian) Owner(now time.Time, service identifier.Service, key identifier.Point) registrar.Ownership {
	a := c.allocations[service]
	if a == nil {
		return registrar.Ownership{}
	}
	s := a.Find(key)
	st := c.segments[segmentKey{service, s.Range, s.Epoch}]
	own := registrar.Ownership{Server: s.Owner, Life: s.Life, Epoch: s.Epoch, Version: a.Version, Moving: s.Moving}
	switch {
	case s.Owner == "" || st == nil:
	case s.Moving:
		own.ReadyAt = st.movingAt.Add(moveTime)
		if now.After(own.ReadyAt.Add(moveTime)) {
			own.ReadyAt = time.Time{} // It takes longer than work takes to end: a grant has to lapse.
		}
	case now.Before(st.misdirected):
		own.ReadyAt = st.misdirected
	case now.Before(st.seenAt.Add(grantTime)):
		own.ReadyAt = st.seenAt.Add(grantTime)
	default:
		own.Ready = true
		if st.misses > 0 {
			st.misdirected = now.Add(probeTime) // One request asks for all.
		}
	}
	return own
}

// Misdirected takes in that a backend server does not own a key.
func (c *Custodian) Misdirected(now time.Time, e registrar.Entry, service identifier.Service, key identifier.Point) {
	if st := c.segmentAt(e, service, key); st != nil {
		st.misdirected = now.Add(min(missTime<<min(st.misses, 10), missTimeMost))
		st.misses++
	}
}

// Owned takes in that a backend server owns a key.
func (c *Custodian) Owned(e registrar.Entry, service identifier.Service, key identifier.Point) {
	if st := c.segmentAt(e, service, key); st != nil && st.misses > 0 {
		st.misses, st.misdirected = 0, time.Time{}
	}
}

// segmentAt returns the state of a key's segment if the server owns it.
func (c *Custodian) segmentAt(e registrar.Entry, service identifier.Service, key identifier.Point) *segmentState {
	a := c.allocations[service]
	if a == nil {
		return nil
	}
	s := a.Find(key)
	if s.Owner != e.ID || s.Life != e.Life {
		return nil
	}
	return c.segments[segmentKey{service, s.Range, s.Epoch}]
}
