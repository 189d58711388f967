package granter

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// A backend server that does not check grants cannot refuse the requests of a former coordinator.
// The roster therefore names its coordinator, and each request carries an absolute deadline before
// the coordinator's validUntil, so that the server refuses a request that a paused process sends
// late.

// advanceExclusive does what advance does, for a server that does not check grants. This instance
// coordinates the server only while the roster names this process as the server's exclusive holder.
func (g *Granter) advanceExclusive(now time.Time, c *coordination) []Action {
	h, held := g.rosters[c.info.Zone].roster.ExclusiveHolder(c.info.ID)
	if !held || h != g.holder() {
		c.role = idle
		return nil
	}
	top, ok := g.preferredCoordinator(c)
	if ok && top != g.cfg.Self {
		c.role = idle // updateExclusiveHolders gives the server back once its grants have lapsed.
		return nil
	}
	due := now.Sub(c.orderAt) >= g.cfg.RenewInterval
	if due || c.dirty || c.role != coordinating {
		// From this step on, the request path uses the new assignment. The grants under which it may
		// send requests must be recorded now, whether or not an order can be sent to the server.
		g.extendGrants(now, c)
	}
	c.role = coordinating
	c.dirty = false
	if c.inFlight || !due {
		return nil
	}
	return g.sendOrder(now, c, Order{Server: c.info.ID, Coordinator: g.cfg.Self})
}

// extendGrants records the partitions that the server owns as granted for another Lease from now.
func (g *Granter) extendGrants(now time.Time, c *coordination) {
	c.validUntil = now.Add(g.cfg.Lease)
	a := g.assignments[c.info.Service].assignment
	if a == nil {
		return
	}
	until := c.validUntil.Add(g.cfg.Margin + g.cfg.ClockSkew)
	a.OwnedBy(c.info.ID, func(p identifier.Partition, e identifier.Epoch) {
		c.outstanding[grantID{Grant{p, e}, 0}] = until
	})
}

// holder returns the identity of this process on rosters.
func (g *Granter) holder() Holder { return Holder{g.cfg.Self, g.cfg.Incarnation} }

// updateExclusiveHolders makes this process the exclusive holder of the zone's servers that have none
// and for which this instance ranks first. It gives up those for which another instance ranks first,
// once no grant of them can be in force. It reports whether it changed the roster.
func (g *Granter) updateExclusiveHolders(z identifier.Zone, r *Roster) bool {
	changed := false
	for _, c := range g.coordinations() {
		if c.info.Zone != z || c.info.ChecksGrants {
			continue
		}
		h, held := r.ExclusiveHolder(c.info.ID)
		top, ok := g.preferredCoordinator(c)
		switch {
		case !held && ok && top == g.cfg.Self:
			r.SetExclusiveHolder(c.info.ID, g.holder())
			changed = true
		case held && h == g.holder() && ok && top != g.cfg.Self && len(c.outstanding) == 0:
			delete(r.ExclusiveHolders, c.info.ID)
			changed = true
		}
	}
	return changed
}
