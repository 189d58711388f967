// Package gossiper keeps what an instance knows of the other instances from the states that they
// send each other: which instances are alive, which keys they have released, how the requests
// spread over keys, and which requests crash backend servers.
//
// A state echoes the newest state that its sender has received from each other instance. The
// receiver derives from the echo a lower bound for the time at which the state was composed, without
// comparing clocks (Peer.ComposedAfter).
//
// In a large installation, states do not go from each instance to each other: relays in each zone pass on a part of them,
// the profiles, and beats that show which instances are alive (relay.go), and the sums of their requests (load.go).
//
// Nothing in this package does I/O or reads a clock. Start with State and Gossiper in gossiper.go.
package gossiper

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/leaser"
	"github.com/turmericlift/turmericlift/quarantiner"
	"github.com/turmericlift/turmericlift/registrar"
	"github.com/turmericlift/turmericlift/storer"
)

// ServerIncarnation names an incarnation of a backend server that is unreachable or has been replaced.
type ServerIncarnation struct {
	_           struct{} `cbor:",toarray"`
	Server      identifier.BackendServer
	Incarnation registrar.Incarnation
}

// Confirmation states that the sender has read Version of a cell's roster from the store, in answer
// to a request that it made no more than AgeMs milliseconds before the state.
type Confirmation struct {
	_       struct{} `cbor:",toarray"`
	Cell    identifier.Cell
	Version identifier.Version
	AgeMs   int64
}

// Fence gives the least time, in milliseconds, since a holder on a cell's roster was fenced.
type Fence struct {
	_      struct{} `cbor:",toarray"`
	Cell   identifier.Cell
	Holder leaser.Holder
	AgeMs  int64
}

// Echo names the newest state that the sender has received from another instance.
type Echo struct {
	_              struct{} `cbor:",toarray"`
	Instance       identifier.Instance
	Incarnation    identifier.Incarnation
	SequenceNumber uint64
}

// State is what an instance sends to the others. Echoes, confirmations and fences are set in full
// states only; releases, unreachable servers and request rates by key are set in states for the
// planner only.
type State struct {
	_               struct{} `cbor:",toarray"`
	Instance        identifier.Instance
	Incarnation     identifier.Incarnation
	Zone            identifier.Zone
	Address         string  // Address for calls between instances.
	Capacity        float64 // Relative capacity of the sender's machine.
	SequenceNumber  uint64  // Counts the states of this incarnation.
	Leaving         bool
	StoreUp         bool // Whether the platform's store answers the sender.
	Echoes          []Echo
	Confirmations   []Confirmation
	Fences          []Fence
	Releases        []allocator.Release
	LostServers     []ServerIncarnation
	ReplacedServers []ServerIncarnation // Incarnations whose address another backend server has.
	Crashes         []quarantiner.Crash
	KeyRates        map[identifier.Service]allocator.Sketch
	// HistoryLostBefore is a revision of the platform's store before which its history is gone. Whatever
	// was read before it must be listed again, since watches may have missed changes.
	HistoryLostBefore identifier.Version
	// NewestVersions is, by kind of the platform's objects, the highest version of an object that the
	// sender has.
	NewestVersions map[storer.ObjectKind]identifier.Version
	// ChangedRevisions is, by kind of the platform's objects, the revision at which the sender's copy last changed. Only
	// relays set it, for the instances that follow them.
	ChangedRevisions map[storer.ObjectKind]identifier.Version
	// AllocationVersions is, by service, the version of the allocation that the sender has.
	AllocationVersions map[identifier.Service]identifier.Version
	WrittenObjects     []storer.Object                  // Objects that the sender has just written.
	AllocationDeltas   []allocator.Delta                // Deltas of allocations that the sender has just written.
	RunningRequests    map[identifier.BackendServer]int // Requests of the sender that run at each server.
	WaitingRequests    map[identifier.BackendServer]int // Requests of the sender that wait for each server.
}

const (
	// SendInterval is the time between two states to the same instance.
	SendInterval = 200 * time.Millisecond
	// UnresponsiveAfter is the time without a state after which an instance counts as unresponsive: four
	// states.
	// Where states are relayed, relayedUnresponsiveAfter takes its place.
	UnresponsiveAfter = 800 * time.Millisecond
	// expireAfter is the time after which no more states are sent to an unresponsive instance,
	// unless the platform lists it. It is longer than any network partition after which the
	// instance may come back.
	expireAfter = 2 * time.Minute
	// keptSendTimes is the number of send times that are kept to date echoes.
	keptSendTimes = 256
)

