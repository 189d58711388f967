// Package dispatcher runs a caller's request at the instance that received it from the caller. It finds
// the backend server that can run the request and the instance that coordinates that server, and sends the
// request to that coordinator. A request that is not idempotent is sent again only after a refusal that
// proves that it has not run; an idempotent one also after an attempt with an unknown outcome.
//
// Start reading at Dispatcher.Dispatch in dispatcher.go. The requests of a pool service, which is one that
// is not divided by key, can run on any of its servers; hedge.go makes the attempts at these.
package dispatcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/journaler"
	"github.com/turmericlift/turmericlift/prober"
	"github.com/turmericlift/turmericlift/recorder"
	"github.com/turmericlift/turmericlift/router"
	"github.com/turmericlift/turmericlift/supervisor"
	"github.com/turmericlift/turmericlift/transporter"
)

// Coordinator runs requests on the backend servers that this instance coordinates.
type Coordinator interface {
	Handle(ctx context.Context, r answerer.Request) answerer.Answer
}

// Recorder makes sure that a request that is not idempotent runs at most once. Begin records the request
// before it runs and decides whether it may run; End records its answer, with the permit that Begin
// returned.
type Recorder interface {
	Begin(ctx context.Context, r answerer.Request, s configurer.EffectiveSettings) (journaler.BeginResult, recorder.RunPermit)
	End(ctx context.Context, p recorder.RunPermit, a answerer.Answer)
}

// Quarantine identifies requests that are quarantined because requests like them have crashed backend servers.
type Quarantine interface {
	Blocked(r answerer.Request) bool
}

// Caller sends an encoded request to another instance and returns the encoded answer. A
// transporter.UnreachableError means that the other instance has not received the request; after any other
// error it may have.
type Caller interface {
	Call(ctx context.Context, address string, kind transporter.Kind, data []byte) ([]byte, error)
}

// View is the state that the control loop publishes for the request path: the routing table and the other
// instances by name. It must not be changed after it was published.
type View struct {
	Table *router.Table
	Peers map[identifier.Instance]prober.Peer
}

const (
	// firstRetryDelay bounds the delay before the first retry; the bound doubles with each further retry.
	firstRetryDelay = 5 * time.Millisecond
	// maxRetryDelay is the highest bound of the delay before a retry.
	maxRetryDelay = 100 * time.Millisecond
)

// Dispatcher runs callers' requests, each at the backend server that can run it. It is safe for concurrent
// use.
type Dispatcher struct {
	self       prober.Peer
	local      Coordinator
	recorder   Recorder
	quarantine Quarantine
	caller     Caller
	tasks      *supervisor.Group
	clock      func() time.Time
	view       atomic.Pointer[View]

	mu           sync.Mutex
	balancers    map[identifier.ServiceName]*lockedBalancer
	retryBudgets map[identifier.ServiceName]*retryBudget
}

// lockedBalancer chooses the servers for the requests of one pool service, under a mutex.
type lockedBalancer struct {
	mu       sync.Mutex
	balancer *router.PoolBalancer
}

// Dependencies are the dependencies of a Dispatcher.
type Dependencies struct {
	Self             prober.Peer
	LocalCoordinator Coordinator
	Recorder         Recorder
	Quarantine       Quarantine
	Caller           Caller
	Tasks            *supervisor.Group // Runs the attempts at requests of pool services.
	Clock            func() time.Time
}

// New returns the Dispatcher of an instance. It refuses all requests as for an unknown service until the
// first Publish.
func New(deps Dependencies) *Dispatcher {
	d := &Dispatcher{
		self: deps.Self, local: deps.LocalCoordinator, recorder: deps.Recorder, quarantine: deps.Quarantine,
		caller: deps.Caller, tasks: deps.Tasks, clock: deps.Clock,
		balancers: map[identifier.ServiceName]*lockedBalancer{}, retryBudgets: map[identifier.ServiceName]*retryBudget{},
	}
	d.view.Store(&View{Table: &router.Table{}})
	return d
}

// Publish replaces the view that requests are routed by.
func (d *Dispatcher) Publish(v *View) { d.view.Store(v) }

// Table returns the routing table in use.
func (d *Dispatcher) Table() *router.Table { return d.view.Load().Table }

// Dispatch runs a request and returns its final answer: it has run, it has not run, or that is unknown.
// r.Remaining is the time until the caller's deadline; Dispatch stops trying then.
func (d *Dispatcher) Dispatch(ctx context.Context, r answerer.Request) answerer.Answer {
	deadline := d.clock().Add(r.Remaining)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if d.quarantine.Blocked(r) {
		return answerer.Refuse(answerer.CodeQuarantined,
			"requests with the same service, key, method, path and body have crashed backend servers; this one was not sent")
	}
	if r.Idempotent {
		return d.runWithRetries(ctx, r, deadline)
	}
	return d.dispatchRecorded(ctx, r, deadline)
}

