package assigner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
)

const (
	// pinEvery is the time between two looks at hot keys.
	pinEvery = time.Second
	// hotShare of the mean load of a backend server makes a key hot.
	hotShare = 0.25
	// coldPinShare of the mean load of a backend server makes a pinned key ordinary
	// again. It is well below hotShare, so that a key does not go to and fro.
	coldPinShare = 0.05
	// leastHotRate bounds the load of a hot key from below, in requests per second.
	leastHotRate = 20
)

// updatePins gives the keys that the settings name, and those that are found hot, a
// partition of their own, and takes it from those that are neither any more.
func (a *Assigner) updatePins(now time.Time, next *partitioner.Assignment, servers []Candidate) bool {
	if now.Sub(a.pinnedAt) < pinEvery {
		return false
	}
	a.pinnedAt = now
	a.loads.age()
	changed := false
	for _, k := range a.settings.PinnedKeys {
		changed = a.pin(next, k) || changed
	}
	mean := a.meanLoad(servers)
	for _, k := range a.hotKeys(mean) {
		if len(next.Pins()) < a.settings.AutoPins {
			changed = a.pin(next, k) || changed
		}
	}
	return a.unpin(next, mean) || changed
}

func (a *Assigner) pin(next *partitioner.Assignment, k identifier.Key) bool {
	base := next.PartitionOf(k)
	pinned, err := next.Pin(k)
	if err != nil {
		return false
	}
	a.loads.hand(k, base, pinned)
	return true
}

// meanLoad returns the mean load of the backend servers that may own partitions.
func (a *Assigner) meanLoad(servers []Candidate) float64 {
	holders := 0
	for _, c := range servers {
		if !c.Evacuate {
			holders++
		}
	}
	return a.loads.total() / float64(max(1, holders))
}

// hotKeys returns the keys whose load alone unbalances a server, the hottest first.
func (a *Assigner) hotKeys(mean float64) []identifier.Key {
	hot := slices.Collect(maps.Keys(a.loads.keys))
	hot = slices.DeleteFunc(hot, func(k identifier.Key) bool {
		return a.loads.keys[k] < max(leastHotRate, hotShare*mean)
	})
	slices.SortFunc(hot, func(x, y identifier.Key) int {
		return cmp.Or(cmp.Compare(a.loads.keys[y], a.loads.keys[x]), cmp.Compare(x, y))
	})
	return hot
}

// unpin takes the partition of its own from a key that is ordinary again. One that is
// owned by another server than the key's former partition moves there first.
func (a *Assigner) unpin(next *partitioner.Assignment, mean float64) bool {
	changed := false
	for _, pin := range next.Pins() {
		if slices.Contains(a.settings.PinnedKeys, pin.Key) || a.loads.rates[pin.Partition] > coldPinShare*mean {
			continue
		}
		base, _ := next.Base(pin.Partition)
		if next.Unpin(pin.Key) == nil {
			delete(a.loads.rates, pin.Partition)
			changed = true
			continue
		}
		changed = a.moveTo(next, pin.Partition, base) || changed
	}
	return changed
}

// moveTo marks a partition to move to the owner of another one.
func (a *Assigner) moveTo(next *partitioner.Assignment, p, other identifier.Partition) bool {
	owner, _, ok := next.Owner(other)
	if !ok {
		return false
	}
	from, _, _ := next.Owner(p)
	if !a.grantersAnswer(a.assignment.ZoneOf(from)) {
		return false
	}
	return next.Mark(p, partitioner.Server{ID: owner, Zone: a.assignment.ZoneOf(owner)}) == nil
}

// placed returns the partitions of the keys that operators have placed.
func (a *Assigner) placed(next *partitioner.Assignment) map[identifier.Partition]bool {
	fixed := map[identifier.Partition]bool{}
	for k := range a.settings.Placements {
		if p := next.PartitionOf(k); next.Pinned(p) {
			fixed[p] = true
		}
	}
	return fixed
}

// placements returns the moves of placed keys to where operators want them, as far as
// those backend servers can take them.
func (a *Assigner) placements(next *partitioner.Assignment, servers []Candidate) []Move {
	var moves []Move
	for _, k := range slices.Sorted(maps.Keys(a.settings.Placements)) {
		p := next.PartitionOf(k)
		owner, _, owned := next.Owner(p)
		_, moving := next.Next(p)
		wanted := a.settings.Placements[k]
		n := slices.IndexFunc(servers, func(c Candidate) bool { return c.ID == wanted && c.Receive && !c.Evacuate })
		if n >= 0 && owned && !moving && owner != wanted && next.Pinned(p) {
			moves = append(moves, Move{p, servers[n].Server})
		}
	}
	return moves
}
