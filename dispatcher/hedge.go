package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/router"
)

// lockedBalancer returns the balancer of a service and creates it if there is none.
func (d *Dispatcher) lockedBalancer(s identifier.ServiceName) *lockedBalancer {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.balancers[s]
	if !ok {
		b = &lockedBalancer{balancer: router.NewPoolBalancer(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
		d.balancers[s] = b
	}
	return b
}

// poolAttempt is an attempt at a pool request that has been started. cancel ends it.
type poolAttempt struct {
	server identifier.BackendServer
	cancel context.CancelFunc
}

// attemptResult is the answer of one server to a pool request.
type attemptResult struct {
	server identifier.BackendServer
	answer answerer.Answer
}

// runPoolAttempt sends a request of a pool service to a server. It sends an idempotent one to a second
// server too if the first has not answered in time and the hedge budget allows it. The first answer of a
// server that has run the request counts; if there is none, the last answer. An attempt that is still
// running is cancelled then.
func (d *Dispatcher) runPoolAttempt(ctx context.Context, r answerer.Request, s *router.Service, deadline time.Time) answerer.Answer {
	b := d.lockedBalancer(s.Name)
	results := make(chan attemptResult, 2)
	first, ok := d.startAttempt(ctx, b, r, s, deadline, results)
	if !ok {
		return answerer.Refuse(answerer.CodeNoBackendServer, s.Name.String())
	}
	defer first.cancel()
	if r.Idempotent {
		if wait, ok := b.hedgeDelay(); ok {
			return d.awaitWithHedge(ctx, b, r, s, deadline, results, first, wait)
		}
	}
	return (<-results).answer
}

// hedgeDelay returns how long a request should wait before it is hedged, or false while that is not known.
func (b *lockedBalancer) hedgeDelay() (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balancer.HedgeDelay()
}

// awaitWithHedge waits for the answer to the first attempt. If it has not come after wait, it starts a
// second attempt at another server, if the hedge budget allows it and there is one, and returns the first
// answer with which the request has run, or else the answer that came second.
func (d *Dispatcher) awaitWithHedge(ctx context.Context, b *lockedBalancer, r answerer.Request, s *router.Service,
	deadline time.Time, results chan attemptResult, first poolAttempt, wait time.Duration) answerer.Answer {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case result := <-results:
		return result.answer
	case <-t.C:
	}
	b.mu.Lock()
	allowed := b.balancer.AllowHedge(s.Settings.HedgePercent)
	b.mu.Unlock()
	if !allowed {
		return (<-results).answer
	}
	second, ok := d.startAttempt(ctx, b, r, s, deadline, results, first.server)
	if !ok {
		return (<-results).answer
	}
	defer second.cancel()
	result := <-results
	if result.answer.Outcome == answerer.Ran {
		return result.answer
	}
	return (<-results).answer
}

// startAttempt starts an attempt at a server that is not in excluded and returns false if there is none.
// The answer is sent on results, which must be buffered so that the attempt does not block when nobody
// reads it.
func (d *Dispatcher) startAttempt(ctx context.Context, b *lockedBalancer, r answerer.Request, s *router.Service,
	deadline time.Time, results chan<- attemptResult, excluded ...identifier.BackendServer) (poolAttempt, bool) {
	now := d.clock()
	b.mu.Lock()
	server, ok := b.balancer.Choose(now, s.PoolServers, d.self.Zone, s.Settings.Slots, excluded...)
	if ok {
		b.balancer.RecordStart(now, server.ID)
	}
	b.mu.Unlock()
	if !ok {
		return poolAttempt{}, false
	}
	ctx, cancel := context.WithCancel(ctx)
	r.Server = server.ID
	d.tasks.Go(func(context.Context) {
		answer := d.send(ctx, r, server.Coordinator, deadline)
		b.mu.Lock()
		b.balancer.RecordEnd(d.clock(), server.ID, now, answer.Outcome == answerer.Ran)
		b.mu.Unlock()
		results <- attemptResult{server.ID, answer}
	})
	return poolAttempt{server.ID, cancel}, true
}
