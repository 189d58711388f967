package rentier

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// Timing has the times by which parts of quotas are lent and granted.
type Timing struct {
	Loan    time.Duration // By the distributor's clock, from the number that a loan echoes to the loan's end.
	Lent    time.Duration // By the lender's clock, from its receipt of the number: it does not use its part until then.
	Grant   time.Duration // By the grantee's clock, from the sending of its call to the end of the grant.
	Granted time.Duration // By the distributor's clock, from the receipt of the call: the grant may be in use until then.
	Token   time.Duration // By the grantee's clock, from the sending of its call: a token is used by then or lost.
	// Settle is for how long an instance must have been settled, and its process must have run, before it uses or lends
	// its part. Loans of its former process, and of instances that did not count it, are over by then.
	Settle time.Duration
}

const (
	// clockMargin is the largest difference in speed between two clocks.
	clockMargin = 0.02
	// loanTime is the time of two calls, one of which may be lost, and of a grant from the second.
	loanTime  = 4 * time.Second
	grantTime = 1500 * time.Millisecond
	tokenTime = 250 * time.Millisecond
	// MaxLent is the longest time for which a part that is lent may be in use by others.
	MaxLent = loanTime + time.Duration(clockMargin*float64(loanTime))
)

// DefaultTiming returns the times that are used between instances. A call is made each second, so a loan and a grant
// outlive one call that is lost.
func DefaultTiming() Timing {
	return Timing{
		Loan: loanTime, Lent: MaxLent, Grant: grantTime, Granted: grantTime + time.Duration(clockMargin*float64(grantTime)),
		Token: tokenTime, Settle: MaxLent + time.Duration(clockMargin*float64(MaxLent)),
	}
}

// Quota is the bound on the requests of a tenant. In any window the requests sent are at most the rate times the window,
// and the capacity, and the rate times Timing.Token.
type Quota struct {
	Tenant   identifier.Tenant
	Rate     float64 // Requests a second.
	Capacity float64 // Requests that may be sent at once.
}

// Process names a process of an instance.
type Process struct {
	_           struct{} `cbor:",toarray"`
	Instance    identifier.Instance
	Incarnation identifier.Incarnation
}

// Call is what an instance sends to the distributor.
type Call struct {
	From   Process
	To     Process // The process that gave the number; zero if there is none.
	Number uint64
	Loan   float64 // The part of all quotas that is lent; 0 for none.
	LoanMs int64   // The longest time from the number to the end of the loan; 0 for Timing.Loan.
	Wants  []Want
	Return bool // The process that the call is sent to must end what the sender lent to it.
}

// Want is the demand for a tenant at one instance.
type Want struct {
	_      struct{} `cbor:",toarray"`
	Tenant identifier.Tenant
	Rate   float64 // Requests a second that the instance was asked to send.
	Tokens int     // Requests that wait for a token now.
}

// Answer is the distributor's answer to a Call.
type Answer struct {
	From   Process
	Number uint64  // To be echoed by the next call.
	Pool   float64 // The part of all quotas that is lent to the distributor.
	// Returned says that the loan has ended, and that nothing granted from it is in use later than Timing.Granted.
	Returned bool
	Grants   []Grant
}

// Grant is what an instance gets for a tenant that it wants.
type Grant struct {
	_      struct{} `cbor:",toarray"`
	Tenant identifier.Tenant
	Part   float64 // The part of the quota, for Timing.Grant.
	Tokens int     // Requests that may be sent at once.
	Spare  int     // Tokens that the distributor has left.
	WaitMs int64   // When the distributor may have a token again; 0 if it has some.
}
