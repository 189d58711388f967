package conductor

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/gossiper"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/storer"
)

// member is the shared object by which instances find each other, and the record by which they count each other. Each
// instance writes its own; the planner ends and removes those of instances that are gone.
type member struct {
	Instance    identifier.Instance
	Incarnation identifier.Incarnation
	Zone        identifier.Zone
	Address     string
	Settled     bool `json:",omitempty"` // See apportioner.Record.
	Ended       bool `json:",omitempty"`
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
	// keyRatesFactor bounds the reports that the planner of a large installation gets: the time between two reports is the
	// interval, times the interval factor, divided by this.
	keyRatesFactor = 3
	// crashReportTime is how long a crash is reported to the other instances.
	crashReportTime = 5 * time.Second
	// sendTimeout bounds the sending of a state.
	sendTimeout = time.Second
	// maxUrgentSends bounds the messages that are being sent to one instance at the same time.
	maxUrgentSends = 6
)

// sendLoop sends this instance's state to the other instances, at intervals and when triggered. The
// state for the planner also carries releases, unreachable servers and, less often, request rates
// by key.
func (c *Conductor) sendLoop(ctx context.Context) {
	var report plannerReport
	var sentAt time.Time
	runEvery(ctx, gossiper.SendInterval, c.sendTrigger, func() {
		now := c.clock()
		c.mu.Lock()
		// A send that was triggered between two intervals carries what is urgent, without what is relayed regularly.
		triggered := now.Sub(sentAt) < gossiper.SendInterval/2
		if !triggered {
			sentAt = now
			running, waiting := c.ownership.Gossip.Load(now, maps.Keys(c.view.entries))
			c.scheduler.RecordPeerLoad(now, running, waiting)
		}
		messages := c.messages(now, &report, triggered)
		for _, p := range c.ownership.Gossip.ReconnectTargets(now) {
			c.tasks.Go(func(context.Context) { c.transport.Drop(p) })
		}
		c.mu.Unlock()
		for _, m := range messages {
			data, err := cbor.Marshal(m.message)
			if err != nil {
				c.log.WithField("Error", err).Error("message to other instances does not encode, it is not sent")
				continue
			}
			s := &m.message.State
			urgent := len(s.WrittenObjects)+len(s.AllocationDeltas)+len(s.Releases) > 0
			for _, address := range m.addresses {
				c.sendTo(address, data, urgent)
			}
		}
	})
}

// outgoing is a message and the addresses that get it.
type outgoing struct {
	message   gossiper.Message
	addresses []string
}

// plannerReport records what the last state for the planner contained.
type plannerReport struct {
	keyRatesAt time.Time
	planner    identifier.Instance
	urgent     bool // It had releases or unreachable servers.
}

// messages composes this instance's state and returns the messages to send now. The caller holds the lock.
func (c *Conductor) messages(now time.Time, report *plannerReport, triggered bool) []outgoing {
	gossip := c.ownership.Gossip
	state := gossip.Compose(now, c.state(now, gossip.IsFull(now)))
	d := gossip.Deliveries(now)
	forPlanner, planner := c.stateForPlanner(now, state, report)
	messages := []outgoing{}
	add := func(m gossiper.Message, addresses []string) {
		m.Introduce = d.Introduce
		addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == planner })
		if len(addresses) > 0 {
			messages = append(messages, outgoing{m, addresses})
		}
	}
	scopes := [...]gossiper.Scope{gossiper.ScopeState, gossiper.ScopeZone, gossiper.ScopeAll}
	if triggered {
		scopes = [...]gossiper.Scope{gossiper.ScopeState, gossiper.ScopeState, gossiper.ScopeState}
	}
	plannerScope := gossiper.ScopeState
	for n, addresses := range [][]string{d.Peers, d.Relays, d.Members} {
		if slices.Contains(addresses, planner) {
			plannerScope = scopes[n]
		}
		add(gossip.Relay(now, state, scopes[n]), addresses)
	}
	if len(d.Newcomers) > 0 {
		if slices.Contains(d.Newcomers, planner) {
			plannerScope = gossiper.ScopeIntroduction
		}
		add(gossip.Relay(now, state, gossiper.ScopeIntroduction), d.Newcomers)
	}
	if planner != "" {
		messages = append(messages, outgoing{gossip.Relay(now, forPlanner, plannerScope), []string{planner}})
	}
	return messages
}

