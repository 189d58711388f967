// Package granter decides who grants partitions to backend servers, for how long,
// and when a grant is over for sure.
//
// Each backend server has one coordinator among the instances on its zone's
// roster. The backend server itself settles who that is: it takes orders of the
// highest term only. The coordinator renews the server's grants in one order every
// Renew; a grant that is not renewed lapses after Lease. A Granter is a state
// machine: it does no I/O, starts no goroutine and reads no clock.
package granter

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
	"github.com/turmericlift/turmericlift/ranker"
)

// Config holds a Granter's identity and its times.
type Config struct {
	Self        identifier.Instance
	Incarnation identifier.Incarnation
	Zone        identifier.Zone
	Lease       time.Duration // How long a grant lasts from its ticket.
	Renew       time.Duration // Time between two orders to a server.
	// Margin covers the difference in rate between two clocks over a Lease.
	Margin time.Duration
	// ClockSkew bounds the difference between the clocks of an instance and of a
	// backend server that checks no grants.
	ClockSkew time.Duration
	// ClaimAfter is how long a coordinator is silent before another one claims.
	ClaimAfter time.Duration
	// RosterRetry is the time between two attempts to write a roster.
	RosterRetry time.Duration
}

// The default times of a Granter.
const (
	DefaultLease       = 2 * time.Second
	DefaultRenew       = 500 * time.Millisecond
	DefaultMargin      = 50 * time.Millisecond
	DefaultClockSkew   = 250 * time.Millisecond
	DefaultClaimAfter  = time.Second
	DefaultRosterRetry = 500 * time.Millisecond
)

// askAgain is the time between two questions to a server that another instance
// coordinates or that does not answer.
const askAgain = 250 * time.Millisecond

// guestAfter is how long a zone has no granter of its own before an instance of
// another zone stands in.
const guestAfter = 3 * time.Second

// drainPoll is the time between two orders while revoked requests still run.
const drainPoll = 50 * time.Millisecond

// confirmAgain is the time between two confirmations while partitions move.
const confirmAgain = 250 * time.Millisecond

type assignmentView struct {
	version    identifier.Version
	assignment *partitioner.Assignment
}

type rosterView struct {
	version identifier.Version
	roster  Roster
}

// Granter is the state machine of one instance for all backend servers.
type Granter struct {
	cfg         Config
	startedAt   time.Time
	assignments map[identifier.ServiceName]assignmentView
	rosters     map[identifier.Zone]rosterView
	holds       map[identifier.ServiceName]time.Duration
	live        map[identifier.Instance]identifier.Zone
	servers     map[identifier.BackendServer]*coordination
	order       []identifier.BackendServer // Sorted, so that each run is the same.
	loads       map[identifier.ServiceName]Loads
	contactAt   time.Time
	confirmAt   time.Time
	reportAt    time.Time
	rosterAt    map[identifier.Zone]time.Time
	vacantSince map[identifier.Zone]time.Time // Since when a zone has no granter of its own.
	lost        map[identifier.Zone]bool
	stopping    bool
}

// New returns the Granter of a process that starts now.
func New(now time.Time, cfg Config) *Granter {
	return &Granter{
		cfg:         cfg,
		startedAt:   now,
		assignments: map[identifier.ServiceName]assignmentView{},
		rosters:     map[identifier.Zone]rosterView{},
		holds:       map[identifier.ServiceName]time.Duration{},
		live:        map[identifier.Instance]identifier.Zone{},
		servers:     map[identifier.BackendServer]*coordination{},
		loads:       map[identifier.ServiceName]Loads{},
		rosterAt:    map[identifier.Zone]time.Time{},
		vacantSince: map[identifier.Zone]time.Time{},
	}
}

// Step takes in an event and returns what is to be done.
func (g *Granter) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return g.tick(now)
	case AssignmentSeen:
		return g.seeAssignment(now, e)
	case RosterSeen:
		if e.Version > g.rosters[e.Zone].version {
			g.rosters[e.Zone] = rosterView{e.Version, e.Roster}
		}
	case ServersSeen:
		g.seeServers(e.Servers)
	case LiveSeen:
		g.live = e.Instances
	case HoldSeen:
		g.holds[e.Service] = e.Hold
	case LostSeen:
		g.lost = e.Zones
	case ContactSeen:
		if e.At.After(g.contactAt) {
			g.contactAt = e.At
		}
	case OrderAnswered:
		return g.answered(now, e)
	case HandOverReceived:
		return g.handOver(now, e.HandOver)
	case LoadsMeasured:
		g.loads[e.Service] = e.Loads
	case Stop:
		g.stopping = true
	}
	return nil
}

// seeAssignment adopts a newer assignment. A version never goes back.
func (g *Granter) seeAssignment(now time.Time, e AssignmentSeen) []Action {
	if e.Version <= g.assignments[e.Service].version {
		return nil
	}
	g.assignments[e.Service] = assignmentView{e.Version, e.Assignment}
	var actions []Action
	for _, c := range g.sorted() {
		if c.info.Service != e.Service {
			continue
		}
		c.dirty = true
		c.dropRevoked(e.Assignment)
		actions = append(actions, g.drive(now, c)...)
	}
	return append(actions, g.confirm(now, e.Service)...)
}

// dropRevoked forgets the revocations of grants that are not moving any more.
func (c *coordination) dropRevoked(a *partitioner.Assignment) {
	for id := range c.revoked {
		owner, e, _ := a.Owner(id.Partition)
		_, moving := a.Next(id.Partition)
		if owner != c.info.ID || e != id.Epoch || !moving {
			delete(c.revoked, id)
		}
	}
}

