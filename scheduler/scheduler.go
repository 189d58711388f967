// Package scheduler decides to which backend server a request is sent and when, and which requests are refused. It
// keeps one queue per service, ordered by priority and bounded by the requests' deadlines, and estimates the free slots
// of each backend server. The package does no I/O and reads no clock: callers pass the current time.
//
// Start with scheduler.go, which has the queues and the decisions. outcome.go has what is learned from the end of each
// request; server.go what is known of each backend server: its estimated load, its request limit and the pace at which
// requests are sent to it; doubt.go what is done about servers that may be cold without this instance knowing. silence.go
// finds requests that a server will never answer.
//
// With Options.CostAware, other files take the place of the queue and of the choice: line.go and admission.go have the order
// of the requests, the refusals and the pace; choice.go the choice of a pool's server; estimates.go and capacity.go what is
// expected of each server. See docs/design/cost-aware-routing.md and admission.md.
package scheduler

import (
	"math"
	"sort"
	"time"

	"github.com/turmericlift/turmericlift/apportioner"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

// Owners looks up the owners of keys.
type Owners interface {
	// Owner returns the owner of a key of a keyed service at the given time.
	Owner(now time.Time, service identifier.Service, key identifier.ShardKey) registrar.Ownership
}

const (
	// queueShare is the number of requests that may wait at a server, as a fraction of its slots: with none waiting, a
	// slot would be idle for a round trip after each request.
	queueShare = 0.1
	// priorityStep is the waiting time for which one step of priority counts. A request of the next lower priority that
	// has waited longer by more than this goes first, so that no priority starves.
	priorityStep = 400 * time.Millisecond
	// retryLead is the waiting time that is credited to retried requests: another refusal makes them fail for good.
	retryLead = 300 * time.Millisecond
	// latePenalty is the waiting time that is deducted from requests whose target time has passed, so that requests
	// that can still meet theirs go first.
	latePenalty = 2 * time.Second
	// otherZoneFactor is the factor by which a server in another zone must have a lower cost to be preferred: each
	// request to it crosses zones.
	otherZoneFactor = 1.3
	// defaultLatency is assumed for a service from which no answer has been received yet.
	defaultLatency = 100 * time.Millisecond
	// smoothing is the weight of a new observation in an exponential moving average.
	smoothing = 0.15
	// loadReportDecay is the time constant with which the weight of a server's load report decays as it ages.
	loadReportDecay = 600 * time.Millisecond
	// peerLoadWeight is the weight of the loads that the other instances sent last, in a moving average with those that
	// they sent before.
	peerLoadWeight = 0.4
	// minLatencyShare is the fraction of the usual latency that must be left before the deadline of a request that is
	// sent.
	minLatencyShare = 0.6
	// ownerWaitTimeout bounds how long a request waits for a key that is moving: about the time in which the requests
	// that run at the key's former owner end.
	ownerWaitTimeout = 450 * time.Millisecond
	// unknownOwnerRetryAfter is the retry time for requests whose key has no owner and for which it is not known when
	// there will be one: the leases of a lost server's grants end within seconds, and callers try only once or twice
	// more.
	unknownOwnerRetryAfter = time.Second
	// minRetryAfter keeps refused callers from retrying before the load can have changed.
	minRetryAfter = 100 * time.Millisecond
)

// Scheduler holds the queues and server estimates of one instance. It is not safe for concurrent use.
type Scheduler struct {
	options   Options
	estimates *estimates
	// subsetSeed differs between instances, so that each prefers other servers of a pool.
	subsetSeed uint64
	sharers    int // Number of instances among which bounds are divided, by the last update; 0 if there was none.
	startedAt  time.Time
	zone       identifier.Zone
	owners     Owners
	servers    map[identifier.BackendServer]*server
	pools      map[identifier.Service][]*server // Sorted by server ID.
	subsets    map[identifier.Service][]*server // Those that this instance prefers if it is cost-aware.
	queues     map[identifier.Service][]*PendingRequest
	latency    map[identifier.Service]float64 // Moving average of the latency, in milliseconds.
	shares     Shares
	// informedAt is the time up to which the instance knows all changes of backend servers and evacuations; zero if it
	// is told of each change.
	informedAt time.Time
	// waiting is, by service, the number of requests that wait for each server as the owner of their keys.
	waiting     map[identifier.Service]map[identifier.BackendServer]int
	retryJitter uint64 // State of the pseudo-random generator that spreads retry times.
	sends       Send   // Requests assigned so far.
	silent      []Send
	// The following take the place of queues and waiting if the instance is cost-aware.
	lines        map[lineKey]*line
	ownerless    map[*PendingRequest]struct{} // Requests whose keys have no owner.
	keyed        map[identifier.Service]bool  // Services whose requests have keys.
	poolCapacity map[identifier.Service]capacity
	freed        *server                          // The server at which a request has just ended; nil at other events.
	scanLimit    int                              // The number of servers that may be considered for a request one after the other.
	silentAt     map[identifier.Service]time.Time // When a server of the service was silent last.
	doubted      []*server                        // Servers to which a health call is wanted.
}

// Shares tells this instance's share of the bounds that hold for all instances together.
type Shares interface {
	// Share returns the share of the requests that may be sent to a backend server while it is cold.
	Share(now time.Time, id identifier.BackendServer) apportioner.Share
}

// New returns a Scheduler for an instance in the given zone whose process starts now. It looks up the owners of keys in
// owners, and its share of the request rates of cold servers in shares.
func New(now time.Time, zone identifier.Zone, owners Owners, shares Shares, options Options) *Scheduler {
	return &Scheduler{
		options: options, estimates: newEstimates(), subsetSeed: uint64(now.UnixNano()), subsets: map[identifier.Service][]*server{},
		lines: map[lineKey]*line{}, ownerless: map[*PendingRequest]struct{}{}, keyed: map[identifier.Service]bool{}, poolCapacity: map[identifier.Service]capacity{}, scanLimit: eventScan,
		startedAt: now, retryJitter: uint64(now.UnixNano()), zone: zone, owners: owners, shares: shares, servers: map[identifier.BackendServer]*server{},
		pools:  map[identifier.Service][]*server{},
		queues: map[identifier.Service][]*PendingRequest{}, latency: map[identifier.Service]float64{}, waiting: map[identifier.Service]map[identifier.BackendServer]int{}, silentAt: map[identifier.Service]time.Time{},
	}
}

// SetInformedAt sets the time up to which the instance knows all changes of backend servers and evacuations; zero if it
// is told of each change.
func (s *Scheduler) SetInformedAt(at time.Time) { s.informedAt = at }

// viewAge returns the time for which changes of backend servers and evacuations may have gone unnoticed.
func (s *Scheduler) viewAge(now time.Time) time.Duration {
	if s.informedAt.IsZero() {
		return 0
	}
	return now.Sub(s.informedAt)
}

// Enqueue adds a request to the queue of its service and delivers all decisions of that queue that can be made now.
func (s *Scheduler) Enqueue(now time.Time, r *PendingRequest) {
	if r.Keyed {
		s.keyed[r.Service] = true
	}
	if s.decidesByCost(r.Keyed) {
		s.enqueue(now, r)
		return
	}
	s.queues[r.Service] = append(s.queues[r.Service], r)
	s.decideQueue(now, r.Service)
}

// Cancel removes a request from its queue without a decision. It does nothing if the request is not queued any more:
// its decision is in Decided then.
func (s *Scheduler) Cancel(r *PendingRequest) {
	if s.decidesByCost(r.Keyed) {
		s.cancel(r)
		return
	}
	queue := s.queues[r.Service]
	for n := range queue {
		if queue[n] == r {
			s.queues[r.Service] = append(queue[:n:n], queue[n+1:]...)
			return
		}
	}
}

// Tick delivers the decisions that become possible by the passing of time: refusals, and requests for servers whose
// pause has ended.
func (s *Scheduler) Tick(now time.Time) {
	if s.options.CostAware {
		s.sweep(now)
	}
	for service := range s.queues {
		s.decideQueue(now, service)
	}
}

// WaitingCount returns the number of requests in all queues of this instance.
func (s *Scheduler) WaitingCount() int {
	n := s.lineCount()
	for _, q := range s.queues {
		n += len(q)
	}
	return n
}

// RunningByServer returns the number of this instance's requests at each server; servers without any are left out.
func (s *Scheduler) RunningByServer() map[identifier.BackendServer]int {
	return s.counts(func(sv *server) int { return sv.running })
}

// WaitingByServer returns the number of this instance's requests that wait for each server as the owner of their keys;
// servers without any are left out.
func (s *Scheduler) WaitingByServer() map[identifier.BackendServer]int {
	return s.counts(func(sv *server) int { return sv.waiting })
}

// counts returns the given count of each server for which it is not 0.
func (s *Scheduler) counts(count func(*server) int) map[identifier.BackendServer]int {
	counts := map[identifier.BackendServer]int{}
	for id, sv := range s.servers {
		if n := count(sv); n > 0 {
			counts[id] = n
		}
	}
	return counts
}

// decideQueue goes through the queue of a service in order and delivers each decision that can be made now.
func (s *Scheduler) decideQueue(now time.Time, service identifier.Service) {
	queue := s.queues[service]
	defer s.recordWaiting(service, s.waiting[service])
	s.waiting[service] = nil
	if len(queue) == 0 {
		return
	}
	sort.SliceStable(queue, func(a, b int) bool { return queue[a].sortKey(now) < queue[b].sortKey(now) })
	ahead := map[identifier.BackendServer]int{}
	poolAhead := 0
	kept := queue[:0]
	for _, r := range queue {
		var d Decision
		var decided bool
		if r.Keyed {
			d, decided = s.decideKeyed(now, r, ahead)
		} else {
			d, decided = s.decidePooled(now, r, &poolAhead)
		}
		if !decided {
			kept = append(kept, r)
			continue
		}
		r.Decided <- d
	}
	for n := len(kept); n < len(queue); n++ {
		queue[n] = nil
	}
	s.queues[service] = kept
	s.waiting[service] = ahead
}

// recordWaiting sets the number of waiting requests of each server. before has the servers that had any; the work must not
// grow with the servers that have none, since it is done for each request.
func (s *Scheduler) recordWaiting(service identifier.Service, before map[identifier.BackendServer]int) {
	for id := range before {
		if sv, ok := s.servers[id]; ok {
			sv.waiting = 0
		}
	}
	for id, n := range s.waiting[service] {
		if sv, ok := s.servers[id]; ok {
			sv.waiting = n
		}
	}
}

// sortKey returns the sort key of a request in its queue, which is its waiting time, negated and adjusted; requests
// with lower keys go first.
func (r *PendingRequest) sortKey(now time.Time) time.Duration {
	at := -now.Sub(r.Arrived) + time.Duration(r.Priority)*priorityStep
	if r.IsRetry {
		at -= retryLead
	}
	if now.After(r.TargetTime) {
		at += latePenalty
	}
	return at
}

// decideKeyed decides on a request for a key, which only the key's owner can run. It returns false if the request stays
// in the queue.
func (s *Scheduler) decideKeyed(now time.Time, r *PendingRequest, ahead map[identifier.BackendServer]int) (Decision, bool) {
	own := s.owners.Owner(now, r.Service, r.Key)
	sv := s.servers[own.Server]
	if !own.Ready || sv == nil || sv.excluded && !now.Before(sv.ownsUntil) || sv.entry.Incarnation != own.Incarnation || r.Tried[own.Server] {
		wait := unknownOwnerRetryAfter
		if !own.ReadyAt.IsZero() {
			wait = own.ReadyAt.Sub(now)
		}
		if now.Sub(r.Arrived) < ownerWaitTimeout && wait < ownerWaitTimeout && !own.ReadyAt.IsZero() && !s.missesDeadline(now, r, 0) {
			return Decision{}, false
		}
		return s.refuse(NoOwner, wait, Inputs{Owner: own, ExpectedWait: wait}), true
	}
	d, decided := s.decideAtServer(now, r, sv, ahead)
	d.Inputs.Owner = own
	return d, decided
}

// decideAtServer decides on a request that can be sent only to sv. ahead is the number of requests in the queue that
// already wait for each server; a request that stays in the queue is added to it, and false is returned.
func (s *Scheduler) decideAtServer(now time.Time, r *PendingRequest, sv *server, ahead map[identifier.BackendServer]int) (Decision, bool) {
	if ahead[sv.entry.ID] == 0 && s.mayAdmit(now, sv) {
		return s.assign(now, r, sv), true
	}
	if s.needsHealthCall(now, sv) {
		s.wantHealthCall(sv)
	}
	capacity := max(sv.requestLimit(now)-sv.otherLoad(now), 1)
	wait := time.Duration(float64(ahead[sv.entry.ID]+1) / capacity * sv.latency * float64(time.Millisecond) / 2)
	if interval, paced := sv.pacingInterval(now); paced {
		wait = time.Duration(ahead[sv.entry.ID])*interval + max(sv.lastSentAt.Add(interval).Sub(now), 0)
	}
	if s.isCold(now, sv) {
		wait = max(sv.coldUntil.Sub(now), sv.doubt.coldUntil.Sub(now))
		if share := s.coldShare(now, sv); share > 0 {
			wait = min(wait, time.Duration(float64(ahead[sv.entry.ID]+1)/float64(share)*float64(time.Second)))
		}
	}
	wait = max(wait, sv.pausedUntil.Sub(now))
	if s.missesDeadline(now, r, wait) {
		in := s.inputs(now, sv)
		in.Ahead, in.ExpectedWait = ahead[sv.entry.ID], wait
		return s.refuse(QueueTooLong, wait, in), true
	}
	ahead[sv.entry.ID]++
	return Decision{}, false
}

// missesDeadline reports whether a request that waits for the given time cannot be answered before its deadline.
func (s *Scheduler) missesDeadline(now time.Time, r *PendingRequest, wait time.Duration) bool {
	need := time.Duration(minLatencyShare * s.usualLatency(r.Service) * float64(time.Millisecond))
	return now.Add(wait + need).After(r.Deadline)
}

// decidePooled decides on a request that any server of its service can run: it goes to the one with the lowest cost of
// those that have capacity. ahead is the number of requests that stay in the queue before this one; a request that
// stays is added to it, and false is returned.
func (s *Scheduler) decidePooled(now time.Time, r *PendingRequest, ahead *int) (Decision, bool) {
	var best, doubtful *server
	lowest, lowestDoubtful := math.Inf(1), math.Inf(1)
	capacity, usable := 0.0, 0
	pause := time.Duration(math.MaxInt64) // Until the first server accepts requests again.
	for _, sv := range s.pools[r.Service] {
		if sv.excluded || r.Tried[sv.entry.ID] {
			continue
		}
		usable++
		pause = min(pause, max(sv.pausedUntil.Sub(now), 0))
		capacity += max(sv.requestLimit(now)-sv.otherLoad(now), 0.5)
		if !s.hasCapacity(now, sv) {
			if c := s.cost(now, sv); c < lowestDoubtful && s.needsHealthCall(now, sv) {
				doubtful, lowestDoubtful = sv, c
			}
			continue
		}
		if c := s.cost(now, sv); c < lowest {
			best, lowest = sv, c
		}
	}
	switch {
	case usable == 0:
		return s.refuse(NoServer, ownerWaitTimeout, Inputs{}), true
	case best != nil:
		return s.assign(now, r, best), true
	}
	if doubtful != nil {
		s.wantHealthCall(doubtful)
	}
	wait := time.Duration(float64(*ahead+1) / max(capacity, 1) * s.usualLatency(r.Service) * float64(time.Millisecond))
	wait = max(wait, pause)
	if s.missesDeadline(now, r, wait) {
		return s.refuse(QueueTooLong, wait, Inputs{Ahead: *ahead, ExpectedWait: wait}), true
	}
	*ahead++
	return Decision{}, false
}

// assign assigns a request to a server and counts it as running there.
func (s *Scheduler) assign(now time.Time, r *PendingRequest, sv *server) Decision {
	in := s.inputs(now, sv)
	s.sends++
	if s.options.CostAware {
		s.recordSentWork(now, r, sv, s.sends)
	}
	sv.running++
	sv.lastSentAt = now
	sv.cold.RecordRequest(now)
	if r.Retryable {
		sv.sent = append(sv.sent, sentRequest{s.sends, now})
	}
	return Decision{Server: sv.entry, Send: s.sends, Inputs: in}
}

// jitter returns a pseudo-random number from 0 up to 1.
func (s *Scheduler) jitter() float64 {
	s.retryJitter = s.retryJitter*6364136223846793005 + 1442695040888963407
	return float64(s.retryJitter>>40) / float64(1<<24)
}

// refuse returns a refusal with a retry time of 1 to 1.5 times the wait.
func (s *Scheduler) refuse(reason Reason, wait time.Duration, in Inputs) Decision {
	// The retry times are spread so that callers that are refused at the same time do not all retry at the same time.
	factor := 1 + s.jitter()/2
	wait = time.Duration(float64(max(wait, minRetryAfter)) * factor)
	return Decision{Reason: reason, RetryAfter: wait, Inputs: in}
}
