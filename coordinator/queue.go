package coordinator

import (
	"context"
	"time"

	"github.com/turmericlift/turmericlift/admitter"
	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/identifier"
)

// admit waits for a slot of the server.
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
	verdict := q.admitter.Arrive(c.clock(), id, flow, deadline)
	var turn chan bool
	if verdict == admitter.Wait {
		turn = make(chan bool, 1)
		q.waiting[id] = turn
	}
	c.mu.Unlock()
	switch verdict {
	case admitter.Start:
		return id, nil
	case admitter.Wait:
		return id, c.wait(ctx, r.Server, q, id, turn)
	case admitter.Full:
		return 0, refuse(answerer.CodeQueueFull, string(r.Server))
	case admitter.Expired:
	}
	return 0, refuse(answerer.CodeExpired, "before it was queued")
}

func (c *Coordinator) wait(ctx context.Context, b identifier.BackendServer, q *queue, id admitter.ID, turn chan bool) *answerer.Answer {
	select {
	case start := <-turn:
		if start {
			return nil
		}
		return refuse(answerer.CodeExpired, "while it was queued")
	case <-ctx.Done():
	}
	c.mu.Lock()
	waited := q.admitter.Cancel(id)
	delete(q.waiting, id)
	c.mu.Unlock()
	if !waited && <-turn {
		c.done(b, id, admitter.Completed) // Its turn came meanwhile; give the slot back.
	}
	if ctx.Err() == context.DeadlineExceeded {
		return refuse(answerer.CodeExpired, "while it was queued")
	}
	return refuse(answerer.CodeCancelled, "while it was queued")
}

// done gives a slot back and starts who is next.
func (c *Coordinator) done(b identifier.BackendServer, id admitter.ID, r admitter.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.queues[b]
	if !ok {
		return
	}
	c.wake(q, q.admitter.Done(c.clock(), id, r))
}

func (c *Coordinator) wake(q *queue, d admitter.Decision) {
	for _, id := range d.Start {
		q.tell(id, true)
	}
	for _, id := range d.Expired {
		q.tell(id, false)
	}
}

func (q *queue) tell(id admitter.ID, start bool) {
	if turn, ok := q.waiting[id]; ok {
		delete(q.waiting, id)
		turn <- start
	}
}

// Expire answers the requests whose deadline passed while they waited.
func (c *Coordinator) Expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range c.queues {
		c.wake(q, q.admitter.Next(c.clock()))
	}
}
