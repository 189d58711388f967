// Package leaser grants keys to backend servers and takes them back. A grant is a
// lease that runs from its arrival at the server; the Leaser knows of every grant that
// it sent until when it may be in force, also if no answer came.
//
// Several processes may renew the same grant. One that ends a grant speaks only for
// itself: the keys are free once every process on the cell's roster has said so.
// Nothing in this package does I/O or reads a clock; the clock of its times must go on
// while the machine is suspended.
package leaser

import (
	"time"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

// OrderKind is what an order asks for.
type OrderKind int

// The kinds of orders.
const (
	Grant OrderKind = iota
	Release
)

// Order is a call on a backend server.
type Order struct {
	Kind     OrderKind
	Service  identifier.Service
	Server   identifier.BackendServer
	Life     registrar.Life
	Range    identifier.Range
	Epoch    identifier.Epoch
	Hold     time.Duration
	Handover string
	Fencing  bool // The epoch is a fence that only this process uses.
}

// Outcome is how an order ended.
type Outcome int

// The outcomes of orders.
const (
	Unsent   Outcome = iota // Nothing reached the server.
	Accepted                // The server did what was asked.
	Refused                 // The server has seen a higher epoch.
	Unknown                 // The server may carry the order out, now or later.
	Deferred                // Not tried: it is not known yet which life a connection leads to.
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"Unsent", "Accepted", "Refused", "Unknown", "Deferred"}[o]
}

// String returns the kind's name.
func (k OrderKind) String() string { return [...]string{"Grant", "Release"}[k] }

const (
	// ClockFactor is how much longer a server's clock may take for a hold.
	ClockFactor = 1.02
	// margin is added to the end of each grant, for the times between a reading of the
	// clock and the call that it stands for.
	margin = 50 * time.Millisecond
	// retryAfter is the time after which an order that failed is sent again.
	retryAfter = 100 * time.Millisecond
	// mostOpen bounds the orders under way to one server.
	mostOpen = 8
	// lostAfter is the time without an answer of a server after which its keys are given
	// up: two renewals and their retries.
	lostAfter = 1200 * time.Millisecond
	// fenceHold is the hold of a grant that only makes the owner refuse older ones.
	fenceHold = 500 * time.Millisecond
	// lostFor is the time after the last order without an answer in which a server gets
	// no new keys; then it is tried again.
	lostFor = 4 * time.Second
)

// Settings are the times of a Leaser.
type Settings struct {
	Hold  time.Duration // Of a grant.
	Renew time.Duration // Between two grants of the same keys.
	// Authority is how long a process may grant after it was last confirmed to be on the
	// roster.
	Authority time.Duration
}

// call is a grant that may be in force.
type call struct {
	service  identifier.Service
	cell     identifier.Cell
	rng      identifier.Range
	epoch    identifier.Epoch
	open     bool // No outcome yet.
	answered bool // A release of its epoch or a later one that is sent after endedAt ends it.
	endedAt  time.Time
	overAt   time.Time
}

// lease is what is known of one segment at its owner.
type lease struct {
	grantAt    time.Time // When the next grant is due.
	granting   bool
	granted    bool // Accepted at least once.
	releasing  bool
	releaseAt  time.Time // When the next release is due.
	released   bool
	releasedAt time.Time // When the accepted release was sent.
	handover   string
}

type segmentKey struct {
	service identifier.Service
	rng     identifier.Range
	epoch   identifier.Epoch
}

// server is one life of a backend server.
type server struct {
	calls     []call
	leases    map[segmentKey]*lease
	open      int
	answersAt time.Time // Last answer to anything.
	failedAt  time.Time // First order without an answer since.
	lastFail  time.Time
	failures  int
}

type lifeKey struct {
	id   identifier.BackendServer
	life registrar.Life
}

// Leaser is the state of one process.
type Leaser struct {
	settings Settings
	servers  map[lifeKey]*server
}

// New returns a Leaser that has granted nothing.
func New(s Settings) *Leaser { return &Leaser{s, map[lifeKey]*server{}} }

// Answered takes in that a server answered anything at all.
func (l *Leaser) Answered(now time.Time, id identifier.BackendServer, life registrar.Life) {
	if s, ok := l.servers[lifeKey{id, life}]; ok {
		s.answersAt, s.failures = now, 0
	}
}

