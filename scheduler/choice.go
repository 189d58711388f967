package scheduler

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericlift/turmericlift/identifier"
)

const (
	// subsetChoices and otherChoices are the numbers of random candidates for a request to a pool, from the servers that this
	// instance prefers and, if these are busy, from all. A few random candidates are enough to avoid the busy and slow servers, and instances with
	// the same old counts do not all choose the same one.
	subsetChoices = 4
	otherChoices  = 2
	// eventScan bounds the servers that are considered at each event if all preferred ones are busy. All are considered at
	// each tick, and the one at which a request has ended at once.
	eventScan = 16
	// drawsPerChoice bounds the draws for one candidate, of which some may not be usable.
	drawsPerChoice = 2
	// minSubset is the least number of servers that an instance prefers, and subsetShare the number of instances that prefer
	// the same server, where there are more servers. The fewer instances use a server, the younger is what each knows of it.
	minSubset   = 3
	subsetShare = 3
	// outsideWait is the expected wait at the best preferred server, as a fraction of the work, above which others are
	// considered as well: the preferred ones may be too few for the requests that arrive here.
	outsideWait = 1.0
	// otherZonePenalty is the cost of a server in another zone, as a fraction of the mean work of a request.
	otherZonePenalty = 0.15
	// maxFullRisk is the highest probability that a server is full at which it gets a request, and maxFullRiskOnce that for a
	// request that is not idempotent: a full server resets the connection, and such a request is lost.
	maxFullRisk     = 0.3
	maxFullRiskOnce = 0.05
)

// poolChoice is the best of the candidates that were considered.
type poolChoice struct {
	server *server
	cost   float64
	seen   forecast
}

// updateSubset determines which servers of a pool this instance prefers: those of its zone that rank first for it.
func (s *Scheduler) updateSubset(service identifier.Service) {
	var subset []*server
	for _, sv := range s.pools[service] {
		if sv.entry.Zone == s.zone && !sv.excluded {
			sv.rank = xxhash.Sum64String(string(sv.entry.ID)) * (s.subsetSeed | 1)
			subset = append(subset, sv)
		}
	}
	sort.Slice(subset, func(a, b int) bool { return subset[a].rank < subset[b].rank })
	if len(subset) > 0 {
		sharers := max(s.sharers, 1)
		size := max(minSubset, (subsetShare*len(s.pools[service])+sharers-1)/sharers)
		subset = subset[:min(size, len(subset))]
	}
	s.subsets[service] = subset
}

// chooseServer returns the server of a pool with the lowest expected time to the answer among random candidates: preferred
// servers, and others if these are busy. The server is nil if none may get the request.
func (s *Scheduler) chooseServer(now time.Time, r *PendingRequest) poolChoice {
	best := poolChoice{cost: math.Inf(1)}
	pool := s.pools[r.Service]
	if s.freed != nil {
		s.consider(now, r, s.freed, &best)
	}
	s.draw(now, r, s.subsets[r.Service], subsetChoices, &best)
	if best.server != nil && best.seen.wait > outsideWait*s.estimates.work.Estimate(r.Class).Mean() {
		s.draw(now, r, pool, otherChoices, &best)
	}
	if best.server != nil || len(pool) == 0 {
		return best
	}
	// Each event may come here while all servers are busy, so the first few that may get the request are enough.
	offset, found := s.random(len(pool)), 0
	for n := range min(len(pool), s.scanLimit) {
		if s.consider(now, r, pool[(offset+n)%len(pool)], &best) {
			found++
		}
		if found >= otherChoices {
			break
		}
	}
	return best
}

// draw considers random servers until the given number of them may get the request.
func (s *Scheduler) draw(now time.Time, r *PendingRequest, from []*server, choices int, best *poolChoice) {
	for left := choices * drawsPerChoice; choices > 0 && left > 0 && len(from) > 0; left-- {
		if s.consider(now, r, from[s.random(len(from))], best) {
			choices--
		}
	}
}

// consider compares a server with the best candidate so far. It returns false if the server may not get the request.
func (s *Scheduler) consider(now time.Time, r *PendingRequest, sv *server, best *poolChoice) bool {
	limit := sv.requestLimit(now)
	if sv.excluded || r.Tried[sv.entry.ID] || float64(sv.running) >= limit || !s.maySend(now, sv) ||
		float64(sv.running)+s.expectedPeerLoad(now, sv).total() >= limit {
		return false
	}
	work := s.estimates.work.Estimate(r.Class)
	f := s.forecast(now, sv, work)
	if f.fullRisk > maxFullRisk || r.RunsOnce && f.fullRisk > maxFullRiskOnce {
		return false
	}
	cost := f.total
	if sv.entry.Zone != s.zone {
		cost += otherZonePenalty * work.Mean()
	}
	if cost < best.cost {
		*best = poolChoice{server: sv, cost: cost, seen: f}
	}
	return true
}

// random returns a pseudo-random number below n.
func (s *Scheduler) random(n int) int { return min(int(s.jitter()*float64(n)), n-1) }

// assignChoice assigns a request to the server that was chosen for it.
func (s *Scheduler) assignChoice(now time.Time, r *PendingRequest, c poolChoice) Decision {
	d := s.assign(now, r, c.server)
	d.Inputs.Work = s.estimates.work.Estimate(r.Class).Mean()
	d.Inputs.Expected = time.Duration(c.seen.total * float64(time.Millisecond))
	return d
}

// wantPoolHealthCall requests a health call to a server that only doubt keeps from getting a request: the first one of the
// preferred servers, so that few are called, or of all.
func (s *Scheduler) wantPoolHealthCall(now time.Time, r *PendingRequest) {
	for _, servers := range [][]*server{s.subsets[r.Service], s.pools[r.Service]} {
		for _, sv := range servers[:min(len(servers), eventScan)] {
			if !sv.excluded && !r.Tried[sv.entry.ID] && s.needsHealthCall(now, sv) {
				s.wantHealthCall(sv)
				return
			}
		}
	}
}
