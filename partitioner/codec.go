package partitioner

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/turmericlift/turmericlift/identifier"
)

// document is the stored form of an Assignment, with the fields of the type under their outer names.
type document struct {
	Hashed  int
	Servers []Server
	Owners  []serverIndex       // By partition; -1 for a partition without an owner.
	Next    map[int]serverIndex // By partition; only the partitions that are prepared to move.
	Epochs  []identifier.Epoch
	Pinned  []identifier.Key // By partition, from the partition Hashed on; "" for an unused one.
}

// Encode returns the stored form of the assignment as CBOR.
func (a *Assignment) Encode() ([]byte, error) {
	d := document{
		Hashed: a.hashedCount, Servers: a.servers, Owners: a.owners, Epochs: a.epochs,
		Next: map[int]serverIndex{}, Pinned: a.pinSlots,
	}
	for p, s := range a.next {
		if s != noServer {
			d.Next[p] = s
		}
	}
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode assignment: %w", err)
	}
	return data, nil
}

// Decode returns the assignment from the form that Encode produces. It returns an error for malformed CBOR and for a
// form that violates an invariant of the assignment.
func Decode(data []byte) (*Assignment, error) {
	var d document
	if err := cbor.Unmarshal(data, &d); err != nil {
		return nil, fmt.Errorf("decode assignment: %w", err)
	}
	a, err := New(d.Hashed)
	if err != nil {
		return nil, fmt.Errorf("decode assignment: %w", err)
	}
	if err := d.check(); err != nil {
		return nil, err
	}
	a.addPartitions(len(d.Pinned))
	a.servers = d.Servers
	copy(a.owners, d.Owners)
	copy(a.epochs, d.Epochs)
	for p, s := range d.Next {
		a.next[p] = s
	}
	a.pinSlots = d.Pinned
	for n, k := range d.Pinned {
		if k != "" {
			a.pins[k] = identifier.Partition(d.Hashed + n)
		}
	}
	return a, nil
}

// check returns an error if the lengths of the fields do not match, a server index is out of range or a key is pinned
// twice.
func (d *document) check() error {
	n := d.Hashed + len(d.Pinned)
	if len(d.Owners) != n || len(d.Epochs) != n {
		return fmt.Errorf("decode assignment: Owners has %d and Epochs %d entries, want %d each, the number of partitions", len(d.Owners), len(d.Epochs), n)
	}
	for p, s := range d.Owners {
		if s < noServer || int(s) >= len(d.Servers) {
			return fmt.Errorf("decode assignment: Owners[%d] is %d, which is no index into the %d servers", p, s, len(d.Servers))
		}
	}
	for p, s := range d.Next {
		if p < 0 || p >= n || s < 0 || int(s) >= len(d.Servers) {
			return fmt.Errorf("decode assignment: Next[%d] is %d: no such partition, or no index into the %d servers", p, s, len(d.Servers))
		}
	}
	seen := make(map[identifier.Key]bool, len(d.Pinned))
	for i, k := range d.Pinned {
		if k != "" && seen[k] {
			return fmt.Errorf("decode assignment: Pinned[%d] %q is a duplicate", i, k)
		}
		seen[k] = true
	}
	return nil
}
