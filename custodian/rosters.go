package custodian

import (
	"slices"
	"sort"
	"time"

	"github.com/turmericlift/turmericlift/gossiper"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/leaser"
	"github.com/turmericlift/turmericlift/ranker"
)

const (
	// SettleTime is the time after its start in which an instance hears of the others.
	SettleTime = time.Second
	// silentTime is the silence after which a holder is fenced.
	silentTime = 900 * time.Millisecond
	// fenceReserve is added to the time after which a fenced process is known to grant no
	// more, for clocks that differ in rate.
	fenceReserve = time.Second
)

// giving reports whether another process that is on the roster is to grant in this
// one's place.
func (c *Custodian) giving(now time.Time, cell identifier.Cell) bool {
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

// Granter returns the instance that is to grant in a cell: one of its zone if there is
// one.
func (c *Custodian) Granter(now time.Time, cell identifier.Cell) identifier.Instance {
	near, far := c.candidates(now, func(z identifier.Zone) bool { return z == cell.Zone })
	if len(near) == 0 {
		near = far
	}
	return top("granter "+cell.String(), near)
}

// strongShare is the part of the greatest strength from which an instance is fit to plan.
const strongShare = 0.5

// Planner returns the instance that is to plan: one of the stronger ones.
func (c *Custodian) Planner(now time.Time) identifier.Instance {
	all, _ := c.candidates(now, func(identifier.Zone) bool { return true })
	strongest := 0.0
	for _, s := range all {
		strongest = max(strongest, s.Strength)
	}
	return top("planner", slices.DeleteFunc(all, func(s gossiper.State) bool { return s.Strength < strongShare*strongest }))
}

// top returns the instance that ranks first for a task, or none.
func top(task string, states []gossiper.State) identifier.Instance {
	names := make([]identifier.Instance, 0, len(states))
	for _, s := range states {
		names = append(names, s.Instance)
	}
	first, _ := ranker.Top(task, names)
	return first
}

// candidates returns the live instances for a task that needs the store: those whose
// zone fits, and the others. Without an instance that the store answers, all count.
func (c *Custodian) candidates(now time.Time, fits func(identifier.Zone) bool) (near, far []gossiper.State) {
	states := []gossiper.State{{
		Instance: c.settings.Instance, Zone: c.settings.Zone, Strength: c.settings.Strength, Leaving: c.world.Leaving, StoreUp: c.StoreUp(),
	}}
	for _, p := range c.Gossip.Live(now) {
		states = append(states, p.State)
	}
	add := func(s gossiper.State) {
		switch {
		case s.Leaving:
		case fits(s.Zone):
			near = append(near, s)
		default:
			far = append(far, s)
		}
	}
	for _, s := range states {
		if s.StoreUp {
			add(s)
		}
	}
	if len(near) == 0 {
		for _, s := range states {
			if !s.StoreUp {
				add(s)
			}
		}
	}
	return near, far
}

// StoreUp reports whether the store answers and this instance knows the shared objects.
func (c *Custodian) StoreUp() bool { return c.world.StoreUp && !c.asked.IsZero() }

// RosterChanges returns the rosters that this process is to write now: none before it
// has had time to hear of the others.
func (c *Custodian) RosterChanges(now time.Time) []leaser.Roster {
	if now.Sub(c.startedAt) < SettleTime {
		return nil
	}
	cells := map[identifier.Cell]bool{}
	for _, e := range c.world.Entries {
		if c.world.Keyed[e.Service] {
			cells[c.parts.cellOf(e)] = true
		}
	}
	for cell := range c.rosters {
		cells[cell] = true
	}
	for _, a := range c.allocations {
		for n := range a.Segments {
			if a.Segments[n].Owner != "" {
				cells[a.Segments[n].Cell] = true
			}
		}
	}
	var changes []leaser.Roster
	for cell := range cells {
		if r, ok := c.rosterChange(now, cell); ok {
			changes = append(changes, r)
		}
	}
	sort.Slice(changes, func(a, b int) bool { return changes[a].Cell.Compare(changes[b].Cell) < 0 })
	return changes
}

// rosterChange returns the next version of a cell's roster if this process is to
// change it.
func (c *Custodian) rosterChange(now time.Time, cell identifier.Cell) (leaser.Roster, bool) {
	r := c.rosters[cell]
	r.Cell = cell
	mine, on := c.mine(cell)
	wanted := c.Granter(now, cell) == c.settings.Instance
	silent := func(h leaser.Holder) bool { return c.silent(now, h) }
	switch {
	case wanted && (!on || mine.Fenced() || slices.ContainsFunc(r.Holders, silent)):
		return r.Join(c.settings.Instance, c.settings.Incarnation, silent), true
	case !wanted && on && (mine.Fenced() || c.giving(now, cell)) && c.Leases.Idle(now, cell):
		return r.Without(func(h leaser.Holder) bool { return h == mine }), true
	case wanted && on:
		next := r.Without(func(h leaser.Holder) bool { return h != mine && c.over(now, cell, h) })
		return next, len(next.Holders) < len(r.Holders)
	}
	return r, false
}

// silent reports whether a holder that is not fenced has not been heard for a while.
func (c *Custodian) silent(now time.Time, h leaser.Holder) bool {
	p := c.Gossip.Peer(h.Instance)
	return h.Instance != c.settings.Instance && !h.Fenced() && (p == nil || now.Sub(p.HeardAt) >= silentTime)
}

// over reports whether nothing that a holder granted can be in force: its process
// ended, or it was fenced, long enough ago.
func (c *Custodian) over(now time.Time, cell identifier.Cell, h leaser.Holder) bool {
	longest := c.settings.Leases.Longest()
	if h.Instance == c.settings.Instance {
		return h.Incarnation != c.settings.Incarnation && now.Sub(c.startedAt) > longest
	}
	if p := c.Gossip.Peer(h.Instance); p != nil && p.Incarnation > h.Incarnation && now.Sub(p.FirstAt) > longest {
		return true
	}
	since, ok := c.fencedAt[fenceKey{cell, h}]
	return ok && now.Sub(since) > c.settings.Leases.Authority+longest+fenceReserve
}

// Unread returns the cells that this process has joined without having read what was
// allocated before.
func (c *Custodian) Unread() []identifier.Cell {
	var unread []identifier.Cell
	for cell := range c.rosters {
		if h, on := c.mine(cell); on && !h.Fenced() && !c.joined[cell] {
			unread = append(unread, cell)
		}
	}
	return unread
}

// Read takes in that a list of the shared objects that was asked for after this process
// knew to be on the rosters of cells has been taken in.
func (c *Custodian) Read(cells []identifier.Cell) {
	for _, cell := range cells {
		if h, on := c.mine(cell); on && !h.Fenced() {
			c.joined[cell] = true
		}
	}
}
