package granter

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/turmericlift/turmericlift/identifier"
)

// Member is the entry of one process on a zone's roster.
type Member struct {
	Instance    identifier.Instance
	Incarnation identifier.Incarnation
	// Fenced is true if the process may not grant any more. It stays on the roster until the last
	// grant that it may have issued has lapsed.
	Fenced bool
}

// Holder returns the identity of the member's process.
func (m Member) Holder() Holder { return Holder{m.Instance, m.Incarnation} }

// Roster lists the processes that may grant partitions to the backend servers of one zone. It is one
// object on the platform and changes only by conditional writes. Both the assigner that moves a
// partition and a newly started process must write it, so one of them sees the other's change. Three
// rules hold:
//
//   - A process grants only while it is on the roster and not fenced, and only from an assignment at
//     or above the service's floor.
//   - Before a move is committed, the assigner raises the floor to the version that prepares the move,
//     and then needs the confirmation of each member that this write found on the roster.
//   - A process leaves the roster only when none of its grants is in force.
type Roster struct {
	Members []Member
	// Floors holds, for each service, the lowest version of the assignment that a member may grant
	// from.
	Floors map[identifier.ServiceName]identifier.Version
	// ExclusiveHolders names, for each backend server that does not check grants, the only process that may
	// send requests to it.
	ExclusiveHolders map[identifier.BackendServer]Holder
}

// Holder identifies a process on a roster: an instance and the incarnation of its process.
type Holder struct {
	Instance    identifier.Instance
	Incarnation identifier.Incarnation
}

// Clone returns a copy of r that can be changed without an effect on r.
func (r Roster) Clone() Roster {
	return Roster{
		Members: slices.Clone(r.Members), Floors: maps.Clone(r.Floors), ExclusiveHolders: maps.Clone(r.ExclusiveHolders),
	}
}

// Find returns the entry of an instance's process, and false if the process is not on the roster.
func (r Roster) Find(i identifier.Instance, inc identifier.Incarnation) (Member, bool) {
	for _, m := range r.Members {
		if m.Instance == i && m.Incarnation == inc {
			return m, true
		}
	}
	return Member{}, false
}

// HasInstance reports whether any process of an instance is on the roster.
func (r Roster) HasInstance(i identifier.Instance) bool {
	return slices.ContainsFunc(r.Members, func(m Member) bool { return m.Instance == i })
}

// MayGrant reports whether a process may grant: it is on the roster and not fenced.
func (r Roster) MayGrant(i identifier.Instance, inc identifier.Incarnation) bool {
	m, ok := r.Find(i, inc)
	return ok && !m.Fenced
}

// ActiveInstances returns the instances whose processes on the roster are not fenced, in the order of the
// roster.
func (r Roster) ActiveInstances() []identifier.Instance {
	var active []identifier.Instance
	for _, m := range r.Members {
		if !m.Fenced {
			active = append(active, m.Instance)
		}
	}
	return active
}

// Add adds a process to the roster. It does nothing if the process is on it already.
func (r *Roster) Add(i identifier.Instance, inc identifier.Incarnation) {
	if _, ok := r.Find(i, inc); !ok {
		r.Members = append(r.Members, Member{Instance: i, Incarnation: inc})
	}
}

// Remove removes a process from the roster. The caller must make sure that none of its grants is in
// force.
func (r *Roster) Remove(i identifier.Instance, inc identifier.Incarnation) {
	r.Members = slices.DeleteFunc(r.Members, func(m Member) bool {
		return m.Instance == i && m.Incarnation == inc
	})
}

// Fence marks a process as fenced, so that it may not grant any more. It does nothing if the process
// is not on the roster.
func (r *Roster) Fence(i identifier.Instance, inc identifier.Incarnation) {
	for n, m := range r.Members {
		if m.Instance == i && m.Incarnation == inc {
			r.Members[n].Fenced = true
		}
	}
}

// RaiseFloor raises the lowest version of a service's assignment that a member may grant from to v. It
// never lowers it.
func (r *Roster) RaiseFloor(s identifier.ServiceName, v identifier.Version) {
	if r.Floors == nil {
		r.Floors = map[identifier.ServiceName]identifier.Version{}
	}
	r.Floors[s] = max(r.Floors[s], v)
}

// ExclusiveHolder returns the process that may send requests to a server that does not check grants. The result
// is false if there is none, or if that process is no longer on the roster.
func (r Roster) ExclusiveHolder(b identifier.BackendServer) (Holder, bool) {
	h, ok := r.ExclusiveHolders[b]
	if !ok {
		return Holder{}, false
	}
	_, registered := r.Find(h.Instance, h.Incarnation)
	return h, registered
}

// SetExclusiveHolder makes a process the only one that may send requests to a server that does not check grants. The
// caller must make sure that no other process may.
func (r *Roster) SetExclusiveHolder(b identifier.BackendServer, h Holder) {
	if r.ExclusiveHolders == nil {
		r.ExclusiveHolders = map[identifier.BackendServer]Holder{}
	}
	r.ExclusiveHolders[b] = h
}

// rosterDocument is the form in which a Roster is encoded. It holds the maps of the Roster as sorted
// lists.
type rosterDocument struct {
	Members []Member
	Floors  []floorDocument
	Holders []holderDocument
}

// holderDocument names the exclusive holder of one backend server.
type holderDocument struct {
	Server identifier.BackendServer
	Holder Holder
}

// floorDocument names the floor of one service.
type floorDocument struct {
	Service identifier.ServiceName
	Version identifier.Version
}

// Encode returns the CBOR encoding in which the roster is stored.
func (r Roster) Encode() ([]byte, error) {
	d := rosterDocument{Members: r.Members}
	for s, v := range r.Floors {
		d.Floors = append(d.Floors, floorDocument{s, v})
	}
	for b, h := range r.ExclusiveHolders {
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

// DecodeRoster decodes a stored roster. It returns an error if data is not the CBOR encoding of one, or
// if a member has no instance or no incarnation.
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
		r.SetExclusiveHolder(h.Server, h.Holder)
	}
	return r, nil
}
