package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/router"
)

func (d *Dispatcher) pool(s identifier.ServiceName) *pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.pools[s]
	if !ok {
		p = &pool{pool: router.NewPool(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
		d.pools[s] = p
	}
	return p
}

// try is one attempt at a pool request that is under way.
type try struct {
	server identifier.BackendServer
	cancel context.CancelFunc
}

type tryResult struct {
	server identifier.BackendServer
	answer answerer.Answer
}

// attemptPool sends a pool request to a server, and an idempotent one to a second
// server too if the first is slow and the hedge budget allows it. The first answer
// counts; the other attempt is cancelled.
func (d *Dispatcher) attemptPool(ctx context.Context, r answerer.Request, s *router.Service, deadline time.Time) answerer.Answer {
	p := d.pool(s.Name)
	results := make(chan tryResult, 2)
	first, ok := d.start(ctx, p, r, s, deadline, results)
	if !ok {
		return answerer.Refuse(answerer.CodeNoBackendServer, s.Name.String())
	}
	defer first.cancel()
	if r.Idempotent {
		if wait, ok := p.hedgeAfter(); ok {
			return d.hedge(ctx, p, r, s, deadline, results, first, wait)
		}
	}
	return (<-results).answer
}

func (p *pool) hedgeAfter() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.HedgeAfter()
}

func (d *Dispatcher) hedge(ctx context.Context, p *pool, r answerer.Request, s *router.Service,
	deadline time.Time, results chan tryResult, first try, wait time.Duration) answerer.Answer {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case result := <-results:
		return result.answer
	case <-t.C:
	}
	p.mu.Lock()
	allowed := p.pool.TakeHedge(s.Settings.HedgePercent)
	p.mu.Unlock()
	if !allowed {
		return (<-results).answer
	}
	second, ok := d.start(ctx, p, r, s, deadline, results, first.server)
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

// start sends an attempt to a server other than those in not. Its answer comes on
// results, which has room for it.
func (d *Dispatcher) start(ctx context.Context, p *pool, r answerer.Request, s *router.Service,
	deadline time.Time, results chan<- tryResult, not ...identifier.BackendServer) (try, bool) {
	now := d.clock()
	p.mu.Lock()
	server, ok := p.pool.Choose(now, s.Pool, d.self.Zone, s.Settings.Slots, not...)
	if ok {
		p.pool.Started(now, server.ID)
	}
	p.mu.Unlock()
	if !ok {
		return try{}, false
	}
	ctx, cancel := context.WithCancel(ctx)
	r.Server = server.ID
	d.tasks.Go(func(context.Context) {
		answer := d.send(ctx, r, server.Coordinator, deadline)
		p.mu.Lock()
		p.pool.Ended(d.clock(), server.ID, now, answer.Outcome == answerer.Ran)
		p.mu.Unlock()
		results <- tryResult{server.ID, answer}
	})
	return try{server.ID, cancel}, true
}
