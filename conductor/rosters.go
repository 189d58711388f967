package conductor

import (
	"context"
	"errors"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/custodian"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/mirrorer"
	"github.com/turmericlift/turmericlift/storer"
)

// newCopy returns a list of a kind as a copy for its mirror.
func newCopy(kind storer.ObjectKind, page storer.Page) mirrorer.Copy {
	return mirrorer.Copy{Kind: kind, Revision: page.Revision, Objects: page.Objects}
}

// write writes a shared object if its version in the store is still expected, applies the new version to the mirror and,
// unless it is a member, announces it to the other instances.
func (c *Conductor) write(ctx context.Context, name string, expected identifier.Version, data []byte) {
	v, ok := c.put(ctx, name, expected, data)
	if !ok {
		return
	}
	o := storer.Object{Name: name, Version: v, Data: data}
	if !strings.HasPrefix(name, memberPrefix) { // Instances learn of each other from states.
		c.mu.Lock()
		c.recentWrites = append(c.recentWrites, recentWrite{at: c.clock(), object: o})
		c.mu.Unlock()
		trigger(c.sendTrigger)
	}
	c.mirrors[c.kinds.Shared].Merge([]storer.Object{o})
}

// writeAllocation writes the next allocation of a service if the version that it was planned from is still in the store,
// applies it, and announces the delta to the other instances. It reports whether the allocation was written.
func (c *Conductor) writeAllocation(ctx context.Context, next *allocator.Allocation) bool {
	data, err := next.Encode()
	if err != nil {
		c.log.WithField("Error", err).Error("allocation does not encode, it is not written")
		return false
	}
	v, ok := c.put(ctx, custodian.AllocationPrefix+string(next.Service), next.Version, data)
	if !ok {
		return false
	}
	written := *next
	written.Version = v
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	base := c.ownership.Allocation(next.Service)
	if base != nil && base.Version >= v {
		return true // A list has already applied this version; the others fetch a copy.
	}
	c.ownership.SetAllocation(now, &written)
	c.allocationsChanged(now, []identifier.Service{next.Service})
	delta := allocator.Diff(base, &written, v)
	limit := maxDeltaSegments
	if c.ownership.Gossip.Relayed() {
		limit = maxRelayedDeltaSegments
	}
	if len(delta.Changed) <= limit { // Otherwise the others learn that there is a newer version and list it.
		c.recentWrites = append(c.recentWrites, recentWrite{at: now, delta: &delta})
	}
	trigger(c.sendTrigger)
	return true
}

// put writes a shared object if its version in the store is still expected, and returns the new version. If the write
// fails it lists the shared objects; ok is false then.
func (c *Conductor) put(ctx context.Context, name string, expected identifier.Version, data []byte) (v identifier.Version, ok bool) {
	v, err := c.calls(reasonWrite).Put(ctx, c.kinds.Shared, name, expected, data)
	var conflict *storer.ConflictError
	switch {
	case err == nil:
		return v, true
	case errors.As(err, &conflict):
		c.log.WithFields(logrus.Fields{"Object": name, "Expected": expected, "Present": conflict.Present}).Info("object was not written: another instance has changed it")
	default:
		c.log.WithFields(logrus.Fields{"Object": name, "Expected": expected, "Error": err}).Warning("write of object failed, it may still have taken effect")
	}
	c.listShared(ctx) // The mirror may be behind, or the write may have taken effect.
	return 0, false
}

const (
	// maxDeltaSegments bounds the segments of a delta that is sent to each instance. A larger delta
	// would occupy a slow link for longer than a list of the store does.
	maxDeltaSegments = 48
	// maxRelayedDeltaSegments takes its place where states are relayed: each relay sends the delta to its zone only, while
	// a list of the store by each instance costs more the more instances there are.
	maxRelayedDeltaSegments = 256
)

// updateRosters joins and leaves the rosters of cells, and reads the shared objects after joining,
// which must precede the first grant.
func (c *Conductor) updateRosters(ctx context.Context) {
	c.mu.Lock()
	changes := c.ownership.RosterChanges(c.clock())
	c.mu.Unlock()
	for _, r := range changes {
		data, err := r.Encode()
		if err != nil {
			c.log.WithField("Error", err).Error("roster does not encode, it is not written")
			continue
		}
		c.write(ctx, custodian.RosterPrefix+r.Cell.String(), r.Version, data)
	}
	c.mu.Lock()
	unread := c.ownership.UnreadCells()
	c.mu.Unlock()
	if len(unread) == 0 || !c.listShared(ctx) {
		return
	}
	c.mu.Lock()
	c.ownership.RecordRead(unread)
	c.mu.Unlock()
	trigger(c.grantTrigger)
}

// onNoRoster reports whether this process is on no roster.
func (c *Conductor) onNoRoster() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isOnRoster()
}

// isOnRoster reports whether this process is on a roster. The caller holds the lock.
func (c *Conductor) isOnRoster() bool {
	for cell := range c.ownership.Rosters() {
		if c.ownership.OnRoster(cell) {
			return true
		}
	}
	return false
}
