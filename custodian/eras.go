package custodian

import (
	"slices"
	"strings"
	"time"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/gossiper"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/storer"
)

// firstEra is taken for the era of a store that never came back from a copy.
const firstEra = identifier.Era(1)

// eras is what a Custodian knows of the eras of the store. All of it is empty while the store states none.
type eras struct {
	present   identifier.Era
	noticedAt time.Time // When the present era was noticed.
	listed    identifier.Era
	// former is, by era and cell, until when this process may grant under allocations of that era, which is over.
	former map[identifier.Era]map[identifier.Cell]time.Time
	// outdated are, by name, objects of the store whose content is of an older era than their version. They came from the
	// copy, or from a write that was under way when the store was restored, and are to be replaced.
	outdated map[string]outdatedObject
}

// outdatedObject is a version of an object that must be replaced.
type outdatedObject struct {
	version    identifier.Version
	allocation *allocator.Allocation // Nil for a roster.
}

// Era returns the highest era of the store that this process knows; 0 if the store states none.
func (c *Custodian) Era() identifier.Era { return c.eras.present }

// SetEra records the era of the store. If it is a new one, lists of it confirm no roster of the former ones: this process goes
// on granting under allocations of the former era for as long as its confirmation lasts, and plans nothing until it has
// listed the shared objects of the new one. It reports whether the era is new.
func (c *Custodian) SetEra(now time.Time, era identifier.Era) bool {
	if era <= c.eras.present {
		return false
	}
	until := map[identifier.Cell]time.Time{}
	for cell := range c.rosters {
		if c.MayGrant(now, cell) {
			until[cell] = c.confirmedAt(cell).Add(c.settings.Leases.ConfirmationTimeout)
		}
	}
	c.logEvent("era of the store began", map[string]any{"Era": era, "Former": c.eras.present, "Allocations": len(c.allocations), "Rosters": len(c.rosters), "CellsGranted": len(until)})
	c.eras.former[c.eras.present] = until
	c.eras.present, c.eras.noticedAt = era, now
	return true
}

// RecordListedEra records that a complete list of the shared objects of an era is applied next.
func (c *Custodian) RecordListedEra(era identifier.Era) { c.eras.listed = max(c.eras.listed, era) }

// hasListed reports whether this process has listed the shared objects of the present era.
func (c *Custodian) hasListed() bool { return c.eras.listed >= c.eras.present }

// noticeVersion records the era of a version that another instance has read.
func (c *Custodian) noticeVersion(now time.Time, v identifier.Version) {
	if c.eras.present > 0 {
		c.SetEra(now, v.Era())
	}
}

// isOutdated reports whether the content of an object, which was written for an era, does not count, since the object has a
// version of a later era.
func (c *Custodian) isOutdated(content identifier.Era, v identifier.Version) bool {
	return c.eras.present > 0 && content < v.Era()
}

// recordOutdated remembers a version of an object that must be replaced.
func (c *Custodian) recordOutdated(o storer.Object, a *allocator.Allocation) {
	if c.eras.outdated[o.Name].version >= o.Version {
		return
	}
	c.eras.outdated[o.Name] = outdatedObject{o.Version, a}
	c.logEvent("shared object of an older era does not count, it is to be written again", map[string]any{"Object": o.Name, "Version": o.Version, "Era": c.eras.present})
}

// isOverwritten reports whether the store has an outdated object in place of a newer version than the known one.
func (c *Custodian) isOverwritten(name string, known identifier.Version) bool {
	return c.eras.outdated[name].version > known
}

// toReplace returns the version that an object has in the store, if the known version is the newest that counts.
func (c *Custodian) toReplace(name string, known identifier.Version) identifier.Version {
	switch outdated := c.eras.outdated[name].version; {
	case c.eras.present == 0:
		return known
	case outdated > known && outdated.Era() == c.eras.present:
		return outdated
	case known.Era() == c.eras.present:
		return known
	}
	return 0
}

