package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/registrar"
	"github.com/turmericlift/turmericlift/scheduler"
)

// TestSilent checks which requests are found to be silent. Load pattern: a server that is full gets further requests, which
// it neither runs nor answers, while it answers others.
func TestSilent(t *testing.T) {
	const latency = 100 * time.Millisecond
	cases := map[string]struct {
		sent             []time.Duration // When requests are sent; the one sent last is answered.
		answered         time.Duration
		running, waiting int // What the answer reports.
		silent           int // Number of the oldest requests that are found.
	}{
		"AllKnown":         {[]time.Duration{0, 0, 900}, 1000, 2, 0, 0},
		"OneUnknown":       {[]time.Duration{0, 100, 900}, 1000, 1, 0, 1},
		"AllUnknown":       {[]time.Duration{0, 100, 200, 900}, 1000, 0, 0, 3},
		"OthersAreCounted": {[]time.Duration{0, 0, 900}, 1000, 2, 6, 0},
		"OnTheirWay":       {[]time.Duration{600, 600, 900}, 1000, 0, 0, 0},
		"OneOnItsWay":      {[]time.Duration{0, 800, 900}, 1000, 0, 0, 1},
		"Alone":            {[]time.Duration{900}, 1000, 0, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := scheduler.New(start, "a", fixedOwner{}, equalShares(1), scheduler.Options{})
			x := candidate("x", "a", 10)
			s.SetServers([]scheduler.Candidate{x})
			var sends []scheduler.Send
			for _, at := range c.sent {
				now := start.Add(at * time.Millisecond)
				r := &scheduler.PendingRequest{Service: "s", Retryable: true, Arrived: now, TargetTime: now.Add(time.Second), Deadline: now.Add(5 * time.Second), Decided: make(chan scheduler.Decision, 1)}
				s.Enqueue(now, r)
				sends = append(sends, (<-r.Decided).Send)
			}
			last := sends[len(sends)-1]
			s.RecordOutcome(start.Add(c.answered*time.Millisecond), "x", 1, scheduler.Report{Send: last, Latency: latency, HasLoad: true, Running: c.running, Waiting: c.waiting})
			if got := s.TakeSilent(); !slices.Equal(got, sends[:c.silent]) {
				t.Errorf("silent requests %v, want %v", got, sends[:c.silent])
			}
			if got := s.TakeSilent(); len(got) != 0 {
				t.Errorf("silent requests %v are returned again", got)
			}
		})
	}
}

// TestLateLoadReports guards against requests at work that are broken off because a load report is late and does not count
// them: none that cannot be sent again, and none that has been there for less time than others took. Load pattern: a server
// answers some requests soon and works long on others, and its reports count what it had before.
func TestLateLoadReports(t *testing.T) {
	s := scheduler.New(start, "a", fixedOwner{}, equalShares(1), scheduler.Options{})
	s.SetServers([]scheduler.Candidate{candidate("x", "a", 10)})
	send := func(at time.Duration, retryable bool) scheduler.Send {
		now := start.Add(at)
		r := &scheduler.PendingRequest{Service: "s", Retryable: retryable, Arrived: now, TargetTime: now.Add(time.Second), Deadline: now.Add(9 * time.Second), Decided: make(chan scheduler.Decision, 1)}
		s.Enqueue(now, r)
		return (<-r.Decided).Send
	}
	answer := func(at time.Duration, send scheduler.Send, latency time.Duration) []scheduler.Send {
		s.RecordOutcome(start.Add(at), "x", 1, scheduler.Report{Send: send, Latency: latency, HasLoad: true})
		return s.TakeSilent()
	}
	long := send(0, true)
	if got := answer(800*time.Millisecond, long, 800*time.Millisecond); len(got) != 0 {
		t.Errorf("the answered request is silent: %v", got)
	}
	write, read := send(time.Second, false), send(time.Second, true)
	if got := answer(1900*time.Millisecond, send(1800*time.Millisecond, true), 10*time.Millisecond); len(got) != 0 {
		t.Errorf("requests %v are silent after 0.9 s, the write is %d and the read %d", got, write, read)
	}
	if got := answer(2100*time.Millisecond, send(2050*time.Millisecond, true), 10*time.Millisecond); !slices.Equal(got, []scheduler.Send{read}) {
		t.Errorf("requests %v are silent after 1.1 s, want %d", got, read)
	}
}

