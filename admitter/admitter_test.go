package admitter

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericlift/turmericlift/identifier"
)

// naive is the model: it knows which requests run, wait and have ended, and nothing
// of order or limits.
type naive struct {
	state    map[ID]string
	deadline map[ID]time.Time
}

func (n *naive) count(state string) int {
	total := 0
	for _, s := range n.state {
		if s == state {
			total++
		}
	}
	return total
}

// TestAgainstNaive runs random events against the naive model: no slot is overfilled,
// nothing runs twice or after its deadline, and nothing is forgotten.
func TestAgainstNaive(t *testing.T) {
	t.Parallel()
	for seed := range 2000 {
		drawRun.Example(seed)
	}
}

var drawRun = rapid.Custom(func(t *rapid.T) int {
	cfg := Config{
		Slots: rapid.IntRange(1, 6).Draw(t, "Slots"), ColdSlots: 1, QueueLength: rapid.IntRange(0, 12).Draw(t, "QueueLength"),
	}
	a, model := New(cfg), &naive{map[ID]string{}, map[ID]time.Time{}}
	now := time.Unix(1e6, 0)
	for n := range 150 {
		now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "Wait")) * time.Millisecond)
		switch rapid.IntRange(0, 4).Draw(t, "Event") {
		case 0, 1:
			id, deadline := ID(n), now.Add(time.Duration(rapid.IntRange(-5, 400).Draw(t, "Deadline"))*time.Millisecond)
			model.deadline[id] = deadline
			flow := Flow{"org", identifier.Key(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "Key")))}
			switch a.Arrive(now, id, flow, deadline) {
			case Start:
				model.state[id] = "Running"
			case Wait:
				model.state[id] = "Waiting"
			case Full, Expired:
			}
		case 2, 3:
			for id, s := range model.state {
				if s == "Running" {
					model.state[id] = "Ended"
					model.take(now, a.Done(now, id, Result(rapid.IntRange(0, 3).Draw(t, "Result"))))
					break
				}
			}
		case 4:
			for id, s := range model.state {
				if s == "Waiting" && a.Cancel(id) {
					model.state[id] = "Ended"
					break
				}
			}
		}
		model.check(a, cfg)
	}
	return 0
})

func (n *naive) take(now time.Time, d Decision) {
	for _, id := range d.Start {
		if n.state[id] != "Waiting" || !now.Before(n.deadline[id]) {
			panic(fmt.Sprintf("request %d starts, it was %s with deadline %s", id, n.state[id], n.deadline[id]))
		}
		n.state[id] = "Running"
	}
	for _, id := range d.Expired {
		if n.state[id] != "Waiting" || now.Before(n.deadline[id]) {
			panic(fmt.Sprintf("request %d expires, it was %s with deadline %s", id, n.state[id], n.deadline[id]))
		}
		n.state[id] = "Ended"
	}
}

func (n *naive) check(a *Admitter, cfg Config) {
	s := a.State()
	if s.Running != n.count("Running") || s.Queued != n.count("Waiting") {
		panic(fmt.Sprintf("%+v, the model has %d running and %d waiting", s, n.count("Running"), n.count("Waiting")))
	}
	if s.Running > cfg.Slots || s.Queued > cfg.QueueLength || s.Limit < 1 {
		panic(fmt.Sprintf("%+v breaks %+v", s, cfg))
	}
}

// TestColdRamp checks that a cold server is given one slot more only after work.
func TestColdRamp(t *testing.T) {
	t.Parallel()
	now := time.Unix(1e6, 0)
	a := New(Config{Slots: 4, ColdSlots: 1, QueueLength: 100})
	flow := Flow{"org", "key"}
	for id := range ID(40) {
		a.Arrive(now, id, flow, now.Add(time.Minute))
	}
	if s := a.State(); s.Running != 1 {
		t.Fatalf("a cold server runs %d requests", s.Running)
	}
	a.Next(now.Add(30 * time.Second))
	if s := a.State(); s.Running != 1 {
		t.Errorf("time alone lets %d requests run", s.Running)
	}
	a.SeeState(true)
	a.Done(now, 0, Completed)
	for id := range ID(rampWork) {
		a.Done(now, id+1, Completed)
	}
	if s := a.State(); s.Running != 1 {
		t.Errorf("%d requests run while the server says that it is cold, want 1", s.Running)
	}
	a.SeeState(false)
	for id := range ID(rampWork) {
		a.Done(now, id+rampWork+1, Completed)
	}
	if s := a.State(); s.Running != 2 {
		t.Errorf("%d requests run after %d were completed, want 2", s.Running, rampWork)
	}
	a.SeeProcess(2)
	if s := a.State(); !s.Cold || s.Limit != 1 {
		t.Errorf("after a restart: %+v, want it cold with limit 1", s)
	}
}

// TestOneFlowLeavesRoom checks that one hot key cannot take the whole queue, and
// that the others get their turns.
func TestOneFlowLeavesRoom(t *testing.T) {
	t.Parallel()
	now := time.Unix(1e6, 0)
	a := New(Config{Slots: 1, ColdSlots: 1, QueueLength: 10})
	hot, other := Flow{"org", "hot"}, Flow{"org", "other"}
	full := 0
	for id := range ID(20) {
		if a.Arrive(now, id, hot, now.Add(time.Minute)) == Full {
			full++
		}
	}
	if full != 14 {
		t.Errorf("%d of 20 requests of one key were refused, want 14: 1 runs and 5 wait", full)
	}
	if v := a.Arrive(now, 100, other, now.Add(time.Minute)); v != Wait {
		t.Fatalf("another key: verdict %d, want Wait", v)
	}
	a.Done(now, 0, Completed)
	if d := a.Done(now, 1, Completed); len(d.Start) != 1 || d.Start[0] != 100 {
		t.Errorf("second turn: %+v, want the other key's request", d)
	}
}
