package custodian

import (
	"slices"
	"sort"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/leaser"
	"github.com/turmericlift/turmericlift/ranker"
)

const (
	// DiscoveryTime is the time after its start that an instance takes to hear from the others.
	DiscoveryTime = time.Second
	// fenceDelay is the time after which an unresponsive holder is fenced.
	fenceDelay = 100 * time.Millisecond
	// fenceMargin is added to the time after which a fenced process is known to grant no more, because
	// clocks differ in rate.
	fenceMargin = time.Second
)

// anotherGrants reports whether another process, which is on the roster and not fenced, should grant
// in a cell instead of this one.
func (c *Custodian) anotherGrants(now time.Time, cell identifier.Cell) bool {
	to := c.Granter(now, cell)
	if to == c.settings.Instance {
		return false
	}
	p := c.Gossip.Peer(to)
	if p == nil {
		return false
	}
	h, ok := c.rosters[cell].Find(to, p.Incarnation)
	return ok && !h.Fenced()
}

// Granter returns the instance that should grant in a cell: one in the zone of the cell if there is
// one, otherwise one in another zone.
func (c *Custodian) Granter(now time.Time, cell identifier.Cell) identifier.Instance {
	return granterOf(cell, c.candidates(now))
}

// granterOf returns the one of the candidates that should grant in a cell.
func granterOf(cell identifier.Cell, all []candidate) identifier.Instance {
	matching, others := split(all, func(z identifier.Zone) bool { return z == cell.Zone })
	if len(matching) == 0 {
		matching = others
	}
	return topRanked("granter "+cell.String(), matching)
}

// plannerCapacityShare is the share of the greatest capacity among the candidates that an instance
// needs to become the planner.
const plannerCapacityShare = 0.5

// Planner returns the instance that should plan: one of those with the greater capacities.
func (c *Custodian) Planner(now time.Time) identifier.Instance {
	all, _ := split(c.candidates(now), func(identifier.Zone) bool { return true })
	maxCapacity := 0.0
	for _, s := range all {
		maxCapacity = max(maxCapacity, s.capacity)
	}
	return topRanked("planner", slices.DeleteFunc(all, func(s candidate) bool { return s.capacity < plannerCapacityShare*maxCapacity }))
}

// topRanked returns the instance that ranks first for a task, or the empty name if there are no
// instances.
func topRanked(task string, candidates []candidate) identifier.Instance {
	names := make([]identifier.Instance, 0, len(candidates))
	for _, s := range candidates {
		names = append(names, s.instance)
	}
	first, _ := ranker.Top(task, names)
	return first
}

// candidate is a live instance that is not shutting down, as far as the choice for a task depends on it.
type candidate struct {
	instance identifier.Instance
	zone     identifier.Zone
	capacity float64
	storeUp  bool
}

// candidates returns the live instances without those that are shutting down.
func (c *Custodian) candidates(now time.Time) []candidate {
	live := c.Gossip.Live(now)
	all := make([]candidate, 0, len(live)+1)
	if !c.environment.Leaving {
		all = append(all, candidate{c.settings.Instance, c.settings.Zone, c.settings.Capacity, c.StoreUp()})
	}
	for _, p := range live {
		if !p.Leaving {
			all = append(all, candidate{p.Instance, p.Zone, p.Capacity, p.StoreUp})
		}
	}
	return all
}

// split returns the candidates for a task that needs the store: those whose zone matches, and the others. Instances that
// cannot reach the store are added only if no instance in a matching zone can.
func split(all []candidate, matches func(identifier.Zone) bool) (matching, others []candidate) {
	add := func(storeUp bool) {
		for _, s := range all {
			switch {
			case s.storeUp != storeUp:
			case matches(s.zone):
				matching = append(matching, s)
			default:
				others = append(others, s)
			}
		}
	}
	add(true)
	if len(matching) == 0 {
		add(false)
	}
	return matching, others
}

// StoreUp reports whether the store answers and this instance has read a list of the shared objects.
func (c *Custodian) StoreUp() bool { return c.environment.StoreUp && !c.requestedAt.IsZero() }

// RosterChanges returns, sorted by cell, the rosters that this process should write now. There are
// none in the time after its start in which it has not yet heard from the others.
func (c *Custodian) RosterChanges(now time.Time) []leaser.Roster {
	if now.Sub(c.startedAt) < DiscoveryTime || !c.hasListed() {
		return nil
	}
	var changes []leaser.Roster
	all := c.candidates(now)
	byZone := map[identifier.Zone][]candidate{}
	for _, s := range all {
		byZone[s.zone] = append(byZone[s.zone], s)
	}
	for cell := range c.allCells() {
		candidates := byZone[cell.Zone]
		if !slices.ContainsFunc(candidates, func(s candidate) bool { return s.storeUp }) {
			candidates = all // Those of other zones that can reach the store may go first.
		}
		if r, ok := c.rosterChange(now, cell, granterOf(cell, candidates)); ok {
			r.Era, r.Version = c.eras.present, c.toReplace(RosterPrefix+cell.String(), r.Version)
			changes = append(changes, r)
		}
	}
	sort.Slice(changes, func(a, b int) bool { return changes[a].Cell.Compare(changes[b].Cell) < 0 })
	return changes
}