// TestSilentFreesRoom checks that a silent request does not count as running once its end is reported. Load pattern: a
// server of two slots is silent to two requests, and its queue at this instance goes on.
func TestSilentFreesRoom(t *testing.T) {
	s := scheduler.New(start, "a", fixedOwner{registrar.Ownership{}}, equalShares(1), scheduler.Options{})
	x := candidate("x", "a", 2)
	s.SetServers([]scheduler.Candidate{x})
	decide := func(at time.Duration) (scheduler.Decision, bool) {
		now := start.Add(at)
		r := &scheduler.PendingRequest{Service: "s", Retryable: true, Arrived: now, TargetTime: now.Add(time.Second), Deadline: now.Add(5 * time.Second), Decided: make(chan scheduler.Decision, 1)}
		s.Enqueue(now, r)
		select {
		case d := <-r.Decided:
			return d, true
		default:
			s.Cancel(r)
			return scheduler.Decision{}, false
		}
	}
	first, _ := decide(0)
	second, _ := decide(0)
	third, _ := decide(0)
	if _, ok := decide(time.Second); ok {
		t.Fatal("a request was sent to a server whose slots are taken")
	}
	s.RecordOutcome(start.Add(time.Second), "x", 1, scheduler.Report{Send: third.Send, Latency: 100 * time.Millisecond, HasLoad: true})
	for _, send := range s.TakeSilent() {
		if send != first.Send && send != second.Send {
			t.Errorf("request %d is silent, want %d and %d", send, first.Send, second.Send)
		}
		s.RecordOutcome(start.Add(time.Second), "x", 1, scheduler.Report{Send: send, Outcome: scheduler.Broken})
	}
	for range 3 {
		if _, ok := decide(1100 * time.Millisecond); !ok {
			t.Error("no request is sent to the server although its slots are free again")
		}
	}
}

// TestProbes checks when a server is probed. Load pattern: no other request goes to a server that is silent, so that no
// answer tells its load; only services that are known to be silent are probed, since a probe costs the server time.
func TestProbes(t *testing.T) {
	s := scheduler.New(start, "a", fixedOwner{}, equalShares(1), scheduler.Options{})
	x, y := candidate("x", "a", 2), candidate("y", "a", 2)
	s.SetServers([]scheduler.Candidate{x, y})
	decide := func(at time.Duration) scheduler.Decision {
		now := start.Add(at)
		r := &scheduler.PendingRequest{Service: "s", Retryable: true, Arrived: now, TargetTime: now.Add(time.Second), Deadline: now.Add(5 * time.Second), Decided: make(chan scheduler.Decision, 1)}
		s.Enqueue(now, r)
		return <-r.Decided
	}
	first := decide(0)
	decide(0)
	if due := s.ProbesDue(start.Add(2 * time.Second)); len(due) != 0 {
		t.Fatalf("%d probes are due before any server was silent, want 0", len(due))
	}
	again := decide(2 * time.Second)
	for again.Server.ID != first.Server.ID {
		again = decide(2 * time.Second)
	}
	s.RecordOutcome(start.Add(2100*time.Millisecond), again.Server.ID, 1, scheduler.Report{Send: again.Send, Latency: 100 * time.Millisecond, HasLoad: true})
	if got := s.TakeSilent(); !slices.Equal(got, []scheduler.Send{first.Send}) {
		t.Fatalf("silent requests %v, want %d", got, first.Send)
	}
	due := s.ProbesDue(start.Add(2200 * time.Millisecond))
	if len(due) != 1 || due[0].ID == first.Server.ID {
		t.Fatalf("probes due at %v, want one at the server that has answered nothing", due)
	}
	if again := s.ProbesDue(start.Add(2300 * time.Millisecond)); len(again) != 0 {
		t.Errorf("probes due again at %v after 100 ms, want none", again)
	}
	s.RecordProbe(start.Add(2200*time.Millisecond), due[0].ID, 1, scheduler.Report{HasLoad: true})
	if got := s.TakeSilent(); len(got) == 0 {
		t.Error("the probe shows that the server runs nothing, but its request is not found")
	}
}
