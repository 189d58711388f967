// Package custodian keeps one instance's part in the custody of keys: whom it believes
// to own each key, in which zones it may grant, what it plans and which objects it
// writes. It joins allocator, leaser and gossiper.
//
// Four rules make that a key has one owner. A process grants only while it is on the
// cell's roster, not fenced, and was confirmed there less than Authority ago. It reads
// the allocations after its entry in the roster is acknowledged and before its first
// grant. It leaves the roster only when nothing that it granted is in force. And a key
// that is marked gets its next owner only when every process on the roster, read after
// the mark, has nothing in force on it, or when a fence has made the owner refuse them.
//
// Nothing in this package does I/O or reads a clock.
package custodian

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/gossiper"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/leaser"
	"github.com/turmericlift/turmericlift/registrar"
	"github.com/turmericlift/turmericlift/storer"
)

// Names of the objects that instances share.
const (
	AllocationPrefix = "allocation."
	RosterPrefix     = "roster."
)

// Settings describe one process.
type Settings struct {
	Instance    identifier.Instance
	Incarnation identifier.Incarnation
	Zone        identifier.Zone
	Address     string // For calls between instances.
	Strength    float64
	CellSize    int // Keyed backend servers up to which a zone has one cell.
	Leases      leaser.Settings
}

// World is what an instance knows of the surroundings that custody depends on.
type World struct {
	Entries map[identifier.BackendServer]registrar.Entry
	Keyed   map[identifier.Service]bool
	// StoreUp says that the platform's store answers; StoreUpAt is the end of its last
	// outage.
	StoreUp   bool
	StoreUpAt time.Time
	Leaving   bool // This process is to end.
}

// Observe takes in a change of belief, for the log.
type Observe func(event string, fields map[string]any)

// Custodian is the state of one instance. It is not safe for concurrent use.
type Custodian struct {
	settings  Settings
	observe   Observe
	startedAt time.Time
	world     World
	Gossip    *gossiper.Gossiper
	Leases    *leaser.Leaser

	allocations map[identifier.Service]*allocator.Allocation
	rosters     map[identifier.Cell]leaser.Roster
	segments    map[segmentKey]*segmentState
	asked       time.Time // When the newest list of them was asked for.
	relayed     map[identifier.Cell]time.Time
	joined      map[identifier.Cell]bool
	parts       parts                  // Of the zones, for new grants.
	fencedAt    map[fenceKey]time.Time // Times before which, at the latest, holders were fenced.
}

type segmentKey struct {
	service identifier.Service
	rng     identifier.Range
	epoch   identifier.Epoch
}

// segmentState is what this instance knows of a segment beyond the allocation.
type segmentState struct {
	seenAt      time.Time
	round       int
	roundAt     time.Time // When the present round of the move was seen.
	movingAt    time.Time // When the move was seen.
	accepted    bool      // An order of this instance has shown the owner to have the keys.
	misses      int       // Requests that the owner refused since it served one.
	misdirected time.Time // Until when the owner is taken not to have the keys.
}

// New returns the state of a process that starts now.
func New(now time.Time, s Settings, observe Observe) *Custodian {
	return &Custodian{
		settings: s, observe: observe, startedAt: now,
		Gossip: gossiper.New(gossiper.State{Instance: s.Instance, Incarnation: s.Incarnation, Zone: s.Zone, Address: s.Address, Strength: s.Strength}),
		Leases: leaser.New(s.Leases), allocations: map[identifier.Service]*allocator.Allocation{},
		rosters: map[identifier.Cell]leaser.Roster{}, segments: map[segmentKey]*segmentState{},
		relayed: map[identifier.Cell]time.Time{}, joined: map[identifier.Cell]bool{}, fencedAt: map[fenceKey]time.Time{},
	}
}

// SetWorld replaces what is known of the surroundings.
func (c *Custodian) SetWorld(w World) {
	c.world = w
	c.parts = partsOf(w, c.settings.CellSize)
}

// Rosters returns the newest rosters.
func (c *Custodian) Rosters() map[identifier.Cell]leaser.Roster { return c.rosters }

// Asked returns when the newest list of the shared objects was asked for; zero if none
// has been read.
func (c *Custodian) Asked() time.Time { return c.asked }

// Self names this process.
func (c *Custodian) Self() allocator.Fencer {
	return allocator.Fencer{Instance: c.settings.Instance, Incarnation: c.settings.Incarnation}
}

// Take takes in shared objects. asked is when the newest list among them was asked for:
// all that was written before is in it.
func (c *Custodian) Take(now time.Time, objects []storer.Object, asked time.Time) {
	for _, o := range objects {
		switch {
		case strings.HasPrefix(o.Name, AllocationPrefix):
			c.takeAllocation(now, o)
		case strings.HasPrefix(o.Name, RosterPrefix):
			c.takeRoster(now, o)
		}
	}
	if asked.After(c.asked) {
		c.asked = asked
	}
}

func (c *Custodian) takeRoster(now time.Time, o storer.Object) {
	r, err := leaser.DecodeRoster(o.Data, o.Version)
	if err != nil {
		c.observe("roster does not decode", map[string]any{"Object": o.Name, "Version": o.Version, "Error": err.Error()})
		return
	}
	if old, ok := c.rosters[r.Cell]; ok && old.Version >= r.Version {
		return
	}
	c.rosters[r.Cell] = r
	for _, h := range r.Holders {
		if h.Fenced() {
			c.fenced(fenceKey{r.Cell, h}, now)
		}
	}
	for key := range c.fencedAt {
		if key.cell == r.Cell && !slices.Contains(r.Holders, key.holder) {
			delete(c.fencedAt, key)
		}
	}
	if h, ok := c.mine(r.Cell); !ok || h.Fenced() {
		delete(c.joined, r.Cell)
	}
	c.observe("roster", map[string]any{"Cell": r.Cell.String(), "Version": r.Version, "Holders": r.Holders})
}

