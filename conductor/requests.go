package conductor

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/exchanger"
	"github.com/turmericlift/turmericlift/forwarder"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/quarantiner"
	"github.com/turmericlift/turmericlift/registrar"
	"github.com/turmericlift/turmericlift/scheduler"
)

// crashReport is a crash that is reported to the other instances for crashReportTime.
type crashReport struct {
	crash quarantiner.Crash
	at    time.Time
}

// Table implements forwarder.Core: it returns the routing configuration, or nil before there is
// one.
func (c *Conductor) Table() *director.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.table
}

// Split implements forwarder.Core: it returns the service of a route's next request and counts the
// request for the retry budget.
func (c *Conductor) Split(r *director.Route) identifier.Service {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	service := c.splitter.Next(r)
	if budget := c.retryBudgets[service]; budget != nil {
		budget.Request(now)
	}
	return service
}

// Admit implements forwarder.Core: it counts the request's key and waits for the scheduler's
// decision. It returns false if ctx ends first; a slot that was assigned at the same moment is
// given back.
func (c *Conductor) Admit(ctx context.Context, t *scheduler.Ticket) (scheduler.Decision, bool) {
	now := c.clock()
	c.mu.Lock()
	if t.Keyed {
		counter := c.keyCounters[t.Service]
		if counter == nil {
			counter = allocator.NewCounter(now)
			c.keyCounters[t.Service] = counter
		}
		counter.Add(t.Key)
	}
	c.scheduler.Arrive(now, t)
	c.mu.Unlock()
	select {
	case d := <-t.Decided:
		return d, true
	case <-ctx.Done():
	}
	c.mu.Lock()
	c.scheduler.Cancel(t)
	c.mu.Unlock()
	select {
	case d := <-t.Decided:
		if d.Reason == scheduler.None {
			c.Finished(d.Server, scheduler.Report{Outcome: scheduler.Cancelled})
		}
	default:
	}
	return scheduler.Decision{}, false
}

// Exchange implements forwarder.Core: it sends a request to a backend server and returns its
// answer. The error is an *exchanger.UnsentError if the server is no longer known.
func (c *Conductor) Exchange(ctx context.Context, e registrar.Entry, r *exchanger.Request) (exchanger.Answer, error) {
	c.mu.Lock()
	p := c.pools[poolKey{e.ID, e.Life, e.Address}]
	c.mu.Unlock()
	if p == nil {
		return exchanger.Answer{}, &exchanger.UnsentError{Err: fmt.Errorf("backend server %s is gone", e.ID)}
	}
	return p.Do(ctx, r)
}

// Finished implements forwarder.Core: it records how a request ended at a backend server.
func (c *Conductor) Finished(e registrar.Entry, r scheduler.Report) {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.Done(now, e.ID, e.Life, r)
	if r.Outcome == scheduler.Answered || r.Outcome == scheduler.Shed {
		c.ownership.Leases.Answered(now, e.ID, e.Life)
	}
}

// Misdirected implements forwarder.Core: it records that a backend server refused a key which it
// does not own.
func (c *Conductor) Misdirected(e registrar.Entry, service identifier.Service, key identifier.Point) {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownership.Misdirected(now, e, service, key)
}

// Owned implements forwarder.Core: it records that a backend server served a key, so that it owns
// the key.
func (c *Conductor) Owned(e registrar.Entry, service identifier.Service, key identifier.Point) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownership.Owned(e, service, key)
}

// Replaced implements forwarder.Core: it records that another backend server answers at the address
// of e.
func (c *Conductor) Replaced(e registrar.Entry, by identifier.BackendServer) {
	c.mu.Lock()
	isNew := c.replace(c.clock(), e.ID, e.Life)
	c.mu.Unlock()
	if isNew {
		c.log.WithFields(logrus.Fields{"Server": e.ID, "Life": e.Life, "EntryVersion": e.Version, "Address": e.Address, "By": by}).Info("another backend server answers at the address, traffic to the replaced one ends")
		trigger(c.planTrigger)
		trigger(c.sendTrigger)
	}
}

// replace ends all traffic to an incarnation of a server whose address another server has, and
// reports whether that was not known before. The caller holds the lock.
func (c *Conductor) replace(now time.Time, id identifier.BackendServer, incarnation registrar.Life) bool {
	known, ok := c.view.replaced[id]
	e, registered := c.view.entries[id]
	if !registered || e.Life != incarnation || ok && known == incarnation {
		return false
	}
	c.view.replaced[id] = incarnation
	c.refresh(now)
	return true
}

