package scheduler

import (
	"math"
	"time"

	"github.com/turmericlift/turmericlift/estimator"
	"github.com/turmericlift/turmericlift/identifier"
)

// estimates is what a cost-aware Scheduler has learned beyond the state of each server.
type estimates struct {
	work *estimator.Estimator
	// slowness is, by service, the moving average of the slowness that its servers report.
	slowness map[identifier.Service]float64
	// queueRoom is, by service, the most requests that a server was seen to hold beyond its slots.
	queueRoom map[identifier.Service]int
	// perSlot is, by service, the requests of other instances at all its servers, for each slot, by their last updates.
	perSlot map[identifier.Service]float64
	peersAt time.Time // When the other instances' loads were last recorded.
}

func newEstimates() *estimates {
	return &estimates{
		work: estimator.New(), slowness: map[identifier.Service]float64{}, queueRoom: map[identifier.Service]int{},
		perSlot: map[identifier.Service]float64{},
	}
}

// sentWork is a request of this instance at a server, with its estimated work.
type sentWork struct {
	send     Send
	at       time.Time
	class    estimator.Class
	estimate estimator.Estimate
	queued   bool // The server was expected to be busy, so that the request may have waited there.
}

const (
	// slownessDecay is the time constant with which a reported slowness approaches the average: neighbours on a server's
	// machine are noisy for about 400 ms at a time.
	slownessDecay = 400 * time.Millisecond
	// slownessSmoothing is the weight of a reported slowness in the average of its service.
	slownessSmoothing = 0.03
	// loadDecayFactor is the time constant, as a multiple of the service time, with which a known load of a server loses its
	// value as an estimate: by then most of the requests that were counted have ended.
	loadDecayFactor = 1.5
	// peerLoadAge is the age that the loads of other instances have on average when they are recorded: their states are sent
	// every 200 ms, and pass one or two relays in a large installation.
	peerLoadAge = 300 * time.Millisecond
	// offsetSmoothing is the weight of an update in the average difference between a server's load and that of its pool.
	offsetSmoothing = 0.1
	// queuedWeight is the weight of the service time of a request that may have waited at its server.
	queuedWeight = 0.25
	// maxQueueRoom bounds the learned room of a server's queue, as a multiple of its slots, in case of a false report.
	maxQueueRoom = 3
)

// expectedSlowness returns the factor by which a server's machine is expected to be slower than usual now: its last report,
// which approaches the average of the service as it ages.
func (s *Scheduler) expectedSlowness(now time.Time, sv *server) float64 {
	mean, ok := s.estimates.slowness[sv.entry.Service]
	if !ok {
		mean = 1
	}
	if sv.slownessAt.IsZero() {
		return mean
	}
	return max(mean+math.Exp(-float64(now.Sub(sv.slownessAt))/float64(slownessDecay))*(sv.slowness-mean), 0.5)
}

// slowdown returns the factor by which requests are expected to take longer at a server now than their work.
func (s *Scheduler) slowdown(now time.Time, sv *server) float64 {
	return s.expectedSlowness(now, sv) * s.estimates.work.Slowdown(sv.entry.Service, sv.entry.ID)
}

// peerLoad is an estimate of the number of other instances' requests at a server: those that are known to be there, and the
// expected number of further ones, which arrive independently.
type peerLoad struct{ known, random float64 }

func (l peerLoad) total() float64 { return l.known + l.random }

// expectedPeerLoad returns the estimated load of the other instances at a server. The older a count is, the closer the
// estimate is to the average load: a server that is chosen because an old count was low gets the requests of all instances.
func (s *Scheduler) expectedPeerLoad(now time.Time, sv *server) peerLoad {
	decay := loadDecayFactor * s.estimates.work.Service(sv.entry.Service).Mean() * s.slowdown(now, sv) * float64(time.Millisecond)
	base := sv.peerRunning // Each owner of keys has a load of its own.
	if !s.isKeyed(sv.entry.Service) {
		base = max(s.estimates.perSlot[sv.entry.Service]*float64(sv.entry.Slots)+sv.peerOffset, 0)
	}
	expected, weight := base, 0.0
	if !s.estimates.peersAt.IsZero() {
		weight = math.Exp(-float64(now.Sub(s.estimates.peersAt)+peerLoadAge) / decay)
		expected += weight * (sv.peerCount - base)
	}
	known := 0.0
	if !sv.reportedAt.IsZero() {
		weight = math.Exp(-float64(now.Sub(sv.reportedAt)) / decay)
		known = weight * sv.reportedCount
		expected += weight * (sv.reportedCount - expected)
	}
	return peerLoad{known: known, random: max(expected-known, 0)}
}

// recordPeerCounts records the other instances' requests at each server, by their last updates.
func (s *Scheduler) recordPeerCounts(now time.Time, running map[identifier.BackendServer]int) {
	s.estimates.peersAt = now
	for service, pool := range s.pools {
		count, slots := 0, 0
		for _, sv := range pool {
			sv.peerCount = float64(running[sv.entry.ID])
			count += running[sv.entry.ID]
			slots += sv.entry.Slots
		}
		perSlot := float64(count) / float64(max(slots, 1))
		s.estimates.perSlot[service] = perSlot
		for _, sv := range pool {
			sv.peerOffset += offsetSmoothing * (sv.peerCount - perSlot*float64(sv.entry.Slots) - sv.peerOffset)
		}
	}
}

