package estimator_test

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"github.com/turmericlift/turmericlift/estimator"
	"github.com/turmericlift/turmericlift/identifier"
)

// sigma is the standard deviation of the logarithm of work whose standard deviation is 0.8 of its mean.
var sigma = math.Sqrt(math.Log(1 + 0.8*0.8))

// work returns random work with the given mean in milliseconds.
func work(rng *rand.Rand, mean float64) float64 {
	return mean * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
}

// within fails the test if a value differs from the wanted one by more than the given share.
func within(t *testing.T, what string, got, want, share float64) {
	t.Helper()
	if math.Abs(got-want) > share*want {
		t.Errorf("%s is %.3g, want %.3g within %.0f%%", what, got, want, share*100)
	}
}

// learn records requests of two routes at servers that differ in speed and are slow a fifth of the time.
func learn(e *estimator.Estimator, rng *rand.Rand, servers, requests int) {
	for range requests {
		n := rng.Intn(servers)
		c, mean := estimator.Class{Service: "s", Route: "read", Method: "GET"}, 150.0
		if rng.Intn(3) == 0 {
			c, mean = estimator.Class{Service: "s", Route: "archive", Method: "GET"}, 340.0
		}
		slowness := 1.0
		if rng.Intn(5) == 0 {
			slowness = 3
		}
		e.Record(estimator.Observation{Class: c, Server: serverID(n), ServiceTime: work(rng, mean) * slowdown(n, servers) * slowness, Slowness: slowness, Weight: 1})
	}
}

func serverID(n int) identifier.BackendServer {
	return identifier.BackendServer(fmt.Sprintf("i-%d", n))
}

// slowdown returns the factor of server n; the servers differ by up to 2.5 times.
func slowdown(n, servers int) float64 {
	return 0.63 * math.Pow(2.5, float64(n)/float64(servers-1))
}

// TestEstimates guards against estimates that mix up the cost of requests with the speed of the servers that ran them or
// with the slowness of their machines at the time.
func TestEstimates(t *testing.T) {
	e := estimator.New()
	learn(e, rand.New(rand.NewSource(1)), 10, 4000)
	read := e.Estimate(estimator.Class{Service: "s", Route: "read", Method: "GET"})
	archive := e.Estimate(estimator.Class{Service: "s", Route: "archive", Method: "GET"})
	within(t, "mean of read", read.Mean(), 150, 0.15)
	within(t, "mean of archive", archive.Mean(), 340, 0.15)
	within(t, "median of read", read.Median(), 150*math.Exp(-sigma*sigma/2), 0.15)
	within(t, "0.9 quantile of read", read.Quantile90(), 150*math.Exp(1.2816*sigma-sigma*sigma/2), 0.15)
	for n := range 10 {
		within(t, "slowdown of "+string(serverID(n)), e.Slowdown("s", serverID(n)), slowdown(n, 10), 0.25)
	}
}

// TestKeys guards against a key that costs more than the others of its route and is taken for an ordinary one.
func TestKeys(t *testing.T) {
	e, rng := estimator.New(), rand.New(rand.NewSource(2))
	class := func(item uint64) estimator.Class { return estimator.Class{Service: "s", Route: "read", Item: item} }
	for n := range 2000 {
		item, mean := uint64(1+rng.Intn(200)), 100.0
		if n%20 == 0 {
			item, mean = 1000, 300
		}
		e.Record(estimator.Observation{Class: class(item), Server: "i-1", ServiceTime: work(rng, mean), Slowness: 1, Weight: 1})
	}
	within(t, "mean of the costly key", e.Estimate(class(1000)).Mean(), 300, 0.3)
	within(t, "mean of a key that is new", e.Estimate(class(2000)).Mean(), 100, 0.2)
}

// TestRemaining guards against a long request that is taken to end at once because it has lasted longer than the mean.
func TestRemaining(t *testing.T) {
	e, rng := estimator.New(), rand.New(rand.NewSource(3))
	class := estimator.Class{Service: "s", Route: "read"}
	var all []float64
	for n := range 3000 {
		w := work(rng, 150)
		if n%100 == 0 {
			w *= 5
		}
		all = append(all, w)
		e.Record(estimator.Observation{Class: class, Server: "i-1", ServiceTime: w, Slowness: 1, Weight: 1})
	}
	for _, done := range []float64{0, 50, 150, 300, 600} {
		sum, n := 0.0, 0.0
		for _, w := range all {
			if w > done {
				sum, n = sum+w-done, n+1
			}
		}
		within(t, fmt.Sprintf("remaining work after %v ms", done), e.Estimate(class).Remaining(done), sum/n, 0.35)
	}
	if left := e.Estimate(class).Remaining(20000); left < 1000 || left > 40000 {
		t.Errorf("remaining work of a request that has lasted longer than all others is %.0f ms, want some seconds", left)
	}
}

