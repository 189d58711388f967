package conductor

import (
	"sort"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/custodian"
	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/exchanger"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/limiter"
	"github.com/turmericlift/turmericlift/registrar"
	"github.com/turmericlift/turmericlift/scheduler"
	"github.com/turmericlift/turmericlift/storer"
)

// memberPrefix starts the names of the objects by which instances find each other.
const memberPrefix = "member."

// view is what the mirrors say, decoded.
type view struct {
	table       *director.Table
	configAt    identifier.Version
	entries     map[identifier.BackendServer]registrar.Entry
	seen        map[identifier.BackendServer]seenEntry
	removed     map[identifier.BackendServer]time.Time      // Entries that may come back: until when they hold.
	replaced    map[identifier.BackendServer]registrar.Life // Lives whose address another server has.
	evacuated   map[identifier.Zone]time.Time               // Since when that is known.
	coldTill    map[identifier.Zone]time.Time               // Of zones that came back from an evacuation.
	entriesAt   time.Time                                   // When a new backend server was seen last.
	heat        map[identifier.Service]*allocator.Heat
	badEntries  map[string]identifier.Version
	storeDownAt time.Time // Start of the present outage; zero while the platform answers.
	storeUpAt   time.Time // End of the last outage.
}

// seenEntry dates an entry's cold time.
type seenEntry struct {
	version  identifier.Version
	life     registrar.Life
	coldTill time.Time
	leftAt   time.Time // When it was first seen to leave.
}

func newView() view {
	return view{
		entries: map[identifier.BackendServer]registrar.Entry{}, seen: map[identifier.BackendServer]seenEntry{},
		removed: map[identifier.BackendServer]time.Time{}, evacuated: map[identifier.Zone]time.Time{},
		coldTill:   map[identifier.Zone]time.Time{},
		replaced:   map[identifier.BackendServer]registrar.Life{},
		heat:       map[identifier.Service]*allocator.Heat{},
		badEntries: map[string]identifier.Version{},
	}
}

const (
	// returnTime is how long an entry that lapsed while the store was away may take to come
	// back: the platform's pages say about 2 s.
	returnTime = 1800 * time.Millisecond
	// outageAfter is the time without an answer that counts as an outage of the store.
	outageAfter = 600 * time.Millisecond
	// coldReserve is added to the cold time that an entry states, for its way to here.
	coldReserve = 300 * time.Millisecond
)

// changed takes in that a mirror's copy has changed.
func (c *Conductor) changed(kind storer.ObjectKind) {
	now := c.clock()
	c.mu.Lock()
	copied, asked := c.mirrors[kind].Copy() // Under the lock: the newest copy is read last.
	if c.historyLost == kind {
		c.historyLost = ""
		c.relist(copied.Revision)
	}
	switch kind {
	case c.kinds.Config:
		c.readConfig(copied.Objects)
	case c.kinds.Servers:
		c.readServers(now, copied.Objects)
	case c.kinds.Evacuations:
		c.readEvacuations(now, copied.Objects)
	case c.kinds.Own:
		c.readOwn(now, copied.Objects, asked)
	}
	c.refresh(now)
	c.scheduler.Tick(now)
	c.mu.Unlock()
	kick(c.planKick)
	kick(c.grantKick)
}

func (c *Conductor) readConfig(objects []storer.Object) {
	for _, o := range objects {
		if o.Name != c.kinds.ConfigObject || o.Version <= c.view.configAt {
			continue
		}
		table, err := c.codec.Table(o.Data)
		if err != nil {
			c.log.WithFields(logrus.Fields{"Object": o.Name, "Version": o.Version, "Error": err}).Warning("configuration does not decode, the one before stays in force")
			continue
		}
		if c.view.table != nil && table.Version < c.view.table.Version {
			c.log.WithFields(logrus.Fields{"ConfigVersion": table.Version, "Present": c.view.table.Version}).Warning("older configuration is not applied")
			continue
		}
		c.view.table, c.view.configAt = table, o.Version
		c.log.WithFields(logrus.Fields{"ConfigVersion": table.Version, "Version": o.Version}).Info("configuration in force")
	}
}

