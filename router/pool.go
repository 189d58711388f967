package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// Pool chooses a backend server for requests of a service that is not divided by
// key. It goes by what this instance sees itself: requests in flight and latencies.
// Loads that servers report lag and mislead, and only break ties. A Pool reads no
// clock and draws from the source that it is given.
type Pool struct {
	rand    *rand.Rand
	servers map[identifier.BackendServer]*poolServer
	recent  latencies
	started int // Requests, for the hedge budget.
	hedged  int
}

type poolServer struct {
	inFlight int
	oldest   []time.Time // Starts of the requests in flight.
	latency  float64     // Smoothed, in seconds.
	excluded time.Time   // Until then the server is left out.
}

const (
	// latencyShare is the share of a new latency in a server's smoothed one.
	latencyShare = 0.2
	// excludeFor is how long a straggler is left out.
	excludeFor = 500 * time.Millisecond
	// maxExcluded is the most servers that are left out at once, as a divisor.
	maxExcluded = 3
	// slowFactor times the median latency makes a server a straggler.
	slowFactor = 4
)

// NewPool returns a Pool that has seen nothing.
func NewPool(source rand.Source) *Pool {
	return &Pool{rand: rand.New(source), servers: map[identifier.BackendServer]*poolServer{}}
}

func (p *Pool) server(b identifier.BackendServer) *poolServer {
	s, ok := p.servers[b]
	if !ok {
		s = &poolServer{}
		p.servers[b] = s
	}
	return s
}

// Choose picks the better of two random servers, those of the zone first while they
// have room, and leaves out stragglers and the servers in not. ok is false without a
// candidate.
func (p *Pool) Choose(now time.Time, servers []*Server, zone identifier.Zone, slots int, not ...identifier.BackendServer) (Server, bool) {
	candidates := make([]*Server, 0, len(servers))
	for _, s := range servers {
		if s.Coordinator != "" && !slices.Contains(not, s.ID) {
			candidates = append(candidates, s)
		}
	}
	candidates = p.withoutStragglers(now, candidates)
	if near := p.near(candidates, zone, slots); len(near) > 0 {
		candidates = near
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

func (p *Pool) near(servers []*Server, zone identifier.Zone, slots int) []*Server {
	var near []*Server
	for _, s := range servers {
		if s.Zone == zone && p.server(s.ID).inFlight < slots {
			near = append(near, s)
		}
	}
	return near
}

// withoutStragglers leaves out at most a bounded share of the servers, those that
// were found slow last.
func (p *Pool) withoutStragglers(now time.Time, servers []*Server) []*Server {
	var left, out []*Server
	for _, s := range servers {
		if p.straggles(now, p.server(s.ID)) {
			out = append(out, s)
		} else {
			left = append(left, s)
		}
	}
	most := len(servers) / maxExcluded
	if len(out) > most {
		slices.SortFunc(out, func(x, y *Server) int {
			return p.server(y.ID).excluded.Compare(p.server(x.ID).excluded)
		})
		left = append(left, out[most:]...)
	}
	return left
}

// straggles reports whether a server was found slow a moment ago, or has a request
// in flight for far longer than requests usually take.
func (p *Pool) straggles(now time.Time, s *poolServer) bool {
	if now.Before(s.excluded) {
		return true
	}
	usual := p.recent.quantile(0.5)
	return usual > 0 && len(s.oldest) > 0 && now.Sub(s.oldest[0]) > slowFactor*usual
}

// cost estimates how long a new request would take at a server.
func (p *Pool) cost(now time.Time, s *Server) float64 {
	state := p.server(s.ID)
	latency := max(state.latency, 1e-4)
	if len(state.oldest) > 0 {
		latency = max(latency, now.Sub(state.oldest[0]).Seconds())
	}
	return latency * float64(state.inFlight+1)
}

// Started takes in that a request was sent to a server.
func (p *Pool) Started(now time.Time, b identifier.BackendServer) {
	s := p.server(b)
	s.inFlight++
	s.oldest = append(s.oldest, now)
	p.started++
}

// Ended takes in that a request that was sent at start has ended. ran says that the
// server answered it: other ends tell nothing of its speed.
func (p *Pool) Ended(now time.Time, b identifier.BackendServer, start time.Time, ran bool) {
	s := p.server(b)
	s.inFlight--
	if n := slices.IndexFunc(s.oldest, start.Equal); n >= 0 {
		s.oldest = slices.Delete(s.oldest, n, n+1)
	}
	took := now.Sub(start)
	usual := p.recent.quantile(0.5)
	if usual > 0 && took > slowFactor*usual {
		s.excluded = now.Add(excludeFor)
	}
	if !ran {
		return
	}
	p.recent.add(took)
	s.latency += latencyShare * (took.Seconds() - s.latency)
}

// HedgeAfter returns how long an idempotent request waits for its answer before it
// is sent to a second server: the recent 95th percentile. ok is false when there is
// too little to go by.
func (p *Pool) HedgeAfter() (wait time.Duration, ok bool) {
	return p.recent.quantile(0.95), p.recent.full()
}

// TakeHedge takes one hedge out of the budget, percent of the requests started.
func (p *Pool) TakeHedge(percent int) bool {
	if p.started > hedgeWindow {
		p.started /= 2
		p.hedged /= 2
	}
	if (p.hedged+1)*100 > percent*p.started {
		return false
	}
	p.hedged++
	return true
}

// HedgeShare returns the share of hedges among the recent requests.
func (p *Pool) HedgeShare() float64 {
	return float64(p.hedged) / float64(max(1, p.started))
}

// hedgeWindow is the number of requests after which the hedge budget forgets half.
const hedgeWindow = 1000

// latencyWindow is the number of latencies that the quantiles go by.
const latencyWindow = 256

// sortEvery is the number of new latencies after which the quantiles are renewed.
const sortEvery = 16

// latencies keeps the last latencies of a service.
type latencies struct {
	ring   [latencyWindow]time.Duration
	n      int
	sorted []time.Duration
}

func (l *latencies) add(d time.Duration) {
	l.ring[l.n%latencyWindow] = d
	l.n++
	if l.n%sortEvery == 0 {
		l.sorted = append(l.sorted[:0], l.ring[:min(l.n, latencyWindow)]...)
		slices.Sort(l.sorted)
	}
}

func (l *latencies) full() bool { return len(l.sorted) >= sortEvery*2 }

func (l *latencies) quantile(q float64) time.Duration {
	if len(l.sorted) == 0 {
		return 0
	}
	return l.sorted[int(q*float64(len(l.sorted)-1))]
}
