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
	// pinInterval is the time between two updates of the pinned keys.
	pinInterval = time.Second
	// hotShare is the load from which a key is hot, as a share of the mean load of a backend server.
	hotShare = 0.25
	// unpinShare is the load up to which a key that is not pinned by the settings loses its own
	// partition, as a share of the mean load of a backend server. It is well below hotShare, so that
	// a key is not pinned and unpinned again and again.
	unpinShare = 0.05
	// minHotRate is the lowest load of a hot key, in requests per second.
	minHotRate = 20
)

// updatePins gives a partition of its own to each key that the settings pin and, while there are fewer
// pins than AutoPins, to hot keys. It unpins the keys that are neither any more. It does nothing if it
// ran less than pinInterval ago. It reports whether it changed next.
func (a *Assigner) updatePins(now time.Time, next *partitioner.Assignment, servers []Candidate) bool {
	if now.Sub(a.pinsUpdatedAt) < pinInterval {
		return false
	}
	a.pinsUpdatedAt = now
	a.loads.decay()
	changed := false
	for _, k := range a.settings.PinnedKeys {
		changed = a.pinKey(next, k) || changed
	}
	mean := a.meanLoad(servers)
	for _, k := range a.hotKeys(mean) {
		if len(next.Pins()) < a.settings.AutoPins {
			changed = a.pinKey(next, k) || changed
		}
	}
	return a.unpinKeys(next, mean) || changed
}

// pinKey gives a key a partition of its own. It reports false if next does not allow that now, for
// example because the key is pinned already.
func (a *Assigner) pinKey(next *partitioner.Assignment, k identifier.Key) bool {
	base := next.PartitionOf(k)
	pinned, err := next.Pin(k)
	if err != nil {
		return false
	}
	a.loads.transfer(k, base, pinned)
	return true
}

// meanLoad returns the service's load divided by the number of backend servers that may keep
// partitions, in requests per second.
func (a *Assigner) meanLoad(servers []Candidate) float64 {
	eligible := 0
	for _, c := range servers {
		if !c.Evacuate {
			eligible++
		}
	}
	return a.loads.total() / float64(max(1, eligible))
}

// hotKeys returns the keys whose load is high enough to unbalance a server on its own, in falling
// order of load.
func (a *Assigner) hotKeys(mean float64) []identifier.Key {
	hot := slices.Collect(maps.Keys(a.loads.keys))
	hot = slices.DeleteFunc(hot, func(k identifier.Key) bool {
		return a.loads.keys[k] < max(minHotRate, hotShare*mean)
	})
	slices.SortFunc(hot, func(x, y identifier.Key) int {
		return cmp.Or(cmp.Compare(a.loads.keys[y], a.loads.keys[x]), cmp.Compare(x, y))
	})
	return hot
}

// unpinKeys returns keys that are neither pinned by the settings nor loaded above unpinShare to the
// partition that they are hashed onto. If that partition has another owner, the key's own partition
// first moves to that owner. It reports whether it changed next.
func (a *Assigner) unpinKeys(next *partitioner.Assignment, mean float64) bool {
	changed := false
	for _, pin := range next.Pins() {
		if slices.Contains(a.settings.PinnedKeys, pin.Key) || a.loads.rates[pin.Partition] > unpinShare*mean {
			continue
		}
		base, _ := next.UnpinnedPartition(pin.Partition)
		if next.Unpin(pin.Key) == nil {
			delete(a.loads.rates, pin.Partition)
			changed = true
			continue
		}
		changed = a.moveToOwnerOf(next, pin.Partition, base) || changed
	}
	return changed
}

// moveToOwnerOf prepares a move of partition p to the owner of partition other. It reports false if
// other is unowned, a granter in the zone of p's owner does not answer, or next does not allow the
// move.
func (a *Assigner) moveToOwnerOf(next *partitioner.Assignment, p, other identifier.Partition) bool {
	owner, _, ok := next.Owner(other)
	if !ok {
		return false
	}
	from, _, _ := next.Owner(p)
	if !a.grantersAnswer(a.assignment.ZoneOf(from)) {
		return false
	}
	return next.Prepare(p, partitioner.Server{ID: owner, Zone: a.assignment.ZoneOf(owner)}) == nil
}

// placedPartitions returns the partitions of the pinned keys for which operators have chosen a
// backend server.
func (a *Assigner) placedPartitions(next *partitioner.Assignment) map[identifier.Partition]bool {
	fixed := map[identifier.Partition]bool{}
	for k := range a.settings.Placements {
		if p := next.PartitionOf(k); next.IsPinPartition(p) {
			fixed[p] = true
		}
	}
	return fixed
}

// placementMoves returns the moves that bring pinned keys to the backend servers that operators have
// chosen for them. It leaves out keys whose server may not receive partitions now, or whose
// partition is unowned or already moving.
func (a *Assigner) placementMoves(next *partitioner.Assignment, servers []Candidate) []Move {
	var moves []Move
	for _, k := range slices.Sorted(maps.Keys(a.settings.Placements)) {
		p := next.PartitionOf(k)
		owner, _, owned := next.Owner(p)
		_, moving := next.NextOwner(p)
		wanted := a.settings.Placements[k]
		n := slices.IndexFunc(servers, func(c Candidate) bool { return c.ID == wanted && c.Receive && !c.Evacuate })
		if n >= 0 && owned && !moving && owner != wanted && next.IsPinPartition(p) {
			moves = append(moves, Move{p, servers[n].Server})
		}
	}
	return moves
}