// dispatchRecorded runs a request that is not idempotent, if the journal of its service shows that it has
// not run before, and records its answer there.
func (d *Dispatcher) dispatchRecorded(ctx context.Context, r answerer.Request, deadline time.Time) answerer.Answer {
	s, ok := d.Table().Find(r.Service)
	if !ok {
		return answerer.Refuse(answerer.CodeUnknownService, r.Service.String())
	}
	result, permit := d.recorder.Begin(ctx, r, s.Settings)
	if result.Decision != journaler.Run {
		return answerToBeginResult(result)
	}
	answer := d.runWithRetries(ctx, r, deadline)
	d.recorder.End(ctx, permit, answer)
	return answer
}

// answerToBeginResult returns the answer to a request that the journal does not allow to run now.
func answerToBeginResult(result journaler.BeginResult) answerer.Answer {
	switch result.Decision {
	case journaler.AlreadyRan:
		return result.Answer
	case journaler.InDoubt:
		return answerer.Indeterminate(answerer.CodeInDoubt, "a request with this Idempotency-Key may have run before; it is not run again")
	case journaler.IDReused:
		return answerer.Refuse(answerer.CodeRequestIDReused, "the Idempotency-Key was used before for a different request")
	case journaler.DeadlineExceeded:
		return answerer.Refuse(answerer.CodeExpired, "the deadline passed before the request was recorded")
	case journaler.JournalFull:
		return answerer.Refuse(answerer.CodeJournalFull, "the journal has no space for another request; retry later")
	case journaler.IDTooOld:
		return answerer.Indeterminate(answerer.CodeRequestIDTooOld, "the Idempotency-Key is older than the time for which outcomes are kept")
	case journaler.Run, journaler.Unavailable:
	}
	return answerer.Refuse(answerer.CodeNotRecorded, "the request could not be recorded: the platform does not answer")
}

