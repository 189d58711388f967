package rentier

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// Verdict says whether a request may be sent.
type Verdict int

// The verdicts.
const (
	Allowed     Verdict = iota // The request may be sent, and is counted.
	MayAsk                     // There is no token here, but the distributor may have one.
	OverQuota                  // There is no token.
	Unavailable                // Nothing is known of what other instances send, so nothing may be sent.
)

// Peek decides on a request like Enter, and does not count it if it is let in.
func (r *Rentier) Peek(now time.Time, tenant identifier.Tenant) (Verdict, time.Duration) {
	a := r.accounts[tenant]
	if a == nil {
		return Allowed, 0
	}
	r.advanceOne(now, a)
	if r.hasRoom(now, a) {
		return Allowed, 0
	}
	a.wanted++
	return r.refuse(now, a)
}

// hasRoom reports whether one more request of a tenant may wait to be sent.
func (r *Rentier) hasRoom(now time.Time, a *account) bool {
	return float64(a.waiting)+1 <= a.bucket.tokens || r.mayAsk(now, a) && a.waiting < int(a.bucket.tokens)+a.mayWait(now, r.timing.Grant)
}

// Wait returns the time until a tenant may have a token.
func (r *Rentier) Wait(now time.Time, tenant identifier.Tenant) time.Duration {
	a := r.accounts[tenant]
	if a == nil {
		return minWait
	}
	r.advanceOne(now, a)
	_, wait := r.refuse(now, a)
	return wait
}

// Enter decides on a request at its arrival, before it waits for a backend server: it is refused if there will be no token
// for it. A request that is let in counts as waiting until Leave. The time is that until a token may be available.
func (r *Rentier) Enter(now time.Time, tenant identifier.Tenant) (Verdict, time.Duration) {
	a := r.accounts[tenant]
	if a == nil {
		return Allowed, 0
	}
	a.wanted++
	r.advanceOne(now, a)
	if r.hasRoom(now, a) {
		a.waiting++
		return Allowed, 0
	}
	return r.refuse(now, a)
}

// Leave ends the waiting of a request that was let in: it is about to be sent, or was refused for another reason.
func (r *Rentier) Leave(tenant identifier.Tenant) {
	if a := r.accounts[tenant]; a != nil && a.waiting > 0 {
		a.waiting--
	}
}

// Take decides on a request that is about to be sent, and counts it if it may be. After MayAsk the caller asks the
// distributor for a token.
func (r *Rentier) Take(now time.Time, tenant identifier.Tenant) (Verdict, time.Duration) {
	a := r.accounts[tenant]
	if a == nil {
		return Allowed, 0
	}
	r.advanceOne(now, a)
	if a.bucket.take() {
		return Allowed, 0
	}
	if r.mayAsk(now, a) {
		return MayAsk, 0
	}
	return r.refuse(now, a)
}

// Return gives back the token of a request that was counted and has not run: no backend server began to work on it. What does
// not fit the capacity of what this instance holds now is lost.
func (r *Rentier) Return(now time.Time, tenant identifier.Tenant) {
	a := r.accounts[tenant]
	if a == nil {
		return
	}
	r.advanceOne(now, a)
	a.bucket.tokens = min(a.bucket.tokens+1, r.part(a, now, now)*a.quota.Capacity)
}

// unknownSpare is the number of requests that may wait for tokens of the distributor while nothing is known of its tokens.
const unknownSpare = 8

// mayWait returns the number of requests that may wait for tokens of the distributor.
func (a *account) mayWait(now time.Time, known time.Duration) int {
	if now.Sub(a.spareAt) >= known {
		return unknownSpare
	}
	return max(a.spare, 1)
}

// mayAsk reports whether the distributor answers and may have a token.
func (r *Rentier) mayAsk(now time.Time, a *account) bool {
	return r.hears(now) && r.answered.Pool > 0 && !now.Before(a.emptyUntil)
}

// hears reports whether the distributor has answered lately.
func (r *Rentier) hears(now time.Time) bool {
	return !r.heardAt.IsZero() && now.Sub(r.heardAt) < r.timing.Grant
}

const (
	// minWait and maxWait bound the time after which a refused request is told to come back.
	minWait = 50 * time.Millisecond
	maxWait = 5 * time.Second
	// unavailableWait is that time where nothing says when something may be sent again.
	unavailableWait = 500 * time.Millisecond
)

// refuse returns the verdict on a request for which there is no token, and when there may be one.
func (r *Rentier) refuse(now time.Time, a *account) (Verdict, time.Duration) {
	part := r.part(a, now, now)
	if part == 0 && (!r.hears(now) || r.answered.Pool == 0) {
		return Unavailable, unavailableWait
	}
	wait := maxWait
	if part*a.quota.Capacity >= 1 {
		wait = a.bucket.wait(a.quota, part, a.waiting)
	}
	if r.hears(now) && r.answered.Pool > 0 {
		wait = min(wait, a.emptyUntil.Sub(now))
	}
	return OverQuota, min(max(wait, minWait), maxWait)
}
