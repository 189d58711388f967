package granter

import (
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/ranker"
)

// register keeps the rosters right: this process is on the roster of its own zone, and
// on that of a zone without any granter if it ranks first for it; a process that
// stops leaves once none of its grants is in force.
func (g *Granter) register(now time.Time) []Action {
	var actions []Action
	for _, z := range g.zones() {
		view := g.rosters[z]
		roster := view.roster.Clone()
		if !g.amend(now, z, &roster) || now.Sub(g.rosterAt[z]) < g.cfg.RosterRetry {
			continue
		}
		g.rosterAt[z] = now
		actions = append(actions, WriteRoster{z, view.version, roster})
	}
	return actions
}

// zones returns the zones of the instance and of the listed servers, and those whose
// rosters have a process of the instance, sorted.
func (g *Granter) zones() []identifier.Zone {
	zones := []identifier.Zone{g.cfg.Zone}
	for _, c := range g.sorted() {
		zones = append(zones, c.info.Zone)
	}
	for z, view := range g.rosters {
		if view.roster.Has(g.cfg.Self) {
			zones = append(zones, z)
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// amend changes a roster as this process wants it and reports whether it did.
func (g *Granter) amend(now time.Time, z identifier.Zone, r *Roster) bool {
	changed := g.removeFormer(now, r)
	_, registered := r.Find(g.cfg.Self, g.cfg.Incarnation)
	wanted := g.wanted(now, z, r)
	switch {
	case registered && !r.May(g.cfg.Self, g.cfg.Incarnation):
		// Fenced: leave once nothing is in force, and register anew if still wanted.
		if g.clear(z) {
			r.Remove(g.cfg.Self, g.cfg.Incarnation)
			return true
		}
		return changed
	case wanted && !registered:
		r.Add(g.cfg.Self, g.cfg.Incarnation)
		return true
	case !wanted && registered && g.clear(z):
		r.Remove(g.cfg.Self, g.cfg.Incarnation)
		return true
	}
	return registered && g.amendHolders(z, r) || changed
}

// removeFormer takes the former processes of this instance off a roster, once their
// last grants are over. An instance runs one process at a time: they have ended.
func (g *Granter) removeFormer(now time.Time, r *Roster) bool {
	if now.Sub(g.startedAt) < g.cfg.Lease+g.cfg.Margin+g.cfg.ClockSkew {
		return false
	}
	n := len(r.Members)
	r.Members = slices.DeleteFunc(r.Members, func(m Member) bool {
		return m.Instance == g.cfg.Self && m.Incarnation < g.cfg.Incarnation
	})
	return len(r.Members) < n
}

// wanted reports whether this process should be on the roster of a zone.
func (g *Granter) wanted(now time.Time, z identifier.Zone, r *Roster) bool {
	if g.stopping || g.lost[z] {
		return false
	}
	if z == g.cfg.Zone {
		return true
	}
	return g.hasServers(z) && g.vacant(now, z, r) && g.firstFor(z)
}

// vacant reports whether a zone has had no granter of its own for remoteAfter. An
// instance that is not known to be of another zone counts as one of this zone.
func (g *Granter) vacant(now time.Time, z identifier.Zone, r *Roster) bool {
	for _, i := range r.Active() {
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
	return now.Sub(since) >= remoteAfter
}

func (g *Granter) hasServers(z identifier.Zone) bool {
	for _, c := range g.servers {
		if c.info.Zone == z {
			return true
		}
	}
	return false
}

// firstFor reports whether this instance ranks first among all live ones to stand
// in for a zone that has no granter of its own.
func (g *Granter) firstFor(z identifier.Zone) bool {
	candidates := []identifier.Instance{g.cfg.Self}
	for i := range g.live {
		if i != g.cfg.Self {
			candidates = append(candidates, i)
		}
	}
	top, _ := ranker.Top(string(z), candidates)
	return top == g.cfg.Self
}

// clear reports whether no grant of this process to a zone's servers is in force
// and none of them is still to be handed over.
func (g *Granter) clear(z identifier.Zone) bool {
	for _, c := range g.servers {
		if c.info.Zone == z && (c.role == holding || len(c.outstanding) > 0) {
			return false
		}
	}
	return true
}