// Peer is what is known of another instance.
type Peer struct {
	State
	HeardAt time.Time // When its newest state was received, or the newest beat that was relayed.
	// HeardSince is the start of the present period without a gap of UnresponsiveAfter between states.
	HeardSince   time.Time
	FirstHeardAt time.Time // When the first state of this incarnation was received.
	// ComposedAfter is a time on this process's clock after which the peer's newest state was composed. It
	// is zero as long as the peer has echoed no state of this process.
	ComposedAfter time.Time
	droppedAt     time.Time // When its connection was last dropped for being unresponsive.

	ref               uint32
	relayWeight       uint64
	heardNumber       uint64    // Number of the newest state that was received or of which a beat was relayed.
	profileNumber     uint64    // Number of the state that the relayed part of State comes from.
	changedAt         time.Time // When the relayed part of State changed.
	receivedAt        time.Time // When the newest state came from the instance itself; zero if none did.
	wantsIntroduction bool
	introducedAt      time.Time
}

// Gossiper holds what one instance knows of the others. It is not safe for concurrent use.
type Gossiper struct {
	self      State
	peers     map[identifier.Instance]*Peer
	number    uint64
	sendTimes [keptSendTimes]time.Time
	// hints are addresses at which instances may run, from the platform's list and the seeds.
	hints map[string]bool

	names       []identifier.Instance // Names of peers, sorted.
	relayWeight uint64
	refs        map[uint32]*Peer
	loads       map[identifier.Zone]receivedLoad
	sent        State                 // The state that was composed last.
	relayed     bool                  // Whether states are relayed, since there are many instances.
	forwards    bool                  // Whether this instance relays.
	ownRelays   []identifier.Instance // The other relays of this instance's zone, by rank.
}

// New returns a Gossiper for the process that self describes, by its instance, incarnation, zone,
// address and capacity.
func New(self State) *Gossiper {
	return &Gossiper{
		self: self, peers: map[identifier.Instance]*Peer{}, hints: map[string]bool{}, relayWeight: relayWeight(self.Instance), refs: map[uint32]*Peer{}, loads: map[identifier.Zone]receivedLoad{},
	}
}

// AddHint adds the address of a possible instance.
func (g *Gossiper) AddHint(address string) {
	if address != g.self.Address {
		g.hints[address] = true
	}
}

// Compose returns s completed with the sender's identity and the next sequence number, to be sent at now.
func (g *Gossiper) Compose(now time.Time, s State) State {
	g.number++
	g.sendTimes[g.number%keptSendTimes] = now
	s.Instance, s.Incarnation, s.Zone, s.Address = g.self.Instance, g.self.Incarnation, g.self.Zone, g.self.Address
	s.Capacity = g.self.Capacity
	s.SequenceNumber = g.number
	g.self.Leaving = s.Leaving
	g.sent = s
	return s
}

// Echoes returns an echo of the newest state of each live instance that sends its states to this one, in order of their
// names.
func (g *Gossiper) Echoes(now time.Time) []Echo {
	live := g.Live(now)
	echoes := make([]Echo, 0, len(live))
	for _, p := range live {
		if now.Sub(p.receivedAt) >= echoTime {
			continue
		}
		echoes = append(echoes, Echo{Instance: p.Instance, Incarnation: p.Incarnation, SequenceNumber: p.SequenceNumber})
	}
	return echoes
}

// echoTime is the time after its last own state after which an instance gets no echo.
const echoTime = 3 * time.Second

// fullStates is the number of other instances below which each state is full. With more instances,
// full states become rarer in proportion, since the number of states grows with the square of the
// number of instances.
const fullStates = 8

// IntervalFactor returns the factor by which regular work of each instance is stretched in a larger
// installation: one of that many states is full, and other regular work waits that many times
// longer.
func (g *Gossiper) IntervalFactor(now time.Time) int {
	live := 0
	for _, p := range g.peers {
		if g.isLive(now, p) {
			live++
		}
	}
	return 1 + live/fullStates
}

// IsFull reports whether the next state must be full, that is, contain the parts that others need
// only from time to time.
func (g *Gossiper) IsFull(now time.Time) bool { return (g.number+1)%uint64(g.IntervalFactor(now)) == 0 }

// RecordState records a state of another instance and reports whether it is newer than the last one.
func (g *Gossiper) RecordState(now time.Time, s State) bool {
	if s.Instance == g.self.Instance {
		return false
	}
	p, ok := g.peers[s.Instance]
	if ok && (!p.acceptsIncarnation(now, s.Incarnation) || s.Incarnation == p.Incarnation && s.SequenceNumber <= p.SequenceNumber) {
		return false
	}
	if ok && s.Incarnation == p.Incarnation && s.SequenceNumber < p.profileNumber { // A newer profile was relayed meanwhile.
		s.Leaving, s.StoreUp, s.HistoryLostBefore = p.Leaving, p.StoreUp, p.HistoryLostBefore
		s.Fences, s.ReplacedServers, s.Crashes = p.Fences, p.ReplacedServers, p.Crashes
	}
	p = g.replace(now, s)
	p.profileNumber = max(p.profileNumber, s.SequenceNumber)
	p.receivedAt = now
	p.heard(now, s.SequenceNumber, g.UnresponsiveAfter())
	for _, e := range s.Echoes {
		if e.Instance == g.self.Instance && e.Incarnation == g.self.Incarnation && e.SequenceNumber <= g.number && g.number-e.SequenceNumber < keptSendTimes {
			p.ComposedAfter = g.sendTimes[e.SequenceNumber%keptSendTimes]
		}
	}
	return true
}

