package imitator

import (
	"fmt"
	"sync"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/leaser"
)

// Grantee is the part of a simulated backend server that keeps grants of key ranges and counts runs. It refuses a grant
// whose epoch is below one that it has accepted for one of the keys. It implements no network protocol and is safe for
// concurrent use.
type Grantee struct {
	mu     sync.Mutex
	name   identifier.BackendServer
	grants []rangeGrant
	// epochs holds the highest epoch that was granted per key. Releases and the ends of leases do not remove it.
	epochs map[identifier.ShardKey]identifier.Epoch
	runs   map[string]int // By request ID.
	total  int
}

// rangeGrant is a grant of a range of keys. The grants of one Grantee do not overlap.
type rangeGrant struct {
	keys  identifier.Range
	epoch identifier.Epoch
	since time.Time // Start of the first of the grants that were renewed without a gap.
	until time.Time // End of the lease.
}

// NewGrantee returns a server without grants.
func NewGrantee(name identifier.BackendServer) *Grantee {
	return &Grantee{name: name, epochs: map[identifier.ShardKey]identifier.Epoch{}, runs: map[string]int{}}
}

// HandleOrder handles an order. A grant replaces the grants of its keys, or renews one of the same range and epoch; it
// returns false if its epoch is lower than one that was granted before for any of the keys. A release always succeeds
// and returns a handover.
func (g *Grantee) HandleOrder(now time.Time, o leaser.Order) (handover string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.Kind == leaser.Release {
		g.removeRange(o.Range)
		return fmt.Sprintf("%s-%s", g.name, o.Range), true
	}
	for key := int(o.Range.From); key <= int(o.Range.To); key++ {
		if g.epochs[identifier.ShardKey(key)] > o.Epoch {
			return "", false
		}
	}
	for key := int(o.Range.From); key <= int(o.Range.To); key++ {
		g.epochs[identifier.ShardKey(key)] = o.Epoch
	}
	since := now
	for _, grant := range g.grants {
		if grant.keys == o.Range && grant.epoch == o.Epoch && now.Before(grant.until) {
			since = grant.since
		}
	}
	g.removeRange(o.Range)
	g.grants = append(g.grants, rangeGrant{o.Range, o.Epoch, since, now.Add(o.LeaseDuration)})
	return "", true
}

// removeRange removes a range of keys from the grants; grants that it overlaps keep their other keys. The caller holds
// the lock.
func (g *Grantee) removeRange(r identifier.Range) {
	var kept []rangeGrant
	for _, grant := range g.grants {
		if !grant.keys.Overlaps(r) {
			kept = append(kept, grant)
			continue
		}
		if grant.keys.From < r.From {
			kept = append(kept, rangeGrant{identifier.Range{From: grant.keys.From, To: r.From - 1}, grant.epoch, grant.since, grant.until})
		}
		if grant.keys.To > r.To {
			kept = append(kept, rangeGrant{identifier.Range{From: r.To + 1, To: grant.keys.To}, grant.epoch, grant.since, grant.until})
		}
	}
	g.grants = kept
}

// HoldsKey reports whether the server has a grant of a key that is in force, so that it may run requests of the key.
func (g *Grantee) HoldsKey(now time.Time, key identifier.ShardKey) bool {
	_, inForce := g.HeldSince(now, key)
	return inForce
}

// HeldSince returns the start of the period without a gap in which the server has had a grant of a key. It returns
// false if no grant of the key is in force.
func (g *Grantee) HeldSince(now time.Time, key identifier.ShardKey) (since time.Time, inForce bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, grant := range g.grants {
		if grant.keys.Contains(key) && now.Before(grant.until) {
			return grant.since, true
		}
	}
	return time.Time{}, false
}

// RecordRun counts one run of the request with this ID.
func (g *Grantee) RecordRun(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs[id]++
	g.total++
}

// RunCounts returns how many times the request with this ID has run, and how many times all requests together have run.
func (g *Grantee) RunCounts(id string) (runs, total int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runs[id], g.total
}
