// Package rentier keeps tenants within their quotas, the requests a second that all instances together may send to backend
// servers for a tenant. The bound holds whatever two instances know of each other.
//
// The right to send is counted in parts of a quota. Each instance owns an equal part (package apportioner). Callers of a
// tenant may all use one instance, so equal parts waste the quota. Each instance therefore lends its part to the
// distributor, an instance that divides what is lent to it by demand and keeps the rest in buckets of its own, from which it
// hands out single tokens. No part is used twice at a time:
//
//   - A Rentier that lends its part does not use it until the loan is over by its own clock. A loan is dated by a number
//     that the distributor gave to the lender before, and ends Timing.Loan after the number was given. So a loan that
//     arrives late is short, and the lender, which received the number later than it was given, knows when it must be over.
//   - A Distributor grants only what remains lent to it until the grant is over, less what it has granted to others or to
//     the same instance before and what may still be in use.
//   - A process that starts waits until the loans of the former process of its instance are over, and a new instance until
//     the loans are over of those that did not count it.
//
// Each holder of a part, instance or distributor, fills a bucket of tokens at its part of the rate, up to its part of the
// capacity. A part that moves carries no tokens. So the tokens of all buckets are never more than the capacity, and they are
// filled no faster than the rate.
//
// The package does no I/O and reads no clock: callers pass the current time. Its types are not safe for concurrent use.
// Start with Rentier in rentier.go; distributor.go has the Distributor, message.go the times and what they send to each other,
// verdict.go the decisions on requests, and bucket.go the buckets.
package rentier

