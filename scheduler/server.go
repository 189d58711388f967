package scheduler

import (
	"math"
	"sort"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/limiter"
	"github.com/turmericlift/turmericlift/registrar"
)

// server holds what this instance knows of a backend server.
type server struct {
	entry        registrar.Entry
	excluded     bool
	ownsUntil    time.Time
	running      int       // Requests of this instance at the server.
	reportedLoad float64   // Requests of other instances that run or wait at the server, by its own load reports.
	reportedAt   time.Time // Time of the last load report; zero if there was none.
	peerRunning  float64   // Requests of other instances at the server, by the updates of those instances.
	waiting      int       // Requests of this instance that wait in its queue for the server.
	peerWaiting  float64   // Requests of other instances that wait in their queues for it, by their updates.
	lastSentAt   time.Time // When this instance last assigned a request to the server.
	latency      float64   // Moving average of the latency, in milliseconds.
	serviceTime  float64   // Moving average of the service time without waiting at the server, in milliseconds.
	slowness     float64   // Factor by which the server's machine was slower than usual at slownessAt.
	slownessAt   time.Time
	pausedUntil  time.Time // No request is sent before this time, after a refusal or a failure.
	coldUntil    time.Time
	coldRate     float64 // Requests a second that all instances together may send while the server is cold.
	coldFor      time.Duration
	cold         *limiter.Cold
	doubt        doubt
	sent         []sentRequest // Retryable requests of this instance without an outcome, the oldest first.
	longest      time.Duration // The longest latency of an answer within longestRetention.
	longestAt    time.Time
	probedAt     time.Time
	// The following are used by a cost-aware Scheduler only.
	work          []sentWork // Requests of this instance at the server.
	reportedCount float64    // Requests of other instances by the last load report.
	peerCount     float64    // Requests of other instances by their last updates.
	rank          uint64     // Among the servers that this instance prefers.
	peerOffset    float64    // Moving average of the difference between peerCount and the average of the pool.
}

// Candidate is a backend server with the bounds that the configuration and operators set for it.
type Candidate struct {
	registrar.Entry
	Excluded bool // No new requests are sent to the server, except as OwnsUntil says.
	// OwnsUntil is the time until which an excluded server still gets requests for keys that it owns: no other server
	// can run them until the keys have moved.
	OwnsUntil time.Time
	ColdUntil time.Time     // The server is cold until this time.
	ColdRate  float64       // Requests a second that all instances together may send to the server while it is cold.
	ColdFor   time.Duration // How long a server of the service is cold after its start; 0 if it never is.
}

// SetServers replaces the set of known backend servers. Estimates are kept for those that were known with the same
// incarnation and address.
func (s *Scheduler) SetServers(candidates []Candidate) {
	known := map[identifier.BackendServer]*server{}
	s.pools, s.subsets = map[identifier.Service][]*server{}, map[identifier.Service][]*server{}
	for _, c := range candidates {
		sv, ok := s.servers[c.ID]
		if !ok || sv.entry.Incarnation != c.Incarnation || sv.entry.Address != c.Address {
			sv = &server{cold: limiter.NewCold(s.startedAt), latency: s.usualLatency(c.Service), serviceTime: s.usualLatency(c.Service), slowness: 1}
		}
		sv.entry, sv.excluded, sv.coldUntil, sv.coldRate = c.Entry, c.Excluded || !c.Usable(), c.ColdUntil, c.ColdRate
		sv.ownsUntil, sv.coldFor = c.OwnsUntil, c.ColdFor
		known[c.ID] = sv
		s.pools[c.Service] = append(s.pools[c.Service], sv)
	}
	for _, pool := range s.pools {
		sort.Slice(pool, func(a, b int) bool { return pool[a].entry.ID < pool[b].entry.ID })
	}
	s.servers = known
	clear(s.poolCapacity)
	if s.options.CostAware {
		for service := range s.pools {
			s.updateSubset(service)
		}
	}
}

// usualLatency returns the usual latency of a service in milliseconds.
func (s *Scheduler) usualLatency(service identifier.Service) float64 {
	if l, ok := s.latency[service]; ok {
		return l
	}
	return float64(defaultLatency.Milliseconds())
}

