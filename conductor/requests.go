package conductor

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
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
		budget.RecordRequest(now)
	}
	return service
}

// Admit implements forwarder.Core: it counts the request's key and waits for the scheduler's
// decision. It returns false if ctx ends first; a slot that was assigned at the same moment is
// given back.
func (c *Conductor) Admit(ctx context.Context, r *scheduler.PendingRequest) (scheduler.Decision, bool) {
	now := c.clock()
	c.mu.Lock()
	if r.Keyed {
		counter := c.keyCounters[r.Service]
		if counter == nil {
			counter = allocator.NewCounter(now)
			c.keyCounters[r.Service] = counter
		}
		counter.AddWork(r.Key, c.scheduler.KeyWork(r.Class))
	}
	c.scheduler.Enqueue(now, r)
	c.mu.Unlock()
	select {
	case d := <-r.Decided:
		c.countDecision(r, d)
		return d, true
	case <-ctx.Done():
	}
	c.mu.Lock()
	c.scheduler.Cancel(r)
	c.mu.Unlock()
	select {
	case d := <-r.Decided:
		if d.Reason == scheduler.NotRefused {
			c.RecordOutcome(d.Server, scheduler.Report{Outcome: scheduler.Cancelled, Send: d.Send})
		}
	default:
	}
	return scheduler.Decision{}, false
}

// Exchange implements forwarder.Core: it sends a request to a backend server and returns its
// answer. The error is an *exchanger.UnsentError if the server is no longer known.
func (c *Conductor) Exchange(ctx context.Context, e registrar.Entry, send scheduler.Send, r *exchanger.Request) (exchanger.Answer, error) {
	// The context is cancelled here only if the server is silent: the rest of a large answer is read after the return.
	ctx, cancel := context.WithCancelCause(ctx)
	c.mu.Lock()
	p := c.pools[poolKey{e.ID, e.Incarnation, e.Address}]
	c.exchanges[send] = cancel
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.exchanges, send)
		c.mu.Unlock()
	}()
	if p == nil {
		return exchanger.Answer{}, &exchanger.UnsentError{Err: fmt.Errorf("backend server %s is gone", e.ID)}
	}
	return p.Do(ctx, r)
}

// endSilent ends the exchanges of requests that their servers will not answer. The caller holds the lock.
func (c *Conductor) endSilent() {
	for _, send := range c.scheduler.TakeSilent() {
		if cancel, ok := c.exchanges[send]; ok && !c.leaving { // There may be no time for another attempt.
			cancel(forwarder.ErrSilent)
		}
	}
}

// probeTimeout bounds a call of a server's health path, which answers at once.
const probeTimeout = 400 * time.Millisecond

// probe calls the health path of a server, to learn from its load whether it knows the requests that it has not answered.
func (c *Conductor) probe(ctx context.Context, e registrar.Entry) {
	c.mu.Lock()
	_, p := c.orderPool(e.ID, e.Incarnation)
	path := ""
	if c.view.table != nil {
		path = c.view.table.Services[e.Service].HealthPath
	}
	c.mu.Unlock()
	if p == nil || path == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	a, err := p.Do(ctx, c.healthRequest(e, path))
	a.Close()
	if err != nil {
		c.log.WithFields(logrus.Fields{"Server": e.ID, "Error": err}).Debug("health path was not answered, requests at the server go on waiting")
		return
	}
	var r scheduler.Report
	c.codec.HeaderNames.ReadLoad(a.Header, &r)
	c.log.WithFields(logrus.Fields{"Server": e.ID, "Status": a.Status, "HasLoad": r.HasLoad, "Running": r.Running, "Waiting": r.Waiting}).Info("backend server probed because a request there has no answer")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.RecordProbe(c.clock(), e.ID, e.Incarnation, r)
	c.endSilent()
}

// sweepInterval is the time between two checks of all idle connections to backend servers.
const sweepInterval = 3 * time.Second

// sweepLoop closes idle connections that cannot be used any more, until ctx ends.
func (c *Conductor) sweepLoop(ctx context.Context) {
	runEvery(ctx, sweepInterval, nil, func() {
		c.mu.Lock()
		pools := slices.AppendSeq(slices.Collect(maps.Values(c.pools)), maps.Values(c.orders))
		c.mu.Unlock()
		for _, p := range pools {
			p.Sweep()
		}
	})
}

// RecordOutcome implements forwarder.Core: it records how a request ended at a backend server.
func (c *Conductor) RecordOutcome(e registrar.Entry, r scheduler.Report) {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.RecordOutcome(now, e.ID, e.Incarnation, r)
	c.countEstimate(r)
	if r.Notice.RetryAfter > 0 {
		c.scope.Counter("RetryAfterPauses").Inc(1)
	}
	if r.Notice.Leaving {
		c.recordLeaving(now, e)
	}
	c.endSilent()
	if r.Outcome == scheduler.Answered || r.Outcome == scheduler.Shed {
		c.ownership.Leases.RecordAnswer(now, e.ID, e.Incarnation)
	}
}

// RecordNotOwner implements forwarder.Core: it records that a backend server refused a key which it
// does not own.
func (c *Conductor) RecordNotOwner(e registrar.Entry, service identifier.Service, key identifier.ShardKey) {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownership.RecordNotOwner(now, e, service, key)
}

