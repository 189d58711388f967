// Package clocker reads the clock by which leases are measured. This clock keeps running while the
// machine is suspended, and nobody can set it.
package clocker

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, as a time.Time whose date means nothing. Only the
// difference of two results is meaningful.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err)) // Every supported kernel has this clock.
	}
	return time.Unix(ts.Unix())
}

// Sleep waits for d or until ctx ends. It returns false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
