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

// The time bounds that the checks apply. They are those of the users' sites, which the
// settings of the processes name.
const (
	heartbeatInterval = 500 * time.Millisecond
	stabilizationTime = 3 * time.Second        // Time bounds are not checked for this long after a fault.
	drainTime         = 2 * time.Second        // Limit for the last new request to a backend server that leaves.
	configApplyTime   = 2 * time.Second        // Limit for all instances to apply a configuration.
	evacuationTime    = 5 * time.Second        // Limit for the last new request to a zone that is evacuated.
	recoveryTime      = 15 * time.Second       // Limit for all requests to be served after the last fault.
	shutdownMargin    = 200 * time.Millisecond // Last part of a shutdown's grace period, in which requests may break off.
)

var bounds = platform.Bounds{
	GraceTime: 6 * time.Second, DrainTime: drainTime, EvacuationTime: evacuationTime, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 56,
	ColdOvershoot: 1.5, ColdSlack: 5, MaxLeaseDuration: 10 * time.Second,
}

const (
	host           = "soak.example"
	keyedService   = identifier.Service("invoices")
	pooledService  = identifier.Service("receipts")
	keyedBackends  = 6
	pooledBackends = 3
)

// environment holds everything outside the processes under test in one run: the
// simulated store, backend servers and links, and the checker.
type environment struct {
	checker   *checker
	objects   *imitator.ObjectStore
	tasks     *supervisor.Group
	instances []*instance
	backends  []*backend

	mu              sync.Mutex
	storeFaultAt    time.Time // Last time at which a fault of the store was in force.
	configVersion   uint64
	configWrittenAt time.Time                     // Time at which configVersion was written to the store.
	evacuatedAt     map[identifier.Zone]time.Time // Start of the evacuation, for each zone that is being evacuated.
	observedConfigs map[*instance]observedConfig
}

// observedConfig is the newest configuration that an instance's process has been seen to
// apply.
type observedConfig struct {
	starts  int // Identifies the process; see instance.starts.
	version uint64
}

// newEnvironment starts the simulators and the links. The processes of the instances are
// not started. On an error it returns no environment; what it has started ends with ctx.
func newEnvironment(ctx context.Context, now time.Time, cfg Config, seed int64, folder string, tasks *supervisor.Group) (*environment, error) {
	env := &environment{
		checker: newChecker(now), objects: imitator.NewObjectStore(), tasks: tasks,
		evacuatedAt: map[identifier.Zone]time.Time{}, observedConfigs: map[*instance]observedConfig{},
	}
	for n := range keyedBackends + pooledBackends {
		b := &backend{number: n, zone: identifier.Zone([]string{"a", "b"}[n%2]), env: env, rng: rand.New(rand.NewSource(seed + int64(n)))}
		b.service, b.keyed = pooledService, false
		if n < keyedBackends {
			b.service, b.keyed = keyedService, true
		}
		b.replace(now, false)
		b.coldUntil = time.Time{}
		b.writeEntry()
		env.backends = append(env.backends, b)
	}
	env.writeConfig(now)
	for n := range cfg.Instances {
		inst, err := newInstance(n, cfg.Program, folder)
		if err != nil {
			return nil, err
		}
		if err := env.connect(ctx, inst); err != nil {
			return nil, err
		}
		env.instances = append(env.instances, inst)
	}
	return env, nil
}

// connect opens the instance's own listeners of the store and of each backend server and
// puts a link in front of each.
func (env *environment) connect(ctx context.Context, inst *instance) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen as the store: %w", err)
	}
	store := impersonator.NewStore(env.objects, func(kind storer.ObjectKind, o storer.Object) storer.Object { return env.replaceAddress(inst, kind, o) },
		func(call, why string) {
			env.checker.recordViolation(time.Now(), CheckIntegrity, "malformed call of the store %s: %s", call, why)
		})
	server := &http.Server{Handler: store, ReadHeaderTimeout: 5 * time.Second}
	env.tasks.Go(func(context.Context) { _ = server.Serve(listener) }) // Serve returns an error after every Close.
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if inst.storeLink, err = newLink(ctx, env.tasks, listener.Addr().String()); err != nil {
		return err
	}
	inst.settings.StoreAddress = inst.storeLink.address()
	for _, b := range env.backends {
		address, err := b.listenFor(ctx, inst)
		if err != nil {
			return err
		}
		l, err := newLink(ctx, env.tasks, address)
		if err != nil {
			return err
		}
		inst.serverLinks = append(inst.serverLinks, l)
	}
	return nil
}

// replaceAddress returns an object of the store as the instance reads it: in the entry of
// a backend server the address is that of the instance's own link to the server. Other
// objects are returned unchanged.
func (env *environment) replaceAddress(inst *instance, kind storer.ObjectKind, o storer.Object) storer.Object {
	if kind != platform.KindServers {
		return o
	}
	found, err := platform.DecodeEntry(o)
	if err != nil {
		return o
	}
	for n, b := range env.backends {
		b.mu.Lock()
		matches := b.name == found.ID
		b.mu.Unlock()
		if matches {
			found.Address = inst.serverLinks[n].address()
			o.Data = impersonator.EncodeEntry(found)
			return o
		}
	}
	return o
}

// trialPath returns the path of a route that exists only in the given version of the
// configuration, so that a request to it shows whether an instance applies that version.
func trialPath(version uint64) string { return fmt.Sprintf("/trial-%d/", version) }

