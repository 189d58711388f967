package leaser_test

import (
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/leaser"
	"github.com/turmericlift/turmericlift/registrar"
)

var (
	start    = time.Unix(1000, 0)
	settings = leaser.Settings{LeaseDuration: 3 * time.Second, RenewInterval: 700 * time.Millisecond, ConfirmationTimeout: 20 * time.Second}
	self     = allocator.Fencer{Instance: "me", Incarnation: 1}
)

// view returns a View of a single segment, in which this process may grant in every cell.
func view(s allocator.Segment) leaser.View {
	anyCell := func(identifier.Cell) bool { return true }
	return leaser.View{
		Allocation: &allocator.Allocation{Service: "x", NextEpoch: 100, Segments: []allocator.Segment{s}},
		OnRoster:   anyCell, MayGrant: anyCell, Self: self,
		CurrentIncarnation: func(identifier.BackendServer) (registrar.Incarnation, bool) { return 1, true },
	}
}

// segment returns a segment that is not moving.
func segment() allocator.Segment {
	return allocator.Segment{Range: identifier.Range{From: 0, To: 99}, Owner: "s", Incarnation: 1, Cell: identifier.Cell{Zone: "a"}, Epoch: 5}
}

// dueOrder returns the order that is due, which must be a single one of the given kind.
func dueOrder(t *testing.T, l *leaser.Leaser, now time.Time, s allocator.Segment, kind leaser.OrderKind) leaser.Order {
	t.Helper()
	orders := l.DueOrders(now, view(s))
	if len(orders) != 1 || orders[0].Kind != kind {
		t.Fatalf("due orders are %+v, want a single %s", orders, kind)
	}
	return orders[0]
}

// TestFree guards against a process that declares moving keys free while a grant of its own may be in
// force, and against one that never does. The cases differ in the outcomes of the grant and of the
// release, and in the time since.
func TestFree(t *testing.T) {
	moving := segment()
	moving.Moving, moving.Round = true, 1
	cases := map[string]struct {
		grant, release leaser.Outcome
		wait           time.Duration
		free           bool
	}{
		"Released":                  {leaser.Accepted, leaser.Accepted, 0, true},
		"ReleaseUnanswered":         {leaser.Accepted, leaser.Unknown, time.Second, false},
		"ReleaseUnansweredLapsed":   {leaser.Accepted, leaser.Unknown, 4 * time.Second, true},
		"GrantUnanswered":           {leaser.Unknown, leaser.Accepted, 2 * time.Second, false},
		"GrantUnansweredLapsed":     {leaser.Unknown, leaser.Accepted, 4 * time.Second, true},
		"GrantUnsent":               {leaser.Unsent, leaser.Unsent, 0, true},
		"GrantRefused":              {leaser.Refused, leaser.Unsent, 0, true},
		"ServerLostJustBeforeLapse": {leaser.Accepted, leaser.Unsent, 3 * time.Second, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := leaser.New(settings)
			l.RecordOutcome(start, dueOrder(t, l, start, segment(), leaser.Grant), c.grant, "")
			now := start.Add(10 * time.Millisecond)
			l.RecordOutcome(now, dueOrder(t, l, now, moving, leaser.Release), c.release, "token")
			handover, free := l.Free(now.Add(c.wait), "x", moving)
			if free != c.free || free && c.release == leaser.Accepted && handover != "token" {
				t.Errorf("Free returned %t with handover %q, want %t", free, handover, c.free)
			}
		})
	}
}

// TestReleaseAwaitsGrant guards against a release that is sent while a grant has no outcome yet: the
// server might execute the two in the other order.
func TestReleaseAwaitsGrant(t *testing.T) {
	l := leaser.New(settings)
	grant := dueOrder(t, l, start, segment(), leaser.Grant)
	moving := segment()
	moving.Moving, moving.Round = true, 1
	if orders := l.DueOrders(start.Add(time.Millisecond), view(moving)); len(orders) != 0 {
		t.Errorf("orders %+v are due while a grant has no outcome, want none", orders)
	}
	if _, free := l.Free(start.Add(time.Millisecond), "x", moving); free {
		t.Error("keys are free while a grant has no outcome")
	}
	l.RecordOutcome(start.Add(2*time.Millisecond), grant, leaser.Accepted, "")
	dueOrder(t, l, start.Add(3*time.Millisecond), moving, leaser.Release)
}

