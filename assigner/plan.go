package assigner

import (
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
)

// candidates judges the service's backend servers, sorted by name. A server that
// the assignment names and the list lacks has ended.
func (a *Assigner) candidates(now time.Time) []Candidate {
	var all []Candidate
	seen := map[identifier.BackendServer]bool{}
	for id, s := range a.servers {
		seen[id] = true
		all = append(all, a.evaluate(now, s))
	}
	if a.assignment != nil {
		for _, s := range a.assignment.Servers() {
			if !seen[s.ID] {
				all = append(all, Candidate{Server: s, Evacuate: len(a.servers) > 0})
			}
		}
	}
	slices.SortFunc(all, func(x, y Candidate) int {
		if x.ID < y.ID {
			return -1
		}
		return 1
	})
	return all
}

// evaluate says what a backend server may keep and be given. A server that nobody
// reports on is left as it is: its zone may be cut off and go on serving.
func (a *Assigner) evaluate(now time.Time, s *serverState) Candidate {
	c := Candidate{Server: s.info.Server}
	zone := a.settings.Zones[s.info.Zone]
	fresh := a.reported(now, s)
	down := a.down(now, s)
	draining := fresh && s.report.State == granter.ServerDraining
	out := zone == configurer.ZoneOut || zone == configurer.ZoneLost
	c.Evacuate = !s.listed || s.info.Leaving || out || a.settings.Drained[s.info.ID] || down || draining
	c.Receive = !c.Evacuate && fresh
	c.Cold = s.report.State == granter.ServerCold
	return c
}

// down reports whether a backend server is given up: its coordinator finds it silent,
// or, if the service's IsolationHold is finite, its whole zone has not been heard of.
func (a *Assigner) down(now time.Time, s *serverState) bool {
	if a.reported(now, s) {
		return s.report.Silent >= a.cfg.DownAfter
	}
	since := s.reportAt
	if a.ledSince.After(since) {
		since = a.ledSince
	}
	return a.settings.IsolationHold > 0 && now.Sub(since) >= abandonAfter && !a.anyGranterAnswers(s.info.Zone)
}

func (a *Assigner) anyGranterAnswers(z identifier.Zone) bool {
	for _, m := range a.rosters[z].roster.Members {
		if _, answers := a.live[m.Instance]; answers || m.Instance == a.cfg.Self {
			return true
		}
	}
	return false
}

// plan marks the partitions that should move.
func (a *Assigner) plan(now time.Time, next *partitioner.Assignment, servers []Candidate) bool {
	limit := 0
	if len(a.marks) == 0 {
		limit = balanceLimit(a.settings.BalanceMovesPerMinute, now.Sub(a.balancedAt))
	}
	weights := a.loads.weights(next.Len())
	weights.Fixed = a.placed(next)
	plan := Decide(next, weights, servers, limit)
	changed := false
	room := max(8, next.Len()/plannedBatch) - len(next.Moving())
	for _, m := range plan.Evacuations {
		if a.apply(now, next, m, &room) {
			changed = true
		}
	}
	for _, m := range a.placements(next, servers) {
		changed = a.apply(now, next, m, &room) || changed
	}
	for _, m := range plan.Balances {
		if a.apply(now, next, m, &room) {
			a.balancedAt = now
			changed = true
		}
	}
	return a.updatePins(now, next, servers) || changed
}

// balanceLimit returns how many moves that only even out load may begin, so long after
// the last ones.
func balanceLimit(perMinute int, since time.Duration) int {
	if perMinute == 0 || since < balanceEvery || since < time.Minute/time.Duration(perMinute) {
		return 0
	}
	return max(1, perMinute*int(balanceEvery/time.Second)/int(time.Minute/time.Second))
}

// apply places or marks one partition. A move from a server that still serves is
// put off while a granter that would have to promise does not answer: the partition
// would be out of service until it does.
func (a *Assigner) apply(now time.Time, next *partitioner.Assignment, m Move, room *int) bool {
	owner, _, owned := next.Owner(m.Partition)
	if !owned {
		return next.Place(m.Partition, m.To) == nil
	}
	s, known := a.servers[owner]
	serves := known && s.listed && !a.down(now, s)
	if serves && (*room <= 0 || !a.grantersAnswer(a.assignment.ZoneOf(owner))) {
		return false
	}
	if serves {
		*room--
	}
	return next.Mark(m.Partition, m.To) == nil
}

// grantersAnswer reports whether each process on a zone's roster answers probes or
// is excused. A zone that operators have declared lost need not answer.
func (a *Assigner) grantersAnswer(z identifier.Zone) bool {
	if a.settings.Zones[z] == configurer.ZoneLost {
		return true
	}
	for _, m := range a.rosters[z].roster.Members {
		_, answers := a.live[m.Instance]
		if !m.Fenced && m.Instance != a.cfg.Self && !answers {
			return false
		}
	}
	return true
}
