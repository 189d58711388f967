package assigner

import (
	"time"

	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
)

func (a *Assigner) seeAssignment(now time.Time, e AssignmentSeen) {
	if e.Version <= a.version {
		return
	}
	a.version, a.assignment = e.Version, e.Assignment
	present := map[identifier.Partition]mark{}
	for _, p := range e.Assignment.Moving() {
		_, epoch, _ := e.Assignment.Owner(p)
		g := granter.Grant{Partition: p, Epoch: epoch}
		m, known := a.marks[p]
		if !known || m.grant != g {
			m = mark{g, e.Version, now}
		}
		present[p] = m
	}
	a.marks = present
}

func (a *Assigner) seeRoster(now time.Time, e RosterSeen) {
	if e.Version <= a.rosters[e.Zone].version {
		return
	}
	a.rosters[e.Zone] = rosterView{e.Version, e.Roster}
	for _, m := range e.Roster.Members {
		h := m.Holder()
		if _, known := a.fencedAt[h]; m.Fenced && !known {
			a.fencedAt[h] = now
		}
	}
	a.promises.prune(a.registered)
}

// holdOf returns how long a fenced process of a zone may still grant.
func (a *Assigner) holdOf(z identifier.Zone) time.Duration {
	if a.settings.Zones[z] == configurer.ZoneLost {
		return 0
	}
	return a.settings.IsolationHold
}

func (a *Assigner) registered(h granter.Holder) bool {
	for _, view := range a.rosters {
		if _, ok := view.roster.Find(h.Instance, h.Incarnation); ok {
			return true
		}
	}
	return false
}

func (a *Assigner) seeList(now time.Time, e ListSeen) {
	for _, s := range a.servers {
		s.listed = false
	}
	for _, info := range e.Servers {
		s, ok := a.servers[info.ID]
		if !ok {
			s = &serverState{}
			a.servers[info.ID] = s
		}
		s.info, s.listed = info, true
	}
	if e.At.After(a.listAt) {
		a.listAt = e.At
		a.seeAbsent(now, e.Instances)
	}
}

// seeAbsent takes note of granters that a newly read list lacks.
func (a *Assigner) seeAbsent(now time.Time, listed []identifier.Instance) {
	for _, view := range a.rosters {
		for _, m := range view.roster.Members {
			if _, known := a.absent[m.Instance]; !known {
				a.absent[m.Instance] = now
			}
		}
	}
	for _, i := range listed {
		delete(a.absent, i)
	}
}

func (a *Assigner) seeReport(now time.Time, r granter.Report) {
	for _, sr := range r.Servers {
		if s, ok := a.servers[sr.Server]; ok {
			s.report, s.reportAt = sr, now
		}
	}
	a.loads.take(r.Loads)
}
