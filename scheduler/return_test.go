package scheduler_test

import (
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/registrar"
	"github.com/turmericlift/turmericlift/scheduler"
)

// TestRetryAfterReturn guards against a server that is overrun when the time for which it wanted no requests ends: all
// instances that it turned away have requests for it.
func TestRetryAfterReturn(t *testing.T) {
	const instances, slots, serviceMs, retryAfter = 30, 2, 100, time.Second // The server runs 20 requests a second.
	var sent []time.Time
	for n := range instances {
		s := scheduler.New(start.Add(-time.Minute+time.Duration(n)*time.Millisecond), "a", fixedOwner{registrar.Ownership{Server: "x", Incarnation: 1, Ready: true}}, equalShares(instances), scheduler.Options{})
		s.SetServers([]scheduler.Candidate{candidate("x", "a", slots)})
		newRequest := func(now time.Time) *scheduler.PendingRequest {
			return &scheduler.PendingRequest{Service: "s", Keyed: true, Arrived: now, TargetTime: now.Add(time.Second), Deadline: now.Add(4 * time.Second), Decided: make(chan scheduler.Decision, 1)}
		}
		first, second := newRequest(start), newRequest(start)
		s.Enqueue(start, first)
		<-first.Decided
		s.RecordOutcome(start, "x", 1, scheduler.Report{Outcome: scheduler.Shed, Notice: registrar.Notice{RetryAfter: retryAfter}})
		s.Enqueue(start, second)
		for now := start; len(second.Decided) == 0 && now.Before(start.Add(5*time.Second)); now = now.Add(5 * time.Millisecond) {
			s.Tick(now)
			if len(second.Decided) > 0 {
				sent = append(sent, now)
			}
		}
	}
	if len(sent) != instances {
		t.Errorf("%d of %d instances returned", len(sent), instances)
	}
	early := 0
	for _, at := range sent {
		if at.Before(start.Add(retryAfter)) {
			t.Errorf("request sent %s after the refusal, want none for %s", at.Sub(start), retryAfter)
		}
		if at.Before(start.Add(retryAfter + 250*time.Millisecond)) {
			early++
		}
	}
	if most := 3 * slots * 250 / serviceMs; early > most {
		t.Errorf("%d requests sent in the first 250 ms, want at most %d", early, most)
	}
}
