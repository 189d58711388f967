package limiter_test

import (
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/limiter"
)

var start = time.Unix(1000, 0)

// TestRepeats checks that no window of any place gets more repeats than its bound.
func TestRepeats(t *testing.T) {
	r := limiter.NewRepeats(start.Add(-time.Minute), 10*time.Second, 0.2, 40)
	var taken []time.Time
	for n := range 3000 {
		now := start.Add(time.Duration(n) * 10 * time.Millisecond)
		r.Request(now)
		if r.Take(now, 4, n%2 == 0) {
			taken = append(taken, now)
		}
	}
	const most = 200 + 10 // 0.2 of 1,000 requests in 10 s, and a quarter of 40.
	for n := range taken {
		if n >= most && taken[n].Sub(taken[n-most]) < 10*time.Second {
			t.Fatalf("over %d repeats within %s", most, taken[n].Sub(taken[n-most]))
		}
	}
	if len(taken) < 300 {
		t.Errorf("%d repeats in 30 s", len(taken))
	}
}

// TestRepeatsForUrgent: the load is servers that refuse most of what they get, so that
// repeats run out. Requests that are urgent get some also when the others have taken all
// that they may.
func TestRepeatsForUrgent(t *testing.T) {
	r := limiter.NewRepeats(start.Add(-time.Minute), 10*time.Second, 0.2, 40)
	for n := range 1000 {
		r.Request(start.Add(time.Duration(n) * time.Millisecond))
	}
	now := start.Add(time.Second)
	others, urgent := 0, 0
	for r.Take(now, 4, false) {
		others++
	}
	for r.Take(now, 4, true) {
		urgent++
	}
	if others < 80 || urgent < 50 {
		t.Errorf("%d repeats for most requests and %d for urgent ones, of 210", others, urgent)
	}
}

// TestColdAmongMany: the load is 28 instances that all have requests for a cold server which
// bears 15 a second. It must get most of them and no more.
func TestColdAmongMany(t *testing.T) {
	const instances, perSecond = 28, 15
	bounds := make([]*limiter.Cold, instances)
	for n := range bounds {
		bounds[n] = limiter.NewCold(start.Add(-time.Minute))
	}
	var sent []time.Time
	for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(20 * time.Millisecond) {
		for rank, c := range bounds {
			if c.May(now, perSecond, instances, rank) {
				c.Sent(now)
				sent = append(sent, now)
			}
		}
	}
	for n := perSecond; n < len(sent); n++ {
		if gap := sent[n].Sub(sent[n-perSecond]); gap < time.Second {
			t.Fatalf("%d requests within %s", perSecond+1, gap)
		}
	}
	if len(sent) < 5*perSecond*8/10 {
		t.Errorf("%d requests in 5 s", len(sent))
	}
}

// TestRestarts: the load is a process that is killed and started again every 300 ms, as soak
// seed 103 has it, with more requests for a cold server and more to repeat than the bounds
// allow. What all its processes send together must stay within the bounds.
func TestRestarts(t *testing.T) {
	const instances, perSecond, most = 4, 28, 7 // A share of 7 a second.
	const repeatsMost = 200 + 10                // 0.2 of 1,000 requests in 10 s, and a quarter of 40.
	var cold *limiter.Cold
	var repeats *limiter.Repeats
	var sent, repeated []time.Time
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if now.Sub(start)%(300*time.Millisecond) == 0 {
			started := now
			if now.Equal(start) {
				started = now.Add(-time.Minute)
			}
			cold, repeats = limiter.NewCold(started), limiter.NewRepeats(started, 10*time.Second, 0.2, 40)
		}
		repeats.Request(now)
		if cold.May(now, perSecond, instances, 0) {
			cold.Sent(now)
			sent = append(sent, now)
		}
		if repeats.Take(now, instances, true) {
			repeated = append(repeated, now)
		}
	}
	for n := most; n < len(sent); n++ {
		if sent[n].Sub(sent[n-most]) < time.Second {
			t.Fatalf("%d requests to a cold server within %s", most+1, sent[n].Sub(sent[n-most]))
		}
	}
	for n := repeatsMost; n < len(repeated); n++ {
		if repeated[n].Sub(repeated[n-repeatsMost]) < 10*time.Second {
			t.Fatalf("%d repeats within %s", repeatsMost+1, repeated[n].Sub(repeated[n-repeatsMost]))
		}
	}
}

func TestWindow(t *testing.T) {
	w := limiter.NewWindow(time.Second)
	for n := range 10 {
		w.Add(start.Add(time.Duration(n) * 200 * time.Millisecond))
	}
	if n := w.Count(start.Add(1800 * time.Millisecond)); n != 5 {
		t.Errorf("%d events in the last second, want 5", n)
	}
	if n := w.Count(start.Add(time.Hour)); n != 0 {
		t.Errorf("%d events after an hour", n)
	}
}
