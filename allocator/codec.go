package allocator

import (
	"encoding/json"
	"fmt"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

// storedAllocation is the encoding of an allocation on the platform. It stores the segments by columns
// to keep them short, since it is written and read often, over links that may be slow.
type storedAllocation struct {
	Service   identifier.Service
	NextEpoch identifier.Epoch
	// Owners are the incarnations of servers that own segments.
	Owners []owner
	// To is, by segment, its last key.
	To []identifier.ShardKey
	// Owner is, by segment, the index of its owner in Owners; -1 if it is unowned.
	Owner []int
	// Epoch is, by segment, its epoch.
	Epoch []identifier.Epoch
	// Details are the fields that most segments do not have.
	Details []details `json:",omitempty"`
}

// owner is one incarnation of a backend server, in one cell.
type owner struct {
	Server      identifier.BackendServer
	Incarnation registrar.Incarnation `json:"Life"`
	Cell        identifier.Cell
}

// details are the fields of a segment that are not set in most segments.
type details struct {
	Segment  int
	Handover string           `json:",omitempty"`
	Moving   bool             `json:",omitempty"`
	Round    int              `json:",omitempty"`
	Fence    identifier.Epoch `json:",omitempty"`
	Fencer   Fencer           `json:",omitzero"`
}

// Decode decodes an allocation of version v and checks that it covers every key exactly once. It
// returns an error if it does not.
func Decode(data []byte, v identifier.Version) (*Allocation, error) {
	var stored storedAllocation
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, fmt.Errorf("decode allocation: %w", err)
	}
	if len(stored.Owner) != len(stored.To) || len(stored.Epoch) != len(stored.To) {
		return nil, fmt.Errorf("allocation of %s invalid: it has %d segments, but %d owners and %d epochs", stored.Service, len(stored.To), len(stored.Owner), len(stored.Epoch))
	}
	a := &Allocation{Service: stored.Service, NextEpoch: stored.NextEpoch, Version: v, Segments: make([]Segment, len(stored.To))}
	from := 0
	for n, to := range stored.To {
		s := Segment{Range: identifier.Range{From: identifier.ShardKey(from), To: to}, Epoch: stored.Epoch[n]}
		if stored.Owner[n] >= len(stored.Owners) {
			return nil, fmt.Errorf("allocation of %s invalid: segment %d refers to owner %d of %d", stored.Service, n, stored.Owner[n], len(stored.Owners))
		}
		if stored.Owner[n] >= 0 {
			o := stored.Owners[stored.Owner[n]]
			s.Owner, s.Incarnation, s.Cell = o.Server, o.Incarnation, o.Cell
		}
		a.Segments[n] = s
		from = int(to) + 1
	}
	for _, d := range stored.Details {
		if d.Segment < 0 || d.Segment >= len(a.Segments) {
			return nil, fmt.Errorf("allocation of %s invalid: details refer to segment %d of %d", stored.Service, d.Segment, len(a.Segments))
		}
		s := &a.Segments[d.Segment]
		s.Handover, s.Moving, s.Round, s.Fence, s.Fencer = d.Handover, d.Moving, d.Round, d.Fence, d.Fencer
	}
	return a, a.check()
}

// Encode returns the encoding that is stored on the platform. It does not contain the version.
func (a *Allocation) Encode() ([]byte, error) {
	stored := storedAllocation{Service: a.Service, NextEpoch: a.NextEpoch}
	numbers := map[owner]int{}
	for n, s := range a.Segments {
		number := -1
		if s.Owner != "" {
			o := owner{s.Owner, s.Incarnation, s.Cell}
			index, ok := numbers[o]
			if !ok {
				index = len(stored.Owners)
				numbers[o] = index
				stored.Owners = append(stored.Owners, o)
			}
			number = index
		}
		stored.To, stored.Owner, stored.Epoch = append(stored.To, s.Range.To), append(stored.Owner, number), append(stored.Epoch, s.Epoch)
		d := details{n, s.Handover, s.Moving, s.Round, s.Fence, s.Fencer}
		if d != (details{Segment: n}) {
			stored.Details = append(stored.Details, d)
		}
	}
	data, err := json.Marshal(stored)
	if err != nil {
		return nil, fmt.Errorf("encode allocation of %s: %w", a.Service, err)
	}
	return data, nil
}
