package granter

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
)

// role is the role of this instance for one backend server.
type role int

const (
	// idle means that this instance does not try to coordinate the server: another one should, or this
	// process may not grant.
	idle role = iota
	// querying means that this instance should coordinate the server, and asks the server which
	// instance coordinates it now.
	querying
	// coordinating means that this instance coordinates the server.
	coordinating
)

// grantID identifies a grant to one process of a backend server. Grants of one partition to two
// processes of a server have different IDs.
type grantID struct {
	Grant
	incarnation identifier.Incarnation
}

// coordination is what this instance knows of one backend server. It contains every grant of this
// process that may be in force, even if the instance no longer coordinates the server.
type coordination struct {
	info        ServerInfo
	role        role
	term        identifier.Term // The term under which this instance coordinates, or last coordinated, the server.
	sequence    uint64          // The sequence number of the term's last order.
	offeredTerm identifier.Term // The highest term whose coordinator has offered the server to this instance.

	ticket   Ticket
	ticketAt time.Time // When the ticket was received.
	inFlight bool      // Whether an order has been sent and its result is not known yet.
	orderAt  time.Time // When the last order was sent; set to another time to bring the next one forward.
	dirty    bool      // Whether an order with the present grants must be sent before the next renewal is due.

	queryingSince time.Time // When this instance last began to query the server.
	answeredAt    time.Time // When the server's last answer arrived; zero if there was none.
	answer        OrderAnswer
	outstanding   map[grantID]time.Time // The time until which each grant may be in force.
	revoked       map[grantID]bool      // Grants that a process of the server has confirmed to refuse.
	// validUntil is the latest deadline for requests that are sent under the last accepted order. A
	// server that does not check grants refuses late requests by their deadline.
	validUntil  time.Time
	offerSentAt time.Time // When this instance last offered the server to another one.
}

func newCoordination(info ServerInfo) *coordination {
	return &coordination{
		info: info, outstanding: map[grantID]time.Time{}, revoked: map[grantID]bool{},
	}
}

// buildOrder returns the next order of the term, with all grants and revocations that the assignment
// a contains for the server, and records the grants as outstanding. If a is nil, the order contains at
// most PoolGrant, and nothing is recorded.
func (c *coordination) buildOrder(now time.Time, cfg *Config, a *partitioner.Assignment) Order {
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
	c.recordGrants(now, cfg, o)
	return o
}

// recordGrants records the grants of an order as outstanding. It must be called before the order is
// sent, since a grant may be in force even if the answer is lost. It records nothing if the lease
// has already run out on the order's ticket.
func (c *coordination) recordGrants(now time.Time, cfg *Config, o Order) {
	until := c.ticketAt.Add(cfg.Lease + cfg.Margin)
	if !until.After(now) {
		return
	}
	for _, g := range o.Grants {
		c.outstanding[grantID{g, o.Ticket.Incarnation}] = until
	}
}

// recordRevocations records the grants that an accepted order has revoked and of which the server no
// longer runs any request. as is the present assignment of the service.
func (c *coordination) recordRevocations(as *partitioner.Assignment, o Order, a OrderAnswer) {
	for _, g := range o.Revokes {
		running := slices.ContainsFunc(a.Running, func(r Grant) bool { return overlaps(as, g, r) })
		if !running {
			c.revoked[grantID{g, a.Ticket.Incarnation}] = true
		}
	}
}

// overlaps reports whether requests under the grant other may concern keys of the moving grant g. That
// is so in three cases:
//
//   - both are of the same partition, and other is not of a later epoch;
//   - g is of a pinned key's partition, and other is of the partition that the key is hashed onto,
//     under an epoch before the key was pinned;
//   - other is of a pinned key's partition, under an epoch before the present one: it may have
//     belonged to any key then.
func overlaps(a *partitioner.Assignment, g, other Grant) bool {
	if other.Partition == g.Partition {
		return other.Epoch <= g.Epoch
	}
	if a.IsPinPartition(other.Partition) {
		_, e, owned := a.Owner(other.Partition)
		return !owned || other.Epoch < e
	}
	base, pinned := a.UnpinnedPartition(g.Partition)
	if !pinned || other.Partition != base {
		return false
	}
	_, e, _ := a.Owner(base)
	return other.Epoch < e
}

// dropExpired drops the outstanding grants that have lapsed.
func (c *coordination) dropExpired(now time.Time) {
	for id, until := range c.outstanding {
		if !until.After(now) {
			delete(c.outstanding, id)
		}
	}
}

// unresponsiveFor returns the time since the server's last answer, or since this instance began to
// query the server if that was later. It returns 0 if neither has happened.
func (c *coordination) unresponsiveFor(now time.Time) time.Duration {
	since := c.answeredAt
	if c.queryingSince.After(since) {
		since = c.queryingSince
	}
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}

// outstandingOf returns, for each process of the server, until when requests may run under a moving
// grant g or a grant that overlaps it, and whether g has been revoked there. The result is sorted by
// process.
func (c *coordination) outstandingOf(now time.Time, as *partitioner.Assignment, g Grant) []OutstandingGrant {
	ends := map[identifier.Incarnation]time.Time{}
	for id, until := range c.outstanding {
		if overlaps(as, g, id.Grant) && until.After(ends[id.incarnation]) {
			ends[id.incarnation] = until
		}
	}
	for id := range c.revoked {
		if id.Grant == g {
			ends[id.incarnation] = now
		}
	}
	var out []OutstandingGrant
	for incarnation, until := range ends {
		out = append(out, OutstandingGrant{
			Grant: g, Incarnation: incarnation, Remaining: max(0, until.Sub(now)), Revoked: c.revoked[grantID{g, incarnation}],
		})
	}
	slices.SortFunc(out, func(x, y OutstandingGrant) int { return cmp.Compare(x.Incarnation, y.Incarnation) })
	return out
}
