package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/assigner"
	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
	"github.com/turmericlift/turmericlift/prober"
	"github.com/turmericlift/turmericlift/storer"
)

// watched takes in the answer to a watch: all changes from one revision to another.
func (c *Controller) watched(now time.Time, e Watched) {
	for _, o := range e.Change.Objects {
		c.adopt(now, o)
	}
	if e.From <= c.revision {
		c.advance(now, e.At, e.Change.Revision)
	}
}

// advance takes note that every change up to a revision is known. At is when the
// platform was asked, or zero if a peer brought the changes.
func (c *Controller) advance(now, at time.Time, r identifier.Version) {
	c.revision = max(c.revision, r)
	c.synced = true
	c.probe(now, prober.Reached{At: at, Revision: c.revision})
}

// fetch asks a peer that knows a later revision for what has changed.
func (c *Controller) fetch(now time.Time, from prober.Peer, theirs identifier.Version) {
	if theirs <= c.revision || now.Sub(c.fetchAt) < fetchAgain {
		return
	}
	c.fetchAt = now
	c.do(SendMessage{from, FetchMessage{c.revision}})
}

// supply answers a peer's request for the objects that changed.
func (c *Controller) supply(to prober.Peer, m FetchMessage) {
	if !c.synced {
		return
	}
	reply := DocumentsMessage{Complete: true, Since: m.Since, Revision: c.revision}
	for _, o := range c.objects {
		if o.Version > m.Since {
			reply.Objects = append(reply.Objects, o)
		}
	}
	slices.SortFunc(reply.Objects, func(x, y storer.Object) int { return cmp.Compare(x.Version, y.Version) })
	c.do(SendMessage{to, reply})
}

func (c *Controller) takeDocuments(now time.Time, m DocumentsMessage) {
	for _, o := range m.Objects {
		c.adopt(now, o)
	}
	if m.Complete && m.Since <= c.revision {
		c.advance(now, time.Time{}, m.Revision)
	}
}

// push sends a newly written object to live peers, so that they need not wait for
// the platform's watch.
func (c *Controller) push(o storer.Object) {
	sent := 0
	for _, news := range c.prober.Members() {
		if sent == pushFanout || news.Status != prober.Alive && news.Status != prober.Suspect {
			continue
		}
		sent++
		c.do(SendMessage{news.Peer, DocumentsMessage{Objects: []storer.Object{o}}})
	}
}

// adopt takes an object in if it is newer than the one that is known. A version
// never goes back, and an object that does not decode leaves the last good one in
// force.
func (c *Controller) adopt(now time.Time, o storer.Object) {
	if o.Version <= c.objects[o.Name].Version {
		return
	}
	d, err := decode(o)
	if err != nil {
		c.do(Noted{"BadObject", o.Name + ": " + err.Error()})
		return
	}
	c.objects[o.Name] = o
	c.edit++
	c.apply(now, o.Version, d)
}

func (c *Controller) apply(now time.Time, v identifier.Version, d document) {
	switch d := d.(type) {
	case settingsDocument:
		c.trees[d.tree.Organisation] = d.tree
		c.refreshSettings(now)
	case zonesDocument:
		c.zones = d.zones
		c.refreshSettings(now)
	case assignmentDocument:
		c.assigned[d.service] = d.assignment
		c.assign(now, d.service, assigner.AssignmentSeen{Version: v, Assignment: d.assignment})
		c.grant(now, granter.AssignmentSeen{Service: d.service, Version: v, Assignment: d.assignment})
	case rosterDocument:
		c.rosters[d.zone] = d.roster
		c.grant(now, granter.RosterSeen{Zone: d.zone, Version: v, Roster: d.roster})
		for _, s := range c.services() {
			c.assign(now, s, assigner.RosterSeen{Zone: d.zone, Version: v, Roster: d.roster})
		}
	case recordDocument:
		before := c.holder(d.service)
		c.assign(now, d.service, assigner.RecordSeen{Version: v, Record: d.record})
		if after := c.holder(d.service); after != before {
			c.do(Noted{"AssignerChanged", d.service.String() + ": " + string(after)})
		}
	case unknownDocument:
	}
}

// holder returns the instance that is a service's assigner, or "".
func (c *Controller) holder(s identifier.ServiceName) identifier.Instance {
	a, ok := c.assigners[s]
	if !ok {
		return ""
	}
	return a.Holder()
}

