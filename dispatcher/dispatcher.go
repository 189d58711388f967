// Package dispatcher takes a caller's request through the system: it finds the
// backend server and its coordinator, sends the request there, and tries again only
// after a refusal that proves that the request has not run, or if the request is
// idempotent.
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

// Coordinator runs a request on a backend server that this instance coordinates.
type Coordinator interface {
	Handle(ctx context.Context, r answerer.Request) answerer.Answer
}

// Recorder sees to it that a request that may not be repeated runs once at most.
type Recorder interface {
	Begin(ctx context.Context, r answerer.Request, s configurer.Effective) (journaler.Verdict, recorder.Ticket)
	End(ctx context.Context, t recorder.Ticket, a answerer.Answer)
}

// Guard knows the requests that crash backend servers.
type Guard interface {
	Blocked(r answerer.Request) bool
}

// Caller sends a request to another instance. A transporter.UnreachableError says
// that the other has not got it.
type Caller interface {
	Call(ctx context.Context, address string, kind transporter.Kind, data []byte) ([]byte, error)
}

// View is what the control loop publishes for the request path.
type View struct {
	Table *router.Table
	Peers map[identifier.Instance]prober.Peer
}

const (
	// firstPause is the wait before the first retry; each further one doubles it.
	firstPause = 5 * time.Millisecond
	// longestPause bounds the wait before a retry.
	longestPause = 100 * time.Millisecond
)

// Dispatcher takes requests through the system. It is safe for concurrent use.
type Dispatcher struct {
	self     prober.Peer
	local    Coordinator
	recorder Recorder
	guard    Guard
	caller   Caller
	tasks    *supervisor.Group
	clock    func() time.Time
	view     atomic.Pointer[View]

	mu      sync.Mutex
	pools   map[identifier.ServiceName]*pool
	budgets map[identifier.ServiceName]*budget
}

// pool guards one service's Pool.
type pool struct {
	mu   sync.Mutex
	pool *router.Pool
}

// Parts are what a Dispatcher works with.
type Parts struct {
	Self     prober.Peer
	Local    Coordinator
	Recorder Recorder
	Guard    Guard
	Caller   Caller
	Tasks    *supervisor.Group // Runs the attempts at pool requests.
	Clock    func() time.Time
}

// New returns the Dispatcher of an instance.
func New(p Parts) *Dispatcher {
	d := &Dispatcher{
		self: p.Self, local: p.Local, recorder: p.Recorder, guard: p.Guard, caller: p.Caller, tasks: p.Tasks, clock: p.Clock,
		pools: map[identifier.ServiceName]*pool{}, budgets: map[identifier.ServiceName]*budget{},
	}
	d.view.Store(&View{Table: &router.Table{}})
	return d
}

// Publish replaces the view of the request path.
func (d *Dispatcher) Publish(v *View) { d.view.Store(v) }

// Table returns the router's table in use.
func (d *Dispatcher) Table() *router.Table { return d.view.Load().Table }

// Dispatch runs a request and returns its definite answer. r.Remaining is the time
// that the caller gives it.
func (d *Dispatcher) Dispatch(ctx context.Context, r answerer.Request) answerer.Answer {
	deadline := d.clock().Add(r.Remaining)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if d.guard.Blocked(r) {
		return answerer.Refuse(answerer.CodeQuarantined, "requests like this one have crashed backend servers")
	}
	if r.Idempotent {
		return d.attempts(ctx, r, deadline)
	}
	return d.once(ctx, r, deadline)
}

// once runs a request that may not be repeated, if nobody has run it before.
func (d *Dispatcher) once(ctx context.Context, r answerer.Request, deadline time.Time) answerer.Answer {
	s, ok := d.Table().Find(r.Service)
	if !ok {
		return answerer.Refuse(answerer.CodeUnknownService, r.Service.String())
	}
	verdict, ticket := d.recorder.Begin(ctx, r, s.Settings)
	if verdict.Decision != journaler.Run {
		return refusalOf(verdict)
	}
	answer := d.attempts(ctx, r, deadline)
	d.recorder.End(ctx, ticket, answer)
	return answer
}

// refusalOf returns the answer to a request that is not run now.
func refusalOf(v journaler.Verdict) answerer.Answer {
	switch v.Decision {
	case journaler.Repeated:
		return v.Answer
	case journaler.InDoubt:
		return answerer.Indeterminate(answerer.CodeInDoubt, "it may have run before")
	case journaler.Reused:
		return answerer.Refuse(answerer.CodeRequestIDReused, "the ID was used for another request")
	case journaler.Late:
		return answerer.Refuse(answerer.CodeExpired, "before it was recorded")
	case journaler.Overfull:
		return answerer.Refuse(answerer.CodeJournalFull, "send it again later")
	case journaler.TooOld:
		return answerer.Indeterminate(answerer.CodeRequestIDTooOld, "its outcome is not kept any more")
	case journaler.Run, journaler.Unavailable:
	}
	return answerer.Refuse(answerer.CodeNotRecorded, "the platform does not answer")
}

