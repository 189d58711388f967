package conductor

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
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
	heatEvery = 200 * time.Millisecond
	// crashKept is the time in which a crash is told to others.
	crashKept = 5 * time.Second
	// sendTimeout bounds the sending of a state.
	sendTimeout = time.Second
	// copyTick is the time between two looks at whether another instance has newer objects.
	copyTick = 75 * time.Millisecond
	// copyTicks is the number of them between two calls for another instance's copies, while
	// the platform turns this one away.
	copyTicks = 4
	// aheadTime is the time in which a difference arrives that another instance has already.
	aheadTime = 150 * time.Millisecond
)

// sendLoop tells the other instances this one's state.
func (c *Conductor) sendLoop(ctx context.Context) {
	var heatAt time.Time
	every(ctx, gossiper.SendEvery, c.sendKick, func() {
		now := c.clock()
		c.mu.Lock()
		c.scheduler.Heard(c.others(now))
		state := c.custody.Gossip.Compose(now, c.state(now, c.custody.Gossip.Full(now)))
		targets := c.custody.Gossip.Targets(now)
		planner := c.custody.Planner(now)
		plannerAddress := ""
		forPlanner := state
		if p := c.custody.Gossip.Peer(planner); p != nil {
			plannerAddress = p.Address
			forPlanner.Releases, forPlanner.Lost = c.custody.Releases(now), c.custody.Lost(now)
			if now.Sub(heatAt) >= heatEvery {
				heatAt = now
				forPlanner.Heat = c.sketches(now)
			}
		}
		for _, p := range c.custody.Gossip.Silent(now) {
			c.tasks.Go(func(context.Context) { c.transport.Drop(p) })
		}
		c.mu.Unlock()
		plain, err := cbor.Marshal(state)
		if err != nil {
			c.log.WithField("Error", err).Error("state does not encode")
			return
		}
		planning := plain
		if plannerAddress != "" {
			if planning, err = cbor.Marshal(forPlanner); err != nil {
				c.log.WithField("Error", err).Error("state does not encode")
				return
			}
		}
		for _, address := range targets {
			data := plain
			if address == plannerAddress {
				data = planning
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

// state returns what this instance tells all others. The caller holds the lock.
func (c *Conductor) state(now time.Time, full bool) gossiper.State {
	s := gossiper.State{Leaving: c.leaving, StoreUp: c.custody.StoreUp(), ListedAfter: c.listedAfter}
	if full {
		s.Echoes, s.Confirmed, s.Fences = c.custody.Gossip.Echoes(now), c.custody.Confirmations(now), c.custody.Fences(now)
	}
	for id, life := range c.view.replaced {
		s.Replaced = append(s.Replaced, gossiper.LostServer{Server: id, Life: life})
	}
	s.Allocations = c.custody.Versions()
	s.Newest = make(map[storer.ObjectKind]identifier.Version, len(c.lags))
	for kind := range c.lags {
		s.Newest[kind] = c.mirrors[kind].Newest()
	}
	c.addPushes(now, &s)
	s.Running, s.Waiting = c.scheduler.Running(), c.scheduler.WaitingAt()
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

// addPushes adds what was written a short while ago: a state may be skipped while the one
// before is on its way.
func (c *Conductor) addPushes(now time.Time, s *gossiper.State) {
	kept := c.pushed[:0]
	for _, p := range c.pushed {
		if now.Sub(p.at) >= pushFor {
			continue
		}
		kept = append(kept, p)
		if p.delta != nil {
			s.Deltas = append(s.Deltas, *p.delta)
		} else {
			s.Objects = append(s.Objects, p.object)
		}
	}
	c.pushed = kept
}

// pushFor is the time in which what was written is told: two states.
const pushFor = 2 * gossiper.SendEvery

// others returns the requests that the other instances have at each server, and those that
// wait for it.
func (c *Conductor) others(now time.Time) (running, waiting map[identifier.BackendServer]int) {
	running, waiting = map[identifier.BackendServer]int{}, map[identifier.BackendServer]int{}
	for _, p := range c.custody.Gossip.Live(now) {
		for id, n := range p.Running {
			running[id] += n
		}
		for id, n := range p.Waiting {
			waiting[id] += n
		}
	}
	return running, waiting
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
	c.mu.Lock()
	news := c.hear(c.clock(), s)
	objects := s.Objects
	if news {
		objects = append(objects, c.custody.Apply(s.Deltas)...)
	}
	c.mu.Unlock()
	if len(objects) > 0 {
		c.mirrors[c.kinds.Own].Merge(objects)
	}
	if news && len(s.Releases) > 0 {
		kick(c.planKick)
	}
}

// hear takes in a state and reports whether it is news. The caller holds the lock.
func (c *Conductor) hear(now time.Time, s gossiper.State) bool {
	var before gossiper.Peer
	if old := c.custody.Gossip.Peer(s.Instance); old != nil {
		before = *old
	}
	same := before.Incarnation == s.Incarnation
	if s.Heat == nil && same {
		s.Heat = before.Heat // It comes with some states only.
	}
	if !c.custody.Heard(now, s) {
		return false
	}
	if before.Incarnation != 0 && !same {
		// Connections to the process before lead nowhere.
		c.tasks.Go(func(context.Context) { c.transport.Drop(s.Address) })
	}
	if !same || before.Leaving != s.Leaving || c.custody.Gossip.Peer(s.Instance).HeardSince.Equal(now) {
		c.log.WithFields(logrus.Fields{"Peer": s.Instance, "PeerIncarnation": s.Incarnation, "Zone": s.Zone, "Leaving": s.Leaving, "StoreUp": s.StoreUp}).Info("instance is heard")
		c.refresh(now)
	}
	for _, crash := range s.Crashes {
		c.crashes.Crashed(now, crash)
	}
	for _, r := range s.Replaced {
		c.replace(now, r.Server, r.Life)
	}
	c.relist(s.ListedAfter)
	c.catchUp(now, s)
	return true
}

// relist has everything that was read before a revision of the store listed anew: an
// instance has found the store's history before it gone. The caller holds the lock.
func (c *Conductor) relist(after identifier.Version) {
	if after <= c.listedAfter {
		return
	}
	c.listedAfter = after
	for kind, m := range c.mirrors {
		if copied, _ := m.Copy(); kind != c.kinds.Own && copied.Revision < after {
			m.Refresh()
		}
	}
}

// catchUp has a kind listed anew of which another instance has a newer object for longer than
// a watch takes to tell. The caller holds the lock.
func (c *Conductor) catchUp(now time.Time, s gossiper.State) {
	for kind, lag := range c.lags {
		patience := lagTime
		if kind != c.kinds.Config {
			patience += gatherTime * time.Duration(c.custody.Gossip.Share(now))
		}
		m := c.mirrors[kind]
		if lag.Heard(now, s.Newest[kind], m.Revision(), patience) {
			c.log.WithFields(logrus.Fields{"Kind": kind, "Peer": s.Instance, "Newest": s.Newest[kind], "Revision": m.Revision()}).Info("another instance has newer objects, listed anew")
			m.Refresh()
		}
	}
}

// lagTime is the time that a watch may take to tell of a change that another instance has
// heard of.
const lagTime = 300 * time.Millisecond

// copyRequest asks for what is newer than the revisions, and of the system's own objects
// for those that are newer than the versions.
type copyRequest struct {
	Revisions map[storer.ObjectKind]identifier.Version
	Own       map[string]identifier.Version
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
		copied, _ := m.Copy()
		if kind == c.kinds.Own {
			copied.Objects = slices.DeleteFunc(copied.Objects, func(o storer.Object) bool { return o.Version <= req.Own[o.Name] })
		}
		if kind == c.kinds.Own && len(copied.Objects) > 0 || kind != c.kinds.Own && copied.Newest() > req.Revisions[kind] {
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

// copyLoop reads the shared objects anew when another instance has newer ones, and takes
// other instances' copies while the platform turns this one away.
func (c *Conductor) copyLoop(ctx context.Context) {
	next := 0
	var behindAt time.Time // Since when another instance is ahead.
	every(ctx, copyTick, nil, func() {
		now := c.clock()
		c.mu.Lock()
		ahead, behind := c.custody.Ahead(now)
		down := !c.view.storeDownAt.IsZero() || c.view.table == nil
		targets := c.custody.Gossip.Targets(now)
		c.mu.Unlock()
		switch {
		case !behind:
			behindAt = time.Time{}
		case behindAt.IsZero():
			behindAt = now // The difference may be on its way.
		case now.Sub(behindAt) < aheadTime:
		case down:
			behindAt = time.Time{}
			c.copyFrom(ctx, ahead.Address)
			return
		default:
			behindAt = time.Time{}
			c.listOwn(ctx)
		}
		if next++; down && next%copyTicks == 0 && len(targets) > 0 {
			c.copyFrom(ctx, targets[next/copyTicks%len(targets)])
		}
	})
}

func (c *Conductor) copyFrom(ctx context.Context, address string) {
	req := copyRequest{map[storer.ObjectKind]identifier.Version{}, map[string]identifier.Version{}}
	for kind, m := range c.mirrors {
		copied, _ := m.Copy()
		req.Revisions[kind] = copied.Newest()
		if kind != c.kinds.Own {
			continue
		}
		for _, o := range copied.Objects {
			req.Own[o.Name] = o.Version
		}
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
