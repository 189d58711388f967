package assigner

import (
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
)

// updateRosters raises the floors that marks need, fences granters that a move cannot
// wait for, and takes off those whose instance has ended.
func (a *Assigner) updateRosters(now time.Time) []Action {
	var actions []Action
	for _, z := range a.rosterZones() {
		if now.Sub(a.rosterAt[z]) < writeTimeout {
			continue
		}
		view := a.rosters[z]
		roster := view.roster.Clone()
		changed := a.raiseFloor(z, &roster)
		changed = a.fence(now, z, &roster) || changed
		changed = a.removeEnded(now, z, &roster) || changed
		if changed {
			a.rosterAt[z] = now
			actions = append(actions, PutRoster{z, view.version, roster})
		}
	}
	return actions
}

// rosterZones returns the zones of the servers that own partitions, sorted.
func (a *Assigner) rosterZones() []identifier.Zone {
	if a.assignment == nil {
		return nil
	}
	var zones []identifier.Zone
	for _, s := range a.assignment.Servers() {
		zones = append(zones, s.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

func (a *Assigner) raiseFloor(z identifier.Zone, r *granter.Roster) bool {
	var highest identifier.Version
	for p, m := range a.marks {
		if owner, _, _ := a.assignment.Owner(p); a.assignment.ZoneOf(owner) == z {
			highest = max(highest, m.version)
		}
	}
	if r.Floors[a.cfg.Service] >= highest {
		return false
	}
	r.RaiseFloor(a.cfg.Service, highest)
	return true
}

// fence forbids granting to the processes of a lost zone, and, if the service's
// IsolationHold is finite, to those that leave a mark waiting.
func (a *Assigner) fence(now time.Time, z identifier.Zone, r *granter.Roster) bool {
	lost := a.settings.Zones[z] == configurer.ZoneLost
	waiting := a.settings.IsolationHold > 0 && a.waits(now, z)
	changed := false
	for _, m := range r.Members {
		_, answers := a.live[m.Instance]
		silent := !answers && m.Instance != a.cfg.Self
		if !m.Fenced && (lost || waiting && silent) {
			r.Fence(m.Instance, m.Incarnation)
			changed = true
		}
	}
	return changed
}

// waits reports whether a mark of a zone has waited for longer than fenceAfter.
func (a *Assigner) waits(now time.Time, z identifier.Zone) bool {
	for p, m := range a.marks {
		owner, _, _ := a.assignment.Owner(p)
		if now.Sub(m.seenAt) >= fenceAfter && a.assignment.ZoneOf(owner) == z {
			return true
		}
	}
	return false
}

// removeEnded takes off the processes of instances that have been off the
// platform's list for longer than it lags and their last grants last, and fenced
// processes of which nothing is in force.
func (a *Assigner) removeEnded(now time.Time, z identifier.Zone, r *granter.Roster) bool {
	changed := false
	for _, m := range slices.Clone(r.Members) {
		since, absent := a.absent[m.Instance]
		ended := absent && a.listAt.Sub(since) >= a.cfg.ListLag+a.cfg.Grace
		if ended || a.excused(now, z, m) {
			r.Remove(m.Instance, m.Incarnation)
			changed = true
		}
	}
	return changed
}
