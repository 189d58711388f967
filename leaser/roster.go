package leaser

import (
	"encoding/json"
	"fmt"

	"github.com/turmericlift/turmericlift/identifier"
)

// Holder is a process that may grant keys to the backend servers of a cell.
type Holder struct {
	_           struct{} `cbor:",toarray"`
	Instance    identifier.Instance
	Incarnation identifier.Incarnation
	// FencedOver is the version of the roster that was replaced by one with this holder
	// fenced; 0 if it is not fenced. A process that joined again and is fenced once more has
	// another one. Fenced holders were silent when another took over. They stop as soon as
	// they learn of it, and at the latest Authority after they were last confirmed.
	FencedOver identifier.Version `json:",omitempty"`
}

// Fenced reports whether the holder may not grant any more.
func (h Holder) Fenced() bool { return h.FencedOver != 0 }

// Roster is the list of the processes that may have grants in force in a cell. A
// process grants only while it is on the roster, and leaves it only when none of its
// grants is in force any more that another would not renew.
type Roster struct {
	Cell    identifier.Cell
	Holders []Holder
	Version identifier.Version `json:"-"`
}

// DecodeRoster decodes a roster.
func DecodeRoster(data []byte, v identifier.Version) (Roster, error) {
	r := Roster{Version: v}
	if err := json.Unmarshal(data, &r); err != nil {
		return Roster{}, fmt.Errorf("decode roster: %w", err)
	}
	return r, nil
}

// Encode returns the form that is kept on the platform.
func (r Roster) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode roster of %s: %w", r.Cell, err)
	}
	return data, nil
}

// Find returns the holder that is a process, if it is on the roster.
func (r Roster) Find(instance identifier.Instance, inc identifier.Incarnation) (Holder, bool) {
	for _, h := range r.Holders {
		if h.Instance == instance && h.Incarnation == inc {
			return h, true
		}
	}
	return Holder{}, false
}

// Without returns the roster without the holders for which drop is true.
func (r Roster) Without(drop func(Holder) bool) Roster {
	kept := Roster{Cell: r.Cell, Version: r.Version}
	for _, h := range r.Holders {
		if !drop(h) {
			kept.Holders = append(kept.Holders, h)
		}
	}
	return kept
}

// Join returns the roster with a process added, and the holders for which silent is
// true fenced.
func (r Roster) Join(instance identifier.Instance, inc identifier.Incarnation, silent func(Holder) bool) Roster {
	joined := r.Without(func(h Holder) bool { return h.Instance == instance && h.Incarnation == inc })
	for n, h := range joined.Holders {
		if !h.Fenced() && silent(h) {
			joined.Holders[n].FencedOver = r.Version
		}
	}
	joined.Holders = append(joined.Holders, Holder{Instance: instance, Incarnation: inc})
	return joined
}
