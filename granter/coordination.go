package granter

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
)

// role is what an instance is to one backend server.
type role int

const (
	idle    role = iota // Another instance coordinates the server.
	asking              // This instance ranks first and asks who coordinates.
	holding             // This instance coordinates the server.
)

// grantID tells apart the grants of one partition to two processes of a server.
type grantID struct {
	Grant
	process identifier.Incarnation
}

// coordination is the state of one backend server at one instance. It remembers
// each grant that may be in force, also of times when the instance coordinated the
// server and no longer does.
type coordination struct {
	info     ServerInfo
	role     role
	term     identifier.Term
	sequence uint64
	offered  identifier.Term // Term whose coordinator offered the server.

	ticket   Ticket
	ticketAt time.Time // When the ticket was received.
	inFlight bool
	orderAt  time.Time // When the last order was sent.
	dirty    bool      // The set of grants has changed since the last order.

	askedAt     time.Time // When the present silence began, at the earliest.
	answeredAt  time.Time
	answer      OrderAnswer
	outstanding map[grantID]time.Time // End of each grant that may be in force.
	revoked     map[grantID]bool
	// validUntil bounds the deadline of requests that are sent under the last accepted
	// order: a server that checks no grants refuses late ones by their deadline.
	validUntil time.Time
	offeredAt  time.Time // When the last hand-over was offered.
}

func newCoordination(info ServerInfo) *coordination {
	return &coordination{
		info: info, outstanding: map[grantID]time.Time{}, revoked: map[grantID]bool{},
	}
}

// build returns the order that carries the present grants of the server.
func (c *coordination) build(now time.Time, cfg *Config, a *partitioner.Assignment) Order {
	c.sequence++
	o := Order{
		Server: c.info.ID, Coordinator: cfg.Self, Term: c.term, Sequence: c.sequence,
		Ticket: c.ticket, Lease: cfg.Lease,
	}
	if !c.info.Keyed {
		o.Grants = []Grant{PoolGrant}
	}
	if a == nil {
		return o
	}
	a.OwnedBy(c.info.ID, func(p identifier.Partition, e identifier.Epoch) {
		o.Grants = append(o.Grants, Grant{p, e})
	})
	for _, p := range a.Moving() {
		if owner, e, ok := a.Owner(p); ok && owner == c.info.ID {
			o.Revokes = append(o.Revokes, Grant{p, e})
		}
	}
	c.remember(now, cfg, o)
	return o
}

// remember counts the grants of an order as in force before it is sent.
func (c *coordination) remember(now time.Time, cfg *Config, o Order) {
	until := c.ticketAt.Add(cfg.Lease + cfg.Margin)
	if !until.After(now) {
		return
	}
	for _, g := range o.Grants {
		c.outstanding[grantID{g, o.Ticket.Incarnation}] = until
	}
}

// recordRevocations takes note of what an accepted order has revoked for good.
func (c *coordination) recordRevocations(as *partitioner.Assignment, o Order, a OrderAnswer) {
	for _, g := range o.Revokes {
		busy := slices.ContainsFunc(a.Running, func(r Grant) bool { return overlaps(as, g, r) })
		if !busy {
			c.revoked[grantID{g, a.Ticket.Incarnation}] = true
		}
	}
}

// overlaps reports whether requests of the grant other may concern keys of the
// moving grant g: they are of the same partition; or g is of a pinned key and other
// of the partition that the key had before, under an epoch before the pin; or other
// is an old grant of a pin, whose key may be any by now.
func overlaps(a *partitioner.Assignment, g, other Grant) bool {
	if other.Partition == g.Partition {
		return other.Epoch <= g.Epoch
	}
	if a.Pinned(other.Partition) {
		_, e, owned := a.Owner(other.Partition)
		return !owned || other.Epoch < e
	}
	base, pinned := a.Base(g.Partition)
	if !pinned || other.Partition != base {
		return false
	}
	_, e, _ := a.Owner(base)
	return other.Epoch < e
}

func (c *coordination) expire(now time.Time) {
	for id, until := range c.outstanding {
		if !until.After(now) {
			delete(c.outstanding, id)
		}
	}
}

// silent returns for how long the server has left questions unanswered.
func (c *coordination) silent(now time.Time) time.Duration {
	since := c.answeredAt
	if c.askedAt.After(since) {
		since = c.askedAt
	}
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}

// list returns what is outstanding of a moving grant.
func (c *coordination) list(now time.Time, as *partitioner.Assignment, g Grant) []Outstanding {
	ends := map[identifier.Incarnation]time.Time{}
	for id, until := range c.outstanding {
		if overlaps(as, g, id.Grant) && until.After(ends[id.process]) {
			ends[id.process] = until
		}
	}
	for id := range c.revoked {
		if id.Grant == g {
			ends[id.process] = now
		}
	}
	var out []Outstanding
	for process, until := range ends {
		out = append(out, Outstanding{
			Grant: g, Server: process, Remaining: max(0, until.Sub(now)), Revoked: c.revoked[grantID{g, process}],
		})
	}
	slices.SortFunc(out, func(x, y Outstanding) int { return cmp.Compare(x.Server, y.Server) })
	return out
}
