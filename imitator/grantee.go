package imitator

import (
	"fmt"
	"sync"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/leaser"
)

// Grantee is the model of a backend server that takes grants of key ranges: it refuses
// epochs below one that it has seen on a key, and runs requests only on keys that it
// holds. It speaks no protocol; it is safe for concurrent use.
type Grantee struct {
	mu     sync.Mutex
	name   identifier.BackendServer
	grants []granted
	seen   map[identifier.Point]identifier.Epoch
	runs   map[string]int
	count  int
}

type granted struct {
	rng   identifier.Range
	epoch identifier.Epoch
	since time.Time // Of the first grant that was renewed without a gap.
	until time.Time
}

// NewGrantee returns a server that holds nothing.
func NewGrantee(name identifier.BackendServer) *Grantee {
	return &Grantee{name: name, seen: map[identifier.Point]identifier.Epoch{}, runs: map[string]int{}}
}

// Take carries an order out; ok is false if its epoch is too low. A release returns a
// handover.
func (g *Grantee) Take(now time.Time, o leaser.Order) (handover string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.Kind == leaser.Release {
		g.cut(o.Range)
		return fmt.Sprintf("%s-%s", g.name, o.Range), true
	}
	for p := int(o.Range.From); p <= int(o.Range.To); p++ {
		if g.seen[identifier.Point(p)] > o.Epoch {
			return "", false
		}
	}
	for p := int(o.Range.From); p <= int(o.Range.To); p++ {
		g.seen[identifier.Point(p)] = o.Epoch
	}
	since := now
	for _, each := range g.grants {
		if each.rng == o.Range && each.epoch == o.Epoch && now.Before(each.until) {
			since = each.since
		}
	}
	g.cut(o.Range)
	g.grants = append(g.grants, granted{o.Range, o.Epoch, since, now.Add(o.Hold)})
	return "", true
}

// cut takes a range out of the grants. The caller holds the lock.
func (g *Grantee) cut(r identifier.Range) {
	var kept []granted
	for _, each := range g.grants {
		if !each.rng.Overlaps(r) {
			kept = append(kept, each)
			continue
		}
		if each.rng.From < r.From {
			kept = append(kept, granted{identifier.Range{From: each.rng.From, To: r.From - 1}, each.epoch, each.since, each.until})
		}
		if each.rng.To > r.To {
			kept = append(kept, granted{identifier.Range{From: r.To + 1, To: each.rng.To}, each.epoch, each.since, each.until})
		}
	}
	g.grants = kept
}

// Holds reports whether the server may run requests of a key.
func (g *Grantee) Holds(now time.Time, p identifier.Point) bool {
	_, holds := g.HeldSince(now, p)
	return holds
}

// HeldSince returns since when the server has held a key without a gap.
func (g *Grantee) HeldSince(now time.Time, p identifier.Point) (since time.Time, holds bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, each := range g.grants {
		if each.rng.Contains(p) && now.Before(each.until) {
			return each.since, true
		}
	}
	return time.Time{}, false
}

// Run counts a run of a request.
func (g *Grantee) Run(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs[id]++
	g.count++
}

// Runs returns how often a request has run, and all requests together.
func (g *Grantee) Runs(id string) (times, all int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runs[id], g.count
}