// replace makes s the state of its sender and returns the sender, which is new if the incarnation is.
func (g *Gossiper) replace(now time.Time, s State) *Peer {
	p, ok := g.peers[s.Instance]
	if !ok || s.Incarnation != p.Incarnation {
		if ok {
			delete(g.refs, p.ref)
		}
		p = &Peer{FirstHeardAt: now, HeardSince: now, HeardAt: now, ref: ref(s.Instance, s.Incarnation), relayWeight: relayWeight(s.Instance), changedAt: now}
		g.peers[s.Instance] = p
		g.refs[p.ref] = p
		g.sortNames()
	} else if !sameProfile(&p.State, &s) {
		p.changedAt = now
	}
	p.State = s
	return p
}

// sortNames renews the names of the known instances.
func (g *Gossiper) sortNames() {
	g.names = slices.Sorted(maps.Keys(g.peers))
}

// zoneNames returns the zones whose loads are known, sorted.
func (g *Gossiper) zoneNames() []identifier.Zone { return slices.Sorted(maps.Keys(g.loads)) }

// acceptsIncarnation reports whether a state of an incarnation can be newer than the last one. Incarnations are derived
// from the time of day, which may have been set back between two processes. A lower incarnation is therefore accepted
// once the present one is unresponsive.
func (p *Peer) acceptsIncarnation(now time.Time, i identifier.Incarnation) bool {
	return i >= p.Incarnation || now.Sub(p.HeardAt) >= UnresponsiveAfter
}

// RequestIntroduction records that an instance has requested an introduction.
func (g *Gossiper) RequestIntroduction(i identifier.Instance) {
	if p, ok := g.peers[i]; ok {
		p.wantsIntroduction = true
	}
}

// isLive reports whether an instance is responsive.
func (g *Gossiper) isLive(now time.Time, p *Peer) bool {
	return now.Sub(p.HeardAt) < g.UnresponsiveAfter()
}

// Peer returns what is known of an instance, or nil.
func (g *Gossiper) Peer(i identifier.Instance) *Peer { return g.peers[i] }

// Known returns the instances from which anything was heard and that have not expired, in order of their names.
func (g *Gossiper) Known() []*Peer {
	known := make([]*Peer, 0, len(g.names))
	for _, name := range g.names {
		known = append(known, g.peers[name])
	}
	return known
}

// Live returns the instances whose last state is younger than UnresponsiveAfter, in order of their names.
func (g *Gossiper) Live(now time.Time) []*Peer {
	var live []*Peer
	for _, name := range g.names {
		if p := g.peers[name]; g.isLive(now, p) {
			live = append(live, p)
		}
	}
	return live
}

// expire drops instances that have been unresponsive for long.
func (g *Gossiper) expire(now time.Time) {
	for i, p := range g.peers {
		if now.Sub(p.HeardAt) >= expireAfter {
			delete(g.peers, i)
			delete(g.refs, p.ref)
			g.sortNames()
		}
	}
}

// Targets returns the addresses at which instances may run, in order. It drops instances that have expired.
func (g *Gossiper) Targets(now time.Time) []string {
	g.expire(now)
	to := map[string]bool{}
	for a := range g.hints {
		to[a] = true
	}
	for _, p := range g.peers {
		to[p.Address] = true
	}
	delete(to, g.self.Address)
	targets := make([]string, 0, len(to))
	for a := range to {
		targets = append(targets, a)
	}
	sort.Strings(targets)
	return targets
}

// ReplaceHints replaces the addresses of possible instances.
func (g *Gossiper) ReplaceHints(addresses []string) {
	g.hints = map[string]bool{}
	for _, a := range addresses {
		g.AddHint(a)
	}
}

// Count returns the number of instances that are known to be serving now, this one included. An instance that became
// unresponsive less than countFor ago still counts. Bounds that must hold for all instances together are divided by
// package apportioner instead, since other instances may know of more, or of others.
func (g *Gossiper) Count(now time.Time) int {
	n := 1
	for _, p := range g.peers {
		if now.Sub(p.HeardAt) < countFor {
			n++
		}
	}
	return n
}

// countFor is the time for which an unresponsive instance still counts.
const countFor = 10 * time.Second

// ReconnectTargets returns the addresses of unresponsive instances whose connections should be dropped,
// because they may be dead. It returns each address at most once in dropInterval.
func (g *Gossiper) ReconnectTargets(now time.Time) []string {
	var unresponsive []string
	for _, p := range g.peers {
		if !g.isLive(now, p) && now.Sub(p.droppedAt) >= dropInterval {
			p.droppedAt = now
			unresponsive = append(unresponsive, p.Address)
		}
	}
	sort.Strings(unresponsive)
	return unresponsive
}

// dropInterval is the time between two new connections to an unresponsive instance.
const dropInterval = time.Second
