// Package gossiper keeps what an instance knows of the others from the states that
// they send each other: who is alive, what they have released, how their requests
// spread over keys, and which requests crash backend servers.
//
// A state echoes what its sender has heard of each other instance, so that whoever
// reads it can tell how old it is at most, without comparing clocks. Nothing in this
// package does I/O or reads a clock.
package gossiper

import (
	"sort"
	"time"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/leaser"
	"github.com/turmericlift/turmericlift/quarantiner"
	"github.com/turmericlift/turmericlift/ranker"
	"github.com/turmericlift/turmericlift/registrar"
	"github.com/turmericlift/turmericlift/storer"
)

// LostServer names a life of a backend server that does not answer.
type LostServer struct {
	_      struct{} `cbor:",toarray"`
	Server identifier.BackendServer
	Life   registrar.Life
}

// Confirmation is how old a process's knowledge of a cell's roster is.
type Confirmation struct {
	_       struct{} `cbor:",toarray"`
	Cell    identifier.Cell
	Version identifier.Version // Of the roster.
	AgeMs   int64
}

// Fence says how long ago, at least, a process on a cell's roster was fenced.
type Fence struct {
	_      struct{} `cbor:",toarray"`
	Cell   identifier.Cell
	Holder leaser.Holder
	AgeMs  int64
}

// Echo says which state of another instance was heard last.
type Echo struct {
	_           struct{} `cbor:",toarray"`
	Instance    identifier.Instance
	Incarnation identifier.Incarnation
	Number      uint64
}

// State is what an instance tells the others. Echoes, Confirmed and Fences come with full
// states only; Releases, Lost and Heat go to the planner only.
type State struct {
	_           struct{} `cbor:",toarray"`
	Instance    identifier.Instance
	Incarnation identifier.Incarnation
	Zone        identifier.Zone
	Address     string // For calls between instances.
	Strength    float64
	Number      uint64 // Of the states of this incarnation.
	Leaving     bool
	StoreUp     bool // The platform's store answers the sender.
	Echoes      []Echo
	Confirmed   []Confirmation
	Fences      []Fence
	Releases    []allocator.Release
	Lost        []LostServer
	Replaced    []LostServer // Lives whose address another backend server has.
	Crashes     []quarantiner.Crash
	Heat        map[identifier.Service]allocator.Sketch
	// ListedAfter is a revision of the platform's store before which its history is gone:
	// what was read before is to be listed anew, since watches may have missed changes.
	ListedAfter identifier.Version
	// Newest is the highest version of an object that the sender has, by kind of the
	// platform's objects.
	Newest map[storer.ObjectKind]identifier.Version
	// Allocations are the versions of the allocations that the sender has.
	Allocations map[identifier.Service]identifier.Version
	Objects     []storer.Object                  // That the sender has just written.
	Deltas      []allocator.Delta                // Of allocations that the sender has just written.
	Running     map[identifier.BackendServer]int // Requests of this instance at each server.
	Waiting     map[identifier.BackendServer]int // Requests of this instance that wait for each server.
}

const (
	// SendEvery is the time between two states to the same instance.
	SendEvery = 200 * time.Millisecond
	// SilentAfter is the time after which an instance that was not heard counts as gone:
	// four states.
	SilentAfter = 800 * time.Millisecond
	// forgetAfter is the time after which a silent instance is not sent states any more,
	// unless the platform lists it: longer than any cut that it may come back from.
	forgetAfter = 2 * time.Minute
	// sentKept is the number of sending times that are kept to date echoes.
	sentKept = 256
)

// Peer is what is known of another instance.
type Peer struct {
	State
	HeardAt    time.Time
	HeardSince time.Time // Since when it has been heard without a gap.
	FirstAt    time.Time // When this incarnation was heard first.
	// MadeAfter is a time of this process's clock before which the peer's present state
	// was not made; zero if it has heard nothing of this process.
	MadeAfter time.Time
	droppedAt time.Time
}

// Gossiper is the state of one instance. It is not safe for concurrent use.
type Gossiper struct {
	self   State
	peers  map[identifier.Instance]*Peer
	number uint64
	sentAt [sentKept]time.Time
	// Addresses that may be instances, from the platform's list and its seeds.
	hints map[string]bool
}

// New returns a Gossiper of the process that self describes.
func New(self State) *Gossiper {
	return &Gossiper{self: self, peers: map[identifier.Instance]*Peer{}, hints: map[string]bool{}}
}

// Hint adds the address of a possible instance.
func (g *Gossiper) Hint(address string) {
	if address != g.self.Address {
		g.hints[address] = true
	}
}