// TestFence guards against a wrong order of the steps of a fence: first a short grant under the epoch
// of the fence, then its release, and only then are the keys free, although older grants had no
// answer.
func TestFence(t *testing.T) {
	l := leaser.New(settings)
	l.RecordOutcome(start, dueOrder(t, l, start, segment(), leaser.Grant), leaser.Unknown, "")
	fenced := segment()
	fenced.Moving, fenced.Round, fenced.Fence, fenced.Fencer = true, 2, 9, self
	now := start.Add(time.Millisecond)
	grant := dueOrder(t, l, now, fenced, leaser.Grant)
	if grant.Epoch != 9 || grant.LeaseDuration >= time.Second || !grant.Fencing {
		t.Fatalf("fencing grant is %+v, want epoch 9 and a lease of less than 1 s", grant)
	}
	l.RecordOutcome(now, grant, leaser.Accepted, "")
	if _, free := l.Free(now, "x", fenced); free {
		t.Error("keys are free before the release")
	}
	now = now.Add(time.Millisecond)
	l.RecordOutcome(now, dueOrder(t, l, now, fenced, leaser.Release), leaser.Accepted, "token")
	if handover, free := l.Free(now, "x", fenced); !free || handover != "token" {
		t.Errorf("after the release, Free returned %t with handover %q, want true and token", free, handover)
	}
	other := fenced
	other.Fencer = allocator.Fencer{Instance: "other", Incarnation: 1}
	if orders := l.DueOrders(now.Add(time.Minute), view(other)); len(orders) != 0 {
		t.Errorf("orders %+v are due under the fence of another process, want none", orders)
	}
}

// TestOldReleaseAfterFence guards against the release of a first round that counts as the end of a
// fencing grant that was sent after it. Seed 2130 of the schedules in custodian had this fault.
func TestOldReleaseAfterFence(t *testing.T) {
	l := leaser.New(settings)
	l.RecordOutcome(start, dueOrder(t, l, start, segment(), leaser.Grant), leaser.Accepted, "")
	first := segment()
	first.Moving, first.Round = true, 1
	now := start.Add(time.Millisecond)
	l.RecordOutcome(now, dueOrder(t, l, now, first, leaser.Release), leaser.Accepted, "")
	fenced := first
	fenced.Round, fenced.Fence, fenced.Fencer = 2, 9, self
	now = now.Add(time.Millisecond)
	l.RecordOutcome(now, dueOrder(t, l, now, fenced, leaser.Grant), leaser.Accepted, "")
	third := first
	third.Round = 3
	if _, free := l.Free(now.Add(time.Millisecond), "x", third); free {
		t.Error("keys are free while the fencing grant is in force")
	}
	if _, free := l.Free(now.Add(time.Second), "x", third); !free {
		t.Error("keys are not free after the fencing grant has lapsed")
	}
}

// TestLost guards against a server that is not detected as lost, or wrongly so. A server must count as
// lost after two orders without an answer within 1.2 s, and must not while it answers anything.
func TestLost(t *testing.T) {
	l := leaser.New(settings)
	now := start
	for range 20 {
		for _, o := range l.DueOrders(now, view(segment())) {
			l.RecordOutcome(now, o, leaser.Unknown, "")
		}
		now = now.Add(100 * time.Millisecond)
	}
	if !l.Lost(now, "s", 1) {
		t.Error("server does not count as lost after 2 s without an answer")
	}
	l.RecordAnswer(now, "s", 1)
	if l.Lost(now, "s", 1) {
		t.Error("server counts as lost although it answers requests")
	}
}

// TestDeferred guards against servers that count as lost because no connection to them has been
// verified yet, which is the case for all servers after a restart of all instances.
func TestDeferred(t *testing.T) {
	l := leaser.New(settings)
	now := start
	for range 30 {
		for _, o := range l.DueOrders(now, view(segment())) {
			l.RecordOutcome(now, o, leaser.Deferred, "")
		}
		now = now.Add(100 * time.Millisecond)
	}
	if l.Lost(now, "s", 1) || !l.Idle(now, identifier.Cell{Zone: "a"}) {
		t.Error("server counts as lost, or as granted to, although no order was sent")
	}
}

// TestOtherIncarnation guards against grants to an incarnation of a server that the keys were not assigned
// to.
func TestOtherIncarnation(t *testing.T) {
	l := leaser.New(settings)
	v := view(segment())
	v.CurrentIncarnation = func(identifier.BackendServer) (registrar.Incarnation, bool) { return 2, true }
	if orders := l.DueOrders(start, v); len(orders) != 0 {
		t.Errorf("orders %+v are due although the incarnation differs, want none", orders)
	}
}
