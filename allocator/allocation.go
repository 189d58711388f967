// Package allocator decides which backend server owns which keys of a service. An
// allocation is one object on the platform that changes by conditional writes only. A
// key moves in two of them: the mark tells the owner's granters to take the key back,
// the commit names the next owner under a higher epoch, once they have.
//
// Nothing in this package does I/O or reads a clock.
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
	Owner identifier.BackendServer // Empty: nobody owns the keys.
	Life  registrar.Life           // The process of the owner that the keys were given to.
	Cell  identifier.Cell          // Whose processes grant the keys to the owner.
	Epoch identifier.Epoch
	// Handover is what the owner gets with the grant to know the keys' state.
	Handover string
	// Moving says that the owner is to be granted the keys no more.
	Moving bool
	// Round counts the ways that were tried to take the keys back.
	Round int
	// Fence, if it is not 0, is an epoch above Epoch that one process, Fencer, uses to
	// make the owner refuse all grants of others, and then to take the keys back.
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
	Service   identifier.Service
	NextEpoch identifier.Epoch // Above all epochs ever used.
	Segments  []Segment        // In order, without gaps.
	Version   identifier.Version
}

// check reports an allocation that does not cover every key once.
func (a *Allocation) check() error {
	next := 0
	for _, s := range a.Segments {
		if int(s.Range.From) != next || s.Range.To < s.Range.From || s.Epoch >= a.NextEpoch {
			return fmt.Errorf("allocation of %s: segment %s with epoch %d does not follow key %d, next epoch %d",
				a.Service, s.Range, s.Epoch, next-1, a.NextEpoch)
		}
		next = int(s.Range.To) + 1
	}
	if next != identifier.Points {
		return fmt.Errorf("allocation of %s ends at key %d", a.Service, next-1)
	}
	return nil
}

// Find returns the segment of a key.
func (a *Allocation) Find(p identifier.Point) *Segment {
	n := sort.Search(len(a.Segments), func(n int) bool { return a.Segments[n].Range.To >= p })
	return &a.Segments[n]
}

// Server is a backend server that keys can be given to.
type Server struct {
	registrar.Entry
	Cell identifier.Cell // Whose processes grant keys to the server from now on.
	// Excluded servers get no keys, and lose those that they have.
	Excluded bool
	// Cold servers bear little.
	Cold bool
	// Lost servers do not answer their granter.
	Lost bool
	// Unsteady servers are in a cell whose granters are not all heard: what is known of
	// the server may be wrong, and its keys could not be taken back soon.
	Unsteady bool
	// Capacity is the requests a second that the server can run.
	Capacity float64
}

// usable reports whether the server may own keys.
func (s Server) usable() bool { return !s.Excluded && !s.Lost && s.Usable() }

// Release says that a granter has nothing more in force on keys of an owner.
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
	Heat    *Heat
	// Balance allows moves that only spread the load.
	Balance bool
	// Steady reports whether a cell's granters are all heard, and have been for a while.
	Steady func(identifier.Cell) bool
	// Released reports whether every granter of the segment's cell has said that it has
	// nothing in force there, and the handover if there is one.
	Released func(Segment) (bool, string)
	// Ended reports whether a life of a server is known to have ended, and all that it held
	// with it.
	Ended func(identifier.BackendServer, registrar.Life) bool
	// Stuck reports whether a segment that moves is to be taken back in another way: by a
	// fence of the process that it returns, or by the granters' own word if that is empty.
	Stuck func(Segment) (Fencer, bool)
}

// Plan returns the next version of an allocation, or nil if nothing is to change. The
// version nil stands for a service that has none.
func Plan(a *Allocation, in Input) *Allocation {
	p := newPlan(a, in)
	if len(p.load) == 0 {
		return nil // Without a server that can take keys, nothing gets better.
	}
	p.commit()
	p.repair()
	p.fence()
	if a != nil && !p.changed && in.Balance {
		p.balance()
	}
	if !p.changed {
		return nil
	}
	p.next.Segments = merged(p.next.Segments)
	return p.next
}

// plan is an allocation on its way to the next version.
type plan struct {
	Input
	next    *Allocation
	changed bool
	load    map[identifier.BackendServer]float64 // Of usable servers: the weight of their keys.
}