// writeConfig writes the next version of the configuration to the store.
func (env *environment) writeConfig(now time.Time) {
	env.mu.Lock()
	version := env.configVersion + 1
	env.mu.Unlock()
	route := func(name, prefix string, idempotent bool, service identifier.Service, priority director.Priority) director.Route {
		return director.Route{Name: name, Host: host, PathPrefix: prefix, Idempotent: idempotent, Timeout: callerTimeout, TargetLatency: callerTimeout / 4,
			Priority: priority, MaxAttempts: 2, Shares: []director.Share{{Service: service, Weight: 1}}}
	}
	data, err := impersonator.EncodeConfig(version, []director.Route{
		route("reads", "/keyed/read/", true, keyedService, 2), route("writes", "/keyed/write/", false, keyedService, 1),
		route("lists", "/pooled/read/", true, pooledService, 1), route("signs", "/pooled/write/", false, pooledService, 0),
		route("trial", trialPath(version), true, pooledService, 2),
	}, []director.Service{
		{Name: keyedService, HealthPath: impersonator.HealthPath, MaxConnections: 100, ColdFor: coldTime, ColdRate: coldRate, Keyed: true, WarmUp: time.Second},
		{Name: pooledService, HealthPath: impersonator.HealthPath, MaxConnections: 100, ColdFor: coldTime, ColdRate: coldRate},
	})
	if err != nil {
		panic(err) // The configuration is fixed in this function and can always be encoded.
	}
	env.objects.Put(platform.KindConfig, platform.ConfigObjectName, nil, data)
	env.mu.Lock()
	defer env.mu.Unlock()
	env.configVersion, env.configWrittenAt = version, now
}

// setEvacuated starts or ends the evacuation of a zone. New requests must not go to the
// backend servers of a zone that is being evacuated.
func (env *environment) setEvacuated(now time.Time, zone identifier.Zone, evacuated bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if evacuated {
		env.objects.Put(platform.KindEvacuations, string(zone), nil, []byte("{}"))
		env.evacuatedAt[zone] = now
	} else {
		env.objects.Delete(platform.KindEvacuations, string(zone), nil)
		delete(env.evacuatedAt, zone)
	}
}

// recordStoreFault records that a fault of the store was in force at now.
func (env *environment) recordStoreFault(now time.Time) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.storeFaultAt = now
}

// storeStable reports whether the last fault of the store was more than stabilizationTime
// before at.
func (env *environment) storeStable(at time.Time) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.storeFaultAt.Before(at.Add(-stabilizationTime))
}

// checkArrival checks a request that reached a backend server and was handled with reply:
// it must not come too late after the server began to leave or its zone was evacuated,
// nor exceed the rate of a cold server. The caller holds the server's lock.
func (env *environment) checkArrival(now time.Time, s endpoint, r impersonator.Request, reply impersonator.Reply) {
	if reply == impersonator.Unreachable {
		return
	}
	env.checker.addArrival(now, r.ID, s.service)
	if reply == impersonator.Misdirected {
		return
	}
	env.checkNotice(now, s, r.ID)
	undisturbed := s.instance.undisturbed(now, s.instance.serverLinks[s.number])
	if leaving := s.leavingSince; !leaving.IsZero() && now.Sub(leaving) > drainTime && undisturbed && env.storeStable(leaving) && env.storeStable(now) {
		env.checker.recordViolation(now, CheckDrain, "backend server %s got request %s from instance %s %s after the server began to leave",
			s.name, r.ID, s.instance.settings.Instance, now.Sub(leaving))
	}
	env.mu.Lock()
	evacuatedAt, evacuated := env.evacuatedAt[s.zone]
	env.mu.Unlock()
	if evacuated && now.Sub(evacuatedAt) > evacuationTime && undisturbed && env.storeStable(evacuatedAt) && env.storeStable(now) {
		env.checker.recordViolation(now, CheckDrain, "backend server %s got request %s from instance %s %s after the evacuation of zone %s began",
			s.name, r.ID, s.instance.settings.Instance, now.Sub(evacuatedAt), s.zone)
	}
	if now.Before(s.coldUntil) {
		env.checkColdRate(now, s)
	}
}

// checkColdRate counts a request to a cold backend server and checks the number of the
// last second against the limit. If the link to the server was disturbed recently the
// request is not counted, since the link may have held it up. The caller holds the
// server's lock.
func (env *environment) checkColdRate(now time.Time, s endpoint) {
	if _, changed := s.instance.serverLinks[s.number].state(); now.Sub(changed) < stabilizationTime {
		return
	}
	s.coldArrivals = append(s.coldArrivals, now)
	n := countBetween(s.coldArrivals, now.Add(-time.Second), now.Add(time.Nanosecond))
	if allowed := coldRate*bounds.ColdOvershoot + bounds.ColdSlack; float64(n) > allowed {
		env.checker.recordViolation(now, CheckCold, "cold backend server %s got %d requests within 1 s; the limit is %.0f", s.name, n, allowed)
	}
}

// checkRun checks a request that a backend server begins to run: another server that also
// holds the request's key must not have begun a request on it since both have held it.
func (env *environment) checkRun(now time.Time, s endpoint, r impersonator.Request, by serverIncarnation) {
	env.checker.addRun(now, r.ID, by)
	if !s.keyed {
		return
	}
	_, heldSince, _ := s.holdsKey(now, r.Key)
	for _, other := range env.backends {
		if otherHolder, since, holds := other.holdsKey(now, r.Key); holds && otherHolder != by {
			if heldSince.After(since) {
				since = heldSince
			}
			env.checker.checkOwnerOverlap(now, r.Key, by, otherHolder, since)
		}
	}
	env.checker.addKeyRun(now, r.Key, by)
}
