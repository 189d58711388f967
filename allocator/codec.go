package allocator

import (
	"encoding/json"
	"fmt"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

// kept is the form of an allocation on the platform: columns, since it is written and read
// often, over links that may be slow.
type kept struct {
	Service   identifier.Service
	NextEpoch identifier.Epoch
	Owners    []owner
	To        []identifier.Point // By segment: its last key.
	Owner     []int              // By segment: the number of its owner; -1 if it has none.
	Epoch     []identifier.Epoch // By segment.
	Details   []details          `json:",omitempty"`
}

// owner is one life of a backend server, in one cell.
type owner struct {
	Server identifier.BackendServer
	Life   registrar.Life
	Cell   identifier.Cell
}

// details are the fields of a segment that most have not.
type details struct {
	Segment  int
	Handover string           `json:",omitempty"`
	Moving   bool             `json:",omitempty"`
	Round    int              `json:",omitempty"`
	Fence    identifier.Epoch `json:",omitempty"`
	Fencer   Fencer           `json:",omitzero"`
}

// Decode decodes and checks an allocation.
func Decode(data []byte, v identifier.Version) (*Allocation, error) {
	var k kept
	if err := json.Unmarshal(data, &k); err != nil {
		return nil, fmt.Errorf("decode allocation: %w", err)
	}
	if len(k.Owner) != len(k.To) || len(k.Epoch) != len(k.To) {
		return nil, fmt.Errorf("allocation of %s has %d segments, %d owners and %d epochs", k.Service, len(k.To), len(k.Owner), len(k.Epoch))
	}
	a := &Allocation{Service: k.Service, NextEpoch: k.NextEpoch, Version: v, Segments: make([]Segment, len(k.To))}
	from := 0
	for n, to := range k.To {
		s := Segment{Range: identifier.Range{From: identifier.Point(from), To: to}, Epoch: k.Epoch[n]}
		if k.Owner[n] >= len(k.Owners) {
			return nil, fmt.Errorf("allocation of %s: segment %d has owner %d of %d", k.Service, n, k.Owner[n], len(k.Owners))
		}
		if k.Owner[n] >= 0 {
			o := k.Owners[k.Owner[n]]
			s.Owner, s.Life, s.Cell = o.Server, o.Life, o.Cell
		}
		a.Segments[n] = s
		from = int(to) + 1
	}
	for _, d := range k.Details {
		if d.Segment < 0 || d.Segment >= len(a.Segments) {
			return nil, fmt.Errorf("allocation of %s: details of segment %d of %d", k.Service, d.Segment, len(a.Segments))
		}
		s := &a.Segments[d.Segment]
		s.Handover, s.Moving, s.Round, s.Fence, s.Fencer = d.Handover, d.Moving, d.Round, d.Fence, d.Fencer
	}
	return a, a.check()
}

// Encode returns the form that is kept on the platform.
func (a *Allocation) Encode() ([]byte, error) {
	k := kept{Service: a.Service, NextEpoch: a.NextEpoch}
	numbers := map[owner]int{}
	for n, s := range a.Segments {
		number := -1
		if s.Owner != "" {
			o := owner{s.Owner, s.Life, s.Cell}
			known, ok := numbers[o]
			if !ok {
				known = len(k.Owners)
				numbers[o] = known
				k.Owners = append(k.Owners, o)
			}
			number = known
		}
		k.To, k.Owner, k.Epoch = append(k.To, s.Range.To), append(k.Owner, number), append(k.Epoch, s.Epoch)
		d := details{n, s.Handover, s.Moving, s.Round, s.Fence, s.Fencer}
		if d != (details{Segment: n}) {
			k.Details = append(k.Details, d)
		}
	}
	data, err := json.Marshal(k)
	if err != nil {
		return nil, fmt.Errorf("encode allocation of %s: %w", a.Service, err)
	}
	return data, nil
}
