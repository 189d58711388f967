// Package custodian holds the state and the decisions of one instance on key ownership: which backend
// server it believes to own each key, in which cells it may grant keys, which allocations it plans and
// which shared objects it writes. It combines the packages allocator, leaser and gossiper.
//
// Four rules ensure that a key has at most one owner at any time. (1) A process grants only while it
// is on the roster of the cell, is not fenced, and was confirmed to be on that roster less than the
// confirmation time-out ago (ConfirmationTimeout in leaser.Settings). (2) It reads the allocations after
// its entry in the roster is acknowledged and before its first grant. (3) It leaves the roster only
// when no grant that it sent is in force. (4) A key whose move has been prepared gets its next owner
// only when every process on the roster, as read after the prepare was written, has no grant in force
// on it, or when a fence has made the owner refuse the grants of those processes.
//
// Nothing in this package does I/O or reads a clock. Start reading in custodian.go; rosters.go decides
// who grants and who plans, planning.go supplies the input of a plan, and owner.go answers requests
// for the owner of a key.
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

// Prefixes of the names of the objects that instances share. AllocationPrefix is followed by the name of a
// service, RosterPrefix by the name of a cell.
const (
	AllocationPrefix = "allocation."
	RosterPrefix     = "roster."
)

// Settings describe the process that a Custodian works for.
type Settings struct {
	Instance    identifier.Instance
	Incarnation identifier.Incarnation
	Zone        identifier.Zone
	// Address is where other instances call this one.
	Address string
	// Capacity is the relative capacity of the instance's machine.
	Capacity float64
	// CellSize is the number of keyed backend servers up to which a zone has a single cell.
	CellSize int
	Leases   leaser.Settings
}

// Environment is the environment of an instance, as far as key ownership depends on it.
type Environment struct {
	// Entries are the registered backend servers.
	Entries map[identifier.BackendServer]registrar.Entry
	// Keyed contains the services whose requests carry a shard key.
	Keyed map[identifier.Service]bool
	// StoreUp reports whether the platform's store answers. StoreUpAt is the end of its last outage;
	// zero if there was none.
	StoreUp   bool
	StoreUpAt time.Time
	// Recorded are the instances on record in the store, also those of which the record was lost when it was restored.
	Recorded []identifier.Instance
	// Leaving reports whether this process is shutting down.
	Leaving bool
}

// LogFunc is called with the name and the fields of each change of state that should be logged.
type LogFunc func(event string, fields map[string]any)

// Custodian is the key ownership state of one instance. It is not safe for concurrent use.
type Custodian struct {
	settings    Settings
	logEvent    LogFunc
	startedAt   time.Time
	environment Environment
	Gossip      *gossiper.Gossiper
	Leases      *leaser.Leaser

	allocations map[identifier.Service]*allocator.Allocation
	rosters     map[identifier.Cell]leaser.Roster
	// rosterVersions is, by name of the object, the version of the roster that was applied last.
	rosterVersions map[string]identifier.Version
	segments       map[segmentKey]*segmentState
	// requestedAt is when the newest complete list of shared objects was requested.
	requestedAt time.Time
	// relayedAt is, by cell, the latest time up to which another instance has confirmed the roster
	// that is known here.
	relayedAt map[identifier.Cell]time.Time
	// allocationsRead contains the cells whose roster this process is on and for which it has read the
	// allocations since it joined.
	allocationsRead map[identifier.Cell]bool
	// cellCounts is the number of cells of each zone, for new grants.
	cellCounts cellCounts
	// cells is the result of allCells; nil after a change of what it depends on.
	cells map[identifier.Cell]bool
	// fencedAt is, by fence, the earliest known upper bound of the time at which the holder was
	// fenced.
	fencedAt map[fenceKey]time.Time
	eras     eras
}

// segmentKey identifies a segment of an allocation, or the fence of a segment by its epoch.
type segmentKey struct {
	service identifier.Service
	rng     identifier.Range
	epoch   identifier.Epoch
}

