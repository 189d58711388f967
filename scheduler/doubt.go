package scheduler

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

// doubt records what speaks for and against a server being warm although nothing says that it is cold.
type doubt struct {
	// since is when the server could not be reached last: the process that can be reached later may be a new one.
	since      time.Time
	answeredAt time.Time // When a request was first answered after that.
	warmAt     time.Time // When the last health call was made that showed the server warm.
	wanted     bool      // A request waits for a health call.
	askedAt    time.Time // When the last health call was made.
	coldUntil  time.Time // By the last health call.
}

const (
	// maxViewAge is how long changes of backend servers may have gone unnoticed before each server is possibly cold. An
	// instance that the store turns away gets copies from others several times in it.
	maxViewAge = time.Second
	// warmLifetime is how long a health call that showed a server warm is relied on while the view is stale. It bounds
	// the requests that reach a server between the moment at which it becomes cold and the next call.
	warmLifetime = 250 * time.Millisecond
	// healthCallInterval is the shortest time between two such calls to a server.
	healthCallInterval = 100 * time.Millisecond
	// doubtfulRateShare is the fraction of the rate of a cold server up to which no such call is needed. The rest is for
	// the requests that are sent on the word of calls that were made just before the server became cold.
	doubtfulRateShare = 0.5
)

// isDoubtful reports whether a server that is warm for all that this instance knows may be cold nevertheless: changes of
// backend servers may have gone unnoticed, or the server was unreachable, and no health call shows that it is warm.
func (s *Scheduler) isDoubtful(now time.Time, sv *server) bool {
	if sv.coldFor == 0 {
		return false
	}
	d := sv.doubt
	if d.since.After(d.warmAt) && (d.answeredAt.IsZero() || now.Sub(d.answeredAt) < sv.coldFor) {
		return true
	}
	return s.IsViewStale(now) && now.Sub(d.warmAt) >= warmLifetime
}

// IsViewStale reports whether changes of backend servers and evacuations may have gone unnoticed for so long that each
// server is possibly cold.
func (s *Scheduler) IsViewStale(now time.Time) bool { return s.viewAge(now) >= maxViewAge }

// doubtfulShare returns the requests a second that this instance may send to a doubtful server.
func (s *Scheduler) doubtfulShare(now time.Time, sv *server) int {
	return s.shares.Share(now, sv.entry.ID).Of(doubtfulRateShare * sv.coldRate)
}

// needsHealthCall reports whether only the doubt keeps this instance from sending another request to a server.
func (s *Scheduler) needsHealthCall(now time.Time, sv *server) bool {
	return !s.isCold(now, sv) && !s.isWithinRate(now, sv) && !now.Before(sv.pausedUntil) &&
		float64(sv.running)+sv.otherLoad(now) < sv.requestLimit(now)
}

// wantHealthCall requests a health call to a server.
func (s *Scheduler) wantHealthCall(sv *server) {
	if !sv.doubt.wanted {
		sv.doubt.wanted = true
		s.doubted = append(s.doubted, sv)
	}
}

// HealthCallsDue returns the servers whose health path should be called now, because requests wait to learn whether they
// are warm. RecordHealth takes the result of each call.
func (s *Scheduler) HealthCallsDue(now time.Time) []registrar.Entry {
	var due []registrar.Entry
	waiting := s.doubted[:0]
	for _, sv := range s.doubted {
		if now.Sub(sv.doubt.askedAt) < healthCallInterval {
			waiting = append(waiting, sv)
			continue
		}
		sv.doubt.wanted, sv.doubt.askedAt = false, now
		due = append(due, sv.entry)
	}
	s.doubted = waiting
	return due
}

// RecordHealth records what a server said of itself in answer to a health call that was made at askedAt: for how long it
// will be cold, or 0.
func (s *Scheduler) RecordHealth(now, askedAt time.Time, id identifier.BackendServer, incarnation registrar.Incarnation, coldFor time.Duration) {
	sv, ok := s.servers[id]
	if !ok || sv.entry.Incarnation != incarnation {
		return
	}
	if coldFor > 0 {
		sv.doubt.coldUntil = now.Add(coldFor)
	} else {
		sv.doubt.warmAt = askedAt
	}
	s.decideFor(now, sv)
}

// recordReach records whether a request could be sent to a server, and whether it was answered.
func (d *doubt) recordReach(now time.Time, o Outcome) {
	switch o {
	case Unreachable:
		d.since, d.answeredAt = now, time.Time{}
	case Answered, Shed:
		if d.answeredAt.IsZero() {
			d.answeredAt = now
		}
	case NoConnection, Broken, Cancelled:
	}
}
