package scheduler_test

import (
	"math"
	"time"

	"github.com/turmericlift/turmericlift/scheduler"
)

// receive takes a request at a server, or resets its connection if the server is full.
func (t *trial) receive(sv *trialServer, r *trialRequest) {
	t.advance(sv)
	if len(sv.running)+len(sv.waiting) >= t.slots+t.queue {
		t.after(t.hop(r, sv), func() {
			i := r.at
			i.s.RecordOutcome(t.now, sv.id, 1, scheduler.Report{Outcome: scheduler.Broken, Send: r.send, Latency: t.now.Sub(r.sentAt)})
			if r.kind.runsOnce || len(r.tried) > 0 || t.now.After(r.deadline) {
				t.fail(r, &t.results[r.kind.name].lost)
			} else {
				r.tried[sv.id] = true
				t.enter(r, r.first)
			}
			t.takeDecisions(i)
		})
		return
	}
	sv.waiting = append(sv.waiting, r)
	t.fill(sv)
}

// fill starts the requests that wait at a server while it has free slots, and plans its next completion.
func (t *trial) fill(sv *trialServer) {
	for len(sv.running) < t.slots && len(sv.waiting) > 0 {
		r := sv.waiting[0]
		sv.waiting = sv.waiting[1:]
		r.startedAt = t.now
		sv.running = append(sv.running, r)
	}
	sv.version++
	if len(sv.running) == 0 {
		return
	}
	least := math.Inf(1)
	for _, r := range sv.running {
		least = min(least, r.left)
	}
	version := sv.version
	t.after(time.Duration(math.Ceil(least*sv.slowness/sv.speed*float64(time.Millisecond))), func() {
		if sv.version == version {
			t.complete(sv)
		}
	})
}

// advance does the work of the running requests up to now.
func (t *trial) advance(sv *trialServer) {
	done := float64(t.now.Sub(sv.at)) / float64(time.Millisecond) * sv.speed / sv.slowness
	for _, r := range sv.running {
		r.left -= done
	}
	sv.at = t.now
}

// complete answers the requests that have ended.
func (t *trial) complete(sv *trialServer) {
	t.advance(sv)
	running, waiting := len(sv.running), len(sv.waiting)
	kept := sv.running[:0]
	for _, r := range sv.running {
		if r.left > 1e-6 {
			kept = append(kept, r)
			continue
		}
		report := scheduler.Report{Outcome: scheduler.Answered, Send: r.send, HasLoad: true, Running: running, Waiting: waiting, Slowness: sv.slowness}
		t.after(t.hop(r, sv), func() { t.answer(sv, r, report) })
	}
	sv.running = kept
	t.fill(sv)
}

func (t *trial) becomeSlow(sv *trialServer) { t.setSlowness(sv, slowFactor, slowTime, t.becomeFast) }

func (t *trial) becomeFast(sv *trialServer) {
	t.setSlowness(sv, 1, time.Duration(float64(slowTime)*(1/slowShare-1)), t.becomeSlow)
}

// setSlowness changes the slowness of a server for a random time around mean, after which next runs.
func (t *trial) setSlowness(sv *trialServer, slowness float64, mean time.Duration, next func(*trialServer)) {
	t.advance(sv)
	sv.slowness = slowness
	t.fill(sv)
	t.after(time.Duration((0.5+t.rng.Float64())*float64(mean)), func() { next(sv) })
}
