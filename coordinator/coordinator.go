// Package coordinator runs requests on the backend servers that this instance coordinates. It checks that
// the server owns the request's key, limits the requests that run on the server at a time, queues the
// others, sends requests, and returns answers that say whether the request has run, has not run, or may
// have run.
//
// Start reading at Coordinator.Handle in coordinator.go. queue.go has the wait for a slot of the server,
// loads.go the counts of requests per partition and key.
package coordinator

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericlift/turmericlift/admitter"
	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/sender"
)

// Sender sends a request to the backend server at an address and returns its answer. The answer's body has
// at most maxBody bytes.
type Sender interface {
	SendRequest(ctx context.Context, address string, r answerer.Request, f sender.Fencing, maxBody int) answerer.Answer
}

// CrashRecorder records which requests crash backend servers.
type CrashRecorder interface {
	// RecordCrash records that the connection to the server broke after the request was sent.
	RecordCrash(r answerer.Request)
	// RecordCompletion records that the server answered the request.
	RecordCompletion(r answerer.Request)
}

// View is the state that the control loop publishes for the request path: the backend servers that this
// instance coordinates and the settings of all services. It must not be changed after it was published.
type View struct {
	Servers  map[identifier.BackendServer]granter.CoordinatedServer
	Settings map[identifier.ServiceName]configurer.EffectiveSettings
}

// Coordinator runs requests on the backend servers that an instance coordinates. It is safe for concurrent
// use.
type Coordinator struct {
	sender        Sender
	crashRecorder CrashRecorder
	clock         func() time.Time
	view          atomic.Pointer[View]
	loads         *loadCounter

	mu     sync.Mutex
	queues map[identifier.BackendServer]*queue
	nextID admitter.ID
}

// queue is the queue of one backend server, with the requests that wait for a slot and those that the
// server runs.
type queue struct {
	admitter *admitter.Admitter
	// waiting has a channel for each waiting request. It receives true when the request has a slot, and
	// false when the deadline has passed.
	waiting map[admitter.ID]chan bool
	running map[admitter.ID]runningRequest
}

// runningRequest is a request that the server runs. cancel ends the wait for its answer.
type runningRequest struct {
	key    identifier.Key
	cancel context.CancelCauseFunc
}

// errNotOwner is the cause with which a running request is cancelled when its server no longer owns the
// key.
var errNotOwner = errors.New("the backend server no longer owns the key; the request may have run there")

// New returns a Coordinator that coordinates no backend server until the first Publish.
func New(s Sender, r CrashRecorder, clock func() time.Time) *Coordinator {
	c := &Coordinator{sender: s, crashRecorder: r, clock: clock, loads: newLoadCounter(), queues: map[identifier.BackendServer]*queue{}}
	c.view.Store(&View{})
	return c
}

// Publish replaces the view of the request path and applies it to the queues: it creates and configures
// those of the servers in the view, deletes idle ones of other servers, and cancels running requests whose
// server has lost their key.
func (c *Coordinator) Publish(v *View) {
	c.view.Store(v)
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, coordinated := range v.Servers {
		c.configureQueue(id, coordinated, v)
	}
	for id, q := range c.queues {
		if _, ok := v.Servers[id]; !ok && len(q.waiting) == 0 && q.admitter.State().Running == 0 {
			delete(c.queues, id)
		}
	}
	for id, q := range c.queues {
		q.cancelNotOwned(v.Servers[id])
	}
}

// cancelNotOwned cancels the running requests whose key this server no longer owns. Its lease is over
// then, and an idempotent request can be sent to the new owner.
func (q *queue) cancelNotOwned(coordinated granter.CoordinatedServer) {
	if coordinated.Assignment == nil {
		return
	}
	for _, r := range q.running {
		owner, _, _ := coordinated.Assignment.Owner(coordinated.Assignment.PartitionOf(r.key))
		if owner != coordinated.Server.ID {
			r.cancel(errNotOwner)
		}
	}
}

// configureQueue applies the service's settings and the server's last answer to the queue of a server, and
// creates the queue if there is none. The caller holds c.mu.
func (c *Coordinator) configureQueue(id identifier.BackendServer, coordinated granter.CoordinatedServer, v *View) {
	s, ok := v.Settings[coordinated.Server.Service]
	if !ok {
		return
	}
	cfg := admitter.Config{Slots: s.Slots, ColdSlots: s.ColdSlots, QueueLength: s.QueueLength}
	q, ok := c.queues[id]
	if !ok {
		q = &queue{admitter.New(cfg), map[admitter.ID]chan bool{}, map[admitter.ID]runningRequest{}}
		c.queues[id] = q
	}
	q.admitter.Configure(cfg)
	q.admitter.SetIncarnation(coordinated.Incarnation)
	q.admitter.SetReportsCold(coordinated.State == granter.ServerCold)
}

// Handle runs a request on the backend server that r.Server names and returns the answer. It refuses the
// request if this instance does not coordinate the server or the server does not own the key, or if the
// queue is full or r.Remaining ends before the request is sent.
func (c *Coordinator) Handle(ctx context.Context, r answerer.Request) answerer.Answer {
	deadline := c.clock().Add(r.Remaining)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if _, refusal := c.authorise(r); refusal != nil {
		return *refusal
	}
	id, refusal := c.admit(ctx, r, deadline)
	if refusal != nil {
		return *refusal
	}
	ctx, unregister := c.registerRunning(ctx, r, id)
	answer := c.sendAdmitted(ctx, r, deadline)
	unregister()
	c.releaseSlot(r.Server, id, resultOf(answer))
	return answer
}

