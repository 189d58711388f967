package scheduler

import (
	"math"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

const (
	// returnShare is the share of the capacity that is booked for callers who were refused and return.
	returnShare = 0.5
	// returnTimeShare is the share of the time left up to which callers honour a retry time.
	returnTimeShare = 1.0 / 3
	// maxOwnerRisk is the highest probability that the owner of a key is full at which it gets a request that is not
	// idempotent. It is higher than that for pools, since no other server can run the request: 0.2 and 0.35 left the owners of
	// hot keys idle.
	maxOwnerRisk = 0.5
	// basePace and rankPace give the factor on the wait of a request for its turn at an owner that more instances want than it
	// has slots: basePace for the most urgent ones, and rankPace more for each step of rank, since more urgent requests may wait
	// at other instances.
	basePace = 0.4
	rankPace = 0.25
	// maxPaceShare bounds the additional wait of a request that can still meet its target time, as a fraction of its time, so
	// that no class starves.
	maxPaceShare = 0.5
	// safeShare bounds the time that a request is taken to need, as a fraction of its target time: at a slow server, requests
	// would count as late when they arrive.
	safeShare = 0.5
	// retryPace is the factor on the wait of a retry for its turn.
	retryPace = 0.5
)

// enqueue decides on a request that has arrived, or adds it to its line.
func (s *Scheduler) enqueue(now time.Time, r *PendingRequest) {
	key := lineKey{service: r.Service}
	if r.Keyed {
		own, sv := s.ownerOf(now, r)
		if sv == nil {
			s.enqueueWithoutOwner(now, r, own)
			return
		}
		key.server = sv.entry.ID
	}
	l := s.lines[key]
	if l == nil {
		l = &line{key: key}
		s.lines[key] = l
	}
	c := s.capacityOf(now, key)
	needed := s.neededTime(now, r, c)
	l.push(r, rank(now, r, s.safeTime(now, r, c)), s.estimates.work.Estimate(r.Class).Mean())
	s.serve(now, l)
	if r.queued.line != l {
		return
	}
	if wait := max(s.expectedWait(now, r, l, c), c.pause); now.Add(wait + needed).After(r.Deadline) {
		l.remove(r)
		s.recordLineWaiting(l)
		r.Decided <- s.refuseBooked(now, r, l, c, wait)
	}
}

// ownerOf returns the owner of a request's key. The server is nil if it cannot get the request now. The owner is looked up
// once in an event: a look-up may start the test of an owner that has refused requests, and only the request for which it is
// made may then be sent.
func (s *Scheduler) ownerOf(now time.Time, r *PendingRequest) (registrar.Ownership, *server) {
	if !r.queued.ownedAt.Equal(now) || r.queued.ownedAt.IsZero() {
		r.queued.ownership, r.queued.ownedAt = s.owners.Owner(now, r.Service, r.Key), now
	}
	own := r.queued.ownership
	sv := s.servers[own.Server]
	if !own.Ready || sv == nil || sv.excluded && !now.Before(sv.ownsUntil) || sv.entry.Incarnation != own.Incarnation || r.Tried[own.Server] {
		return own, nil
	}
	return own, sv
}

// enqueueWithoutOwner lets a request wait for its key's next owner, or refuses it.
func (s *Scheduler) enqueueWithoutOwner(now time.Time, r *PendingRequest, own registrar.Ownership) {
	wait, waits := s.waitForOwner(now, r, own)
	if !waits {
		r.Decided <- s.refuse(NoOwner, wait, Inputs{Owner: own, ExpectedWait: wait})
		return
	}
	s.ownerless[r] = struct{}{}
}

// waitForOwner returns the time after which a key may have an owner, and whether a request waits for it.
func (s *Scheduler) waitForOwner(now time.Time, r *PendingRequest, own registrar.Ownership) (wait time.Duration, waits bool) {
	wait = unknownOwnerRetryAfter
	if !own.ReadyAt.IsZero() {
		wait = own.ReadyAt.Sub(now)
	}
	return wait, now.Sub(r.Arrived) < ownerWaitTimeout && wait < ownerWaitTimeout && !own.ReadyAt.IsZero() && !s.missesDeadline(now, r, 0)
}

// serve sends the requests of a line that can be sent now.
func (s *Scheduler) serve(now time.Time, l *line) {
	defer s.recordLineWaiting(l)
	for l.count > 0 && s.serveOne(now, l) {
		continue
	}
}

// serveOne decides on one request of a line. It returns false if none can be decided on now. A request that is not idempotent
// may have to wait where one that is may be sent, so the first of each kind is tried.
func (s *Scheduler) serveOne(now time.Time, l *line) bool {
	var failed [2]bool
	for _, g := range l.order() {
		r := g.first()
		kind := 0
		if r.RunsOnce {
			kind = 1
		}
		if failed[kind] {
			continue
		}
		d, decided := s.decideFirst(now, l, r)
		switch {
		case decided && d.Send == 0 && d.Reason == NotRefused:
			return true // The request changed its place.
		case decided:
			l.remove(r)
			if d.Reason == NotRefused {
				l.recordSent(g, r)
			}
			r.Decided <- d
			return true
		}
		failed[kind] = true
		if kind == 0 {
			return false // What a repeatable request must wait for, all others must.
		}
	}
	return false
}

// decideFirst decides on the first request of a group. An empty Decision says that the request changed its place.
func (s *Scheduler) decideFirst(now time.Time, l *line, r *PendingRequest) (Decision, bool) {
	key := l.key
	var own registrar.Ownership
	if r.Keyed {
		var sv *server
		own, sv = s.ownerOf(now, r)
		if sv == nil || sv.entry.ID != key.server {
			l.remove(r)
			s.enqueue(now, r)
			return Decision{}, true
		}
	}
	c := s.capacityOf(now, key)
	needed := s.neededTime(now, r, c)
	if at := rank(now, r, s.safeTime(now, r, c)); at != r.queued.group.rank {
		work := r.queued.work
		l.remove(r)
		l.push(r, at, work)
		return Decision{}, true
	}
	var d Decision
	var sent bool
	if r.Keyed {
		d, sent = s.sendToOwner(now, r, c.server)
	} else if choice := s.chooseServer(now, r); choice.server != nil {
		d, sent = s.assignChoice(now, r, choice), true
	} else {
		s.wantPoolHealthCall(now, r)
	}
	d.Inputs.Owner = own
	switch {
	case sent:
		return d, true
	case !c.usable:
		return s.refuse(NoServer, ownerWaitTimeout, Inputs{}), true
	case now.Add(c.pause + needed).After(r.Deadline):
		d = s.refuseBooked(now, r, l, c, c.pause)
		d.Inputs.Owner = own
		return d, true
	}
	return Decision{}, false
}

// sendToOwner assigns a request to the owner of its key if that may get it now.
func (s *Scheduler) sendToOwner(now time.Time, r *PendingRequest, sv *server) (Decision, bool) {
	interval, paced := s.ownerInterval(now, sv)
	interval = s.urgencyInterval(r, interval)
	if !s.mayAdmitPaced(now, sv, interval, paced) {
		if s.needsHealthCall(now, sv) {
			s.wantHealthCall(sv)
		}
		return Decision{}, false
	}
	f := s.forecast(now, sv, s.estimates.work.Estimate(r.Class))
	if r.RunsOnce && f.fullRisk > maxOwnerRisk {
		return Decision{}, false
	}
	return s.assignChoice(now, r, poolChoice{server: sv, seen: f}), true
}

// neededTime returns the time that a request is expected to take if it is sent now: the median.
func (s *Scheduler) neededTime(now time.Time, r *PendingRequest, c capacity) time.Duration {
	return time.Duration(s.estimates.work.Estimate(r.Class).Median() * s.lineSlowdown(now, r, c) * float64(time.Millisecond))
}

// safeTime returns the time within which a request is likely to be answered if it is sent now: between the median and the 0.9
// quantile. A request that has less left until its target time counts as late: otherwise, where more requests arrive than can
// be run, each would be sent just before its target time, and most would be late.
func (s *Scheduler) safeTime(now time.Time, r *PendingRequest, c capacity) time.Duration {
	work := s.estimates.work.Estimate(r.Class)
	safe := time.Duration((work.Median() + work.Quantile90()) / 2 * s.lineSlowdown(now, r, c) * float64(time.Millisecond))
	return min(safe, time.Duration(safeShare*float64(r.TargetTime.Sub(r.Arrived))))
}

// lineSlowdown returns the factor by which requests take longer at the servers of a line than their work.
func (s *Scheduler) lineSlowdown(now time.Time, r *PendingRequest, c capacity) float64 {
	if c.server != nil {
		return s.slowdown(now, c.server)
	}
	if mean, ok := s.estimates.slowness[r.Service]; ok {
		return mean
	}
	return 1
}

// expectedWait returns the time for which a request is expected to wait in a line before it is sent: for the requests that go
// before it here, a like share of those that wait at other instances, and the returns that are booked meanwhile.
func (s *Scheduler) expectedWait(now time.Time, r *PendingRequest, l *line, c capacity) time.Duration {
	if c.throughput <= 0 {
		return 0
	}
	mean := s.estimates.work.Service(l.key.service).Mean()
	work, share := l.workAhead(r, rank(now, r, s.safeTime(now, r, c)))
	work = max(work-r.queued.work, 0) // The request itself waits in the line already.
	paced := s.pacedWait(now, r, c, work/mean)
	work += mean * (share*c.waiting + max(c.running+c.peers-c.slots+1, 0))
	wait := time.Duration(work / c.throughput * float64(time.Millisecond))
	if !r.IsRetry {
		returning := float64(l.bookings.Due(now, now.Add(wait)))
		wait += time.Duration(returning * mean / c.throughput * float64(time.Millisecond))
	}
	return max(wait, paced)
}

// pacedWait returns the time until the turn of a request to be sent to the owner of its key, with the given number of others
// before it; 0 if the requests are not paced.
func (s *Scheduler) pacedWait(now time.Time, r *PendingRequest, c capacity, ahead float64) time.Duration {
	if c.server == nil {
		return 0
	}
	interval, paced := s.ownerInterval(now, c.server)
	if !paced {
		return 0
	}
	interval = s.urgencyInterval(r, interval)
	return max(c.server.lastSentAt.Add(interval).Sub(now), 0) + time.Duration(ahead*float64(interval))
}

// refuseBooked refuses a request. Its caller returns at a booked time, if one is left of which the caller will make use.
func (s *Scheduler) refuseBooked(now time.Time, r *PendingRequest, l *line, c capacity, wait time.Duration) Decision {
	in := Inputs{Ahead: l.count, ExpectedWait: wait}
	if c.server != nil {
		in = s.inputs(now, c.server)
		in.Ahead, in.ExpectedWait = l.count, wait
		in.Owner.Server = c.server.entry.ID
	}
	if c.throughput <= 0 {
		return s.refuse(QueueTooLong, wait, in)
	}
	back := *r
	back.IsRetry, back.queued = true, queuedRequest{}
	earliest := now.Add(max(s.expectedWait(now, &back, l, c), c.pause, minRetryAfter))
	latest := now.Add(time.Duration(returnTimeShare * float64(r.Deadline.Sub(now))))
	own := c.running + float64(l.count) + 1
	interval := s.estimates.work.Service(l.key.service).Mean() / c.throughput * (own + c.peers + c.waiting) / own / returnShare
	at, booked := l.bookings.Book(now, earliest, latest, time.Duration(interval*float64(time.Millisecond)))
	if !booked {
		return s.refuse(QueueTooLong, at.Sub(now), in)
	}
	in.Booked = true
	return Decision{Reason: QueueTooLong, RetryAfter: at.Sub(now), Inputs: in}
}

// sweep decides on the requests that have become hopeless, and on those whose keys had no owner.
func (s *Scheduler) sweep(now time.Time) {
	for r := range s.ownerless {
		own, sv := s.ownerOf(now, r)
		if sv != nil {
			delete(s.ownerless, r)
			s.enqueue(now, r)
			continue
		}
		if wait, waits := s.waitForOwner(now, r, own); !waits {
			delete(s.ownerless, r)
			r.Decided <- s.refuse(NoOwner, wait, Inputs{Owner: own, ExpectedWait: wait})
		}
	}
	s.scanLimit = math.MaxInt
	defer func() { s.scanLimit = eventScan }()
	for key, l := range s.lines {
		if l.count == 0 {
			if l.bookings.Due(now, now.Add(maxPause)) == 0 {
				delete(s.lines, key)
			}
			continue
		}
		s.sweepLine(now, l)
		s.serve(now, l)
	}
}

// sweepLine refuses the requests of a line that cannot be answered before their deadlines.
func (s *Scheduler) sweepLine(now time.Time, l *line) {
	c := s.capacityOf(now, l.key)
	mean := s.estimates.work.Service(l.key.service).Mean()
	var hopeless []*PendingRequest
	ahead, before := 0.0, 0
	for _, g := range l.groups {
		wait := c.pause
		if c.throughput > 0 {
			others := c.waiting * float64(before) / float64(l.count)
			wait = max(wait, time.Duration((ahead+others*mean)/c.throughput*float64(time.Millisecond)))
		}
		for _, requests := range []requestHeap{g.retries, g.firsts} {
			for _, r := range requests {
				if now.Add(wait + s.neededTime(now, r, c)).After(r.Deadline) {
					hopeless = append(hopeless, r)
				}
			}
		}
		ahead += g.work
		before += g.count()
	}
	for _, r := range hopeless {
		l.remove(r)
		if !c.usable {
			r.Decided <- s.refuse(NoServer, ownerWaitTimeout, Inputs{})
			continue
		}
		r.Decided <- s.refuseBooked(now, r, l, c, c.pause)
	}
}

// recordLineWaiting sets the number of this instance's requests that wait for the servers of a line. Those that wait for a
// pool are counted at its servers in turn, so that other instances learn their number.
func (s *Scheduler) recordLineWaiting(l *line) {
	if l.key.server != "" {
		if sv := s.servers[l.key.server]; sv != nil {
			sv.waiting = l.count
		}
		return
	}
	pool := s.pools[l.key.service]
	for n, sv := range pool {
		sv.waiting = l.count / len(pool)
		if n < l.count%len(pool) {
			sv.waiting++
		}
	}
}

// serveServer serves the lines of a server from which something was learned.
func (s *Scheduler) serveServer(now time.Time, sv *server) {
	s.freed = sv
	defer func() { s.freed = nil }()
	for _, key := range []lineKey{{sv.entry.Service, sv.entry.ID}, {service: sv.entry.Service}} {
		if l := s.lines[key]; l != nil && l.count > 0 {
			s.serve(now, l)
		}
	}
}

// cancel removes a request that waits.
func (s *Scheduler) cancel(r *PendingRequest) {
	delete(s.ownerless, r)
	if l := r.queued.line; l != nil {
		l.remove(r)
		s.recordLineWaiting(l)
	}
}

// lineCount returns the number of requests that wait.
func (s *Scheduler) lineCount() int {
	n := len(s.ownerless)
	for _, l := range s.lines {
		n += l.count
	}
	return n
}

// decidesByCost reports whether decisions on requests follow estimates; keyed says whether they have keys.
func (s *Scheduler) decidesByCost(keyed bool) bool {
	return s.options.CostAware && (!keyed || s.options.Owners)
}

// isKeyed reports whether requests for a service have keys, by those that have arrived.
func (s *Scheduler) isKeyed(service identifier.Service) bool { return s.keyed[service] }

// decideFor delivers the decisions that become possible by what was learned of a server.
func (s *Scheduler) decideFor(now time.Time, sv *server) {
	if s.decidesByCost(s.isKeyed(sv.entry.Service)) {
		s.serveServer(now, sv)
		return
	}
	s.decideQueue(now, sv.entry.Service)
}
