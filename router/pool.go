package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// PoolBalancer chooses a backend server for the requests of a service that is not divided by key. It chooses by
// what this instance has measured: its requests in flight and their latencies. It does not use the loads
// that servers report, since these lag behind and mislead. It reads no clock and draws random numbers only
// from its source. It is not safe for concurrent use.
type PoolBalancer struct {
	rand    *rand.Rand
	servers map[identifier.BackendServer]*poolServer
	recent  latencies
	started int // The recent requests, for the hedge budget.
	hedged  int // The recent hedges, for the hedge budget.
}

// poolServer has the measurements of one backend server.
type poolServer struct {
	inFlight      int
	startTimes    []time.Time // The start times of the requests in flight, the oldest first.
	latency       float64     // The moving average of the latency, in seconds.
	excludedUntil time.Time   // The server is excluded as a straggler before this time.
}

const (
	// latencyWeight is the weight of a new latency in a server's moving average.
	latencyWeight = 0.2
	// exclusionTime is how long a straggler is excluded.
	exclusionTime = 500 * time.Millisecond
	// maxExcludedDivisor is the divisor in the bound of excluded servers: at most one in
	// maxExcludedDivisor is excluded at a time.
	maxExcludedDivisor = 3
	// slowFactor times the median latency is the latency from which on a server is a straggler.
	slowFactor = 4
)

// NewPoolBalancer returns the balancer of one service, without measurements. It draws random numbers from source.
func NewPoolBalancer(source rand.Source) *PoolBalancer {
	return &PoolBalancer{rand: rand.New(source), servers: map[identifier.BackendServer]*poolServer{}}
}

// server returns the measurements of a backend server and creates them if there are none.
func (p *PoolBalancer) server(b identifier.BackendServer) *poolServer {
	s, ok := p.servers[b]
	if !ok {
		s = &poolServer{}
		p.servers[b] = s
	}
	return s
}

// Choose picks two of the servers at random and returns the one that should answer earlier. It does not
// consider servers without a coordinator, those in avoid, and stragglers, except those beyond the bound on
// excluded ones. It considers only servers of zone as long as one of these has fewer requests of this
// instance in flight than slots. ok is false if no server is left.
func (p *PoolBalancer) Choose(now time.Time, servers []*Server, zone identifier.Zone, slots int, avoid ...identifier.BackendServer) (Server, bool) {
	candidates := make([]*Server, 0, len(servers))
	for _, s := range servers {
		if s.Coordinator != "" && !slices.Contains(avoid, s.ID) {
			candidates = append(candidates, s)
		}
	}
	candidates = p.withoutStragglers(now, candidates)
	if nearby := p.nearby(candidates, zone, slots); len(nearby) > 0 {
		candidates = nearby
	}
	switch len(candidates) {
	case 0:
		return Server{}, false
	case 1:
		return *candidates[0], true
	}
	i := p.rand.IntN(len(candidates))
	j := p.rand.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	if p.cost(now, candidates[j]) < p.cost(now, candidates[i]) {
		i = j
	}
	return *candidates[i], true
}

// nearby returns the servers of zone that have fewer requests in flight than slots.
func (p *PoolBalancer) nearby(servers []*Server, zone identifier.Zone, slots int) []*Server {
	var nearby []*Server
	for _, s := range servers {
		if s.Zone == zone && p.server(s.ID).inFlight < slots {
			nearby = append(nearby, s)
		}
	}
	return nearby
}

// withoutStragglers returns the servers without the stragglers. It excludes at most one in
// maxExcludedDivisor of them; if there are more stragglers, it excludes those that were found slow last.
func (p *PoolBalancer) withoutStragglers(now time.Time, servers []*Server) []*Server {
	var kept, stragglers []*Server
	for _, s := range servers {
		if p.isStraggler(now, p.server(s.ID)) {
			stragglers = append(stragglers, s)
		} else {
			kept = append(kept, s)
		}
	}
	maxExcluded := len(servers) / maxExcludedDivisor
	if len(stragglers) > maxExcluded {
		slices.SortFunc(stragglers, func(x, y *Server) int {
			return p.server(y.ID).excludedUntil.Compare(p.server(x.ID).excludedUntil)
		})
		kept = append(kept, stragglers[maxExcluded:]...)
	}
	return kept
}