// registerRunning registers a running request, so that cancelNotOwned can end it. It returns the context to
// run it with and a function that removes the request and must be called when it has ended.
func (c *Coordinator) registerRunning(ctx context.Context, r answerer.Request, id admitter.ID) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.queues[r.Server]
	if !ok {
		return ctx, func() { cancel(nil) }
	}
	q.running[id] = runningRequest{r.Key, cancel}
	return ctx, func() {
		c.mu.Lock()
		delete(q.running, id)
		c.mu.Unlock()
		cancel(nil)
	}
}

// authorisation is the right to send one request: the server that runs it and the grant under which it
// does.
type authorisation struct {
	coordinated granter.CoordinatedServer
	grant       granter.Grant
}

// authorise checks by the view whether the request's server may run it now: this instance coordinates the
// server, and the server owns the key's partition, which is not about to move. It returns the answer to a
// request that may not be sent.
func (c *Coordinator) authorise(r answerer.Request) (authorisation, *answerer.Answer) {
	coordinated, ok := c.view.Load().Servers[r.Server]
	if !ok || coordinated.Server.Service != r.Service {
		return authorisation{}, refuse(answerer.CodeNotCoordinator, string(r.Server))
	}
	if !coordinated.Server.Keyed {
		return authorisation{coordinated, granter.PoolGrant}, nil
	}
	if coordinated.Assignment == nil {
		return authorisation{}, refuse(answerer.CodeNoOwner, "the service has no assignment of partitions yet")
	}
	p := coordinated.Assignment.PartitionOf(r.Key)
	owner, e, ok := coordinated.Assignment.Owner(p)
	if !ok || owner != r.Server {
		return authorisation{}, refuse(answerer.CodeNotOwner, string(r.Server))
	}
	if _, moving := coordinated.Assignment.NextOwner(p); moving {
		return authorisation{}, refuse(answerer.CodeMoving, string(r.Server))
	}
	return authorisation{coordinated, granter.Grant{Partition: p, Epoch: e}}, nil
}

// refuse returns a pointer to the answer to a request that has not run.
func refuse(code answerer.Code, detail string) *answerer.Answer {
	a := answerer.Refuse(code, detail)
	return &a
}

// sendAdmitted sends a request that has a slot of its server, unless the server has lost the key or the
// deadline has passed while the request waited.
func (c *Coordinator) sendAdmitted(ctx context.Context, r answerer.Request, deadline time.Time) answerer.Answer {
	auth, refusal := c.authorise(r)
	if refusal != nil {
		return *refusal
	}
	f := sender.Fencing{Grant: auth.grant, Term: auth.coordinated.Term}
	if !auth.coordinated.Server.ChecksGrants {
		f.Deadline = deadline
		if auth.coordinated.ValidUntil.Before(deadline) {
			f.Deadline = auth.coordinated.ValidUntil
		}
	}
	if !c.clock().Before(deadline) || !f.Deadline.IsZero() && !c.clock().Before(f.Deadline) {
		return answerer.Refuse(answerer.CodeExpired, "the deadline or the server's lease ended before the request was sent")
	}
	c.loads.count(r.Service, auth.grant.Partition, r.Key)
	maxBody := c.view.Load().Settings[r.Service].MaxBodyBytes
	answer := c.sender.SendRequest(ctx, auth.coordinated.Server.Address, r, f, maxBody)
	if answer.Outcome == answerer.Unknown && errors.Is(context.Cause(ctx), errNotOwner) {
		return answerer.Indeterminate(answerer.CodeFenced, errNotOwner.Error())
	}
	c.recordRunResult(r, answer)
	return answer
}

// recordRunResult records for the quarantine that a request has run, or that it may have crashed its
// backend server.
func (c *Coordinator) recordRunResult(r answerer.Request, a answerer.Answer) {
	switch {
	case a.Outcome == answerer.Ran:
		c.crashRecorder.RecordCompletion(r)
	case a.Code == answerer.CodeBackendBroke:
		c.crashRecorder.RecordCrash(r)
	}
}

// resultOf returns how an answer counts for the limit of requests that the server runs at a time.
func resultOf(a answerer.Answer) admitter.Result {
	switch a.Code {
	case answerer.CodeShed:
		return admitter.Shed
	case answerer.CodeBackendUnreachable, answerer.CodeBackendBroke:
		return admitter.ConnectionFailed
	case answerer.CodeTimedOut:
		return admitter.DeadlinePassed
	}
	return admitter.Completed
}

// QueueStates returns the state of the queue of each backend server, for the dump of an instance.
func (c *Coordinator) QueueStates() map[identifier.BackendServer]admitter.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	states := make(map[identifier.BackendServer]admitter.State, len(c.queues))
	for id, q := range c.queues {
		states[id] = q.admitter.State()
	}
	return states
}

// DrainLoads returns, per service, the requests per second of each partition and of the keys with the most
// requests, since the last call. The first call returns an empty map, as the start of its period is not known.
func (c *Coordinator) DrainLoads() map[identifier.ServiceName]granter.Loads {
	return c.loads.drain(c.clock())
}
