package admitter

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericlift/turmericlift/identifier"
)

// model is a simple model of an Admitter. It knows only which requests run, wait or have ended, and their
// deadlines, but neither the order nor the limits.
type model struct {
	state    map[ID]string
	deadline map[ID]time.Time
}

// count returns the number of requests in a state.
func (n *model) count(state string) int {
	total := 0
	for _, s := range n.state {
		if s == state {
			total++
		}
	}
	return total
}

// TestAgainstModel applies random events to an Admitter and to the model. It guards against more running
// requests than slots, requests that start twice or after their deadline, and requests that neither start,
// wait nor end.
func TestAgainstModel(t *testing.T) {
	t.Parallel()
	for seed := range 2000 {
		drawRun.Example(seed)
	}
}

// drawRun draws one run of 150 events; it panics if the Admitter and the model differ.
var drawRun = rapid.Custom(func(t *rapid.T) int {
	cfg := Config{
		Slots: rapid.IntRange(1, 6).Draw(t, "Slots"), ColdSlots: 1, QueueLength: rapid.IntRange(0, 12).Draw(t, "QueueLength"),
	}
	a, m := New(cfg), &model{map[ID]string{}, map[ID]time.Time{}}
	now := time.Unix(1e6, 0)
	for n := range 150 {
		now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "Wait")) * time.Millisecond)
		switch rapid.IntRange(0, 4).Draw(t, "Event") {
		case 0, 1:
			id, deadline := ID(n), now.Add(time.Duration(rapid.IntRange(-5, 400).Draw(t, "Deadline"))*time.Millisecond)
			m.deadline[id] = deadline
			flow := Flow{"org", identifier.Key(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "Key")))}
			switch a.Admit(now, id, flow, deadline) {
			case Start:
				m.state[id] = "Running"
			case Wait:
				m.state[id] = "Waiting"
			case QueueFull, Expired:
			}
		case 2, 3:
			for id, s := range m.state {
				if s == "Running" {
					m.state[id] = "Ended"
					m.applyDecision(now, a.RecordResult(now, id, Result(rapid.IntRange(0, 3).Draw(t, "Result"))))
					break
				}
			}
		case 4:
			for id, s := range m.state {
				if s == "Waiting" && a.Cancel(id) {
					m.state[id] = "Ended"
					break
				}
			}
		}
		m.check(a, cfg)
	}
	return 0
})

// applyDecision checks that a decision is allowed and applies it to the model.
func (n *model) applyDecision(now time.Time, d Decision) {
	for _, id := range d.Start {
		if n.state[id] != "Waiting" || !now.Before(n.deadline[id]) {
			panic(fmt.Sprintf("request %d was started in state %s with deadline %s, want Waiting and a later deadline", id, n.state[id], n.deadline[id]))
		}
		n.state[id] = "Running"
	}
	for _, id := range d.Expired {
		if n.state[id] != "Waiting" || now.Before(n.deadline[id]) {
			panic(fmt.Sprintf("request %d expired in state %s with deadline %s, want Waiting and a deadline that has passed", id, n.state[id], n.deadline[id]))
		}
		n.state[id] = "Ended"
	}
}

// check compares the state of an Admitter with the model and with the configured limits.
func (n *model) check(a *Admitter, cfg Config) {
	s := a.State()
	if s.Running != n.count("Running") || s.Queued != n.count("Waiting") {
		panic(fmt.Sprintf("the Admitter is in state %+v, the model has %d running and %d waiting requests", s, n.count("Running"), n.count("Waiting")))
	}
	if s.Running > cfg.Slots || s.Queued > cfg.QueueLength || s.Limit < 1 {
		panic(fmt.Sprintf("state %+v violates the limits %+v", s, cfg))
	}
}

// TestColdRamp guards against overloading a cold server. Its limit must rise only after completed
// requests, not with time alone, and not while the server reports that it is cold; a restart must set it
// back.
func TestColdRamp(t *testing.T) {
	t.Parallel()
	now := time.Unix(1e6, 0)
	a := New(Config{Slots: 4, ColdSlots: 1, QueueLength: 100})
	flow := Flow{"org", "key"}
	for id := range ID(40) {
		a.Admit(now, id, flow, now.Add(time.Minute))
	}
	if s := a.State(); s.Running != 1 {
		t.Fatalf("a cold server runs %d requests at a time, want 1", s.Running)
	}
	a.StartQueued(now.Add(30 * time.Second))
	if s := a.State(); s.Running != 1 {
		t.Errorf("%d requests run after 30 s without a completed one, want 1", s.Running)
	}
	a.SetReportsCold(true)
	a.RecordResult(now, 0, Completed)
	for id := range ID(rampCompletions) {
		a.RecordResult(now, id+1, Completed)
	}
	if s := a.State(); s.Running != 1 {
		t.Errorf("%d requests run while the server reports that it is cold, want 1", s.Running)
	}
	a.SetReportsCold(false)
	for id := range ID(rampCompletions) {
		a.RecordResult(now, id+rampCompletions+1, Completed)
	}
	if s := a.State(); s.Running != 2 {
		t.Errorf("%d requests run after %d more were completed, want 2", s.Running, rampCompletions)
	}
	a.SetIncarnation(2)
	if s := a.State(); !s.Cold || s.Limit != 1 {
		t.Errorf("state after a restart is %+v, want Cold and limit 1", s)
	}
}

// TestFlowShare guards against one hot key that uses the whole queue and all slots: half of the queue must
// stay free for other keys, and their requests must run in turn.
func TestFlowShare(t *testing.T) {
	t.Parallel()
	now := time.Unix(1e6, 0)
	a := New(Config{Slots: 1, ColdSlots: 1, QueueLength: 10})
	hot, other := Flow{"org", "hot"}, Flow{"org", "other"}
	full := 0
	for id := range ID(20) {
		if a.Admit(now, id, hot, now.Add(time.Minute)) == QueueFull {
			full++
		}
	}
	if full != 14 {
		t.Errorf("%d of 20 requests of one key were refused, want 14: 1 runs and 5 wait", full)
	}
	if v := a.Admit(now, 100, other, now.Add(time.Minute)); v != Wait {
		t.Fatalf("a request of another key got verdict %d, want Wait", v)
	}
	a.RecordResult(now, 0, Completed)
	if d := a.RecordResult(now, 1, Completed); len(d.Start) != 1 || d.Start[0] != 100 {
		t.Errorf("the second free slot went to %+v, want the other key's request 100", d)
	}
}
