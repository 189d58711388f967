package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/scheduler"
)

// poolKinds are the requests of the pools of a customer with many small instances.
var poolKinds = []requestKind{
	{name: "page", share: 0.7, work: 140, target: 600 * time.Millisecond, deadline: 3 * time.Second, priority: 0, credit: 1, late: 0.5},
	{name: "publish", share: 0.3, work: 180, target: 600 * time.Millisecond, deadline: 4 * time.Second, priority: 0, runsOnce: true, credit: 2, late: 1},
}

// poolTrial returns a trial of a pool.
func poolTrial(instances int, load float64, options scheduler.Options) *trial {
	return &trial{instances: instances, servers: 24, slots: 3, queue: 3, zones: 3, load: load, kinds: poolKinds,
		warmUp: 3 * time.Second, length: 6 * time.Second, options: options, seed: 7}
}

// slowShareOfWork is about the share of the requests that take longer than their target time even if they do not wait.
const slowShareOfWork = 0.04

// TestPoolChoice guards against requests that wait for one server of a pool while others have free slots, and against
// requests that are lost at full servers: instances that all see the same old loads must not all choose the same servers. It
// compares the two rules of choice.
func TestPoolChoice(t *testing.T) {
	for _, instances := range []int{4, 24, 72} {
		for _, load := range []float64{0.33, 0.5, 0.8, 0.95, 1.2} {
			t.Run(fmt.Sprintf("%dInstances/Load%.2f", instances, load), func(t *testing.T) {
				t.Parallel()
				before := total(poolTrial(instances, load, scheduler.Options{}).run())
				after := total(poolTrial(instances, load, scheduler.Options{CostAware: true, Owners: true}).run())
				t.Logf("%2d instances, load %.2f: mean wait %4.0f -> %4.0f ms, 0.99 quantile %4.0f -> %4.0f ms, not in time %.3f -> %.3f, lost %.3f -> %.3f, refused %.3f -> %.3f, other zones %.2f -> %.2f",
					instances, load, before.meanWait(), after.meanWait(), before.waitQuantile(0.99), after.waitQuantile(0.99), before.notInTime(), after.notInTime(),
					share(before.lost, before), share(after.lost, after), share(before.refused+before.refusedTwice, before), share(after.refused+after.refusedTwice, after),
					share(before.crossings, before), share(after.crossings, after))
				switch {
				case load <= 0.35 && (after.meanWait() > 30 || share(after.lost, after) > 0.01):
					t.Errorf("mean wait is %.0f ms and %.3f of the requests are lost at a third of the capacity, want at most 30 ms and 0.01", after.meanWait(), share(after.lost, after))
				case instances >= 24 && load >= 0.5 && load <= 1 && after.notInTime() > before.notInTime()/2+slowShareOfWork:
					t.Errorf("%.3f of the requests are not answered in time, want at most half of the %.3f of the other rule and %.2f", after.notInTime(), before.notInTime(), slowShareOfWork)
				case after.notInTime() > before.notInTime()+0.03:
					t.Errorf("%.3f of the requests are not answered in time, want at most 0.03 more than the %.3f of the other rule", after.notInTime(), before.notInTime())
				}
			})
		}
	}
}

func share(n int, r trialResult) float64 { return float64(n) / float64(max(r.requests, 1)) }

// searchKinds are requests of a pool that has fewer slots than there are instances.
var searchKinds = []requestKind{{name: "search", share: 1, work: 54, target: 300 * time.Millisecond, deadline: 2 * time.Second, credit: 2, late: 1}}

// TestFewSlots guards against requests that wait or are lost where an instance's share of a pool's slots is less than one
// request: 21 slots for 72 instances.
func TestFewSlots(t *testing.T) {
	for _, load := range []float64{0.35, 0.6, 0.8, 0.95} {
		t.Run(fmt.Sprintf("Load%.2f", load), func(t *testing.T) {
			t.Parallel()
			var sums [2]trialResult
			for n := range sums {
				sum := map[string]*trialResult{}
				for seed := range 3 {
					trial := poolTrial(72, load, scheduler.Options{CostAware: n == 1})
					trial.servers, trial.kinds, trial.seed = 7, searchKinds, int64(seed)
					merge(sum, trial.run())
				}
				sums[n] = total(sum)
			}
			before, after := sums[0], sums[1]
			t.Logf("few slots, load %.2f: mean wait %4.0f -> %4.0f ms, 0.99 quantile %4.0f -> %4.0f ms, not in time %.3f -> %.3f, lost %.3f -> %.3f, refused %.3f -> %.3f, other zones %.2f -> %.2f",
				load, before.meanWait(), after.meanWait(), before.waitQuantile(0.99), after.waitQuantile(0.99), before.notInTime(), after.notInTime(),
				share(before.lost, before), share(after.lost, after), share(before.refused+before.refusedTwice, before), share(after.refused+after.refusedTwice, after),
				share(before.crossings, before), share(after.crossings, after))
			if load <= 0.5 && (after.meanWait() > 30 || share(after.lost, after) > 0.01) {
				t.Errorf("mean wait is %.0f ms and %.3f of the requests are lost at a load of %.2f, want at most 30 ms and 0.01", after.meanWait(), share(after.lost, after), load)
			}
			if after.notInTime() > before.notInTime()+0.05 || share(after.lost, after) > share(before.lost, before) {
				t.Errorf("%.3f of the requests are not answered in time and %.3f are lost, want at most 0.05 more than the %.3f and no more than the %.3f of the other rule",
					after.notInTime(), share(after.lost, after), before.notInTime(), share(before.lost, before))
			}
		})
	}
}
