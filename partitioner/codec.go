package partitioner

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/turmericlift/turmericlift/identifier"
)

// document is the stored form of an Assignment.
type document struct {
	Hashed  int
	Servers []Server
	Owners  []server
	Next    map[int]server
	Epochs  []identifier.Epoch
	Pins    []Pin
}

// Encode returns the stored form of the assignment, in CBOR.
func (a *Assignment) Encode() ([]byte, error) {
	d := document{
		Hashed: a.hashed, Servers: a.servers, Owners: a.owners, Epochs: a.epochs,
		Next: map[int]server{}, Pins: a.Pins(),
	}
	for p, s := range a.next {
		if s != none {
			d.Next[p] = s
		}
	}
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode assignment: %w", err)
	}
	return data, nil
}

// Decode reads the stored form and checks every rule that it can break.
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
	a.grow(len(d.Pins))
	a.servers = d.Servers
	copy(a.owners, d.Owners)
	copy(a.epochs, d.Epochs)
	for p, s := range d.Next {
		a.next[p] = s
	}
	for _, pin := range d.Pins {
		a.pinned = append(a.pinned, pin.Key)
		a.pins[pin.Key] = pin.Partition
	}
	return a, nil
}

func (d *document) check() error {
	n := d.Hashed + len(d.Pins)
	if len(d.Owners) != n || len(d.Epochs) != n {
		return fmt.Errorf("decode assignment: Owners has %d and Epochs %d entries, want %d", len(d.Owners), len(d.Epochs), n)
	}
	for p, s := range d.Owners {
		if s < none || int(s) >= len(d.Servers) {
			return fmt.Errorf("decode assignment: Owners[%d] is %d, with %d servers", p, s, len(d.Servers))
		}
	}
	for p, s := range d.Next {
		if p < 0 || p >= n || s < 0 || int(s) >= len(d.Servers) {
			return fmt.Errorf("decode assignment: Next[%d] is %d, with %d servers", p, s, len(d.Servers))
		}
	}
	seen := make(map[identifier.Key]bool, len(d.Pins))
	for i, pin := range d.Pins {
		if int(pin.Partition) != d.Hashed+i || seen[pin.Key] {
			return fmt.Errorf("decode assignment: Pins[%d] %q has partition %d", i, pin.Key, pin.Partition)
		}
		seen[pin.Key] = true
	}
	return nil
}