import (
	"maps"
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// account is what an instance holds of one quota.
type account struct {
	quota      Quota
	bucket     bucket
	part       float64   // Granted part.
	from       Process   // The distributor that granted it.
	until      time.Time // End of the grant.
	waiting    int       // Requests that were let in and not yet sent.
	wanted     int       // Requests that asked for a token since countedAt.
	demand     float64   // Requests a second.
	spare      int       // Tokens that the distributor had left at spareAt.
	spareAt    time.Time
	emptyUntil time.Time // Until when the distributor has no token.
}

// Rentier is one instance's view of the quotas.
type Rentier struct {
	timing    Timing
	self      Process
	accounts  map[identifier.Tenant]*account
	sharers   int       // Instances among which the quotas are divided; 0 if this one has no part.
	whole     time.Time // Until when this instance owns the quotas as a whole.
	settledAt time.Time // Since when it has been settled; zero if it is not.
	lentTo    Process
	lentUntil time.Time
	returned  bool // The loan has been returned and is over at lentUntil.
	// returnNumber changes with each loan and each call that returns one. An answer to such a call says nothing of later loans.
	returnNumber uint64
	number       uint64 // The newest number of the distributor from.
	from         Process
	numberAt     time.Time // When the number was received.
	answered     Answer
	heardAt      time.Time // When the call of the last answer was sent.
	countedAt    time.Time
}

// New returns a Rentier of a process that starts now, without parts and tokens.
func New(now time.Time, self Process, timing Timing) *Rentier {
	return &Rentier{timing: timing, self: self, accounts: map[identifier.Tenant]*account{}, countedAt: now}
}

// SetQuotas applies the quotas of a new configuration. Buckets of new tenants are empty.
func (r *Rentier) SetQuotas(now time.Time, quotas []Quota) {
	r.advance(now)
	known := r.accounts
	r.accounts = make(map[identifier.Tenant]*account, len(quotas))
	for _, q := range quotas {
		a := known[q.Tenant]
		if a == nil {
			a = &account{bucket: bucket{at: now}}
		}
		a.quota = q
		r.accounts[q.Tenant] = a
	}
	r.advance(now)
}

// HasQuotas reports whether any tenant has a quota.
func (r *Rentier) HasQuotas() bool { return len(r.accounts) > 0 }

// SetShare records how many instances share the quotas, 0 if this one has no part now, and whether this one is settled (see
// apportioner). It must be called before each other call, with the same time.
func (r *Rentier) SetShare(now time.Time, sharers int, settled bool) {
	if !settled {
		sharers = 0
		r.settledAt = time.Time{}
	} else if r.settledAt.IsZero() {
		r.settledAt = now
	}
	if !settled || now.Sub(r.settledAt) < r.timing.Settle {
		sharers = 0
	}
	if sharers == r.sharers {
		return
	}
	if sharers == 0 || r.sharers != 0 && sharers > r.sharers { // What it owned may have ended before now.
		r.sharers = sharers
		r.advance(now)
		return
	}
	r.advance(now)
	r.sharers = sharers
}

// OwnWhole records that this instance owns the quotas as a whole until a time, and that no other one owns a part until then.
func (r *Rentier) OwnWhole(now, until time.Time) {
	r.advance(now)
	r.whole = until
}

// owned returns the part that this instance owns from one time to another, lent or not.
func (r *Rentier) owned(from, to time.Time) float64 {
	switch {
	case to.Before(r.whole):
		return 1
	case r.sharers > 0 && !from.Before(r.whole):
		return 1 / float64(r.sharers)
	}
	return 0
}

// part returns the part of a quota that this instance may use during all of a span of time.
func (r *Rentier) part(a *account, from, to time.Time) float64 {
	part := 0.0
	if to.Before(a.until) {
		part = a.part
	}
	if !from.Before(r.lentUntil) {
		part += r.owned(from, to)
	}
	return part
}

// advance fills all buckets. It must be called before what this instance holds changes.
func (r *Rentier) advance(now time.Time) {
	for _, a := range r.accounts {
		r.advanceOne(now, a)
	}
}

func (r *Rentier) advanceOne(now time.Time, a *account) {
	a.bucket.advance(now, a.quota, r.part(a, a.bucket.at, now), r.part(a, now, now))
}

// Compose returns the call to the distributor, the process that is highest ranked now. tokens are the requests of each
// tenant that wait for a token.
func (r *Rentier) Compose(now time.Time, distributor Process, tokens map[identifier.Tenant]int) Call {
	r.advance(now)
	c := Call{From: r.self}
	if r.from == distributor && r.number != 0 {
		c.To, c.Number = r.from, r.number
	}
	if owned := r.owned(now, now); owned > 0 && c.Number != 0 && (r.lentTo == distributor || !now.Before(r.lentUntil)) {
		until := r.numberAt.Add(r.timing.Lent)
		if now.Before(r.whole) && until.After(r.whole) { // The whole must not be lent for longer than it is owned.
			c.LoanMs = int64(float64(r.whole.Sub(r.numberAt).Milliseconds()) * (1 - clockMargin))
			until = r.whole
			if c.LoanMs < 1 {
				until = now
			}
		}
		if until.After(now) {
			r.returnNumber++
			c.Loan, r.lentTo, r.lentUntil, r.returned = owned, distributor, later(until, r.lentUntil), false
		}
	}
	r.count(now)
	for _, tenant := range slices.Sorted(maps.Keys(r.accounts)) {
		if a := r.accounts[tenant]; a.demand >= minDemand || tokens[tenant] > 0 {
			c.Wants = append(c.Wants, Want{Tenant: tenant, Rate: a.demand, Tokens: tokens[tenant]})
		}
	}
	return c
}

const (
	// countTime is the time over which demand is counted.
	countTime = 900 * time.Millisecond
	// minDemand is the demand, in requests a second, that is worth stating.
	minDemand = 0.05
	// demandWeight is the weight of the newest countTime in the demand. An estimate that is too high at many instances would
	// divide a quota that is not used up.
	demandWeight = 0.5
)

// count renews the demand if countTime has passed.
func (r *Rentier) count(now time.Time) {
	passed := now.Sub(r.countedAt)
	if passed < countTime {
		return
	}
	r.countedAt = now
	for _, a := range r.accounts {
		a.demand += demandWeight * (float64(a.wanted)/passed.Seconds() - a.demand)
		a.wanted = 0
	}
}

// LentElsewhere returns the process other than the distributor to which this instance's part is lent. It can be returned by
// the call of ComposeReturn, for instance when that process is about to stop.
func (r *Rentier) LentElsewhere(now time.Time, distributor Process) (Process, bool) {
	return r.lentTo, now.Before(r.lentUntil) && r.lentTo != distributor && !r.returned
}

// ComposeReturn returns the call to the process of LentElsewhere by which the loan ends.
func (r *Rentier) ComposeReturn() Call {
	r.returnNumber++
	return Call{From: r.self, To: r.lentTo, Number: r.returnNumber, Return: true}
}

// ApplyReturn applies the answer to the call of ComposeReturn.
func (r *Rentier) ApplyReturn(now time.Time, answer Answer) {
	if !answer.Returned || answer.From != r.lentTo || answer.Number != r.returnNumber {
		return // The part may have been lent again since the call.
	}
	r.advance(now)
	r.returned = true
	wait := r.timing.Granted + time.Duration(clockMargin*float64(r.timing.Granted))
	if until := now.Add(wait); until.Before(r.lentUntil) {
		r.lentUntil = until
	}
	if r.from == answer.From {
		r.number = 0 // A loan that echoes it is not accepted any more.
	}
}

// Apply applies the distributor's answer to a call that was composed at a time, and returns the tokens that may be used now,
// by tenant.
func (r *Rentier) Apply(now, composedAt time.Time, answer Answer) map[identifier.Tenant]int {
	r.advance(now)
	r.from, r.number, r.numberAt = answer.From, answer.Number, now
	r.answered, r.heardAt = answer, composedAt
	tokens := map[identifier.Tenant]int{}
	for _, a := range r.accounts {
		if a.from == answer.From { // A grant of another distributor goes on until its end.
			a.part = 0
		}
	}
	for _, g := range answer.Grants {
		a := r.accounts[g.Tenant]
		if a == nil {
			continue
		}
		if a.from == answer.From || g.Part >= a.part || !now.Before(a.until) {
			a.part, a.from, a.until = g.Part, answer.From, composedAt.Add(r.timing.Grant)
		}
		a.spare, a.spareAt, a.emptyUntil = g.Spare, now, time.Time{}
		if g.WaitMs > 0 {
			a.emptyUntil = now.Add(time.Duration(g.WaitMs) * time.Millisecond)
		}
		if g.Tokens > 0 && now.Sub(composedAt) < r.timing.Token {
			tokens[g.Tenant] = g.Tokens
		}
	}
	r.advance(now)
	return tokens
}

// IsCallDue reports whether the distributor should be called before the next regular call: it has given no number yet, which
// the first loan needs, or this instance's part is not lent.
func (r *Rentier) IsCallDue(now time.Time, distributor Process) bool {
	return r.from != distributor || r.number == 0 || r.owned(now, now) > 0 && !now.Before(r.lentUntil)
}

// Holding describes what an instance holds of a tenant's quota, for operators.
type Holding struct {
	Quota  Quota
	Part   float64 // The part that this instance may use now.
	Tokens float64
	Demand float64
}

// Holdings returns what this instance holds of each quota, in order of the tenants' names.
func (r *Rentier) Holdings(now time.Time) []Holding {
	out := make([]Holding, 0, len(r.accounts))
	for _, tenant := range slices.Sorted(maps.Keys(r.accounts)) {
		a := r.accounts[tenant]
		r.advanceOne(now, a)
		out = append(out, Holding{Quota: a.quota, Part: r.part(a, now, now), Tokens: a.bucket.tokens, Demand: a.demand})
	}
	return out
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
