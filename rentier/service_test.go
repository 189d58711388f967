package rentier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/rentier"
)

// load is the requests a second of a tenant and the machine that gets the next one.
type load struct {
	tenant identifier.Tenant
	rate   float64
	pick   func(w *installation) *machine
}

// anyMachine spreads requests over all machines.
func anyMachine(w *installation) *machine { return w.machines[w.rng.Intn(len(w.machines))] }

// oneMachine sends all requests to one machine.
func oneMachine(w *installation) *machine { return w.machines[1] }

// serve plays loads for a time and returns, by tenant, the share of the requests that were sent. A request that finds no
// token waits for the distributor's answer.
func serve(w *installation, length time.Duration, loads ...load) map[identifier.Tenant]float64 {
	made, before := map[identifier.Tenant]int{}, map[identifier.Tenant]int{}
	total := map[identifier.Tenant]int{}
	for _, q := range w.quotas {
		before[q.Tenant] = len(w.sent[q.Tenant])
	}
	due := make([]float64, len(loads))
	for end := w.now + length; w.now < end; {
		w.advance()
		if w.now > end-callTimeout {
			loads = nil // The last requests get their answers.
		}
		for n, l := range loads {
			// Poisson arrivals: the times between them have an exponential distribution.
			for due[n] -= step.Seconds(); due[n] < 0; due[n] += w.rng.ExpFloat64() / l.rate {
				if m := l.pick(w); m.running {
					made[l.tenant]++
					w.request(m, l.tenant)
				}
			}
		}
		for _, q := range w.quotas {
			total[q.Tenant] += len(w.sent[q.Tenant]) - before[q.Tenant]
		}
		if err := w.check(); err != nil {
			panic(err)
		}
		for _, q := range w.quotas {
			before[q.Tenant] = len(w.sent[q.Tenant])
		}
	}
	share := map[identifier.Tenant]float64{}
	for tenant, n := range made {
		share[tenant] = float64(total[tenant]) / float64(n)
	}
	return share
}

// calmInstallation returns an installation without faults whose instances have lent their parts.
func calmInstallation(n int) *installation {
	w := newInstallation(int64(n), n, usualRules(), quotas)
	w.calm = true
	serve(w, 8*time.Second)
	return w
}

// TestBelowRate guards against requests below the rate that are refused, whether they are spread over all instances or all
// arrive at one, and also while another tenant sends ten times its rate.
func TestBelowRate(t *testing.T) {
	const (
		flooded = 4000 // Ten times the rate of the large tenant.
		most    = 0.98 // The share that must be sent: random arrivals may exceed the capacity for a moment.
	)
	cases := map[string][]load{
		"Spread":      {{"large", 300, anyMachine}, {"small", 6, anyMachine}},
		"OneInstance": {{"large", 300, oneMachine}, {"small", 6, oneMachine}},
		"BesideFlood": {{"large", flooded, anyMachine}, {"small", 6, anyMachine}},
	}
	for name, loads := range cases {
		for _, n := range []int{4, 34, 300} {
			t.Run(fmt.Sprintf("%s%d", name, n), func(t *testing.T) {
				t.Parallel()
				w := calmInstallation(n)
				calls := w.calls
				length := 30 * time.Second
				if n > 34 {
					length = 8 * time.Second // The test takes long enough with so many instances.
				}
				share := serve(w, length, loads...)
				t.Logf("shares %v, %.1f calls a second for each instance", share, float64(w.calls-calls)/length.Seconds()/float64(n))
				for _, l := range loads {
					if l.rate < flooded && share[l.tenant] < most {
						t.Errorf("%.3f of the requests of tenant %s were sent, want at least %.2f", share[l.tenant], l.tenant, most)
					}
				}
				// A flood must get what the quota allows, and no more.
				if got := share["large"] * flooded; loads[0].rate == flooded && (got < 0.8*400 || got > 1.1*400) {
					t.Errorf("the flooding tenant was sent %.0f requests a second, want about 400", got)
				}
			})
		}
	}
}

// TestLostDistributor guards against a loss of the distributor after which tenants are not served again within 5 s.
func TestLostDistributor(t *testing.T) {
	for _, n := range []int{4, 34} {
		for _, planned := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d,planned=%t", n, planned), func(t *testing.T) {
				t.Parallel()
				w := calmInstallation(n)
				loads := []load{{"large", 200, anyMachine}, {"small", 4, anyMachine}}
				serve(w, 5*time.Second, loads...)
				d := w.distributorOf(w.machines[0])
				d.leaving, d.running = planned, planned
				share := serve(w, 5*time.Second, loads...)
				t.Logf("shares in the 5 s after the loss %v", share)
				if planned && share["large"] < 0.75 {
					t.Errorf("shares in the 5 s after a planned stop %v, want at least 0.75: the loans were not returned", share)
				}
				if share := serve(w, 5*time.Second, loads...); share["large"] < 0.98 || share["small"] < 0.9 {
					t.Errorf("shares after that %v, want at least 0.98 and 0.9", share)
				}
			})
		}
	}
}