// ofPresentEra reports whether an allocation was written for the present era.
func (c *Custodian) ofPresentEra(a *allocator.Allocation) bool {
	return c.eras.present == 0 || a.NextEpoch.Era() == c.eras.present
}

// rosterCounts reports whether the known roster of a cell was written for the present era and still stands in the store.
func (c *Custodian) rosterCounts(cell identifier.Cell) bool {
	r := c.rosters[cell]
	return r.Era == c.eras.present && !c.isOverwritten(RosterPrefix+cell.String(), r.Version)
}

// mayGrantFormer reports whether this process may still grant in a cell under an allocation of a former era.
func (c *Custodian) mayGrantFormer(now time.Time, cell identifier.Cell, era identifier.Era) bool {
	h, onRoster := c.ownHolder(cell)
	return now.Before(c.eras.former[era][cell]) && (!onRoster || !h.Fenced())
}

// mayHold reports whether grants of this process in a cell may be in force, or be sent under an allocation of a former era,
// which another instance may pass on as long as one of the present era is missing.
func (c *Custodian) mayHold(now time.Time, cell identifier.Cell) bool {
	if c.AwaitsAllocations() {
		for _, cells := range c.eras.former {
			if now.Before(cells[cell]) {
				return true
			}
		}
	}
	for _, a := range c.allocations {
		if !c.ofPresentEra(a) && c.mayGrantFormer(now, cell, a.NextEpoch.Era()) {
			return true
		}
	}
	return !c.Leases.Idle(now, cell)
}

// mustJoin reports whether this process must add itself to the roster of a cell for the sake of the present era: it grants there
// and the roster has to be written again, or it is not on that and may hold grants.
func (c *Custodian) mustJoin(now time.Time, cell identifier.Cell, isGranter bool) bool {
	if !c.rosterCounts(cell) {
		return isGranter
	}
	return c.eras.present > 0 && !c.OnRoster(cell) && c.mayHold(now, cell)
}

// isCovered reports whether this process is on the roster of the present era in each cell in which it may hold grants.
func (c *Custodian) isCovered(now time.Time) bool {
	for cell := range c.allCells() {
		if c.mayHold(now, cell) && (!c.OnRoster(cell) || !c.rosterCounts(cell)) {
			return false
		}
	}
	return true
}

// OutdatedAllocations returns the names of the allocations of which the store has one that does not count.
func (c *Custodian) OutdatedAllocations() map[string]bool {
	names := map[string]bool{}
	for name, outdated := range c.eras.outdated {
		a := c.allocations[identifier.Service(strings.TrimPrefix(name, AllocationPrefix))]
		if outdated.allocation != nil && (a == nil || a.Version < outdated.version) {
			names[name] = true
		}
	}
	return names
}

// AwaitsAllocations reports whether some service has no allocation that was written for the present era.
func (c *Custodian) AwaitsAllocations() bool {
	if c.eras.present == 0 {
		return false
	}
	for service, keyed := range c.environment.Keyed {
		name, a := AllocationPrefix+string(service), c.allocations[service]
		switch {
		case !keyed:
		case a != nil && (!c.ofPresentEra(a) || c.isOverwritten(name, a.Version)), a == nil && c.eras.outdated[name].allocation != nil:
			return true
		case a == nil && c.eras.present > firstEra && c.hasServer(service):
			return true
		}
	}
	return false
}

// hasServer reports whether a backend server of a service is registered.
func (c *Custodian) hasServer(service identifier.Service) bool {
	for _, e := range c.environment.Entries {
		if e.Service == service {
			return true
		}
	}
	return false
}

// coverage is the statement of a process that it has noticed an era, and is on the rosters of that era wherever grants of it
// may be in force. It is a release without a service, whose epoch is the first one of the era, so that states without eras
// are as they were before there were any.
func coverage(era identifier.Era) allocator.Release {
	return allocator.Release{Epoch: era.FirstEpoch()}
}

