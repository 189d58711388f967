package scheduler_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/apportioner"
	"github.com/turmericlift/turmericlift/scheduler"
)

// fleet is a number of instances whose callers all want one server of a pool.
type fleet struct {
	schedulers []*scheduler.Scheduler
	running    []runningRequest
	arrivals   []time.Time // At the server.
	// coldAt is when the server becomes cold; zero if it is cold from the start.
	coldAt  time.Time
	calls   []healthCall
	pending []pendingRequest
}

// pendingRequest is a request that waits at an instance.
type pendingRequest struct {
	at      int
	request *scheduler.PendingRequest
}

// healthCall is a call of the server's health path.
type healthCall struct {
	by      int
	madeAt  time.Time
	endsAt  time.Time
	coldFor time.Duration
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
	coldFor     = 3 * time.Second
	roundTrip   = 2 * time.Millisecond
	slots       = 2
	serviceTime = 90 * time.Millisecond
)

// newFleet returns a fleet that divides the rate of a cold server by its size. The server is warm for all they know.
func newFleet(size int, options scheduler.Options) *fleet {
	f := &fleet{}
	for n := range size {
		s := scheduler.New(start.Add(-time.Minute), "a", fixedOwner{}, fixedShare{apportioner.Share{Sharers: size, Rank: n}}, options)
		c := candidate("s-1", "a", slots)
		c.ColdRate, c.ColdFor = coldRate, coldFor
		s.SetServers([]scheduler.Candidate{c})
		f.schedulers = append(f.schedulers, s)
	}
	return f
}

// request lets a caller of instance n request the server.
func (f *fleet) request(now time.Time, n int) {
	r := &scheduler.PendingRequest{Service: "s", Arrived: now, TargetTime: now.Add(300 * time.Millisecond), Deadline: now.Add(400 * time.Millisecond),
		Decided: make(chan scheduler.Decision, 1)}
	f.schedulers[n].Enqueue(now, r)
	f.pending = append(f.pending, pendingRequest{n, r})
}

// takeDecisions records the requests that are sent, and drops those that are refused or whose deadline has passed.
func (f *fleet) takeDecisions(now time.Time) {
	waiting := f.pending[:0]
	for _, p := range f.pending {
		select {
		case d := <-p.request.Decided:
			if d.Reason == scheduler.NotRefused {
				f.arrivals = append(f.arrivals, now)
				f.running = append(f.running, runningRequest{p.at, d.Send, now, now.Add(serviceTime)})
			}
		default:
			if now.Before(p.request.Deadline) {
				waiting = append(waiting, p)
			} else {
				f.schedulers[p.at].Cancel(p.request)
			}
		}
	}
	f.pending = waiting
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
			HasLoad: true, Running: min(len(f.running), slots), Waiting: max(len(f.running)-slots, 0), Slowness: 1})
	}
	f.running = kept
	waiting := f.calls[:0]
	for _, c := range f.calls {
		if now.Before(c.endsAt) {
			waiting = append(waiting, c)
			continue
		}
		f.schedulers[c.by].RecordHealth(now, c.madeAt, "s-1", 1, c.coldFor)
	}
	f.calls = waiting
}

// callHealth makes the health calls that are due.
func (f *fleet) callHealth(now time.Time) {
	for n, s := range f.schedulers {
		for range s.HealthCallsDue(now) {
			c := healthCall{by: n, madeAt: now, endsAt: now.Add(roundTrip)}
			if !now.Before(f.coldAt) {
				c.coldFor = coldFor - now.Sub(f.coldAt)
			}
			f.calls = append(f.calls, c)
		}
	}
}

// since drops the arrivals before a time.
func (f *fleet) since(at time.Time) {
	f.arrivals = slices.DeleteFunc(f.arrivals, func(a time.Time) bool { return a.Before(at) })
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
	for _, costAware := range []bool{false, true} {
		for _, blind := range []int{1, 3, 9, 22} {
			t.Run(fmt.Sprintf("%dOf22/CostAware=%t", blind, costAware), func(t *testing.T) {
				f := newFleet(22, scheduler.Options{CostAware: costAware})
				for n := range blind {
					f.schedulers[n*22/blind].SetInformedAt(start.Add(-5 * time.Second))
				}
				for ms := range 4000 {
					now := start.Add(time.Duration(ms) * time.Millisecond)
					f.advance(now)
					f.request(now, (ms%blind)*22/blind)
					f.takeDecisions(now)
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
}

// TestHealthCallsOfBlindInstances guards against a server that is warm and gets hardly any work from instances which neither
// the store nor another instance tells anything, and against one that is flooded when it becomes cold then. Health calls
// tell them apart.
func TestHealthCallsOfBlindInstances(t *testing.T) {
	for _, costAware := range []bool{false, true} {
		for _, blind := range []int{1, 5, 22} {
			t.Run(fmt.Sprintf("%dOf22/CostAware=%t", blind, costAware), func(t *testing.T) {
				f := newFleet(22, scheduler.Options{CostAware: costAware})
				f.coldAt = start.Add(4 * time.Second)
				for n := range blind {
					f.schedulers[n*22/blind].SetInformedAt(start.Add(-5 * time.Second))
				}
				rng := rand.New(rand.NewSource(1))
				for ms := range 6000 {
					now := start.Add(time.Duration(ms) * time.Millisecond)
					f.advance(now)
					if rng.Intn(50) == 0 {
						f.request(now, rng.Intn(blind)*22/blind)
					}
					f.takeDecisions(now)
					f.callHealth(now)
				}
				warm := len(f.arrivals)
				f.since(f.coldAt)
				warm -= len(f.arrivals)
				if warm < 40 {
					t.Errorf("warm server got %d of 80 requests in 4 s, want at least half", warm)
				}
				if worst := f.worstSecond(); worst > coldBound {
					t.Errorf("server got %d requests within a second after it became cold, want at most %d", worst, coldBound)
				}
			})
		}
	}
}
