package conductor

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/gossiper"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/mirrorer"
	"github.com/turmericlift/turmericlift/storer"
	"github.com/turmericlift/turmericlift/transporter"
)

// member is the object by which instances find each other.
type member struct {
	Instance    identifier.Instance
	Incarnation identifier.Incarnation
	Zone        identifier.Zone
	Address     string
}

func decodeMember(data []byte) (member, error) {
	var m member
	if err := json.Unmarshal(data, &m); err != nil {
		return member{}, fmt.Errorf("decode member: %w", err)
	}
	return m, nil
}

const (
	// heatEvery is the time between two reports of rates by key to the planner.
	heatEvery = 400 * time.Millisecond
	// crashKept is the time in which a crash is told to others.
	crashKept = 5 * time.Second
	// sendTimeout bounds the sending of a state.
	sendTimeout = time.Second
	// copyEvery is the time between two calls for another instance's copies, while the
	// platform turns this one away.
	copyEvery = 300 * time.Millisecond
)

// sendLoop tells the other instances this one's state.
func (c *Conductor) sendLoop(ctx context.Context) {
	var heatAt time.Time
	every(ctx, gossiper.SendEvery, c.sendKick, func() {
		now := c.clock()
		c.mu.Lock()
		c.scheduler.Heard(c.othersRunning(now))
		state := c.gossip.Compose(now, c.state(now))
		targets := c.gossip.Targets(now)
		planner := c.planner(now)
		withHeat := now.Sub(heatAt) >= heatEvery
		var heat map[identifier.Service]allocator.Sketch
		if withHeat && planner != c.settings.Instance {
			heatAt = now
			heat = c.sketches(now)
		}
		plannerAddress := ""
		if p := c.gossip.Peer(planner); p != nil {
			plannerAddress = p.Address
		}
		for _, p := range c.gossip.Silent(now) {
			c.tasks.Go(func(context.Context) { c.transport.Drop(p) })
		}
		c.mu.Unlock()
		plain, err := cbor.Marshal(state)
		if err != nil {
			c.log.WithField("Error", err).Error("state does not encode")
			return
		}
		hot := plain
		if heat != nil {
			state.Heat = heat
			if hot, err = cbor.Marshal(state); err != nil {
				c.log.WithField("Error", err).Error("state does not encode")
				return
			}
		}
		for _, address := range targets {
			data := plain
			if address == plannerAddress {
				data = hot
			}
			c.sendTo(address, data)
		}
	})
}

// sendTo sends a state unless one is still on its way to the address.
func (c *Conductor) sendTo(address string, data []byte) {
	c.mu.Lock()
	busy := c.peersBusy[address]
	c.peersBusy[address] = true
	c.mu.Unlock()
	if busy {
		return
	}
	c.tasks.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		if err := c.transport.Send(ctx, address, data); err != nil {
			c.log.WithFields(logrus.Fields{"Address": address, "Error": err}).Debug("state was not sent")
		}
		c.mu.Lock()
		delete(c.peersBusy, address)
		c.mu.Unlock()
	})
}

// state returns what this instance tells the others. The caller holds the lock.
func (c *Conductor) state(now time.Time) gossiper.State {
	s := gossiper.State{Leaving: c.leaving, StoreUp: c.view.storeDownAt.IsZero() && !c.view.ownAsked.IsZero()}
	for zone, r := range c.view.rosters {
		s.Confirmed = append(s.Confirmed, gossiper.Confirmation{
			Zone: zone, Version: r.Version, AgeMs: now.Sub(c.view.ownAsked).Milliseconds() + 1,
		})
		if _, ok := r.Find(c.settings.Instance, c.settings.Incarnation); !ok {
			continue
		}
		for _, e := range c.view.entries {
			if e.Zone == zone && c.leaser.Lost(now, e.ID, e.Life) {
				s.Lost = append(s.Lost, gossiper.LostServer{Server: e.ID, Life: e.Life})
			}
		}
	}
	s.Releases = c.releases(now)
	s.Newest, s.Objects, s.Deltas = c.view.newest, c.pushed, c.deltas
	c.pushed, c.deltas = nil, nil
	s.Running = c.scheduler.Running()
	kept := c.reported[:0]
	for _, r := range c.reported {
		if now.Sub(r.at) < crashKept {
			kept = append(kept, r)
			s.Crashes = append(s.Crashes, r.crash)
		}
	}
	c.reported = kept
	return s
}

