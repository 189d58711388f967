package mirrorer

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// LagDetector detects that a copy must be listed again because another instance has a newer object. A
// pending watch may deliver no events without reporting an error.
type LagDetector struct {
	newest      identifier.Version // Highest version that another instance has.
	behindSince time.Time          // Start of the present lag, or when the last list was requested.
}

// Observe records the version of the newest object of another instance and the revision of the own
// copy. It reports whether the own copy has been behind for the time-out, so that it must be listed
// again; it does so at most once in each time-out.
func (l *LagDetector) Observe(now time.Time, newest, revision identifier.Version, timeout time.Duration) bool {
	if newest > l.newest {
		l.newest = newest
		if l.behindSince.IsZero() {
			l.behindSince = now
		}
	}
	if revision >= l.newest {
		l.behindSince = time.Time{}
		return false
	}
	if l.behindSince.IsZero() {
		l.behindSince = now
	}
	if now.Sub(l.behindSince) < timeout {
		return false
	}
	l.behindSince = now
	return true
}