// forecast is what is expected of one more request at a server.
type forecast struct {
	wait     float64 // Time for which the request waits there, in milliseconds.
	total    float64 // wait and the service time, in milliseconds.
	fullRisk float64 // Probability that the server is full.
}

// maxForecastLoad bounds the number of other instances' requests at a server that a forecast goes through.
const maxForecastLoad = 100

// forecast returns what is expected of one more request at a server. The number of other instances' requests there is taken
// to have a Poisson distribution beyond those that are known.
func (s *Scheduler) forecast(now time.Time, sv *server, work estimator.Estimate) forecast {
	slowdown := s.slowdown(now, sv)
	load := s.expectedPeerLoad(now, sv)
	slots := float64(sv.entry.Slots)
	ownWork := s.remainingWork(now, sv, slowdown)
	otherWork := s.estimates.work.Service(sv.entry.Service).Mean() * slowdown
	room := s.requestRoom(now, sv)
	f := forecast{total: work.Mean() * slowdown}
	probability, sum := math.Exp(-load.random), 0.0
	for k := 0.0; k < maxForecastLoad && sum < 0.999; k++ {
		others := load.known + k
		count := float64(sv.running) + others
		if count > slots-1 {
			f.wait += probability * (ownWork + others*otherWork) / max(count, 1) * (count - slots + 1) / slots
		}
		if count >= room {
			f.fullRisk += probability
		}
		sum += probability
		probability *= load.random / (k + 1)
	}
	f.fullRisk += max(1-sum, 0)
	f.total += f.wait
	return f
}

// remainingWork returns the time that this instance's requests at a server are expected to take still, one after the other,
// in milliseconds.
func (s *Scheduler) remainingWork(now time.Time, sv *server, slowdown float64) float64 {
	sum := 0.0
	for _, w := range sv.work {
		done := float64(now.Sub(w.at)) / float64(time.Millisecond) / slowdown
		sum += w.estimate.Remaining(done) * slowdown
	}
	return sum
}

// requestRoom returns the number of requests that a server can hold, as far as that is known: its limit, or the most that a
// server of its service was seen to hold.
func (s *Scheduler) requestRoom(now time.Time, sv *server) float64 {
	return max(float64(sv.entry.Slots+min(s.estimates.queueRoom[sv.entry.Service], maxQueueRoom*sv.entry.Slots)), sv.requestLimit(now))
}

// recordSentWork counts the work of a request that is assigned to a server.
func (s *Scheduler) recordSentWork(now time.Time, r *PendingRequest, sv *server, send Send) {
	queued := float64(sv.running)+s.expectedPeerLoad(now, sv).total() >= float64(sv.entry.Slots)
	sv.work = append(sv.work, sentWork{send: send, at: now, class: r.Class, estimate: s.estimates.work.Estimate(r.Class), queued: queued})
}

// learn learns from the end of a request at a server. A report is of the load there without the request.
func (s *Scheduler) learn(now time.Time, sv *server, r Report) {
	for n, w := range sv.work {
		if w.send != r.Send {
			continue
		}
		sv.work = append(sv.work[:n], sv.work[n+1:]...)
		if r.Outcome == Answered {
			s.learnWork(now, sv, w, r)
		}
		break
	}
	if !r.HasLoad {
		return
	}
	service := sv.entry.Service
	sv.reportedCount = max(float64(r.Running+r.Waiting-sv.running-1), 0)
	s.estimates.queueRoom[service] = max(s.estimates.queueRoom[service], r.Running+r.Waiting-sv.entry.Slots)
	if r.Slowness > 0 {
		if _, ok := s.estimates.slowness[service]; !ok {
			s.estimates.slowness[service] = 1
		}
		s.estimates.slowness[service] += slownessSmoothing * (min(r.Slowness, 5) - s.estimates.slowness[service])
	}
}

// learnWork learns from the latency of an answer. The part of the time for which the request waited at the server is not
// known, so the times of requests that found or left others waiting count for less.
func (s *Scheduler) learnWork(now time.Time, sv *server, w sentWork, r Report) {
	o := estimator.Observation{Class: w.class, Server: sv.entry.ID, ServiceTime: float64(r.Latency.Microseconds()) / 1000, Weight: 1}
	o.Slowness = r.Slowness
	if !(o.Slowness > 0) {
		o.Slowness = s.expectedSlowness(now, sv)
	}
	if r.HasLoad && r.Waiting > 0 || w.queued {
		o.Weight = queuedWeight
		o.ServiceTime *= min(1, float64(sv.entry.Slots)/float64(r.Running+r.Waiting+1))
	}
	s.estimates.work.Record(o)
}

// maxRelativeWork bounds RelativeWork and its inverse.
const maxRelativeWork = 4

// KeyWork returns what a request of a class for a key counts in plans: its estimated work, as a multiple of the mean of its
// service, or 1 if decisions on such requests do not follow costs.
func (s *Scheduler) KeyWork(c estimator.Class) float64 {
	if !s.decidesByCost(true) {
		return 1
	}
	relative := s.estimates.work.Estimate(c).Mean() / s.estimates.work.Service(c.Service).Mean()
	return min(max(relative, 1.0/maxRelativeWork), maxRelativeWork)
}
