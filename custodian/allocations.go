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
	a, err := allocator.Decode(o.Data, o.Version)
	if err != nil {
		c.logEvent("allocation ignored: it does not decode", map[string]any{"Object": o.Name, "Version": o.Version, "Error": err.Error()})
		return
	}
	c.SetAllocation(now, a)
}

// SetAllocation replaces the allocation of a service with a, unless the known one is as new, and updates the states of the
// service's segments. a must not be modified any more.
func (c *Custodian) SetAllocation(now time.Time, a *allocator.Allocation) {
	service := a.Service
	if old := c.allocations[service]; old != nil && old.Version >= a.Version {
		return
	}
	c.allocations[service] = a
	c.cells = nil
	known := map[segmentKey]bool{}
	moving := 0
	for _, s := range a.Segments {
		key := segmentKey{service, s.Range, s.Epoch}
		known[key] = true
		st := c.segmentState(now, key)
		if s.Moving {
			moving++
			c.recordRound(now, st, s)
		}
		if s.Fence != 0 {
			fence := segmentKey{service, s.Range, s.Fence}
			known[fence] = true
			c.segmentState(now, fence)
		}
	}
	for key := range c.segments {
		if key.service == service && !known[key] {
			delete(c.segments, key)
		}
	}
	c.logEvent("allocation", map[string]any{"Service": service, "Version": a.Version, "Segments": len(a.Segments),
		"Moving": moving, "NextEpoch": a.NextEpoch})
}

// recordRound records when a new round of a move, and with the first round the move itself, was first
// seen.
func (c *Custodian) recordRound(now time.Time, st *segmentState, s allocator.Segment) {
	if st.round == s.Round {
		return
	}
	if st.round == 0 {
		st.movingAt = now
	}
	st.round, st.roundAt = s.Round, now
}

// segmentState returns the state of a segment. A new state copies seenAt and accepted from a known
// segment of the same epoch that overlaps it, since the new segment was split from that one.
func (c *Custodian) segmentState(now time.Time, key segmentKey) *segmentState {
	if st, ok := c.segments[key]; ok {
		return st
	}
	st := &segmentState{seenAt: now}
	for old, previous := range c.segments {
		if old.service == key.service && old.epoch == key.epoch && old.rng.Overlaps(key.rng) {
			st.seenAt, st.accepted = previous.seenAt, previous.accepted
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
