package imitator

import (
	"errors"
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
)

// ErrFenced refuses a request whose epoch or term is not the one in force.
var ErrFenced = errors.New("the grant is not in force")

// Fence is the part of a backend server that takes fenced grants: a state machine
// that does no I/O and reads no clock. A backend server that is told not to check
// grants runs whatever comes.
type Fence struct {
	server      identifier.BackendServer
	incarnation identifier.Incarnation
	started     time.Time
	checks      bool

	term        identifier.Term
	coordinator identifier.Instance
	sequence    uint64
	orderedAt   time.Time
	until       time.Time
	grants      map[identifier.Partition]identifier.Epoch
	ending      map[granter.Grant]time.Time // Ends of grants that were not renewed.
	floors      map[identifier.Partition]identifier.Epoch
	running     map[granter.Grant]int
}

// NewFence returns the fence of a backend server's process that starts now.
func NewFence(now time.Time, server identifier.BackendServer, inc identifier.Incarnation, checks bool) *Fence {
	return &Fence{
		server: server, incarnation: inc, started: now, checks: checks,
		grants:  map[identifier.Partition]identifier.Epoch{},
		ending:  map[granter.Grant]time.Time{},
		floors:  map[identifier.Partition]identifier.Epoch{},
		running: map[granter.Grant]int{},
	}
}

// Take carries an order out, or says why not.
func (f *Fence) Take(now time.Time, o granter.Order) granter.OrderAnswer {
	result := f.judge(now, o)
	var refused []granter.Grant
	if result == granter.Accepted {
		refused = f.accept(now, o)
	}
	return granter.OrderAnswer{
		Result: result, Term: f.term, Coordinator: f.coordinator, CoordinatorAge: now.Sub(f.orderedAt),
		Ticket:  granter.Ticket{Incarnation: f.incarnation, Clock: now.Sub(f.started)},
		Running: f.runningGrants(), Refused: refused, State: granter.ServerLive,
	}
}

func (f *Fence) judge(now time.Time, o granter.Order) granter.Result {
	switch {
	case o.Term == 0:
		return granter.StateOnly
	case o.Ticket.Incarnation != f.incarnation || o.Ticket.Clock > now.Sub(f.started):
		return granter.UnknownTicket
	case o.Term < f.term || o.Term == f.term && o.Coordinator != f.coordinator:
		return granter.LowerTerm
	case o.Term == f.term && o.Sequence <= f.sequence:
		return granter.LateOrder
	}
	return granter.Accepted
}

func (f *Fence) accept(now time.Time, o granter.Order) (refused []granter.Grant) {
	f.term, f.coordinator, f.sequence, f.orderedAt = o.Term, o.Coordinator, o.Sequence, now
	f.endUnrenewed(o)
	f.until = f.started.Add(o.Ticket.Clock + o.Lease)
	for _, g := range o.Revokes {
		f.floors[g.Partition] = max(f.floors[g.Partition], g.Epoch+1)
	}
	clear(f.grants)
	for _, g := range o.Grants {
		if g.Epoch < f.floors[g.Partition] {
			refused = append(refused, g)
			continue
		}
		f.floors[g.Partition] = g.Epoch
		f.grants[g.Partition] = g.Epoch
	}
	return refused
}

// endUnrenewed keeps the end of each grant that the order does not renew: its
// running requests have until then.
func (f *Fence) endUnrenewed(o granter.Order) {
	for p, e := range f.grants {
		g := granter.Grant{Partition: p, Epoch: e}
		if !slices.Contains(o.Grants, g) && f.running[g] > 0 {
			f.ending[g] = f.until
		}
	}
}

// MayRun reports whether a request of a grant that has begun may go on.
func (f *Fence) MayRun(now time.Time, g granter.Grant) bool {
	return f.Holds(now, g) || now.Before(f.ending[g])
}

// Holds reports whether the server would start a request of a grant now.
func (f *Fence) Holds(now time.Time, g granter.Grant) bool {
	if !f.checks {
		return true
	}
	e, ok := f.grants[g.Partition]
	return ok && e == g.Epoch && now.Before(f.until)
}

// Holding returns the grants in force.
func (f *Fence) Holding(now time.Time) []granter.Grant {
	if !now.Before(f.until) {
		return nil
	}
	var held []granter.Grant
	for p, e := range f.grants {
		held = append(held, granter.Grant{Partition: p, Epoch: e})
	}
	return held
}

// Begin starts a request of a grant under a term, or refuses it.
func (f *Fence) Begin(now time.Time, g granter.Grant, t identifier.Term) error {
	if f.checks && (t != f.term || !f.Holds(now, g)) {
		return ErrFenced
	}
	f.running[g]++
	return nil
}

// End ends a request that Begin started.
func (f *Fence) End(g granter.Grant) {
	f.running[g]--
	if f.running[g] == 0 {
		delete(f.running, g)
		delete(f.ending, g)
	}
}

// Until returns the end of the lease in force.
func (f *Fence) Until() time.Time { return f.until }

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
