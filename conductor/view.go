package conductor

import (
	"sort"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/apportioner"
	"github.com/turmericlift/turmericlift/custodian"
	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/exchanger"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/limiter"
	"github.com/turmericlift/turmericlift/registrar"
	"github.com/turmericlift/turmericlift/scheduler"
	"github.com/turmericlift/turmericlift/storer"
)

// memberPrefix is the prefix of the names of member objects, by which instances find each other.
const memberPrefix = "member."

// view is the decoded content of the mirrors, and what this instance has derived from it.
type view struct {
	table               *director.Table
	configObjectVersion identifier.Version
	entries             map[identifier.BackendServer]registrar.Entry
	seen                map[identifier.BackendServer]seenEntry
	removed             map[identifier.BackendServer]time.Time             // Until when an entry that is gone may come back.
	replaced            map[identifier.BackendServer]registrar.Incarnation // Incarnations whose address another server has.
	evacuated           map[identifier.Zone]time.Time                      // By zone, when its evacuation was first seen.
	evacuationEndedAt   map[identifier.Zone]time.Time                      // By zone; its servers are cold for a while after.
	newServerSeenAt     time.Time                                          // When a new backend server was last seen.
	keyRates            map[identifier.Service]*allocator.KeyRates
	leaving             map[serverIncarnation]time.Time // When a server first said in an answer that it leaves.
	badEntries          map[string]identifier.Version   // Versions that were logged as not decodable.
	doubts              map[identifier.BackendServer]entryDoubt
	ended               map[identifier.BackendServer]endedEntry
	members             map[string]seenMember // By name of the member object.
	storeDownAt         time.Time             // Start of the present outage; zero while the store answers.
	storeUpAt           time.Time             // End of the last outage.
	storeAnsweredAt     time.Time             // When the store last answered this instance.
	era                 eraView
	copiedAt            time.Time // When the last copies from another instance were requested.
}

// seenMember is what a version of a member object says.
type seenMember struct {
	version identifier.Version
	member
}

// seenEntry records when an entry was seen to become cold or to leave.
type seenEntry struct {
	version      identifier.Version
	incarnation  registrar.Incarnation
	coldUntil    time.Time
	leavingSince time.Time // When it was first seen to be leaving.
}

// newView returns an empty view.
func newView() view {
	return view{
		entries: map[identifier.BackendServer]registrar.Entry{}, seen: map[identifier.BackendServer]seenEntry{},
		removed: map[identifier.BackendServer]time.Time{}, evacuated: map[identifier.Zone]time.Time{},
		evacuationEndedAt: map[identifier.Zone]time.Time{},
		replaced:          map[identifier.BackendServer]registrar.Incarnation{},
		keyRates:          map[identifier.Service]*allocator.KeyRates{},
		leaving:           map[serverIncarnation]time.Time{},
		badEntries:        map[string]identifier.Version{},
		doubts:            map[identifier.BackendServer]entryDoubt{},
		ended:             map[identifier.BackendServer]endedEntry{},
	}
}

const (
	// reregisterTime is how long an entry that expired during an outage of the store may take to
	// come back. The platform's documentation gives about 2 s.
	reregisterTime = 1800 * time.Millisecond
	// outageThreshold is the time without an answer from which on it counts as an outage of the
	// store.
	outageThreshold = 600 * time.Millisecond
	// coldMargin is added to the cold time that an entry states, because the entry takes time to
	// arrive.
	coldMargin = 300 * time.Millisecond
)

// mirrorChanged reads the copy of a kind again after its mirror has changed, and passes the result
// on.
func (c *Conductor) mirrorChanged(kind storer.ObjectKind) {
	now := c.clock()
	c.mu.Lock()
	copied, requestedAt := c.mirrors[kind].Snapshot() // Read under the lock, so that the newest copy is applied last.
	c.noticeEra(now, max(c.store.Era(), c.copiedEra(copied)))
	if c.historyLostKind == kind {
		c.historyLostKind = ""
		c.relist(c.historyGoneBefore(now, copied.Revision))
	}
	switch kind {
	case c.kinds.Config:
		c.readConfig(copied.Objects)
	case c.kinds.Servers:
		c.readServers(now, copied.Objects)
	case c.kinds.Evacuations:
		c.readEvacuations(now, copied.Objects)
	case c.kinds.Shared:
		if c.view.era.present > 0 {
			c.ownership.RecordListedEra(copied.Revision.Era())
		}
		c.readShared(now, copied.Objects, requestedAt)
	}
	c.refresh(now)
	c.scheduler.Tick(now)
	c.mu.Unlock()
	trigger(c.planTrigger)
	trigger(c.grantTrigger)
}

