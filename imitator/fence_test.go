package imitator

import (
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
)

var fenceStart = time.Unix(1e6, 0)

func order(term identifier.Term, sequence uint64, clock time.Duration, grants ...granter.Grant) granter.Order {
	return granter.Order{
		Server: "server-0", Coordinator: "instance-0", Term: term, Sequence: sequence, Lease: 2 * time.Second,
		Ticket: granter.Ticket{Incarnation: 7, Clock: clock}, Grants: grants,
	}
}

// TestOrders is the table of a backend server's verdicts, after an order of term 5 and
// sequence 3 was accepted at 1 s.
func TestOrders(t *testing.T) {
	t.Parallel()
	other := order(5, 9, time.Second)
	other.Coordinator = "instance-1"
	stranger := order(6, 1, time.Second)
	stranger.Ticket.Incarnation = 6
	cases := []struct {
		name  string
		order granter.Order
		want  granter.Result
	}{
		{"Next", order(5, 4, time.Second), granter.Accepted},
		{"HigherTerm", order(6, 1, time.Second), granter.Accepted},
		{"LowerTerm", order(4, 9, time.Second), granter.LowerTerm},
		{"SameTermOfAnother", other, granter.LowerTerm},
		{"Late", order(5, 3, time.Second), granter.LateOrder},
		{"FormerProcess", stranger, granter.UnknownTicket},
		{"TicketFromTheFuture", order(6, 1, time.Hour), granter.UnknownTicket},
		{"StateOnly", order(0, 0, 0), granter.StateOnly},
	}
	for _, c := range cases {
		f := NewFence(fenceStart, "server-0", 7, true)
		now := fenceStart.Add(time.Second)
		if got := f.Take(now, order(5, 3, time.Second)); got.Result != granter.Accepted {
			t.Fatal(got.Result)
		}
		if got := f.Take(now, c.order); got.Result != c.want {
			t.Errorf("%s: %s, want %s", c.name, got.Result, c.want)
		}
	}
}

// TestLease checks how long a grant is in force.
func TestLease(t *testing.T) {
	t.Parallel()
	g := granter.Grant{Partition: 1, Epoch: 4}
	at := fenceStart.Add
	f := NewFence(fenceStart, "server-0", 7, true)
	// The order took 1.5 s on its way: half a second of the lease is left.
	f.Take(at(2500*time.Millisecond), order(1, 1, time.Second, g))
	if !f.Holds(at(2900*time.Millisecond), g) || f.Holds(at(3*time.Second), g) {
		t.Error("the lease does not run from its ticket")
	}
	f.Take(at(4*time.Second), order(1, 2, 4*time.Second, g))
	if err := f.Begin(at(4*time.Second), g, 1); err != nil {
		t.Fatal(err)
	}
	revoke := order(1, 3, 5*time.Second)
	revoke.Revokes = []granter.Grant{g}
	answer := f.Take(at(5*time.Second), revoke)
	if len(answer.Running) != 1 || f.Holds(at(5*time.Second), g) {
		t.Errorf("after the revocation: running %v, holds %t", answer.Running, f.Holds(at(5*time.Second), g))
	}
	if !f.MayRun(at(5900*time.Millisecond), g) || f.MayRun(at(6*time.Second), g) {
		t.Error("a running request does not end with the lease that it began under")
	}
	if again := f.Take(at(5*time.Second), order(2, 1, 5*time.Second, g)); len(again.Refused) != 1 {
		t.Errorf("a revoked grant is taken again: %+v", again)
	}
	next := granter.Grant{Partition: 1, Epoch: 5}
	f.Take(at(5*time.Second), order(2, 2, 5*time.Second, next))
	if !f.Holds(at(5*time.Second), next) || f.Begin(at(5*time.Second), next, 1) == nil {
		t.Error("the next epoch is not granted, or a request of a former term is run")
	}
}
