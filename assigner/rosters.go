package assigner

import (
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
)

// updateRosters returns the writes of rosters that are needed now: it raises the floors that prepared
// moves require, fences granters for which a move must not wait any longer, and removes processes that
// have ended. It skips a roster while a write of it is in progress.
func (a *Assigner) updateRosters(now time.Time) []Action {
	var actions []Action
	for _, z := range a.rosterZones() {
		if now.Sub(a.rosterWriteAt[z]) < writeTimeout {
			continue
		}
		view := a.rosters[z]
		roster := view.roster.Clone()
		changed := a.raiseFloor(z, &roster)
		changed = a.fence(now, z, &roster) || changed
		changed = a.removeEnded(now, z, &roster) || changed
		if changed {
			a.rosterWriteAt[z] = now
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

// raiseFloor raises the service's floor on a zone's roster to the highest version that a prepared move
// of the zone requires. It reports whether it changed the roster.
func (a *Assigner) raiseFloor(z identifier.Zone, r *granter.Roster) bool {
	var highest identifier.Version
	for p, m := range a.prepared {
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

// fence fences all processes on the roster of a zone that is declared lost. If the service's
// IsolationHold is finite and a prepared move of the zone has waited for too long, it also fences the
// processes that do not answer probes. It reports whether it changed the roster.
func (a *Assigner) fence(now time.Time, z identifier.Zone, r *granter.Roster) bool {
	lost := a.settings.Zones[z] == configurer.ZoneLost
	overdue := a.settings.IsolationHold > 0 && a.moveOverdue(now, z)
	changed := false
	for _, m := range r.Members {
		_, answers := a.live[m.Instance]
		unresponsive := !answers && m.Instance != a.cfg.Self
		if !m.Fenced && (lost || overdue && unresponsive) {
			r.Fence(m.Instance, m.Incarnation)
			changed = true
		}
	}
	return changed
}

// moveOverdue reports whether a prepared move away from a server of a zone has waited for fenceAfter.
func (a *Assigner) moveOverdue(now time.Time, z identifier.Zone) bool {
	for p, m := range a.prepared {
		owner, _, _ := a.assignment.Owner(p)
		if now.Sub(m.seenAt) >= fenceAfter && a.assignment.ZoneOf(owner) == z {
			return true
		}
	}
	return false
}

// removeEnded removes from a roster the processes of instances that have been missing from the
// platform's list for at least ListLag plus Grace, so that their last grants have lapsed, and the
// fenced processes of which no grant can be in force. It reports whether it changed the roster.
func (a *Assigner) removeEnded(now time.Time, z identifier.Zone, r *granter.Roster) bool {
	changed := false
	for _, m := range slices.Clone(r.Members) {
		since, absent := a.absentSince[m.Instance]
		ended := absent && a.listReadAt.Sub(since) >= a.cfg.ListLag+a.cfg.Grace
		if ended || a.fencedOut(now, z, m) {
			r.Remove(m.Instance, m.Incarnation)
			changed = true
		}
	}
	return changed
}
