// Package partitioner holds the assignment of a service: the aggregate that says
// which backend server owns which partition, under which epoch.
//
// Only two changes of owner exist, and both keep the aggregate's rules: Mark names
// a partition's next owner and so tells every granter to stop granting it to the
// present one; Commit makes the next owner the owner and raises the epoch. Abort
// takes a mark back and raises the epoch too, so that the orders issued before the
// mark and those issued after it can be told apart.
package partitioner

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericlift/turmericlift/identifier"
)

// MaxPartitions bounds the partitions of one service, so that the encoded
// assignment stays below the platform's limit of 1 MB a value.
const MaxPartitions = 65536

// none is the server index that means "no backend server".
const none = -1

// server is an index into Assignment.servers.
type server = int32

// Server is a backend server as the assignment names it. Its zone is kept with it,
// since a backend server that has ended is in no list any more.
type Server struct {
	ID   identifier.BackendServer
	Zone identifier.Zone
}

// Pin gives one hot key a partition of its own.
type Pin struct {
	Key       identifier.Key
	Partition identifier.Partition
}

// Assignment maps each partition of one service to its owner. The zero value is
// not usable; see New and Decode. An Assignment that has been published is never
// changed: Clone it first.
type Assignment struct {
	hashed  int // Partitions that keys are hashed onto, a power of two.
	servers []Server
	owners  []server
	next    []server
	epochs  []identifier.Epoch
	pinned  []identifier.Key // In the order of their partitions; "" where one is free.
	pins    map[identifier.Key]identifier.Partition
}

// New returns an assignment of n partitions, n a power of two, none of them owned.
func New(n int) (*Assignment, error) {
	if n < 1 || n > MaxPartitions || n&(n-1) != 0 {
		return nil, fmt.Errorf("Partitions %d is not a power of two from 1 to %d", n, MaxPartitions)
	}
	a := &Assignment{hashed: n, pins: map[identifier.Key]identifier.Partition{}}
	a.grow(n)
	return a, nil
}

func (a *Assignment) grow(n int) {
	for range n {
		a.owners = append(a.owners, none)
		a.next = append(a.next, none)
		a.epochs = append(a.epochs, 0)
	}
}

// Clone returns a copy that can be changed without effect on a.
func (a *Assignment) Clone() *Assignment {
	return &Assignment{
		hashed: a.hashed, servers: slices.Clone(a.servers), owners: slices.Clone(a.owners),
		next: slices.Clone(a.next), epochs: slices.Clone(a.epochs),
		pinned: slices.Clone(a.pinned), pins: maps.Clone(a.pins),
	}
}

// Len returns the number of partitions, those of pinned keys included.
func (a *Assignment) Len() int { return len(a.owners) }

// Hashed returns the number of partitions that keys are hashed onto.
func (a *Assignment) Hashed() int { return a.hashed }

// PartitionOf returns the partition of a key.
func (a *Assignment) PartitionOf(k identifier.Key) identifier.Partition {
	if len(a.pins) > 0 {
		if p, ok := a.pins[k]; ok {
			return p
		}
	}
	return a.hash(k)
}

func (a *Assignment) hash(k identifier.Key) identifier.Partition {
	return identifier.Partition(xxhash.Sum64String(string(k)) & uint64(a.hashed-1))
}

// Owner returns the owner of a partition and its epoch. ok is false while the
// partition has no owner.
func (a *Assignment) Owner(p identifier.Partition) (b identifier.BackendServer, e identifier.Epoch, ok bool) {
	if int(p) >= len(a.owners) {
		return "", 0, false
	}
	if a.owners[p] == none {
		return "", a.epochs[p], false
	}
	return a.servers[a.owners[p]].ID, a.epochs[p], true
}

// Next returns the backend server that a partition is marked to move to.
func (a *Assignment) Next(p identifier.Partition) (identifier.BackendServer, bool) {
	if int(p) >= len(a.next) || a.next[p] == none {
		return "", false
	}
	return a.servers[a.next[p]].ID, true
}

// Moving returns the marked partitions in rising order.
func (a *Assignment) Moving() []identifier.Partition {
	var moving []identifier.Partition
	for p, s := range a.next {
		if s != none {
			moving = append(moving, identifier.Partition(p))
		}
	}
	return moving
}

// OwnedBy calls fn for each partition that b owns and that is not marked to move:
// the partitions that may be granted to b.
func (a *Assignment) OwnedBy(b identifier.BackendServer, fn func(identifier.Partition, identifier.Epoch)) {
	s := a.indexOf(b)
	if s == none {
		return
	}
	for p, owner := range a.owners {
		if owner == s && a.next[p] == none {
			fn(identifier.Partition(p), a.epochs[p])
		}
	}
}

// Base returns the partition that a pinned key had before it was pinned; ok is
// false for the partitions that keys are hashed onto.
func (a *Assignment) Base(p identifier.Partition) (base identifier.Partition, ok bool) {
	n := int(p) - a.hashed
	if n < 0 || n >= len(a.pinned) || a.pinned[n] == "" {
		return 0, false
	}
	return a.hash(a.pinned[n]), true
}

// Pinned reports whether a partition is, or was, one of a pinned key.
func (a *Assignment) Pinned(p identifier.Partition) bool { return int(p) >= a.hashed }

// Servers returns the backend servers that the assignment names, in no order of rank.
func (a *Assignment) Servers() []Server { return slices.Clone(a.servers) }

