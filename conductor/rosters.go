package conductor

import (
	"context"
	"encoding/json"
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

// register writes this instance's member object unless the store has it already for this
// incarnation.
func (c *Conductor) register(ctx context.Context) {
	name := memberPrefix + string(c.settings.Instance)
	m := member{c.settings.Instance, c.settings.Incarnation, c.settings.Zone, c.settings.PeerAddress}
	o, ok := c.mirrors[c.kinds.Shared].Get(name)
	if ok {
		if old, err := decodeMember(o.Data); err == nil && old == m {
			return
		}
	}
	data, err := json.Marshal(m)
	if err != nil {
		c.log.WithField("Error", err).Error("member object does not encode, this instance is not registered")
		return
	}
	c.write(ctx, name, o.Version, data)
}

// write writes a shared object if its version in the store is still expected, applies the new
// version to the mirror and announces it to the other instances. If the write fails it lists the
// shared objects and returns false.
func (c *Conductor) write(ctx context.Context, name string, expected identifier.Version, data []byte) bool {
	v, err := c.store.Put(ctx, c.kinds.Shared, name, expected, data)
	var conflict *storer.ConflictError
	switch {
	case err == nil:
		o := storer.Object{Name: name, Version: v, Data: data}
		if !strings.HasPrefix(name, memberPrefix) { // Instances learn of each other from states.
			c.announceWrite(o)
		}
		c.mirrors[c.kinds.Shared].Merge([]storer.Object{o})
		trigger(c.sendTrigger)
		return true
	case errors.As(err, &conflict):
		c.log.WithFields(logrus.Fields{"Object": name, "Expected": expected, "Present": conflict.Present}).Info("object was not written: another instance has changed it")
	default:
		c.log.WithFields(logrus.Fields{"Object": name, "Expected": expected, "Error": err}).Warning("write of object failed, it may still have taken effect")
	}
	c.listShared(ctx) // The mirror may be behind, or the write may have taken effect.
	return false
}

// maxDeltaSegments bounds the segments of a delta that is sent to each instance. A larger delta
// would occupy a slow link for longer than a list of the store does.
const maxDeltaSegments = 48

// announceWrite queues an object that was written for the other instances. Of an allocation only
// the delta is sent.
func (c *Conductor) announceWrite(o storer.Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !strings.HasPrefix(o.Name, custodian.AllocationPrefix) {
		c.recentWrites = append(c.recentWrites, recentWrite{at: c.clock(), object: o})
		return
	}
	next, err := allocator.Decode(o.Data, o.Version)
	if err != nil {
		c.log.WithFields(logrus.Fields{"Object": o.Name, "Error": err}).Error("allocation was written but does not decode, it is not sent to other instances")
		return
	}
	base := c.ownership.Allocation(next.Service)
	if base != nil && base.Version >= o.Version {
		return // A list has already applied this version; the others fetch a copy.
	}
	delta := allocator.Diff(base, next, o.Version)
	if len(delta.Changed) > maxDeltaSegments {
		return // The others learn that there is a newer version and list it.
	}
	c.recentWrites = append(c.recentWrites, recentWrite{at: c.clock(), delta: &delta})
}

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
	for cell := range c.ownership.Rosters() {
		if c.ownership.OnRoster(cell) {
			return false
		}
	}
	return true
}
