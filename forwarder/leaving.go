package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/turmericlift/turmericlift/answerer"
)

// Departure is the course of a planned stop.
type Departure struct {
	// LateFrom is when requests begin to count as late: from then on, only what can be answered before End is sent.
	LateFrom time.Time
	// End is when the last answers are written.
	End time.Time
}

// leavingRetryAfter is the Retry-After time of requests that a stopping instance does not take: another instance can.
const leavingRetryAfter = 100 * time.Millisecond

// Leave makes the Forwarder close each caller's connection after its next answer. CallerKeepAlive later, no caller uses a
// connection any more that was opened before. Requests that may not be answered before the end are refused as not run, and
// those that are still without an answer at the end get one that leaves open whether they ran.
func (f *Forwarder) Leave(d Departure) {
	f.departure.Store(&d)
	time.AfterFunc(d.End.Sub(f.clock()), f.endRequests)
}

// requestContext returns the context of a request: it ends at the deadline, when the caller leaves, and at the end of a
// planned stop.
func (f *Forwarder) requestContext(r *http.Request, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(r.Context(), deadline.Sub(f.clock()))
	stop := context.AfterFunc(f.ended, cancel)
	return ctx, func() { stop(); cancel() }
}

// checkDeparture returns the answer to a request that a stopping instance does not take, or nil. A request that may run once
// only is not sent if its deadline is after the end: its work might outlast this instance. An idempotent one is sent unless it
// is late, since its caller can repeat it.
func (f *Forwarder) checkDeparture(now time.Time, req *activeRequest) *result {
	d := f.departure.Load()
	if d == nil || !req.deadline.After(d.End) || req.route.Idempotent && now.Before(d.LateFrom) {
		return nil
	}
	return &result{code: answerer.CodeStopping, status: http.StatusServiceUnavailable, retryAfter: leavingRetryAfter,
		detail: "the instance stops before the deadline of the request; the request was not sent"}
}
