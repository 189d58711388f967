package granter

import (
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/ranker"
)

// updateRosters returns the writes of rosters that are needed now. This process should be on the
// roster of its own zone, and on that of a zone without a granter of its own if it ranks first for
// that zone. When it stops, it leaves a roster once none of its grants there is in force.
func (g *Granter) updateRosters(now time.Time) []Action {
	var actions []Action
	for _, z := range g.zones() {
		view := g.rosters[z]
		roster := view.roster.Clone()
		if !g.updateRoster(now, z, &roster) || now.Sub(g.rosterWriteAt[z]) < g.cfg.RosterRetry {
			continue
		}
		g.rosterWriteAt[z] = now
		actions = append(actions, PutRoster{z, view.version, roster})
	}
	return actions
}

// zones returns, sorted, the zone of the instance, the zones of the known servers, and the zones whose
// rosters contain a process of the instance.
func (g *Granter) zones() []identifier.Zone {
	zones := []identifier.Zone{g.cfg.Zone}
	for _, c := range g.coordinations() {
		zones = append(zones, c.info.Zone)
	}
	for z, view := range g.rosters {
		if view.roster.HasInstance(g.cfg.Self) {
			zones = append(zones, z)
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// updateRoster adds this process to a roster, removes it, or updates the exclusive holders, as needed
// now. It also removes former processes of this instance. It reports whether it changed the roster.
func (g *Granter) updateRoster(now time.Time, z identifier.Zone, r *Roster) bool {
	changed := g.removeFormerProcesses(now, r)
	_, registered := r.Find(g.cfg.Self, g.cfg.Incarnation)
	wanted := g.shouldJoin(now, z, r)
	switch {
	case registered && !r.MayGrant(g.cfg.Self, g.cfg.Incarnation):
		// This process is fenced. It leaves once none of its grants is in force, and joins again
		// later if it should still be on the roster.
		if g.released(z) {
			r.Remove(g.cfg.Self, g.cfg.Incarnation)
			return true
		}
		return changed
	case wanted && !registered:
		r.Add(g.cfg.Self, g.cfg.Incarnation)
		return true
	case !wanted && registered && g.released(z):
		r.Remove(g.cfg.Self, g.cfg.Incarnation)
		return true
	}
	return registered && g.updateExclusiveHolders(z, r) || changed
}

// removeFormerProcesses removes the former processes of this instance from a roster once their last
// grants have lapsed. They have ended, since an instance runs one process at a time. It reports
// whether it changed the roster.
func (g *Granter) removeFormerProcesses(now time.Time, r *Roster) bool {
	if now.Sub(g.startedAt) < g.cfg.Lease+g.cfg.Margin+g.cfg.ClockSkew {
		return false
	}
	n := len(r.Members)
	r.Members = slices.DeleteFunc(r.Members, func(m Member) bool {
		return m.Instance == g.cfg.Self && m.Incarnation < g.cfg.Incarnation
	})
	return len(r.Members) < n
}

// shouldJoin reports whether this process should be on the roster of a zone.
func (g *Granter) shouldJoin(now time.Time, z identifier.Zone, r *Roster) bool {
	if g.stopping || g.lost[z] {
		return false
	}
	if z == g.cfg.Zone {
		return true
	}
	return g.hasServers(z) && g.lacksLocalGranter(now, z, r) && g.ranksFirst(z)
}

// lacksLocalGranter reports whether a zone has had no granter of its own for remoteGrantDelay. An
// instance that is not known to be in another zone counts as one of this zone.
func (g *Granter) lacksLocalGranter(now time.Time, z identifier.Zone, r *Roster) bool {
	for _, i := range r.ActiveInstances() {
		if zone, ok := g.live[i]; i != g.cfg.Self && (!ok || zone == z) {
			delete(g.vacantSince, z)
			return false
		}
	}
	since, known := g.vacantSince[z]
	if !known {
		g.vacantSince[z] = now
		return false
	}
	return now.Sub(since) >= remoteGrantDelay
}

// hasServers reports whether any known server is in a zone.
func (g *Granter) hasServers(z identifier.Zone) bool {
	for _, c := range g.servers {
		if c.info.Zone == z {
			return true
		}
	}
	return false
}

// ranksFirst reports whether this instance, among all live ones, should grant to the servers of a zone
// that has no granter of its own.
func (g *Granter) ranksFirst(z identifier.Zone) bool {
	candidates := []identifier.Instance{g.cfg.Self}
	for i := range g.live {
		if i != g.cfg.Self {
			candidates = append(candidates, i)
		}
	}
	top, _ := ranker.Top(string(z), candidates)
	return top == g.cfg.Self
}

// released reports whether this process coordinates none of a zone's servers, and none of its grants
// to them may be in force.
func (g *Granter) released(z identifier.Zone) bool {
	for _, c := range g.servers {
		if c.info.Zone == z && (c.role == coordinating || len(c.outstanding) > 0) {
			return false
		}
	}
	return true
}