// segmentState is what this instance knows of a segment beyond what the allocation says.
type segmentState struct {
	// version is that of the newest allocation that has the segment.
	version identifier.Version
	// seenAt is when this instance first saw the segment, or the segment that it was split from.
	seenAt time.Time
	// round is the newest round of the move that was seen; 0 if the segment is not moving.
	round int
	// roundAt is when that round was seen.
	roundAt time.Time
	// movingAt is when the move was first seen.
	movingAt time.Time
	// accepted reports whether the owner has accepted a grant of this instance, so that it has the
	// keys.
	accepted bool
	// refusals counts the requests that the owner has refused since it last served one.
	refusals int
	// refusedUntil is the time until which the owner is assumed not to have the keys.
	refusedUntil time.Time
}

// New returns the state of a process that starts now. It has joined no roster and knows no allocation.
func New(now time.Time, s Settings, logEvent LogFunc) *Custodian {
	return &Custodian{
		settings: s, logEvent: logEvent, startedAt: now,
		Gossip: gossiper.New(gossiper.State{Instance: s.Instance, Incarnation: s.Incarnation, Zone: s.Zone, Address: s.Address, Capacity: s.Capacity}),
		Leases: leaser.New(s.Leases), allocations: map[identifier.Service]*allocator.Allocation{},
		rosters: map[identifier.Cell]leaser.Roster{}, rosterVersions: map[string]identifier.Version{}, segments: map[segmentKey]*segmentState{},
		relayedAt: map[identifier.Cell]time.Time{}, allocationsRead: map[identifier.Cell]bool{}, fencedAt: map[fenceKey]time.Time{},
		eras: eras{former: map[identifier.Era]map[identifier.Cell]time.Time{}, outdated: map[string]outdatedObject{}},
	}
}

// SetEnvironment replaces the description of the environment. The Custodian keeps and reads the maps of env.
func (c *Custodian) SetEnvironment(env Environment) {
	c.environment = env
	c.cellCounts = countCells(env, c.settings.CellSize)
	c.cells = nil
}

// Rosters returns the newest known roster of each cell. The caller must not change the map.
func (c *Custodian) Rosters() map[identifier.Cell]leaser.Roster { return c.rosters }

// RequestedAt returns when the newest list of the shared objects was requested; zero if none has been read.
func (c *Custodian) RequestedAt() time.Time { return c.requestedAt }

// Self returns the instance and the incarnation of this process.
func (c *Custodian) Self() allocator.Fencer {
	return allocator.Fencer{Instance: c.settings.Instance, Incarnation: c.settings.Incarnation}
}

// ApplyObjects applies shared objects: allocations and rosters that are newer than the known ones replace
// them, other objects are ignored. The time given is when the newest complete list among them was
// requested, which means that everything written before that time is included; it is zero if the
// objects are not a complete list.
func (c *Custodian) ApplyObjects(now time.Time, objects []storer.Object, requestedAt time.Time) {
	for _, o := range objects {
		c.noticeVersion(now, o.Version)
		switch {
		case strings.HasPrefix(o.Name, AllocationPrefix):
			c.applyAllocation(now, o)
		case strings.HasPrefix(o.Name, RosterPrefix):
			c.applyRoster(now, o)
		}
	}
	if requestedAt.After(c.requestedAt) {
		c.requestedAt = requestedAt
	}
}

// applyRoster replaces the roster of a cell with a newer one.
func (c *Custodian) applyRoster(now time.Time, o storer.Object) {
	if o.Version <= c.rosterVersions[o.Name] {
		return
	}
	r, err := leaser.DecodeRoster(o.Data, o.Version)
	if err != nil {
		c.logEvent("roster ignored: it does not decode", map[string]any{"Object": o.Name, "Version": o.Version, "Error": err.Error()})
		return
	}
	if c.isOutdated(r.Era, o.Version) {
		c.recordOutdated(o, nil)
		return
	}
	old, ok := c.rosters[r.Cell]
	if ok && old.Version >= r.Version {
		return
	}
	c.rosters[r.Cell] = r
	c.cells = nil
	c.rosterVersions[o.Name] = o.Version
	for _, h := range r.Holders {
		if h.Fenced() {
			c.recordFence(fenceKey{r.Cell, h}, now)
		}
	}
	for key := range c.fencedAt {
		if key.cell == r.Cell && !slices.Contains(r.Holders, key.holder) {
			delete(c.fencedAt, key)
		}
	}
	if h, ok := c.ownHolder(r.Cell); !ok || h.Fenced() || r.Era != old.Era {
		delete(c.allocationsRead, r.Cell)
	}
	c.logEvent("roster", map[string]any{"Cell": r.Cell.String(), "Version": r.Version, "Holders": r.Holders})
}

