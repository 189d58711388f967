package soaker

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/imitator"
	"github.com/turmericlift/turmericlift/platform"
	"github.com/turmericlift/turmericlift/platform/impersonator"
	"github.com/turmericlift/turmericlift/storer"
	"github.com/turmericlift/turmericlift/supervisor"
)

// The bounds that the soak holds the programs to: those of the users' sites, which their
// settings name.
const (
	heartbeat   = 500 * time.Millisecond
	contactTime = 3 * time.Second // After a fault, until bounds hold again.
	drainTime   = 2 * time.Second
	applyTime   = 2 * time.Second // For a configuration.
	clearTime   = 5 * time.Second // For a zone that is taken out.
	recoverTime = 15 * time.Second
	cutSlack    = 200 * time.Millisecond // Before the end of the time that a shutdown has.
)

var bounds = platform.Bounds{
	GraceTime: 6 * time.Second, DrainTime: drainTime, ClearTime: clearTime, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 56,
	ColdOvershoot: 1.5, ColdSlack: 5, MaxHold: 10 * time.Second,
}

const (
	host           = "soak.example"
	keyedService   = identifier.Service("invoices")
	pooledService  = identifier.Service("receipts")
	keyedBackends  = 6
	pooledBackends = 3
)

// world is the surroundings of the entry instances in one run.
type world struct {
	judge    *judge
	objects  *imitator.Objects
	tasks    *supervisor.Group
	entries  []*entry
	backends []*backend

	mu            sync.Mutex
	storeTouched  time.Time // When a fault of the store was last in force.
	configVersion uint64
	configAt      time.Time // When the store took it in.
	outAt         map[identifier.Zone]time.Time
	seen          map[*entry]observed
}

// observed is the newest configuration whose effect an instance's process has shown.
type observed struct {
	starts  int
	version uint64
}

// newWorld starts the stand-ins and the links. Nothing runs behind the instances' addresses
// yet.
func newWorld(ctx context.Context, now time.Time, cfg Config, seed int64, folder string, tasks *supervisor.Group) (*world, error) {
	w := &world{
		judge: newJudge(now), objects: imitator.NewObjects(), tasks: tasks,
		outAt: map[identifier.Zone]time.Time{}, seen: map[*entry]observed{},
	}
	for n := range keyedBackends + pooledBackends {
		b := &backend{number: n, zone: identifier.Zone([]string{"a", "b"}[n%2]), world: w, rng: rand.New(rand.NewSource(seed + int64(n)))}
		b.service, b.keyed = pooledService, false
		if n < keyedBackends {
			b.service, b.keyed = keyedService, true
		}
		b.replace(now, false)
		b.coldTill = time.Time{}
		b.list()
		w.backends = append(w.backends, b)
	}
	w.configure(now)
	for n := range cfg.Instances {
		e, err := newEntry(n, cfg.Program, folder)
		if err != nil {
			return nil, err
		}
		if err := w.connect(ctx, e); err != nil {
			return nil, err
		}
		w.entries = append(w.entries, e)
	}
	return w, nil
}

// connect gives an instance its links.
func (w *world) connect(ctx context.Context, e *entry) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	store := impersonator.NewStore(w.objects, func(kind storer.ObjectKind, o storer.Object) storer.Object { return w.view(e, kind, o) },
		func(call, why string) {
			w.judge.violated(time.Now(), CheckMixed, "call of the store %s: %s", call, why)
		})
	server := &http.Server{Handler: store, ReadHeaderTimeout: 5 * time.Second}
	w.tasks.Go(func(context.Context) { _ = server.Serve(listener) }) // It ends by Close.
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if e.store, err = newLink(ctx, w.tasks, listener.Addr().String()); err != nil {
		return err
	}
	e.settings.StoreAddress = e.store.address()
	for _, b := range w.backends {
		address, err := b.serveTo(ctx, e)
		if err != nil {
			return err
		}
		l, err := newLink(ctx, w.tasks, address)
		if err != nil {
			return err
		}
		e.servers = append(e.servers, l)
	}
	return nil
}

// view puts an instance's own link in place of a backend server's address.
func (w *world) view(e *entry, kind storer.ObjectKind, o storer.Object) storer.Object {
	if kind != platform.KindServers {
		return o
	}
	found, err := platform.DecodeEntry(o)
	if err != nil {
		return o
	}
	for n, b := range w.backends {
		b.mu.Lock()
		mine := b.name == found.ID
		b.mu.Unlock()
		if mine {
			found.Address = e.servers[n].address()
			o.Data = impersonator.Entry(found)
			return o
		}
	}
	return o
}

// trial is the route that one version of the configuration has only.
func trial(version uint64) string { return fmt.Sprintf("/trial-%d/", version) }

