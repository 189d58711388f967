package granter

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// drive moves one coordination on: ask, claim, renew, hand over or let go.
func (g *Granter) drive(now time.Time, c *coordination) []Action {
	if !g.may(now, c) {
		c.role = idle
		return nil
	}
	if !c.info.ChecksGrants {
		return g.driveExclusive(now, c)
	}
	top, ok := g.top(c)
	switch {
	case c.role == holding && ok && top != g.cfg.Self:
		return append(g.renew(now, c), g.offer(now, c, top)...)
	case c.role == holding:
		return g.renew(now, c)
	case ok && top == g.cfg.Self:
		return g.ask(now, c)
	}
	c.role = idle
	return nil
}

// offer hands a server over to the instance that ranks first. The server stays
// with this one, and is renewed, until the server refuses this one's term.
func (g *Granter) offer(now time.Time, c *coordination, top identifier.Instance) []Action {
	if now.Sub(c.offeredAt) < askAgain {
		return nil
	}
	c.offeredAt = now
	return []Action{SendHandOver{top, HandOver{c.info.ID, c.term}}}
}

func (g *Granter) ask(now time.Time, c *coordination) []Action {
	if c.role == idle {
		c.role = asking
		c.askedAt = now
	}
	if c.inFlight || now.Sub(c.orderAt) < askAgain {
		return nil
	}
	return g.send(now, c, Order{Server: c.info.ID, Coordinator: g.cfg.Self})
}

func (g *Granter) renew(now time.Time, c *coordination) []Action {
	if c.inFlight {
		return nil
	}
	due := now.Sub(c.orderAt) >= g.cfg.Renew
	if !due && !c.dirty {
		return nil
	}
	// An old ticket would give a lease that is nearly over: fetch a new one first.
	if now.Sub(c.ticketAt) >= g.cfg.Lease/2 {
		return g.send(now, c, Order{Server: c.info.ID, Coordinator: g.cfg.Self})
	}
	c.dirty = false
	return g.send(now, c, c.build(now, &g.cfg, g.assignments[c.info.Service].assignment))
}

func (g *Granter) send(now time.Time, c *coordination, o Order) []Action {
	c.inFlight = true
	c.orderAt = now
	return []Action{SendOrder{c.info.Address, o}}
}

func (g *Granter) handOver(now time.Time, h HandOver) []Action {
	c, ok := g.servers[h.Server]
	if !ok || c.role == holding {
		return nil
	}
	c.offered = max(c.offered, h.Term)
	c.orderAt = time.Time{}
	return g.drive(now, c)
}

// answered takes in a backend server's answer, or the lack of one.
func (g *Granter) answered(now time.Time, e OrderAnswered) []Action {
	c, ok := g.servers[e.Order.Server]
	if !ok {
		return nil
	}
	c.inFlight = false
	if e.Failed {
		c.dirty = c.role == holding
		return nil
	}
	a := e.Answer
	c.answeredAt = now
	c.answer = a
	c.ticket = a.Ticket
	c.ticketAt = now
	switch {
	case a.Result == Accepted && e.Order.Term == c.term:
		return g.accepted(now, c, e.Order, a)
	case a.Result == LowerTerm:
		c.role = idle
	case a.Result == UnknownTicket:
		c.dirty = true
	case a.Result == StateOnly && c.role == asking:
		return g.claim(now, c, a)
	case a.Result == StateOnly && c.role == holding && c.info.ChecksGrants:
		c.dirty = true
		return g.drive(now, c)
	}
	return nil
}

func (g *Granter) accepted(now time.Time, c *coordination, o Order, a OrderAnswer) []Action {
	c.recordRevocations(g.assignments[c.info.Service].assignment, o, a)
	c.validUntil = now.Add(g.cfg.Lease)
	if len(o.Revokes) == 0 {
		return nil
	}
	if len(a.Running) > 0 {
		c.orderAt = now.Add(drainPoll - g.cfg.Renew)
	}
	return g.confirm(now, c.info.Service)
}

// claim takes a server over if its coordinator is silent, offered it, or may not
// grant any more.
func (g *Granter) claim(now time.Time, c *coordination, a OrderAnswer) []Action {
	vacant := a.Coordinator == "" || a.Coordinator == g.cfg.Self ||
		a.CoordinatorAge >= g.cfg.ClaimAfter || c.offered >= a.Term && a.Term > 0
	if !vacant {
		return nil
	}
	c.role = holding
	c.term = max(c.term, a.Term) + 1
	c.sequence = 0
	c.dirty = true
	return g.drive(now, c)
}
