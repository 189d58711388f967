package rentier

import (
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// Distributor divides the parts of quotas that instances lend to one process.
type Distributor struct {
	timing  Timing
	self    Process
	quotas  map[identifier.Tenant]Quota
	number  uint64
	lenders map[Process]*lender
	pools   map[identifier.Tenant]*pool
	// filledAt is when all buckets were last filled.
	filledAt time.Time
}

// lender is what the distributor has of one process.
type lender struct {
	calledAt time.Time
	numbers  []givenNumber // The newest last.
	loans    []span        // Loans of the same part: the largest counts.
}

// givenNumber is a number and when it was given.
type givenNumber struct {
	number uint64
	at     time.Time
}

// span is a part of a quota until a time.
type span struct {
	part        float64
	from, until time.Time
}

// pool is what the distributor has of one tenant's quota.
type pool struct {
	bucket  bucket
	granted map[Process][]span
	wants   map[Process]want
}

// want is the demand of a process.
type want struct {
	rate float64
	at   time.Time
}

const (
	// keptNumbers bounds the numbers that are kept for each lender: an older one dates a loan that is over.
	keptNumbers = 64
	// fillInterval is the time between two fillings of all buckets. A bucket is filled with what was lent all the time since
	// its last filling, so it must be well within a loan.
	fillInterval = 400 * time.Millisecond
	// forgetAfter is the time without a call after which a lender is forgotten, which has nothing lent or granted by then.
	forgetAfter = 10 * time.Second
	// maxLenders bounds the processes whose calls are answered.
	maxLenders = 4096
	// wantTime is how long a stated demand counts.
	wantTime = 2500 * time.Millisecond
	// usualShare is the share of its rate that a tenant uses at most while each instance is granted its demand; above it, parts are granted
	// in proportion to demand.
	usualShare = 0.8
	// minGrantedRate is the demand, in requests a second, below which an instance gets no part but single tokens: a part lies
	// idle between its requests, while other instances have none.
	minGrantedRate = 3
	// fullShare is the part of a quota that is granted in proportion to demand. The distributor keeps the rest for
	// instances whose demand is new or comes in bursts.
	fullShare = 0.8
)

// NewDistributor returns a Distributor of a process to which nothing is lent.
func NewDistributor(self Process, timing Timing) *Distributor {
	return &Distributor{timing: timing, self: self, lenders: map[Process]*lender{}, pools: map[identifier.Tenant]*pool{}, quotas: map[identifier.Tenant]Quota{}}
}

// SetQuotas applies the quotas of a new configuration.
func (d *Distributor) SetQuotas(now time.Time, quotas []Quota) {
	d.quotas = make(map[identifier.Tenant]Quota, len(quotas))
	for _, q := range quotas {
		d.quotas[q.Tenant] = q
		if d.pools[q.Tenant] == nil {
			d.pools[q.Tenant] = &pool{bucket: bucket{at: now}, granted: map[Process][]span{}, wants: map[Process]want{}}
		}
	}
	for tenant := range d.pools {
		if _, ok := d.quotas[tenant]; !ok {
			delete(d.pools, tenant)
		}
	}
}

// Answer answers the call of an instance.
func (d *Distributor) Answer(now time.Time, c Call) Answer {
	d.forget(now)
	l := d.lenders[c.From]
	if l == nil {
		if len(d.lenders) >= maxLenders {
			return Answer{From: d.self}
		}
		l = &lender{}
		d.lenders[c.From] = l
	}
	l.calledAt = now
	if now.Sub(d.filledAt) >= fillInterval { // Before the new loan, which was not there all the time.
		d.filledAt = now
		for tenant, p := range d.pools {
			d.fill(now, p, d.quotas[tenant])
		}
	}
	if c.Return {
		if c.To == d.self {
			// Nor is a loan accepted that echoes an earlier number, and that was sent before.
			l.loans, l.numbers = nil, nil
		}
		return Answer{From: d.self, Number: c.Number, Returned: c.To == d.self}
	}
	d.borrow(now, l, c)
	d.number++
	l.numbers = append(l.numbers, givenNumber{d.number, now})
	if len(l.numbers) > keptNumbers {
		l.numbers = l.numbers[1:]
	}
	answer := Answer{From: d.self, Number: d.number, Pool: d.lent(now, now)}
	secure := d.lent(now, now.Add(d.timing.Granted))
	for _, w := range c.Wants {
		if p := d.pools[w.Tenant]; p != nil && w.Rate >= 0 {
			answer.Grants = append(answer.Grants, d.grant(now, c.From, p, d.quotas[w.Tenant], secure, w))
		}
	}
	return answer
}

// borrow records what a call lends. A loan that echoes no number of this process to its lender cannot be dated.
func (d *Distributor) borrow(now time.Time, l *lender, c Call) {
	if c.To != d.self || !(c.Loan > 0 && c.Loan <= 1) {
		return
	}
	for _, given := range l.numbers {
		if given.number != c.Number {
			continue
		}
		length := d.timing.Loan
		if c.LoanMs > 0 {
			length = min(length, time.Duration(c.LoanMs)*time.Millisecond)
		}
		if until := given.at.Add(length); until.After(now) {
			l.loans = append(l.loans, span{part: c.Loan, from: now, until: until})
		}
		return
	}
}

// lent returns the part of all quotas that is lent to this process during all of a span of time.
func (d *Distributor) lent(from, to time.Time) float64 {
	sum := 0.0
	for _, l := range d.lenders {
		largest := 0.0
		for _, s := range l.loans {
			if !s.from.After(from) && s.until.After(to) {
				largest = max(largest, s.part)
			}
		}
		sum += largest
	}
	return min(sum, 1)
}

// grantedAt returns the part of a quota that may be in use at a time by processes other than one.
func (p *pool) grantedAt(now time.Time, except Process) float64 {
	sum := 0.0
	for process, spans := range p.granted {
		if process == except {
			continue
		}
		largest := 0.0
		for _, s := range spans {
			if s.until.After(now) {
				largest = max(largest, s.part)
			}
		}
		sum += largest
	}
	return sum
}

// fill fills the bucket of what is lent and not granted.
func (d *Distributor) fill(now time.Time, p *pool, q Quota) {
	from := p.bucket.at
	during := max(d.lent(from, now)-p.grantedAt(from, Process{}), 0)
	p.bucket.advance(now, q, during, max(d.lent(now, now)-p.grantedAt(now, Process{}), 0))
	for process, spans := range p.granted {
		spans = slices.DeleteFunc(spans, func(s span) bool { return !s.until.After(now) })
		if p.granted[process] = spans; len(spans) == 0 {
			delete(p.granted, process)
		}
	}
}

// grant grants a process a part of a tenant's quota and the tokens that it wants now. secure is what is lent for longer than
// a grant.
func (d *Distributor) grant(now time.Time, to Process, p *pool, q Quota, secure float64, w Want) Grant {
	d.fill(now, p, q)
	p.wants[to] = want{rate: w.Rate, at: now}
	total := p.demand(now)
	wish := w.Rate / q.Rate
	if total > usualShare*q.Rate {
		wish = fullShare * w.Rate / total
	}
	part := max(min(wish, secure-p.grantedAt(now, to)), 0)
	if part*q.Capacity < 1 || w.Rate < minGrantedRate {
		part = 0 // Its bucket would have no token when the next request comes.
	}
	if part > 0 {
		p.granted[to] = append(p.granted[to], span{part: part, until: now.Add(d.timing.Granted)})
	}
	present := max(d.lent(now, now)-p.grantedAt(now, Process{}), 0)
	p.bucket.advance(now, q, 0, present)
	g := Grant{Tenant: w.Tenant, Part: part}
	for g.Tokens < w.Tokens && p.bucket.take() {
		g.Tokens++
	}
	if g.Spare = int(p.bucket.tokens); g.Spare == 0 {
		wait := p.bucket.wait(q, present, 0) * time.Duration(max(len(p.wants), 1)) // Others ask as well.
		g.WaitMs = min(max(wait, minAskWait), maxAskWait).Milliseconds()
	}
	return g
}

const (
	// minAskWait and maxAskWait bound the time after which an instance that got no token asks again. A call is made each
	// second anyway.
	minAskWait = 100 * time.Millisecond
	maxAskWait = time.Second
)

// demand returns the sum of the demand that was stated lately.
func (p *pool) demand(now time.Time) float64 {
	sum := 0.0
	for process, w := range p.wants {
		if now.Sub(w.at) >= wantTime {
			delete(p.wants, process)
			continue
		}
		sum += w.rate
	}
	return sum
}

// Part returns the part of a tenant's quota that is lent to this process and not granted.
func (d *Distributor) Part(now time.Time, tenant identifier.Tenant) float64 {
	p := d.pools[tenant]
	if p == nil {
		return 0
	}
	return max(d.lent(now, now)-p.grantedAt(now, Process{}), 0)
}

// forget drops loans and lenders that are over.
func (d *Distributor) forget(now time.Time) {
	for process, l := range d.lenders {
		// A loan that is over no longer counts for the time before its end, which only delays tokens.
		l.loans = slices.DeleteFunc(l.loans, func(s span) bool { return !s.until.After(now) })
		if now.Sub(l.calledAt) >= forgetAfter {
			delete(d.lenders, process)
		}
	}
}
