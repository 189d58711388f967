// Package quarantiner keeps requests that crash backend servers from crashing more of them. The fingerprint of a
// request is blocked for a while after two crashes of servers that ran it, unless a request with the same fingerprint
// has run to its end in between: one that merely ran at the same time as the cause of a crash does so sooner or later.
// A Quarantiner does no I/O and reads no clock: callers pass the current time. All code is in quarantiner.go.
package quarantiner

import (
	"time"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

// Run identifies one run of a request, so that a crash that is reported twice counts once. Where the incarnation of the
// crashed server is known, only Server and ServerIncarnation are set: many requests with the same fingerprint may run
// at a server when it crashes for another reason, and they must count as one crash.
type Run struct {
	Instance            identifier.Instance
	InstanceIncarnation identifier.Incarnation `cbor:"Incarnation" json:"Incarnation"`
	Number              uint64                 // Number of the run at the instance.
	Server              identifier.BackendServer
	ServerIncarnation   registrar.Incarnation `cbor:"Life" json:"Life"` // Incarnation of the crashed server.
}

// Crash reports that a backend server crashed while it ran a request.
type Crash struct {
	Fingerprint answerer.Fingerprint
	Run         Run
}

const (
	// CrashThreshold is the number of crashes after which a fingerprint is blocked.
	CrashThreshold = 2
	// BlockDuration is how long a fingerprint is blocked after its last crash; then its crashes are dropped.
	BlockDuration = 5 * time.Minute
	// maxSuspects is the maximum number of fingerprints that are kept.
	maxSuspects = 4096
)

// suspect is a fingerprint with at least one crash.
type suspect struct {
	runs        map[Run]bool // The runs that ended in a crash.
	lastCrashAt time.Time
}

// Quarantiner holds the crashes that an instance knows of. It is not safe for concurrent use.
type Quarantiner struct {
	suspects map[answerer.Fingerprint]*suspect
}

// New returns a Quarantiner without any crashes.
func New() *Quarantiner { return &Quarantiner{map[answerer.Fingerprint]*suspect{}} }

// RecordCrash records a crash that this or another instance has seen. It returns false if the crash was recorded
// before.
func (q *Quarantiner) RecordCrash(now time.Time, c Crash) bool {
	s, ok := q.suspects[c.Fingerprint]
	if !ok {
		q.evict(now)
		s = &suspect{runs: map[Run]bool{}}
		q.suspects[c.Fingerprint] = s
	}
	if s.runs[c.Run] {
		return false
	}
	s.runs[c.Run] = true
	s.lastCrashAt = now
	return true
}

// RecordCompletion records that a request with a fingerprint ran to its end: the crashes of the fingerprint are dropped
// unless it is blocked.
func (q *Quarantiner) RecordCompletion(f answerer.Fingerprint) {
	if s, ok := q.suspects[f]; ok && len(s.runs) < CrashThreshold {
		delete(q.suspects, f)
	}
}

// Blocked reports whether requests with a fingerprint must be refused now.
func (q *Quarantiner) Blocked(now time.Time, f answerer.Fingerprint) bool {
	s, ok := q.suspects[f]
	if !ok {
		return false
	}
	if now.Sub(s.lastCrashAt) >= BlockDuration {
		delete(q.suspects, f)
		return false
	}
	return len(s.runs) >= CrashThreshold
}

// Len returns the number of fingerprints with at least one crash that are kept.
func (q *Quarantiner) Len() int { return len(q.suspects) }

// evict drops expired fingerprints if maxSuspects are kept, and if that does not suffice the one whose last crash is
// the oldest.
func (q *Quarantiner) evict(now time.Time) {
	if len(q.suspects) < maxSuspects {
		return
	}
	var oldest answerer.Fingerprint
	oldestAt := now
	for f, s := range q.suspects {
		if now.Sub(s.lastCrashAt) >= BlockDuration {
			delete(q.suspects, f)
		} else if !s.lastCrashAt.After(oldestAt) {
			oldest, oldestAt = f, s.lastCrashAt
		}
	}
	if len(q.suspects) >= maxSuspects {
		delete(q.suspects, oldest)
	}
}
