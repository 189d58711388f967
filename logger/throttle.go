package logger

import (
	"sync"
	"time"
)

// Throttle bounds the rate of log lines of one kind. It is safe for concurrent use.
type Throttle struct {
	Interval time.Duration // The shortest time between two lines.

	mu         sync.Mutex
	next       time.Time
	suppressed int
}

// Allow reports whether a line may be written now, and how many were suppressed since the last one.
func (t *Throttle) Allow(now time.Time) (suppressed int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.next) {
		t.suppressed++
		return 0, false
	}
	suppressed = t.suppressed
	t.next, t.suppressed = now.Add(t.Interval), 0
	return suppressed, true
}
