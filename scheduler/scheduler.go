// Package scheduler decides which request goes to which backend server when, and which
// is refused: a queue for each service, bounded by deadlines and ordered by rank, and
// an estimate of the free slots of each server. Nothing in this package does I/O or
// reads a clock.
package scheduler

import (
	"math"
	"sort"
	"time"

	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

// Ticket is a request that wants a backend server.
type Ticket struct {
	Service  identifier.Service
	Keyed    bool
	Key      identifier.Point
	Rank     director.Rank
	Returned bool      // The caller was refused before.
	Arrived  time.Time // At this instance.
	Target   time.Time // Answers later than this earn less.
	Deadline time.Time
	Tried    map[identifier.BackendServer]bool // Servers that the request must not reach again.
	Decided  chan Decision                     // Gets exactly one decision unless the ticket is cancelled.
}

// Reason says why a request is refused.
type Reason int

// The reasons of refusals.
const (
	None     Reason = iota
	NoOwner         // Nobody owns the key for now.
	NoServer        // No server of the service can take work.
	NoRoom          // The queue is longer than the deadline allows.
	Expired         // The deadline is too near for an answer.
)

// Decision is a server, or a reason and the time after which there will be room.
type Decision struct {
	Server     registrar.Entry
	Reason     Reason
	RetryAfter time.Duration
	Inputs     Inputs
}

// Inputs are what a decision was made from, for the log.
type Inputs struct {
	Owner   registrar.Ownership
	Running int           // Requests of this instance at the server.
	Others  float64       // Estimate of the other instances' requests there.
	LoadAge time.Duration // Of the server's last report; 0 if there was none.
	Ahead   int           // Requests that waited before this one.
	Wait    time.Duration // Expected.
}

// Owners tells the owner of a key of a keyed service.
type Owners interface {
	Owner(now time.Time, service identifier.Service, key identifier.Point) registrar.Ownership
}

const (
	// queueShare is the part of a server's slots that may wait at the server, so that a
	// slot is not idle for the time of a round trip.
	queueShare = 0.1
	// rankStep is the lead that a more urgent rank has over the next one; requests of a
	// lower rank that have waited that much longer go first, so that none starves.
	rankStep = 400 * time.Millisecond
	// returnedLead is the lead of callers that were refused before: another refusal costs
	// them their request.
	returnedLead = 300 * time.Millisecond
	// lateDelay is how far requests whose target has passed stand back behind those that
	// can still make it.
	lateDelay = 2 * time.Second
	// otherZoneFactor is how much better a server in another zone must be: each request
	// there crosses zones.
	otherZoneFactor = 1.3
	// defaultLatency is assumed of a server without answers yet.
	defaultLatency = 100 * time.Millisecond
	// smoothing is the weight of a new observation in an average.
	smoothing = 0.15
	// loadKept is the time in which a report of load loses most of its meaning.
	loadKept = 600 * time.Millisecond
	// heardWeight is the weight of what the instances say now, against what they said
	// before.
	heardWeight = 0.4
	// finishShare is the part of the usual latency that must be left before a deadline.
	finishShare = 0.6
	// ownerPatience bounds the wait for a key that is moving: about the time in which the
	// requests that run at its former owner end.
	ownerPatience = 450 * time.Millisecond
	// unknownOwner is the time after which callers may come back whose key has no owner and
	// whose owner's return is not known: the hold of a lost server's grants ends within
	// seconds, and callers have one or two tries.
	unknownOwner = time.Second
	// leastRetryAfter keeps refused callers from coming back before anything changed.
	leastRetryAfter = 100 * time.Millisecond
)

// Scheduler is the state of one instance. It is not safe for concurrent use.
type Scheduler struct {
	startedAt time.Time
	zone      identifier.Zone
	owners    Owners
	servers   map[identifier.BackendServer]*server
	pools     map[identifier.Service][]*server // In order of their IDs.
	queues    map[identifier.Service][]*Ticket
	latency   map[identifier.Service]float64 // Milliseconds, averaged.
	instances int
	spread    uint64
}

// New returns a Scheduler of an instance in a zone whose process starts now.
func New(now time.Time, zone identifier.Zone, owners Owners) *Scheduler {
	return &Scheduler{
		startedAt: now, zone: zone, owners: owners, servers: map[identifier.BackendServer]*server{},
		pools:  map[identifier.Service][]*server{},
		queues: map[identifier.Service][]*Ticket{}, latency: map[identifier.Service]float64{}, instances: 1,
	}
}

// SetInstances sets the number of instances that share the bounds of cold servers.
func (s *Scheduler) SetInstances(n int) { s.instances = n }

// Work returns how long a request takes at a server without waiting there, on average,
// as this instance sees it.
func (s *Scheduler) Work(id identifier.BackendServer) (ms float64, ok bool) {
	sv, ok := s.servers[id]
	if !ok {
		return 0, false
	}
	return sv.work, true
}

// Arrive takes in a request. Its decision and others' that this allows are delivered.
func (s *Scheduler) Arrive(now time.Time, t *Ticket) {
	s.queues[t.Service] = append(s.queues[t.Service], t)
	s.run(now, t.Service)
}

// Cancel takes out a request whose caller has left.
func (s *Scheduler) Cancel(t *Ticket) {
	queue := s.queues[t.Service]
	for n := range queue {
		if queue[n] == t {
			s.queues[t.Service] = append(queue[:n:n], queue[n+1:]...)
			return
		}
	}
}

// Outcome is how a request that went to a server ended there.
type Outcome int

// The outcomes.
const (
	Answered    Outcome = iota
	Shed                // Refused without running.
	Unreachable         // Not sent.
	Broken              // Sent, and not answered.
	Cancelled           // The caller left, or the deadline passed.
)

// Report is what an answer tells of its server.
type Report struct {
	Outcome  Outcome
	Latency  time.Duration
	HasLoad  bool
	Running  int
	Waiting  int
	Slowness float64 // 1 is usual.
}

const (
	// shedPause is the time in which a server that refused gets nothing new.
	shedPause = 30 * time.Millisecond
	// unreachablePause is the time in which a server that cannot be reached gets nothing
	// new: it is tried again a few times before its requests' deadlines.
	unreachablePause = 150 * time.Millisecond
)

// Done takes in that a request which went to a server has ended.
func (s *Scheduler) Done(now time.Time, id identifier.BackendServer, life registrar.Life, r Report) {
	sv, ok := s.servers[id]
	if !ok || sv.entry.Life != life {
		return
	}
	sv.running--
	switch r.Outcome {
	case Answered:
		ms := float64(r.Latency.Microseconds()) / 1000
		sv.latency += smoothing * (ms - sv.latency)
		// A queue of that length was there all the while, more or less.
		sv.work += smoothing * (ms*min(1, float64(sv.entry.Slots)/float64(r.Running+r.Waiting+1)) - sv.work)
		usual := s.usual(sv.entry.Service)
		s.latency[sv.entry.Service] = usual + smoothing/4*(ms-usual)
	case Shed:
		sv.pauseTill = now.Add(shedPause)
	case Unreachable:
		sv.pauseTill = now.Add(unreachablePause)
	case Broken, Cancelled:
	}
	if r.HasLoad {
		// The answered request may still be counted in the report.
		others := max(float64(r.Running+r.Waiting-sv.running-1), 0)
		if now.Sub(sv.othersAt) > loadKept {
			sv.others = others
		} else {
			sv.others += 2 * smoothing * (others - sv.others)
		}
		sv.othersAt = now
		if r.Slowness > 0 {
			sv.slowness, sv.slowAt = r.Slowness, now
		}
	}
	s.run(now, sv.entry.Service)
}

// Tick decides what time alone allows: refusals, and servers whose pause is over.
func (s *Scheduler) Tick(now time.Time) {
	for service := range s.queues {
		s.run(now, service)
	}
}

// Waiting returns the number of requests that wait.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, q := range s.queues {
		n += len(q)
	}
	return n
}

