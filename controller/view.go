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

// Edit changes whenever the result of Table may have changed.
func (c *Controller) Edit() uint64 { return c.edit }

// Synced reports whether the instance knows all objects up to some revision, and so
// may serve.
func (c *Controller) Synced() bool { return c.synced }

// Revision returns the platform's revision up to which all objects are known.
func (c *Controller) Revision() identifier.Version { return c.revision }

// Held returns the backend servers that the instance coordinates.
func (c *Controller) Held() []granter.Held { return c.granter.Held() }

// Drained reports whether the graceful shutdown has handed everything over.
func (c *Controller) Drained() bool { return c.granter.Drained() }

// Members returns what is known of all other instances.
func (c *Controller) Members() []prober.Update { return c.prober.Members() }

// Live returns the addresses of the live instances, without this one.
func (c *Controller) Live() map[identifier.Instance]string {
	live := map[identifier.Instance]string{}
	for _, news := range c.prober.Members() {
		if news.Status == prober.Alive || news.Status == prober.Suspect {
			live[news.Peer.Instance] = news.Peer.Address
		}
	}
	return live
}

// Peers returns the addresses of all known instances.
func (c *Controller) Peers() map[identifier.Instance]prober.Peer {
	peers := map[identifier.Instance]prober.Peer{c.cfg.Self.Instance: c.cfg.Self}
	for _, news := range c.prober.Members() {
		peers[news.Peer.Instance] = news.Peer
	}
	return peers
}

// Table builds the router's table.
func (c *Controller) Table() *router.Table {
	t := &router.Table{Services: map[identifier.ServiceName]*router.Service{}, Revision: c.revision}
	for o, tree := range c.trees {
		for name := range tree.Services {
			s := identifier.ServiceName{Organisation: o, Service: name}
			t.Services[s] = &router.Service{
				Name: s, Settings: tree.Effective(name, ""), Assignment: c.assigned[s],
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
		slices.SortFunc(s.Pool, func(x, y *router.Server) int { return cmp.Compare(x.ID, y.ID) })
	}
	return t
}

func (c *Controller) addServer(t *router.Table, live map[identifier.Instance]identifier.Zone, l storer.Listed) {
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
			!c.trees[name.Organisation].Drained(name.Service, b),
	}
	s.Servers[b] = server
	if !s.Settings.Keyed && server.Usable {
		s.Pool = append(s.Pool, server)
	}
}

// coordinator returns the instance that ranks first to coordinate a server.
func (c *Controller) coordinator(b identifier.BackendServer, z identifier.Zone, live map[identifier.Instance]identifier.Zone) identifier.Instance {
	top, _ := granter.Rank(b, z, c.rosters[z], live)
	return top
}