// RecordOwner implements forwarder.Core: it records that a backend server served a key, so that it owns
// the key.
func (c *Conductor) RecordOwner(e registrar.Entry, service identifier.Service, key identifier.ShardKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownership.RecordOwner(e, service, key)
}

// RecordReplaced implements forwarder.Core: it records that another backend server answers at the address
// of e.
func (c *Conductor) RecordReplaced(e registrar.Entry, by identifier.BackendServer) {
	c.mu.Lock()
	isNew := c.replace(c.clock(), e.ID, e.Incarnation)
	c.mu.Unlock()
	if isNew {
		c.log.WithFields(logrus.Fields{"Server": e.ID, "Life": e.Incarnation, "EntryVersion": e.Version, "Address": e.Address, "By": by}).Info("another backend server answers at the address, traffic to the replaced one ends")
		trigger(c.planTrigger)
		trigger(c.sendTrigger)
	}
}

// replace ends all traffic to an incarnation of a server whose address another server has, and
// reports whether that was not known before. The caller holds the lock.
func (c *Conductor) replace(now time.Time, id identifier.BackendServer, incarnation registrar.Incarnation) bool {
	known, ok := c.view.replaced[id]
	e, registered := c.view.entries[id]
	if !registered || e.Incarnation != incarnation || ok && known == incarnation {
		return false
	}
	c.view.replaced[id] = incarnation
	c.refresh(now)
	return true
}

// MayRetry implements forwarder.Core: it reports whether the retry budget of a service allows
// another retry, and uses it up if so.
func (c *Conductor) MayRetry(service identifier.Service, urgent bool) bool {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	budget := c.retryBudgets[service]
	return budget != nil && budget.AllowRetry(now, c.apportioner.Sharers(now), urgent)
}

// IsQuarantined implements forwarder.Core: it reports whether requests with a fingerprint are refused
// now.
func (c *Conductor) IsQuarantined(f answerer.Fingerprint) bool {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes.Blocked(now, f)
}

// RecordCompletion implements forwarder.Core: it records that a request with a fingerprint ran without
// crashing its server.
func (c *Conductor) RecordCompletion(f answerer.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes.RecordCompletion(f)
}

// crashProbeTimeout bounds the check whether a server still accepts connections.
const crashProbeTimeout = 300 * time.Millisecond

// RecordBrokenConnection implements forwarder.Core. A server whose connection broke during a request
// and that then accepts no new connection is taken to have crashed; the crash is recorded and
// reported to the other instances.
func (c *Conductor) RecordBrokenConnection(e registrar.Entry, f answerer.Fingerprint) {
	c.tasks.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
		defer cancel()
		conn, err := exchanger.NewDialer(crashProbeTimeout, crashProbeTimeout).DialContext(ctx, "tcp", e.Address)
		if err == nil {
			_ = conn.Close() // The probe sends nothing.
			return
		}
		now := c.clock()
		c.mu.Lock()
		crash := quarantiner.Crash{Fingerprint: f, Run: quarantiner.Run{Server: e.ID, ServerIncarnation: e.Incarnation}}
		c.crashes.RecordCrash(now, crash)
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
	if o.Late {
		c.scope.Tagged(map[string]string{"Route": o.Route}).Counter("LateAnswers").Inc(1)
	}
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
	if era := c.view.era.present; era > 0 {
		line("Store era %d, an allocation of it is missing %t", era, c.ownership.AwaitsAllocations())
	}
	line("Store up %t, shared objects requested %s ago", c.view.storeDownAt.IsZero(), now.Sub(c.ownership.RequestedAt()).Round(time.Millisecond))
	for _, p := range c.ownership.Gossip.Live(now) {
		line("Peer %s incarnation %d zone %s heard %s ago", p.Instance, p.Incarnation, p.Zone, now.Sub(p.HeardAt).Round(time.Millisecond))
	}
	for cell, r := range c.ownership.Rosters() {
		line("Roster %s version %d holders %v may grant %t", cell, r.Version, r.Holders, c.ownership.MayGrant(now, cell))
	}
	for service, a := range c.ownership.Allocations() {
		line("Allocation %s version %d next epoch %d", service, a.Version, a.NextEpoch)
		for _, s := range a.Segments {
			line("  %s owner %s incarnation %d epoch %d moving %t", s.Range, s.Owner, s.Incarnation, s.Epoch, s.Moving)
		}
	}
	c.dumpTenants(now, line)
	line("Bounds shared by %d instances, changes of backend servers known up to %s ago", c.apportioner.Sharers(now), c.viewAge(now).Round(time.Millisecond))
	running := c.scheduler.RunningByServer()
	ids := make([]string, 0, len(c.view.entries))
	for id := range c.view.entries {
		ids = append(ids, string(id))
	}
	sort.Strings(ids)
	for _, id := range ids {
		e := c.view.entries[identifier.BackendServer(id)]
		line("Server %s incarnation %d service %s zone %s running %d usable %t cold %s", id, e.Incarnation, e.Service, e.Zone, running[e.ID], e.Usable(),
			max(c.coldUntil(e).Sub(now), 0).Round(time.Millisecond))
	}
	line("Requests waiting %d", c.scheduler.WaitingCount())
	return b.String()
}