// Lost reports whether a server that this process grants to does not answer.
func (l *Leaser) Lost(now time.Time, id identifier.BackendServer, life registrar.Life) bool {
	s, ok := l.servers[lifeKey{id, life}]
	return ok && s.failures >= 2 && now.Sub(s.failedAt) >= lostAfter && now.Sub(s.lastFail) < lostFor
}

// View is what a Leaser decides from.
type View struct {
	Allocation *allocator.Allocation
	// Holds reports whether this process is on a cell's roster.
	Holds func(identifier.Cell) bool
	// May reports whether this process may grant in a cell now.
	May func(identifier.Cell) bool
	// Life returns the present life of a server; ok is false if it is not registered.
	Life func(identifier.BackendServer) (registrar.Life, bool)
	Self allocator.Fencer
}

// Due returns the orders to send now, and counts them as under way. Each must be
// reported with Ended.
func (l *Leaser) Due(now time.Time, v View) []Order {
	var orders []Order
	for _, seg := range v.Allocation.Segments {
		if seg.Owner == "" || !v.Holds(seg.Cell) {
			continue
		}
		if life, ok := v.Life(seg.Owner); ok && life != seg.Life {
			continue // The process that has the keys has ended.
		}
		s := l.server(now, seg.Owner, seg.Life)
		key := segmentKey{v.Allocation.Service, seg.Range, seg.Epoch}
		le, ok := s.leases[key]
		if !ok {
			le = &lease{}
			s.leases[key] = le
		}
		if seg.Moving && seg.Fence != 0 {
			if seg.Fencer != v.Self {
				continue
			}
			key.epoch = seg.Fence
			if le, ok = s.leases[key]; !ok {
				le = &lease{}
				s.leases[key] = le
			}
		} else if !seg.Moving && !v.May(seg.Cell) {
			continue
		}
		if o, ok := l.dueFor(now, s, le, key, seg); ok {
			orders = append(orders, o)
		}
	}
	return orders
}

func (l *Leaser) server(now time.Time, id identifier.BackendServer, life registrar.Life) *server {
	key := lifeKey{id, life}
	s, ok := l.servers[key]
	if !ok {
		s = &server{leases: map[segmentKey]*lease{}, answersAt: now}
		l.servers[key] = s
	}
	return s
}

func (l *Leaser) dueFor(now time.Time, s *server, le *lease, key segmentKey, seg allocator.Segment) (Order, bool) {
	o := Order{
		Service: key.service, Server: seg.Owner, Life: seg.Life, Range: seg.Range, Epoch: key.epoch,
		Hold: l.settings.Hold, Handover: seg.Handover,
	}
	fencing := seg.Moving && seg.Fence != 0
	switch {
	case fencing && !le.granted:
		if le.granting || now.Before(le.grantAt) {
			return Order{}, false
		}
		o.Hold, o.Handover, o.Fencing = fenceHold, "", true
		le.granting = true
		s.calls = append(s.calls, call{service: key.service, cell: seg.Cell, rng: seg.Range, epoch: key.epoch, open: true})
	case seg.Moving:
		// A grant under way may be carried out after the release: it is awaited first.
		if le.released || le.releasing || now.Before(le.releaseAt) || s.openOn(key) {
			return Order{}, false
		}
		o.Kind = Release
		le.releasing, le.releasedAt = true, now
	default:
		if le.granting || now.Before(le.grantAt) || s.open >= mostOpen {
			return Order{}, false
		}
		le.granting = true
		s.calls = append(s.calls, call{service: key.service, cell: seg.Cell, rng: seg.Range, epoch: seg.Epoch, open: true})
	}
	s.open++
	return o, true
}

// openOn reports whether a grant of some of the keys is under way.
func (s *server) openOn(key segmentKey) bool {
	for _, c := range s.calls {
		if c.open && c.service == key.service && c.rng.Overlaps(key.rng) {
			return true
		}
	}
	return false
}