// readConfig applies the routing configuration if it is newer than the present one and decodes. The
// caller holds the lock.
func (c *Conductor) readConfig(objects []storer.Object) {
	for _, o := range objects {
		if o.Name != c.kinds.ConfigObject || o.Version <= c.view.configObjectVersion {
			continue
		}
		c.evidence.seenVersion = max(c.evidence.seenVersion, o.Version)
		table, err := c.codec.DecodeTable(o.Data)
		if err != nil {
			c.log.WithFields(logrus.Fields{"Object": o.Name, "Version": o.Version, "Error": err}).Warning("routing configuration does not decode, the present one stays in force")
			continue
		}
		if c.view.table != nil && table.Version < c.view.table.Version {
			c.log.WithFields(logrus.Fields{"ConfigVersion": table.Version, "Present": c.view.table.Version}).Warning("routing configuration is older than the present one, it is not applied")
			continue
		}
		c.view.table, c.view.configObjectVersion = table, o.Version
		c.applyQuotas(c.clock(), table)
		c.log.WithFields(logrus.Fields{"ConfigVersion": table.Version, "Version": o.Version}).Info("routing configuration is in force")
		c.logUnknownKinds(table)
	}
}

// logUnknownKinds logs the kinds of routes that are unknown, each once with the number of its routes.
func (c *Conductor) logUnknownKinds(table *director.Table) {
	for kind, n := range table.UnknownKinds() {
		c.log.WithFields(logrus.Fields{"ConfigVersion": table.Version, "Kind": kind, "Routes": n}).Warning("routes are of an unknown kind, their requests are run at most once")
	}
}

// readEvacuations applies the zones that operators have evacuated. The caller holds the lock.
func (c *Conductor) readEvacuations(now time.Time, objects []storer.Object) {
	evacuated := map[identifier.Zone]time.Time{}
	for _, o := range objects {
		zone := identifier.Zone(o.Name)
		since, known := c.view.evacuated[zone]
		evacuated[zone] = since
		if !known {
			evacuated[zone] = now
			c.log.WithFields(logrus.Fields{"Zone": zone, "Version": o.Version}).Info("zone is evacuated")
		}
	}
	c.retainEvacuations(now, evacuated)
	for zone := range c.view.evacuated {
		if _, still := evacuated[zone]; !still {
			c.view.evacuationEndedAt[zone] = now
			c.log.WithField("Zone", zone).Info("evacuation of zone ended, its servers count as cold")
		}
	}
	c.view.evacuated = evacuated
}

// readShared applies the shared objects and replaces the addresses of possible instances.
// requestedAt is when the newest list among them was requested. The caller holds the lock.
func (c *Conductor) readShared(now time.Time, objects []storer.Object, requestedAt time.Time) {
	c.ownership.ApplyObjects(now, objects, requestedAt)
	var members []string
	var records []apportioner.Record
	known := c.view.members
	c.view.members = make(map[string]seenMember, len(known))
	for _, o := range objects {
		if !strings.HasPrefix(o.Name, memberPrefix) {
			continue
		}
		m, ok := known[o.Name]
		if !ok || m.version != o.Version {
			decoded, err := decodeMember(o.Data)
			if err != nil {
				c.log.WithFields(logrus.Fields{"Object": o.Name, "Version": o.Version, "Error": err}).Warning("member object does not decode, its address is not used")
				continue
			}
			m = seenMember{o.Version, decoded}
		}
		c.view.members[o.Name] = m
	}
	c.retainMembers(now)
	for _, m := range c.view.members {
		records = append(records, apportioner.Record{Instance: m.Instance, Settled: c.settledRecord(m), Ended: m.Ended})
		if !m.Ended {
			members = append(members, m.Address)
		}
	}
	c.readQuotaStart(now, requestedAt, objects)
	c.apportioner.RecordList(now, requestedAt, records)
	sort.Strings(members)
	c.ownership.Gossip.ReplaceHints(append(members, c.settings.Seeds...))
}

// excluded reports whether a backend server gets no new work: its zone is evacuated, or its
// process has ended and another server has its address.
func (c *Conductor) excluded(e registrar.Entry) bool {
	_, out := c.view.evacuated[e.Zone]
	return out || c.isReplaced(e)
}

// isReplaced reports whether a backend server's process must have ended, because another server has
// its address.
func (c *Conductor) isReplaced(e registrar.Entry) bool {
	incarnation, ok := c.view.replaced[e.ID]
	return ok && incarnation == e.Incarnation
}

// ownedKeysShare is the fraction of the allowed time in which a leaving server still gets requests
// for the keys that it owns. The rest is for the time that updates take to reach all instances.
const ownedKeysShare = 0.3