// seeServers takes the list over. A server that is not listed any more is kept
// while grants to it may be in force or partitions still name it as their owner.
func (g *Granter) seeServers(list []ServerInfo) {
	listed := make(map[identifier.BackendServer]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		if c, ok := g.servers[info.ID]; ok {
			c.info = info
			continue
		}
		g.servers[info.ID] = newCoordination(info)
	}
	for id, c := range g.servers {
		if !listed[id] && len(c.outstanding) == 0 && !g.owns(c) {
			delete(g.servers, id)
		}
	}
	g.order = g.order[:0]
	for id := range g.servers {
		g.order = append(g.order, id)
	}
	slices.Sort(g.order)
}

func (g *Granter) owns(c *coordination) bool {
	a := g.assignments[c.info.Service].assignment
	if a == nil {
		return false
	}
	owns := false
	a.OwnedBy(c.info.ID, func(identifier.Partition, identifier.Epoch) { owns = true })
	return owns
}

func (g *Granter) sorted() []*coordination {
	all := make([]*coordination, len(g.order))
	for n, id := range g.order {
		all[n] = g.servers[id]
	}
	return all
}

func (g *Granter) tick(now time.Time) []Action {
	var actions []Action
	for _, c := range g.sorted() {
		c.forget(now)
		actions = append(actions, g.drive(now, c)...)
	}
	if now.Sub(g.confirmAt) >= confirmAgain {
		g.confirmAt = now
		for _, s := range g.services() {
			actions = append(actions, g.confirm(now, s)...)
		}
	}
	if now.Sub(g.reportAt) >= g.cfg.Renew {
		g.reportAt = now
		actions = append(actions, g.reports(now)...)
	}
	return append(actions, g.enrol(now)...)
}

func (g *Granter) services() []identifier.ServiceName {
	names := make([]identifier.ServiceName, 0, len(g.assignments))
	for s := range g.assignments {
		names = append(names, s)
	}
	slices.SortFunc(names, func(x, y identifier.ServiceName) int {
		return strings.Compare(x.String(), y.String())
	})
	return names
}

// may reports whether this process may grant to a server now.
func (g *Granter) may(now time.Time, c *coordination) bool {
	view, ok := g.rosters[c.info.Zone]
	if !ok || !view.roster.May(g.cfg.Self, g.cfg.Incarnation) {
		return false
	}
	if g.assignments[c.info.Service].version < view.roster.Floors[c.info.Service] {
		return false
	}
	hold := g.holds[c.info.Service]
	return hold == 0 || now.Sub(g.contactAt) < hold
}

// top returns the instance that should coordinate a server.
func (g *Granter) top(c *coordination) (identifier.Instance, bool) {
	live := maps.Clone(g.live)
	delete(live, g.cfg.Self)
	if !g.stopping {
		live[g.cfg.Self] = g.cfg.Zone
	}
	return Rank(c.info.ID, c.info.Zone, g.rosters[c.info.Zone].roster, live)
}

// Rank returns the instance that should coordinate a server of a zone: among the
// live ones on the zone's roster, those of the zone itself before any others.
func Rank(b identifier.BackendServer, z identifier.Zone, r Roster, live map[identifier.Instance]identifier.Zone) (identifier.Instance, bool) {
	var natives, guests []identifier.Instance
	for _, m := range r.Members {
		zone, ok := live[m.Instance]
		switch {
		case !ok || m.Fenced:
		case zone == z:
			natives = append(natives, m.Instance)
		default:
			guests = append(guests, m.Instance)
		}
	}
	if len(natives) > 0 {
		return ranker.Top(string(b), natives)
	}
	return ranker.Top(string(b), guests)
}

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
	case a.Result == StrangeTicket:
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
	c.settle(g.assignments[c.info.Service].assignment, o, a)
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

// confirm promises what the present version of an assignment asks for.
func (g *Granter) confirm(now time.Time, s identifier.ServiceName) []Action {
	view := g.assignments[s]
	moving := view.assignment.Moving()
	if len(moving) == 0 {
		return nil
	}
	confirm := Confirm{Service: s, Version: view.version, Instance: g.cfg.Self, Incarnation: g.cfg.Incarnation}
	for _, p := range moving {
		owner, e, _ := view.assignment.Owner(p)
		if c, ok := g.servers[owner]; ok {
			confirm.Grants = append(confirm.Grants, c.list(now, view.assignment, Grant{p, e})...)
		}
	}
	return []Action{SendConfirm{confirm}}
}

// reports tells each assigner of the servers that this instance coordinates.
func (g *Granter) reports(now time.Time) []Action {
	byService := map[identifier.ServiceName]*Report{}
	for _, c := range g.sorted() {
		if c.role == idle || !c.info.Keyed {
			continue
		}
		r, ok := byService[c.info.Service]
		if !ok {
			r = &Report{Service: c.info.Service, Instance: g.cfg.Self, Loads: g.loads[c.info.Service]}
			byService[c.info.Service] = r
		}
		r.Servers = append(r.Servers, ServerReport{
			Server: c.info.ID, Silent: c.silent(now), State: c.answer.State,
			Load: c.answer.Load,
		})
	}
	var actions []Action
	for _, r := range byService {
		actions = append(actions, SendReport{*r})
	}
	slices.SortFunc(actions, func(x, y Action) int {
		return strings.Compare(x.(SendReport).Report.Service.String(), y.(SendReport).Report.Service.String())
	})
	return actions
}
