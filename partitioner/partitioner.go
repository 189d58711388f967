// Package partitioner holds the assignment of a service: which backend server owns which partition, under which
// epoch.
//
// A partition moves to another owner in two steps, which keep the invariants of the assignment. Prepare names
// the next owner, and every granter that knows this stops granting the partition to the present one. Commit makes the
// next owner the owner and increases the epoch. Abort cancels a prepared move and increases the epoch too, so that
// orders issued before the preparation can be distinguished from those issued after the abort.
//
// Start with partitioner.go, which holds the Assignment and its changes; codec.go holds its stored form.
package partitioner

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericlift/turmericlift/identifier"
)

// MaxPartitions is the largest number of partitions of one service, pinned keys not included. It keeps the encoded
// assignment below the platform's limit of 1 MB for a value.
const MaxPartitions = 65536

// noServer is the server index that stands for no backend server.
const noServer = -1

// serverIndex is an index into Assignment.servers, or noServer.
type serverIndex = int32

// Server is a backend server in an assignment. The assignment stores its zone too, because the platform's list no
// longer contains a backend server that has ended.
type Server struct {
	ID   identifier.BackendServer
	Zone identifier.Zone
}

// Pin is a key that has a partition of its own, usually because its request rate is high.
type Pin struct {
	Key       identifier.Key
	Partition identifier.Partition
}

// Assignment maps each partition of one service to its owner. The zero value is not usable; see New and Decode. An
// Assignment is not safe for concurrent changes: one that has been passed on must not be changed any more, only a
// Clone of it.
type Assignment struct {
	hashedCount int                // Number of partitions that keys are hashed onto, a power of two.
	servers     []Server           // The backend servers that were ever named; it only grows.
	owners      []serverIndex      // By partition.
	next        []serverIndex      // By partition; noServer unless the partition is prepared to move.
	epochs      []identifier.Epoch // By partition.
	pinSlots    []identifier.Key   // By partition, from partition hashedCount on; "" for an unused one.
	pins        map[identifier.Key]identifier.Partition
}

// New returns an assignment of n unowned partitions. It returns an error unless n is a power of two from 1 to
// MaxPartitions.
func New(n int) (*Assignment, error) {
	if n < 1 || n > MaxPartitions || n&(n-1) != 0 {
		return nil, fmt.Errorf("Partitions %d is not a power of two from 1 to %d", n, MaxPartitions)
	}
	a := &Assignment{hashedCount: n, pins: map[identifier.Key]identifier.Partition{}}
	a.addPartitions(n)
	return a, nil
}

// addPartitions adds n unowned partitions.
func (a *Assignment) addPartitions(n int) {
	for range n {
		a.owners = append(a.owners, noServer)
		a.next = append(a.next, noServer)
		a.epochs = append(a.epochs, 0)
	}
}

// Clone returns a deep copy of the assignment.
func (a *Assignment) Clone() *Assignment {
	return &Assignment{
		hashedCount: a.hashedCount, servers: slices.Clone(a.servers), owners: slices.Clone(a.owners),
		next: slices.Clone(a.next), epochs: slices.Clone(a.epochs),
		pinSlots: slices.Clone(a.pinSlots), pins: maps.Clone(a.pins),
	}
}

// Len returns the number of partitions, including those of present and former pins.
func (a *Assignment) Len() int { return len(a.owners) }

// HashedCount returns the number of partitions that keys are hashed onto.
func (a *Assignment) HashedCount() int { return a.hashedCount }

// PartitionOf returns the partition of a key: its own one if it is pinned, otherwise the one that it is hashed onto.
func (a *Assignment) PartitionOf(k identifier.Key) identifier.Partition {
	if len(a.pins) > 0 {
		if p, ok := a.pins[k]; ok {
			return p
		}
	}
	return a.hashedPartition(k)
}

// hashedPartition returns the partition that a key is hashed onto.
func (a *Assignment) hashedPartition(k identifier.Key) identifier.Partition {
	return identifier.Partition(xxhash.Sum64String(string(k)) & uint64(a.hashedCount-1))
}

// Owner returns the owner of a partition and the partition's epoch. ok is false if the partition is unowned or does
// not exist; the epoch is still that of the partition if it exists.
func (a *Assignment) Owner(p identifier.Partition) (b identifier.BackendServer, e identifier.Epoch, ok bool) {
	if int(p) >= len(a.owners) {
		return "", 0, false
	}
	if a.owners[p] == noServer {
		return "", a.epochs[p], false
	}
	return a.servers[a.owners[p]].ID, a.epochs[p], true
}

