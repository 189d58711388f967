package scheduler

import "time"

// capacity is what the servers of a line can run, and the requests of all instances that are there or wait.
type capacity struct {
	server     *server // Nil for a pool.
	throughput float64 // Work in milliseconds that is done in a millisecond.
	slots      float64
	running    float64 // Of this instance.
	peers      float64 // Of the other instances, at the servers.
	waiting    float64 // Of the other instances, in their queues.
	pause      time.Duration
	usable     bool
	at         time.Time
}

// capacityOf returns what the servers of a line can run now.
func (s *Scheduler) capacityOf(now time.Time, key lineKey) capacity {
	if c, ok := s.poolCapacity[key.service]; ok && key.server == "" && now.Sub(c.at) < capacityLifetime {
		return c
	}
	c := capacity{pause: maxPause, at: now}
	if key.server != "" {
		c.server = s.servers[key.server]
		if c.server != nil {
			s.addCapacity(now, &c, c.server)
		}
	} else {
		for _, sv := range s.pools[key.service] {
			if !sv.excluded {
				s.addCapacity(now, &c, sv)
			}
		}
		s.poolCapacity[key.service] = c
	}
	return c
}

// capacityLifetime is how long the capacity of a pool is used again: its sum takes some 0.1 ms for some hundred servers.
const capacityLifetime = 10 * time.Millisecond

// maxPause bounds the time for which the servers of a line are taken to want no requests.
const maxPause = time.Hour

// addCapacity adds what a server can run.
func (s *Scheduler) addCapacity(now time.Time, c *capacity, sv *server) {
	c.usable = true
	slots := float64(sv.entry.Slots)
	c.throughput += slots / s.slowdown(now, sv)
	c.slots += slots
	c.running += float64(sv.running)
	c.peers += s.expectedPeerLoad(now, sv).total()
	c.waiting += sv.peerWaiting
	pause := sv.pausedUntil.Sub(now)
	if s.isCold(now, sv) && s.coldShare(now, sv) == 0 {
		pause = max(pause, sv.coldUntil.Sub(now), sv.doubt.coldUntil.Sub(now))
	}
	c.pause = min(c.pause, max(pause, 0))
}

// ownerInterval returns the interval at which this instance may send requests to the owner of keys, like pacingInterval: the
// time in which the server does the work of the last request, divided by this instance's share of the requests.
func (s *Scheduler) ownerInterval(now time.Time, sv *server) (interval time.Duration, paced bool) {
	own := float64(sv.running + max(sv.waiting, 1))
	limit := sv.requestLimit(now)
	total := own + sv.peerRunning + sv.peerWaiting
	if total <= limit || limit*own >= total {
		return 0, false
	}
	work := s.estimates.work.Service(sv.entry.Service).Mean() * s.slowdown(now, sv)
	return time.Duration(work * total / (float64(sv.entry.Slots) * own) * float64(time.Millisecond)), true
}

// urgencyInterval returns the interval at which a request's turn comes to be sent, from that of all requests.
func (s *Scheduler) urgencyInterval(r *PendingRequest, interval time.Duration) time.Duration {
	if r.IsRetry {
		return time.Duration(float64(interval) * retryPace)
	}
	slower := time.Duration(float64(interval) * (1 + rankPace*float64(r.queued.group.rank)))
	if r.queued.group.rank != 2*int(r.Priority) {
		return slower
	}
	return min(slower, max(interval, time.Duration(maxPaceShare*float64(r.Deadline.Sub(r.Arrived)))))
}