// allCells returns the cells that have a roster, or that need one because of a backend server or a segment.
func (c *Custodian) allCells() map[identifier.Cell]bool {
	if c.cells != nil {
		return c.cells
	}
	c.cells = map[identifier.Cell]bool{}
	for _, e := range c.environment.Entries {
		if c.environment.Keyed[e.Service] {
			c.cells[c.cellCounts.cellOf(e)] = true
		}
	}
	for cell := range c.rosters {
		c.cells[cell] = true
	}
	for _, a := range c.allocations {
		for n := range a.Segments {
			if a.Segments[n].Owner != "" {
				c.cells[a.Segments[n].Cell] = true
			}
		}
	}
	return c.cells
}

// rosterChange returns the next roster of a cell in which granter should grant, with the version that it replaces; the
// second result is false if this process should not change the roster.
func (c *Custodian) rosterChange(now time.Time, cell identifier.Cell, granter identifier.Instance) (leaser.Roster, bool) {
	r := c.rosters[cell]
	r.Cell = cell
	ownHolder, onRoster := c.ownHolder(cell)
	isGranter := granter == c.settings.Instance
	unresponsive := func(h leaser.Holder) bool { return c.unresponsive(now, h) }
	switch {
	case c.mustJoin(now, cell, isGranter):
		return r.Join(c.settings.Instance, c.settings.Incarnation, unresponsive), true
	case !c.rosterCounts(cell):
		return r, false
	case isGranter && (!onRoster || ownHolder.Fenced() || slices.ContainsFunc(r.Holders, unresponsive)):
		return r.Join(c.settings.Instance, c.settings.Incarnation, unresponsive), true
	case !isGranter && onRoster && (ownHolder.Fenced() || c.anotherGrants(now, cell)) && !c.mayHold(now, cell):
		return r.Without(func(h leaser.Holder) bool { return h == ownHolder }), true
	case isGranter && onRoster:
		next := r.Without(func(h leaser.Holder) bool { return h != ownHolder && c.grantsLapsed(now, cell, h) })
		return next, len(next.Holders) < len(r.Holders)
	}
	return r, false
}

// unresponsive reports whether another process that is on a roster and not fenced has not been heard
// from for a while.
func (c *Custodian) unresponsive(now time.Time, h leaser.Holder) bool {
	p := c.Gossip.Peer(h.Instance)
	return h.Instance != c.settings.Instance && !h.Fenced() && (p == nil || now.Sub(p.HeardAt) >= c.Gossip.UnresponsiveAfter()+fenceDelay)
}

// grantsLapsed reports whether nothing that a holder granted can be in force, because its process
// ended, or was fenced, long enough ago.
func (c *Custodian) grantsLapsed(now time.Time, cell identifier.Cell, h leaser.Holder) bool {
	longest := c.settings.Leases.MaxInForce()
	if h.Instance == c.settings.Instance {
		return h.Incarnation != c.settings.Incarnation && now.Sub(c.startedAt) > longest
	}
	// The clock from which incarnations are derived may be set back at a restart, so a higher one that has fallen silent may be
	// that of the former process.
	p := c.Gossip.Peer(h.Instance)
	if p != nil && p.Incarnation > h.Incarnation && now.Sub(p.FirstHeardAt) > longest && now.Sub(p.HeardAt) < c.Gossip.UnresponsiveAfter() {
		return true
	}
	since, ok := c.fencedAt[fenceKey{cell, h}]
	return ok && now.Sub(since) > c.settings.Leases.ConfirmationTimeout+longest+fenceMargin
}

// UnreadCells returns the cells whose roster this process has joined without having read the allocations
// since.
func (c *Custodian) UnreadCells() []identifier.Cell {
	var unread []identifier.Cell
	for cell := range c.rosters {
		if h, onRoster := c.ownHolder(cell); onRoster && !h.Fenced() && !c.allocationsRead[cell] && c.rosterCounts(cell) {
			unread = append(unread, cell)
		}
	}
	return unread
}

// RecordRead records that the allocations have been read for cells: a list of the shared objects has been
// applied that was requested after this process knew that it was on the rosters of these cells.
func (c *Custodian) RecordRead(cells []identifier.Cell) {
	for _, cell := range cells {
		if h, onRoster := c.ownHolder(cell); onRoster && !h.Fenced() && c.rosterCounts(cell) {
			c.allocationsRead[cell] = true
		}
	}
}
