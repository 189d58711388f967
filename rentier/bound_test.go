package rentier_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/rentier"
)

// omissions are rules that are left out, by name.
var omissions = map[string]func(*rules){
	"LenderUsesItsPart":  func(r *rules) { r.timing.Lent = 1500 * time.Millisecond },
	"LoanOutlivesPart":   func(r *rules) { r.timing.Loan = 12 * time.Second },
	"GrantOutlivesCount": func(r *rules) { r.timing.Granted = 10 * time.Millisecond },
	"GrantNeverEnds":     func(r *rules) { r.timing.Grant = 8 * time.Second },
	"RestartDoesNotWait": func(r *rules) { r.timing.Settle = 0 },
	"RemovedAtOnce":      func(r *rules) { r.removeWait = 0 },
}

// checkParts returns an error if the parts of a quota that are in use now are more than the whole.
func (w *installation) checkParts() error {
	for n, q := range w.quotas {
		sum := 0.0
		for _, m := range w.machines {
			if m.running {
				sum += m.rentier.Holdings(w.clock(m))[n].Part + m.distributor.Part(w.clock(m), q.Tenant)
			}
		}
		w.worstParts = max(w.worstParts, sum)
		if sum > 1+1e-9 {
			return fmt.Errorf("after %s the parts of the quota of tenant %s that are in use are %.3f of it", w.now, q.Tenant, sum)
		}
	}
	return nil
}

// check returns an error if a tenant was sent more in the last window than the bound allows: the rate times the window, the
// capacity, and the rate times the time for which tokens may be under way.
func (w *installation) check() error {
	for _, q := range w.quotas {
		sent := w.sent[q.Tenant]
		for len(sent) > 0 && sent[0] <= w.now-window {
			sent = sent[1:]
		}
		w.sent[q.Tenant] = sent
		allowed := q.Rate*(window+rentier.DefaultTiming().Token+3*step).Seconds() + q.Capacity
		w.worst = max(w.worst, float64(len(sent))/allowed)
		if float64(len(sent)) > allowed*1.01 {
			return fmt.Errorf("after %s tenant %s was sent %d requests in %s, %.1f are allowed", w.now, q.Tenant, len(sent), window, allowed)
		}
	}
	return nil
}

// quotas are those of a large and of a small tenant.
var quotas = []rentier.Quota{{Tenant: "large", Rate: 400, Capacity: 150}, {Tenant: "small", Rate: 8, Capacity: 30}}

// run plays a seed with tenants that send as much as they may everywhere, or, by turns, at a few instances.
func run(seed int64, n int, r rules, length time.Duration) (*installation, error) {
	w := newInstallation(seed, n, r, quotas)
	for w.now < length {
		w.advance()
		few := int(w.now/(7*time.Second))%2 == 1
		for i, m := range w.machines {
			if !m.running || few && i%5 != int(w.now/(14*time.Second))%5 {
				continue
			}
			for _, q := range w.quotas {
				for range flood {
					w.request(m, q.Tenant)
				}
			}
		}
		if err := w.checkParts(); err != nil {
			return w, err
		}
		if err := w.check(); err != nil {
			return w, err
		}
	}
	return w, nil
}

var (
	schedules = flag.Int64("schedules", 0, "number of schedules for 4 instances; 0 for the usual number")
	firstSeed = flag.Int64("first-seed", 0, "seed of the first schedule")
)

// TestBound guards against more requests of a tenant than its quota allows, in seeded schedules with cuts between instances
// and from the store, restarts, records that end, wrong views of the distributor, and messages that are lost or late.
func TestBound(t *testing.T) {
	for _, c := range []struct {
		instances, seeds int
		length           time.Duration
	}{{4, 30, 90 * time.Second}, {34, 3, 60 * time.Second}, {300, 1, 30 * time.Second}} {
		t.Run(fmt.Sprint(c.instances), func(t *testing.T) {
			t.Parallel()
			worst, parts := 0.0, 0.0
			seeds := int64(c.seeds)
			if c.instances == 4 && *schedules > 0 {
				seeds = *schedules
			}
			for seed := *firstSeed; seed < *firstSeed+seeds; seed++ {
				w, err := run(seed, c.instances, usualRules(), c.length)
				if err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				worst, parts = max(worst, w.worst), max(parts, w.worstParts)
			}
			if worst < 0.5 || parts < 0.9 {
				t.Errorf("at most %.2f of the bound and %.2f of the parts were used: the schedules show nothing", worst, parts)
			}
			t.Logf("at most %.2f of the bound and %.2f of the parts were used", worst, parts)
		})
	}
}

// TestOmittedRule guards against a check that finds nothing: with one rule left out, the bound is broken.
func TestOmittedRule(t *testing.T) {
	for name, omit := range omissions {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := usualRules()
			omit(&r)
			for seed := range int64(150) {
				if _, err := run(seed, 4, r, 90*time.Second); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("no schedule breaks the bound")
		})
	}
}