// ownHolder returns this process's entry on the roster of a cell; the second result is false if there
// is none.
func (c *Custodian) ownHolder(cell identifier.Cell) (leaser.Holder, bool) {
	return c.rosters[cell].Find(c.settings.Instance, c.settings.Incarnation)
}

// OnRoster reports whether this process is on the roster of a cell, fenced or not.
func (c *Custodian) OnRoster(cell identifier.Cell) bool {
	_, ok := c.ownHolder(cell)
	return ok
}

// MayGrant reports whether this process may send grants in a cell now.
func (c *Custodian) MayGrant(now time.Time, cell identifier.Cell) bool {
	h, ok := c.ownHolder(cell)
	if !ok || h.Fenced() || c.rosters[cell].Era != c.eras.present || !c.allocationsRead[cell] || c.anotherGrants(now, cell) {
		return false
	}
	return now.Sub(c.confirmedAt(cell)) < c.settings.Leases.ConfirmationTimeout
}

// confirmedAt returns when the known roster of a cell was last confirmed.
func (c *Custodian) confirmedAt(cell identifier.Cell) time.Time {
	if relayedAt := c.relayedAt[cell]; relayedAt.After(c.requestedAt) {
		return relayedAt
	}
	return c.requestedAt
}

// DueOrders returns the orders to send now. The caller must report the outcome of each back.
func (c *Custodian) DueOrders(now time.Time) []leaser.Order {
	onRoster, mayGrant := map[identifier.Cell]bool{}, map[identifier.Cell]bool{}
	for cell := range c.rosters {
		if c.OnRoster(cell) {
			onRoster[cell], mayGrant[cell] = true, c.MayGrant(now, cell)
		}
	}
	if len(onRoster) == 0 && c.Leases.Empty() {
		return nil
	}
	var orders []leaser.Order
	for _, service := range c.services() {
		a := c.allocations[service]
		present, era := c.ofPresentEra(a), a.NextEpoch.Era()
		orders = append(orders, c.Leases.DueOrders(now, leaser.View{
			Allocation: a, Self: c.Self(),
			OnRoster: func(cell identifier.Cell) bool {
				return onRoster[cell] || !present && c.mayGrantFormer(now, cell, era)
			},
			MayGrant: func(cell identifier.Cell) bool {
				return present && mayGrant[cell] || !present && c.mayGrantFormer(now, cell, era)
			},
			CurrentIncarnation: func(id identifier.BackendServer) (registrar.Incarnation, bool) {
				e, ok := c.environment.Entries[id]
				return e.Incarnation, ok
			},
		})...)
	}
	c.Leases.DropUnknown(now, func(service identifier.Service, r identifier.Range, e identifier.Epoch) bool {
		_, ok := c.segments[segmentKey{service, r, e}]
		return ok
	})
	return orders
}

// services returns the services that have allocations, sorted by name.
func (c *Custodian) services() []identifier.Service {
	services := make([]identifier.Service, 0, len(c.allocations))
	for service := range c.allocations {
		services = append(services, service)
	}
	sort.Slice(services, func(a, b int) bool { return services[a] < services[b] })
	return services
}

