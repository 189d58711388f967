package imitator

import (
	"errors"
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
)

// ErrFenced is returned for a request whose grant or term is not in force.
var ErrFenced = errors.New("request refused: its grant or its term is not in force")

// Fence is the part of a simulated backend server that keeps its grants and checks requests against them. It is a state
// machine that does no I/O and reads no clock; callers pass the time. It is not safe for concurrent use. A server that
// does not check grants runs every request.
type Fence struct {
	server       identifier.BackendServer
	incarnation  identifier.Incarnation
	startedAt    time.Time
	checksGrants bool

	// These fields come from the last accepted order.
	term        identifier.Term
	coordinator identifier.Instance
	sequence    uint64
	orderedAt   time.Time
	leaseEnd    time.Time
	grants      map[identifier.Partition]identifier.Epoch

	// unrenewedEnds holds the lease end of each grant that an order did not renew while its requests ran.
	unrenewedEnds map[granter.Grant]time.Time
	// lowestEpochs holds the lowest epoch per partition that a grant may still have.
	lowestEpochs map[identifier.Partition]identifier.Epoch
	// running counts the running requests per grant.
	running map[granter.Grant]int
}

// NewFence returns the fence of a backend server's process that starts now and has no grants.
func NewFence(now time.Time, server identifier.BackendServer, incarnation identifier.Incarnation, checksGrants bool) *Fence {
	return &Fence{
		server: server, incarnation: incarnation, startedAt: now, checksGrants: checksGrants,
		grants:        map[identifier.Partition]identifier.Epoch{},
		unrenewedEnds: map[granter.Grant]time.Time{},
		lowestEpochs:  map[identifier.Partition]identifier.Epoch{},
		running:       map[granter.Grant]int{},
	}
}

// HandleOrder handles an order and returns the answer to it. An order that is not accepted changes nothing; the
// answer's result says why.
func (f *Fence) HandleOrder(now time.Time, o granter.Order) granter.OrderAnswer {
	result := f.check(now, o)
	var refused []granter.Grant
	if result == granter.Accepted {
		refused = f.apply(now, o)
	}
	return granter.OrderAnswer{
		Result: result, Term: f.term, Coordinator: f.coordinator, CoordinatorAge: now.Sub(f.orderedAt),
		Ticket:  granter.Ticket{Incarnation: f.incarnation, Clock: now.Sub(f.startedAt)},
		Running: f.runningGrants(), Refused: refused, State: granter.ServerLive,
	}
}

// check returns granter.Accepted if the order may be applied, otherwise the reason against it.
func (f *Fence) check(now time.Time, o granter.Order) granter.Result {
	switch {
	case o.Term == 0:
		return granter.StateOnly
	case o.Ticket.Incarnation != f.incarnation || o.Ticket.Clock > now.Sub(f.startedAt):
		return granter.UnknownTicket
	case o.Term < f.term || o.Term == f.term && o.Coordinator != f.coordinator:
		return granter.LowerTerm
	case o.Term == f.term && o.Sequence <= f.sequence:
		return granter.LateOrder
	}
	return granter.Accepted
}

// apply replaces the grants by those of an accepted order. It returns those that it refuses because their epoch is too
// low.
func (f *Fence) apply(now time.Time, o granter.Order) (refused []granter.Grant) {
	f.term, f.coordinator, f.sequence, f.orderedAt = o.Term, o.Coordinator, o.Sequence, now
	f.recordUnrenewed(o)
	f.leaseEnd = f.startedAt.Add(o.Ticket.Clock + o.Lease)
	for _, g := range o.Revokes {
		f.lowestEpochs[g.Partition] = max(f.lowestEpochs[g.Partition], g.Epoch+1)
	}
	clear(f.grants)
	for _, g := range o.Grants {
		if g.Epoch < f.lowestEpochs[g.Partition] {
			refused = append(refused, g)
			continue
		}
		f.lowestEpochs[g.Partition] = g.Epoch
		f.grants[g.Partition] = g.Epoch
	}
	return refused
}

// recordUnrenewed records the lease end of each grant that the order does not renew and that has running requests.
// These requests may run until then.
func (f *Fence) recordUnrenewed(o granter.Order) {
	for p, e := range f.grants {
		g := granter.Grant{Partition: p, Epoch: e}
		if !slices.Contains(o.Grants, g) && f.running[g] > 0 {
			f.unrenewedEnds[g] = f.leaseEnd
		}
	}
}

// MayRun reports whether a request that began under a grant may continue: the grant is in force, or the lease under
// which it was last in force has not ended.
func (f *Fence) MayRun(now time.Time, g granter.Grant) bool {
	return f.MayStart(now, g) || now.Before(f.unrenewedEnds[g])
}

// MayStart reports whether the grant is in force, so that the server would start a request under it now. It is always
// true for a server that does not check grants.
func (f *Fence) MayStart(now time.Time, g granter.Grant) bool {
	if !f.checksGrants {
		return true
	}
	e, ok := f.grants[g.Partition]
	return ok && e == g.Epoch && now.Before(f.leaseEnd)
}

// GrantsInForce returns the grants in force, in no particular order; nil if the lease has ended.
func (f *Fence) GrantsInForce(now time.Time) []granter.Grant {
	if !now.Before(f.leaseEnd) {
		return nil
	}
	var inForce []granter.Grant
	for p, e := range f.grants {
		inForce = append(inForce, granter.Grant{Partition: p, Epoch: e})
	}
	return inForce
}

// Begin records that a request of a grant starts, or returns ErrFenced if the grant or the term t is not in force.
func (f *Fence) Begin(now time.Time, g granter.Grant, t identifier.Term) error {
	if f.checksGrants && (t != f.term || !f.MayStart(now, g)) {
		return ErrFenced
	}
	f.running[g]++
	return nil
}

// End records the end of a request for which Begin returned nil.
func (f *Fence) End(g granter.Grant) {
	f.running[g]--
	if f.running[g] == 0 {
		delete(f.running, g)
		delete(f.unrenewedEnds, g)
	}
}

// LeaseEnd returns the end of the lease of the last accepted order; the zero time before the first order.
func (f *Fence) LeaseEnd() time.Time { return f.leaseEnd }

// runningGrants returns the grants that have running requests, sorted by partition.
func (f *Fence) runningGrants() []granter.Grant {
	var running []granter.Grant
	for g := range f.running {
		running = append(running, g)
	}
	slices.SortFunc(running, func(x, y granter.Grant) int {
		return int(x.Partition) - int(y.Partition)
	})
	return running
}
