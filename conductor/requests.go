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

// crashReport is a crash that is told to the others for a while.
type crashReport struct {
	crash quarantiner.Crash
	at    time.Time
}

// Table implements forwarder.Core.
func (c *Conductor) Table() *director.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.table
}

// Split implements forwarder.Core.
func (c *Conductor) Split(r *director.Route) identifier.Service {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	service := c.splitter.Next(r)
	if repeats := c.repeats[service]; repeats != nil {
		repeats.Request(now)
	}
	return service
}

// Admit implements forwarder.Core.
func (c *Conductor) Admit(ctx context.Context, t *scheduler.Ticket) (scheduler.Decision, bool) {
	now := c.clock()
	c.mu.Lock()
	if t.Keyed {
		counter := c.heat[t.Service]
		if counter == nil {
			counter = allocator.NewCounter(now)
			c.heat[t.Service] = counter
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

// Exchange implements forwarder.Core.
func (c *Conductor) Exchange(ctx context.Context, e registrar.Entry, r *exchanger.Request) (exchanger.Answer, error) {
	c.mu.Lock()
	p := c.pools[poolKey{e.ID, e.Life, e.Address}]
	c.mu.Unlock()
	if p == nil {
		return exchanger.Answer{}, &exchanger.UnsentError{Err: fmt.Errorf("backend server %s is gone", e.ID)}
	}
	return p.Do(ctx, r)
}

// Finished implements forwarder.Core.
func (c *Conductor) Finished(e registrar.Entry, r scheduler.Report) {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.Done(now, e.ID, e.Life, r)
	if r.Outcome == scheduler.Answered || r.Outcome == scheduler.Shed {
		c.custody.Leases.Answered(now, e.ID, e.Life)
	}
}

// Misdirected implements forwarder.Core.
func (c *Conductor) Misdirected(e registrar.Entry, service identifier.Service, key identifier.Point) {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.custody.Misdirected(now, e, service, key)
}

// Owned implements forwarder.Core.
func (c *Conductor) Owned(e registrar.Entry, service identifier.Service, key identifier.Point) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.custody.Owned(e, service, key)
}

// Replaced implements forwarder.Core.
func (c *Conductor) Replaced(e registrar.Entry, by identifier.BackendServer) {
	c.mu.Lock()
	news := c.replace(c.clock(), e.ID, e.Life)
	c.mu.Unlock()
	if news {
		c.log.WithFields(logrus.Fields{"Server": e.ID, "Life": e.Life, "EntryVersion": e.Version, "Address": e.Address, "By": by}).Info("another backend server has the address")
		kick(c.planKick)
		kick(c.sendKick)
	}
}

// replace ends all traffic to a life whose address another server has, and reports whether
// that is news. The caller holds the lock.
func (c *Conductor) replace(now time.Time, id identifier.BackendServer, life registrar.Life) bool {
	known, ok := c.view.replaced[id]
	e, registered := c.view.entries[id]
	if !registered || e.Life != life || ok && known == life {
		return false
	}
	c.view.replaced[id] = life
	c.refresh(now)
	return true
}

// MayRepeat implements forwarder.Core.
func (c *Conductor) MayRepeat(service identifier.Service, urgent bool) bool {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	repeats := c.repeats[service]
	return repeats != nil && repeats.Take(now, c.custody.Gossip.Count(now), urgent)
}

// Quarantined implements forwarder.Core.
func (c *Conductor) Quarantined(f answerer.Fingerprint) bool {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes.Blocked(now, f)
}

// Completed implements forwarder.Core.
func (c *Conductor) Completed(f answerer.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes.Completed(f)
}

// crashProbe bounds the look at whether a server is still there.
const crashProbe = 300 * time.Millisecond

// Broke implements forwarder.Core: a server that takes no connection after one broke has
// crashed.
func (c *Conductor) Broke(e registrar.Entry, f answerer.Fingerprint) {
	c.tasks.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, crashProbe)
		defer cancel()
		conn, err := exchanger.Dialer(crashProbe, crashProbe).DialContext(ctx, "tcp", e.Address)
		if err == nil {
			_ = conn.Close() // Nothing was sent on it.
			return
		}
		now := c.clock()
		c.mu.Lock()
		crash := quarantiner.Crash{Fingerprint: f, Run: quarantiner.Run{Server: e.ID, Life: e.Life}}
		c.crashes.Crashed(now, crash)
		c.reported = append(c.reported, crashReport{crash, now})
		c.mu.Unlock()
		c.log.WithFields(logrus.Fields{"Server": e.ID, "EntryVersion": e.Version, "Fingerprint": fmt.Sprintf("%x", uint64(f)), "Error": err}).Info("backend server crashed under a request")
		kick(c.sendKick)
	})
}

// latencyBuckets are the bounds of the histogram of requests' latencies.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

// Observe implements forwarder.Core.
func (c *Conductor) Observe(o forwarder.Observation) {
	tagged := c.scope.Tagged(map[string]string{"Route": o.Route, "Code": strconv.Itoa(int(o.Code))})
	tagged.Counter("Requests").Inc(1)
	tagged.Histogram("Latency", latencyBuckets).RecordDuration(o.Latency)
}

// operatorHandler serves metrics and the dump.
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
	_, _ = io.WriteString(w, dump) // Whoever asked has left.
}

// dump returns this process's state. The caller holds the lock.
func (c *Conductor) dump(now time.Time) string {
	var b strings.Builder
	line := func(format string, args ...any) { b.WriteString(fmt.Sprintf(format, args...) + "\n") }
	line("Instance %s incarnation %d zone %s leaving %t", c.settings.Instance, c.settings.Incarnation, c.settings.Zone, c.leaving)
	if c.view.table != nil {
		line("Config version %d", c.view.table.Version)
	}
	line("Store up %t, shared objects asked for %s ago", c.view.storeDownAt.IsZero(), now.Sub(c.custody.Asked()).Round(time.Millisecond))
	for _, p := range c.custody.Gossip.Live(now) {
		line("Peer %s incarnation %d zone %s heard %s ago", p.Instance, p.Incarnation, p.Zone, now.Sub(p.HeardAt).Round(time.Millisecond))
	}
	for cell, r := range c.custody.Rosters() {
		line("Roster %s version %d holders %v may grant %t", cell, r.Version, r.Holders, c.custody.May(now, cell))
	}
	for service, a := range c.custody.Allocations() {
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
