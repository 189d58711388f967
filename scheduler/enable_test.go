package scheduler_test

import (
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/scheduler"
)

// TestEnableCostAware guards against requests that are lost, or that block a server for good, when decisions by cost begin
// while requests wait and run.
func TestEnableCostAware(t *testing.T) {
	s := scheduler.New(start, "a", fixedOwner{}, equalShares(1), scheduler.Options{})
	s.SetServers([]scheduler.Candidate{candidate("x", "a", 1)})
	request := func() *scheduler.PendingRequest {
		r := &scheduler.PendingRequest{Service: "s", Arrived: start, TargetTime: start.Add(time.Second), Deadline: start.Add(5 * time.Second), Decided: make(chan scheduler.Decision, 1)}
		s.Enqueue(start, r)
		return r
	}
	var running []scheduler.Decision
	first := request()
	for len(first.Decided) > 0 {
		running = append(running, <-first.Decided)
		first = request()
	}
	waiting := first // The server is full.
	s.EnableCostAware(start)
	s.EnableCostAware(start)
	if n := s.WaitingCount(); n != 1 {
		t.Fatalf("%d requests wait, want 1", n)
	}
	now := start.Add(100 * time.Millisecond)
	for _, d := range running {
		s.RecordOutcome(now, "x", 1, scheduler.Report{Outcome: scheduler.Answered, Send: d.Send, Latency: 100 * time.Millisecond})
	}
	s.Tick(now)
	select {
	case d := <-waiting.Decided:
		if d.Reason != scheduler.NotRefused || d.Server.ID != "x" {
			t.Errorf("decision %+v, want the server that is free", d)
		}
	default:
		t.Error("request that waited gets no decision though the server is free")
	}
	if n := s.RunningByServer()["x"]; n != 1 {
		t.Errorf("%d requests count as running, want 1", n)
	}
}