// NextOwner returns the next owner of a partition, and false if the partition is not prepared to move.
func (a *Assignment) NextOwner(p identifier.Partition) (identifier.BackendServer, bool) {
	if int(p) >= len(a.next) || a.next[p] == noServer {
		return "", false
	}
	return a.servers[a.next[p]].ID, true
}

// Moving returns the partitions that are prepared to move, in ascending order.
func (a *Assignment) Moving() []identifier.Partition {
	var moving []identifier.Partition
	for p, s := range a.next {
		if s != noServer {
			moving = append(moving, identifier.Partition(p))
		}
	}
	return moving
}

// OwnedBy calls fn for each partition that may be granted to b: those that b owns and that are not prepared to move,
// in ascending order.
func (a *Assignment) OwnedBy(b identifier.BackendServer, fn func(identifier.Partition, identifier.Epoch)) {
	s := a.indexOf(b)
	if s == noServer {
		return
	}
	for p, owner := range a.owners {
		if owner == s && a.next[p] == noServer {
			fn(identifier.Partition(p), a.epochs[p])
		}
	}
}

// UnpinnedPartition returns the partition that the pinned key of a partition is hashed onto, where it was before it
// was pinned. ok is false unless p is the partition of a key that is pinned now.
func (a *Assignment) UnpinnedPartition(p identifier.Partition) (base identifier.Partition, ok bool) {
	n := int(p) - a.hashedCount
	if n < 0 || n >= len(a.pinSlots) || a.pinSlots[n] == "" {
		return 0, false
	}
	return a.hashedPartition(a.pinSlots[n]), true
}

// IsPinPartition reports whether a partition belongs, or once belonged, to a pinned key.
func (a *Assignment) IsPinPartition(p identifier.Partition) bool { return int(p) >= a.hashedCount }

// Servers returns the backend servers that the assignment has ever named, in no particular order.
func (a *Assignment) Servers() []Server { return slices.Clone(a.servers) }

// ZoneOf returns the zone of a backend server, or "" if the assignment has never named it.
func (a *Assignment) ZoneOf(b identifier.BackendServer) identifier.Zone {
	if s := a.indexOf(b); s != noServer {
		return a.servers[s].Zone
	}
	return ""
}

// Pins returns the pinned keys in the order of their partitions.
func (a *Assignment) Pins() []Pin {
	pins := make([]Pin, 0, len(a.pinSlots))
	for n, k := range a.pinSlots {
		if k != "" {
			pins = append(pins, Pin{k, identifier.Partition(a.hashedCount + n)})
		}
	}
	return pins
}

// indexOf returns the index of a backend server, or noServer.
func (a *Assignment) indexOf(b identifier.BackendServer) serverIndex {
	return serverIndex(slices.IndexFunc(a.servers, func(s Server) bool { return s.ID == b }))
}

// indexOrAdd returns the index of a backend server, which it adds if needed.
func (a *Assignment) indexOrAdd(b Server) serverIndex {
	if s := a.indexOf(b.ID); s != noServer {
		return s
	}
	a.servers = append(a.servers, b)
	return serverIndex(len(a.servers) - 1)
}

// RuleError reports a change that was not made because it would violate an invariant of the assignment.
type RuleError struct {
	Partition identifier.Partition
	Reason    string // Why the change is not allowed, as the end of a sentence that starts with the partition.
}

// Error returns the partition and the reason.
func (e *RuleError) Error() string {
	return fmt.Sprintf("partition %d: %s", e.Partition, e.Reason)
}

// SetFirstOwner sets the first owner of a partition that has never been owned, and increases the epoch. It returns a
// RuleError if the partition does not exist or has an owner.
func (a *Assignment) SetFirstOwner(p identifier.Partition, b Server) error {
	if int(p) >= len(a.owners) {
		return &RuleError{p, "does not exist"}
	}
	if a.owners[p] != noServer || a.next[p] != noServer {
		return &RuleError{p, "already has an owner, which only a move may change"}
	}
	a.owners[p] = a.indexOrAdd(b)
	a.epochs[p]++
	return nil
}

