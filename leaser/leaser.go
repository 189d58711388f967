// Package leaser decides when to grant keys to backend servers and when to take them back. A grant is
// a lease that starts when it arrives at the server. The Leaser keeps, for every grant that it sent,
// the time until which it may be in force, even if no answer came.
//
// Several processes may renew the same grant. The release of a grant by one process says nothing about
// the grants of others: the keys are free once every process on the cell's roster has released them.
//
// Nothing in this package does I/O or reads a clock. The clock that the times passed to it come from
// must also run while the machine is suspended. Start reading with Leaser in leaser.go; roster.go
// holds the list of the processes that may grant in a cell.
package leaser

import (
	"time"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

// OrderKind is the action that an order requests.
type OrderKind int

// A grant gives keys to a server for its lease duration, or renews that; a release takes them back.
const (
	Grant OrderKind = iota
	Release
)

// Order is a call to a backend server.
type Order struct {
	Kind    OrderKind
	Service identifier.Service
	Server  identifier.BackendServer
	// Incarnation is the incarnation of the server that the order is for.
	Incarnation registrar.Incarnation
	Range       identifier.Range
	Epoch       identifier.Epoch
	// LeaseDuration is the duration of a grant, from its arrival at the server.
	LeaseDuration time.Duration
	// Handover is sent with a grant and identifies the state of the keys.
	Handover string
	// Fencing reports whether the epoch is a fence, which only this process uses.
	Fencing bool
}

// Outcome is the result of an order.
type Outcome int

// Results of an order, as far as this process knows them.
const (
	Unsent   Outcome = iota // Nothing reached the server.
	Accepted                // The server executed the order.
	Refused                 // The server has seen a higher epoch.
	Unknown                 // The server may execute the order, now or later.
	Deferred                // The order was not sent, since the incarnation that the connection leads to is not known yet.
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"Unsent", "Accepted", "Refused", "Unknown", "Deferred"}[o]
}

// String returns the kind's name.
func (k OrderKind) String() string { return [...]string{"Grant", "Release"}[k] }

const (
	// ClockFactor bounds how slow the clock of a server may be: a lease that the server ends by its own
	// clock lasts at most this many times its duration by the clock of this process.
	ClockFactor = 1.02
	// margin is added to the end of each grant, for the time between a reading of the clock and the
	// call that the reading is used for.
	margin = 50 * time.Millisecond
	// retryAfter is the time after which a failed order is sent again.
	retryAfter = 100 * time.Millisecond
	// maxOpenOrders bounds the orders to one server that have no outcome yet.
	maxOpenOrders = 8
	// lostAfter is the time without an answer after which a server counts as lost and its keys are
	// assigned to others: two renewals and their retries.
	lostAfter = 1200 * time.Millisecond
	// fenceLeaseDuration is the lease duration of a grant whose only purpose is that the owner refuses
	// older ones.
	fenceLeaseDuration = 500 * time.Millisecond
	// lostPause is the time after the last order without an answer during which a lost server gets no
	// new keys; then it is tried again.
	lostPause = 4 * time.Second
)

// Settings are the times that a Leaser works with.
type Settings struct {
	// LeaseDuration is the duration of a grant, from its arrival at the server.
	LeaseDuration time.Duration
	// RenewInterval is the time from an accepted grant to the next grant of the same keys.
	RenewInterval time.Duration
	// ConfirmationTimeout is how long a process may grant after it was last confirmed to be on the
	// roster.
	ConfirmationTimeout time.Duration
}

// sentGrant is a grant that may be in force.
type sentGrant struct {
	service identifier.Service
	cell    identifier.Cell
	rng     identifier.Range
	epoch   identifier.Epoch
	// open reports whether the grant has no outcome yet.
	open bool
	// accepted reports whether the server accepted the grant. Then an accepted release of the same or
	// a later epoch that is sent after endedAt ends it.
	accepted bool
	// endedAt is when the outcome became known.
	endedAt time.Time
	// lapsesAt is when the grant can no longer be in force.
	lapsesAt time.Time
}

// lease is what this process knows of one segment at its owner.
type lease struct {
	// grantAt is when the next grant is due.
	grantAt time.Time
	// granting reports whether a grant has no outcome yet.
	granting bool
	// granted reports whether a grant has been accepted at least once.
	granted bool
	// releasing reports whether a release has no outcome yet.
	releasing bool
	// releaseAt is when the next release is due; zero until a release has ended.
	releaseAt time.Time
	// released reports whether the newest release was accepted.
	released bool
	// releasedAt is when the newest release was sent.
	releasedAt time.Time
	// handover is what the owner returned with the release.
	handover string
}

type segmentKey struct {
	service identifier.Service
	rng     identifier.Range
	epoch   identifier.Epoch
}

// server is what this process knows of one incarnation of a backend server.
type server struct {
	grants []sentGrant
	leases map[segmentKey]*lease
	open   int
	// answeredAt is when the server last answered anything.
	answeredAt time.Time
	// firstFailureAt is when the first order without an answer since then ended.
	firstFailureAt time.Time
	lastFailureAt  time.Time
	failures       int
}

