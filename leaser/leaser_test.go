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
	settings = leaser.Settings{Hold: 3 * time.Second, Renew: 700 * time.Millisecond, Authority: 20 * time.Second}
	self     = allocator.Fencer{Instance: "me", Incarnation: 1}
)

func view(s allocator.Segment) leaser.View {
	always := func(identifier.Cell) bool { return true }
	return leaser.View{
		Allocation: &allocator.Allocation{Service: "x", NextEpoch: 100, Segments: []allocator.Segment{s}},
		Holds:      always, May: always, Self: self,
		Life: func(identifier.BackendServer) (registrar.Life, bool) { return 1, true },
	}
}

func segment() allocator.Segment {
	return allocator.Segment{Range: identifier.Range{From: 0, To: 99}, Owner: "s", Life: 1, Cell: identifier.Cell{Zone: "a"}, Epoch: 5}
}

func one(t *testing.T, l *leaser.Leaser, now time.Time, s allocator.Segment, kind leaser.OrderKind) leaser.Order {
	t.Helper()
	orders := l.Due(now, view(s))
	if len(orders) != 1 || orders[0].Kind != kind {
		t.Fatalf("orders %+v, want one of kind %s", orders, kind)
	}
	return orders[0]
}

// TestFree is the table of what a process may say of keys that move.
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
			l.Ended(start, one(t, l, start, segment(), leaser.Grant), c.grant, "")
			now := start.Add(10 * time.Millisecond)
			l.Ended(now, one(t, l, now, moving, leaser.Release), c.release, "token")
			handover, free := l.Free(now.Add(c.wait), "x", moving)
			if free != c.free || free && c.release == leaser.Accepted && handover != "token" {
				t.Errorf("free %t with handover %q, want %t", free, handover, c.free)
			}
		})
	}
}

// TestReleaseAwaitsGrant checks that no release is sent while a grant is under way: the
// server might carry them out in the other order.
func TestReleaseAwaitsGrant(t *testing.T) {
	l := leaser.New(settings)
	grant := one(t, l, start, segment(), leaser.Grant)
	moving := segment()
	moving.Moving, moving.Round = true, 1
	if orders := l.Due(start.Add(time.Millisecond), view(moving)); len(orders) != 0 {
		t.Errorf("orders %+v while a grant is under way", orders)
	}
	if _, free := l.Free(start.Add(time.Millisecond), "x", moving); free {
		t.Error("free while a grant is under way")
	}
	l.Ended(start.Add(2*time.Millisecond), grant, leaser.Accepted, "")
	one(t, l, start.Add(3*time.Millisecond), moving, leaser.Release)
}

// TestFence checks the order of a fence: a short grant under the fence's epoch, its
// release, and only then the word that the keys are free, though older grants went
// unanswered.
func TestFence(t *testing.T) {
	l := leaser.New(settings)
	l.Ended(start, one(t, l, start, segment(), leaser.Grant), leaser.Unknown, "")
	fenced := segment()
	fenced.Moving, fenced.Round, fenced.Fence, fenced.Fencer = true, 2, 9, self
	now := start.Add(time.Millisecond)
	grant := one(t, l, now, fenced, leaser.Grant)
	if grant.Epoch != 9 || grant.Hold >= time.Second || !grant.Fencing {
		t.Fatalf("fencing grant %+v", grant)
	}
	l.Ended(now, grant, leaser.Accepted, "")
	if _, free := l.Free(now, "x", fenced); free {
		t.Error("free before the release")
	}
	now = now.Add(time.Millisecond)
	l.Ended(now, one(t, l, now, fenced, leaser.Release), leaser.Accepted, "token")
	if handover, free := l.Free(now, "x", fenced); !free || handover != "token" {
		t.Errorf("free %t, handover %q", free, handover)
	}
	other := fenced
	other.Fencer = allocator.Fencer{Instance: "other", Incarnation: 1}
	if orders := l.Due(now.Add(time.Minute), view(other)); len(orders) != 0 {
		t.Errorf("orders %+v under another process's fence", orders)
	}
}

// TestOldReleaseAfterFence is seed 2130 of the schedules: the release of a first round
// does not end a fencing grant that came after it.
func TestOldReleaseAfterFence(t *testing.T) {
	l := leaser.New(settings)
	l.Ended(start, one(t, l, start, segment(), leaser.Grant), leaser.Accepted, "")
	first := segment()
	first.Moving, first.Round = true, 1
	now := start.Add(time.Millisecond)
	l.Ended(now, one(t, l, now, first, leaser.Release), leaser.Accepted, "")
	fenced := first
	fenced.Round, fenced.Fence, fenced.Fencer = 2, 9, self
	now = now.Add(time.Millisecond)
	l.Ended(now, one(t, l, now, fenced, leaser.Grant), leaser.Accepted, "")
	third := first
	third.Round = 3
	if _, free := l.Free(now.Add(time.Millisecond), "x", third); free {
		t.Error("free while the fencing grant is in force")
	}
	if _, free := l.Free(now.Add(time.Second), "x", third); !free {
		t.Error("not free after the fencing grant has lapsed")
	}
}

// TestLost checks that a server counts as lost after two orders without an answer in
// 1.2 s, and not while it answers anything.
func TestLost(t *testing.T) {
	l := leaser.New(settings)
	now := start
	for range 20 {
		for _, o := range l.Due(now, view(segment())) {
			l.Ended(now, o, leaser.Unknown, "")
		}
		now = now.Add(100 * time.Millisecond)
	}
	if !l.Lost(now, "s", 1) {
		t.Error("not lost after 2 s of silence")
	}
	l.Answered(now, "s", 1)
	if l.Lost(now, "s", 1) {
		t.Error("lost though it answers requests")
	}
}

// TestDeferred checks that a server is not lost because connections to it are not old
// enough yet: after a restart of all instances that is so everywhere.
func TestDeferred(t *testing.T) {
	l := leaser.New(settings)
	now := start
	for range 30 {
		for _, o := range l.Due(now, view(segment())) {
			l.Ended(now, o, leaser.Deferred, "")
		}
		now = now.Add(100 * time.Millisecond)
	}
	if l.Lost(now, "s", 1) || !l.Idle(now, identifier.Cell{Zone: "a"}) {
		t.Error("lost, or counted as granted, without a try")
	}
}

// TestOtherLife checks that nothing is granted to a process of a server for which the
// keys are not meant.
func TestOtherLife(t *testing.T) {
	l := leaser.New(settings)
	v := view(segment())
	v.Life = func(identifier.BackendServer) (registrar.Life, bool) { return 2, true }
	if orders := l.Due(start, v); len(orders) != 0 {
		t.Errorf("orders %+v", orders)
	}
}