func newPlan(a *Allocation, in Input) *plan {
	p := &plan{Input: in, load: map[identifier.BackendServer]float64{}}
	for id, s := range in.Servers {
		if s.usable() {
			p.load[id] = 0
		}
	}
	if a == nil {
		whole := Segment{Range: identifier.Range{To: identifier.MaxPoint}}
		p.next = &Allocation{Service: in.Service, NextEpoch: 1, Segments: split(whole, initialSegments(len(p.load)))}
		return p
	}
	next := *a
	next.Segments = append([]Segment(nil), a.Segments...)
	p.next = &next
	for _, s := range next.Segments {
		if _, ok := p.load[s.Owner]; ok && !s.Moving {
			p.load[s.Owner] += p.weight(s.Range)
		}
	}
	return p
}

// initialParts is the number of segments that each server gets at first: busy keys lie
// side by side, and many small segments spread them before anything is known of them.
const initialParts = 8

// mostInitial bounds the segments at first: each is renewed on its own, and the whole
// allocation is one object on the platform.
const mostInitial = 560

// initialSegments returns the number of segments that a number of servers gets at first.
func initialSegments(servers int) int {
	servers = max(servers, 1)
	return servers * min(max(mostInitial/servers, 1), initialParts)
}

// split cuts a segment into n parts of equal length.
func split(s Segment, n int) []Segment {
	parts := make([]Segment, 0, n)
	length := s.Range.Len()
	for i := range n {
		part := s
		part.Range.From = s.Range.From + identifier.Point(length*i/n)
		part.Range.To = s.Range.From + identifier.Point(length*(i+1)/n-1)
		parts = append(parts, part)
	}
	return parts
}

// repair marks the segments whose owner cannot keep them.
func (p *plan) repair() {
	for n := range p.next.Segments {
		s := &p.next.Segments[n]
		if s.Owner == "" || s.Moving {
			continue
		}
		owner, ok := p.Servers[s.Owner]
		if ok && owner.usable() && owner.Life == s.Life {
			continue
		}
		leaving := ok && (owner.Excluded || !owner.Usable() || owner.Life != s.Life)
		if !leaving && !p.Steady(s.Cell) {
			continue
		}
		s.mark()
		p.changed = true
	}
}

// mark starts the move of a segment.
func (s *Segment) mark() {
	s.Moving = true
	s.Round = 1
}

// fence changes the way in which segments that are stuck are taken back.
func (p *plan) fence() {
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

// commit gives segments that nobody holds any more to their next owners, the hottest
// first.
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
		if owner, ok := p.Servers[s.Owner]; ok && owner.Life != s.Life || p.Ended(s.Owner, s.Life) {
			s.Handover = ""
			free = append(free, s)
		} else if done, handover := p.Released(*s); done {
			s.Handover = handover
			free = append(free, s)
		}
	}
	sort.SliceStable(free, func(a, b int) bool { return p.weight(free[a].Range) > p.weight(free[b].Range) })
	for _, s := range free {
		p.give(s, p.leastLoaded(s.Range))
	}
}

// minimalRate makes keys without requests spread evenly too, in requests a second per
// key.
const minimalRate = 1e-4

func (p *plan) weight(r identifier.Range) float64 {
	return p.Heat.Rate(r) + minimalRate*float64(r.Len())
}

func (p *plan) give(s *Segment, to identifier.BackendServer) {
	server := p.Servers[to]
	s.Owner, s.Life, s.Cell = to, server.Life, server.Cell
	s.Epoch = p.next.NextEpoch
	s.Moving, s.Round, s.Fence, s.Fencer = false, 0, 0, Fencer{}
	p.next.NextEpoch++
	p.load[to] += p.weight(s.Range)
	p.changed = true
}

// leastLoaded returns the usable server that is used least once it has the range.
func (p *plan) leastLoaded(r identifier.Range) (best identifier.BackendServer) {
	weight := p.weight(r)
	lowest := 0.0
	for id, load := range p.load {
		used := (load + weight) / p.Servers[id].Capacity
		if best == "" || used < lowest || used == lowest && id < best {
			best, lowest = id, used
		}
	}
	return best
}

// merged joins neighbours that differ in nothing but their range.
func merged(segments []Segment) []Segment {
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
