package assigner

import (
	"time"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
)

// outstandingID identifies a grant to one process of a backend server.
type outstandingID struct {
	granter.Grant
	incarnation identifier.Incarnation
}

// confirmation is the last confirmation of one process: it no longer grants the partitions that are
// moving in a version of the assignment.
type confirmation struct {
	version identifier.Version
	// outstanding holds, for each grant that may be in force, the time at which it has certainly
	// lapsed.
	outstanding map[outstandingID]time.Time
	// revoked holds the grants that the backend server's process has confirmed to refuse.
	revoked map[outstandingID]bool
}

// confirmations holds the last confirmation of each granter of a service, by process.
type confirmations map[granter.Holder]confirmation

// record stores a confirmation, unless a newer one of the same process is stored. The remaining time
// of a grant is counted from now, which is after the confirmation was sent, so the recorded end is
// never too early.
func (cs confirmations) record(now time.Time, c granter.Confirmation) {
	from := granter.Holder{Instance: c.Instance, Incarnation: c.Incarnation}
	if c.Version < cs[from].version {
		return
	}
	kept := confirmation{c.Version, map[outstandingID]time.Time{}, map[outstandingID]bool{}}
	for _, o := range c.Grants {
		id := outstandingID{o.Grant, o.Incarnation}
		if o.Revoked {
			kept.revoked[id] = true
			continue
		}
		kept.outstanding[id] = now.Add(o.Remaining)
	}
	cs[from] = kept
}

// complete reports whether every member of a roster, except those for which exempt returns true, has
// confirmed version v of the assignment or a higher one.
func (cs confirmations) complete(v identifier.Version, members []granter.Member, exempt func(granter.Member) bool) bool {
	for _, m := range members {
		last, ok := cs[m.Holder()]
		if !exempt(m) && (!ok || last.version < v) {
			return false
		}
	}
	return true
}

// grantsEnded reports whether each grant g that a member of a roster issued before its confirmation
// has ended: it has lapsed, or the server's process that had it has revoked it, no matter which
// granter reported the revocation.
func (cs confirmations) grantsEnded(now time.Time, g granter.Grant, members []granter.Member) bool {
	for _, m := range members {
		last := cs[m.Holder()]
		for id, until := range last.outstanding {
			if id.Grant == g && until.After(now) && !cs.revoked(id) {
				return false
			}
		}
	}
	return true
}

// revoked reports whether any granter has reported the revocation of a grant.
func (cs confirmations) revoked(id outstandingID) bool {
	for _, last := range cs {
		if last.revoked[id] {
			return true
		}
	}
	return false
}

// prune drops the confirmations of the processes for which on returns false: those on no roster.
func (cs confirmations) prune(on func(granter.Holder) bool) {
	for h := range cs {
		if !on(h) {
			delete(cs, h)
		}
	}
}
