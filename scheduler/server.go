package scheduler

import (
	"math"
	"sort"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/limiter"
	"github.com/turmericlift/turmericlift/registrar"
)

// server is what one instance knows of a backend server.
type server struct {
	entry     registrar.Entry
	excluded  bool
	ownsTill  time.Time
	running   int
	others    float64 // Requests of other instances, running or waiting there.
	othersAt  time.Time
	heard     float64 // Requests of other instances there, by what they say.
	waiting   int     // Requests of this instance that wait for it.
	contended float64 // Requests of other instances that wait for it, by what they say.
	sentAt    time.Time
	latency   float64 // Milliseconds, averaged.
	work      float64 // Milliseconds that a request takes without waiting at the server, averaged.
	slowness  float64 // Of the machine at slowAt; 1 is usual.
	slowAt    time.Time
	pauseTill time.Time // After a refusal or a failure.
	coldTill  time.Time
	coldRate  float64 // Requests a second while cold, over all instances.
	coldRank  int
	cold      *limiter.Cold
}

// Candidate is a backend server with what configuration and operators say of it.
type Candidate struct {
	registrar.Entry
	Excluded bool // Gets no new work.
	// OwnsTill is the time until which an excluded server gets requests for keys that it
	// still owns: they have nowhere else to go until the keys have moved.
	OwnsTill time.Time
	ColdTill time.Time
	ColdRate float64
	ColdRank int // Of this instance among all, for the requests that the server bears while cold.
}

// SetServers replaces the backend servers that are known.
func (s *Scheduler) SetServers(candidates []Candidate) {
	known := map[identifier.BackendServer]*server{}
	s.pools = map[identifier.Service][]*server{}
	for _, c := range candidates {
		sv, ok := s.servers[c.ID]
		if !ok || sv.entry.Life != c.Life || sv.entry.Address != c.Address {
			sv = &server{cold: limiter.NewCold(s.startedAt), latency: s.usual(c.Service), work: s.usual(c.Service), slowness: 1}
		}
		sv.entry, sv.excluded, sv.coldTill, sv.coldRate = c.Entry, c.Excluded || !c.Usable(), c.ColdTill, c.ColdRate
		sv.ownsTill, sv.coldRank = c.OwnsTill, c.ColdRank
		known[c.ID] = sv
		s.pools[c.Service] = append(s.pools[c.Service], sv)
	}
	for _, pool := range s.pools {
		sort.Slice(pool, func(a, b int) bool { return pool[a].entry.ID < pool[b].entry.ID })
	}
	s.servers = known
}

func (s *Scheduler) usual(service identifier.Service) float64 {
	if l, ok := s.latency[service]; ok {
		return l
	}
	return float64(defaultLatency.Milliseconds())
}

func (sv *server) inputs(now time.Time) Inputs {
	in := Inputs{Running: sv.running, Others: sv.othersNow(now)}
	if !sv.othersAt.IsZero() {
		in.LoadAge = now.Sub(sv.othersAt)
	}
	return in
}

func (s *Scheduler) isCold(now time.Time, sv *server) bool { return now.Before(sv.coldTill) }

// free reports whether a server can take one more request of this instance.
func (s *Scheduler) free(now time.Time, sv *server) bool {
	return s.able(now, sv) && float64(sv.running)+sv.othersNow(now) < sv.limit(now)
}

// able reports whether a server takes requests of this instance at all now.
func (s *Scheduler) able(now time.Time, sv *server) bool {
	return !now.Before(sv.pauseTill) && (!s.isCold(now, sv) || sv.cold.May(now, sv.coldRate, s.instances, sv.coldRank))
}

// hasTurn reports whether the owner of a key can take one more request of this instance:
// there is no other server to go to, and many instances may want it.
func (s *Scheduler) hasTurn(now time.Time, sv *server) bool {
	pause, paced := sv.pace(now)
	if !paced {
		return s.free(now, sv)
	}
	return s.able(now, sv) && sv.running == 0 && now.Sub(sv.sentAt) >= pause && sv.othersNow(now) < crowded*sv.limit(now)
}

// crowded is how far above its limit a server's reported load may lie for a paced request
// to be sent: reports are older than the requests take.
const crowded = 1.5

// pace returns the time between two requests of this instance to a server, if so many
// instances want it that none may always have one there: each takes turns by its share of
// those that run and wait.
func (sv *server) pace(now time.Time) (pause time.Duration, paced bool) {
	mine := float64(sv.running + max(sv.waiting, 1))
	limit := sv.limit(now)
	all := mine + sv.heard + sv.contended
	if all <= limit || limit*mine >= all {
		return 0, false
	}
	slots := float64(sv.entry.Slots)
	return time.Duration(sv.work * sv.slowNow(now) * all / (slots * mine) * float64(time.Millisecond)), true
}

// othersNow is the estimate of other instances' requests: what the server reported,
// and as that ages what the instances say.
func (sv *server) othersNow(now time.Time) float64 {
	fresh := math.Exp(-float64(now.Sub(sv.othersAt)) / float64(loadKept))
	return fresh*sv.others + (1-fresh)*sv.heard
}

// Heard takes in the requests that other instances have at each server, and those that
// wait for it.
func (s *Scheduler) Heard(running, waiting map[identifier.BackendServer]int) {
	for id, sv := range s.servers {
		sv.heard += heardWeight * (float64(running[id]) - sv.heard)
		sv.contended += heardWeight * (float64(waiting[id]) - sv.contended)
	}
}

func (sv *server) limit(now time.Time) float64 {
	slots := float64(sv.entry.Slots)
	if sv.slowNow(now) > 1.5 {
		return slots
	}
	return slots + math.Ceil(queueShare*slots)
}

func (sv *server) slowNow(now time.Time) float64 {
	if now.Sub(sv.slowAt) > loadKept/2 {
		return 1
	}
	return max(sv.slowness, 0.5)
}

// cost is the expected latency of a request at a server, weighted by its zone.
func (s *Scheduler) cost(now time.Time, sv *server) float64 {
	used := (float64(sv.running) + sv.othersNow(now) + 1) / float64(sv.entry.Slots)
	c := sv.latency * sv.slowNow(now) * max(used, 0.5)
	if sv.entry.Zone != s.zone {
		c *= otherZoneFactor
	}
	return c
}