type incarnationKey struct {
	id          identifier.BackendServer
	incarnation registrar.Incarnation
}

// Leaser holds the grants and releases that one process has sent. It is not safe for concurrent use.
type Leaser struct {
	settings Settings
	servers  map[incarnationKey]*server
}

// New returns a Leaser that has sent no orders.
func New(s Settings) *Leaser { return &Leaser{s, map[incarnationKey]*server{}} }

// Empty reports whether there are neither leases nor grants that may be in force.
func (l *Leaser) Empty() bool { return len(l.servers) == 0 }

// RecordAnswer records that an incarnation of a server answered anything at all, an order or a request.
func (l *Leaser) RecordAnswer(now time.Time, id identifier.BackendServer, incarnation registrar.Incarnation) {
	if s, ok := l.servers[incarnationKey{id, incarnation}]; ok {
		s.answeredAt, s.failures = now, 0
	}
}

// Lost reports whether an incarnation of a server has not answered the orders of this process for some
// time.
func (l *Leaser) Lost(now time.Time, id identifier.BackendServer, incarnation registrar.Incarnation) bool {
	s, ok := l.servers[incarnationKey{id, incarnation}]
	return ok && s.failures >= 2 && now.Sub(s.firstFailureAt) >= lostAfter && now.Sub(s.lastFailureAt) < lostPause
}

// View is what a Leaser decides from.
type View struct {
	Allocation *allocator.Allocation
	// OnRoster reports whether this process is on the roster of a cell, fenced or not.
	OnRoster func(identifier.Cell) bool
	// MayGrant reports whether this process may grant in a cell now.
	MayGrant func(identifier.Cell) bool
	// CurrentIncarnation returns the incarnation of a server that is registered; the second result is
	// false if there is none. It tells whether grants are renewed. It does not tell that an earlier
	// incarnation has ended, or that the process at its address holds nothing.
	CurrentIncarnation func(identifier.BackendServer) (registrar.Incarnation, bool)
	// Self is this process.
	Self allocator.Fencer
}

// DueOrders returns the orders to send now and counts them as open. The caller must report the outcome of
// each back.
func (l *Leaser) DueOrders(now time.Time, v View) []Order {
	var orders []Order
	for _, seg := range v.Allocation.Segments {
		if seg.Owner == "" || !v.OnRoster(seg.Cell) {
			continue
		}
		if incarnation, ok := v.CurrentIncarnation(seg.Owner); ok && incarnation != seg.Incarnation && !seg.Moving {
			continue // The planner will take the keys back, and they are released at whichever process has the address.
		}
		s := l.server(now, seg.Owner, seg.Incarnation)
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
		} else if !seg.Moving && !v.MayGrant(seg.Cell) {
			continue
		}
		if o, ok := l.dueOrder(now, s, le, key, seg); ok {
			orders = append(orders, o)
		}
	}
	return orders
}

// server returns the state of an incarnation of a server, which is created if there is none.
func (l *Leaser) server(now time.Time, id identifier.BackendServer, incarnation registrar.Incarnation) *server {
	key := incarnationKey{id, incarnation}
	s, ok := l.servers[key]
	if !ok {
		s = &server{leases: map[segmentKey]*lease{}, answeredAt: now}
		l.servers[key] = s
	}
	return s
}

// dueOrder returns the order that is due for a segment, if any, and counts it as open.
func (l *Leaser) dueOrder(now time.Time, s *server, le *lease, key segmentKey, seg allocator.Segment) (Order, bool) {
	o := Order{
		Service: key.service, Server: seg.Owner, Incarnation: seg.Incarnation, Range: seg.Range, Epoch: key.epoch,
		LeaseDuration: l.settings.LeaseDuration, Handover: seg.Handover,
	}
	fencing := seg.Moving && seg.Fence != 0
	switch {
	case fencing && !le.granted:
		if le.granting || now.Before(le.grantAt) {
			return Order{}, false
		}
		o.LeaseDuration, o.Handover, o.Fencing = fenceLeaseDuration, "", true
		le.granting = true
		s.grants = append(s.grants, sentGrant{service: key.service, cell: seg.Cell, rng: seg.Range, epoch: key.epoch, open: true})
	case seg.Moving:
		// A grant without an outcome may be executed after the release, so the release waits for it.
		if le.released || le.releasing || now.Before(le.releaseAt) || s.grantOpenOn(key) {
			return Order{}, false
		}
		o.Kind = Release
		le.releasing, le.releasedAt = true, now
	default:
		if le.granting || now.Before(le.grantAt) || s.open >= maxOpenOrders {
			return Order{}, false
		}
		le.granting = true
		s.grants = append(s.grants, sentGrant{service: key.service, cell: seg.Cell, rng: seg.Range, epoch: seg.Epoch, open: true})
	}
	s.open++
	return o, true
}

// grantOpenOn reports whether a grant of some of the keys has no outcome yet.
func (s *server) grantOpenOn(key segmentKey) bool {
	for _, g := range s.grants {
		if g.open && g.service == key.service && g.rng.Overlaps(key.rng) {
			return true
		}
	}
	return false
}

