// Package conductor runs one entry instance on a platform whose backend servers check grants of
// keys themselves. It connects the mirrors of the platform's objects, the decisions on key
// ownership (custodian) and on routing (scheduler), and the connections to backend servers and
// other instances.
//
// Start with New in conductor.go and run in serving.go; settings.go has what an instance is given.
//
//   - Callers: front.go chooses the server of their connections, which listeners.go bounds; requests.go serves their requests
//     (it implements forwarder.Core); cost.go decides whether they are sent by what they cost. quotas.go keeps the tenants'
//     quotas, quota_start.go those of an installation that starts, and evidence.go tracks how old the configuration may be,
//     for the API keys that it may have lost.
//   - Backend servers: view.go decodes the mirrored objects, freshness.go tracks how old what it shows may be, and leaving.go
//     what servers say of themselves in answers. planning.go plans allocations, granting.go sends grants and releases, and
//     rosters.go writes the shared objects.
//   - Other instances: peers.go exchanges states, writes.go announces what was written, copies.go copies objects, delegation.go
//     lets them take the place of calls to the store, and records.go keeps the records among which bounds are divided.
//   - The platform's store: calls.go counts the calls, outage.go tracks outages, and eras.go acts when the store came back
//     from a copy.
package conductor

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/apportioner"
	"github.com/turmericlift/turmericlift/custodian"
	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/exchanger"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/leaser"
	"github.com/turmericlift/turmericlift/limiter"
	"github.com/turmericlift/turmericlift/mirrorer"
	"github.com/turmericlift/turmericlift/quarantiner"
	"github.com/turmericlift/turmericlift/ranker"
	"github.com/turmericlift/turmericlift/rationer"
	"github.com/turmericlift/turmericlift/registrar"
	"github.com/turmericlift/turmericlift/scheduler"
	"github.com/turmericlift/turmericlift/storer"
	"github.com/turmericlift/turmericlift/supervisor"
	"github.com/turmericlift/turmericlift/transporter"
)

const (
	// grantLeaseDuration is the lease duration of grants. It spans three renewals, so that one
	// lost renewal does no harm, and it is short enough that the keys of a dead server are served
	// again within 5 s.
	grantLeaseDuration = 3 * time.Second
	// grantRenewInterval is the time between two renewals of a grant.
	grantRenewInterval = 700 * time.Millisecond
	// confirmationTimeout is how long an instance may grant after its last confirmation that it is
	// on the roster. It is longer than the outages and network partitions that the platform's
	// documentation names, because a zone that is cut off keeps serving for that long.
	confirmationTimeout = 20 * time.Second
	// watchWait is how long a watch waits for an event. It can be long, because a lost connection
	// shows sooner that the platform is gone.
	watchWait = 20 * time.Second
	// shortWatchWait is how long the configuration watch waits at the planner and at a fraction of
	// the other instances. When the store drops its history, pending watches deliver no events
	// until they are reopened; these instances reopen theirs early enough to tell all others within
	// the bound on the time that a new configuration may take.
	shortWatchWait = 2 * time.Second
	// relayWatchWait takes its place where states are relayed. There the relays use short watches, since only what they have
	// reaches others soon, and the way from them takes more of the bound.
	relayWatchWait = time.Second
	// watchDelay is the time between an event and the next watch, per interval factor. Changes come
	// in groups, and each answer of a watch costs a call.
	watchDelay = 100 * time.Millisecond
	// startWatchDelay takes the place of a shorter watchDelay for backend servers in the startTime after the start: where all
	// start at once, they register one after the other, and nothing can be granted yet.
	startWatchDelay = 500 * time.Millisecond
	startTime       = 3 * time.Second
	// listInterval is the time between two lists of the kind that is not watched, per interval
	// factor.
	listInterval = 4 * time.Second
	// maxListInterval bounds the time between two such lists. It is well within
	// confirmationTimeout, since each list renews the confirmation.
	maxListInterval = 8 * time.Second
)

