package granter

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// A backend server that does not check grants cannot refuse a former coordinator.
// Its coordinator is therefore named on the roster, and each request carries an
// absolute deadline that ends before the coordinator's validUntil, so that the
// server refuses a request that a paused process sends late.

// driveExclusive moves on the coordination of a server that checks no grants.
func (g *Granter) driveExclusive(now time.Time, c *coordination) []Action {
	h, held := g.rosters[c.info.Zone].roster.Holder(c.info.ID)
	if !held || h != g.self() {
		c.role = idle
		return nil
	}
	top, ok := g.top(c)
	if ok && top != g.cfg.Self {
		c.role = idle // Grants lapse; amendHolders then gives the server back.
		return nil
	}
	due := now.Sub(c.orderAt) >= g.cfg.Renew
	if due || c.dirty || c.role != holding {
		// The request path goes by the new assignment from this step on, so what it may
		// send must be counted now, whether or not the server can be asked.
		g.extend(now, c)
	}
	c.role = holding
	c.dirty = false
	if c.inFlight || !due {
		return nil
	}
	return g.send(now, c, Order{Server: c.info.ID, Coordinator: g.cfg.Self})
}

// extend counts the server's partitions as granted for one more Lease.
func (g *Granter) extend(now time.Time, c *coordination) {
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

func (g *Granter) self() Holder { return Holder{g.cfg.Self, g.cfg.Incarnation} }

// amendHolders takes free servers that this process ranks first for, and gives
// back those that another one ranks first for once nothing of them is in force.
func (g *Granter) amendHolders(z identifier.Zone, r *Roster) bool {
	changed := false
	for _, c := range g.sorted() {
		if c.info.Zone != z || c.info.ChecksGrants {
			continue
		}
		h, held := r.Holder(c.info.ID)
		top, ok := g.top(c)
		switch {
		case !held && ok && top == g.cfg.Self:
			r.Hold(c.info.ID, g.self())
			changed = true
		case held && h == g.self() && ok && top != g.cfg.Self && len(c.outstanding) == 0:
			delete(r.Exclusive, c.info.ID)
			changed = true
		}
	}
	return changed
}
