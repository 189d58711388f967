package coordinator

import (
	"context"
	"time"

	"github.com/turmericlift/turmericlift/admitter"
	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/identifier"
)

// admit waits until the request has a slot of its server and returns the ID under which the slot is held.
// The answer is nil then, otherwise it says why the request was not admitted.
func (c *Coordinator) admit(ctx context.Context, r answerer.Request, deadline time.Time) (admitter.ID, *answerer.Answer) {
	c.mu.Lock()
	q, ok := c.queues[r.Server]
	if !ok {
		c.mu.Unlock()
		return 0, refuse(answerer.CodeNotCoordinator, string(r.Server))
	}
	c.nextID++
	id := c.nextID
	flow := admitter.Flow{Organisation: r.Service.Organisation, Key: r.Key}
	verdict := q.admitter.Admit(c.clock(), id, flow, deadline)
	var started chan bool
	if verdict == admitter.Wait {
		started = make(chan bool, 1)
		q.waiting[id] = started
	}
	c.mu.Unlock()
	switch verdict {
	case admitter.Start:
		return id, nil
	case admitter.Wait:
		return id, c.awaitSlot(ctx, r.Server, q, id, started)
	case admitter.QueueFull:
		return 0, refuse(answerer.CodeQueueFull, string(r.Server))
	case admitter.Expired:
	}
	return 0, refuse(answerer.CodeExpired, "the deadline passed before the request was queued")
}

// awaitSlot waits until a queued request has a slot, and returns nil then. It returns the answer to a
// request that expired or was cancelled first.
func (c *Coordinator) awaitSlot(ctx context.Context, b identifier.BackendServer, q *queue, id admitter.ID, started chan bool) *answerer.Answer {
	select {
	case start := <-started:
		if start {
			return nil
		}
		return refuse(answerer.CodeExpired, "the deadline passed while the request was queued")
	case <-ctx.Done():
	}
	c.mu.Lock()
	stillWaiting := q.admitter.Cancel(id)
	delete(q.waiting, id)
	c.mu.Unlock()
	if !stillWaiting && <-started {
		c.releaseSlot(b, id, admitter.Completed) // The request got a slot at the same moment; give it back.
	}
	if ctx.Err() == context.DeadlineExceeded {
		return refuse(answerer.CodeExpired, "the deadline passed while the request was queued")
	}
	return refuse(answerer.CodeCancelled, "the caller cancelled the request while it was queued")
}

// releaseSlot ends the use of a slot and starts the requests that can run next.
func (c *Coordinator) releaseSlot(b identifier.BackendServer, id admitter.ID, r admitter.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.queues[b]
	if !ok {
		return
	}
	c.notifyWaiting(q, q.admitter.RecordResult(c.clock(), id, r))
}

// notifyWaiting notifies the waiting requests that a decision names.
func (c *Coordinator) notifyWaiting(q *queue, d admitter.Decision) {
	for _, id := range d.Start {
		q.notify(id, true)
	}
	for _, id := range d.Expired {
		q.notify(id, false)
	}
}

// notify notifies one waiting request: it has a slot if start is set, otherwise its deadline has passed.
func (q *queue) notify(id admitter.ID, start bool) {
	if started, ok := q.waiting[id]; ok {
		delete(q.waiting, id)
		started <- start
	}
}

// ExpireQueued refuses the queued requests whose deadline has passed and starts those that can run next. It must
// be called regularly.
func (c *Coordinator) ExpireQueued() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range c.queues {
		c.notifyWaiting(q, q.admitter.StartQueued(c.clock()))
	}
}