// Conductor runs one instance. Its exported methods are safe for concurrent use, except Owner,
// whose caller must hold the lock.
type Conductor struct {
	settings Settings
	kinds    Kinds
	codec    Codec
	store    Store
	clock    func() time.Time
	log      *logrus.Entry
	scope    tally.Scope
	metrics  http.Handler

	transport    *transporter.Transport
	mirrors      map[storer.ObjectKind]*mirrorer.Mirror
	planTrigger  chan struct{}
	grantTrigger chan struct{}
	sendTrigger  chan struct{}
	quotaTrigger chan struct{}
	tasks        *supervisor.Group

	mu           sync.Mutex
	startedAt    time.Time
	view         view
	scheduler    *scheduler.Scheduler
	splitter     *director.Splitter
	retryBudgets map[identifier.Service]*limiter.RetryBudget
	ownership    *custodian.Custodian
	keyCounters  map[identifier.Service]*allocator.Counter
	exchanges    map[scheduler.Send]context.CancelCauseFunc // Requests at backend servers.
	crashes      *quarantiner.Quarantiner
	crashReports []crashReport
	recentWrites []recentWrite // Announced to the other instances for a short while.
	// historyLostKind is the kind whose watch reported that the store's history is gone.
	// historyLostBefore is the revision of the list that followed: anything read before it must be
	// listed again.
	historyLostKind   storer.ObjectKind
	historyLostBefore identifier.Version
	watchedForOthers  bool
	lagDetectors      map[storer.ObjectKind]*mirrorer.LagDetector // By kind, for the kinds that are watched.
	pools             map[poolKey]*exchanger.Pool                 // Connections for requests.
	orders            map[poolKey]*exchanger.Pool                 // Connections for grants and releases.
	verified          map[identifier.BackendServer]verification   // What the newest list showed.
	verifyDueAt       time.Time                                   // When a list of servers is due; zero if none is requested.
	leaving           bool
	wasReady          bool           // Set once the instance was ready for the first time.
	sendingTo         map[string]int // By address, the number of messages that are being sent.
	apportioner       *apportioner.Apportioner
	quotas            quotas
	evidence          evidence
	tenantUses        tenantUses
	bodies            *rationer.Rationer                // For the bodies of callers' requests.
	costAware         bool                              // The scheduler decides by costs.
	sharers           int                               // The number of instances among which bounds are divided, as last logged.
	viewWasStale      bool                              // As last logged.
	missingSince      map[identifier.Instance]time.Time // Instances on record that are not heard.
	refreshDue        bool                              // The number of instances changed since the last refresh.
	delegation        delegation
	copyTrigger       chan struct{}
	done              chan error
}

// recentWrite is an object that this instance wrote, or the delta of an allocation that it wrote.
type recentWrite struct {
	at     time.Time
	object storer.Object
	delta  *allocator.Delta
	states int // Number of states that contained it.
}

// poolKey identifies the connections to an incarnation of a backend server at an address.
type poolKey struct {
	id          identifier.BackendServer
	incarnation registrar.Incarnation
	address     string
}

// verification records that a list of the servers requested at a time showed this incarnation of a
// server, at this address.
type verification struct {
	incarnation registrar.Incarnation
	address     string
	requestedAt time.Time
}

// New returns an instance that does nothing until Run is called. All times are read from clock.
// metrics serves the instance's metrics to operators.
func New(s Settings, kinds Kinds, codec Codec, store Store, clock func() time.Time, log *logrus.Entry,
	scope tally.Scope, metrics http.Handler) *Conductor {
	now := clock()
	c := &Conductor{
		settings: s, kinds: kinds, codec: codec, store: store, clock: clock, log: log, scope: scope, metrics: metrics,
		mirrors: map[storer.ObjectKind]*mirrorer.Mirror{}, planTrigger: make(chan struct{}, 1),
		grantTrigger: make(chan struct{}, 1), sendTrigger: make(chan struct{}, 1), copyTrigger: make(chan struct{}, 1), quotaTrigger: make(chan struct{}, 1), startedAt: now,
		splitter: director.NewSplitter(), retryBudgets: map[identifier.Service]*limiter.RetryBudget{},
		keyCounters: map[identifier.Service]*allocator.Counter{}, exchanges: map[scheduler.Send]context.CancelCauseFunc{}, crashes: quarantiner.New(),
		pools: map[poolKey]*exchanger.Pool{}, orders: map[poolKey]*exchanger.Pool{},
		verified:  map[identifier.BackendServer]verification{},
		sendingTo: map[string]int{}, lagDetectors: map[storer.ObjectKind]*mirrorer.LagDetector{}, done: make(chan error, 1),
	}
	c.view, c.bodies, c.quotas = newView(), rationer.New(s.BodyMemory), newQuotas(now, s)
	c.tenantUses = newTenantUses()
	c.apportioner, c.missingSince = apportioner.New(s.Instance), map[identifier.Instance]time.Time{}
	c.ownership = custodian.New(now, custodian.Settings{
		Instance: s.Instance, Incarnation: s.Incarnation, Zone: s.Zone, Address: s.PeerAddress, Capacity: s.Capacity, CellSize: custodian.CellSize,
		Leases: leaser.Settings{LeaseDuration: min(grantLeaseDuration, s.MaxLeaseDuration), RenewInterval: grantRenewInterval, ConfirmationTimeout: confirmationTimeout},
	}, c.logOwnershipEvent)
	c.scheduler = scheduler.New(now, s.Zone, c, c, scheduler.Options{})
	for _, seed := range s.Seeds {
		c.ownership.Gossip.AddHint(seed)
	}
	for _, kind := range []storer.ObjectKind{kinds.Servers, kinds.Config, kinds.Evacuations} {
		c.lagDetectors[kind] = &mirrorer.LagDetector{}
	}
	for _, kind := range []storer.ObjectKind{kinds.Servers, kinds.Config, kinds.Evacuations, kinds.Shared} {
		c.mirrors[kind] = mirrorer.New(kind, c.calls(reasonFollow), c.watchTiming, clock, c.mirrorChanged, c.recordStoreCall,
			func(ctx context.Context, failures int) { c.storeBackoff(ctx, kind, failures) })
	}
	return c
}