// Running returns the requests of this instance at each server.
func (s *Scheduler) Running() map[identifier.BackendServer]int {
	return s.counts(func(sv *server) int { return sv.running })
}

// WaitingAt returns the requests of this instance that wait for each server.
func (s *Scheduler) WaitingAt() map[identifier.BackendServer]int {
	return s.counts(func(sv *server) int { return sv.waiting })
}

// counts returns what is not 0 at each server.
func (s *Scheduler) counts(of func(*server) int) map[identifier.BackendServer]int {
	counts := map[identifier.BackendServer]int{}
	for id, sv := range s.servers {
		if n := of(sv); n > 0 {
			counts[id] = n
		}
	}
	return counts
}

// run goes through a queue in order and decides what can be decided.
func (s *Scheduler) run(now time.Time, service identifier.Service) {
	queue := s.queues[service]
	if len(queue) == 0 {
		for _, sv := range s.pools[service] {
			sv.waiting = 0
		}
		return
	}
	sort.SliceStable(queue, func(a, b int) bool { return queue[a].standing(now) < queue[b].standing(now) })
	ahead := map[identifier.BackendServer]int{}
	poolAhead := 0
	kept := queue[:0]
	for _, t := range queue {
		var d Decision
		var decided bool
		if t.Keyed {
			d, decided = s.decideKeyed(now, t, ahead)
		} else {
			d, decided = s.decidePooled(now, t, &poolAhead)
		}
		if !decided {
			kept = append(kept, t)
			continue
		}
		t.Decided <- d
	}
	for n := len(kept); n < len(queue); n++ {
		queue[n] = nil
	}
	s.queues[service] = kept
	for _, sv := range s.pools[service] {
		sv.waiting = ahead[sv.entry.ID]
	}
}

