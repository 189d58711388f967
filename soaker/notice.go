package soaker

import (
	"net/http"
	"time"

	"github.com/turmericlift/turmericlift/platform/impersonator"
	"github.com/turmericlift/turmericlift/registrar"
)

// givenNotice is what a backend server has said of itself to a process of an instance.
type givenNotice struct {
	starts    int       // Identifies the process; see instance.starts.
	leavingAt time.Time // Time of the first answer that said that the server leaves; zero if there was none.
	// turnedAwayAt is when an answer said that the server wants no requests until wantsNothingUntil; later answers in that
	// time may have put it off.
	turnedAwayAt, wantsNothingUntil time.Time
	arrivals                        int // Requests that arrived in that time.
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// turnedAwayGrace is the time after a refusal in which requests that are under way may still arrive, and
// maxTurnedAwayArrivals is the number of requests that may arrive in the rest of the time that the refusal told.
const (
	turnedAwayGrace       = 500 * time.Millisecond
	maxTurnedAwayArrivals = 2
)

// Notice returns what the server says in an answer to the instance, and records it.
func (s endpoint) Notice(now time.Time, reply impersonator.Reply) registrar.Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := registrar.Notice{Leaving: s.draining}
	if left := s.turnsAwayUntil.Sub(now); reply == impersonator.Shed && left > 0 {
		n.RetryAfter = left
	}
	told := s.notice()
	passedOn := reply == impersonator.Ran || reply == impersonator.RanFailed || reply == impersonator.RanExtraAnswer
	if n.Leaving && told.leavingAt.IsZero() && passedOn {
		told.leavingAt = now
	}
	switch end := now.Add(n.RetryAfter); {
	case n.RetryAfter == 0:
	case now.Before(told.wantsNothingUntil):
		told.wantsNothingUntil = later(told.wantsNothingUntil, end)
	default:
		told.turnedAwayAt, told.wantsNothingUntil, told.arrivals = now, end, 0
	}
	s.notices[s.instance] = told
	return n
}

// notice returns what the server has said to the instance's present process. The caller holds the lock.
func (s endpoint) notice() givenNotice {
	s.instance.mu.Lock()
	defer s.instance.mu.Unlock()
	told := s.notices[s.instance]
	if told.starts != s.instance.starts {
		return givenNotice{starts: s.instance.starts}
	}
	return told
}

// checkNotice checks a request that reached the server: it must not come in the time in which the server wants none, nor may a
// caller have sent it too long after the server told the instance that it leaves. The caller holds the server's lock.
func (env *environment) checkNotice(now time.Time, s endpoint, id string) {
	told := s.notice()
	pausedAt := s.instance.lastPause()
	if sentAt, ok := env.checker.sentAt(id); ok && !told.leavingAt.IsZero() && sentAt.Sub(told.leavingAt) > drainTime && pausedAt.Before(told.leavingAt) {
		env.checker.recordViolation(now, CheckDrain, "backend server %s got request %s from instance %s, sent %s after the server had said in an answer that it leaves",
			s.name, id, s.instance.settings.Instance, sentAt.Sub(told.leavingAt))
	}
	if now.Sub(told.turnedAwayAt) < turnedAwayGrace || !now.Before(told.wantsNothingUntil) {
		return
	}
	_, changed := s.instance.serverLinks[s.number].state()
	told.arrivals++
	s.notices[s.instance] = told
	if told.arrivals > maxTurnedAwayArrivals && pausedAt.Before(told.turnedAwayAt) && changed.Before(told.turnedAwayAt) {
		env.checker.recordViolation(now, CheckRetryBudget, "backend server %s got %d requests from instance %s in the %s after it had turned one away and said that it wants none",
			s.name, told.arrivals, s.instance.settings.Instance, now.Sub(told.turnedAwayAt))
	}
}

// Health returns for how much longer the server is cold, and the number of requests that run.
func (s endpoint) Health(now time.Time) (coldRemaining time.Duration, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		panic(http.ErrAbortHandler)
	}
	return max(s.coldUntil.Sub(now), 0), s.running
}
