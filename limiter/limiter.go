// Package limiter bounds sums over sliding windows: the repeats that a service gets,
// and the requests that a cold backend server gets. Each instance keeps to its share
// of a bound that holds for all of them together. Nothing in this package does I/O or
// reads a clock.
package limiter

import "time"

// Window counts events in a sliding window.
type Window struct {
	length time.Duration
	events []time.Time
}

// NewWindow returns an empty window.
func NewWindow(length time.Duration) *Window { return &Window{length: length} }

// Count returns the events in the window that ends now.
func (w *Window) Count(now time.Time) int {
	n := 0
	for n < len(w.events) && now.Sub(w.events[n]) >= w.length {
		n++
	}
	w.events = append(w.events[:0], w.events[n:]...)
	return len(w.events)
}

// Add counts an event.
func (w *Window) Add(now time.Time) { w.events = append(w.events, now) }

// Repeats bounds the repeats that one service gets from one instance.
type Repeats struct {
	requests, repeats *Window
	ratio, extra      float64
	started           time.Time // Of this process.
}

// NewRepeats returns the bound of ratio repeats per request in a window, plus extra
// over all instances, in a process that has started at a time.
func NewRepeats(started time.Time, window time.Duration, ratio, extra float64) *Repeats {
	return &Repeats{NewWindow(window), NewWindow(window), ratio, extra, started}
}

// safety is the part of a bound that is used: instances see each other late.
const safety = 0.7

// Request counts a request of a caller.
func (r *Repeats) Request(now time.Time) { r.requests.Add(now) }

// commonShare is the part of the bound that any request may use. The rest is for those
// that are urgent: when most servers refuse, it is used up within seconds.
const commonShare = 0.6

// Take counts a repeat, if it is within this instance's share of the bound.
func (r *Repeats) Take(now time.Time, instances int, urgent bool) bool {
	// The process before this one may have used its share of the window just now.
	age := min(float64(now.Sub(r.started))/float64(r.requests.length), 1)
	share := age * r.extra / float64(max(instances, 1))
	allowed := safety * (r.ratio*float64(r.requests.Count(now)) + share)
	if !urgent {
		allowed *= commonShare
	}
	if float64(r.repeats.Count(now)) >= allowed {
		return false
	}
	r.repeats.Add(now)
	return true
}

// coldWindow is the window in which a cold server's requests are counted: a second,
// and the spread of the time that requests take to arrive.
const coldWindow = 1100 * time.Millisecond

// Cold bounds the requests that one cold backend server gets from one instance.
type Cold struct {
	sent    *Window
	started time.Time // Of this process.
}

// NewCold returns a bound that has seen no request, in a process that has started at a time.
func NewCold(started time.Time) *Cold { return &Cold{NewWindow(coldWindow), started} }

// Sent counts a request, also while the server is not cold: it may have become cold
// unnoticed.
func (c *Cold) Sent(now time.Time) { c.sent.Add(now) }

// May reports whether another request is within this instance's share of perSecond. Where
// there are more instances than requests a second, those that rank first get one each.
func (c *Cold) May(now time.Time, perSecond float64, instances, rank int) bool {
	if now.Sub(c.started) < coldWindow {
		return false // The process before this one may have sent its share just now.
	}
	share := int(perSecond / float64(max(instances, 1)))
	if share == 0 && rank < int(perSecond) {
		share = 1
	}
	return c.sent.Count(now) < share
}
