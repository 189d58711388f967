package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/apportioner"
	"github.com/turmericlift/turmericlift/scheduler"
)

// fleet is a number of instances whose callers all want one server of a pool.
type fleet struct {
	schedulers []*scheduler.Scheduler
	running    []runningRequest
	arrivals   []time.Time // At the server, since it is cold.
}

// runningRequest is a request at the server.
type runningRequest struct {
	at     int // The instance that sent it.
	send   scheduler.Send
	sentAt time.Time
	endsAt time.Time
}

const (
	coldRate    = 13 // Requests a second that all instances together send to a cold server.
	coldBound   = 16 // Requests that a cold server may get in any second.
	serviceTime = 90 * time.Millisecond
)

// newFleet returns a fleet that divides the rate of a cold server by its size. The server is warm for all they know.
func newFleet(size int) *fleet {
	f := &fleet{}
	for n := range size {
		s := scheduler.New(start.Add(-time.Minute), "a", fixedOwner{}, fixedShare{apportioner.Share{Sharers: size, Rank: n}})
		c := candidate("s-1", "a", 2)
		c.ColdRate = coldRate
		s.SetServers([]scheduler.Candidate{c})
		f.schedulers = append(f.schedulers, s)
	}
	return f
}

// request lets a caller of instance n request the server, and records the request if it is sent.
func (f *fleet) request(now time.Time, n int) {
	r := &scheduler.PendingRequest{Service: "s", Arrived: now, TargetTime: now.Add(300 * time.Millisecond), Deadline: now.Add(400 * time.Millisecond),
		Decided: make(chan scheduler.Decision, 1)}
	f.schedulers[n].Enqueue(now, r)
	select {
	case d := <-r.Decided:
		if d.Reason == scheduler.NotRefused {
			f.arrivals = append(f.arrivals, now)
			f.running = append(f.running, runningRequest{n, d.Send, now, now.Add(serviceTime)})
		}
	default:
		f.schedulers[n].Cancel(r)
	}
}

// advance ends the requests that are over.
func (f *fleet) advance(now time.Time) {
	kept := f.running[:0]
	for _, r := range f.running {
		if now.Before(r.endsAt) {
			kept = append(kept, r)
			continue
		}
		f.schedulers[r.at].RecordOutcome(now, "s-1", 1, scheduler.Report{Outcome: scheduler.Answered, Send: r.send, Latency: now.Sub(r.sentAt),
			HasLoad: true, Running: 1, Slowness: 1})
	}
	f.running = kept
}

// worstSecond returns the most arrivals within a second.
func (f *fleet) worstSecond() int {
	worst, first := 0, 0
	for n, at := range f.arrivals {
		for at.Sub(f.arrivals[first]) >= time.Second {
			first++
		}
		worst = max(worst, n-first+1)
	}
	return worst
}

// TestColdServerOfBlindInstances guards against a cold server that is flooded by instances which do not know that it is
// cold: neither the store nor another instance has told them anything for seconds, and they go on using what they knew.
func TestColdServerOfBlindInstances(t *testing.T) {
	for _, blind := range []int{1, 3, 9, 22} {
		t.Run(fmt.Sprintf("%dOf22", blind), func(t *testing.T) {
			f := newFleet(22)
			for n := range blind {
				f.schedulers[n*22/blind].SetInformedAt(start.Add(-5 * time.Second))
			}
			for ms := range 4000 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				f.advance(now)
				f.request(now, (ms%blind)*22/blind)
			}
			if worst := f.worstSecond(); worst > coldBound {
				t.Errorf("cold server got %d requests within a second from %d instances that do not know it, want at most %d", worst, blind, coldBound)
			}
			if len(f.arrivals) == 0 {
				t.Error("cold server got no request in 4 s")
			}
		})
	}
}