// isStraggler reports whether a server has been excluded until after now, or has had a request in flight
// for longer than slowFactor times the median latency.
func (p *PoolBalancer) isStraggler(now time.Time, s *poolServer) bool {
	if now.Before(s.excludedUntil) {
		return true
	}
	median := p.recent.quantile(0.5)
	return median > 0 && len(s.startTimes) > 0 && now.Sub(s.startTimes[0]) > slowFactor*median
}

// cost estimates how long a new request would take at a server: its latency, or the time that its oldest
// request has taken so far if that is longer, for each request in flight and the new one.
func (p *PoolBalancer) cost(now time.Time, s *Server) float64 {
	state := p.server(s.ID)
	latency := max(state.latency, 1e-4)
	if len(state.startTimes) > 0 {
		latency = max(latency, now.Sub(state.startTimes[0]).Seconds())
	}
	return latency * float64(state.inFlight+1)
}

// RecordStart records that a request has been sent to a server. The caller must also record its end.
func (p *PoolBalancer) RecordStart(now time.Time, b identifier.BackendServer) {
	s := p.server(b)
	s.inFlight++
	s.startTimes = append(s.startTimes, now)
	p.started++
}

// RecordEnd records that a request has ended that was sent to a server at start. ran says that the server
// answered it. Only then does its latency count, since other ends say nothing about the server's speed; a
// request that took long excludes the server in any case.
func (p *PoolBalancer) RecordEnd(now time.Time, b identifier.BackendServer, start time.Time, ran bool) {
	s := p.server(b)
	s.inFlight--
	if n := slices.IndexFunc(s.startTimes, start.Equal); n >= 0 {
		s.startTimes = slices.Delete(s.startTimes, n, n+1)
	}
	elapsed := now.Sub(start)
	median := p.recent.quantile(0.5)
	if median > 0 && elapsed > slowFactor*median {
		s.excludedUntil = now.Add(exclusionTime)
	}
	if !ran {
		return
	}
	p.recent.add(elapsed)
	s.latency += latencyWeight * (elapsed.Seconds() - s.latency)
}

// HedgeDelay returns how long an idempotent request should wait for its answer before it is sent to a
// second server: the 95th percentile of the recent latencies. ok is false while too few latencies are
// known.
func (p *PoolBalancer) HedgeDelay() (wait time.Duration, ok bool) {
	return p.recent.quantile(0.95), p.recent.hasEnough()
}

// AllowHedge counts a hedge and returns true, or returns false if that would make hedges more than percent
// of the recent requests.
func (p *PoolBalancer) AllowHedge(percent int) bool {
	if p.started > hedgeBudgetWindow {
		p.started /= 2
		p.hedged /= 2
	}
	if (p.hedged+1)*100 > percent*p.started {
		return false
	}
	p.hedged++
	return true
}

// HedgeShare returns the share of hedges in the recent requests, from 0 to 1.
func (p *PoolBalancer) HedgeShare() float64 {
	return float64(p.hedged) / float64(max(1, p.started))
}

// hedgeBudgetWindow is the number of requests after which both counts of the hedge budget are halved, so
// that recent requests have the greater weight.
const hedgeBudgetWindow = 1000

// latencyWindow is the number of recent latencies that the quantiles are computed from.
const latencyWindow = 256

// sortEvery is the number of new latencies after which they are sorted again for the quantiles.
const sortEvery = 16

// latencies has the last latencies of a service in a ring, and a copy that is sorted again after every
// sortEvery latencies.
type latencies struct {
	ring   [latencyWindow]time.Duration
	n      int
	sorted []time.Duration
}

// add records a latency in place of the oldest one.
func (l *latencies) add(d time.Duration) {
	l.ring[l.n%latencyWindow] = d
	l.n++
	if l.n%sortEvery == 0 {
		l.sorted = append(l.sorted[:0], l.ring[:min(l.n, latencyWindow)]...)
		slices.Sort(l.sorted)
	}
}

// hasEnough reports whether there are enough latencies to compute quantiles from.
func (l *latencies) hasEnough() bool { return len(l.sorted) >= sortEvery*2 }

// quantile returns the q quantile (0 to 1) of the recent latencies, or 0 if none is known.
func (l *latencies) quantile(q float64) time.Duration {
	if len(l.sorted) == 0 {
		return 0
	}
	return l.sorted[int(q*float64(len(l.sorted)-1))]
}