// ownsUntil returns until when a backend server that gets no new work still gets requests for the
// keys that it owns. The result is zero if it gets none.
func (c *Conductor) ownsUntil(e registrar.Entry) time.Time {
	share := func(d time.Duration) time.Duration { return time.Duration(ownedKeysShare * float64(d)) }
	since, out := c.view.evacuated[e.Zone]
	draining := !e.Usable()
	leavingSince := c.view.seen[e.ID].leavingSince
	switch {
	case c.isReplaced(e):
		return time.Time{}
	case out && draining:
		return earlier(since.Add(share(c.settings.EvacuationTime)), leavingSince.Add(share(c.settings.DrainTime)))
	case out:
		return since.Add(share(c.settings.EvacuationTime))
	case draining:
		return leavingSince.Add(share(c.settings.DrainTime))
	}
	return time.Time{}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// coldUntil returns until when a backend server counts as cold. The result is zero if it never did.
func (c *Conductor) coldUntil(e registrar.Entry) time.Time {
	until := c.view.seen[e.ID].coldUntil
	if since, ok := c.view.evacuationEndedAt[e.Zone]; ok && c.view.table != nil {
		if back := since.Add(c.view.table.Services[e.Service].ColdFor + coldMargin); back.After(until) {
			until = back
		}
	}
	if d, ok := c.view.doubts[e.ID]; ok && d.coldUntil.After(until) {
		until = d.coldUntil
	}
	return until
}

// environment returns what key ownership depends on. The caller holds the lock.
func (c *Conductor) environment() custodian.Environment {
	env := custodian.Environment{
		Entries: c.view.entries, Keyed: map[identifier.Service]bool{}, StoreUp: c.view.storeDownAt.IsZero(),
		StoreUpAt: c.view.storeUpAt, Leaving: c.leaving, Recorded: c.recordedInstances(),
	}
	if c.view.table != nil {
		for name, s := range c.view.table.Services {
			env.Keyed[name] = s.Keyed
		}
	}
	return env
}

// refresh passes the view on to the custodian and the scheduler, and opens and closes connection
// pools to match it. The caller holds the lock.
func (c *Conductor) refresh(now time.Time) {
	c.refreshDue = false
	// An instance that has no share still opens connections, within the share of those that it knows.
	count := max(c.apportioner.Count(), c.ownership.Gossip.Count(now))
	c.ownership.SetEnvironment(c.environment())
	if c.view.table == nil {
		return
	}
	candidates := make([]scheduler.Candidate, 0, len(c.view.entries))
	for _, e := range c.view.entries {
		candidates = append(candidates, c.candidate(e))
		limit := max(c.view.table.Services[e.Service].MaxConnections/count, 1)
		key := poolKey{e.ID, e.Incarnation, e.Address}
		if p, ok := c.pools[key]; ok {
			p.SetLimit(limit)
			continue
		}
		c.pools[key] = exchanger.NewPool(e.Address, limit, c.clock)
		c.orders[key] = exchanger.NewPool(e.Address, orderConnections, c.clock)
	}
	for key, p := range c.orders {
		if incarnation, ok := c.view.replaced[key.id]; ok && incarnation == key.incarnation {
			p.Close() // The address leads to another server now.
			delete(c.orders, key)
		}
	}
	for key, p := range c.pools {
		if !c.listed(key) {
			p.Close()
			delete(c.pools, key)
		}
	}
	c.closeUnusedOrders()
	c.scheduler.SetServers(candidates)
	c.updateCostAware(now)
	for name := range c.view.table.Services {
		if _, ok := c.retryBudgets[name]; !ok {
			c.retryBudgets[name] = limiter.NewRetryBudget(c.startedAt, c.settings.RetryWindow, c.settings.RetryRatio, c.settings.RetryExtra)
		}
	}
}

// candidate returns what the scheduler needs to know of a backend server. The caller holds the
// lock.
func (c *Conductor) candidate(e registrar.Entry) scheduler.Candidate {
	return scheduler.Candidate{
		ColdFor: c.view.table.Services[e.Service].ColdFor,
		Entry:   e, Excluded: c.excluded(e), OwnsUntil: c.ownsUntil(e), ColdUntil: c.coldUntil(e),
		ColdRate: (c.view.table.Services[e.Service].ColdRate*c.settings.ColdOvershoot + c.settings.ColdSlack) * coldRateShare,
	}
}

const (
	// coldRateShare is the fraction of a cold server's allowed request rate that is used. The
	// platform measures the rate in a sliding window, and requests differ in how long they take to
	// arrive.
	coldRateShare = 0.8
	// orderConnections bounds the connections for orders to one server.
	orderConnections = 6
)

// Owner implements scheduler.Owners: it returns what is known of a key's owner. The caller holds
// the lock.
func (c *Conductor) Owner(now time.Time, service identifier.Service, key identifier.ShardKey) registrar.Ownership {
	return c.ownership.Owner(now, service, key)
}
