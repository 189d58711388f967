// Package allocator decides which backend server owns which keys of a service. An allocation is one
// object on the platform that changes by conditional writes only. A key moves to another owner in two
// writes: the prepare tells the granters of the present owner to take the key back, and the commit,
// which follows once they have, names the next owner under a higher epoch.
//
// Nothing in this package does I/O or reads a clock. Start reading with Plan in allocation.go;
// balance.go spreads load over the servers, heat.go counts requests by key, and codec.go and
// delta.go hold the two encodings.
package allocator

import (
	"fmt"
	"sort"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

// Segment is a range of keys with one owner.
type Segment struct {
	_     struct{} `cbor:",toarray"`
	Range identifier.Range
	// Owner is the backend server that owns the keys; empty if they are unowned.
	Owner identifier.BackendServer
	// Incarnation is the incarnation of the owner that the keys were assigned to.
	Incarnation registrar.Incarnation
	// Cell is the cell whose processes grant the keys to the owner.
	Cell  identifier.Cell
	Epoch identifier.Epoch
	// Handover is sent to the owner with the grant and identifies the state of the keys.
	Handover string
	// Moving reports whether a move is prepared: the keys must not be granted to the owner any more.
	Moving bool
	// Round counts the ways of taking the keys back that have been started in this move; 0 if the
	// segment is not moving.
	Round int
	// Fence, if it is not 0, is an epoch above Epoch that only the process Fencer uses. That process
	// makes the owner refuse all grants of other processes, and then takes the keys back.
	Fence  identifier.Epoch
	Fencer Fencer
}

// Fencer is the process that may use a segment's fence.
type Fencer struct {
	_           struct{} `cbor:",toarray"`
	Instance    identifier.Instance
	Incarnation identifier.Incarnation
}

// Allocation is one version of a service's allocation.
type Allocation struct {
	Service identifier.Service
	// NextEpoch is above all epochs that the service has ever used.
	NextEpoch identifier.Epoch
	// Segments cover all keys, in order and without gaps.
	Segments []Segment
	Version  identifier.Version
}

// check returns an error unless the segments cover every key exactly once, with epochs below
// NextEpoch.
func (a *Allocation) check() error {
	next := 0
	for _, s := range a.Segments {
		if int(s.Range.From) != next || s.Range.To < s.Range.From || s.Epoch >= a.NextEpoch {
			return fmt.Errorf("allocation of %s invalid: segment %s with epoch %d does not follow key %d or is not below the next epoch %d",
				a.Service, s.Range, s.Epoch, next-1, a.NextEpoch)
		}
		next = int(s.Range.To) + 1
	}
	if next != identifier.ShardKeyCount {
		return fmt.Errorf("allocation of %s invalid: its last key is %d", a.Service, next-1)
	}
	return nil
}

// Find returns the segment that contains a key. The caller must not change it.
func (a *Allocation) Find(key identifier.ShardKey) *Segment {
	n := sort.Search(len(a.Segments), func(n int) bool { return a.Segments[n].Range.To >= key })
	return &a.Segments[n]
}

// Overlapping returns the segments that overlap a range. The caller must not change them.
func (a *Allocation) Overlapping(r identifier.Range) []Segment {
	from := sort.Search(len(a.Segments), func(n int) bool { return a.Segments[n].Range.To >= r.From })
	to := sort.Search(len(a.Segments), func(n int) bool { return a.Segments[n].Range.From > r.To })
	return a.Segments[from:to]
}

// Server is a backend server that may own keys.
type Server struct {
	registrar.Entry
	// Cell is the cell whose processes grant keys to the server from now on.
	Cell identifier.Cell
	// Excluded servers are assigned no keys and lose the keys that they own.
	Excluded bool
	// Cold servers can run only few requests so far.
	Cold bool
	// Lost servers do not answer the processes that grant to them.
	Lost bool
	// Unstable servers are in a cell that is not stable, since some of its granters have not been
	// heard from: what is known of them may be wrong, and their keys could not be taken back soon.
	Unstable bool
	// Capacity is the number of requests a second that the server can run.
	Capacity float64
}

// usable reports whether the server may own keys.
func (s Server) usable() bool { return !s.Excluded && !s.Lost && s.Usable() }

// Release states that a process has no grant in force on a range of keys of their owner.
type Release struct {
	_        struct{} `cbor:",toarray"`
	Service  identifier.Service
	Range    identifier.Range
	Epoch    identifier.Epoch
	Round    int
	Handover string
}

// Input is what a plan is made from.
type Input struct {
	Service identifier.Service
	Now     time.Time
	Servers map[identifier.BackendServer]Server
	// KeyRates is nil if no request rates are known.
	KeyRates *KeyRates
	// FirstEpoch is the lowest epoch that may be given; 0 if there is no bound.
	FirstEpoch identifier.Epoch
	// Balance permits moves that only spread the load.
	Balance bool
	// Stable reports whether a cell is stable: all of its granters have been heard from for a while.
	Stable func(identifier.Cell) bool
	// Released reports whether every granter of the segment's cell has stated that it has no grant in
	// force there, and returns the handover if there is one.
	Released func(Segment) (bool, string)
	// IncarnationEnded reports whether it is proved that no process with a server's ID has the address
	// of an incarnation any more, so that nothing granted for it is in force.
	IncarnationEnded func(identifier.BackendServer, registrar.Incarnation) bool
	// Stuck reports whether a moving segment must be taken back in another way: by a fence of the
	// process that it returns, or by releases of all granters if that process is empty.
	Stuck func(Segment) (Fencer, bool)
}

// Plan returns the next allocation of a service, or nil if nothing should change. The allocation that
// it starts from is not modified; it is nil for a service that has none yet. The result carries the
// version that it replaces.
func Plan(a *Allocation, in Input) *Allocation {
	p := newPlan(a, in)
	if len(p.load) == 0 {
		return nil // No change helps without a server that may own keys.
	}
	p.commit()
	p.prepareUnusable()
	p.changeRecovery()
	if a != nil && !p.changed && in.Balance {
		p.balance()
	}
	if !p.changed {
		return nil
	}
	p.next.Segments = mergeNeighbours(p.next.Segments)
	return p.next
}

// plan is the state of one call of Plan.
type plan struct {
	Input
	next    *Allocation
	changed bool
	// load has the usable servers by ID; usable has them in order of their IDs.
	load   map[identifier.BackendServer]*serverLoad
	usable []*serverLoad
}

// serverLoad is a usable server with the weight of the keys that it owns and that are not moving.
type serverLoad struct {
	id             identifier.BackendServer
	load, capacity float64
}

// usage returns the load as a share of the capacity.
func (l *serverLoad) usage() float64 { return l.load / l.capacity }

func newPlan(a *Allocation, in Input) *plan {
	p := &plan{Input: in, load: make(map[identifier.BackendServer]*serverLoad, len(in.Servers)), usable: make([]*serverLoad, 0, len(in.Servers))}
	for id, s := range in.Servers {
		if s.usable() {
			l := &serverLoad{id: id, capacity: s.Capacity}
			p.load[id] = l
			p.usable = append(p.usable, l)
		}
	}
	sort.Slice(p.usable, func(a, b int) bool { return p.usable[a].id < p.usable[b].id })
	if a == nil {
		whole := Segment{Range: identifier.Range{To: identifier.MaxShardKey}}
		p.next = &Allocation{Service: in.Service, NextEpoch: max(1, in.FirstEpoch), Segments: split(whole, initialSegments(len(p.load)))}
		return p
	}
	next := *a
	next.Segments = append([]Segment(nil), a.Segments...)
	p.next = &next
	for _, s := range next.Segments {
		if l, ok := p.load[s.Owner]; ok && !s.Moving {
			l.load += p.weight(s.Range)
		}
	}
	return p
}

// initialPerServer is the number of segments that each server gets at first: busy keys lie side by
// side, and many small segments spread them before any request rates are known.
const initialPerServer = 8

// maxInitialSegments bounds the number of segments at first: each is renewed separately, and the whole
// allocation is one object on the platform.
const maxInitialSegments = 560

// initialSegments returns the number of segments of the first allocation for a number of servers.
func initialSegments(servers int) int {
	servers = max(servers, 1)
	return servers * min(max(maxInitialSegments/servers, 1), initialPerServer)
}

// split cuts a segment into n parts of equal length.
func split(s Segment, n int) []Segment {
	parts := make([]Segment, 0, n)
	length := s.Range.Len()
	for i := range n {
		part := s
		part.Range.From = s.Range.From + identifier.ShardKey(length*i/n)
		part.Range.To = s.Range.From + identifier.ShardKey(length*(i+1)/n-1)
		parts = append(parts, part)
	}
	return parts
}

// prepareUnusable prepares the move of each segment whose owner cannot keep it. If the owner is only
// missing or does not answer, the cell must be stable for that.
func (p *plan) prepareUnusable() {
	for n := range p.next.Segments {
		s := &p.next.Segments[n]
		if s.Owner == "" || s.Moving {
			continue
		}
		owner, ok := p.Servers[s.Owner]
		if ok && owner.usable() && owner.Incarnation == s.Incarnation {
			continue
		}
		leaving := ok && (owner.Excluded || !owner.Usable() || owner.Incarnation != s.Incarnation)
		if !leaving && !p.Stable(s.Cell) {
			continue
		}
		s.prepare()
		p.changed = true
	}
}

// prepare starts the move of a segment.
func (s *Segment) prepare() {
	s.Moving = true
	s.Round = 1
}

// changeRecovery changes the way in which stuck segments are taken back, with or without a fence.
func (p *plan) changeRecovery() {
	for n := range p.next.Segments {
		s := &p.next.Segments[n]
		if !s.Moving {
			continue
		}
		fencer, stuck := p.Stuck(*s)
		if !stuck {
			continue
		}
		s.Round++
		s.Fence, s.Fencer = 0, fencer
		if fencer != (Fencer{}) {
			s.Fence = p.next.NextEpoch
			p.next.NextEpoch++
		}
		p.changed = true
	}
}

// commit assigns unowned segments, and moving segments that have been taken back, to their next
// owners; the segments with the greatest weight come first.
//
// Keys are taken back only by the releases of their granters, each of which means that the process at
// the owner's address has dropped the keys or that all grants have lapsed, or by proof that another
// server has that address. The registered incarnation of the owner frees nothing: a grant reaches
// whichever process has the address, and an entry may be late, or come from another writer.
func (p *plan) commit() {
	var free []*Segment
	for n := range p.next.Segments {
		s := &p.next.Segments[n]
		if s.Owner == "" {
			free = append(free, s)
			continue
		}
		if !s.Moving {
			continue
		}
		if p.IncarnationEnded(s.Owner, s.Incarnation) {
			s.Handover = ""
			free = append(free, s)
		} else if done, handover := p.Released(*s); done {
			s.Handover = handover
			free = append(free, s)
		}
	}
	sort.SliceStable(free, func(a, b int) bool { return p.weight(free[a].Range) > p.weight(free[b].Range) })
	for _, s := range free {
		p.assign(s, p.leastLoaded(s.Range))
	}
}

// minKeyRate is added to the rate of each key, in requests a second, so that keys without requests are
// spread evenly too.
const minKeyRate = 1e-4

// weight returns the request rate of a range plus a minimum for each of its keys, in requests a
// second.
func (p *plan) weight(r identifier.Range) float64 {
	return p.KeyRates.Rate(r) + minKeyRate*float64(r.Len())
}

// assign makes a server the owner of a segment under a new epoch and ends the move of the segment.
func (p *plan) assign(s *Segment, to identifier.BackendServer) {
	server := p.Servers[to]
	s.Owner, s.Incarnation, s.Cell = to, server.Incarnation, server.Cell
	s.Epoch = p.next.NextEpoch
	s.Moving, s.Round, s.Fence, s.Fencer = false, 0, 0, Fencer{}
	p.next.NextEpoch++
	p.load[to].load += p.weight(s.Range)
	p.changed = true
}

// leastLoaded returns the usable server whose usage is lowest once it owns the range.
func (p *plan) leastLoaded(r identifier.Range) (best identifier.BackendServer) {
	weight := p.weight(r)
	lowest := 0.0
	for _, l := range p.usable {
		if usage := (l.load + weight) / l.capacity; best == "" || usage < lowest {
			best, lowest = l.id, usage
		}
	}
	return best
}

// mergeNeighbours joins adjacent segments that differ in nothing but their range.
func mergeNeighbours(segments []Segment) []Segment {
	out := segments[:0:0]
	for _, s := range segments {
		if n := len(out); n > 0 {
			joined := out[n-1]
			joined.Range.To = s.Range.To
			same := s
			same.Range = joined.Range
			if joined == same {
				out[n-1] = joined
				continue
			}
		}
		out = append(out, s)
	}
	return out
}
