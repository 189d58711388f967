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
func (c *Custodian) giving(now time.Time, zone identifier.Zone) bool {
	to := c.Granter(now, zone)
	if to == c.settings.Instance {
		return false
	}
	p := c.Gossip.Peer(to)
	if p == nil {
		return false
	}
	h, ok := c.rosters[zone].Find(to, p.Incarnation)
	return ok && !h.Fenced()
}

// Granter returns the instance that is to grant in a zone: one of the zone if there is
// one.
func (c *Custodian) Granter(now time.Time, zone identifier.Zone) identifier.Instance {
	near, far := c.candidates(now, func(z identifier.Zone) bool { return z == zone })
	if top, ok := ranker.Top("granter "+string(zone), near); ok {
		return top
	}
	top, _ := ranker.Top("granter "+string(zone), far)
	return top
}

// Planner returns the instance that is to plan.
func (c *Custodian) Planner(now time.Time) identifier.Instance {
	all, _ := c.candidates(now, func(identifier.Zone) bool { return true })
	top, _ := ranker.Top("planner", all)
	return top
}

// candidates returns the live instances for a task that needs the store: those whose
// zone fits, and the others. Without an instance that the store answers, all count.
func (c *Custodian) candidates(now time.Time, fits func(identifier.Zone) bool) (near, far []identifier.Instance) {
	states := []gossiper.State{{
		Instance: c.settings.Instance, Zone: c.settings.Zone, Leaving: c.world.Leaving, StoreUp: c.StoreUp(),
	}}
	for _, p := range c.Gossip.Live(now) {
		states = append(states, p.State)
	}
	add := func(s gossiper.State) {
		switch {
		case s.Leaving:
		case fits(s.Zone):
			near = append(near, s.Instance)
		default:
			far = append(far, s.Instance)
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
	zones := map[identifier.Zone]bool{}
	for _, e := range c.world.Entries {
		if c.world.Keyed[e.Service] {
			zones[e.Zone] = true
		}
	}
	for zone := range c.rosters {
		zones[zone] = true
	}
	var changes []leaser.Roster
	for zone := range zones {
		if r, ok := c.rosterChange(now, zone); ok {
			changes = append(changes, r)
		}
	}
	sort.Slice(changes, func(a, b int) bool { return changes[a].Zone < changes[b].Zone })
	return changes
}

// rosterChange returns the next version of a zone's roster if this process is to
// change it.
func (c *Custodian) rosterChange(now time.Time, zone identifier.Zone) (leaser.Roster, bool) {
	r := c.rosters[zone]
	r.Zone = zone
	mine, on := c.mine(zone)
	wanted := c.Granter(now, zone) == c.settings.Instance
	silent := func(h leaser.Holder) bool { return c.silent(now, h) }
	switch {
	case wanted && (!on || mine.Fenced() || slices.ContainsFunc(r.Holders, silent)):
		return r.Join(c.settings.Instance, c.settings.Incarnation, silent), true
	case !wanted && on && (mine.Fenced() || c.giving(now, zone)) && c.Leases.Idle(now, zone):
		return r.Without(func(h leaser.Holder) bool { return h == mine }), true
	case wanted && on:
		next := r.Without(func(h leaser.Holder) bool { return h != mine && c.over(now, zone, h) })
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
func (c *Custodian) over(now time.Time, zone identifier.Zone, h leaser.Holder) bool {
	longest := c.settings.Leases.Longest()
	if h.Instance == c.settings.Instance {
		return h.Incarnation != c.settings.Incarnation && now.Sub(c.startedAt) > longest
	}
	if p := c.Gossip.Peer(h.Instance); p != nil && p.Incarnation > h.Incarnation && now.Sub(p.FirstAt) > longest {
		return true
	}
	since, ok := c.fencedAt[fenceKey{zone, h}]
	return ok && now.Sub(since) > c.settings.Leases.Authority+longest+fenceReserve
}

// Unread returns the zones that this process has joined without having read what was
// allocated before.
func (c *Custodian) Unread() []identifier.Zone {
	var unread []identifier.Zone
	for zone := range c.rosters {
		if h, on := c.mine(zone); on && !h.Fenced() && !c.joined[zone] {
			unread = append(unread, zone)
		}
	}
	return unread
}

// Read takes in that a list of the shared objects that was asked for after this process
// knew to be on the rosters of zones has been taken in.
func (c *Custodian) Read(zones []identifier.Zone) {
	for _, zone := range zones {
		if h, on := c.mine(zone); on && !h.Fenced() {
			c.joined[zone] = true
		}
	}
}