// Compose completes a state to be sent now.
func (g *Gossiper) Compose(now time.Time, s State) State {
	g.number++
	g.sentAt[g.number%sentKept] = now
	s.Instance, s.Incarnation, s.Zone, s.Address = g.self.Instance, g.self.Incarnation, g.self.Zone, g.self.Address
	s.Strength = g.self.Strength
	s.Number = g.number
	return s
}

// Echoes says which states of the others were heard last.
func (g *Gossiper) Echoes(now time.Time) []Echo {
	live := g.Live(now)
	echoes := make([]Echo, 0, len(live))
	for _, p := range live {
		echoes = append(echoes, Echo{Instance: p.Instance, Incarnation: p.Incarnation, Number: p.Number})
	}
	return echoes
}

// fullStates is the number of instances up to which each state is full; among more of
// them full ones are so much rarer, since their number grows with the square.
const fullStates = 8

// Rank returns how many of the instances that Count counts rank before this one for a task.
func (g *Gossiper) Rank(now time.Time, task string) int {
	mine := ranker.Weight(task, string(g.self.Instance))
	before := 0
	for _, p := range g.peers {
		if now.Sub(p.HeardAt) < countFor && ranker.Weight(task, string(p.Instance)) > mine {
			before++
		}
	}
	return before
}

// Share returns in how many states one is to be full, and by how much longer than in a
// small installation other regular work that each instance does may wait.
func (g *Gossiper) Share(now time.Time) int { return 1 + len(g.Live(now))/fullStates }

// Full reports whether the next state is to be full: with what others need only now and
// then.
func (g *Gossiper) Full(now time.Time) bool { return (g.number+1)%uint64(g.Share(now)) == 0 }

// Heard takes in a state and reports whether it is news.
func (g *Gossiper) Heard(now time.Time, s State) bool {
	if s.Instance == g.self.Instance {
		return false
	}
	p, ok := g.peers[s.Instance]
	if ok && !p.precedes(now, s) {
		return false
	}
	if !ok || s.Incarnation != p.Incarnation {
		p = &Peer{FirstAt: now, HeardSince: now}
		g.peers[s.Instance] = p
	} else if now.Sub(p.HeardAt) >= SilentAfter {
		p.HeardSince = now
	}
	p.State, p.HeardAt = s, now
	for _, e := range s.Echoes {
		if e.Instance == g.self.Instance && e.Incarnation == g.self.Incarnation && e.Number <= g.number && g.number-e.Number < sentKept {
			p.MadeAfter = g.sentAt[e.Number%sentKept]
		}
	}
	return true
}

// precedes reports whether a state is newer than what is known of its sender.
// Incarnations come from the time of day, which may have been set back between two
// processes: a lower one is new if the other has been silent.
func (p *Peer) precedes(now time.Time, s State) bool {
	switch {
	case s.Incarnation == p.Incarnation:
		return s.Number > p.Number
	case s.Incarnation < p.Incarnation:
		return now.Sub(p.HeardAt) >= SilentAfter
	default:
		return true
	}
}

// Peer returns what is known of an instance, or nil.
func (g *Gossiper) Peer(i identifier.Instance) *Peer { return g.peers[i] }

// Live returns the instances that are heard now, in order of their names.
func (g *Gossiper) Live(now time.Time) []*Peer {
	var live []*Peer
	for _, p := range g.peers {
		if now.Sub(p.HeardAt) < SilentAfter {
			live = append(live, p)
		}
	}
	sort.Slice(live, func(a, b int) bool { return live[a].Instance < live[b].Instance })
	return live
}

// Targets returns the addresses to send a state to.
func (g *Gossiper) Targets(now time.Time) []string {
	to := map[string]bool{}
	for a := range g.hints {
		to[a] = true
	}
	for i, p := range g.peers {
		if now.Sub(p.HeardAt) < forgetAfter {
			to[p.Address] = true
		} else {
			delete(g.peers, i)
		}
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
		g.Hint(a)
	}
}

// Count returns the instances that may be serving now, this one included, on the safe
// side: one that was silent for a short while still counts.
func (g *Gossiper) Count(now time.Time) int {
	n := 1
	for _, p := range g.peers {
		if now.Sub(p.HeardAt) < countFor {
			n++
		}
	}
	return n
}

// countFor is the time for which a silent instance counts in shares of limits.
const countFor = 10 * time.Second

// Silent returns the addresses of instances that have just gone silent, or are silent
// still, at most once a second each: connections to them may be dead.
func (g *Gossiper) Silent(now time.Time) []string {
	var silent []string
	for _, p := range g.peers {
		if now.Sub(p.HeardAt) >= SilentAfter && now.Sub(p.droppedAt) >= dropEvery {
			p.droppedAt = now
			silent = append(silent, p.Address)
		}
	}
	sort.Strings(silent)
	return silent
}

// dropEvery is the time between two new connections to a silent instance.
const dropEvery = time.Second
