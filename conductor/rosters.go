package conductor

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/leaser"
	"github.com/turmericlift/turmericlift/mirrorer"
	"github.com/turmericlift/turmericlift/storer"
)

func copyOf(kind storer.ObjectKind, page storer.Page) mirrorer.Copy {
	return mirrorer.Copy{Kind: kind, Revision: page.Revision, Objects: page.Objects}
}

// fenceReserve is added to the time after which a fenced process is known to grant no
// more, for clocks that differ in rate.
const fenceReserve = time.Second

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

// push has the other instances told of an object that was written: of an allocation, the
// difference.
func (c *Conductor) push(o storer.Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !strings.HasPrefix(o.Name, allocationPrefix) {
		c.pushed = append(c.pushed, o)
		return
	}
	next, err := allocator.Decode(o.Data, o.Version)
	if err != nil {
		c.log.WithFields(logrus.Fields{"Object": o.Name, "Error": err}).Error("written allocation does not decode")
		return
	}
	c.deltas = append(c.deltas, allocator.Diff(c.view.allocations[next.Service], next, o.Version))
}

// keepRosters joins and leaves the rosters of the zones.
func (c *Conductor) keepRosters(ctx context.Context) {
	now := c.clock()
	c.mu.Lock()
	zones := map[identifier.Zone]bool{}
	for _, e := range c.view.entries {
		if c.view.table != nil && c.view.table.Services[e.Service].Keyed {
			zones[e.Zone] = true
		}
	}
	for zone := range c.view.rosters {
		zones[zone] = true
	}
	var changes []leaser.Roster
	for zone := range zones {
		if r, ok := c.rosterChange(now, zone); ok {
			changes = append(changes, r)
		}
	}
	c.mu.Unlock()
	c.mu.Lock()
	var unread []identifier.Zone // Joined, but what was allocated before is not known yet.
	for zone := range c.view.rosters {
		if c.holds(zone) && !c.joined[zone] {
			unread = append(unread, zone)
		}
	}
	c.mu.Unlock()
	if len(unread) > 0 {
		c.finishJoin(ctx, unread)
	}
	for _, r := range changes {
		c.writeRoster(ctx, r)
	}
}

// finishJoin reads what was allocated before this process joined rosters. Whoever plans
// may not have waited for it: it has to be known before the first grant.
func (c *Conductor) finishJoin(ctx context.Context, zones []identifier.Zone) {
	if !c.listOwn(ctx) {
		return
	}
	c.mu.Lock()
	for _, zone := range zones {
		if h, on := c.view.rosters[zone].Find(c.settings.Instance, c.settings.Incarnation); on && !h.Fenced {
			c.joined[zone] = true
		}
	}
	c.mu.Unlock()
	kick(c.grantKick)
}

// rosterChange returns the next version of a zone's roster if this process is to
// change it. The caller holds the lock.
func (c *Conductor) rosterChange(now time.Time, zone identifier.Zone) (leaser.Roster, bool) {
	r := c.view.rosters[zone]
	r.Zone = zone
	mine, on := r.Find(c.settings.Instance, c.settings.Incarnation)
	wanted := c.granter(now, zone) == c.settings.Instance
	switch {
	case wanted && (!on || mine.Fenced):
		return r.Join(c.settings.Instance, c.settings.Incarnation, func(h leaser.Holder) bool {
			p := c.gossip.Peer(h.Instance)
			return h.Instance != c.settings.Instance && (p == nil || now.Sub(p.HeardAt) >= silentTime)
		}), true
	case !wanted && on && (mine.Fenced || c.giving(now, zone)) && c.leaser.Idle(now, zone):
		return r.Without(func(h leaser.Holder) bool { return h == mine }), true
	case wanted && on:
		next := r.Without(func(h leaser.Holder) bool { return h != mine && c.over(now, zone, h) })
		return next, len(next.Holders) < len(r.Holders)
	}
	return r, false
}

// silentTime is the silence after which a holder is fenced.
const silentTime = 900 * time.Millisecond

// over reports whether nothing that a holder granted can be in force: its process
// ended, or it was fenced, long enough ago.
func (c *Conductor) over(now time.Time, zone identifier.Zone, h leaser.Holder) bool {
	settings := leaser.Settings{Hold: min(grantHold, c.settings.MaxHold)}
	if h.Instance == c.settings.Instance {
		return h.Incarnation < c.settings.Incarnation && now.Sub(c.startedAt) > settings.Longest()
	}
	if p := c.gossip.Peer(h.Instance); p != nil && p.Incarnation > h.Incarnation && now.Sub(p.FirstAt) > settings.Longest() {
		return true
	}
	since, ok := c.fencedAt[holderKey{zone, h.Instance, h.Incarnation}]
	return ok && h.Fenced && now.Sub(since) > grantAuthority+settings.Longest()+fenceReserve
}

func (c *Conductor) writeRoster(ctx context.Context, r leaser.Roster) {
	data, err := r.Encode()
	if err != nil {
		c.log.WithField("Error", err).Error("roster does not encode")
		return
	}
	if !c.write(ctx, rosterPrefix+string(r.Zone), r.Version, data) {
		return
	}
	if h, on := r.Find(c.settings.Instance, c.settings.Incarnation); !on || h.Fenced {
		return
	}
	c.finishJoin(ctx, []identifier.Zone{r.Zone})
}

// leftRosters reports whether this process is on no roster.
func (c *Conductor) leftRosters() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for zone := range c.view.rosters {
		if c.holds(zone) {
			return false
		}
	}
	return true
}
