package assigner

import (
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
)

// candidates returns the service's backend servers, sorted by name, each with what the planner may do
// with it. A server that the assignment names, but that has never been on the platform's list, has
// ended; it must be evacuated once any server has been listed.
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

// evaluate returns whether a backend server may keep partitions and receive new ones. A server
// without a recent report keeps its partitions and receives none: its zone may be cut off from this
// instance and still serve.
func (a *Assigner) evaluate(now time.Time, s *serverState) Candidate {
	c := Candidate{Server: s.info.Server}
	zone := a.settings.Zones[s.info.Zone]
	fresh := a.hasRecentReport(now, s)
	down := a.isDown(now, s)
	draining := fresh && s.report.State == granter.ServerDraining
	out := zone == configurer.ZoneOut || zone == configurer.ZoneLost
	c.Evacuate = !s.listed || s.info.Leaving || out || a.settings.Drained[s.info.ID] || down || draining
	c.Receive = !c.Evacuate && fresh
	c.Cold = s.report.State == granter.ServerCold
	return c
}

// isDown reports whether the assigner treats a backend server as failed: a recent report says that it
// has not answered its coordinator for DownAfter; or, if the service's IsolationHold is finite, there
// has been no report for abandonAfter and no granter of its zone answers.
func (a *Assigner) isDown(now time.Time, s *serverState) bool {
	if a.hasRecentReport(now, s) {
		return s.report.UnresponsiveFor >= a.cfg.DownAfter
	}
	since := s.reportAt
	if a.assignerSince.After(since) {
		since = a.assignerSince
	}
	return a.settings.IsolationHold > 0 && now.Sub(since) >= abandonAfter && !a.anyGranterAnswers(s.info.Zone)
}

// anyGranterAnswers reports whether any process on a zone's roster belongs to this instance or to one
// that answers probes.
func (a *Assigner) anyGranterAnswers(z identifier.Zone) bool {
	for _, m := range a.rosters[z].roster.Members {
		if _, answers := a.live[m.Instance]; answers || m.Instance == a.cfg.Self {
			return true
		}
	}
	return false
}

// planMoves places unowned partitions and prepares the moves of those that should move: evacuations
// first, then placements that operators have chosen, then moves that only even out load. Those last
// ones begin only while no move is prepared. It also updates the pinned keys. It reports whether it
// changed next.
func (a *Assigner) planMoves(now time.Time, next *partitioner.Assignment, servers []Candidate) bool {
	limit := 0
	if len(a.prepared) == 0 {
		limit = balanceLimit(a.settings.BalanceMovesPerMinute, now.Sub(a.balancedAt))
	}
	weights := a.loads.weights(next.Len())
	weights.Fixed = a.placedPartitions(next)
	plan := PlanMoves(next, weights, servers, limit)
	changed := false
	remaining := max(8, next.Len()/plannedMoveDivisor) - len(next.Moving())
	for _, m := range plan.Evacuations {
		if a.applyMove(now, next, m, &remaining) {
			changed = true
		}
	}
	for _, m := range a.placementMoves(next, servers) {
		changed = a.applyMove(now, next, m, &remaining) || changed
	}
	for _, m := range plan.Balances {
		if a.applyMove(now, next, m, &remaining) {
			a.balancedAt = now
			changed = true
		}
	}
	return a.updatePins(now, next, servers) || changed
}

// balanceLimit returns how many moves that only even out load may begin now, if the last ones began
// since ago and perMinute may begin each minute.
func balanceLimit(perMinute int, since time.Duration) int {
	if perMinute == 0 || since < balanceInterval || since < time.Minute/time.Duration(perMinute) {
		return 0
	}
	return max(1, perMinute*int(balanceInterval/time.Second)/int(time.Minute/time.Second))
}

// applyMove places an unowned partition or prepares its move. A move from a server that still serves
// is deferred while a granter whose confirmation it needs does not answer, since the partition would
// be out of service until that granter answers; it is also deferred if remaining is used up. It
// reports whether it changed next.
func (a *Assigner) applyMove(now time.Time, next *partitioner.Assignment, m Move, remaining *int) bool {
	owner, _, owned := next.Owner(m.Partition)
	if !owned {
		return next.SetFirstOwner(m.Partition, m.To) == nil
	}
	s, known := a.servers[owner]
	serves := known && s.listed && !a.isDown(now, s)
	if serves && (*remaining <= 0 || !a.grantersAnswer(a.assignment.ZoneOf(owner))) {
		return false
	}
	if serves {
		*remaining--
	}
	return next.Prepare(m.Partition, m.To) == nil
}

// grantersAnswer reports whether each process on a zone's roster answers probes or is fenced. It is
// true for a zone that operators have declared lost.
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
