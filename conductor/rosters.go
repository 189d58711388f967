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

func copyOf(kind storer.ObjectKind, page storer.Page) mirrorer.Copy {
	return mirrorer.Copy{Kind: kind, Revision: page.Revision, Objects: page.Objects}
}

// register writes this instance's member object, once for each incarnation.
func (c *Conductor) register(ctx context.Context) {
	name := memberPrefix + string(c.settings.Instance)
	m := member{c.settings.Instance, c.settings.Incarnation, c.settings.Zone, c.settings.PeerAddress}
	o, ok := c.mirrors[c.kinds.Own].Get(name)
	if ok {
		if old, err := decodeMember(o.Data); err == nil && old == m {
			return
		}
	}
	data, err := json.Marshal(m)
	if err != nil {
		c.log.WithField("Error", err).Error("member does not encode")
		return
	}
	c.write(ctx, name, o.Version, data)
}

// write writes one of the system's own objects at a version, and takes the new one in.
func (c *Conductor) write(ctx context.Context, name string, expected identifier.Version, data []byte) bool {
	v, err := c.store.Put(ctx, c.kinds.Own, name, expected, data)
	var conflict *storer.ConflictError
	switch {
	case err == nil:
		o := storer.Object{Name: name, Version: v, Data: data}
		c.push(o)
		c.mirrors[c.kinds.Own].Merge([]storer.Object{o})
		kick(c.sendKick)
		return true
	case errors.As(err, &conflict):
		c.log.WithFields(logrus.Fields{"Object": name, "Expected": expected, "Present": conflict.Present}).Info("object was changed by another instance")
	default:
		c.log.WithFields(logrus.Fields{"Object": name, "Expected": expected, "Error": err}).Warning("object was not written")
	}
	c.listOwn(ctx) // The mirror may be behind, or the write may have taken effect.
	return false
}

// mostPushed bounds the segments of a difference that is sent to each instance: more of
// them would keep a slow link busy for longer than a list of the store takes.
const mostPushed = 48

// push has the other instances told of an object that was written: of an allocation, the
// difference.
func (c *Conductor) push(o storer.Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !strings.HasPrefix(o.Name, custodian.AllocationPrefix) {
		c.pushed = append(c.pushed, push{at: c.clock(), object: o})
		return
	}
	next, err := allocator.Decode(o.Data, o.Version)
	if err != nil {
		c.log.WithFields(logrus.Fields{"Object": o.Name, "Error": err}).Error("written allocation does not decode")
		return
	}
	base := c.custody.Allocation(next.Service)
	if base != nil && base.Version >= o.Version {
		return // A list was faster; the others fetch a copy.
	}
	delta := allocator.Diff(base, next, o.Version)
	if len(delta.Changed) > mostPushed {
		return // The others list it, since they hear that there is a newer version.
	}
	c.pushed = append(c.pushed, push{at: c.clock(), delta: &delta})
}

// keepRosters joins and leaves the rosters of the cells.
func (c *Conductor) keepRosters(ctx context.Context) {
	c.mu.Lock()
	changes := c.custody.RosterChanges(c.clock())
	c.mu.Unlock()
	for _, r := range changes {
		data, err := r.Encode()
		if err != nil {
			c.log.WithField("Error", err).Error("roster does not encode")
			continue
		}
		c.write(ctx, custodian.RosterPrefix+r.Cell.String(), r.Version, data)
	}
	c.mu.Lock()
	unread := c.custody.Unread()
	c.mu.Unlock()
	if len(unread) == 0 || !c.listOwn(ctx) {
		return
	}
	c.mu.Lock()
	c.custody.Read(unread)
	c.mu.Unlock()
	kick(c.grantKick)
}

// leftRosters reports whether this process is on no roster.
func (c *Conductor) leftRosters() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for cell := range c.custody.Rosters() {
		if c.custody.Holds(cell) {
			return false
		}
	}
	return true
}
