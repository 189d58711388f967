package custodian

import (
	"strings"
	"time"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/gossiper"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/storer"
)

// Allocation returns the newest known allocation of a service, or nil if none is known.
func (c *Custodian) Allocation(service identifier.Service) *allocator.Allocation {
	return c.allocations[service]
}

// Allocations returns the newest known allocation of each service. The caller must not change the map.
func (c *Custodian) Allocations() map[identifier.Service]*allocator.Allocation { return c.allocations }

// Versions returns the version of each known allocation.
func (c *Custodian) Versions() map[identifier.Service]identifier.Version {
	versions := make(map[identifier.Service]identifier.Version, len(c.allocations))
	for service, a := range c.allocations {
		versions[service] = a.Version
	}
	return versions
}

// PeerWithNewerAllocation returns a live instance that reports a newer version of some allocation than this one knows;
// ok is false if there is none.
func (c *Custodian) PeerWithNewerAllocation(now time.Time) (peer *gossiper.Peer, ok bool) {
	for _, p := range c.Gossip.Live(now) {
		for service, version := range p.AllocationVersions {
			if a := c.allocations[service]; a == nil || a.Version < version {
				return p, true
			}
		}
	}
	return nil, false
}

// applyAllocation decodes a stored allocation and applies it if it is newer than the known one.
func (c *Custodian) applyAllocation(now time.Time, o storer.Object) {
	service := identifier.Service(strings.TrimPrefix(o.Name, AllocationPrefix))
	if old := c.allocations[service]; old != nil && old.Version >= o.Version {
		return
	}
	if c.eras.outdated[o.Name].version == o.Version {
		return
	}
	a, err := allocator.Decode(o.Data, o.Version)
	if err != nil {
		c.logEvent("allocation ignored: it does not decode", map[string]any{"Object": o.Name, "Version": o.Version, "Error": err.Error()})
		return
	}
	if c.isOutdated(a.NextEpoch.Era(), o.Version) {
		c.recordOutdated(o, a)
		return
	}
	c.SetAllocation(now, a)
}

// SetAllocation replaces the allocation of a service with a, unless the known one is as new, and updates the states of the
// service's segments. a must not be modified any more.
func (c *Custodian) SetAllocation(now time.Time, a *allocator.Allocation) {
	c.noticeVersion(now, a.Version)
	service := a.Service
	old := c.allocations[service]
	if old != nil && old.Version >= a.Version {
		return
	}
	c.allocations[service] = a
	c.cells = nil
	moving := 0
	for n := range a.Segments {
		s := &a.Segments[n]
		st := c.segmentState(now, old, segmentKey{service, s.Range, s.Epoch})
		st.version = a.Version
		if s.Moving {
			moving++
			c.recordRound(now, st, s)
		}
		if s.Fence != 0 {
			c.segmentState(now, old, segmentKey{service, s.Range, s.Fence}).version = a.Version
		}
	}
	for key, st := range c.segments {
		if key.service == service && st.version != a.Version {
			delete(c.segments, key)
		}
	}
	c.logEvent("allocation", map[string]any{"Service": service, "Version": a.Version, "Segments": len(a.Segments),
		"Moving": moving, "NextEpoch": a.NextEpoch})
}

// recordRound records when a new round of a move, and with the first round the move itself, was first
// seen.
func (c *Custodian) recordRound(now time.Time, st *segmentState, s *allocator.Segment) {
	if st.round == s.Round {
		return
	}
	if st.round == 0 {
		st.movingAt = now
	}
	st.round, st.roundAt = s.Round, now
}

// segmentState returns the state of a segment. A new state copies seenAt and accepted from a segment of the allocation
// before, which may be nil, that has the same epoch and overlaps it: the new segment was split from that one.
func (c *Custodian) segmentState(now time.Time, before *allocator.Allocation, key segmentKey) *segmentState {
	if st, ok := c.segments[key]; ok {
		return st
	}
	st := &segmentState{seenAt: now}
	if before != nil {
		for _, s := range before.Overlapping(key.rng) {
			if s.Epoch != key.epoch && s.Fence != key.epoch {
				continue
			}
			if previous, ok := c.segments[segmentKey{key.service, s.Range, key.epoch}]; ok {
				st.seenAt, st.accepted = previous.seenAt, previous.accepted
			}
		}
	}
	c.segments[key] = st
	return st
}

// ApplyDeltas applies deltas to the known allocations and returns the services whose allocations changed. A delta whose
// base version is not known here is logged and skipped: a later full copy of the allocation replaces it.
func (c *Custodian) ApplyDeltas(now time.Time, deltas []allocator.Delta) []identifier.Service {
	var changed []identifier.Service
	for _, d := range deltas {
		base := c.allocations[d.Service]
		if base != nil && base.Version >= d.Version {
			continue
		}
		a, err := allocator.Apply(base, d)
		if err != nil {
			c.logEvent("delta of an allocation skipped: it does not apply to the known version", map[string]any{"Service": d.Service, "Version": d.Version, "Error": err.Error()})
			continue
		}
		c.SetAllocation(now, a)
		changed = append(changed, d.Service)
	}
	return changed
}