// ZoneOf returns the zone of a backend server that the assignment names, or "".
func (a *Assignment) ZoneOf(b identifier.BackendServer) identifier.Zone {
	if s := a.indexOf(b); s != none {
		return a.servers[s].Zone
	}
	return ""
}

// Pins returns the pinned keys in the order of their partitions.
func (a *Assignment) Pins() []Pin {
	pins := make([]Pin, 0, len(a.pinned))
	for n, k := range a.pinned {
		if k != "" {
			pins = append(pins, Pin{k, identifier.Partition(a.hashed + n)})
		}
	}
	return pins
}

func (a *Assignment) indexOf(b identifier.BackendServer) server {
	return server(slices.IndexFunc(a.servers, func(s Server) bool { return s.ID == b }))
}

func (a *Assignment) intern(b Server) server {
	if s := a.indexOf(b.ID); s != none {
		return s
	}
	a.servers = append(a.servers, b)
	return server(len(a.servers) - 1)
}

// RuleError reports a change that would break a rule of the aggregate.
type RuleError struct {
	Partition identifier.Partition
	Rule      string
}

// Error names the partition and the rule.
func (e *RuleError) Error() string {
	return fmt.Sprintf("partition %d: %s", e.Partition, e.Rule)
}

// Place gives a partition that never had an owner its first one.
func (a *Assignment) Place(p identifier.Partition, b Server) error {
	if int(p) >= len(a.owners) {
		return &RuleError{p, "does not exist"}
	}
	if a.owners[p] != none || a.next[p] != none {
		return &RuleError{p, "has an owner already; only a move may change it"}
	}
	a.owners[p] = a.intern(b)
	a.epochs[p]++
	return nil
}

// Mark names the next owner of a partition. From then on no granter that knows
// the assignment grants the partition to its present owner.
func (a *Assignment) Mark(p identifier.Partition, to Server) error {
	if int(p) >= len(a.owners) || a.owners[p] == none {
		return &RuleError{p, "has no owner to move from"}
	}
	if a.next[p] != none {
		return &RuleError{p, "is marked to move already"}
	}
	s := a.intern(to)
	if s == a.owners[p] {
		return &RuleError{p, fmt.Sprintf("is owned by %s already", to.ID)}
	}
	a.next[p] = s
	return nil
}

// Commit makes the marked backend server the owner. The caller has made sure that
// no grant to the former owner is in force and that none can be given.
func (a *Assignment) Commit(p identifier.Partition) error {
	if int(p) >= len(a.next) || a.next[p] == none {
		return &RuleError{p, "is not marked to move"}
	}
	a.owners[p] = a.next[p]
	a.next[p] = none
	a.epochs[p]++
	return nil
}

// Redirect changes the next owner of a marked partition. The former next owner
// has never been granted the partition, so no wait is owed.
func (a *Assignment) Redirect(p identifier.Partition, to Server) error {
	if int(p) >= len(a.next) || a.next[p] == none {
		return &RuleError{p, "is not marked to move"}
	}
	s := a.intern(to)
	if s == a.owners[p] {
		return a.Abort(p)
	}
	a.next[p] = s
	return nil
}

// Abort takes a mark back: the owner stays, under a new epoch.
func (a *Assignment) Abort(p identifier.Partition) error {
	if int(p) >= len(a.next) || a.next[p] == none {
		return &RuleError{p, "is not marked to move"}
	}
	a.next[p] = none
	a.epochs[p]++
	return nil
}

// Pin gives a key a partition of its own, owned by the present owner of the key.
// The former partition of the key gets a new epoch too: a request for the key that
// was routed before the pin is then refused by the backend server, so that it can
// not run there after the pin has moved on.
func (a *Assignment) Pin(k identifier.Key) (identifier.Partition, error) {
	p := a.PartitionOf(k)
	if _, ok := a.pins[k]; ok {
		return p, &RuleError{p, fmt.Sprintf("key %q is pinned already", k)}
	}
	if a.owners[p] == none || a.next[p] != none {
		return p, &RuleError{p, "is not owned or is moving; pin the key once it is settled"}
	}
	n := slices.Index(a.pinned, "")
	if n < 0 && len(a.pinned) >= maxPins {
		return p, &RuleError{p, fmt.Sprintf("%d keys are pinned already", maxPins)}
	}
	if n < 0 {
		n = len(a.pinned)
		a.pinned = append(a.pinned, "")
		a.grow(1)
	}
	pinned := identifier.Partition(a.hashed + n)
	a.owners[pinned] = a.owners[p]
	a.epochs[p]++
	a.epochs[pinned] = max(a.epochs[p], a.epochs[pinned]+1)
	a.pinned[n] = k
	a.pins[k] = pinned
	return pinned, nil
}

// Unpin takes a key's own partition away. It must have the same owner as the
// partition that the key is hashed onto, and neither may be moving.
func (a *Assignment) Unpin(k identifier.Key) error {
	pinned, ok := a.pins[k]
	if !ok {
		return &RuleError{pinned, fmt.Sprintf("key %q is not pinned", k)}
	}
	base := a.hash(k)
	if a.owners[base] == none || a.owners[base] != a.owners[pinned] || a.next[base] != none || a.next[pinned] != none {
		return &RuleError{pinned, fmt.Sprintf("and partition %d must have one owner and not move", base)}
	}
	a.owners[pinned] = none
	a.epochs[pinned]++
	a.epochs[base]++
	a.pinned[int(pinned)-a.hashed] = ""
	delete(a.pins, k)
	return nil
}

// maxPins bounds the pinned keys of a service.
const maxPins = 1024
