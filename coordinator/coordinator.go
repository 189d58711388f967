// Package coordinator runs requests on the backend servers that this instance
// coordinates: it checks that the server owns the key, counts the server's slots,
// queues, sends, and says definitely whether a request has run.
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

// Sender sends a request to a backend server.
type Sender interface {
	Send(ctx context.Context, address string, r answerer.Request, f sender.Fencing, maxBody int) answerer.Answer
}

// Guard learns which requests crash backend servers.
type Guard interface {
	Crashed(r answerer.Request)
	Completed(r answerer.Request)
}

// View is what the control loop publishes for the request path.
type View struct {
	Held     map[identifier.BackendServer]granter.Held
	Settings map[identifier.ServiceName]configurer.Effective
}

// Coordinator runs requests. It is safe for concurrent use.
type Coordinator struct {
	sender Sender
	guard  Guard
	clock  func() time.Time
	view   atomic.Pointer[View]
	loads  *loads

	mu     sync.Mutex
	queues map[identifier.BackendServer]*queue
	nextID admitter.ID
}

// queue is the queue of one backend server, with those who wait in it.
type queue struct {
	admitter *admitter.Admitter
	waiting  map[admitter.ID]chan bool // Receives true to start, false when expired.
	running  map[admitter.ID]running
}

// running is a request that the server runs.
type running struct {
	key    identifier.Key
	cancel context.CancelCauseFunc
}

// errLostKey ends the wait for a server that has lost the key to another one.
var errLostKey = errors.New("the backend server has lost the key")

// New returns a Coordinator that coordinates nothing yet.
func New(s Sender, g Guard, clock func() time.Time) *Coordinator {
	c := &Coordinator{sender: s, guard: g, clock: clock, loads: newLoads(), queues: map[identifier.BackendServer]*queue{}}
	c.view.Store(&View{})
	return c
}

// Publish replaces the view of the request path.
func (c *Coordinator) Publish(v *View) {
	c.view.Store(v)
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, held := range v.Held {
		c.tune(id, held, v)
	}
	for id, q := range c.queues {
		if _, ok := v.Held[id]; !ok && len(q.waiting) == 0 && q.admitter.State().Running == 0 {
			delete(c.queues, id)
		}
	}
	for id, q := range c.queues {
		q.cancelLost(v.Held[id])
	}
}

// cancelLost ends the waits for requests whose key another server owns by now: the
// server's lease is over, and an idempotent request can be sent to the new owner.
func (q *queue) cancelLost(held granter.Held) {
	if held.Assignment == nil {
		return
	}
	for _, r := range q.running {
		owner, _, _ := held.Assignment.Owner(held.Assignment.PartitionOf(r.key))
		if owner != held.Server.ID {
			r.cancel(errLostKey)
		}
	}
}

func (c *Coordinator) tune(id identifier.BackendServer, held granter.Held, v *View) {
	s, ok := v.Settings[held.Server.Service]
	if !ok {
		return
	}
	cfg := admitter.Config{Slots: s.Slots, ColdSlots: s.ColdSlots, QueueLength: s.QueueLength}
	q, ok := c.queues[id]
	if !ok {
		q = &queue{admitter.New(cfg), map[admitter.ID]chan bool{}, map[admitter.ID]running{}}
		c.queues[id] = q
	}
	q.admitter.Configure(cfg)
	q.admitter.SeeProcess(held.Process)
	q.admitter.SeeState(held.State == granter.ServerCold)
}

// Handle runs a request on the backend server that it names.
func (c *Coordinator) Handle(ctx context.Context, r answerer.Request) answerer.Answer {
	deadline := c.clock().Add(r.Remaining)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if _, refusal := c.check(r); refusal != nil {
		return *refusal
	}
	id, refusal := c.admit(ctx, r, deadline)
	if refusal != nil {
		return *refusal
	}
	ctx, forget := c.watch(ctx, r, id)
	answer := c.run(ctx, r, deadline)
	forget()
	c.done(r.Server, id, resultOf(answer))
	return answer
}