// refreshSettings passes the settings on to the parts that follow them.
func (c *Controller) refreshSettings(now time.Time) {
	lost := map[identifier.Zone]bool{}
	for z, s := range c.zones.States {
		lost[z] = s == configurer.ZoneLost
	}
	c.grant(now, granter.LostSeen{Zones: lost})
	for o, t := range c.trees {
		for name := range t.Services {
			c.refreshService(now, t, identifier.ServiceName{Organisation: o, Service: name})
		}
	}
	c.refreshList(now)
}

func (c *Controller) refreshService(now time.Time, t *configurer.Tree, s identifier.ServiceName) {
	e := t.Effective(s.Service, "")
	c.grant(now, granter.HoldSeen{Service: s, Hold: e.IsolationHold})
	if !e.Keyed {
		return
	}
	if _, ok := c.assigners[s]; !ok {
		c.startAssigner(now, s)
	}
	settings := assigner.Settings{
		Partitions: e.Partitions, IsolationHold: e.IsolationHold, Zones: c.zones.States,
		Drained:               map[identifier.BackendServer]bool{},
		BalanceMovesPerMinute: e.BalanceMovesPerMinute, PinnedKeys: t.Services[s.Service].Pins, AutoPins: e.AutoPins,
		Placements: t.Services[s.Service].Placements,
	}
	for b, node := range t.Services[s.Service].Servers {
		settings.Drained[b] = node.Drained
	}
	c.assign(now, s, assigner.SettingsSeen{Settings: settings})
}

// startAssigner starts the assigner of a service and tells it what is known.
func (c *Controller) startAssigner(now time.Time, s identifier.ServiceName) {
	cfg := c.cfg.Assigner
	cfg.Service = s
	c.assigners[s] = assigner.New(cfg)
	c.assign(now, s, assigner.LiveSeen{Instances: c.prober.Live()})
	for _, name := range []string{AssignmentName(s), AssignerName(s)} {
		if o, ok := c.objects[name]; ok {
			c.reapply(now, o)
		}
	}
	for z, r := range c.rosters {
		v := c.objects[RosterName(z)].Version
		c.assign(now, s, assigner.RosterSeen{Zone: z, Version: v, Roster: r})
	}
}

func (c *Controller) reapply(now time.Time, o storer.Object) {
	if d, err := decode(o); err == nil {
		c.apply(now, o.Version, d)
	}
}

// refreshList passes the platform's list on, joined with the settings.
func (c *Controller) refreshList(now time.Time) {
	c.edit++
	if c.listedAt.IsZero() {
		return
	}
	var peers []prober.Peer
	var instances []identifier.Instance
	var servers []granter.ServerInfo
	byService := map[identifier.ServiceName][]assigner.ServerInfo{}
	for _, l := range c.listed {
		if l.Kind == storer.KindEntry {
			peers = append(peers, prober.Peer{Instance: identifier.Instance(l.ID), Zone: l.Zone, Address: l.Address})
			instances = append(instances, identifier.Instance(l.ID))
			continue
		}
		info, ok := c.serverInfo(l)
		if !ok {
			continue
		}
		servers = append(servers, info)
		byService[info.Service] = append(byService[info.Service], assigner.ServerInfo{
			Server:  partitionerServer(info),
			Leaving: l.State == storer.StateLeaving,
		})
	}
	c.probe(now, prober.Listed{Peers: peers})
	c.grant(now, granter.ServersSeen{Servers: servers})
	for _, s := range c.services() {
		c.assign(now, s, assigner.ListSeen{At: c.listedAt, Servers: byService[s], Instances: instances})
	}
}

// serverInfo joins a listed backend server with its settings; ok is false for one
// whose service is not in the settings.
func (c *Controller) serverInfo(l storer.Listed) (granter.ServerInfo, bool) {
	t, ok := c.trees[l.Organisation]
	if !ok || t.Services[l.Service] == nil {
		return granter.ServerInfo{}, false
	}
	e := t.Effective(l.Service, l.Zone)
	return granter.ServerInfo{
		ID: identifier.BackendServer(l.ID), Zone: l.Zone, Address: l.Address,
		Service: identifier.ServiceName{Organisation: l.Organisation, Service: l.Service},
		Keyed:   e.Keyed, ChecksGrants: e.ChecksGrants,
	}, true
}

func partitionerServer(info granter.ServerInfo) partitioner.Server {
	return partitioner.Server{ID: info.ID, Zone: info.Zone}
}
