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

// handleWatch applies the answer to a watch of the platform: all changes from one revision to another.
func (c *Controller) handleWatch(now time.Time, e WatchAnswered) {
	for _, o := range e.Change.Objects {
		c.updateObject(now, o)
	}
	if e.From <= c.revision {
		c.advanceRevision(now, e.At, e.Change.Revision)
	}
}

// advanceRevision records that all changes up to a revision are known. at is the time when the call of the platform
// that returned them started, or zero if a peer sent them.
func (c *Controller) advanceRevision(now, at time.Time, r identifier.Version) {
	c.revision = max(c.revision, r)
	c.synced = true
	c.stepProber(now, prober.PlatformReached{At: at, Revision: c.revision})
}

// fetchMissing requests the missing objects from a peer if its revision is later than this instance's. It sends at
// most one request per fetchInterval.
func (c *Controller) fetchMissing(now time.Time, from prober.Peer, peerRevision identifier.Version) {
	if peerRevision <= c.revision || now.Sub(c.fetchedAt) < fetchInterval {
		return
	}
	c.fetchedAt = now
	c.emit(SendMessage{from, FetchMessage{c.revision}})
}

// answerFetch answers a peer's request for the objects that changed after a revision. It does not answer before this
// instance knows all objects itself.
func (c *Controller) answerFetch(to prober.Peer, m FetchMessage) {
	if !c.synced {
		return
	}
	reply := ObjectsMessage{Complete: true, Since: m.Since, Revision: c.revision}
	for _, o := range c.objects {
		if o.Version > m.Since {
			reply.Objects = append(reply.Objects, o)
		}
	}
	slices.SortFunc(reply.Objects, func(x, y storer.Object) int { return cmp.Compare(x.Version, y.Version) })
	c.emit(SendMessage{to, reply})
}

// handleObjects applies the objects that a peer has sent.
func (c *Controller) handleObjects(now time.Time, m ObjectsMessage) {
	for _, o := range m.Objects {
		c.updateObject(now, o)
	}
	if m.Complete && m.Since <= c.revision {
		c.advanceRevision(now, time.Time{}, m.Revision)
	}
}

// pushObject sends a newly written object to at most pushFanout live peers, so that they need not wait for their
// watch of the platform.
func (c *Controller) pushObject(o storer.Object) {
	sent := 0
	for _, update := range c.prober.Members() {
		if sent == pushFanout || update.Status != prober.Alive && update.Status != prober.Suspect {
			continue
		}
		sent++
		c.emit(SendMessage{update.Peer, ObjectsMessage{Objects: []storer.Object{o}}})
	}
}

// updateObject applies an object if its version is higher than the cached one: the version of an object never
// decreases. An object that cannot be decoded is reported and ignored, and the cached one stays in force.
func (c *Controller) updateObject(now time.Time, o storer.Object) {
	if o.Version <= c.objects[o.Name].Version {
		return
	}
	d, err := decode(o)
	if err != nil {
		c.emit(LogNotice{"BadObject", o.Name + ": " + err.Error()})
		return
	}
	c.objects[o.Name] = o
	c.generation++
	c.apply(now, o.Version, d)
}

// apply passes the decoded form of an object on to the state machines that depend on it.
func (c *Controller) apply(now time.Time, v identifier.Version, d document) {
	switch d := d.(type) {
	case settingsDocument:
		c.trees[d.tree.Organisation] = d.tree
		c.refreshSettings(now)
	case zonesDocument:
		c.zones = d.zones
		c.refreshSettings(now)
	case assignmentDocument:
		c.assignments[d.service] = d.assignment
		c.stepAssigner(now, d.service, assigner.AssignmentSeen{Version: v, Assignment: d.assignment})
		c.stepGranter(now, granter.AssignmentSeen{Service: d.service, Version: v, Assignment: d.assignment})
	case rosterDocument:
		c.rosters[d.zone] = d.roster
		c.stepGranter(now, granter.RosterSeen{Zone: d.zone, Version: v, Roster: d.roster})
		for _, s := range c.sortedServices() {
			c.stepAssigner(now, s, assigner.RosterSeen{Zone: d.zone, Version: v, Roster: d.roster})
		}
	case recordDocument:
		before := c.assignerOf(d.service)
		c.stepAssigner(now, d.service, assigner.RecordSeen{Version: v, Record: d.record})
		if after := c.assignerOf(d.service); after != before {
			c.emit(LogNotice{"AssignerChanged", d.service.String() + ": " + string(after)})
		}
	case unknownDocument:
	}
}

// assignerOf returns the instance that is the assigner of a service, or "" if none is known.
func (c *Controller) assignerOf(s identifier.ServiceName) identifier.Instance {
	a, ok := c.assigners[s]
	if !ok {
		return ""
	}
	return a.Leader()
}

// refreshSettings passes the settings and the states of the zones on to the granter and the assigners.
func (c *Controller) refreshSettings(now time.Time) {
	lost := map[identifier.Zone]bool{}
	for z, s := range c.zones.States {
		lost[z] = s == configurer.ZoneLost
	}
	c.stepGranter(now, granter.LostZonesSeen{Zones: lost})
	for o, t := range c.trees {
		for name := range t.Services {
			c.refreshService(now, t, identifier.ServiceName{Organisation: o, Service: name})
		}
	}
	c.refreshList(now)
}

// refreshService passes the settings of one service on to the granter and, for a keyed service, to its assigner,
// which it starts if needed.
func (c *Controller) refreshService(now time.Time, t *configurer.Tree, s identifier.ServiceName) {
	e := t.Effective(s.Service, "")
	c.stepGranter(now, granter.IsolationHoldSeen{Service: s, Hold: e.IsolationHold})
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
	c.stepAssigner(now, s, assigner.SettingsSeen{Settings: settings})
}

// startAssigner starts the assigner of a service and passes all known state on to it.
func (c *Controller) startAssigner(now time.Time, s identifier.ServiceName) {
	cfg := c.cfg.Assigner
	cfg.Service = s
	c.assigners[s] = assigner.New(cfg)
	c.stepAssigner(now, s, assigner.LiveInstancesSeen{Instances: c.prober.Live()})
	for _, name := range []string{AssignmentName(s), AssignerName(s)} {
		if o, ok := c.objects[name]; ok {
			c.reapply(now, o)
		}
	}
	for z, r := range c.rosters {
		v := c.objects[RosterName(z)].Version
		c.stepAssigner(now, s, assigner.RosterSeen{Zone: z, Version: v, Roster: r})
	}
}

// reapply passes a cached object on to the state machines again.
func (c *Controller) reapply(now time.Time, o storer.Object) {
	if d, err := decode(o); err == nil {
		c.apply(now, o.Version, d)
	}
}

// refreshList passes the platform's list, joined with the settings, on to the prober, the granter and the assigners.
// It does nothing before this instance has read the list itself.
func (c *Controller) refreshList(now time.Time) {
	c.generation++
	if c.listReadAt.IsZero() {
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
	c.stepProber(now, prober.PeersListed{Peers: peers})
	c.stepGranter(now, granter.ServersSeen{Servers: servers})
	for _, s := range c.sortedServices() {
		c.stepAssigner(now, s, assigner.PlatformListSeen{At: c.listReadAt, Servers: byService[s], Instances: instances})
	}
}

// serverInfo joins the list entry of a backend server with its settings. ok is false if the settings do not contain
// its service.
func (c *Controller) serverInfo(l storer.ListedInstance) (granter.ServerInfo, bool) {
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
