package runner

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/quarantiner"
)

// guard shares one Quarantiner between the request path and the control loop. It is
// safe for concurrent use.
type guard struct {
	instance    identifier.Instance
	incarnation identifier.Incarnation
	clock       func() time.Time
	report      func(quarantiner.Crash)
	empty       atomic.Bool // Spares the request path the lock and the hash.

	mu     sync.Mutex
	quar   *quarantiner.Quarantiner
	number uint64
}

func newGuard(i identifier.Instance, inc identifier.Incarnation, clock func() time.Time, report func(quarantiner.Crash)) *guard {
	g := &guard{instance: i, incarnation: inc, clock: clock, report: report, quar: quarantiner.New()}
	g.empty.Store(true)
	return g
}

// Blocked reports whether a request is refused now.
func (g *guard) Blocked(r answerer.Request) bool {
	if g.empty.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quar.Blocked(g.clock(), r.Fingerprint())
}

// Completed takes in that a request has run to its end.
func (g *guard) Completed(r answerer.Request) {
	if g.empty.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quar.Completed(r.Fingerprint())
	g.empty.Store(g.quar.Len() == 0)
}

// Crashed takes in a crash that this instance has seen, and reports it to the others.
func (g *guard) Crashed(r answerer.Request) {
	g.mu.Lock()
	g.number++
	c := quarantiner.Crash{Fingerprint: r.Fingerprint(), Run: quarantiner.Run{Instance: g.instance, Incarnation: g.incarnation, Number: g.number}}
	g.mu.Unlock()
	g.hear(c)
	g.report(c)
}

// hear takes in a crash, whoever saw it.
func (g *guard) hear(c quarantiner.Crash) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quar.Crashed(g.clock(), c)
	g.empty.Store(false)
}
