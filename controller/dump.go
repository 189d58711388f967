package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/assigner"
	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/prober"
)

// Dump is a snapshot of the state of a Controller, for operators.
type Dump struct {
	Instance    identifier.Instance
	Zone        identifier.Zone
	Incarnation identifier.Incarnation
	Synced      bool
	Revision    identifier.Version
	// ContactMs is the time in ms since the platform was last reached, by this instance or by a peer that has
	// acknowledged a probe since.
	ContactMs   int64
	Members     []DumpMember
	Zones       map[identifier.Zone]configurer.ZoneState
	Granters    []DumpRoster
	Services    []DumpService
	Coordinates []DumpServer
}

// DumpMember is the status of another instance as this instance knows it.
type DumpMember struct {
	Peer        prober.Peer
	Status      string
	Incarnation identifier.Incarnation
}

// DumpRoster is the roster of a zone: the processes that may grant keys of its backend servers.
type DumpRoster struct {
	Zone    identifier.Zone
	Members []granter.Member
}

// DumpService is the state of the assignment of a keyed service.
type DumpService struct {
	Service    identifier.ServiceName
	Assigner   identifier.Instance
	Version    identifier.Version
	Partitions int
	Moving     []identifier.Partition
	Owned      map[identifier.BackendServer]int // Partitions per backend server.
	Pins       int
	// Waits says what each moving partition waits for. It is empty on instances that are not the assigner.
	Waits []assigner.Wait `json:",omitempty"`
}

// DumpServer is a backend server that the instance coordinates.
type DumpServer struct {
	Server identifier.BackendServer
	Term   identifier.Term
	State  granter.ServerState
	Load   int
	// SilentMs is the time in ms since the last answer of the backend server.
	SilentMs int64
}

// Dump returns a snapshot of the state at the time now.
func (c *Controller) Dump(now time.Time) Dump {
	d := Dump{
		Instance: c.cfg.Self.Instance, Zone: c.cfg.Self.Zone, Incarnation: c.cfg.Incarnation,
		Synced: c.synced, Revision: c.revision, Zones: c.zones.States,
		ContactMs: now.Sub(c.prober.PlatformContactAt()).Milliseconds(),
	}
	for _, update := range c.prober.Members() {
		d.Members = append(d.Members, DumpMember{update.Peer, update.Status.String(), update.Incarnation})
	}
	for _, z := range sortedKeys(c.rosters) {
		d.Granters = append(d.Granters, DumpRoster{z, c.rosters[z].Members})
	}
	for _, s := range c.sortedServices() {
		d.Services = append(d.Services, c.dumpService(now, s))
	}
	for _, h := range c.granter.Coordinated() {
		d.Coordinates = append(d.Coordinates, DumpServer{
			h.Server.ID, h.Term, h.State, h.Load, now.Sub(h.AnsweredAt).Milliseconds(),
		})
	}
	return d
}

func (c *Controller) dumpService(now time.Time, s identifier.ServiceName) DumpService {
	d := DumpService{
		Service: s, Assigner: c.assigners[s].Leader(), Version: c.objects[AssignmentName(s)].Version,
		Owned: map[identifier.BackendServer]int{}, Waits: c.assigners[s].Waits(now),
	}
	a := c.assignments[s]
	if a == nil {
		return d
	}
	d.Partitions, d.Moving, d.Pins = a.Len(), a.Moving(), len(a.Pins())
	for p := range a.Len() {
		if owner, _, ok := a.Owner(identifier.Partition(p)); ok {
			d.Owned[owner]++
		}
	}
	return d
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