// Ended takes in the outcome of an order that ended now.
func (l *Leaser) Ended(now time.Time, o Order, outcome Outcome, handover string) {
	s := l.server(now, o.Server, o.Life)
	s.open--
	key := segmentKey{o.Service, o.Range, o.Epoch}
	le, ok := s.leases[key]
	if !ok {
		le = &lease{}
		s.leases[key] = le
	}
	switch outcome {
	case Accepted, Refused:
		s.answersAt, s.failures = now, 0
	case Deferred: // Says nothing of the server.
	case Unsent, Unknown:
		if s.failures == 0 {
			s.failedAt = now
		}
		s.failures++
		s.lastFail = now
	}
	if o.Kind == Release {
		le.releasing = false
		le.released = outcome == Accepted
		le.handover = handover
		le.releaseAt = now.Add(retryAfter)
		return
	}
	le.granting = false
	le.grantAt = now.Add(retryAfter)
	if outcome == Accepted {
		le.granted = true
		le.grantAt = now.Add(l.settings.Renew)
	}
	l.endCall(now, s, key, outcome, o.Hold)
}

func (l *Leaser) endCall(now time.Time, s *server, key segmentKey, outcome Outcome, hold time.Duration) {
	kept := s.calls[:0]
	ended := false
	for _, c := range s.calls {
		if !ended && c.open && c.service == key.service && c.rng == key.rng && c.epoch == key.epoch {
			ended = true
			if outcome == Unsent || outcome == Refused || outcome == Deferred {
				continue
			}
			c.open = false
			c.answered = outcome == Accepted
			c.endedAt, c.overAt = now, now.Add(longest(hold))
		} else if !c.open && !now.Before(c.overAt) {
			continue
		}
		kept = append(kept, c)
	}
	s.calls = kept
}

// longest is the time after its arrival in which a grant with a hold is over.
func longest(hold time.Duration) time.Duration {
	return time.Duration(float64(hold)*ClockFactor) + margin
}

// Longest is the time after its arrival in which a grant is over.
func (s Settings) Longest() time.Duration { return longest(s.Hold) }

// Free reports whether nothing that this process granted on a segment is in force, and
// the handover if the owner gave one. After it, no grant of these keys is sent under
// an allocation in which the segment moves.
func (l *Leaser) Free(now time.Time, service identifier.Service, seg allocator.Segment) (handover string, free bool) {
	s, ok := l.servers[lifeKey{seg.Owner, seg.Life}]
	if !ok {
		return "", false // No order has been tried: Due comes first.
	}
	key := segmentKey{service, seg.Range, seg.Epoch}
	if seg.Fence != 0 {
		key.epoch = seg.Fence
	}
	le := s.leases[key]
	if le == nil || seg.Fence != 0 && !le.released {
		return "", false
	}
	for _, c := range s.calls {
		// Below the fence the owner refuses, since it has seen the fence.
		concerns := c.service == service && c.rng.Overlaps(seg.Range) && c.epoch >= seg.Fence
		if concerns && (c.open || now.Before(c.overAt) && !le.ends(c, key.epoch)) {
			return "", false
		}
	}
	if le.released {
		return le.handover, true
	}
	// The release went unanswered, but nothing of this process is in force.
	return "", !le.releaseAt.IsZero()
}

// ends reports whether the accepted release of an epoch ended a grant.
func (le *lease) ends(c call, epoch identifier.Epoch) bool {
	return le.released && c.answered && c.epoch <= epoch && !c.endedAt.After(le.releasedAt)
}

// Idle reports whether nothing that this process granted in a cell is in force: then it
// may leave the cell's roster. An answered grant counts until it lapses: another process may not be able
// to renew it, nor to take it back.
func (l *Leaser) Idle(now time.Time, cell identifier.Cell) bool {
	for _, s := range l.servers {
		if s.inForce(now, func(c call) bool { return c.cell == cell }) {
			return false
		}
	}
	return true
}

// Forget drops what is known of leases that are in no allocation and whose grants are
// over.
func (l *Leaser) Forget(now time.Time, known func(service identifier.Service, r identifier.Range, e identifier.Epoch) bool) {
	for key, s := range l.servers {
		for k, le := range s.leases {
			if !le.granting && !le.releasing && !known(k.service, k.rng, k.epoch) {
				delete(s.leases, k)
			}
		}
		if len(s.leases) == 0 && s.open == 0 && !s.inForce(now, func(call) bool { return true }) {
			delete(l.servers, key)
		}
	}
}

func (s *server) inForce(now time.Time, concerns func(call) bool) bool {
	for _, c := range s.calls {
		if concerns(c) && (c.open || now.Before(c.overAt)) {
			return true
		}
	}
	return false
}
