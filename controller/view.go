package controller

import (
	"cmp"
	"slices"

	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/prober"
	"github.com/turmericlift/turmericlift/router"
	"github.com/turmericlift/turmericlift/storer"
)

// Generation returns a counter that increases whenever the result of Table may have changed.
func (c *Controller) Generation() uint64 { return c.generation }

// Synced reports whether the instance knows all objects of the platform up to some revision. Before that it must not
// serve requests.
func (c *Controller) Synced() bool { return c.synced }

// Revision returns the platform's revision up to which the instance knows all objects.
func (c *Controller) Revision() identifier.Version { return c.revision }

// Coordinated returns the backend servers that this instance coordinates.
func (c *Controller) Coordinated() []granter.CoordinatedServer { return c.granter.Coordinated() }

// Drained reports whether the graceful shutdown has handed over all backend servers that this instance coordinated.
func (c *Controller) Drained() bool { return c.granter.Drained() }

// Members returns the latest known status of all other instances, sorted by name.
func (c *Controller) Members() []prober.Update { return c.prober.Members() }

// Live returns the addresses of the live instances except this one.
func (c *Controller) Live() map[identifier.Instance]string {
	live := map[identifier.Instance]string{}
	for _, update := range c.prober.Members() {
		if update.Status == prober.Alive || update.Status == prober.Suspect {
			live[update.Peer.Instance] = update.Peer.Address
		}
	}
	return live
}

// Peers returns all known instances, this one included, whether they are live or not.
func (c *Controller) Peers() map[identifier.Instance]prober.Peer {
	peers := map[identifier.Instance]prober.Peer{c.cfg.Self.Instance: c.cfg.Self}
	for _, update := range c.prober.Members() {
		peers[update.Peer.Instance] = update.Peer
	}
	return peers
}

// Table builds the router's table from the cached objects, the platform's list and the live instances.
func (c *Controller) Table() *router.Table {
	t := &router.Table{Services: map[identifier.ServiceName]*router.Service{}, Revision: c.revision}
	for o, tree := range c.trees {
		for name := range tree.Services {
			s := identifier.ServiceName{Organisation: o, Service: name}
			t.Services[s] = &router.Service{
				Name: s, Settings: tree.Effective(name, ""), Assignment: c.assignments[s],
				Servers: map[identifier.BackendServer]*router.Server{},
			}
		}
	}
	live := c.prober.Live()
	live[c.cfg.Self.Instance] = c.cfg.Self.Zone
	for _, l := range c.listed {
		if l.Kind == storer.KindBackendServer {
			c.addServer(t, live, l)
		}
	}
	for _, s := range t.Services {
		slices.SortFunc(s.PoolServers, func(x, y *router.Server) int { return cmp.Compare(x.ID, y.ID) })
	}
	return t
}

// addServer adds a listed backend server to the table, unless the settings do not contain its service.
func (c *Controller) addServer(t *router.Table, live map[identifier.Instance]identifier.Zone, l storer.ListedInstance) {
	name := identifier.ServiceName{Organisation: l.Organisation, Service: l.Service}
	s, ok := t.Services[name]
	if !ok {
		return
	}
	b := identifier.BackendServer(l.ID)
	state := c.zones.States[l.Zone]
	server := &router.Server{
		ID: b, Zone: l.Zone, Coordinator: c.coordinator(b, l.Zone, live),
		Usable: l.State == storer.StateLive && (state == "" || state == configurer.ZoneIn) &&
			!c.trees[name.Organisation].IsDrained(name.Service, b),
	}
	s.Servers[b] = server
	if !s.Settings.Keyed && server.Usable {
		s.PoolServers = append(s.PoolServers, server)
	}
}

// coordinator returns the instance that ranks first among the live ones to coordinate a backend server, or "" if
// there is none.
func (c *Controller) coordinator(b identifier.BackendServer, z identifier.Zone, live map[identifier.Instance]identifier.Zone) identifier.Instance {
	top, _ := granter.PreferredCoordinator(b, z, c.rosters[z], live)
	return top
}