// RecordOutcome records the outcome of an order and reports whether it is the first accepted grant of its
// segment. The handover is what the owner returned with the outcome of a release.
func (c *Custodian) RecordOutcome(now time.Time, o leaser.Order, outcome leaser.Outcome, handover string) (first bool) {
	c.Leases.RecordOutcome(now, o, outcome, handover)
	st := c.segments[segmentKey{o.Service, o.Range, o.Epoch}]
	if st == nil || o.Kind != leaser.Grant || outcome != leaser.Accepted || st.accepted {
		return false
	}
	st.accepted = true
	return true
}

// Releases returns the moving segments on which no grant of this process is in force.
func (c *Custodian) Releases(now time.Time) []allocator.Release {
	var releases []allocator.Release
	for _, service := range c.services() {
		for _, seg := range c.allocations[service].Segments {
			if !seg.Moving || !c.OnRoster(seg.Cell) || seg.Fence != 0 && seg.Fencer != c.Self() {
				continue
			}
			if handover, free := c.Leases.Free(now, service, seg); free {
				releases = append(releases, allocator.Release{Service: service, Range: seg.Range, Epoch: seg.Epoch,
					Round: seg.Round, Handover: handover})
			}
		}
	}
	if c.AwaitsAllocations() && c.isCovered(now) {
		releases = append(releases, coverage(c.eras.present))
	}
	return releases
}

// Confirmations returns, sorted by cell, which version of each roster this process knows and how long
// ago it requested the list that confirms it. 1 ms is added to the age, since milliseconds are rounded
// down.
func (c *Custodian) Confirmations(now time.Time) []gossiper.Confirmation {
	var all []gossiper.Confirmation
	for cell, r := range c.rosters {
		if r.Era != c.eras.present {
			continue
		}
		all = append(all, gossiper.Confirmation{Cell: cell, Version: r.Version, AgeMs: now.Sub(c.requestedAt).Milliseconds() + 1})
	}
	sort.Slice(all, func(a, b int) bool { return all[a].Cell.Compare(all[b].Cell) < 0 })
	return all
}

// LostServers returns the backend servers that this process may grant to and that do not answer its orders.
func (c *Custodian) LostServers(now time.Time) []gossiper.ServerIncarnation {
	var lost []gossiper.ServerIncarnation
	for id, e := range c.environment.Entries {
		if c.OnRoster(c.cellCounts.cellOf(e)) && c.Leases.Lost(now, id, e.Incarnation) {
			lost = append(lost, gossiper.ServerIncarnation{Server: id, Incarnation: e.Incarnation})
		}
	}
	return lost
}

// HandleState handles the state that another instance has sent, and reports whether it is newer than the last one.
func (c *Custodian) HandleState(now time.Time, s gossiper.State) bool {
	if !c.Gossip.RecordState(now, s) {
		return false
	}
	c.applyFences(now, s.Fences)
	if p := c.Gossip.Peer(s.Instance); !p.ComposedAfter.IsZero() {
		c.ApplyConfirmations(p.ComposedAfter, p.Confirmations)
	}
	return true
}

// HandleProfile handles the relayed profile of another instance. It returns the state that the profile stands for; ok is
// false if it is not newer than what is known.
func (c *Custodian) HandleProfile(now time.Time, f gossiper.Profile) (s gossiper.State, ok bool) {
	s, ok = c.Gossip.RecordProfile(now, f)
	if ok {
		c.applyFences(now, f.Fences)
	}
	return s, ok
}

// ApplyConfirmations uses the roster confirmations of an instance that can reach the store, which were composed after a
// time, as if they were this instance's own: they are as good as a list that this instance requested at that time, less
// the age of the confirmation.
func (c *Custodian) ApplyConfirmations(composedAfter time.Time, confirmations []gossiper.Confirmation) {
	for _, confirmed := range confirmations {
		if r, ok := c.rosters[confirmed.Cell]; ok && r.Version == confirmed.Version {
			requestedAt := composedAfter.Add(-time.Duration(confirmed.AgeMs) * time.Millisecond)
			if requestedAt.After(c.relayedAt[confirmed.Cell]) {
				c.relayedAt[confirmed.Cell] = requestedAt
			}
		}
	}
}
