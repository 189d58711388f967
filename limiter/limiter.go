// Package limiter bounds the number of events in sliding time windows: RetryBudget bounds the retries that a service
// gets, and Cold the requests that a cold backend server gets. Each bound holds for all instances together, and each
// instance keeps within its share of it. The package does no I/O and reads no clock: callers pass the current time. Its
// types are not safe for concurrent use. All code is in limiter.go.
package limiter

import "time"

// Window counts events in a sliding time window. It keeps at most twice the events of one window, so its memory follows from
// the highest rate and not from the number of events so far.
type Window struct {
	length time.Duration
	events []time.Time // Those before first are no longer in the window.
	first  int
}

// NewWindow returns an empty window of the given length.
func NewWindow(length time.Duration) *Window { return &Window{length: length} }

// Count returns the number of events in the window that ends now, and drops older ones.
func (w *Window) Count(now time.Time) int {
	for w.first < len(w.events) && now.Sub(w.events[w.first]) >= w.length {
		w.first++
	}
	if 2*w.first >= len(w.events) {
		w.events = append(w.events[:0], w.events[w.first:]...)
		w.first = 0
	}
	return len(w.events) - w.first
}

// Add records an event. Calls must be in order of time.
func (w *Window) Add(now time.Time) {
	w.Count(now)
	w.events = append(w.events, now)
}

// RetryBudget bounds the retries that this instance sends to one service.
type RetryBudget struct {
	requests, retries        *Window
	retryRatio, extraRetries float64
	startedAt                time.Time // When this process started.
}

// NewRetryBudget returns a budget for a process that started at the given time. In each window, this instance may send
// retryRatio retries per request of its callers, and all instances together may send extraRetries more.
func NewRetryBudget(startedAt time.Time, window time.Duration, retryRatio, extraRetries float64) *RetryBudget {
	return &RetryBudget{NewWindow(window), NewWindow(window), retryRatio, extraRetries, startedAt}
}

// budgetMargin is the fraction of a bound that is used: each instance learns of changes in the number of instances
// late.
const budgetMargin = 0.7

// RecordRequest records a request of a caller, retries not included.
func (r *RetryBudget) RecordRequest(now time.Time) { r.requests.Add(now) }

// nonUrgentShare is the fraction of the bound that requests may use that are not urgent. The rest is reserved for
// urgent ones: when most servers refuse requests, a bound without a reserve is used up within seconds.
const nonUrgentShare = 0.6

// AllowRetry reports whether a retry is within this instance's share of the bound, and records it if so. instances is
// the number of instances that share the extra retries, 0 if this instance may use none of them; urgent retries may use
// all of the share, others nonUrgentShare of it.
func (r *RetryBudget) AllowRetry(now time.Time, instances int, urgent bool) bool {
	// A previous process of this instance may have used its share just before this one started, so the share grows
	// from 0 over the first window.
	age := min(float64(now.Sub(r.startedAt))/float64(r.requests.length), 1)
	share := 0.0
	if instances > 0 {
		share = age * r.extraRetries / float64(instances)
	}
	allowed := budgetMargin * (r.retryRatio*float64(r.requests.Count(now)) + share)
	if !urgent {
		allowed *= nonUrgentShare
	}
	if float64(r.retries.Count(now)) >= allowed {
		return false
	}
	r.retries.Add(now)
	return true
}

// coldWindow is the window in which requests to a cold server are counted: a second, plus an allowance for the
// different times that requests take to arrive.
const coldWindow = 1100 * time.Millisecond

// Cold bounds the requests that this instance sends to one backend server while that server is cold.
type Cold struct {
	sent      *Window
	startedAt time.Time // When this process started.
}

// NewCold returns a bound without any requests, for a process that started at the given time.
func NewCold(startedAt time.Time) *Cold { return &Cold{NewWindow(coldWindow), startedAt} }

// RecordRequest records a request to the server. It must be called while the server is not cold, too: the server may
// have become cold before this instance learns of it.
func (c *Cold) RecordRequest(now time.Time) { c.sent.Add(now) }

// MaySend reports whether another request is within this instance's share, the requests a second that it may send. It
// does not record the request.
func (c *Cold) MaySend(now time.Time, share int) bool {
	if now.Sub(c.startedAt) < coldWindow {
		return false // A previous process of this instance may have sent its share just before.
	}
	return c.sent.Count(now) < share
}