// Prepare names the next owner of a partition, which is the first step of a move. From then on no granter that knows
// the assignment grants the partition to its present owner. It returns a RuleError if the partition is unowned, is
// already prepared to move, or is owned by to.
func (a *Assignment) Prepare(p identifier.Partition, to Server) error {
	if int(p) >= len(a.owners) || a.owners[p] == noServer {
		return &RuleError{p, "has no owner that it could move from"}
	}
	if a.next[p] != noServer {
		return &RuleError{p, "is already prepared to move"}
	}
	s := a.indexOrAdd(to)
	if s == a.owners[p] {
		return &RuleError{p, fmt.Sprintf("is already owned by %s", to.ID)}
	}
	a.next[p] = s
	return nil
}

// Commit makes the next owner of a partition its owner and increases the epoch. The caller must have made sure before
// that no grant to the former owner is in force and that none can be issued any more. It returns a RuleError if the
// partition is not prepared to move.
func (a *Assignment) Commit(p identifier.Partition) error {
	if int(p) >= len(a.next) || a.next[p] == noServer {
		return &RuleError{p, "is not prepared to move"}
	}
	a.owners[p] = a.next[p]
	a.next[p] = noServer
	a.epochs[p]++
	return nil
}

// Redirect changes the next owner of a partition that is prepared to move. This needs no wait, because the partition
// has never been granted to the former next owner. If to is the present owner, the move is aborted. It returns a
// RuleError if the partition is not prepared to move.
func (a *Assignment) Redirect(p identifier.Partition, to Server) error {
	if int(p) >= len(a.next) || a.next[p] == noServer {
		return &RuleError{p, "is not prepared to move"}
	}
	s := a.indexOrAdd(to)
	if s == a.owners[p] {
		return a.Abort(p)
	}
	a.next[p] = s
	return nil
}

// Abort cancels the prepared move of a partition: the owner stays and the epoch increases. It returns a RuleError if
// the partition is not prepared to move.
func (a *Assignment) Abort(p identifier.Partition) error {
	if int(p) >= len(a.next) || a.next[p] == noServer {
		return &RuleError{p, "is not prepared to move"}
	}
	a.next[p] = noServer
	a.epochs[p]++
	return nil
}

// Pin gives a key a partition of its own, which has the same owner as the key's present partition, and returns it.
// The epoch of the present partition increases too: the backend server then refuses a request for the key that was
// routed before the pin, so that it cannot run there after the pinned key has moved to another owner. Pin returns a
// RuleError if the key is pinned, its partition is unowned or prepared to move, or maxPins keys are pinned.
func (a *Assignment) Pin(k identifier.Key) (identifier.Partition, error) {
	p := a.PartitionOf(k)
	if _, ok := a.pins[k]; ok {
		return p, &RuleError{p, fmt.Sprintf("key %q is already pinned", k)}
	}
	if a.owners[p] == noServer || a.next[p] != noServer {
		return p, &RuleError{p, "is unowned or prepared to move; pin the key after the move"}
	}
	n := slices.Index(a.pinSlots, "")
	if n < 0 && len(a.pinSlots) >= maxPins {
		return p, &RuleError{p, fmt.Sprintf("already %d keys are pinned, the largest number", maxPins)}
	}
	if n < 0 {
		n = len(a.pinSlots)
		a.pinSlots = append(a.pinSlots, "")
		a.addPartitions(1)
	}
	pinned := identifier.Partition(a.hashedCount + n)
	a.owners[pinned] = a.owners[p]
	a.epochs[p]++
	a.epochs[pinned] = max(a.epochs[p], a.epochs[pinned]+1)
	a.pinSlots[n] = k
	a.pins[k] = pinned
	return pinned, nil
}

// Unpin removes the partition of a pinned key, so that the key belongs to the partition that it is hashed onto
// again. It returns a RuleError unless the key is pinned, both partitions have the same owner and neither is
// prepared to move.
func (a *Assignment) Unpin(k identifier.Key) error {
	pinned, ok := a.pins[k]
	if !ok {
		return &RuleError{pinned, fmt.Sprintf("key %q is not pinned", k)}
	}
	base := a.hashedPartition(k)
	if a.owners[base] == noServer || a.owners[base] != a.owners[pinned] || a.next[base] != noServer || a.next[pinned] != noServer {
		return &RuleError{pinned, fmt.Sprintf("has another owner than partition %d, or one of the two is unowned or prepared to move", base)}
	}
	a.owners[pinned] = noServer
	a.epochs[pinned]++
	a.epochs[base]++
	a.pinSlots[int(pinned)-a.hashedCount] = ""
	delete(a.pins, k)
	return nil
}

// maxPins is the largest number of pinned keys of a service.
const maxPins = 1024
