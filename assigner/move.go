package assigner

import (
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
)

// commitMoves commits the prepared moves whose old grants have all ended. If the next owner cannot
// receive partitions now, the move is redirected to another server, or aborted if the present owner
// may keep the partition. It reports whether it changed next.
func (a *Assigner) commitMoves(now time.Time, next *partitioner.Assignment, servers []Candidate) bool {
	changed := false
	for _, p := range next.Moving() {
		if !a.grantsEnded(now, a.prepared[p]) {
			continue
		}
		if to, _ := next.NextOwner(p); mayReceive(servers, to) {
			changed = next.Commit(p) == nil || changed
			continue
		}
		if redirect(next, p, servers) {
			_ = next.Commit(p) // Fails if redirect has aborted the move; there is nothing to commit then.
			changed = true
		}
	}
	return changed
}

// grantsEnded reports whether no grant of a partition that is moving is in force or can be issued any
// more.
func (a *Assigner) grantsEnded(now time.Time, m preparedMove) bool {
	owner, _, ok := a.assignment.Owner(m.grant.Partition)
	if !ok {
		return false
	}
	zone := a.assignment.ZoneOf(owner)
	return a.allConfirmed(now, m) && a.confirmations.grantsEnded(now, m.grant, a.rosters[zone].roster.Members)
}

// allConfirmed reports whether every process on the roster of the old owner's zone has confirmed that
// it no longer grants the moving partition, and the roster's floor keeps out processes with an older
// assignment.
func (a *Assigner) allConfirmed(now time.Time, m preparedMove) bool {
	owner, _, _ := a.assignment.Owner(m.grant.Partition)
	zone := a.assignment.ZoneOf(owner)
	view, ok := a.rosters[zone]
	if !ok || view.roster.Floors[a.cfg.Service] < m.version {
		return false
	}
	return a.confirmations.complete(m.version, view.roster.Members, func(member granter.Member) bool {
		return a.fencedOut(now, zone, member)
	})
}

// fencedOut reports whether a member of a zone's roster has been fenced for so long that none of its
// grants can be in force: the time for which a process may grant without having read the fence, plus
// Grace.
func (a *Assigner) fencedOut(now time.Time, z identifier.Zone, m granter.Member) bool {
	at, known := a.fencedAt[m.Holder()]
	return m.Fenced && known && now.Sub(at) >= a.isolationHold(z)+a.cfg.Grace
}

// reviseMoves redirects prepared moves whose next owner may not keep partitions any more, and aborts
// moves that have waited for confirmations for abortAfter although the present owner answers. It
// reports whether it changed next.
func (a *Assigner) reviseMoves(now time.Time, next *partitioner.Assignment, servers []Candidate) bool {
	changed := false
	for _, p := range next.Moving() {
		m := a.prepared[p]
		owner, _, _ := next.Owner(p)
		to, _ := next.NextOwner(p)
		if now.Sub(m.seenAt) >= abortAfter && a.serverAnswers(now, owner) && !a.allConfirmed(now, m) {
			changed = next.Abort(p) == nil || changed
			continue
		}
		if mustEvacuate(servers, to) {
			changed = redirect(next, p, servers) || changed
		}
	}
	return changed
}

// redirect changes the next owner of a moving partition to another server that may receive it. If
// there is none, it aborts the move, provided that the present owner may keep the partition. It
// reports whether it changed next.
func redirect(next *partitioner.Assignment, p identifier.Partition, servers []Candidate) bool {
	owner, _, _ := next.Owner(p)
	stays := false
	for _, c := range servers {
		if c.ID == owner {
			stays = !c.Evacuate
			continue
		}
		if c.Receive && !c.Evacuate {
			return next.Redirect(p, c.Server) == nil
		}
	}
	return stays && next.Abort(p) == nil
}

// serverAnswers reports whether a recent report says that a listed backend server answers its
// coordinator.
func (a *Assigner) serverAnswers(now time.Time, b identifier.BackendServer) bool {
	s, known := a.servers[b]
	return known && s.listed && a.hasRecentReport(now, s) && s.report.UnresponsiveFor < a.cfg.DownAfter
}

// hasRecentReport reports whether a report on the server has arrived within reportMaxAge.
func (a *Assigner) hasRecentReport(now time.Time, s *serverState) bool {
	return !s.reportAt.IsZero() && now.Sub(s.reportAt) < reportMaxAge
}

func mayReceive(servers []Candidate, b identifier.BackendServer) bool {
	return slices.ContainsFunc(servers, func(c Candidate) bool { return c.ID == b && c.Receive })
}

func mustEvacuate(servers []Candidate, b identifier.BackendServer) bool {
	return slices.ContainsFunc(servers, func(c Candidate) bool { return c.ID == b && c.Evacuate })
}
