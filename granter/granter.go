// Package granter decides which instance grants partitions to a backend server, for how long, and from
// when on a grant has certainly ended.
//
// Each backend server has one coordinator among the instances on its zone's roster. The backend server
// itself decides which one: it accepts only orders of the highest term that it has seen. The
// coordinator renews the server's grants by one order in each renewal interval; a grant that is not
// renewed lapses at the end of its lease.
//
// A Granter is a state machine: it does no I/O, starts no goroutine and reads no clock. Start with
// Granter.Step in granter.go. event.go lists the events and actions, order.go the messages to and from
// backend servers, and roster.go defines the roster and its rules. drive.go coordinates backend
// servers, exclusive.go those that do not check grants, and register.go keeps this process on the
// rosters that need it.
package granter

import (
	"maps"
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
	"github.com/turmericlift/turmericlift/ranker"
)

// Config holds the identity and the timing parameters of a Granter.
type Config struct {
	// Self is the instance that the Granter runs on, Incarnation its process, and Zone its zone.
	Self        identifier.Instance
	Incarnation identifier.Incarnation
	Zone        identifier.Zone
	// Lease is how long a grant lasts, from the ticket of its order.
	Lease time.Duration
	// RenewInterval is the time between two orders to a backend server.
	RenewInterval time.Duration
	// Margin covers the difference in rate between two clocks over a Lease.
	Margin time.Duration
	// ClockSkew is the largest difference between the clock of an instance and that of a backend
	// server that does not check grants.
	ClockSkew time.Duration
	// ClaimAfter is the time without an accepted order of its coordinator after which another
	// instance may claim a backend server.
	ClaimAfter time.Duration
	// RosterRetry is the time between two attempts to write a roster.
	RosterRetry time.Duration
}

// Default values of the times in Config.
const (
	DefaultLease         = 2 * time.Second
	DefaultRenewInterval = 500 * time.Millisecond
	DefaultMargin        = 50 * time.Millisecond
	DefaultClockSkew     = 250 * time.Millisecond
	DefaultClaimAfter    = time.Second
	DefaultRosterRetry   = 500 * time.Millisecond
)

// queryInterval is the time between two queries to a server that another instance coordinates or that
// does not answer. It is also the time between two offers of a server to another instance.
const queryInterval = 250 * time.Millisecond

// remoteGrantDelay is the time without a granter of its own zone after which a zone's servers are
// granted to by an instance of another zone.
const remoteGrantDelay = 3 * time.Second

// drainPollInterval is the time between two orders to a server that still runs requests while grants
// are revoked.
const drainPollInterval = 50 * time.Millisecond

// confirmInterval is the time between two confirmations while partitions move.
const confirmInterval = 250 * time.Millisecond

// assignmentView is the newest assignment of a service that this process has read, with its version.
type assignmentView struct {
	version    identifier.Version
	assignment *partitioner.Assignment
}

// rosterView is the newest roster of a zone that this process has read, with its version.
type rosterView struct {
	version identifier.Version
	roster  Roster
}

// Granter is the state machine that coordinates all backend servers on behalf of one instance. It is
// not safe for concurrent use.
type Granter struct {
	cfg                 Config
	startedAt           time.Time
	assignments         map[identifier.ServiceName]assignmentView
	rosters             map[identifier.Zone]rosterView
	isolationHolds      map[identifier.ServiceName]time.Duration
	live                map[identifier.Instance]identifier.Zone
	servers             map[identifier.BackendServer]*coordination
	serverOrder         []identifier.BackendServer // The keys of servers, sorted, so that runs are reproducible.
	loads               map[identifier.ServiceName]Loads
	platformContactAt   time.Time                     // Start of the last successful call to the platform.
	confirmationsSentAt time.Time                     // When the confirmations were last sent.
	reportsSentAt       time.Time                     // When the reports were last sent.
	rosterWriteAt       map[identifier.Zone]time.Time // When a write of each zone's roster was last attempted.
	vacantSince         map[identifier.Zone]time.Time // Since when a zone has no granter of its own.
	lost                map[identifier.Zone]bool
	stopping            bool
}

// New returns the Granter of a process that starts at now. It grants nothing before it has read
// a roster that names it.
func New(now time.Time, cfg Config) *Granter {
	return &Granter{
		cfg:            cfg,
		startedAt:      now,
		assignments:    map[identifier.ServiceName]assignmentView{},
		rosters:        map[identifier.Zone]rosterView{},
		isolationHolds: map[identifier.ServiceName]time.Duration{},
		live:           map[identifier.Instance]identifier.Zone{},
		servers:        map[identifier.BackendServer]*coordination{},
		loads:          map[identifier.ServiceName]Loads{},
		rosterWriteAt:  map[identifier.Zone]time.Time{},
		vacantSince:    map[identifier.Zone]time.Time{},
	}
}

