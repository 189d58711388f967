package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/estimator"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/scheduler"
)

// BenchmarkDecision measures one request from its arrival to its outcome, while the given number of requests waits: its
// decision, the end of one that runs, and the decision that this allows.
func BenchmarkDecision(b *testing.B) {
	for _, costAware := range []bool{false, true} {
		for _, servers := range []int{20, 200, 800} {
			for _, waiting := range []int{1, 100, 5000} {
				b.Run(fmt.Sprintf("CostAware=%t/Servers=%d/Waiting=%d", costAware, servers, waiting), func(b *testing.B) {
					benchmarkDecision(b, scheduler.Options{CostAware: costAware}, servers, waiting)
				})
			}
		}
	}
}

func benchmarkDecision(b *testing.B, options scheduler.Options, servers, waiting int) {
	s := scheduler.New(start.Add(-time.Minute), "a", fixedOwner{}, equalShares(1), options)
	var candidates []scheduler.Candidate
	for n := range servers {
		candidates = append(candidates, candidate(fmt.Sprintf("s-%d", n), zoneName(n%3), 4))
	}
	s.SetServers(candidates)
	s.RecordPeerLoad(start, map[identifier.BackendServer]int{}, map[identifier.BackendServer]int{})
	type running struct {
		server identifier.BackendServer
		send   scheduler.Send
	}
	var atServers []running
	var undecided []*scheduler.PendingRequest
	take := func() {
		kept := undecided[:0]
		for _, r := range undecided {
			select {
			case d := <-r.Decided:
				if d.Reason == scheduler.NotRefused {
					atServers = append(atServers, running{d.Server.ID, d.Send})
				}
			default:
				kept = append(kept, r)
			}
		}
		undecided = kept
	}
	arrive := func(n int) {
		r := waitingRequest(start, n%3, time.Hour, 2*time.Hour)
		r.Class = estimator.Class{Service: "s", Route: fmt.Sprint(n % 5), Method: "GET"}
		undecided = append(undecided, r)
		s.Enqueue(start, r)
	}
	for n := 0; len(undecided) < waiting; n++ {
		arrive(n)
		if n%100 == 0 || len(undecided) >= waiting {
			take()
		}
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		arrive(n)
		end := atServers[n%len(atServers)]
		s.RecordOutcome(start, end.server, 1, scheduler.Report{Outcome: scheduler.Answered, Send: end.send, Latency: 100 * time.Millisecond, HasLoad: true, Running: 4, Slowness: 1})
		b.StopTimer()
		atServers = append(atServers[:n%len(atServers)], atServers[n%len(atServers)+1:]...)
		take()
		b.StartTimer()
		n++
	}
}