// watchTiming returns the intervals at which this instance follows a kind of objects now. They grow
// with the number of instances, because each change costs a call for each instance.
func (c *Conductor) watchTiming(kind storer.ObjectKind) mirrorer.Timing {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if timing, delegated := c.delegatedTiming(now, kind); delegated {
		return timing
	}
	factor := time.Duration(c.ownership.Gossip.IntervalFactor(now))
	timing := mirrorer.Timing{WatchWait: watchWait, WatchDelay: watchDelay * factor}
	switch {
	case kind == c.kinds.Servers && now.Sub(c.startedAt) < startTime:
		timing.WatchDelay = max(timing.WatchDelay, startWatchDelay)
	case kind == c.kinds.Config && c.ownership.Gossip.Relayed():
		if c.watchesForOthers(now) {
			timing.WatchWait = c.evidenceWatchTime(relayWatchWait)
		}
	case kind == c.kinds.Config && (c.usesShortWatch(int(factor)) || c.ownership.Planner(now) == c.settings.Instance):
		timing.WatchWait = shortWatchWait
		if c.ownership.Planner(now) == c.settings.Instance {
			timing.WatchWait = c.evidenceWatchTime(shortWatchWait)
		}
	case kind == c.kinds.Shared: // The instance that writes a shared object sends it to the others.
		timing.WatchWait, timing.ListInterval = 0, min(listInterval*factor, maxListInterval)
		if c.delegates() && c.ownership.Gossip.Forwards() {
			timing.ListInterval = listInterval // Those that follow this instance get the list's age with their copies.
		}
	}
	return timing
}

// watchesForOthers reports whether others rely on this instance to notice a new configuration: it relays or plans. The
// caller holds the lock.
func (c *Conductor) watchesForOthers(now time.Time) bool {
	return c.ownership.Gossip.Forwards() || c.ownership.Planner(now) == c.settings.Instance
}

// usesShortWatch reports whether this instance belongs to the fraction of all instances (one in
// factor) that use short watches to detect that the store's history is gone.
func (c *Conductor) usesShortWatch(factor int) bool {
	return ranker.Weight("history", string(c.settings.Instance))%uint64(factor) == 0
}

// logOwnershipEvent logs an event that the custodian reports.
func (c *Conductor) logOwnershipEvent(event string, fields map[string]any) {
	c.log.WithFields(fields).WithField("Subsystem", "custody").Info(event)
}

// Done returns the channel on which Run reports its end: nil after a drain, or the error that ended
// it early.
func (c *Conductor) Done() <-chan error { return c.done }

// Run serves requests until ctx ends, then drains: it completes the requests that are under way
// within the grace time.
func (c *Conductor) Run(ctx context.Context) {
	tasksCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	c.tasks = supervisor.New(tasksCtx)
	err := c.run(ctx)
	stop()
	c.tasks.Close()
	c.done <- err
}

// trigger wakes the loop that receives from ch, without blocking. A loop that is already triggered
// runs once.
func trigger(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// runEvery calls fn at intervals and whenever triggered receives, until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, triggered <-chan struct{}, fn func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-triggered:
		}
		fn()
	}
}