// standing is a ticket's place in its queue; lower ones go first.
func (t *Ticket) standing(now time.Time) time.Duration {
	at := -now.Sub(t.Arrived) + time.Duration(t.Rank)*rankStep
	if t.Returned {
		at -= returnedLead
	}
	if now.After(t.Target) {
		at += lateDelay
	}
	return at
}

func (s *Scheduler) decideKeyed(now time.Time, t *Ticket, ahead map[identifier.BackendServer]int) (Decision, bool) {
	own := s.owners.Owner(now, t.Service, t.Key)
	sv := s.servers[own.Server]
	if !own.Ready || sv == nil || sv.excluded && !now.Before(sv.ownsTill) || sv.entry.Life != own.Life || t.Tried[own.Server] {
		wait := unknownOwner
		if !own.ReadyAt.IsZero() {
			wait = own.ReadyAt.Sub(now)
		}
		if now.Sub(t.Arrived) < ownerPatience && wait < ownerPatience && !own.ReadyAt.IsZero() && !s.hopeless(now, t, 0) {
			return Decision{}, false
		}
		return s.refuse(NoOwner, wait, Inputs{Owner: own, Wait: wait}), true
	}
	d, decided := s.decideAt(now, t, sv, ahead)
	d.Inputs.Owner = own
	return d, decided
}

func (s *Scheduler) decideAt(now time.Time, t *Ticket, sv *server, ahead map[identifier.BackendServer]int) (Decision, bool) {
	if ahead[sv.entry.ID] == 0 && s.hasTurn(now, sv) {
		return s.send(now, sv), true
	}
	lane := max(sv.limit(now)-sv.othersNow(now), 1)
	wait := time.Duration(float64(ahead[sv.entry.ID]+1) / lane * sv.latency * float64(time.Millisecond) / 2)
	if pause, paced := sv.pace(now); paced {
		wait = time.Duration(ahead[sv.entry.ID])*pause + max(sv.sentAt.Add(pause).Sub(now), 0)
	}
	if s.isCold(now, sv) {
		wait = time.Duration(float64(ahead[sv.entry.ID]+1) / max(sv.coldRate/float64(s.instances), 0.5) * float64(time.Second))
	}
	if s.hopeless(now, t, wait) {
		in := sv.inputs(now)
		in.Ahead, in.Wait = ahead[sv.entry.ID], wait
		return s.refuse(NoRoom, wait, in), true
	}
	ahead[sv.entry.ID]++
	return Decision{}, false
}

// hopeless reports whether a ticket that waits that long cannot be answered in time.
func (s *Scheduler) hopeless(now time.Time, t *Ticket, wait time.Duration) bool {
	need := time.Duration(finishShare * s.usual(t.Service) * float64(time.Millisecond))
	return now.Add(wait + need).After(t.Deadline)
}

func (s *Scheduler) decidePooled(now time.Time, t *Ticket, ahead *int) (Decision, bool) {
	var best *server
	lowest := math.Inf(1)
	lanes, able := 0.0, 0
	for _, sv := range s.pools[t.Service] {
		if sv.excluded || t.Tried[sv.entry.ID] {
			continue
		}
		able++
		lanes += max(sv.limit(now)-sv.othersNow(now), 0.5)
		if !s.free(now, sv) {
			continue
		}
		if c := s.cost(now, sv); c < lowest {
			best, lowest = sv, c
		}
	}
	switch {
	case able == 0:
		return s.refuse(NoServer, ownerPatience, Inputs{}), true
	case best != nil:
		return s.send(now, best), true
	}
	wait := time.Duration(float64(*ahead+1) / max(lanes, 1) * s.usual(t.Service) * float64(time.Millisecond))
	if s.hopeless(now, t, wait) {
		return s.refuse(NoRoom, wait, Inputs{Ahead: *ahead, Wait: wait}), true
	}
	*ahead++
	return Decision{}, false
}

func (s *Scheduler) send(now time.Time, sv *server) Decision {
	in := sv.inputs(now)
	sv.running++
	sv.sentAt = now
	sv.cold.Sent(now)
	return Decision{Server: sv.entry, Inputs: in}
}

func (s *Scheduler) refuse(why Reason, wait time.Duration, in Inputs) Decision {
	// The spread keeps callers that were refused together from coming back together.
	s.spread = s.spread*6364136223846793005 + 1442695040888963407
	factor := 1 + float64(s.spread>>40)/float64(1<<24)/2
	wait = time.Duration(float64(max(wait, leastRetryAfter)) * factor)
	return Decision{Reason: why, RetryAfter: wait, Inputs: in}
}
