package dispatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/prober"
	"github.com/turmericlift/turmericlift/router"
	"github.com/turmericlift/turmericlift/supervisor"
)

// fakePool stands in for the coordinators of a pool: servers with a few slots, of
// which some are slower for moments.
type fakePool struct {
	slots map[identifier.BackendServer]chan struct{}
	slow  func(b identifier.BackendServer, now time.Time) bool
}

// Handle runs a request on a server: it waits for a slot and works.
func (f *fakePool) Handle(ctx context.Context, r answerer.Request) answerer.Answer {
	slot := f.slots[r.Server]
	select {
	case slot <- struct{}{}:
	case <-ctx.Done():
		return answerer.Refuse(answerer.CodeExpired, "")
	}
	defer func() { <-slot }()
	work := 2 * time.Millisecond
	if f.slow(r.Server, time.Now()) {
		work *= 10
	}
	t := time.NewTimer(work)
	defer t.Stop()
	select {
	case <-t.C:
		return answerer.Answer{Outcome: answerer.Ran, Status: 200}
	case <-ctx.Done():
		return answerer.Indeterminate(answerer.CodeCancelled, "")
	}
}

type noGuard struct{}

func (noGuard) Blocked(answerer.Request) bool { return false }

// ledger is Quokka's pool: 8 servers with 2 slots.
func ledger(servers int) (*router.Table, *fakePool) {
	name := identifier.ServiceName{Organisation: "quokka", Service: "ledger"}
	s := &router.Service{Name: name, Settings: configurer.Effective{Slots: 2, HedgePercent: 4, RetryPercent: 20}}
	f := &fakePool{slots: map[identifier.BackendServer]chan struct{}{}}
	for n := range servers {
		id := identifier.BackendServer(fmt.Sprintf("ledger-%d", n))
		s.Pool = append(s.Pool, &router.Server{ID: id, Zone: "zone-0", Coordinator: "instance-0", Usable: true})
		f.slots[id] = make(chan struct{}, 2)
	}
	return &router.Table{Services: map[identifier.ServiceName]*router.Service{name: s}}, f
}

// slowFor makes one server in every slow for moments of 400 ms, others each time.
func slowFor(servers []*router.Server, every int) func(identifier.BackendServer, time.Time) bool {
	return func(b identifier.BackendServer, now time.Time) bool {
		if every == 0 {
			return false
		}
		moment := int(now.UnixMilli() / 400)
		if moment%2 == 1 {
			return false
		}
		for n, s := range servers {
			if s.ID == b {
				return (n+moment/2)%every == 0
			}
		}
		return false
	}
}

// openLoop sends requests at a rate and returns their latencies in microseconds,
// counted from when each was due.
func openLoop(rate int, d time.Duration, send func()) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	source := rand.New(rand.NewPCG(1, 1))
	due := time.Now()
	for end := due.Add(d); due.Before(end); {
		due = due.Add(time.Duration(source.ExpFloat64() * float64(time.Second) / float64(rate)))
		time.Sleep(time.Until(due))
		at := due
		wg.Go(func() {
			send()
			took := time.Since(at).Microseconds()
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(max(took, 1))
		})
	}
	wg.Wait()
	return h
}

// BenchmarkStragglers compares the tail latency of a pool with that of a naive one,
// which picks servers at random, never hedges and leaves none out, in one run.
func BenchmarkStragglers(b *testing.B) {
	const rate, span = 1500, 4 * time.Second
	for _, every := range []int{0, 10, 4} {
		servers := 8
		if every == 10 {
			servers = 10
		}
		table, fake := ledger(servers)
		var s *router.Service
		for _, s = range table.Services {
			fake.slow = slowFor(s.Pool, every)
		}
		tasks := supervisor.New(context.Background())
		d := New(Parts{
			Self: prober.Peer{Instance: "instance-0", Zone: "zone-0"}, Local: fake, Guard: noGuard{}, Tasks: tasks, Clock: time.Now,
		})
		d.Publish(&View{Table: table})
		r := answerer.Request{Service: s.Name, Method: "GET", Path: "/", Idempotent: true, Remaining: 5 * time.Second}
		b.Run(fmt.Sprintf("SlowOneIn%d", every), func(b *testing.B) {
			for b.Loop() {
				h := openLoop(rate, span, func() { d.Dispatch(context.Background(), r) })
				naive := openLoop(rate, span, func() {
					direct := r
					direct.Server = s.Pool[rand.IntN(len(s.Pool))].ID
					fake.Handle(context.Background(), direct)
				})
				b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
				b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
				b.ReportMetric(float64(h.ValueAtQuantile(99.9))/1000, "p999-ms")
				b.ReportMetric(float64(naive.ValueAtQuantile(99))/1000, "naive-p99-ms")
				p := d.pool(s.Name)
				b.ReportMetric(100*p.pool.HedgeShare(), "hedges-%")
			}
		})
		tasks.Close()
	}
}