// othersRunning returns the requests that the other instances have at each server.
func (c *Conductor) othersRunning(now time.Time) map[identifier.BackendServer]int {
	sum := map[identifier.BackendServer]int{}
	for _, p := range c.gossip.Live(now) {
		for id, n := range p.Running {
			sum[id] += n
		}
	}
	return sum
}

// releases returns the moving segments on which nothing of this instance is in force.
func (c *Conductor) releases(now time.Time) []allocator.Release {
	var releases []allocator.Release
	for service, a := range c.view.allocations {
		for _, seg := range a.Segments {
			if !seg.Moving || !c.holds(seg.Zone) || seg.Fence != 0 && seg.Fencer != c.self() {
				continue
			}
			if handover, free := c.leaser.Free(now, service, seg); free {
				releases = append(releases, allocator.Release{Service: service, Range: seg.Range, Epoch: seg.Epoch, Round: seg.Round, Handover: handover})
			}
		}
	}
	return releases
}

// holds reports whether this process is on a zone's roster, fenced or not.
func (c *Conductor) holds(zone identifier.Zone) bool {
	_, ok := c.view.rosters[zone].Find(c.settings.Instance, c.settings.Incarnation)
	return ok
}

func (c *Conductor) sketches(now time.Time) map[identifier.Service]allocator.Sketch {
	sketches := map[identifier.Service]allocator.Sketch{}
	for service, counter := range c.heat {
		sketches[service] = counter.Sketch(now)
	}
	return sketches
}

// HandleMessage implements transporter.Handler: it takes in another instance's state.
func (c *Conductor) HandleMessage(data []byte) {
	var s gossiper.State
	if err := cbor.Unmarshal(data, &s); err != nil {
		c.log.WithField("Error", err).Warning("state of another instance does not decode")
		return
	}
	now := c.clock()
	c.mu.Lock()
	old := c.gossip.Peer(s.Instance)
	heat := s.Heat
	if heat == nil && old != nil && old.Incarnation == s.Incarnation {
		s.Heat = old.Heat // It comes with some states only.
	}
	if !c.gossip.Heard(now, s) {
		c.mu.Unlock()
		return
	}
	p := c.gossip.Peer(s.Instance)
	if old != nil && old.Incarnation != s.Incarnation {
		// Connections to the process before lead nowhere.
		c.tasks.Go(func(context.Context) { c.transport.Drop(s.Address) })
	}
	if old == nil || old.Incarnation != s.Incarnation || old.Leaving != s.Leaving || p.HeardSince.Equal(now) {
		c.log.WithFields(logrus.Fields{"Peer": s.Instance, "PeerIncarnation": s.Incarnation, "Zone": s.Zone, "Leaving": s.Leaving, "StoreUp": s.StoreUp}).Info("instance is heard")
		c.refresh(now)
	}
	for _, crash := range s.Crashes {
		c.crashes.Crashed(now, crash)
	}
	c.relay(p)
	wakes := len(s.Releases) > 0
	objects := append(s.Objects, c.applied(s.Deltas)...)
	if s.Newest <= c.view.newest {
		c.behindAt = time.Time{}
	} else if c.behindAt.IsZero() {
		c.behindAt = now
	}
	c.mu.Unlock()
	if len(objects) > 0 {
		c.mirrors[c.kinds.Own].Merge(objects)
	}
	if wakes {
		kick(c.planKick)
	}
}

// applied returns the allocations that deltas lead to. One whose base is not known here
// is left to a later copy.
func (c *Conductor) applied(deltas []allocator.Delta) []storer.Object {
	var objects []storer.Object
	next := map[identifier.Service]*allocator.Allocation{}
	for _, d := range deltas {
		base, ok := next[d.Service]
		if !ok {
			base = c.view.allocations[d.Service]
		}
		if base != nil && base.Version >= d.Version {
			continue
		}
		a, err := allocator.Apply(base, d)
		if err != nil {
			c.log.WithFields(logrus.Fields{"Service": d.Service, "Version": d.Version, "Error": err}).Info("allocation's change does not fit")
			continue
		}
		data, err := a.Encode()
		if err != nil {
			c.log.WithField("Error", err).Error("allocation does not encode")
			continue
		}
		next[d.Service] = a
		objects = append(objects, storer.Object{Name: allocationPrefix + string(d.Service), Version: d.Version, Data: data})
	}
	return objects
}

