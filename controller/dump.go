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

// Dump is a view of a controller's whole state, for operators.
type Dump struct {
	Instance    identifier.Instance
	Zone        identifier.Zone
	Incarnation identifier.Incarnation
	Synced      bool
	Revision    identifier.Version
	// ContactMs is the time since the platform was last reached, directly or through a
	// peer, in ms.
	ContactMs   int64
	Members     []DumpMember
	Zones       map[identifier.Zone]configurer.ZoneState
	Granters    []DumpRoster
	Services    []DumpService
	Coordinates []DumpServer
}

// DumpMember is what an instance believes of another.
type DumpMember struct {
	Peer        prober.Peer
	Status      string
	Incarnation identifier.Incarnation
}

// DumpRoster is the roster of a zone.
type DumpRoster struct {
	Zone    identifier.Zone
	Members []granter.Member
}

// DumpService is the state of a keyed service's assignment.
type DumpService struct {
	Service    identifier.ServiceName
	Assigner   identifier.Instance
	Version    identifier.Version
	Partitions int
	Moving     []identifier.Partition
	Owned      map[identifier.BackendServer]int // Partitions per backend server.
	Pins       int
	// Waits says what moving partitions wait for; only the assigner knows.
	Waits []assigner.Wait `json:",omitempty"`
}

// DumpServer is a backend server that the instance coordinates.
type DumpServer struct {
	Server identifier.BackendServer
	Term   identifier.Term
	State  granter.ServerState
	Load   int
	// SilentMs is the time since the server's last answer, in ms.
	SilentMs int64
}

// Dump returns a view of the whole state.
func (c *Controller) Dump(now time.Time) Dump {
	d := Dump{
		Instance: c.cfg.Self.Instance, Zone: c.cfg.Self.Zone, Incarnation: c.cfg.Incarnation,
		Synced: c.synced, Revision: c.revision, Zones: c.zones.States,
		ContactMs: now.Sub(c.prober.ContactAt()).Milliseconds(),
	}
	for _, news := range c.prober.Members() {
		d.Members = append(d.Members, DumpMember{news.Peer, news.Status.String(), news.Incarnation})
	}
	for _, z := range sortedKeys(c.rosters) {
		d.Granters = append(d.Granters, DumpRoster{z, c.rosters[z].Members})
	}
	for _, s := range c.services() {
		d.Services = append(d.Services, c.dumpService(now, s))
	}
	for _, h := range c.granter.Held() {
		d.Coordinates = append(d.Coordinates, DumpServer{
			h.Server.ID, h.Term, h.State, h.Load, now.Sub(h.AnsweredAt).Milliseconds(),
		})
	}
	return d
}

func (c *Controller) dumpService(now time.Time, s identifier.ServiceName) DumpService {
	d := DumpService{
		Service: s, Assigner: c.assigners[s].Holder(), Version: c.objects[AssignmentName(s)].Version,
		Owned: map[identifier.BackendServer]int{}, Waits: c.assigners[s].Waits(now),
	}
	a := c.assigned[s]
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
