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

// fakePool is a Coordinator that simulates the backend servers of a pool service. Each has a few slots and
// answers after 2 ms, or after 20 ms while slow says so.
type fakePool struct {
	slots map[identifier.BackendServer]chan struct{}
	slow  func(b identifier.BackendServer, now time.Time) bool
}

// Handle waits for a slot of the request's server and then for the time that the server needs to answer.
func (f *fakePool) Handle(ctx context.Context, r answerer.Request) answerer.Answer {
	slot := f.slots[r.Server]
	select {
	case slot <- struct{}{}:
	case <-ctx.Done():
		return answerer.Refuse(answerer.CodeExpired, "")
	}
	defer func() { <-slot }()
	serviceTime := 2 * time.Millisecond
	if f.slow(r.Server, time.Now()) {
		serviceTime *= 10
	}
	t := time.NewTimer(serviceTime)
	defer t.Stop()
	select {
	case <-t.C:
		return answerer.Answer{Outcome: answerer.Ran, Status: 200}
	case <-ctx.Done():
		return answerer.Indeterminate(answerer.CodeCancelled, "")
	}
}

// noQuarantine reports no request as quarantined.
type noQuarantine struct{}

func (noQuarantine) Blocked(answerer.Request) bool { return false }

// newLedger returns the routing table of a pool service with 2 slots per server, and the simulation of its
// servers.
func newLedger(servers int) (*router.Table, *fakePool) {
	name := identifier.ServiceName{Organisation: "quokka", Service: "ledger"}
	s := &router.Service{Name: name, Settings: configurer.EffectiveSettings{Slots: 2, HedgePercent: 4, RetryPercent: 20}}
	f := &fakePool{slots: map[identifier.BackendServer]chan struct{}{}}
	for n := range servers {
		id := identifier.BackendServer(fmt.Sprintf("ledger-%d", n))
		s.PoolServers = append(s.PoolServers, &router.Server{ID: id, Zone: "zone-0", Coordinator: "instance-0", Usable: true})
		f.slots[id] = make(chan struct{}, 2)
	}
	return &router.Table{Services: map[identifier.ServiceName]*router.Service{name: s}}, f
}

// slowFor returns a function that makes one in every servers slow for 400 ms at a time, with 400 ms
// between in which all are fast. The slow servers change each time. No server is slow if every is 0.
func slowFor(servers []*router.Server, every int) func(identifier.BackendServer, time.Time) bool {
	return func(b identifier.BackendServer, now time.Time) bool {
		if every == 0 {
			return false
		}
		interval := int(now.UnixMilli() / 400)
		if interval%2 == 1 {
			return false
		}
		for n, s := range servers {
			if s.ID == b {
				return (n+interval/2)%every == 0
			}
		}
		return false
	}
}

// openLoop calls send at a mean rate per second for the duration d without waiting for earlier calls to
// return. It returns the latencies in microseconds, each counted from the time at which the call was
// scheduled.
func openLoop(rate int, d time.Duration, send func()) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	source := rand.New(rand.NewPCG(1, 1))
	scheduled := time.Now()
	for end := scheduled.Add(d); scheduled.Before(end); {
		scheduled = scheduled.Add(time.Duration(source.ExpFloat64() * float64(time.Second) / float64(rate)))
		time.Sleep(time.Until(scheduled))
		at := scheduled
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

// BenchmarkStragglers measures the tail latency of a pool service whose servers are slow at times, and in
// the same run that of a naive client that picks servers at random, never hedges and excludes no slow
// server.
func BenchmarkStragglers(b *testing.B) {
	const rate, span = 1500, 4 * time.Second
	for _, every := range []int{0, 10, 4} {
		servers := 8
		if every == 10 {
			servers = 10
		}
		table, fake := newLedger(servers)
		var s *router.Service
		for _, s = range table.Services {
			fake.slow = slowFor(s.PoolServers, every)
		}
		tasks := supervisor.New(context.Background())
		d := New(Dependencies{
			Self: prober.Peer{Instance: "instance-0", Zone: "zone-0"}, LocalCoordinator: fake, Quarantine: noQuarantine{}, Tasks: tasks, Clock: time.Now,
		})
		d.Publish(&View{Table: table})
		r := answerer.Request{Service: s.Name, Method: "GET", Path: "/", Idempotent: true, Remaining: 5 * time.Second}
		b.Run(fmt.Sprintf("SlowOneIn%d", every), func(b *testing.B) {
			for b.Loop() {
				h := openLoop(rate, span, func() { d.Dispatch(context.Background(), r) })
				naive := openLoop(rate, span, func() {
					direct := r
					direct.Server = s.PoolServers[rand.IntN(len(s.PoolServers))].ID
					fake.Handle(context.Background(), direct)
				})
				b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
				b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
				b.ReportMetric(float64(h.ValueAtQuantile(99.9))/1000, "p999-ms")
				b.ReportMetric(float64(naive.ValueAtQuantile(99))/1000, "naive-p99-ms")
				locked := d.lockedBalancer(s.Name)
				b.ReportMetric(100*locked.balancer.HedgeShare(), "hedges-%")
			}
		})
		tasks.Close()
	}
}
