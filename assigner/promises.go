package assigner

import (
	"time"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
)

// outstandingID names a grant to one process of a backend server.
type outstandingID struct {
	granter.Grant
	process identifier.Incarnation
}

// promise is the last confirmation of one process.
type promise struct {
	version     identifier.Version
	outstanding map[outstandingID]time.Time // When the grant has lapsed for sure.
	revoked     map[outstandingID]bool
}

// promises keeps the confirmations of all granters of a service.
type promises map[granter.Holder]promise

// take keeps a confirmation. The remaining time of a grant is counted from now,
// which is after the confirmation was sent, so the end is never too early.
func (ps promises) take(now time.Time, c granter.Confirm) {
	from := granter.Holder{Instance: c.Instance, Incarnation: c.Incarnation}
	if c.Version < ps[from].version {
		return
	}
	p := promise{c.Version, map[outstandingID]time.Time{}, map[outstandingID]bool{}}
	for _, o := range c.Grants {
		id := outstandingID{o.Grant, o.Server}
		if o.Revoked {
			p.revoked[id] = true
			continue
		}
		p.outstanding[id] = now.Add(o.Remaining)
	}
	ps[from] = p
}

// given reports whether every member of a roster has promised, at a version or
// above, not to grant what is marked there. excused says which members need not
// promise any more.
func (ps promises) given(v identifier.Version, members []granter.Member, excused func(granter.Member) bool) bool {
	for _, m := range members {
		p, ok := ps[m.Holder()]
		if !excused(m) && (!ok || p.version < v) {
			return false
		}
	}
	return true
}

// over reports whether each grant of g that a member of a roster gave before its
// promise has lapsed or was revoked, by whichever process, at the server's process
// that had it.
func (ps promises) over(now time.Time, g granter.Grant, members []granter.Member) bool {
	for _, m := range members {
		p := ps[m.Holder()]
		for id, until := range p.outstanding {
			if id.Grant == g && until.After(now) && !ps.revoked(id) {
				return false
			}
		}
	}
	return true
}

func (ps promises) revoked(id outstandingID) bool {
	for _, p := range ps {
		if p.revoked[id] {
			return true
		}
	}
	return false
}

// prune forgets the processes that are on no roster.
func (ps promises) prune(on func(granter.Holder) bool) {
	for h := range ps {
		if !on(h) {
			delete(ps, h)
		}
	}
}