// relay takes the confirmations of a peer that the store answers for this instance's
// own: they are as good as if this instance had asked at the time after which the state
// was made, less their age.
func (c *Conductor) relay(p *gossiper.Peer) {
	if p.MadeAfter.IsZero() {
		return
	}
	for _, confirmed := range p.Confirmed {
		if r, ok := c.view.rosters[confirmed.Zone]; ok && r.Version == confirmed.Version {
			asked := p.MadeAfter.Add(-time.Duration(confirmed.AgeMs) * time.Millisecond)
			if asked.After(c.relayed[confirmed.Zone]) {
				c.relayed[confirmed.Zone] = asked
			}
		}
	}
}

// copyRequest asks for copies that are newer than the ones named.
type copyRequest struct {
	Revisions map[storer.ObjectKind]identifier.Version
}

// copyAnswer holds the copies.
type copyAnswer struct {
	Copies []mirrorer.Copy
}

// HandleRequest implements transporter.Handler: it hands out copies of the platform's
// objects.
func (c *Conductor) HandleRequest(_ context.Context, kind transporter.Kind, data []byte) []byte {
	var req copyRequest
	if kind != transporter.KindCopy || cbor.Unmarshal(data, &req) != nil {
		c.log.WithField("Kind", kind).Warning("call of another instance does not decode")
		return nil
	}
	var answer copyAnswer
	for kind, m := range c.mirrors {
		if copied, _ := m.Copy(); copied.Newest() > req.Revisions[kind] {
			answer.Copies = append(answer.Copies, copied)
		}
	}
	reply, err := cbor.Marshal(answer)
	if err != nil {
		c.log.WithField("Error", err).Error("copies do not encode")
		return nil
	}
	return reply
}

// copyLoop takes other instances' copies while the platform turns this one away.
func (c *Conductor) copyLoop(ctx context.Context) {
	next := 0
	every(ctx, copyEvery, nil, func() {
		now := c.clock()
		c.mu.Lock()
		behind := !c.behindAt.IsZero() && now.Sub(c.behindAt) >= copyEvery/2
		down := !c.view.storeDownAt.IsZero() || c.view.table == nil || behind
		targets := c.gossip.Targets(now)
		c.mu.Unlock()
		if !down || len(targets) == 0 {
			return
		}
		next++
		c.copyFrom(ctx, targets[next%len(targets)])
	})
}

func (c *Conductor) copyFrom(ctx context.Context, address string) {
	req := copyRequest{map[storer.ObjectKind]identifier.Version{}}
	for kind, m := range c.mirrors {
		copied, _ := m.Copy()
		req.Revisions[kind] = copied.Newest()
	}
	data, err := cbor.Marshal(req)
	if err != nil {
		c.log.WithField("Error", err).Error("call for copies does not encode")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	reply, err := c.transport.Call(ctx, address, transporter.KindCopy, data)
	if err != nil {
		c.log.WithFields(logrus.Fields{"Address": address, "Error": err}).Debug("no copies")
		return
	}
	var answer copyAnswer
	if err := cbor.Unmarshal(reply, &answer); err != nil {
		c.log.WithFields(logrus.Fields{"Address": address, "Error": err}).Warning("copies do not decode")
		return
	}
	for _, copied := range answer.Copies {
		m, ok := c.mirrors[copied.Kind]
		if !ok {
			continue
		}
		if copied.Kind == c.kinds.Own {
			m.Merge(copied.Objects) // A copy of these is no list: it may lack some.
			continue
		}
		if m.Take(copied, time.Time{}) {
			c.log.WithFields(logrus.Fields{"Address": address, "Kind": copied.Kind, "Revision": copied.Revision}).Info("copy taken from another instance")
		}
	}
}
