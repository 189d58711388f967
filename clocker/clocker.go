// Package clocker reads the clock that leases are measured by: it goes on while the
// machine is suspended and is not set by anyone.
package clocker

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, as a time without a date. Only
// differences mean anything.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err)) // Every supported kernel has it.
	}
	return time.Unix(ts.Unix())
}

// Sleep waits and reports whether ctx goes on.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
