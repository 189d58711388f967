package assigner

import (
	"time"

	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
)

// updateAssignment stores a newer assignment and brings the set of prepared moves up to date. A move
// that was known before keeps the version and the time at which it was first seen.
func (a *Assigner) updateAssignment(now time.Time, e AssignmentSeen) {
	if e.Version <= a.version {
		return
	}
	a.version, a.assignment = e.Version, e.Assignment
	present := map[identifier.Partition]preparedMove{}
	for _, p := range e.Assignment.Moving() {
		_, epoch, _ := e.Assignment.Owner(p)
		g := granter.Grant{Partition: p, Epoch: epoch}
		m, known := a.prepared[p]
		if !known || m.grant != g {
			m = preparedMove{g, e.Version, now}
		}
		present[p] = m
	}
	a.prepared = present
}

// updateRoster stores a newer roster of a zone and notes which processes have been fenced.
func (a *Assigner) updateRoster(now time.Time, e RosterSeen) {
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
	a.confirmations.prune(a.onRoster)
}

// isolationHold returns how long a fenced process may still grant to the servers of a zone because
// it has not read the fence: the service's IsolationHold, and 0 for a zone that operators have
// declared lost.
func (a *Assigner) isolationHold(z identifier.Zone) time.Duration {
	if a.settings.Zones[z] == configurer.ZoneLost {
		return 0
	}
	return a.settings.IsolationHold
}

// onRoster reports whether a process is on any zone's roster.
func (a *Assigner) onRoster(h granter.Holder) bool {
	for _, view := range a.rosters {
		if _, ok := view.roster.Find(h.Instance, h.Incarnation); ok {
			return true
		}
	}
	return false
}

// updateList stores the platform's list. Servers that it no longer names are kept as not listed.
func (a *Assigner) updateList(now time.Time, e PlatformListSeen) {
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
	if e.At.After(a.listReadAt) {
		a.listReadAt = e.At
		a.updateAbsent(now, e.Instances)
	}
}

// updateAbsent records since when the instances that are on a roster have been missing from the
// platform's list. listed holds the instances of a newly read list.
func (a *Assigner) updateAbsent(now time.Time, listed []identifier.Instance) {
	for _, view := range a.rosters {
		for _, m := range view.roster.Members {
			if _, known := a.absentSince[m.Instance]; !known {
				a.absentSince[m.Instance] = now
			}
		}
	}
	for _, i := range listed {
		delete(a.absentSince, i)
	}
}

// recordReport stores a coordinator's report on known backend servers and adds its load figures.
func (a *Assigner) recordReport(now time.Time, r granter.Report) {
	for _, sr := range r.Servers {
		if s, ok := a.servers[sr.Server]; ok {
			s.report, s.reportAt = sr, now
		}
	}
	a.loads.record(r.Loads)
}