// Step applies an event to the state machine and returns the actions that the caller must carry out.
// now is the present time of the caller's clock.
func (g *Granter) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return g.tick(now)
	case AssignmentSeen:
		return g.updateAssignment(now, e)
	case RosterSeen:
		if e.Version > g.rosters[e.Zone].version {
			g.rosters[e.Zone] = rosterView{e.Version, e.Roster}
		}
	case ServersSeen:
		g.updateServers(e.Servers)
	case LiveInstancesSeen:
		g.live = e.Instances
	case IsolationHoldSeen:
		g.isolationHolds[e.Service] = e.Hold
	case LostZonesSeen:
		g.lost = e.Zones
	case PlatformContactSeen:
		if e.At.After(g.platformContactAt) {
			g.platformContactAt = e.At
		}
	case OrderAnswered:
		return g.handleAnswer(now, e)
	case HandOverReceived:
		return g.handleHandOver(now, e.HandOver)
	case LoadsMeasured:
		g.loads[e.Service] = e.Loads
	case Stop:
		g.stopping = true
	}
	return nil
}

// updateAssignment stores an assignment if its version is above the present one, and returns the
// orders and the confirmation that follow from it.
func (g *Granter) updateAssignment(now time.Time, e AssignmentSeen) []Action {
	if e.Version <= g.assignments[e.Service].version {
		return nil
	}
	g.assignments[e.Service] = assignmentView{e.Version, e.Assignment}
	var actions []Action
	for _, c := range g.coordinations() {
		if c.info.Service != e.Service {
			continue
		}
		c.dirty = true
		c.dropStaleRevocations(e.Assignment)
		actions = append(actions, g.advance(now, c)...)
	}
	return append(actions, g.confirm(now, e.Service)...)
}

// dropStaleRevocations drops the revocations of grants whose partitions are no longer moving away
// from the server under the same epoch.
func (c *coordination) dropStaleRevocations(a *partitioner.Assignment) {
	for id := range c.revoked {
		owner, e, _ := a.Owner(id.Partition)
		_, moving := a.NextOwner(id.Partition)
		if owner != c.info.ID || e != id.Epoch || !moving {
			delete(c.revoked, id)
		}
	}
}

// updateServers stores the platform's list of backend servers. A server that is no longer listed is
// kept while grants to it may be in force or it still owns partitions that are not moving.
func (g *Granter) updateServers(list []ServerInfo) {
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
		if !listed[id] && len(c.outstanding) == 0 && !g.ownsPartitions(c) {
			delete(g.servers, id)
		}
	}
	g.serverOrder = g.serverOrder[:0]
	for id := range g.servers {
		g.serverOrder = append(g.serverOrder, id)
	}
	slices.Sort(g.serverOrder)
}

// ownsPartitions reports whether the present assignment lets the server own any partition that is not
// moving.
func (g *Granter) ownsPartitions(c *coordination) bool {
	a := g.assignments[c.info.Service].assignment
	if a == nil {
		return false
	}
	owns := false
	a.OwnedBy(c.info.ID, func(identifier.Partition, identifier.Epoch) { owns = true })
	return owns
}

// coordinations returns the coordinations of all known servers, sorted by server.
func (g *Granter) coordinations() []*coordination {
	all := make([]*coordination, len(g.serverOrder))
	for n, id := range g.serverOrder {
		all[n] = g.servers[id]
	}
	return all
}

func (g *Granter) tick(now time.Time) []Action {
	var actions []Action
	for _, c := range g.coordinations() {
		c.dropExpired(now)
		actions = append(actions, g.advance(now, c)...)
	}
	if now.Sub(g.confirmationsSentAt) >= confirmInterval {
		g.confirmationsSentAt = now
		for _, s := range g.services() {
			actions = append(actions, g.confirm(now, s)...)
		}
	}
	if now.Sub(g.reportsSentAt) >= g.cfg.RenewInterval {
		g.reportsSentAt = now
		actions = append(actions, g.reports(now)...)
	}
	return append(actions, g.updateRosters(now)...)
}

// mayGrant reports whether this process may grant to a server now: it is on the roster of the server's
// zone and not fenced, its assignment is not below the roster's floor, and the last contact with the
// platform is less than the service's IsolationHold ago, unless that is 0 (no limit).
func (g *Granter) mayGrant(now time.Time, c *coordination) bool {
	view, ok := g.rosters[c.info.Zone]
	if !ok || !view.roster.MayGrant(g.cfg.Self, g.cfg.Incarnation) {
		return false
	}
	if g.assignments[c.info.Service].version < view.roster.Floors[c.info.Service] {
		return false
	}
	hold := g.isolationHolds[c.info.Service]
	return hold == 0 || now.Sub(g.platformContactAt) < hold
}

// preferredCoordinator returns the instance that should coordinate a server, given the present roster
// and the live instances. While this instance is stopping, it does not count as live.
func (g *Granter) preferredCoordinator(c *coordination) (identifier.Instance, bool) {
	live := maps.Clone(g.live)
	delete(live, g.cfg.Self)
	if !g.stopping {
		live[g.cfg.Self] = g.cfg.Zone
	}
	return PreferredCoordinator(c.info.ID, c.info.Zone, g.rosters[c.info.Zone].roster, live)
}

// PreferredCoordinator returns the instance that should coordinate server b of zone z. It is the one that ranks first
// among the live instances with a process on the zone's roster that is not fenced; instances of the
// zone itself come before all others. The result is false if there is no such instance. live holds
// the live instances with their zones.
func PreferredCoordinator(b identifier.BackendServer, z identifier.Zone, r Roster, live map[identifier.Instance]identifier.Zone) (identifier.Instance, bool) {
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
