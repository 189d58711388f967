package mirrorer

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// Lag tells when a copy is to be listed anew since another instance has a newer object: a
// watch that waits may be deaf without an error.
type Lag struct {
	newest identifier.Version // That another instance has.
	since  time.Time          // When it was heard of, or the last list was asked for.
}

// Heard takes in the newest object of another instance and the revision of the own copy,
// and reports whether the own watch has had its time.
func (l *Lag) Heard(now time.Time, newest, revision identifier.Version, patience time.Duration) bool {
	if newest > l.newest {
		l.newest = newest
		if l.since.IsZero() {
			l.since = now
		}
	}
	if revision >= l.newest {
		l.since = time.Time{}
		return false
	}
	if l.since.IsZero() {
		l.since = now
	}
	if now.Sub(l.since) < patience {
		return false
	}
	l.since = now
	return true
}