// stateForPlanner returns the state with what only the planner needs, and the planner's address. The address is empty if
// there is no other planner, or, where states are relayed, nothing to report to it. The caller holds the lock.
func (c *Conductor) stateForPlanner(now time.Time, state gossiper.State, report *plannerReport) (gossiper.State, string) {
	gossip := c.ownership.Gossip
	planner := c.ownership.Planner(now)
	p := gossip.Peer(planner)
	if p == nil {
		return state, ""
	}
	state.Releases, state.LostServers = c.ownership.Releases(now), c.ownership.LostServers(now)
	ratesDue := now.Sub(report.keyRatesAt) >= keyRatesInterval*time.Duration(gossip.IntervalFactor(now))/keyRatesFactor
	if !gossip.Relayed() {
		ratesDue = now.Sub(report.keyRatesAt) >= keyRatesInterval
	}
	urgent := len(state.Releases) > 0 || len(state.LostServers) > 0
	if gossip.Relayed() && !ratesDue && !urgent && !report.urgent && report.planner == planner {
		return state, ""
	}
	report.planner, report.urgent = planner, urgent
	if ratesDue {
		report.keyRatesAt = now
		state.KeyRates = c.keyRateSketches(now)
	}
	return state, p.Address
}

// sendTo sends a message to an address, unless an earlier one is still being sent to it. Several urgent ones may be sent
// at the same time: their content is not repeated.
func (c *Conductor) sendTo(address string, data []byte, urgent bool) {
	limit := 1
	if urgent {
		limit = maxUrgentSends
	}
	c.mu.Lock()
	busy := c.sendingTo[address] >= limit
	if !busy {
		c.sendingTo[address]++
	}
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
		if c.sendingTo[address]--; c.sendingTo[address] == 0 {
			delete(c.sendingTo, address)
		}
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
	s.ChangedRevisions = c.changedRevisions()
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

// keyRateSketches returns this instance's request rates by key for each service.
func (c *Conductor) keyRateSketches(now time.Time) map[identifier.Service]allocator.Sketch {
	sketches := map[identifier.Service]allocator.Sketch{}
	for service, counter := range c.keyCounters {
		sketches[service] = counter.Sketch(now)
	}
	return sketches
}

// HandleMessage implements transporter.Handler: it applies the state of another instance, and what it relays.
func (c *Conductor) HandleMessage(data []byte) {
	var m gossiper.Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		c.log.WithField("Error", err).Warning("message of another instance does not decode, it is dropped")
		return
	}
	s := m.State
	c.mu.Lock()
	now := c.clock()
	isNew := c.handleState(now, s)
	if m.Introduce {
		c.ownership.Gossip.RequestIntroduction(s.Instance)
	}
	for _, f := range m.Profiles {
		c.handleProfile(now, f)
	}
	c.ownership.Gossip.RecordBeats(now, m.Beats)
	c.ownership.Gossip.RecordLoads(now, m.Loads)
	var changed []identifier.Service
	if isNew {
		changed = c.ownership.ApplyDeltas(now, s.AllocationDeltas)
		c.allocationsChanged(now, changed)
	}
	forwards := isNew && c.ownership.Gossip.Forwards()
	c.mu.Unlock()
	var written []string
	if len(s.WrittenObjects) > 0 {
		written = c.mirrors[c.kinds.Shared].Merge(s.WrittenObjects)
	}
	if forwards {
		c.forwardWrites(now, s, written, changed)
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
	c.applyState(now, before, s)
	c.relistIfBehind(now, s)
	return true
}

// handleProfile applies the relayed profile of another instance. The caller holds the lock.
func (c *Conductor) handleProfile(now time.Time, f gossiper.Profile) {
	var before gossiper.Peer
	if old := c.ownership.Gossip.Peer(f.Instance); old != nil {
		before = *old
	}
	if s, ok := c.ownership.HandleProfile(now, f); ok {
		c.applyState(now, before, s)
	}
}

// applyState applies what changed with a newer state of another instance. before is what was known of the instance. The
// caller holds the lock.
func (c *Conductor) applyState(now time.Time, before gossiper.Peer, s gossiper.State) {
	same := before.Incarnation == s.Incarnation
	if before.Incarnation != 0 && !same {
		// Connections to the former process lead nowhere.
		c.tasks.Go(func(context.Context) { c.transport.Drop(s.Address) })
	}
	if !same || before.Leaving != s.Leaving || c.ownership.Gossip.Peer(s.Instance).HeardSince.Equal(now) {
		c.log.WithFields(logrus.Fields{"Peer": s.Instance, "PeerIncarnation": s.Incarnation, "Zone": s.Zone, "Leaving": s.Leaving, "StoreUp": s.StoreUp}).Info("state received from a new, returned or leaving instance")
		c.refreshDue = true // Many instances may start at once.
	}
	for _, crash := range s.Crashes {
		c.crashes.RecordCrash(now, crash)
	}
	for _, r := range s.ReplacedServers {
		c.replace(now, r.Server, r.Incarnation)
	}
	if c.view.era.present > 0 {
		c.noticeEra(now, s.HistoryLostBefore.Era())
	}
	c.relist(s.HistoryLostBefore)
}

// allocationsChanged acts on allocations of services that have changed. The caller holds the lock.
func (c *Conductor) allocationsChanged(now time.Time, services []identifier.Service) {
	if len(services) == 0 {
		return
	}
	c.scheduler.Tick(now)
	trigger(c.planTrigger)
	trigger(c.grantTrigger)
}

// relist lists everything again that was read before a revision of the store, because an instance
// has found that the store's history before that revision is gone. The caller holds the lock.
func (c *Conductor) relist(after identifier.Version) {
	if after <= c.historyLostBefore {
		return
	}
	c.historyLostBefore = after
	if c.delegation.active && c.view.era.present == 0 {
		return // The relay lists the kinds again, and its copies tell what has changed.
	}
	for kind, m := range c.mirrors {
		if copied, _ := m.Snapshot(); kind != c.kinds.Shared && copied.Revision < after {
			m.Relist()
		}
	}
}

// relistIfBehind lists a kind again if another instance has had a newer object of it for longer
// than a watch takes to deliver it. The caller holds the lock.
func (c *Conductor) relistIfBehind(now time.Time, s gossiper.State) {
	if c.delegation.active {
		c.copyIfSourceChanged(s)
		return
	}
	eventDelay := watchDelay * time.Duration(c.ownership.Gossip.IntervalFactor(now))
	for kind, lag := range c.lagDetectors {
		timeout := watchLag
		if kind != c.kinds.Config {
			timeout += eventDelay
		}
		m := c.mirrors[kind]
		if lag.Observe(now, s.NewestVersions[kind], m.Revision(), timeout) {
			c.log.WithFields(logrus.Fields{"Kind": kind, "Peer": s.Instance, "Newest": s.NewestVersions[kind], "Revision": m.Revision()}).Info("watch delivered no event though another instance has newer objects, the kind is listed again")
			m.Relist()
			c.copyIfStoreIsSilent(now, s)
		}
	}
}

// watchLag is the time that a watch may take to deliver a change that another instance already has.
const watchLag = 300 * time.Millisecond
