// Package quarantiner keeps requests that crash backend servers from crashing more
// of them. A request's fingerprint is blocked for a while after two crashes that it
// was part of, unless a request with the same fingerprint has run in between: one
// that merely ran beside the culprit does, sooner or later. A Quarantiner does no
// I/O and reads no clock.
package quarantiner

import (
	"time"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

// Run names one run of a request, so that a crash that is heard of twice counts once. Where
// the life of the server that crashed is known, that alone names it: many requests with one
// fingerprint may run there when it crashes for another reason.
type Run struct {
	Instance    identifier.Instance
	Incarnation identifier.Incarnation
	Number      uint64
	Server      identifier.BackendServer
	Life        registrar.Life
}

// Crash is the report of a crash that a request was part of.
type Crash struct {
	Fingerprint answerer.Fingerprint
	Run         Run
}

const (
	// Crashes is the number of crashes after which a fingerprint is blocked.
	Crashes = 2
	// BlockFor is how long a fingerprint is blocked after its last crash.
	BlockFor = 5 * time.Minute
	// maxSuspects bounds the fingerprints that are remembered.
	maxSuspects = 4096
)

type suspect struct {
	runs   map[Run]bool
	lastAt time.Time
}

// Quarantiner is the state of one instance.
type Quarantiner struct {
	suspects map[answerer.Fingerprint]*suspect
}

// New returns a Quarantiner that has seen no crash.
func New() *Quarantiner { return &Quarantiner{map[answerer.Fingerprint]*suspect{}} }

// Crashed takes in a crash, seen here or by another instance, and reports whether it
// was new.
func (q *Quarantiner) Crashed(now time.Time, c Crash) bool {
	s, ok := q.suspects[c.Fingerprint]
	if !ok {
		q.makeRoom(now)
		s = &suspect{runs: map[Run]bool{}}
		q.suspects[c.Fingerprint] = s
	}
	if s.runs[c.Run] {
		return false
	}
	s.runs[c.Run] = true
	s.lastAt = now
	return true
}

// Completed takes in that a request has run to its end, and clears its fingerprint
// unless it is blocked.
func (q *Quarantiner) Completed(f answerer.Fingerprint) {
	if s, ok := q.suspects[f]; ok && len(s.runs) < Crashes {
		delete(q.suspects, f)
	}
}

// Blocked reports whether requests of a fingerprint are refused now.
func (q *Quarantiner) Blocked(now time.Time, f answerer.Fingerprint) bool {
	s, ok := q.suspects[f]
	if !ok {
		return false
	}
	if now.Sub(s.lastAt) >= BlockFor {
		delete(q.suspects, f)
		return false
	}
	return len(s.runs) >= Crashes
}

// Len returns the number of fingerprints that are remembered.
func (q *Quarantiner) Len() int { return len(q.suspects) }

// makeRoom forgets old suspects, and the oldest one if there are too many.
func (q *Quarantiner) makeRoom(now time.Time) {
	if len(q.suspects) < maxSuspects {
		return
	}
	var oldest answerer.Fingerprint
	oldestAt := now
	for f, s := range q.suspects {
		if now.Sub(s.lastAt) >= BlockFor {
			delete(q.suspects, f)
		} else if !s.lastAt.After(oldestAt) {
			oldest, oldestAt = f, s.lastAt
		}
	}
	if len(q.suspects) >= maxSuspects {
		delete(q.suspects, oldest)
	}
}