// isSettled reports whether grants under older eras can be in force only of processes on the rosters of the present one, and
// no process knows a newer allocation: either all instances that may run have stated so, or what they were allowed to
// do in the former eras has ended.
func (c *Custodian) isSettled(now time.Time) bool {
	if !c.isCovered(now) {
		return false
	}
	lapse := c.settings.Leases.ConfirmationTimeout + c.settings.Leases.MaxInForce() + fenceMargin
	return c.allReported(now) || now.Sub(c.eras.noticedAt) > lapse && c.holdersReported(now)
}

// allReported reports whether all instances on record and all that this process knows are live, have reported, and have been
// heard for so long that nothing that a former process of theirs granted is in force.
func (c *Custodian) allReported(now time.Time) bool {
	longest := c.settings.Leases.MaxInForce()
	if len(c.environment.Recorded) == 0 || now.Sub(c.startedAt) <= longest {
		return false
	}
	for _, i := range c.environment.Recorded {
		if i != c.settings.Instance && c.Gossip.Peer(i) == nil {
			return false
		}
	}
	for _, p := range c.Gossip.Known() {
		if now.Sub(p.FirstHeardAt) <= longest || !c.hasReported(now, p) {
			return false
		}
	}
	return true
}

// hasReported reports whether an instance is live, has noticed the present era and is covered in it, and knows no newer
// allocation than this one does.
func (c *Custodian) hasReported(now time.Time, p *gossiper.Peer) bool {
	if now.Sub(p.HeardAt) >= c.Gossip.UnresponsiveAfter() || !slices.Contains(p.Releases, coverage(c.eras.present)) {
		return false
	}
	for service, version := range p.AllocationVersions {
		if a := c.allocations[service]; a == nil || a.Version < version {
			return false
		}
	}
	return true
}

// holdersReported reports whether each process on the rosters has reported, or has nothing in force.
func (c *Custodian) holdersReported(now time.Time) bool {
	for cell, r := range c.rosters {
		for _, h := range r.Holders {
			if h.Instance == c.settings.Instance && h.Incarnation == c.settings.Incarnation || c.grantsLapsed(now, cell, h) {
				continue
			}
			p := c.Gossip.Peer(h.Instance)
			if r.Era == c.eras.present && (p == nil || p.Incarnation != h.Incarnation || !c.hasReported(now, p)) {
				return false
			}
		}
	}
	return true
}

// Rewrite returns the allocation of a service that must be written before anything else is planned, since the store has none
// that was written for its present era; it is nil while that has to wait. pending is false if plans may be made as usual.
func (c *Custodian) Rewrite(now time.Time, service identifier.Service) (next *allocator.Allocation, pending bool) {
	name := AllocationPrefix + string(service)
	base, known := c.allocations[service], identifier.Version(0)
	if base != nil {
		known = base.Version
	}
	outdated := c.eras.outdated[name]
	switch {
	case c.eras.present == 0, base != nil && c.ofPresentEra(base) && outdated.version <= known:
		return nil, false
	case base == nil && outdated.allocation == nil && c.eras.present <= firstEra:
		return nil, false // Nothing was ever granted.
	case !c.isSettled(now):
		return nil, true
	}
	if outdated.allocation != nil && (base == nil || outdated.allocation.NextEpoch > base.NextEpoch) {
		base = outdated.allocation
	}
	if base == nil {
		return nil, false
	}
	next = base.Reissue(c.eras.present)
	next.Version = c.toReplace(name, known)
	c.logEvent("allocation is written again for the era of the store", map[string]any{"Service": service, "Era": c.eras.present, "Known": known,
		"Base": base.Version, "Replaces": next.Version, "AllReported": c.allReported(now), "Ms": now.Sub(c.eras.noticedAt).Milliseconds()})
	return next, true
}