// watch lets a running request be ended when its server loses the key.
func (c *Coordinator) watch(ctx context.Context, r answerer.Request, id admitter.ID) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.queues[r.Server]
	if !ok {
		return ctx, func() { cancel(nil) }
	}
	q.running[id] = running{r.Key, cancel}
	return ctx, func() {
		c.mu.Lock()
		delete(q.running, id)
		c.mu.Unlock()
		cancel(nil)
	}
}

// permit is the right to send one request.
type permit struct {
	held  granter.Held
	grant granter.Grant
}

// check returns the permit to send a request now, or its refusal.
func (c *Coordinator) check(r answerer.Request) (permit, *answerer.Answer) {
	held, ok := c.view.Load().Held[r.Server]
	if !ok || held.Server.Service != r.Service {
		return permit{}, refuse(answerer.CodeNotCoordinator, string(r.Server))
	}
	if !held.Server.Keyed {
		return permit{held, granter.PoolGrant}, nil
	}
	if held.Assignment == nil {
		return permit{}, refuse(answerer.CodeNoOwner, "no assignment yet")
	}
	p := held.Assignment.PartitionOf(r.Key)
	owner, e, ok := held.Assignment.Owner(p)
	if !ok || owner != r.Server {
		return permit{}, refuse(answerer.CodeNotOwner, string(r.Server))
	}
	if _, moving := held.Assignment.Next(p); moving {
		return permit{}, refuse(answerer.CodeMoving, string(r.Server))
	}
	return permit{held, granter.Grant{Partition: p, Epoch: e}}, nil
}

func refuse(code answerer.Code, detail string) *answerer.Answer {
	a := answerer.Refuse(code, detail)
	return &a
}

// run sends a request whose turn has come, unless the server has lost the key or
// the deadline has passed meanwhile.
func (c *Coordinator) run(ctx context.Context, r answerer.Request, deadline time.Time) answerer.Answer {
	p, refusal := c.check(r)
	if refusal != nil {
		return *refusal
	}
	f := sender.Fencing{Grant: p.grant, Term: p.held.Term}
	if !p.held.Server.ChecksGrants {
		f.Deadline = deadline
		if p.held.ValidUntil.Before(deadline) {
			f.Deadline = p.held.ValidUntil
		}
	}
	if !c.clock().Before(deadline) || !f.Deadline.IsZero() && !c.clock().Before(f.Deadline) {
		return answerer.Refuse(answerer.CodeExpired, "before it was sent")
	}
	c.loads.count(r.Service, p.grant.Partition, r.Key)
	maxBody := c.view.Load().Settings[r.Service].MaxBodyBytes
	answer := c.sender.Send(ctx, p.held.Server.Address, r, f, maxBody)
	if answer.Outcome == answerer.Unknown && errors.Is(context.Cause(ctx), errLostKey) {
		return answerer.Indeterminate(answerer.CodeFenced, errLostKey.Error())
	}
	c.learn(r, answer)
	return answer
}

// learn takes in whether a request may have crashed its backend server.
func (c *Coordinator) learn(r answerer.Request, a answerer.Answer) {
	switch {
	case a.Outcome == answerer.Ran:
		c.guard.Completed(r)
	case a.Code == answerer.CodeBackendBroke:
		c.guard.Crashed(r)
	}
}

func resultOf(a answerer.Answer) admitter.Result {
	switch a.Code {
	case answerer.CodeShed:
		return admitter.Shed
	case answerer.CodeBackendUnreachable, answerer.CodeBackendBroke:
		return admitter.Broke
	case answerer.CodeTimedOut:
		return admitter.Slow
	}
	return admitter.Completed
}

// State returns a view of each server's queue, for dumps.
func (c *Coordinator) State() map[identifier.BackendServer]admitter.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	states := make(map[identifier.BackendServer]admitter.State, len(c.queues))
	for id, q := range c.queues {
		states[id] = q.admitter.State()
	}
	return states
}

// Loads returns the loads since the last call, per service.
func (c *Coordinator) Loads() map[identifier.ServiceName]granter.Loads {
	return c.loads.drain(c.clock())
}
