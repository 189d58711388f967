package logger_test

import (
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/logger"
)

// TestThrottle guards against log lines that clients cause without bound, and against suppressed lines that are not counted.
func TestThrottle(t *testing.T) {
	throttle := logger.Throttle{Interval: time.Second}
	start := time.Unix(1000, 0)
	written, suppressed := 0, 0
	for n := range 100 {
		if before, ok := throttle.Allow(start.Add(time.Duration(n) * 50 * time.Millisecond)); ok {
			written++
			suppressed += before
		}
	}
	if written != 5 || suppressed != 76 {
		t.Errorf("%d lines written, %d suppressed before them; want 5 and 76", written, suppressed)
	}
}