// pause sends no request to the server before a time.
func (sv *server) pause(until time.Time) {
	if until.After(sv.pausedUntil) {
		sv.pausedUntil = until
	}
}

// maxReturnDelay bounds the time over which instances return to a server that has turned them away.
const maxReturnDelay = time.Second

// returnDelay returns how much longer than a server has asked for this instance stays away from it: a random part of the time
// in which the server can run a request of each instance. Otherwise all instances that it turned away would return at once.
func (s *Scheduler) returnDelay(now time.Time, sv *server) time.Duration {
	sharers := max(s.shares.Share(now, sv.entry.ID).Sharers, 1)
	spread := time.Duration(float64(sharers) * sv.serviceTime / float64(sv.entry.Slots) * float64(time.Millisecond))
	return time.Duration(s.jitter() * float64(min(spread, maxReturnDelay)))
}

// inputs returns the values that are logged with a decision on a server.
func (s *Scheduler) inputs(now time.Time, sv *server) Inputs {
	in := Inputs{Running: sv.running, OtherLoad: sv.otherLoad(now), Cold: s.isCold(now, sv) || s.isDoubtful(now, sv), Sharers: s.shares.Share(now, sv.entry.ID).Sharers, ViewAge: s.viewAge(now)}
	if !sv.reportedAt.IsZero() {
		in.LoadAge = now.Sub(sv.reportedAt)
	}
	return in
}

// isCold reports whether a server is cold by its entry, or by what it said in answer to a health call.
func (s *Scheduler) isCold(now time.Time, sv *server) bool {
	return now.Before(sv.coldUntil) || now.Before(sv.doubt.coldUntil)
}

// coldShare returns the requests a second that this instance may send to a cold server.
func (s *Scheduler) coldShare(now time.Time, sv *server) int {
	return s.shares.Share(now, sv.entry.ID).Of(sv.coldRate)
}

// hasCapacity reports whether this instance may send one more request to a server that is below its request limit.
func (s *Scheduler) hasCapacity(now time.Time, sv *server) bool {
	return s.maySend(now, sv) && float64(sv.running)+s.peerLoadAt(now, sv) < sv.requestLimit(now)
}

// peerLoadAt returns the estimated number of other instances' requests at a server.
func (s *Scheduler) peerLoadAt(now time.Time, sv *server) float64 {
	if s.decidesByCost(s.isKeyed(sv.entry.Service)) {
		return s.expectedPeerLoad(now, sv).total()
	}
	return sv.otherLoad(now)
}

// maySend reports whether this instance may send to a server now, whatever its load: the server is not paused, and not
// cold, or possibly cold, with this instance's share of its requests used up.
func (s *Scheduler) maySend(now time.Time, sv *server) bool {
	return !now.Before(sv.pausedUntil) && s.isWithinRate(now, sv)
}

// isWithinRate reports whether another request to a server is within this instance's share of the rate that the server
// bears if it is cold or possibly cold.
func (s *Scheduler) isWithinRate(now time.Time, sv *server) bool {
	switch {
	case s.isCold(now, sv):
		return sv.cold.MaySend(now, s.coldShare(now, sv))
	case s.isDoubtful(now, sv):
		return sv.cold.MaySend(now, s.doubtfulShare(now, sv))
	}
	return true
}

// mayAdmit reports whether this instance may send one more request to the owner of a key. No other server can run such
// a request, so many instances may compete for the owner; its requests are then admitted at the interval that
// pacingInterval returns.
func (s *Scheduler) mayAdmit(now time.Time, sv *server) bool {
	interval, paced := sv.pacingInterval(now)
	return s.mayAdmitPaced(now, sv, interval, paced)
}

// mayAdmitPaced is mayAdmit with the given interval.
func (s *Scheduler) mayAdmitPaced(now time.Time, sv *server, interval time.Duration, paced bool) bool {
	if !paced {
		return s.hasCapacity(now, sv)
	}
	return s.maySend(now, sv) && sv.running == 0 && now.Sub(sv.lastSentAt) >= interval && s.peerLoadAt(now, sv) < pacedOverloadFactor*sv.requestLimit(now)
}

