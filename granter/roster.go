package granter

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/turmericlift/turmericlift/identifier"
)

// Member is one process that may grant in a zone.
type Member struct {
	Instance    identifier.Instance
	Incarnation identifier.Incarnation
	// Fenced members may not grant any more. They stay on the roster until the last
	// grant that they may have given has lapsed.
	Fenced bool
}

// Holder names the member's process.
func (m Member) Holder() Holder { return Holder{m.Instance, m.Incarnation} }

// Roster is the aggregate that says who may grant partitions to the backend servers
// of one zone. It is one object on the platform and changes by conditional writes
// only, which makes it the point that a takeover and a newly started instance
// cannot both miss:
//
//   - a process grants only while it is on the roster and not fenced, and only from
//     an assignment at or above the service's floor;
//   - a takeover raises the floor to the version that marks the move, and then needs
//     the promise of each member that the write found on the roster;
//   - whoever leaves the roster has no grant in force.
type Roster struct {
	Members []Member
	Floors  map[identifier.ServiceName]identifier.Version
	// Exclusive names the one process that may send requests to a backend server
	// that does not check grants.
	Exclusive map[identifier.BackendServer]Holder
}

// Holder names a process.
type Holder struct {
	Instance    identifier.Instance
	Incarnation identifier.Incarnation
}

// Clone returns a copy that can be changed without effect on r.
func (r Roster) Clone() Roster {
	return Roster{
		Members: slices.Clone(r.Members), Floors: maps.Clone(r.Floors), Exclusive: maps.Clone(r.Exclusive),
	}
}

// Find returns the entry of an instance's process.
func (r Roster) Find(i identifier.Instance, inc identifier.Incarnation) (Member, bool) {
	for _, m := range r.Members {
		if m.Instance == i && m.Incarnation == inc {
			return m, true
		}
	}
	return Member{}, false
}

// Has reports whether any process of an instance is on the roster.
func (r Roster) Has(i identifier.Instance) bool {
	return slices.ContainsFunc(r.Members, func(m Member) bool { return m.Instance == i })
}

// May reports whether a process may grant.
func (r Roster) May(i identifier.Instance, inc identifier.Incarnation) bool {
	m, ok := r.Find(i, inc)
	return ok && !m.Fenced
}

// Active returns the instances that may grant.
func (r Roster) Active() []identifier.Instance {
	var active []identifier.Instance
	for _, m := range r.Members {
		if !m.Fenced {
			active = append(active, m.Instance)
		}
	}
	return active
}

// Add puts a process on the roster.
func (r *Roster) Add(i identifier.Instance, inc identifier.Incarnation) {
	if _, ok := r.Find(i, inc); !ok {
		r.Members = append(r.Members, Member{Instance: i, Incarnation: inc})
	}
}

// Remove takes a process off the roster; none of its grants may be in force.
func (r *Roster) Remove(i identifier.Instance, inc identifier.Incarnation) {
	r.Members = slices.DeleteFunc(r.Members, func(m Member) bool {
		return m.Instance == i && m.Incarnation == inc
	})
}

// Fence forbids a process to grant.
func (r *Roster) Fence(i identifier.Instance, inc identifier.Incarnation) {
	for n, m := range r.Members {
		if m.Instance == i && m.Incarnation == inc {
			r.Members[n].Fenced = true
		}
	}
}

// RaiseFloor raises the lowest version of a service's assignment that a member may
// grant from. A floor never sinks.
func (r *Roster) RaiseFloor(s identifier.ServiceName, v identifier.Version) {
	if r.Floors == nil {
		r.Floors = map[identifier.ServiceName]identifier.Version{}
	}
	r.Floors[s] = max(r.Floors[s], v)
}

// Holder returns the process that may send to a server that does not check grants.
// A process that is off the roster holds nothing.
func (r Roster) Holder(b identifier.BackendServer) (Holder, bool) {
	h, ok := r.Exclusive[b]
	if !ok {
		return Holder{}, false
	}
	_, registered := r.Find(h.Instance, h.Incarnation)
	return h, registered
}

// Hold gives a server that does not check grants to a process. It must be free.
func (r *Roster) Hold(b identifier.BackendServer, h Holder) {
	if r.Exclusive == nil {
		r.Exclusive = map[identifier.BackendServer]Holder{}
	}
	r.Exclusive[b] = h
}

// rosterDocument is the stored form of a Roster.
type rosterDocument struct {
	Members []Member
	Floors  []floorDocument
	Holders []holderDocument
}

type holderDocument struct {
	Server identifier.BackendServer
	Holder Holder
}

type floorDocument struct {
	Service identifier.ServiceName
	Version identifier.Version
}

// Encode returns the stored form of the roster, in CBOR.
func (r Roster) Encode() ([]byte, error) {
	d := rosterDocument{Members: r.Members}
	for s, v := range r.Floors {
		d.Floors = append(d.Floors, floorDocument{s, v})
	}
	for b, h := range r.Exclusive {
		d.Holders = append(d.Holders, holderDocument{b, h})
	}
	slices.SortFunc(d.Floors, func(x, y floorDocument) int {
		return strings.Compare(x.Service.String(), y.Service.String())
	})
	slices.SortFunc(d.Holders, func(x, y holderDocument) int {
		return strings.Compare(string(x.Server), string(y.Server))
	})
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode roster: %w", err)
	}
	return data, nil
}

// DecodeRoster reads the stored form of a roster.
func DecodeRoster(data []byte) (Roster, error) {
	var d rosterDocument
	if err := cbor.Unmarshal(data, &d); err != nil {
		return Roster{}, fmt.Errorf("decode roster: %w", err)
	}
	r := Roster{Members: d.Members, Floors: map[identifier.ServiceName]identifier.Version{}}
	for n, m := range d.Members {
		if m.Instance == "" || m.Incarnation == 0 {
			return Roster{}, fmt.Errorf("decode roster: Members[%d] has Instance %q and Incarnation %d", n, m.Instance, m.Incarnation)
		}
	}
	for _, f := range d.Floors {
		r.Floors[f.Service] = f.Version
	}
	for _, h := range d.Holders {
		r.Hold(h.Server, h.Holder)
	}
	return r, nil
}