func (c *Conductor) readServers(now time.Time, objects []storer.Object) {
	entries := make(map[identifier.BackendServer]registrar.Entry, len(objects))
	for _, o := range objects {
		e, err := c.codec.Entry(o)
		if err != nil {
			if c.view.badEntries[o.Name] != o.Version {
				c.view.badEntries[o.Name] = o.Version
				c.log.WithFields(logrus.Fields{"Entry": o.Name, "Version": o.Version, "Error": err}).Warning("entry names no backend server")
			}
			continue
		}
		entries[e.ID] = e
		delete(c.view.removed, e.ID)
		if s := c.view.seen[e.ID]; s.version != e.Version {
			if s.version == 0 {
				c.view.entriesAt = now
			}
			coldTill := s.coldTill
			if s.life != e.Life {
				coldTill = time.Time{}
			}
			if e.ColdLeft > 0 {
				coldTill = now.Add(e.ColdLeft + coldReserve)
			}
			leftAt := s.leftAt
			if s.life != e.Life || e.Usable() {
				leftAt = time.Time{}
			}
			if !e.Usable() && leftAt.IsZero() {
				leftAt = now
			}
			c.view.seen[e.ID] = seenEntry{e.Version, e.Life, coldTill, leftAt}
			c.log.WithFields(logrus.Fields{"Server": e.ID, "Life": e.Life, "Service": e.Service, "Zone": e.Zone,
				"Draining": e.State == registrar.Draining, "ColdMs": e.ColdLeft.Milliseconds(), "Version": e.Version}).Info("backend server")
		}
	}
	c.keepLapsed(now, entries)
	c.view.entries = entries
}

// keepLapsed keeps entries that are gone for the time in which they may come back: while
// the store is away, and shortly after.
func (c *Conductor) keepLapsed(now time.Time, entries map[identifier.BackendServer]registrar.Entry) {
	for id, e := range c.view.entries {
		if _, ok := entries[id]; ok {
			continue
		}
		till, kept := c.view.removed[id]
		switch {
		case kept:
		case !c.view.storeDownAt.IsZero():
			till, kept = now.Add(returnTime), true
		case now.Sub(c.view.storeUpAt) < returnTime:
			till, kept = c.view.storeUpAt.Add(returnTime), true
		}
		if kept && now.Before(till) {
			c.view.removed[id] = till
			entries[id] = e
			continue
		}
		delete(c.view.removed, id)
		delete(c.view.seen, id)
		c.log.WithFields(logrus.Fields{"Server": id, "Life": e.Life, "EntryVersion": e.Version}).Info("backend server is gone")
	}
}

func (c *Conductor) readEvacuations(now time.Time, objects []storer.Object) {
	evacuated := map[identifier.Zone]time.Time{}
	for _, o := range objects {
		zone := identifier.Zone(o.Name)
		since, known := c.view.evacuated[zone]
		evacuated[zone] = since
		if !known {
			evacuated[zone] = now
			c.log.WithFields(logrus.Fields{"Zone": zone, "Version": o.Version}).Info("zone is taken out")
		}
	}
	for zone := range c.view.evacuated {
		if _, still := evacuated[zone]; !still {
			c.view.coldTill[zone] = now
			c.log.WithField("Zone", zone).Info("zone is taken back")
		}
	}
	c.view.evacuated = evacuated
}

func (c *Conductor) readOwn(now time.Time, objects []storer.Object, asked time.Time) {
	c.custody.Take(now, objects, asked)
	var members []string
	for _, o := range objects {
		if !strings.HasPrefix(o.Name, memberPrefix) {
			continue
		}
		m, err := decodeMember(o.Data)
		if err != nil {
			c.log.WithFields(logrus.Fields{"Object": o.Name, "Version": o.Version, "Error": err}).Warning("member does not decode")
			continue
		}
		members = append(members, m.Address)
	}
	sort.Strings(members)
	c.custody.Gossip.ReplaceHints(append(members, c.settings.Seeds...))
}

// excluded reports whether a backend server gets no new work: its zone is taken out, or
// its process has ended and another server has its address.
func (c *Conductor) excluded(e registrar.Entry) bool {
	_, out := c.view.evacuated[e.Zone]
	return out || c.ended(e)
}

// ended reports whether a backend server's process has ended, since another one has its
// address.
func (c *Conductor) ended(e registrar.Entry) bool {
	life, ok := c.view.replaced[e.ID]
	return ok && life == e.Life
}

// leaveShare is the part of the time in which a server that leaves may still get requests
// that is used for those whose keys it owns: the rest is for the way of the news.
const leaveShare = 0.3

