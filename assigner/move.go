package assigner

import (
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
)

// finish commits the marked partitions whose old grants are all over, to servers
// that can take them now.
func (a *Assigner) finish(now time.Time, next *partitioner.Assignment, servers []Candidate) bool {
	changed := false
	for _, p := range next.Moving() {
		if !a.over(now, a.marks[p]) {
			continue
		}
		if to, _ := next.Next(p); receives(servers, to) {
			changed = next.Commit(p) == nil || changed
			continue
		}
		if redirect(next, p, servers) {
			_ = next.Commit(p) // It fails if the mark was taken back.
			changed = true
		}
	}
	return changed
}

// over reports whether no grant of a marked partition is or can come in force.
func (a *Assigner) over(now time.Time, m mark) bool {
	owner, _, ok := a.assignment.Owner(m.grant.Partition)
	if !ok {
		return false
	}
	zone := a.assignment.ZoneOf(owner)
	return a.promised(now, m) && a.promises.over(now, m.grant, a.rosters[zone].roster.Members)
}

// promised reports whether every process that could grant a marked partition has
// promised not to, and none can join that has not.
func (a *Assigner) promised(now time.Time, m mark) bool {
	owner, _, _ := a.assignment.Owner(m.grant.Partition)
	zone := a.assignment.ZoneOf(owner)
	view, ok := a.rosters[zone]
	if !ok || view.roster.Floors[a.cfg.Service] < m.version {
		return false
	}
	return a.promises.given(m.version, view.roster.Members, func(member granter.Member) bool {
		return a.excused(now, zone, member)
	})
}

// excused reports whether a member of a zone's roster has been fenced for so long
// that nothing of it is in force.
func (a *Assigner) excused(now time.Time, z identifier.Zone, m granter.Member) bool {
	at, known := a.fencedAt[m.Holder()]
	return m.Fenced && known && now.Sub(at) >= a.holdOf(z)+a.cfg.Grace
}

// revise redirects marks whose next owner may keep nothing any more, and takes back
// those that wait for long though their owner answers.
func (a *Assigner) revise(now time.Time, next *partitioner.Assignment, servers []Candidate) bool {
	changed := false
	for _, p := range next.Moving() {
		m := a.marks[p]
		owner, _, _ := next.Owner(p)
		to, _ := next.Next(p)
		if now.Sub(m.seenAt) >= abortAfter && a.answers(now, owner) && !a.promised(now, m) {
			changed = next.Abort(p) == nil || changed
			continue
		}
		if evacuates(servers, to) {
			changed = redirect(next, p, servers) || changed
		}
	}
	return changed
}

// redirect names another next owner for a marked partition. Without one the mark is
// taken back, if the present owner may keep the partition.
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

// answers reports whether a listed backend server is known to answer.
func (a *Assigner) answers(now time.Time, b identifier.BackendServer) bool {
	s, known := a.servers[b]
	return known && s.listed && a.reported(now, s) && s.report.Silent < a.cfg.DownAfter
}

func (a *Assigner) reported(now time.Time, s *serverState) bool {
	return !s.reportAt.IsZero() && now.Sub(s.reportAt) < reportFresh
}

func receives(servers []Candidate, b identifier.BackendServer) bool {
	return slices.ContainsFunc(servers, func(c Candidate) bool { return c.ID == b && c.Receive })
}

func evacuates(servers []Candidate, b identifier.BackendServer) bool {
	return slices.ContainsFunc(servers, func(c Candidate) bool { return c.ID == b && c.Evacuate })
}