// mine returns this process's place on a cell's roster.
func (c *Custodian) mine(cell identifier.Cell) (leaser.Holder, bool) {
	return c.rosters[cell].Find(c.settings.Instance, c.settings.Incarnation)
}

// Holds reports whether this process is on a cell's roster, fenced or not.
func (c *Custodian) Holds(cell identifier.Cell) bool {
	_, ok := c.mine(cell)
	return ok
}

// May reports whether this process may grant in a cell now.
func (c *Custodian) May(now time.Time, cell identifier.Cell) bool {
	h, ok := c.mine(cell)
	if !ok || h.Fenced() || !c.joined[cell] || c.giving(now, cell) {
		return false
	}
	confirmed := c.asked
	if relayed := c.relayed[cell]; relayed.After(confirmed) {
		confirmed = relayed
	}
	return now.Sub(confirmed) < c.settings.Leases.Authority
}

// Due returns the orders to send now.
func (c *Custodian) Due(now time.Time) []leaser.Order {
	holds, may := map[identifier.Cell]bool{}, map[identifier.Cell]bool{}
	for cell := range c.rosters {
		holds[cell] = c.Holds(cell)
		may[cell] = holds[cell] && c.May(now, cell)
	}
	var orders []leaser.Order
	for _, service := range c.services() {
		orders = append(orders, c.Leases.Due(now, leaser.View{
			Allocation: c.allocations[service], Self: c.Self(),
			Holds: func(cell identifier.Cell) bool { return holds[cell] },
			May:   func(cell identifier.Cell) bool { return may[cell] },
			Life: func(id identifier.BackendServer) (registrar.Life, bool) {
				e, ok := c.world.Entries[id]
				return e.Life, ok
			},
		})...)
	}
	c.Leases.Forget(now, func(service identifier.Service, r identifier.Range, e identifier.Epoch) bool {
		_, ok := c.segments[segmentKey{service, r, e}]
		return ok
	})
	return orders
}

// services returns the services with allocations, in order.
func (c *Custodian) services() []identifier.Service {
	services := make([]identifier.Service, 0, len(c.allocations))
	for service := range c.allocations {
		services = append(services, service)
	}
	sort.Slice(services, func(a, b int) bool { return services[a] < services[b] })
	return services
}

// Ended takes in the outcome of an order, and reports whether it is the first accepted
// grant of its segment.
func (c *Custodian) Ended(now time.Time, o leaser.Order, outcome leaser.Outcome, handover string) (first bool) {
	c.Leases.Ended(now, o, outcome, handover)
	st := c.segments[segmentKey{o.Service, o.Range, o.Epoch}]
	if st == nil || o.Kind != leaser.Grant || outcome != leaser.Accepted || st.accepted {
		return false
	}
	st.accepted = true
	return true
}

// Releases returns the moving segments on which nothing of this process is in force.
func (c *Custodian) Releases(now time.Time) []allocator.Release {
	var releases []allocator.Release
	for _, service := range c.services() {
		for _, seg := range c.allocations[service].Segments {
			if !seg.Moving || !c.Holds(seg.Cell) || seg.Fence != 0 && seg.Fencer != c.Self() {
				continue
			}
			if handover, free := c.Leases.Free(now, service, seg); free {
				releases = append(releases, allocator.Release{Service: service, Range: seg.Range, Epoch: seg.Epoch,
					Round: seg.Round, Handover: handover})
			}
		}
	}
	return releases
}

// Confirmations returns how old this process's knowledge of each roster is.
func (c *Custodian) Confirmations(now time.Time) []gossiper.Confirmation {
	var all []gossiper.Confirmation
	for cell, r := range c.rosters {
		all = append(all, gossiper.Confirmation{Cell: cell, Version: r.Version, AgeMs: now.Sub(c.asked).Milliseconds() + 1})
	}
	sort.Slice(all, func(a, b int) bool { return all[a].Cell.Compare(all[b].Cell) < 0 })
	return all
}

// Lost returns the backend servers that do not answer this process's orders.
func (c *Custodian) Lost(now time.Time) []gossiper.LostServer {
	var lost []gossiper.LostServer
	for id, e := range c.world.Entries {
		if c.Holds(c.parts.cellOf(e)) && c.Leases.Lost(now, id, e.Life) {
			lost = append(lost, gossiper.LostServer{Server: id, Life: e.Life})
		}
	}
	return lost
}

// Heard takes in the state of another instance and reports whether it is news.
func (c *Custodian) Heard(now time.Time, s gossiper.State) bool {
	if !c.Gossip.Heard(now, s) {
		return false
	}
	c.takeFences(now, s.Fences)
	c.relay(c.Gossip.Peer(s.Instance))
	return true
}

// relay takes the confirmations of an instance that the store answers for this one's
// own: they are as good as if this instance had asked at the time after which the state
// was made, less their age.
func (c *Custodian) relay(p *gossiper.Peer) {
	if p.MadeAfter.IsZero() {
		return
	}
	for _, confirmed := range p.Confirmed {
		if r, ok := c.rosters[confirmed.Cell]; ok && r.Version == confirmed.Version {
			asked := p.MadeAfter.Add(-time.Duration(confirmed.AgeMs) * time.Millisecond)
			if asked.After(c.relayed[confirmed.Cell]) {
				c.relayed[confirmed.Cell] = asked
			}
		}
	}
}