// MayRepeat implements forwarder.Core: it reports whether the retry budget of a service allows
// another retry, and uses it up if so.
func (c *Conductor) MayRepeat(service identifier.Service, urgent bool) bool {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	budget := c.retryBudgets[service]
	return budget != nil && budget.Take(now, c.ownership.Gossip.Count(now), urgent)
}

// Quarantined implements forwarder.Core: it reports whether requests with a fingerprint are refused
// now.
func (c *Conductor) Quarantined(f answerer.Fingerprint) bool {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes.Blocked(now, f)
}

// Completed implements forwarder.Core: it records that a request with a fingerprint ran without
// crashing its server.
func (c *Conductor) Completed(f answerer.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes.Completed(f)
}

// crashProbeTimeout bounds the check whether a server still accepts connections.
const crashProbeTimeout = 300 * time.Millisecond

// Broke implements forwarder.Core. A server whose connection broke during a request and that then
// accepts no new connection is taken to have crashed; the crash is recorded and reported to the
// other instances.
func (c *Conductor) Broke(e registrar.Entry, f answerer.Fingerprint) {
	c.tasks.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
		defer cancel()
		conn, err := exchanger.Dialer(crashProbeTimeout, crashProbeTimeout).DialContext(ctx, "tcp", e.Address)
		if err == nil {
			_ = conn.Close() // The probe sends nothing.
			return
		}
		now := c.clock()
		c.mu.Lock()
		crash := quarantiner.Crash{Fingerprint: f, Run: quarantiner.Run{Server: e.ID, Life: e.Life}}
		c.crashes.Crashed(now, crash)
		c.crashReports = append(c.crashReports, crashReport{crash, now})
		c.mu.Unlock()
		c.log.WithFields(logrus.Fields{"Server": e.ID, "EntryVersion": e.Version, "Fingerprint": fmt.Sprintf("%x", uint64(f)), "Error": err}).Info("backend server crashed while it ran a request")
		trigger(c.sendTrigger)
	})
}

// latencyBuckets are the bounds of the histogram of request latencies.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

// Observe implements forwarder.Core: it adds a finished request to the metrics.
func (c *Conductor) Observe(o forwarder.Observation) {
	tagged := c.scope.Tagged(map[string]string{"Route": o.Route, "Code": strconv.Itoa(int(o.Code))})
	tagged.Counter("Requests").Inc(1)
	tagged.Histogram("Latency", latencyBuckets).RecordDuration(o.Latency)
}

// operatorHandler serves the metrics and the state dump.
func (c *Conductor) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", c.metrics)
	mux.HandleFunc("/dump", c.serveDump)
	return mux
}

// serveDump writes this process's state as text.
func (c *Conductor) serveDump(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	dump := c.dump(c.clock())
	c.mu.Unlock()
	_, _ = io.WriteString(w, dump) // A write fails only if the client is gone.
}

// dump returns this process's state as text. The caller holds the lock.
func (c *Conductor) dump(now time.Time) string {
	var b strings.Builder
	line := func(format string, args ...any) { b.WriteString(fmt.Sprintf(format, args...) + "\n") }
	line("Instance %s incarnation %d zone %s leaving %t", c.settings.Instance, c.settings.Incarnation, c.settings.Zone, c.leaving)
	if c.view.table != nil {
		line("Config version %d", c.view.table.Version)
	}
	line("Store up %t, shared objects asked for %s ago", c.view.storeDownAt.IsZero(), now.Sub(c.ownership.Asked()).Round(time.Millisecond))
	for _, p := range c.ownership.Gossip.Live(now) {
		line("Peer %s incarnation %d zone %s heard %s ago", p.Instance, p.Incarnation, p.Zone, now.Sub(p.HeardAt).Round(time.Millisecond))
	}
	for cell, r := range c.ownership.Rosters() {
		line("Roster %s version %d holders %v may grant %t", cell, r.Version, r.Holders, c.ownership.May(now, cell))
	}
	for service, a := range c.ownership.Allocations() {
		line("Allocation %s version %d next epoch %d", service, a.Version, a.NextEpoch)
		for _, s := range a.Segments {
			line("  %s owner %s life %d epoch %d moving %t", s.Range, s.Owner, s.Life, s.Epoch, s.Moving)
		}
	}
	running := c.scheduler.Running()
	ids := make([]string, 0, len(c.view.entries))
	for id := range c.view.entries {
		ids = append(ids, string(id))
	}
	sort.Strings(ids)
	for _, id := range ids {
		e := c.view.entries[identifier.BackendServer(id)]
		line("Server %s life %d service %s zone %s running %d usable %t", id, e.Life, e.Service, e.Zone, running[e.ID], e.Usable())
	}
	line("Requests waiting %d", c.scheduler.Waiting())
	return b.String()
}