// RecordOutcome records the outcome of an order that ended now. The handover is what the owner returned with
// the outcome of a release.
func (l *Leaser) RecordOutcome(now time.Time, o Order, outcome Outcome, handover string) {
	s := l.server(now, o.Server, o.Incarnation)
	s.open--
	key := segmentKey{o.Service, o.Range, o.Epoch}
	le, ok := s.leases[key]
	if !ok {
		le = &lease{}
		s.leases[key] = le
	}
	switch outcome {
	case Accepted, Refused:
		s.answeredAt, s.failures = now, 0
	case Deferred: // This outcome says nothing about the server.
	case Unsent, Unknown:
		if s.failures == 0 {
			s.firstFailureAt = now
		}
		s.failures++
		s.lastFailureAt = now
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
		le.grantAt = now.Add(l.settings.RenewInterval)
	}
	l.endGrant(now, s, key, outcome, o.LeaseDuration)
}

// endGrant records the outcome of a grant. It drops the grant if it cannot be in force, and all grants
// that have lapsed.
func (l *Leaser) endGrant(now time.Time, s *server, key segmentKey, outcome Outcome, leaseDuration time.Duration) {
	kept := s.grants[:0]
	ended := false
	for _, g := range s.grants {
		if !ended && g.open && g.service == key.service && g.rng == key.rng && g.epoch == key.epoch {
			ended = true
			if outcome == Unsent || outcome == Refused || outcome == Deferred {
				continue
			}
			g.open = false
			g.accepted = outcome == Accepted
			g.endedAt, g.lapsesAt = now, now.Add(maxInForce(leaseDuration))
		} else if !g.open && !now.Before(g.lapsesAt) {
			continue
		}
		kept = append(kept, g)
	}
	s.grants = kept
}

// maxInForce returns how long a grant may be in force after its arrival at the server, given its lease
// duration.
func maxInForce(leaseDuration time.Duration) time.Duration {
	return time.Duration(float64(leaseDuration)*ClockFactor) + margin
}

// MaxInForce returns how long a grant may be in force after its arrival at the server.
func (s Settings) MaxInForce() time.Duration { return maxInForce(s.LeaseDuration) }

// Free reports whether no grant of this process on a moving segment is in force, and returns the
// handover if the owner gave one. Once it has reported true, no grant of these keys is sent under an
// allocation in which the segment moves.
func (l *Leaser) Free(now time.Time, service identifier.Service, seg allocator.Segment) (handover string, free bool) {
	s, ok := l.servers[incarnationKey{seg.Owner, seg.Incarnation}]
	if !ok {
		return "", false // No order has been sent: the orders that are due must be sent first.
	}
	key := segmentKey{service, seg.Range, seg.Epoch}
	if seg.Fence != 0 {
		key.epoch = seg.Fence
	}
	le := s.leases[key]
	if le == nil || seg.Fence != 0 && !le.released {
		return "", false
	}
	for _, g := range s.grants {
		// The owner has seen the fence, so it refuses grants of lower epochs.
		match := g.service == service && g.rng.Overlaps(seg.Range) && g.epoch >= seg.Fence
		if match && (g.open || now.Before(g.lapsesAt) && !le.endedByRelease(g, key.epoch)) {
			return "", false
		}
	}
	if le.released {
		return le.handover, true
	}
	// No release was accepted, but no grant of this process is in force.
	return "", !le.releaseAt.IsZero()
}

// endedByRelease reports whether the accepted release of an epoch ended a grant.
func (le *lease) endedByRelease(g sentGrant, epoch identifier.Epoch) bool {
	return le.released && g.accepted && g.epoch <= epoch && !g.endedAt.After(le.releasedAt)
}

// Idle reports whether nothing that this process granted in a cell is in force, so that it may leave
// the cell's roster. An accepted grant counts until it lapses, even after a release: another process
// may be unable to renew it or to take it back.
func (l *Leaser) Idle(now time.Time, cell identifier.Cell) bool {
	for _, s := range l.servers {
		if s.inForce(now, func(g sentGrant) bool { return g.cell == cell }) {
			return false
		}
	}
	return true
}

// DropUnknown drops the leases for which known returns false and that have no open order, and servers
// without leases and grants in force.
func (l *Leaser) DropUnknown(now time.Time, known func(service identifier.Service, r identifier.Range, e identifier.Epoch) bool) {
	for key, s := range l.servers {
		for k, le := range s.leases {
			if !le.granting && !le.releasing && !known(k.service, k.rng, k.epoch) {
				delete(s.leases, k)
			}
		}
		if len(s.leases) == 0 && s.open == 0 && !s.inForce(now, func(sentGrant) bool { return true }) {
			delete(l.servers, key)
		}
	}
}

// inForce reports whether a grant for which match returns true may be in force.
func (s *server) inForce(now time.Time, match func(sentGrant) bool) bool {
	for _, g := range s.grants {
		if match(g) && (g.open || now.Before(g.lapsesAt)) {
			return true
		}
	}
	return false
}
