package imitator

import (
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
)

var fenceStart = time.Unix(1e6, 0)

// order returns an order of instance-0 with a lease of 2 s from the time clock on the server's clock.
func order(term identifier.Term, sequence uint64, clock time.Duration, grants ...granter.Grant) granter.Order {
	return granter.Order{
		Server: "server-0", Coordinator: "instance-0", Term: term, Sequence: sequence, Lease: 2 * time.Second,
		Ticket: granter.Ticket{Incarnation: 7, Clock: clock}, Grants: grants,
	}
}

// TestOrders guards against a backend server that accepts an order of a former coordinator, an order that arrives late,
// or an order whose ticket is not the server's. Each case is an order that arrives after one of term 5 and sequence 3
// was accepted 1 s after the start.
func TestOrders(t *testing.T) {
	t.Parallel()
	otherCoordinator := order(5, 9, time.Second)
	otherCoordinator.Coordinator = "instance-1"
	formerProcess := order(6, 1, time.Second)
	formerProcess.Ticket.Incarnation = 6
	cases := []struct {
		name  string
		order granter.Order
		want  granter.Result
	}{
		{"Next", order(5, 4, time.Second), granter.Accepted},
		{"HigherTerm", order(6, 1, time.Second), granter.Accepted},
		{"LowerTerm", order(4, 9, time.Second), granter.LowerTerm},
		{"SameTermOfAnotherCoordinator", otherCoordinator, granter.LowerTerm},
		{"Late", order(5, 3, time.Second), granter.LateOrder},
		{"FormerProcess", formerProcess, granter.UnknownTicket},
		{"TicketFromTheFuture", order(6, 1, time.Hour), granter.UnknownTicket},
		{"StateOnly", order(0, 0, 0), granter.StateOnly},
	}
	for _, c := range cases {
		f := NewFence(fenceStart, "server-0", 7, true)
		now := fenceStart.Add(time.Second)
		if got := f.HandleOrder(now, order(5, 3, time.Second)); got.Result != granter.Accepted {
			t.Fatal(got.Result)
		}
		if got := f.HandleOrder(now, c.order); got.Result != c.want {
			t.Errorf("%s: result %s, want %s", c.name, got.Result, c.want)
		}
	}
}

// TestLease guards against a grant that is in force for too long: because its order was delayed, because a revocation
// does not stop new requests, because a running request outlives the lease that it began under, or because a later
// order or term brings back a revoked grant.
func TestLease(t *testing.T) {
	t.Parallel()
	g := granter.Grant{Partition: 1, Epoch: 4}
	at := fenceStart.Add
	f := NewFence(fenceStart, "server-0", 7, true)
	// The order arrives 1.5 s after its ticket was issued, so 0.5 s of the lease of 2 s remain.
	f.HandleOrder(at(2500*time.Millisecond), order(1, 1, time.Second, g))
	if !f.MayStart(at(2900*time.Millisecond), g) || f.MayStart(at(3*time.Second), g) {
		t.Error("the lease does not end 2 s after the time of its ticket")
	}
	f.HandleOrder(at(4*time.Second), order(1, 2, 4*time.Second, g))
	if err := f.Begin(at(4*time.Second), g, 1); err != nil {
		t.Fatal(err)
	}
	revoke := order(1, 3, 5*time.Second)
	revoke.Revokes = []granter.Grant{g}
	answer := f.HandleOrder(at(5*time.Second), revoke)
	if len(answer.Running) != 1 || f.MayStart(at(5*time.Second), g) {
		t.Errorf("after the revocation: running %v, grant in force %t; want 1 running and false", answer.Running, f.MayStart(at(5*time.Second), g))
	}
	if !f.MayRun(at(5900*time.Millisecond), g) || f.MayRun(at(6*time.Second), g) {
		t.Error("a running request may not run until the lease under which it began ends, or may run longer")
	}
	if again := f.HandleOrder(at(5*time.Second), order(2, 1, 5*time.Second, g)); len(again.Refused) != 1 {
		t.Errorf("a revoked grant is not refused when it is granted again: %+v", again)
	}
	next := granter.Grant{Partition: 1, Epoch: 5}
	f.HandleOrder(at(5*time.Second), order(2, 2, 5*time.Second, next))
	if !f.MayStart(at(5*time.Second), next) || f.Begin(at(5*time.Second), next, 1) == nil {
		t.Error("the grant of the next epoch is not in force, or a request of a former term starts")
	}
}