// ownsUntil returns until when a backend server that gets no new work gets requests for
// keys that it still owns; zero if it gets none.
func (c *Conductor) ownsUntil(e registrar.Entry) time.Time {
	share := func(d time.Duration) time.Duration { return time.Duration(leaveShare * float64(d)) }
	since, out := c.view.evacuated[e.Zone]
	draining := !e.Usable()
	leftAt := c.view.seen[e.ID].leftAt
	switch {
	case c.ended(e):
		return time.Time{}
	case out && draining:
		return earlier(since.Add(share(c.settings.ClearTime)), leftAt.Add(share(c.settings.DrainTime)))
	case out:
		return since.Add(share(c.settings.ClearTime))
	case draining:
		return leftAt.Add(share(c.settings.DrainTime))
	}
	return time.Time{}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// coldUntil returns until when a backend server counts as cold.
func (c *Conductor) coldUntil(e registrar.Entry) time.Time {
	till := c.view.seen[e.ID].coldTill
	if since, ok := c.view.coldTill[e.Zone]; ok && c.view.table != nil {
		if back := since.Add(c.view.table.Services[e.Service].ColdFor + coldReserve); back.After(till) {
			till = back
		}
	}
	return till
}

// world returns what custody depends on.
func (c *Conductor) world() custodian.World {
	w := custodian.World{
		Entries: c.view.entries, Keyed: map[identifier.Service]bool{}, StoreUp: c.view.storeDownAt.IsZero(),
		StoreUpAt: c.view.storeUpAt, Leaving: c.leaving,
	}
	if c.view.table != nil {
		for name, s := range c.view.table.Services {
			w.Keyed[name] = s.Keyed
		}
	}
	return w
}

// refresh passes the view on to what decides from it.
func (c *Conductor) refresh(now time.Time) {
	count := c.custody.Gossip.Count(now)
	c.scheduler.SetInstances(count)
	c.custody.SetWorld(c.world())
	if c.view.table == nil {
		return
	}
	candidates := make([]scheduler.Candidate, 0, len(c.view.entries))
	for _, e := range c.view.entries {
		candidates = append(candidates, c.candidate(now, e))
		limit := max(c.view.table.Services[e.Service].MaxConnections/count, 1)
		key := poolKey{e.ID, e.Life, e.Address}
		if p, ok := c.pools[key]; ok {
			p.SetLimit(limit)
			continue
		}
		c.pools[key] = exchanger.NewPool(e.Address, limit, c.clock)
		c.orders[key] = exchanger.NewPool(e.Address, orderConnections, c.clock)
	}
	for key, p := range c.orders {
		if life, ok := c.view.replaced[key.id]; ok && life == key.life {
			p.Close() // Whatever it leads to is not that server.
			delete(c.orders, key)
		}
	}
	for key, p := range c.pools {
		if e, ok := c.view.entries[key.id]; !ok || e.Life != key.life || e.Address != key.address {
			p.Close()
			delete(c.pools, key)
			if !ok {
				continue // Its keys may have to be released.
			}
			if orders, ok := c.orders[key]; ok {
				orders.Close()
				delete(c.orders, key)
			}
		}
	}
	c.scheduler.SetServers(candidates)
	for name := range c.view.table.Services {
		if _, ok := c.repeats[name]; !ok {
			c.repeats[name] = limiter.NewRepeats(c.startedAt, c.settings.RetryWindow, c.settings.RetryRatio, c.settings.RetryExtra)
		}
	}
}

// candidate returns what is known of a backend server that requests may go to.
func (c *Conductor) candidate(now time.Time, e registrar.Entry) scheduler.Candidate {
	found := scheduler.Candidate{
		Entry: e, Excluded: c.excluded(e), OwnsTill: c.ownsUntil(e), ColdTill: c.coldUntil(e),
		ColdRate: (c.view.table.Services[e.Service].ColdRate*c.settings.ColdOvershoot + c.settings.ColdSlack) * coldShare,
	}
	if now.Before(found.ColdTill) {
		found.ColdRank = c.custody.Gossip.Rank(now, "cold "+string(e.ID))
	}
	return found
}

const (
	// coldShare is the part of a cold server's bound that is used: its window slides, and
	// requests take differently long to arrive.
	coldShare = 0.8
	// orderConnections bounds the connections for orders to one server.
	orderConnections = 6
)

// Owner implements scheduler.Owners. The caller holds the lock.
func (c *Conductor) Owner(now time.Time, service identifier.Service, key identifier.Point) registrar.Ownership {
	return c.custody.Owner(now, service, key)
}