// TestNewClass guards against an estimate for a class without observations that is far from what its service's requests cost.
func TestNewClass(t *testing.T) {
	e := estimator.New()
	if got := e.Estimate(estimator.Class{Service: "s", Route: "read"}).Mean(); got < 50 || got > 200 {
		t.Errorf("mean work of a request of which nothing is known is %.0f ms, want about 100", got)
	}
	learn(e, rand.New(rand.NewSource(4)), 5, 2000)
	within(t, "mean of a new class", e.Estimate(estimator.Class{Service: "s", Route: "new"}).Mean(), 150*2.0/3+340/3.0, 0.25)
}

// TestFalseReports guards against one server whose slowness or service times are false and which spoils the estimates for
// all others, and against values that are no numbers.
func TestFalseReports(t *testing.T) {
	e, rng := estimator.New(), rand.New(rand.NewSource(5))
	class := estimator.Class{Service: "s", Route: "read"}
	for n := range 4000 {
		o := estimator.Observation{Class: class, Server: serverID(n % 10), ServiceTime: work(rng, 150), Slowness: 1, Weight: 1}
		if n%10 == 0 {
			o.Slowness, o.ServiceTime = []float64{0, 1e9, math.NaN(), -3, math.Inf(1)}[rng.Intn(5)], []float64{1e-3, 1e9, 150}[rng.Intn(3)]
		}
		e.Record(o)
	}
	for _, v := range []float64{math.NaN(), math.Inf(1), 0, -1} {
		e.Record(estimator.Observation{Class: class, Server: "i-1", ServiceTime: v, Slowness: 1, Weight: 1})
		e.Record(estimator.Observation{Class: class, Server: "i-1", ServiceTime: 100, Slowness: 1, Weight: v})
	}
	within(t, "median", e.Estimate(class).Median(), 150*math.Exp(-sigma*sigma/2), 0.35)
	if s := e.Slowdown("s", serverID(0)); s < 0.2 || s > 6 {
		t.Errorf("slowdown of the server with false reports is %g, want it bounded", s)
	}
	within(t, "slowdown of another server", e.Slowdown("s", serverID(3)), 1, 0.35)
}

// TestManyItems guards against memory that grows with the number of keys, paths, routes and servers.
func TestManyItems(t *testing.T) {
	e := estimator.New()
	record := func(n int) {
		e.Record(estimator.Observation{Class: estimator.Class{Service: "s", Route: fmt.Sprint(n % 1000), Item: uint64(n + 1)}, Server: serverID(n), ServiceTime: 100, Slowness: 1, Weight: 1})
	}
	for n := range 20000 {
		record(n)
	}
	groups, items, servers := e.Sizes()
	if groups > 256 || items > 4096 || servers > 2048 {
		t.Errorf("%d groups, %d items and %d servers are kept, want at most 256, 4096 and 2048", groups, items, servers)
	}
}

// BenchmarkEstimate measures the estimate for a request of a known key.
func BenchmarkEstimate(b *testing.B) {
	e := estimator.New()
	learn(e, rand.New(rand.NewSource(1)), 100, 4000)
	class := estimator.Class{Service: "s", Route: "read", Method: "GET", Item: 7}
	e.Record(estimator.Observation{Class: class, Server: "i-1", ServiceTime: 100, Slowness: 1, Weight: 1})
	b.ReportAllocs()
	for b.Loop() {
		e.Estimate(class).Remaining(80)
	}
}

// BenchmarkRecord measures learning from an answer.
func BenchmarkRecord(b *testing.B) {
	e := estimator.New()
	o := estimator.Observation{Class: estimator.Class{Service: "s", Route: "read", Method: "GET", Item: 7}, Server: "i-1", ServiceTime: 100, Slowness: 1, Weight: 1}
	b.ReportAllocs()
	for b.Loop() {
		e.Record(o)
	}
}
