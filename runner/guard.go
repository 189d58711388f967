package runner

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/quarantiner"
)

// guard shares one Quarantiner, which blocks requests that crash backend servers, between the request path and the
// control loop. It is safe for concurrent use.
type guard struct {
	instance    identifier.Instance
	incarnation identifier.Incarnation
	clock       func() time.Time
	reportCrash func(quarantiner.Crash)
	// empty says that no fingerprint is remembered, so that the request path needs neither the lock nor the hash.
	empty atomic.Bool

	mu          sync.Mutex
	quarantiner *quarantiner.Quarantiner
	crashCount  uint64 // crashCount is the number of crashes that this instance has seen; it numbers their runs.
}

// newGuard returns a guard that blocks nothing. It calls reportCrash for each crash that this instance sees.
func newGuard(i identifier.Instance, inc identifier.Incarnation, clock func() time.Time, reportCrash func(quarantiner.Crash)) *guard {
	g := &guard{instance: i, incarnation: inc, clock: clock, reportCrash: reportCrash, quarantiner: quarantiner.New()}
	g.empty.Store(true)
	return g
}

// Blocked reports whether a request must be refused now because requests with its fingerprint crash backend servers.
func (g *guard) Blocked(r answerer.Request) bool {
	if g.empty.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantiner.Blocked(g.clock(), r.Fingerprint())
}

// RecordCompletion records that a request has run to its end, which clears its fingerprint unless that is blocked.
func (g *guard) RecordCompletion(r answerer.Request) {
	if g.empty.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantiner.RecordCompletion(r.Fingerprint())
	g.empty.Store(g.quarantiner.Len() == 0)
}

// RecordCrash records a crash that this instance has seen and reports it to the other instances.
func (g *guard) RecordCrash(r answerer.Request) {
	g.mu.Lock()
	g.crashCount++
	c := quarantiner.Crash{Fingerprint: r.Fingerprint(), Run: quarantiner.Run{Instance: g.instance, InstanceIncarnation: g.incarnation, Number: g.crashCount}}
	g.mu.Unlock()
	g.recordCrash(c)
	g.reportCrash(c)
}

// recordCrash records a crash that this or another instance has seen.
func (g *guard) recordCrash(c quarantiner.Crash) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantiner.RecordCrash(g.clock(), c)
	g.empty.Store(false)
}
