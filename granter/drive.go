package granter

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// advance returns the messages to send for one backend server now. Depending on its role, and on which
// instance should coordinate the server, this instance queries the server, renews its grants, offers
// it to another instance, or gives up its role.
func (g *Granter) advance(now time.Time, c *coordination) []Action {
	if !g.mayGrant(now, c) {
		c.role = idle
		return nil
	}
	if !c.info.ChecksGrants {
		return g.advanceExclusive(now, c)
	}
	top, ok := g.preferredCoordinator(c)
	switch {
	case c.role == coordinating && ok && top != g.cfg.Self:
		return append(g.renew(now, c), g.offerHandOver(now, c, top)...)
	case c.role == coordinating:
		return g.renew(now, c)
	case ok && top == g.cfg.Self:
		return g.query(now, c)
	}
	c.role = idle
	return nil
}

// offerHandOver offers a server to the instance that ranks first for it. This instance goes on
// coordinating the server and renewing its grants until the server refuses this instance's term.
func (g *Granter) offerHandOver(now time.Time, c *coordination, top identifier.Instance) []Action {
	if now.Sub(c.offerSentAt) < queryInterval {
		return nil
	}
	c.offerSentAt = now
	return []Action{SendHandOver{top, HandOver{c.info.ID, c.term}}}
}

// query sends the server an order of term 0, which asks for its state and its coordinator, unless an
// order is in flight or the last one was sent less than queryInterval ago.
func (g *Granter) query(now time.Time, c *coordination) []Action {
	if c.role == idle {
		c.role = querying
		c.queryingSince = now
	}
	if c.inFlight || now.Sub(c.orderAt) < queryInterval {
		return nil
	}
	return g.sendOrder(now, c, Order{Server: c.info.ID, Coordinator: g.cfg.Self})
}

// renew sends the server an order with its present grants if one is due or the grants have changed,
// unless an order is in flight.
func (g *Granter) renew(now time.Time, c *coordination) []Action {
	if c.inFlight {
		return nil
	}
	due := now.Sub(c.orderAt) >= g.cfg.RenewInterval
	if !due && !c.dirty {
		return nil
	}
	// The lease runs from the ticket, so an old ticket would leave little of it: get a new one first.
	if now.Sub(c.ticketAt) >= g.cfg.Lease/2 {
		return g.sendOrder(now, c, Order{Server: c.info.ID, Coordinator: g.cfg.Self})
	}
	c.dirty = false
	return g.sendOrder(now, c, c.buildOrder(now, &g.cfg, g.assignments[c.info.Service].assignment))
}

// sendOrder returns the action that sends an order, and records that the order is in flight.
func (g *Granter) sendOrder(now time.Time, c *coordination, o Order) []Action {
	c.inFlight = true
	c.orderAt = now
	return []Action{SendOrder{c.info.Address, o}}
}

// handleHandOver records that the coordinator of a term offers a server, and queries the server at
// once if this instance should coordinate it.
func (g *Granter) handleHandOver(now time.Time, h HandOver) []Action {
	c, ok := g.servers[h.Server]
	if !ok || c.role == coordinating {
		return nil
	}
	c.offeredTerm = max(c.offeredTerm, h.Term)
	c.orderAt = time.Time{}
	return g.advance(now, c)
}

// handleAnswer applies a backend server's answer to an order, or the failure of the order.
func (g *Granter) handleAnswer(now time.Time, e OrderAnswered) []Action {
	c, ok := g.servers[e.Order.Server]
	if !ok {
		return nil
	}
	c.inFlight = false
	if e.Failed {
		c.dirty = c.role == coordinating
		return nil
	}
	a := e.Answer
	c.answeredAt = now
	c.answer = a
	c.ticket = a.Ticket
	c.ticketAt = now
	switch {
	case a.Result == Accepted && e.Order.Term == c.term:
		return g.handleAccepted(now, c, e.Order, a)
	case a.Result == LowerTerm:
		c.role = idle
	case a.Result == UnknownTicket:
		c.dirty = true
	case a.Result == StateOnly && c.role == querying:
		return g.claim(now, c, a)
	case a.Result == StateOnly && c.role == coordinating && c.info.ChecksGrants:
		c.dirty = true
		return g.advance(now, c)
	}
	return nil
}

// handleAccepted applies the answer to an accepted order. If the order revoked grants, it returns a
// confirmation, and brings the next order forward while revoked requests may still run.
func (g *Granter) handleAccepted(now time.Time, c *coordination, o Order, a OrderAnswer) []Action {
	c.recordRevocations(g.assignments[c.info.Service].assignment, o, a)
	c.validUntil = now.Add(g.cfg.Lease)
	if len(o.Revokes) == 0 {
		return nil
	}
	if len(a.Running) > 0 {
		c.orderAt = now.Add(drainPollInterval - g.cfg.RenewInterval)
	}
	return g.confirm(now, c.info.Service)
}

// claim makes this instance the server's coordinator, under a new term, if one of the following holds:
// the server has no coordinator or names this instance; it has accepted no order of its coordinator
// for ClaimAfter; or its coordinator has offered it to this instance.
func (g *Granter) claim(now time.Time, c *coordination, a OrderAnswer) []Action {
	vacant := a.Coordinator == "" || a.Coordinator == g.cfg.Self ||
		a.CoordinatorAge >= g.cfg.ClaimAfter || c.offeredTerm >= a.Term && a.Term > 0
	if !vacant {
		return nil
	}
	c.role = coordinating
	c.term = max(c.term, a.Term) + 1
	c.sequence = 0
	c.dirty = true
	return g.advance(now, c)
}