// configure writes the next version of the configuration.
func (w *world) configure(now time.Time) {
	w.mu.Lock()
	version := w.configVersion + 1
	w.mu.Unlock()
	route := func(name, prefix string, safe bool, service identifier.Service, rank director.Rank) director.Route {
		return director.Route{Name: name, Host: host, PathPrefix: prefix, Idempotent: safe, Timeout: callerTime, Target: callerTime / 4,
			Rank: rank, MaxAttempts: 2, Parts: []director.Part{{Service: service, Weight: 1}}}
	}
	data, err := impersonator.Config(version, []director.Route{
		route("reads", "/keyed/read/", true, keyedService, 2), route("writes", "/keyed/write/", false, keyedService, 1),
		route("lists", "/pooled/read/", true, pooledService, 1), route("signs", "/pooled/write/", false, pooledService, 0),
		route("trial", trial(version), true, pooledService, 2),
	}, []director.Service{
		{Name: keyedService, HealthPath: "/health", MaxConnections: 100, ColdFor: coldFor, ColdRate: coldRate, Keyed: true, WarmUp: time.Second},
		{Name: pooledService, HealthPath: "/health", MaxConnections: 100, ColdFor: coldFor, ColdRate: coldRate},
	})
	if err != nil {
		panic(err) // The configuration is the soak's own.
	}
	w.objects.Put(platform.KindConfig, platform.ObjectConfig, nil, data)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.configVersion, w.configAt = version, now
}

// takeOut asks that a zone's backend servers get nothing, or ends that.
func (w *world) takeOut(now time.Time, zone identifier.Zone, out bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if out {
		w.objects.Put(platform.KindEvacuations, string(zone), nil, []byte("{}"))
		w.outAt[zone] = now
	} else {
		w.objects.Delete(platform.KindEvacuations, string(zone))
		delete(w.outAt, zone)
	}
}

// touchStore notes that a fault of the store was in force.
func (w *world) touchStore(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeTouched = now
}

// storeStable reports whether the store has been without a fault since some time before at.
func (w *world) storeStable(at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeTouched.Before(at.Add(-contactTime))
}

// arrived checks a request that reaches a backend server. The caller holds the server's
// lock.
func (w *world) arrived(now time.Time, f face, r impersonator.Request, reply impersonator.Reply) {
	if reply == impersonator.Down {
		return
	}
	w.judge.arrived(now, r.ID, f.service)
	if reply == impersonator.Misdirected {
		return
	}
	inTouch := f.entry.inTouch(now, f.entry.servers[f.number])
	if left := f.leftAt; !left.IsZero() && now.Sub(left) > drainTime && inTouch && w.storeStable(left) && w.storeStable(now) {
		w.judge.violated(now, CheckDrain, "%s gets request %s from %s %s after it left", f.name, r.ID, f.entry.settings.Instance, now.Sub(left))
	}
	w.mu.Lock()
	out, isOut := w.outAt[f.zone]
	w.mu.Unlock()
	if isOut && now.Sub(out) > clearTime && inTouch && w.storeStable(out) && w.storeStable(now) {
		w.judge.violated(now, CheckDrain, "%s gets request %s from %s %s after zone %s was taken out", f.name, r.ID, f.entry.settings.Instance, now.Sub(out), f.zone)
	}
	if now.Before(f.coldTill) {
		w.checkCold(now, f)
	}
}

// checkCold counts what a cold server gets in a second. Requests that a link held up do not
// count. The caller holds the server's lock.
func (w *world) checkCold(now time.Time, f face) {
	if _, changed := f.entry.servers[f.number].state(); now.Sub(changed) < contactTime {
		return
	}
	f.arrivals = append(f.arrivals, now)
	n := countBetween(f.arrivals, now.Add(-time.Second), now.Add(time.Nanosecond))
	if allowed := coldRate*bounds.ColdOvershoot + bounds.ColdSlack; float64(n) > allowed {
		w.judge.violated(now, CheckCold, "%s gets %d requests in a second, %.0f are allowed", f.name, n, allowed)
	}
}

// began takes in that a request begins to run.
func (w *world) began(now time.Time, f face, r impersonator.Request, by holder) {
	w.judge.ran(now, r.ID, by)
	if !f.keyed {
		return
	}
	_, mine, _ := f.holds(now, r.Key)
	for _, other := range w.backends {
		if theirs, since, holds := other.holds(now, r.Key); holds && theirs != by {
			if mine.After(since) {
				since = mine
			}
			w.judge.overlap(now, r.Key, by, theirs, since)
		}
	}
	w.judge.keyRan(now, r.Key, by)
}
