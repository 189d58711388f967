package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
	"github.com/turmericlift/turmericlift/scheduler"
)

// costAware returns a cost-aware Scheduler with one server of one slot, which takes two requests at a time.
func costAware() *scheduler.Scheduler {
	s := scheduler.New(start.Add(-time.Minute), "a", fixedOwner{}, equalShares(1), scheduler.Options{CostAware: true, Owners: true})
	s.SetServers([]scheduler.Candidate{candidate("x", "a", 1)})
	return s
}

// waitingRequest returns a request that arrives at the given time.
func waitingRequest(now time.Time, priority int, target, deadline time.Duration) *scheduler.PendingRequest {
	return &scheduler.PendingRequest{Service: "s", Priority: director.Priority(priority), Arrived: now, TargetTime: now.Add(target),
		Deadline: now.Add(deadline), Decided: make(chan scheduler.Decision, 1)}
}

// finish ends the oldest request at the server.
func finish(s *scheduler.Scheduler, now time.Time, sends *[]scheduler.Send) {
	s.RecordOutcome(now, "x", 1, scheduler.Report{Outcome: scheduler.Answered, Send: (*sends)[0], Latency: 100 * time.Millisecond, HasLoad: true, Running: 1, Slowness: 1})
	*sends = (*sends)[1:]
}

// fill sends requests until the server takes no more.
func fill(t *testing.T, s *scheduler.Scheduler, now time.Time) []scheduler.Send {
	t.Helper()
	var sends []scheduler.Send
	for range 2 {
		r := waitingRequest(now, 0, time.Second, 5*time.Second)
		s.Enqueue(now, r)
		select {
		case d := <-r.Decided:
			sends = append(sends, d.Send)
		default:
			t.Fatal("server with a free place gets no request")
		}
	}
	return sends
}

// TestOrder guards against less urgent requests, and requests that are late already, that go before those that can still meet
// their target time, and against retries that are not first of their kind.
func TestOrder(t *testing.T) {
	s, now := costAware(), start
	sends := fill(t, s, now)
	requests := map[string]*scheduler.PendingRequest{
		"late":   waitingRequest(now, 0, time.Millisecond, 20*time.Second),
		"low":    waitingRequest(now, 2, 15*time.Second, 20*time.Second),
		"middle": waitingRequest(now, 1, 15*time.Second, 20*time.Second),
		"urgent": waitingRequest(now, 0, 15*time.Second, 20*time.Second),
		"retry":  waitingRequest(now, 0, 16*time.Second, 20*time.Second),
	}
	requests["retry"].IsRetry = true
	for _, name := range []string{"late", "low", "middle", "urgent", "retry"} {
		s.Enqueue(now, requests[name])
	}
	var order []string
	for len(order) < len(requests) && len(sends) > 0 {
		now = now.Add(100 * time.Millisecond)
		finish(s, now, &sends)
		for name, r := range requests {
			select {
			case d := <-r.Decided:
				if d.Reason == scheduler.NotRefused {
					order = append(order, name)
					sends = append(sends, d.Send)
				}
			default:
			}
		}
	}
	if want := []string{"retry", "urgent", "middle", "low", "late"}; !slices.Equal(order, want) {
		t.Errorf("requests are sent in the order %v, want %v", order, want)
	}
}

// TestFloor guards against a class that gets nothing while more urgent requests go on arriving.
func TestFloor(t *testing.T) {
	s, now := costAware(), start
	sends := fill(t, s, now)
	low := waitingRequest(now, 3, 15*time.Second, 20*time.Second)
	s.Enqueue(now, low)
	for n := range 30 {
		now = now.Add(100 * time.Millisecond)
		urgent := waitingRequest(now, 0, 15*time.Second, 20*time.Second)
		s.Enqueue(now, urgent)
		finish(s, now, &sends)
		select {
		case d := <-low.Decided:
			if d.Reason != scheduler.NotRefused {
				t.Fatalf("the least urgent request is refused after %d requests", n)
			}
			return
		case d := <-urgent.Decided:
			sends = append(sends, d.Send)
		default:
			sends = append(sends, 0)
		}
	}
	t.Error("the least urgent request is not sent while 30 more urgent ones are")
}