// attempts runs a request, and again after refusals.
func (d *Dispatcher) attempts(ctx context.Context, r answerer.Request, deadline time.Time) answerer.Answer {
	d.budget(r.Service).first()
	pause := firstPause
	for {
		answer := d.attempt(ctx, r, deadline)
		if !d.again(r, answer) || !d.pause(ctx, pause) {
			return answer
		}
		pause = min(2*pause, longestPause)
	}
}

// attempt sends a request once; a pool request may be hedged.
func (d *Dispatcher) attempt(ctx context.Context, r answerer.Request, deadline time.Time) answerer.Answer {
	s, ok := d.Table().Find(r.Service)
	if !ok {
		return answerer.Refuse(answerer.CodeUnknownService, r.Service.String())
	}
	if !s.Settings.Keyed {
		return d.attemptPool(ctx, r, s, deadline)
	}
	route, code := s.RouteKey(r.Key)
	if code != answerer.CodeOK {
		return answerer.Refuse(code, string(r.Key))
	}
	r.Server = route.Server
	return d.send(ctx, r, route.Coordinator, deadline)
}

// again reports whether a request should be tried once more.
func (d *Dispatcher) again(r answerer.Request, a answerer.Answer) bool {
	switch {
	case a.Outcome == answerer.Ran:
		return false
	case a.Outcome == answerer.Unknown && (!r.Idempotent || a.Code == answerer.CodeCancelled || a.Code == answerer.CodeAnswerTooLarge):
		return false
	}
	switch a.Code {
	case answerer.CodeNoOwner, answerer.CodeNotCoordinator, answerer.CodeNotOwner, answerer.CodeMoving,
		answerer.CodeFenced, answerer.CodeNoCoordinator, answerer.CodeNoBackendServer:
		return true // Nothing reached a backend server's slots: no load to bound.
	case answerer.CodeBackendUnreachable, answerer.CodeBackendBroke, answerer.CodePeerUnreachable,
		answerer.CodePeerBroke, answerer.CodeShed:
		return d.budget(r.Service).retry(d.retryPercent(r.Service))
	}
	return false
}

func (d *Dispatcher) retryPercent(s identifier.ServiceName) int {
	service, ok := d.Table().Find(s)
	if !ok {
		return 0
	}
	return service.Settings.RetryPercent
}

// pause waits with jitter and reports whether there is time left for another try.
func (d *Dispatcher) pause(ctx context.Context, most time.Duration) bool {
	wait := most/2 + time.Duration(rand.Int64N(int64(most/2)+1))
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

// send sends a request to a coordinator with the time that is left.
func (d *Dispatcher) send(ctx context.Context, r answerer.Request, to identifier.Instance, deadline time.Time) answerer.Answer {
	r.Remaining = deadline.Sub(d.clock())
	if r.Remaining <= 0 {
		return answerer.Refuse(answerer.CodeExpired, "before it was sent to the coordinator")
	}
	return d.sendTo(ctx, r, to)
}

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
		return lost(ctx, err)
	}
	var answer answerer.Answer
	if err := cbor.Unmarshal(reply, &answer); err != nil || !answer.Outcome.Valid() {
		return answerer.Indeterminate(answerer.CodeBadPeerMessage, string(to))
	}
	return answer
}

func lost(ctx context.Context, err error) answerer.Answer {
	var unreachable *transporter.UnreachableError
	if errors.As(err, &unreachable) {
		return answerer.Refuse(answerer.CodePeerUnreachable, err.Error())
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return answerer.Indeterminate(answerer.CodeCancelled, "the caller went away")
	}
	return answerer.Indeterminate(answerer.CodePeerBroke, err.Error())
}

// Serve answers another instance's encoded request.
func (d *Dispatcher) Serve(ctx context.Context, data []byte) []byte {
	var r answerer.Request
	answer := answerer.Refuse(answerer.CodeBadPeerMessage, "the request does not decode")
	if err := cbor.Unmarshal(data, &r); err == nil {
		answer = d.local.Handle(ctx, r)
	}
	reply, err := cbor.Marshal(answer)
	if err != nil {
		return nil // An answer that does not decode leaves the outcome in doubt.
	}
	return reply
}

func (d *Dispatcher) budget(s identifier.ServiceName) *budget {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.budgets[s]
	if !ok {
		b = &budget{}
		d.budgets[s] = b
	}
	return b
}

// budget bounds retries to a share of first attempts.
type budget struct {
	mu       sync.Mutex
	attempts int
	retries  int
}

// budgetWindow is the number of attempts after which a budget forgets half.
const budgetWindow = 1000

// freeRetries may be taken from an unused budget, so that a few requests in a quiet
// service can be retried too.
const freeRetries = 10

func (b *budget) first() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts++
	if b.attempts > budgetWindow {
		b.attempts /= 2
		b.retries /= 2
	}
}

func (b *budget) retry(percent int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retries*100 >= percent*b.attempts+freeRetries*100 {
		return false
	}
	b.retries++
	return true
}
