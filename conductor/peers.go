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

// member is the shared object by which instances find each other. Each instance writes its own.
type member struct {
	Instance    identifier.Instance
	Incarnation identifier.Incarnation
	Zone        identifier.Zone
	Address     string
}

// decodeMember decodes a member object.
func decodeMember(data []byte) (member, error) {
	var m member
	if err := json.Unmarshal(data, &m); err != nil {
		return member{}, fmt.Errorf("decode member: %w", err)
	}
	return m, nil
}

const (
	// keyRatesInterval is the time between two reports of request rates by key to the planner.
	keyRatesInterval = 200 * time.Millisecond
	// crashReportTime is how long a crash is reported to the other instances.
	crashReportTime = 5 * time.Second
	// sendTimeout bounds the sending of a state.
	sendTimeout = time.Second
	// copyInterval is the time between two checks whether another instance has newer objects.
	copyInterval = 75 * time.Millisecond
	// copyTicks is the number of such checks between two calls that fetch another instance's copies
	// while the platform does not answer this one.
	copyTicks = 4
	// deltaWait is the time in which the delta of an allocation normally arrives that another
	// instance already has.
	deltaWait = 150 * time.Millisecond
)

// sendLoop sends this instance's state to the other instances, at intervals and when triggered. The
// state for the planner also carries releases, unreachable servers and, less often, request rates
// by key.
func (c *Conductor) sendLoop(ctx context.Context) {
	var keyRatesSentAt time.Time
	runEvery(ctx, gossiper.SendInterval, c.sendTrigger, func() {
		now := c.clock()
		c.mu.Lock()
		c.scheduler.RecordPeerLoad(c.peerLoad(now))
		state := c.ownership.Gossip.Compose(now, c.state(now, c.ownership.Gossip.IsFull(now)))
		targets := c.ownership.Gossip.Targets(now)
		planner := c.ownership.Planner(now)
		plannerAddress := ""
		forPlanner := state
		if p := c.ownership.Gossip.Peer(planner); p != nil {
			plannerAddress = p.Address
			forPlanner.Releases, forPlanner.LostServers = c.ownership.Releases(now), c.ownership.LostServers(now)
			if now.Sub(keyRatesSentAt) >= keyRatesInterval {
				keyRatesSentAt = now
				forPlanner.KeyRates = c.keyRateSketches(now)
			}
		}
		for _, p := range c.ownership.Gossip.ReconnectTargets(now) {
			c.tasks.Go(func(context.Context) { c.transport.Drop(p) })
		}
		c.mu.Unlock()
		plain, err := cbor.Marshal(state)
		if err != nil {
			c.log.WithField("Error", err).Error("state does not encode, it is not sent")
			return
		}
		planning := plain
		if plannerAddress != "" {
			if planning, err = cbor.Marshal(forPlanner); err != nil {
				c.log.WithField("Error", err).Error("state for the planner does not encode, no state is sent")
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

// sendTo sends a state to an address, unless an earlier one is still being sent to it.
func (c *Conductor) sendTo(address string, data []byte) {
	c.mu.Lock()
	busy := c.sendingTo[address]
	c.sendingTo[address] = true
	c.mu.Unlock()
	if busy {
		return
	}
	c.tasks.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		if err := c.transport.Send(ctx, address, data); err != nil {
			c.log.WithFields(logrus.Fields{"Address": address, "Error": err}).Debug("state was not sent to another instance, a later one follows")
		}
		c.mu.Lock()
		delete(c.sendingTo, address)
		c.mu.Unlock()
	})
}

// state returns the state that this instance sends to all others; full adds the parts that come
// with full states only. The caller holds the lock.
func (c *Conductor) state(now time.Time, full bool) gossiper.State {
	s := gossiper.State{Leaving: c.leaving, StoreUp: c.ownership.StoreUp(), HistoryLostBefore: c.historyLostBefore}
	if full {
		s.Echoes, s.Confirmations, s.Fences = c.ownership.Gossip.Echoes(now), c.ownership.Confirmations(now), c.ownership.Fences(now)
	}
	for id, incarnation := range c.view.replaced {
		s.ReplacedServers = append(s.ReplacedServers, gossiper.ServerIncarnation{Server: id, Incarnation: incarnation})
	}
	s.AllocationVersions = c.ownership.Versions()
	s.NewestVersions = make(map[storer.ObjectKind]identifier.Version, len(c.lagDetectors))
	for kind := range c.lagDetectors {
		s.NewestVersions[kind] = c.mirrors[kind].NewestVersion()
	}
	c.addRecentWrites(now, &s)
	s.RunningRequests, s.WaitingRequests = c.scheduler.RunningByServer(), c.scheduler.WaitingByServer()
	kept := c.crashReports[:0]
	for _, r := range c.crashReports {
		if now.Sub(r.at) < crashReportTime {
			kept = append(kept, r)
			s.Crashes = append(s.Crashes, r.crash)
		}
	}
	c.crashReports = kept
	return s
}

// addRecentWrites adds recent writes to a state. Each write goes into several states, because a
// state is skipped while the one before it is still being sent.
func (c *Conductor) addRecentWrites(now time.Time, s *gossiper.State) {
	kept := c.recentWrites[:0]
	for _, p := range c.recentWrites {
		if now.Sub(p.at) >= announceTime {
			continue
		}
		kept = append(kept, p)
		if p.delta != nil {
			s.AllocationDeltas = append(s.AllocationDeltas, *p.delta)
		} else {
			s.WrittenObjects = append(s.WrittenObjects, p.object)
		}
	}
	c.recentWrites = kept
}

// announceTime is how long a write is announced: two states.
const announceTime = 2 * gossiper.SendInterval

// peerLoad returns, by backend server, the number of requests that the other instances have
// running there and the number that wait for it.
func (c *Conductor) peerLoad(now time.Time) (running, waiting map[identifier.BackendServer]int) {
	running, waiting = map[identifier.BackendServer]int{}, map[identifier.BackendServer]int{}
	for _, p := range c.ownership.Gossip.Live(now) {
		for id, n := range p.RunningRequests {
			running[id] += n
		}
		for id, n := range p.WaitingRequests {
			waiting[id] += n
		}
	}
	return running, waiting
}

// keyRateSketches returns this instance's request rates by key for each service.
func (c *Conductor) keyRateSketches(now time.Time) map[identifier.Service]allocator.Sketch {
	sketches := map[identifier.Service]allocator.Sketch{}
	for service, counter := range c.keyCounters {
		sketches[service] = counter.Sketch(now)
	}
	return sketches
}

// HandleMessage implements transporter.Handler: it applies the state of another instance.
func (c *Conductor) HandleMessage(data []byte) {
	var s gossiper.State
	if err := cbor.Unmarshal(data, &s); err != nil {
		c.log.WithField("Error", err).Warning("state of another instance does not decode, it is dropped")
		return
	}
	c.mu.Lock()
	isNew := c.handleState(c.clock(), s)
	objects := s.WrittenObjects
	if isNew {
		objects = append(objects, c.ownership.ExpandDeltas(s.AllocationDeltas)...)
	}
	c.mu.Unlock()
	if len(objects) > 0 {
		c.mirrors[c.kinds.Shared].Merge(objects)
	}
	if isNew && len(s.Releases) > 0 {
		trigger(c.planTrigger)
	}
}

// handleState applies a state of another instance and reports whether it is newer than the last
// one. The caller holds the lock.
func (c *Conductor) handleState(now time.Time, s gossiper.State) bool {
	var before gossiper.Peer
	if old := c.ownership.Gossip.Peer(s.Instance); old != nil {
		before = *old
	}
	same := before.Incarnation == s.Incarnation
	if s.KeyRates == nil && same {
		s.KeyRates = before.KeyRates // Request rates come with some states only.
	}
	if !c.ownership.HandleState(now, s) {
		return false
	}
	if before.Incarnation != 0 && !same {
		// Connections to the former process lead nowhere.
		c.tasks.Go(func(context.Context) { c.transport.Drop(s.Address) })
	}
	if !same || before.Leaving != s.Leaving || c.ownership.Gossip.Peer(s.Instance).HeardSince.Equal(now) {
		c.log.WithFields(logrus.Fields{"Peer": s.Instance, "PeerIncarnation": s.Incarnation, "Zone": s.Zone, "Leaving": s.Leaving, "StoreUp": s.StoreUp}).Info("state received from a new, returned or leaving instance")
		c.refresh(now)
	}
	for _, crash := range s.Crashes {
		c.crashes.RecordCrash(now, crash)
	}
	for _, r := range s.ReplacedServers {
		c.replace(now, r.Server, r.Incarnation)
	}
	c.relist(s.HistoryLostBefore)
	c.relistIfBehind(now, s)
	return true
}

// relist lists everything again that was read before a revision of the store, because an instance
// has found that the store's history before that revision is gone. The caller holds the lock.
func (c *Conductor) relist(after identifier.Version) {
	if after <= c.historyLostBefore {
		return
	}
	c.historyLostBefore = after
	for kind, m := range c.mirrors {
		if copied, _ := m.Snapshot(); kind != c.kinds.Shared && copied.Revision < after {
			m.Relist()
		}
	}
}

// relistIfBehind lists a kind again if another instance has had a newer object of it for longer
// than a watch takes to deliver it. The caller holds the lock.
func (c *Conductor) relistIfBehind(now time.Time, s gossiper.State) {
	for kind, lag := range c.lagDetectors {
		timeout := watchLag
		if kind != c.kinds.Config {
			timeout += watchDelay * time.Duration(c.ownership.Gossip.IntervalFactor(now))
		}
		m := c.mirrors[kind]
		if lag.Observe(now, s.NewestVersions[kind], m.Revision(), timeout) {
			c.log.WithFields(logrus.Fields{"Kind": kind, "Peer": s.Instance, "Newest": s.NewestVersions[kind], "Revision": m.Revision()}).Info("watch delivered no event though another instance has newer objects, the kind is listed again")
			m.Relist()
		}
	}
}

// watchLag is the time that a watch may take to deliver a change that another instance already has.
const watchLag = 300 * time.Millisecond

// copyRequest requests the kinds that have an object newer than the given revision. Of the shared
// objects it requests those that are newer than the given versions, by name.
type copyRequest struct {
	Revisions      map[storer.ObjectKind]identifier.Version
	SharedVersions map[string]identifier.Version `cbor:"Own"`
}

// copyAnswer carries the requested copies.
type copyAnswer struct {
	Copies []mirrorer.Copy
}

// HandleRequest implements transporter.Handler: it answers another instance's request for copies of
// the platform's objects. It returns nil if the request does not decode.
func (c *Conductor) HandleRequest(_ context.Context, kind transporter.Kind, data []byte) []byte {
	var req copyRequest
	if kind != transporter.KindCopy || cbor.Unmarshal(data, &req) != nil {
		c.log.WithField("Kind", kind).Warning("request of another instance does not decode, it gets an empty answer")
		return nil
	}
	var answer copyAnswer
	for kind, m := range c.mirrors {
		copied, _ := m.Snapshot()
		if kind == c.kinds.Shared {
			copied.Objects = slices.DeleteFunc(copied.Objects, func(o storer.Object) bool { return o.Version <= req.SharedVersions[o.Name] })
		}
		if kind == c.kinds.Shared && len(copied.Objects) > 0 || kind != c.kinds.Shared && copied.NewestVersion() > req.Revisions[kind] {
			answer.Copies = append(answer.Copies, copied)
		}
	}
	reply, err := cbor.Marshal(answer)
	if err != nil {
		c.log.WithField("Error", err).Error("copies do not encode, the request gets an empty answer")
		return nil
	}
	return reply
}

// copyLoop lists the shared objects when another instance has newer ones, and fetches copies from
// other instances while the platform does not answer this one.
func (c *Conductor) copyLoop(ctx context.Context) {
	next := 0
	var behindAt time.Time // Since when another instance has had a newer allocation.
	runEvery(ctx, copyInterval, nil, func() {
		now := c.clock()
		c.mu.Lock()
		ahead, behind := c.ownership.PeerWithNewerAllocation(now)
		down := !c.view.storeDownAt.IsZero() || c.view.table == nil
		targets := c.ownership.Gossip.Targets(now)
		c.mu.Unlock()
		switch {
		case !behind:
			behindAt = time.Time{}
		case behindAt.IsZero():
			behindAt = now // The delta may still arrive.
		case now.Sub(behindAt) < deltaWait:
		case down:
			behindAt = time.Time{}
			c.copyFrom(ctx, ahead.Address)
			return
		default:
			behindAt = time.Time{}
			c.listShared(ctx)
		}
		if next++; down && next%copyTicks == 0 && len(targets) > 0 {
			c.copyFrom(ctx, targets[next/copyTicks%len(targets)])
		}
	})
}

// copyFrom requests copies from the instance at an address and applies them.
func (c *Conductor) copyFrom(ctx context.Context, address string) {
	req := copyRequest{map[storer.ObjectKind]identifier.Version{}, map[string]identifier.Version{}}
	for kind, m := range c.mirrors {
		copied, _ := m.Snapshot()
		req.Revisions[kind] = copied.NewestVersion()
		if kind != c.kinds.Shared {
			continue
		}
		for _, o := range copied.Objects {
			req.SharedVersions[o.Name] = o.Version
		}
	}
	data, err := cbor.Marshal(req)
	if err != nil {
		c.log.WithField("Error", err).Error("request for copies does not encode, it is not sent")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	reply, err := c.transport.Call(ctx, address, transporter.KindCopy, data)
	if err != nil {
		c.log.WithFields(logrus.Fields{"Address": address, "Error": err}).Debug("another instance did not answer the request for copies")
		return
	}
	var answer copyAnswer
	if err := cbor.Unmarshal(reply, &answer); err != nil {
		c.log.WithFields(logrus.Fields{"Address": address, "Error": err}).Warning("copies of another instance do not decode, they are dropped")
		return
	}
	for _, copied := range answer.Copies {
		m, ok := c.mirrors[copied.Kind]
		if !ok {
			continue
		}
		if copied.Kind == c.kinds.Shared {
			m.Merge(copied.Objects) // A copy of the shared objects is not a complete list.
			continue
		}
		if m.ApplyList(copied, time.Time{}) {
			c.log.WithFields(logrus.Fields{"Address": address, "Kind": copied.Kind, "Revision": copied.Revision}).Info("copy of another instance is applied")
		}
	}
}