// TestBookedReturns guards against callers who wait for an answer that cannot come before their deadline, and against refused
// callers who are told to return at the same time or after a third of the time that they have left.
func TestBookedReturns(t *testing.T) {
	const deadline = 3 * time.Second
	s, now := costAware(), start
	fill(t, s, now)
	var booked []time.Duration
	refused, waiting := 0, 0
	for range 100 {
		r := waitingRequest(now, 0, time.Second, deadline)
		s.Enqueue(now, r)
		select {
		case d := <-r.Decided:
			refused++
			if d.RetryAfter <= 0 {
				t.Errorf("request is refused without a retry time")
			}
			if d.Inputs.Booked {
				booked = append(booked, d.RetryAfter)
			}
		default:
			waiting++
		}
	}
	if waiting < 10 || waiting > 40 {
		t.Errorf("%d of 100 requests wait for a server that runs about 10 in a second, want about those of %s", waiting, deadline)
	}
	for n := range booked {
		if n > 0 && booked[n]-booked[n-1] < 50*time.Millisecond {
			t.Errorf("returns are booked after %s and %s, want them as far apart as the server needs", booked[n-1], booked[n])
		}
		if booked[n] > deadline/3 {
			t.Errorf("return is booked after %s of %s, want at most a third", booked[n], deadline)
		}
	}
	if len(booked) == 0 {
		t.Errorf("none of %d refused requests is told a booked time", refused)
	}
}

// TestCancelled guards against cancelled requests that are still counted or sent.
func TestCancelled(t *testing.T) {
	s, now := costAware(), start
	sends := fill(t, s, now)
	r := waitingRequest(now, 0, time.Second, 5*time.Second)
	s.Enqueue(now, r)
	if n := s.WaitingCount(); n != 1 {
		t.Fatalf("%d requests wait, want 1", n)
	}
	s.Cancel(r)
	s.Cancel(r)
	finish(s, now, &sends)
	if len(r.Decided) > 0 || s.WaitingCount() != 0 {
		t.Errorf("cancelled request has %d decisions and %d requests wait, want none", len(r.Decided), s.WaitingCount())
	}
}

// TestManyRetries guards against callers who retry at once and often and so crowd out first tries of the same priority.
func TestManyRetries(t *testing.T) {
	s, now := costAware(), start
	sends := fill(t, s, now)
	sent := [2]int{}
	var waiting []*scheduler.PendingRequest
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		for n := range 4 {
			r := waitingRequest(now, 0, 15*time.Second, 20*time.Second)
			r.IsRetry = n > 0
			waiting = append(waiting, r)
			s.Enqueue(now, r)
		}
		finish(s, now, &sends)
		for _, r := range waiting {
			select {
			case d := <-r.Decided:
				if d.Reason == scheduler.NotRefused {
					sends = append(sends, d.Send)
					if r.IsRetry {
						sent[1]++
					} else {
						sent[0]++
					}
				}
			default:
			}
		}
	}
	if sent[0] < 15 || sent[1] < 15 {
		t.Errorf("%d first tries and %d retries are sent, want about as many of both", sent[0], sent[1])
	}
}

// testedOwner is an owner that has refused a request: each look-up that says that it is ready starts a test, and until that is
// over the others say that it is not.
type testedOwner struct{ testedUntil time.Time }

func (o *testedOwner) Owner(now time.Time, _ identifier.Service, _ identifier.ShardKey) registrar.Ownership {
	own := registrar.Ownership{Server: "x", Incarnation: 1, Ready: !now.Before(o.testedUntil), ReadyAt: o.testedUntil}
	if own.Ready {
		o.testedUntil = now.Add(100 * time.Millisecond)
	}
	return own
}

// TestTestedOwner guards against an owner that gets no more requests after it has refused one: the request for which the test
// of the owner was started must be sent, whatever else is looked up for it.
func TestTestedOwner(t *testing.T) {
	for _, costAware := range []bool{false, true} {
		s := scheduler.New(start.Add(-time.Minute), "a", &testedOwner{testedUntil: start.Add(50 * time.Millisecond)}, equalShares(1), scheduler.Options{CostAware: costAware})
		s.SetServers([]scheduler.Candidate{candidate("x", "a", 4)})
		r := waitingRequest(start, 0, time.Second, 5*time.Second)
		r.Keyed = true
		s.Enqueue(start, r)
		for ms := 25; ms <= 200; ms += 25 {
			s.Tick(start.Add(time.Duration(ms) * time.Millisecond))
		}
		select {
		case d := <-r.Decided:
			if d.Server.ID != "x" || d.Inputs.Owner.Server != "x" {
				t.Errorf("CostAware=%t: request is sent to %q for owner %q, want x", costAware, d.Server.ID, d.Inputs.Owner.Server)
			}
		default:
			t.Errorf("CostAware=%t: request is not sent to the owner that has refused another", costAware)
		}
	}
}