// runWithRetries makes attempts at a request until one gets an answer that must not be retried, or until
// too little time is left for another one. It returns the answer to the last attempt.
func (d *Dispatcher) runWithRetries(ctx context.Context, r answerer.Request, deadline time.Time) answerer.Answer {
	d.retryBudget(r.Service).recordRequest()
	delay := firstRetryDelay
	for {
		answer := d.runAttempt(ctx, r, deadline)
		if !d.shouldRetry(r, answer) || !d.waitForRetry(ctx, delay) {
			return answer
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// runAttempt routes and sends a request once. An attempt at a request of a pool service may be hedged.
func (d *Dispatcher) runAttempt(ctx context.Context, r answerer.Request, deadline time.Time) answerer.Answer {
	s, ok := d.Table().Find(r.Service)
	if !ok {
		return answerer.Refuse(answerer.CodeUnknownService, r.Service.String())
	}
	if !s.Settings.Keyed {
		return d.runPoolAttempt(ctx, r, s, deadline)
	}
	route, code := s.RouteKey(r.Key)
	if code != answerer.CodeOK {
		return answerer.Refuse(code, string(r.Key))
	}
	r.Server = route.Server
	return d.send(ctx, r, route.Coordinator, deadline)
}

// shouldRetry reports whether a request should be tried once more after an answer. It counts a retry
// against the service's retry budget where the failed attempt may have put load on a backend server or an
// instance.
func (d *Dispatcher) shouldRetry(r answerer.Request, a answerer.Answer) bool {
	switch {
	case a.Outcome == answerer.Ran:
		return false
	case a.Outcome == answerer.Unknown && (!r.Idempotent || a.Code == answerer.CodeCancelled || a.Code == answerer.CodeAnswerTooLarge):
		return false
	}
	switch a.Code {
	case answerer.CodeNoOwner, answerer.CodeNotCoordinator, answerer.CodeNotOwner, answerer.CodeMoving,
		answerer.CodeFenced, answerer.CodeNoCoordinator, answerer.CodeNoBackendServer:
		return true // The attempt used no slot of a backend server, so the retry budget does not apply.
	case answerer.CodeBackendUnreachable, answerer.CodeBackendBroke, answerer.CodePeerUnreachable,
		answerer.CodePeerBroke, answerer.CodeShed:
		return d.retryBudget(r.Service).allowRetry(d.retryPercent(r.Service))
	}
	return false
}

// retryPercent returns the service's RetryPercent setting, or 0 for an unknown service.
func (d *Dispatcher) retryPercent(s identifier.ServiceName) int {
	service, ok := d.Table().Find(s)
	if !ok {
		return 0
	}
	return service.Settings.RetryPercent
}

// waitForRetry waits for a random time between half of maxWait and maxWait. It returns false, at once or
// when ctx ends, if the deadline of ctx does not leave enough time for the wait.
func (d *Dispatcher) waitForRetry(ctx context.Context, maxWait time.Duration) bool {
	wait := maxWait/2 + time.Duration(rand.Int64N(int64(maxWait/2)+1))
	if deadline, ok := ctx.Deadline(); ok && d.clock().Add(wait).After(deadline) {
		return false
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// send sends a request to its coordinator with the time that is left until deadline. It refuses the
// request if the deadline has passed.
func (d *Dispatcher) send(ctx context.Context, r answerer.Request, to identifier.Instance, deadline time.Time) answerer.Answer {
	r.Remaining = deadline.Sub(d.clock())
	if r.Remaining <= 0 {
		return answerer.Refuse(answerer.CodeExpired, "the deadline passed before the request was sent to the coordinator")
	}
	return d.sendTo(ctx, r, to)
}

// sendTo runs a request at the instance named to: this one directly, another one by a call.
func (d *Dispatcher) sendTo(ctx context.Context, r answerer.Request, to identifier.Instance) answerer.Answer {
	if to == d.self.Instance {
		return d.local.Handle(ctx, r)
	}
	peer, ok := d.view.Load().Peers[to]
	if !ok {
		return answerer.Refuse(answerer.CodePeerUnreachable, string(to))
	}
	data, err := cbor.Marshal(r)
	if err != nil {
		return answerer.Refuse(answerer.CodeBadRequest, err.Error())
	}
	reply, err := d.caller.Call(ctx, peer.Address, transporter.KindRequest, data)
	if err != nil {
		return answerToCallError(ctx, err)
	}
	var answer answerer.Answer
	if err := cbor.Unmarshal(reply, &answer); err != nil || !answer.Outcome.Valid() {
		return answerer.Indeterminate(answerer.CodeBadPeerMessage, string(to))
	}
	return answer
}

// answerToCallError returns the answer to a request whose call to its coordinator failed. The request has
// not run only if the coordinator did not receive it.
func answerToCallError(ctx context.Context, err error) answerer.Answer {
	var unreachable *transporter.UnreachableError
	if errors.As(err, &unreachable) {
		return answerer.Refuse(answerer.CodePeerUnreachable, err.Error())
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return answerer.Indeterminate(answerer.CodeCancelled, "the caller cancelled the request after it was sent to the coordinator")
	}
	return answerer.Indeterminate(answerer.CodePeerBroke, err.Error())
}

// Serve runs another instance's encoded request on a backend server that this instance coordinates, and
// returns the encoded answer. The answer to data that does not decode is a refusal. Serve returns nil if
// the answer cannot be encoded.
func (d *Dispatcher) Serve(ctx context.Context, data []byte) []byte {
	var r answerer.Request
	answer := answerer.Refuse(answerer.CodeBadPeerMessage, "the request from the other instance does not decode")
	if err := cbor.Unmarshal(data, &r); err == nil {
		answer = d.local.Handle(ctx, r)
	}
	reply, err := cbor.Marshal(answer)
	if err != nil {
		return nil // The other instance cannot decode this and treats the outcome as unknown.
	}
	return reply
}

// retryBudget returns the retry budget of a service and creates it if there is none.
func (d *Dispatcher) retryBudget(s identifier.ServiceName) *retryBudget {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.retryBudgets[s]
	if !ok {
		b = &retryBudget{}
		d.retryBudgets[s] = b
	}
	return b
}

// retryBudget bounds the retries of one service to a percentage of its requests.
type retryBudget struct {
	mu       sync.Mutex
	requests int
	retries  int
}

// retryBudgetWindow is the number of requests after which both counts of a retryBudget are halved, so that
// recent requests have the greater weight.
const retryBudgetWindow = 1000

// freeRetries is the number of retries that a budget allows beyond the percentage, so that a service with
// few requests can retry too.
const freeRetries = 10

// recordRequest counts a request that is about to make its first attempt.
func (b *retryBudget) recordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++
	if b.requests > retryBudgetWindow {
		b.requests /= 2
		b.retries /= 2
	}
}

// allowRetry counts a retry and returns true, or returns false if percent of the requests are used up for
// retries.
func (b *retryBudget) allowRetry(percent int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retries*100 >= percent*b.requests+freeRetries*100 {
		return false
	}
	b.retries++
	return true
}
