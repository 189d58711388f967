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

// remoteAfter is how long a zone has no granter of its own before an instance of
// another zone stands in.
const remoteAfter = 3 * time.Second

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
		c.expire(now)
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
	return append(actions, g.register(now)...)
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
	var locals, remotes []identifier.Instance
	for _, m := range r.Members {
		zone, ok := live[m.Instance]
		switch {
		case !ok || m.Fenced:
		case zone == z:
			locals = append(locals, m.Instance)
		default:
			remotes = append(remotes, m.Instance)
		}
	}
	if len(locals) > 0 {
		return ranker.Top(string(b), locals)
	}
	return ranker.Top(string(b), remotes)
}
