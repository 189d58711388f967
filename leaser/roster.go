package leaser

import (
	"encoding/json"
	"fmt"

	"github.com/turmericlift/turmericlift/identifier"
)

// Holder is a process on a roster: it may grant keys to the backend servers of a cell unless it is
// fenced.
type Holder struct {
	_           struct{} `cbor:",toarray"`
	Instance    identifier.Instance
	Incarnation identifier.Incarnation
	// FencedOver is the version of the roster that was replaced by the one in which this holder is
	// fenced; 0 if it is not fenced. The value differs for a process that joined again and was fenced
	// once more. Holders are fenced when they are unresponsive and another process takes over. A
	// fenced holder stops granting as soon as it learns of the fence, and at the latest when the
	// confirmation time-out has passed since it was last confirmed.
	FencedOver identifier.Version `json:",omitempty"`
}

// Fenced reports whether the holder must not grant any more.
func (h Holder) Fenced() bool { return h.FencedOver != 0 }

// Roster is the list of the processes that may have grants in force in a cell. A process grants only
// while it is on the roster, and leaves it only when none of its grants is in force any more that
// another process would not renew.
type Roster struct {
	Cell    identifier.Cell
	Holders []Holder
	// Era is the era of the store for which the roster was written.
	Era     identifier.Era     `json:",omitempty"`
	Version identifier.Version `json:"-"`
}

// DecodeRoster decodes a roster that is stored with version v. It returns an error if the data is not
// valid JSON of a roster.
func DecodeRoster(data []byte, v identifier.Version) (Roster, error) {
	r := Roster{Version: v}
	if err := json.Unmarshal(data, &r); err != nil {
		return Roster{}, fmt.Errorf("decode roster: %w", err)
	}
	return r, nil
}

// Encode returns the encoding that is stored on the platform. It does not contain the version.
func (r Roster) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode roster of %s: %w", r.Cell, err)
	}
	return data, nil
}

// Find returns the holder with the given instance and incarnation; the second result is false if it is
// not on the roster.
func (r Roster) Find(instance identifier.Instance, inc identifier.Incarnation) (Holder, bool) {
	for _, h := range r.Holders {
		if h.Instance == instance && h.Incarnation == inc {
			return h, true
		}
	}
	return Holder{}, false
}

// Without returns a copy of the roster without the holders for which drop returns true. The version
// stays.
func (r Roster) Without(drop func(Holder) bool) Roster {
	kept := Roster{Cell: r.Cell, Era: r.Era, Version: r.Version}
	for _, h := range r.Holders {
		if !drop(h) {
			kept.Holders = append(kept.Holders, h)
		}
	}
	return kept
}

// Join returns a copy of the roster with a process added, not fenced, and with the holders fenced for
// which the given function returns true. The version stays.
func (r Roster) Join(instance identifier.Instance, inc identifier.Incarnation, unresponsive func(Holder) bool) Roster {
	joined := r.Without(func(h Holder) bool { return h.Instance == instance && h.Incarnation == inc })
	for n, h := range joined.Holders {
		if !h.Fenced() && unresponsive(h) {
			joined.Holders[n].FencedOver = r.Version
		}
	}
	joined.Holders = append(joined.Holders, Holder{Instance: instance, Incarnation: inc})
	return joined
}
