package scheduler_test

import (
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/estimator"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/scheduler"
)

// TestServiceTimes guards against plans that give a slow server as many keys as a fast one, that take a server for slow whose
// machine is slow for a moment, and that weigh keys with costly requests like others.
func TestServiceTimes(t *testing.T) {
	s := scheduler.New(start.Add(-time.Minute), "a", fixedOwner{}, equalShares(1), scheduler.Options{CostAware: true, Owners: true})
	s.SetServers([]scheduler.Candidate{candidate("fast", "a", 4), candidate("slow", "a", 4), candidate("noisy", "a", 4)})
	latency := map[identifier.BackendServer]time.Duration{"fast": 60 * time.Millisecond, "slow": 150 * time.Millisecond, "noisy": 180 * time.Millisecond}
	slowness := map[identifier.BackendServer]float64{"fast": 1, "slow": 1, "noisy": 3}
	cheap := estimator.Class{Service: "s", Route: "r", Method: "GET", Item: 1}
	costly := estimator.Class{Service: "s", Route: "r", Method: "GET", Item: 2}
	now := start
	for n := range 600 {
		r := waitingRequest(now, 0, time.Second, 5*time.Second)
		factor := time.Duration(1)
		if r.Class = cheap; n%4 == 0 {
			r.Class, factor = costly, 3
		}
		s.Enqueue(now, r)
		d := <-r.Decided
		id := d.Server.ID
		now = now.Add(factor * latency[id])
		s.RecordOutcome(now, id, 1, scheduler.Report{Outcome: scheduler.Answered, Send: d.Send, Latency: factor * latency[id], HasLoad: true, Running: 1, Slowness: slowness[id]})
	}
	fast, _ := s.ServiceTime("fast")
	slow, _ := s.ServiceTime("slow")
	noisy, _ := s.ServiceTime("noisy")
	if ratio := slow / fast; ratio < 1.7 || ratio > 3.2 {
		t.Errorf("service times are %.0f and %.0f ms at servers that differ 2.5 times in speed", fast, slow)
	}
	if ratio := noisy / fast; ratio < 0.6 || ratio > 1.6 {
		t.Errorf("service times are %.0f and %.0f ms at servers of the same speed, of which one has a noisy neighbour", fast, noisy)
	}
	if ratio := s.KeyWork(costly) / s.KeyWork(cheap); ratio < 2 || ratio > 4 {
		t.Errorf("requests for one key count %.1f times as much as those for another, want 3", ratio)
	}
}