// pacedOverloadFactor is the factor by which the estimated load of a server may exceed its limit for a paced request to
// be sent: load reports are older than the time that the requests take.
const pacedOverloadFactor = 1.5

// pacingInterval returns the interval at which this instance may send requests to a server. Requests are paced only if
// those of all instances exceed the server's limit and this instance's share of the limit is less than one request; the
// interval then gives each instance a share of the server's throughput in proportion to its running and waiting
// requests.
func (sv *server) pacingInterval(now time.Time) (interval time.Duration, paced bool) {
	own := float64(sv.running + max(sv.waiting, 1))
	limit := sv.requestLimit(now)
	total := own + sv.peerRunning + sv.peerWaiting
	if total <= limit || limit*own >= total {
		return 0, false
	}
	slots := float64(sv.entry.Slots)
	return time.Duration(sv.serviceTime * sv.currentSlowness(now) * total / (slots * own) * float64(time.Millisecond)), true
}

// otherLoad returns the estimated number of other instances' requests at the server: the number that the server
// reported, and as the report ages increasingly the number that the other instances sent.
func (sv *server) otherLoad(now time.Time) float64 {
	reportWeight := math.Exp(-float64(now.Sub(sv.reportedAt)) / float64(loadReportDecay))
	return reportWeight*sv.reportedLoad + (1-reportWeight)*sv.peerRunning
}

// RecordPeerLoad records how many requests the other instances together have at each server, and how many wait in their
// queues for it, by the last updates of those instances. Servers that are missing count as 0.
func (s *Scheduler) RecordPeerLoad(now time.Time, running, waiting map[identifier.BackendServer]int) {
	if s.options.CostAware {
		s.recordPeerCounts(now, running)
		for service, pool := range s.pools { // The number of instances may have changed.
			s.sharers = s.shares.Share(now, pool[0].entry.ID).Sharers
			s.updateSubset(service)
		}
	}
	for id, sv := range s.servers {
		sv.peerRunning += peerLoadWeight * (float64(running[id]) - sv.peerRunning)
		sv.peerWaiting += peerLoadWeight * (float64(waiting[id]) - sv.peerWaiting)
	}
}

// requestLimit returns the number of requests of all instances that may be at the server at a time: its slots, and a
// few that wait there unless the server is slow.
func (sv *server) requestLimit(now time.Time) float64 {
	slots := float64(sv.entry.Slots)
	if sv.currentSlowness(now) > 1.5 {
		return slots
	}
	return slots + math.Ceil(queueShare*slots)
}

// currentSlowness returns the factor by which the server's machine is slower than usual, at least 0.5; it is 1 if the
// last report is too old.
func (sv *server) currentSlowness(now time.Time) float64 {
	if now.Sub(sv.slownessAt) > loadReportDecay/2 {
		return 1
	}
	return max(sv.slowness, 0.5)
}

// cost returns the expected latency of a request at a server in milliseconds, weighted by the server's zone.
func (s *Scheduler) cost(now time.Time, sv *server) float64 {
	used := (float64(sv.running) + sv.otherLoad(now) + 1) / float64(sv.entry.Slots)
	c := sv.latency * sv.currentSlowness(now) * max(used, 0.5)
	if sv.entry.Zone != s.zone {
		c *= otherZoneFactor
	}
	return c
}

// ServiceTime returns the average service time of a request at a server in milliseconds, without the time for which it
// waits there, as this instance estimates it. It returns false if the server is not known.
func (s *Scheduler) ServiceTime(id identifier.BackendServer) (ms float64, ok bool) {
	sv, ok := s.servers[id]
	if !ok {
		return 0, false
	}
	if s.decidesByCost(s.isKeyed(sv.entry.Service)) {
		return s.estimates.work.Service(sv.entry.Service).Mean() * s.estimates.work.Slowdown(sv.entry.Service, id), true
	}
	return sv.serviceTime, true
}