// TestStart guards against tokens that a process has from before its start, and against an instance that sends although it
// does not know how much others send.
func TestStart(t *testing.T) {
	w := newInstallation(1, 4, usualRules(), quotas)
	w.calm = true
	for _, m := range w.machines {
		if v := w.request(m, "large"); v != rentier.Unavailable {
			t.Errorf("verdict %d at the start, want %d", v, rentier.Unavailable)
		}
		if v := w.request(m, "other"); v != rentier.Allowed {
			t.Errorf("verdict %d for a tenant without a quota, want %d", v, rentier.Allowed)
		}
	}
}

// TestLateToken guards against a token that is used long after the distributor counted it.
func TestLateToken(t *testing.T) {
	now := time.Unix(1000, 0)
	answer := rentier.Answer{Number: 1, Pool: 1, Grants: []rentier.Grant{{Tenant: "large", Tokens: 3}}}
	for late, want := range map[time.Duration]int{0: 3, 200 * time.Millisecond: 3, 300 * time.Millisecond: 0} {
		r := rentier.New(now, rentier.Process{Instance: "a"}, rentier.DefaultTiming())
		r.SetQuotas(now, quotas)
		r.Compose(now, rentier.Process{Instance: "b"}, nil)
		if got := r.Apply(now.Add(late), now, answer)["large"]; got != want {
			t.Errorf("%d tokens after %s, want %d", got, late, want)
		}
	}
}

// TestWhole guards against an instance that owns the quotas as a whole for a time and lends them for longer.
func TestWhole(t *testing.T) {
	start := time.Unix(1000, 0)
	timing := rentier.DefaultTiming()
	self := rentier.Process{Instance: "a", Incarnation: 1}
	r, d := rentier.New(start, self, timing), rentier.NewDistributor(rentier.Process{Instance: "b", Incarnation: 1}, timing)
	r.SetQuotas(start, quotas)
	d.SetQuotas(start, quotas)
	until := start.Add(9500 * time.Millisecond)
	r.OwnWhole(start, until)
	lent := 0.0
	for now := start; now.Before(until.Add(10 * time.Second)); now = now.Add(100 * time.Millisecond) {
		r.SetShare(now, 0, true)
		if now.Sub(start)%time.Second == 0 {
			call := r.Compose(now, rentier.Process{Instance: "b", Incarnation: 1}, nil)
			r.Apply(now, now, d.Answer(now, call))
		}
		part := r.Holdings(now)[0].Part + d.Part(now, "large")
		lent = max(lent, d.Part(now, "large"))
		switch {
		case part > 1:
			t.Fatalf("parts of %.2f in use after %s", part, now.Sub(start))
		case part > 0 && !now.Before(until):
			t.Fatalf("part of %.2f in use %s after the whole ended", part, now.Sub(until))
		case part < 1 && now.Sub(start) > time.Second && now.Before(until.Add(-500*time.Millisecond)):
			t.Errorf("part of only %.2f in use after %s", part, now.Sub(start))
		}
	}
	if lent < 1 {
		t.Errorf("the distributor had at most %.2f of the quotas", lent)
	}
}

// TestReturn guards against tenants that lose their quota to servers that turn requests away, and against a returned token
// that lets an instance send more than the part that it holds.
func TestReturn(t *testing.T) {
	now := time.Unix(1000, 0)
	r := rentier.New(now, rentier.Process{Instance: "one", Incarnation: 1}, rentier.DefaultTiming())
	r.SetQuotas(now, []rentier.Quota{{Tenant: "a", Rate: 1, Capacity: 2}})
	r.OwnWhole(now, now.Add(time.Hour))
	now = now.Add(time.Minute)
	take := func() (n int) {
		for range 10 {
			if v, _ := r.Take(now, "a"); v == rentier.Allowed {
				n++
			}
		}
		return n
	}
	if n := take(); n != 2 {
		t.Fatalf("%d tokens in a full bucket, want 2", n)
	}
	r.Return(now, "a")
	if n := take(); n != 1 {
		t.Errorf("%d tokens after one was returned, want 1", n)
	}
	for range 5 {
		r.Return(now, "a")
	}
	if n := take(); n != 2 {
		t.Errorf("%d tokens after five were returned, want 2, the capacity", n)
	}
	r.Return(now, "unknown")
	r.OwnWhole(now, now) // The part is gone.
	r.Return(now, "a")
	if n := take(); n != 0 {
		t.Errorf("%d tokens at an instance without a part, want 0", n)
	}
}
