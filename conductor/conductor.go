// Package conductor runs one entry instance on a platform whose backend servers take
// grants themselves: it joins the mirrors of the platform's objects, the decisions on
// who owns which key and where requests go, and the connections that carry them out.
package conductor

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/custodian"
	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/exchanger"
	"github.com/turmericlift/turmericlift/forwarder"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/leaser"
	"github.com/turmericlift/turmericlift/limiter"
	"github.com/turmericlift/turmericlift/mirrorer"
	"github.com/turmericlift/turmericlift/quarantiner"
	"github.com/turmericlift/turmericlift/ranker"
	"github.com/turmericlift/turmericlift/registrar"
	"github.com/turmericlift/turmericlift/scheduler"
	"github.com/turmericlift/turmericlift/storer"
	"github.com/turmericlift/turmericlift/supervisor"
	"github.com/turmericlift/turmericlift/transporter"
)

// Kinds are the kinds of objects on the platform.
type Kinds struct {
	Servers, Config, Evacuations, Own storer.ObjectKind
	ConfigObject                      string
}

// Codec translates the platform's objects and orders.
type Codec struct {
	Names       forwarder.Names
	Handover    string // Header of the answer to a release.
	Entry       func(storer.Object) (registrar.Entry, error)
	Table       func([]byte) (*director.Table, error)
	EncodeOrder func(leaser.Order) (path string, body []byte, err error)
}

// Settings are the settings of one instance.
type Settings struct {
	Instance       identifier.Instance
	Incarnation    identifier.Incarnation
	Zone           identifier.Zone
	Strength       float64 // What the machine can do, to choose among instances.
	FrontAddress   string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	Seeds          []string // Peer addresses of instances that may run.
	Heartbeat      time.Duration
	MaxHold        time.Duration
	GraceTime      time.Duration
	DrainTime      time.Duration
	ClearTime      time.Duration
	RetryRatio     float64
	RetryWindow    time.Duration
	RetryExtra     float64
	ColdOvershoot  float64
	ColdSlack      float64
}

// Store is the platform's store.
type Store interface {
	mirrorer.Platform
	Put(ctx context.Context, kind storer.ObjectKind, name string, expected identifier.Version, data []byte) (identifier.Version, error)
}

const (
	// grantHold is the hold of grants: three renewals, so that one that is lost does no
	// harm, and short enough that the keys of a dead server are back within 5 s.
	grantHold = 3 * time.Second
	// grantRenew is the time between two renewals.
	grantRenew = 700 * time.Millisecond
	// grantAuthority is how long an instance grants without a confirmation: longer than the
	// outages and cuts that the platform's pages name, since a zone that is cut off goes on
	// serving for that long.
	grantAuthority = 20 * time.Second
	// watchWait is the time that a watch waits: the connection itself tells sooner that the
	// platform is gone.
	watchWait = 20 * time.Second
	// shortWatchWait is the time that one of the watches waits at the planner and at a share
	// of the others. When the store forgets its history, watches that wait hear nothing until
	// they are made anew; these tell all instances in time for the bound on configurations.
	shortWatchWait = 2 * time.Second
	// gatherTime is the time between an event and the next watch: changes come in groups,
	// and each answer of a watch is a call.
	gatherTime = 100 * time.Millisecond
	// listEvery is the time between two lists of the kind that is not watched.
	listEvery = 4 * time.Second
	// mostListEvery bounds that time: well within grantAuthority.
	mostListEvery = 8 * time.Second
)

// Conductor is one instance.
type Conductor struct {
	settings Settings
	kinds    Kinds
	codec    Codec
	store    Store
	clock    func() time.Time
	log      *logrus.Entry
	scope    tally.Scope
	metrics  http.Handler

	transport *transporter.Transport
	mirrors   map[storer.ObjectKind]*mirrorer.Mirror
	planKick  chan struct{}
	grantKick chan struct{}
	sendKick  chan struct{}
	tasks     *supervisor.Group

	mu        sync.Mutex
	startedAt time.Time
	view      view
	scheduler *scheduler.Scheduler
	splitter  *director.Splitter
	repeats   map[identifier.Service]*limiter.Repeats
	custody   *custodian.Custodian
	heat      map[identifier.Service]*allocator.Counter
	crashes   *quarantiner.Quarantiner
	reported  []crashReport
	pushed    []push // Written a short while ago, told to the others.
	// historyLost is the kind whose watch found the store's history gone; listedAfter is the
	// revision of its list after that.
	historyLost storer.ObjectKind
	listedAfter identifier.Version
	wasPlanner  bool
	lags        map[storer.ObjectKind]*mirrorer.Lag // Of the kinds that are watched.
	pools       map[poolKey]*exchanger.Pool
	orders      map[poolKey]*exchanger.Pool
	verified    map[identifier.BackendServer]verification
	verifyAt    time.Time // When a list of servers is wanted; zero if none is.
	leaving     bool
	warm        bool // Was ready once.
	peersBusy   map[string]bool
	done        chan error
}

// push is what this instance has written: an object, or an allocation's difference.
type push struct {
	at     time.Time
	object storer.Object
	delta  *allocator.Delta
}

type poolKey struct {
	id      identifier.BackendServer
	life    registrar.Life
	address string
}

// verification is a life that the platform's list showed to a call made at a time.
type verification struct {
	life  registrar.Life
	asked time.Time
}

// New returns an instance that runs nothing yet.
func New(s Settings, kinds Kinds, codec Codec, store Store, clock func() time.Time, log *logrus.Entry,
	scope tally.Scope, metrics http.Handler) *Conductor {
	now := clock()
	c := &Conductor{
		settings: s, kinds: kinds, codec: codec, store: store, clock: clock, log: log, scope: scope, metrics: metrics,
		mirrors: map[storer.ObjectKind]*mirrorer.Mirror{}, planKick: make(chan struct{}, 1),
		grantKick: make(chan struct{}, 1), sendKick: make(chan struct{}, 1), startedAt: now,
		splitter: director.NewSplitter(), repeats: map[identifier.Service]*limiter.Repeats{},
		heat: map[identifier.Service]*allocator.Counter{}, crashes: quarantiner.New(),
		pools: map[poolKey]*exchanger.Pool{}, orders: map[poolKey]*exchanger.Pool{},
		verified:  map[identifier.BackendServer]verification{},
		peersBusy: map[string]bool{}, lags: map[storer.ObjectKind]*mirrorer.Lag{}, done: make(chan error, 1),
	}
	c.view = newView()
	c.custody = custodian.New(now, custodian.Settings{
		Instance: s.Instance, Incarnation: s.Incarnation, Zone: s.Zone, Address: s.PeerAddress, Strength: s.Strength, CellSize: custodian.CellSize,
		Leases: leaser.Settings{Hold: min(grantHold, s.MaxHold), Renew: grantRenew, Authority: grantAuthority},
	}, c.believed)
	c.scheduler = scheduler.New(now, s.Zone, c)
	for _, seed := range s.Seeds {
		c.custody.Gossip.Hint(seed)
	}
	for _, kind := range []storer.ObjectKind{kinds.Servers, kinds.Config, kinds.Evacuations} {
		c.lags[kind] = &mirrorer.Lag{}
	}
	for _, kind := range []storer.ObjectKind{kinds.Servers, kinds.Config, kinds.Evacuations, kinds.Own} {
		c.mirrors[kind] = mirrorer.New(kind, store, c.pace, clock, c.changed, c.storeEnded,
			func(ctx context.Context, failures int) { c.storePause(ctx, kind, failures) })
	}
	return c
}

// pace returns how this instance follows a kind of objects now. The more instances there
// are, the more calls each change would cost them all.
func (c *Conductor) pace(kind storer.ObjectKind) mirrorer.Pace {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	share := time.Duration(c.custody.Gossip.Share(now))
	pace := mirrorer.Pace{Wait: watchWait, Gather: gatherTime * share}
	switch {
	case kind == c.kinds.Config && (c.looksOften(int(share)) || c.custody.Planner(now) == c.settings.Instance):
		pace.Wait = shortWatchWait
	case kind == c.kinds.Own: // Whoever writes these tells the others.
		pace.Wait, pace.List = 0, min(listEvery*share, mostListEvery)
	}
	return pace
}

// looksOften reports whether this instance is one of the share of all that look out for a
// history that is gone.
func (c *Conductor) looksOften(share int) bool {
	return ranker.Weight("history", string(c.settings.Instance))%uint64(share) == 0
}

// believed logs a change of what this instance believes of the custody of keys.
func (c *Conductor) believed(event string, fields map[string]any) {
	c.log.WithFields(fields).WithField("Subsystem", "custody").Info(event)
}

// Done returns the channel on which Run reports its end.
func (c *Conductor) Done() <-chan error { return c.done }

// Run serves until ctx ends, then leaves without cutting a request.
func (c *Conductor) Run(ctx context.Context) {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	c.tasks = supervisor.New(work)
	err := c.run(ctx)
	stop()
	c.tasks.Close()
	c.done <- err
}

func (c *Conductor) run(ctx context.Context) error {
	config, err := transporter.Anonymous(time.Now())
	if err != nil {
		return err
	}
	if c.transport, err = transporter.New(c.settings.PeerAddress, config, c); err != nil {
		return err
	}
	for _, loop := range []func(context.Context){
		c.transport.Run, c.planLoop, c.grantLoop, c.sendLoop, c.tickLoop, c.verifyLoop, c.copyLoop,
	} {
		c.tasks.Go(loop)
	}
	for _, m := range c.mirrors {
		c.tasks.Go(m.Run)
	}
	front := &http.Server{
		Handler:           forwarder.New(c.codec.Names, c, c.clock, c.log.WithField("Subsystem", "requests")),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: nil,
	}
	ready := &http.Server{Handler: http.HandlerFunc(c.serveReady), ReadHeaderTimeout: headerTimeout}
	ops := &http.Server{Handler: c.operatorHandler(), ReadHeaderTimeout: headerTimeout}
	ended := make(chan error, 3)
	for address, server := range map[string]*http.Server{
		c.settings.FrontAddress: front, c.settings.ReadyAddress: ready, c.settings.MetricsAddress: ops,
	} {
		server.Addr = address
		c.tasks.Go(func(context.Context) {
			if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
				ended <- err
			}
		})
	}
	c.log.WithFields(logrus.Fields{"Zone": c.settings.Zone, "Incarnation": c.settings.Incarnation}).Info("instance started")
	select {
	case err = <-ended:
		c.log.WithField("Error", err).Error("listener failed")
	case <-ctx.Done():
		c.drain(front)
	}
	for _, server := range []*http.Server{front, ready, ops} {
		_ = server.Close() // What still runs has used up its time.
	}
	c.log.Info("instance stopped")
	return err
}

const (
	// headerTimeout bounds the time in which a caller sends its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which an idle connection of a caller is closed: longer
	// than configurations let callers stay idle.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes bounds a caller's headers; the configuration's limit is below it.
	maxHeaderBytes = 64 << 10
	// leaveTime is the time between the first answer that says not ready and the end of
	// new connections: the balancer asks every second and believes the second answer.
	leaveTime = 2500 * time.Millisecond
	// exitReserve is kept back from the time that the platform gives a process to end.
	exitReserve = 400 * time.Millisecond
)

// drain ends the instance's part in the system and waits for its requests.
func (c *Conductor) drain(front *http.Server) {
	c.mu.Lock()
	c.leaving = true
	c.custody.SetWorld(c.world())
	c.mu.Unlock()
	c.log.Info("leaving")
	kick(c.sendKick)
	end := time.Now().Add(c.settings.GraceTime - exitReserve)
	time.Sleep(min(leaveTime, time.Until(end)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		c.log.WithField("Error", err).Warning("requests were still under way at the end")
	}
	for time.Now().Before(end) && !c.leftRosters() {
		time.Sleep(tickEvery)
	}
}

func kick(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// every runs fn at intervals and when kicked, until ctx ends.
func every(ctx context.Context, interval time.Duration, kicked <-chan struct{}, fn func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-kicked:
		}
		fn()
	}
}

// serveReady answers the balancer.
func (c *Conductor) serveReady(w http.ResponseWriter, _ *http.Request) {
	if c.isReady() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (c *Conductor) isReady() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving || c.view.table == nil {
		return false
	}
	if !c.warm {
		c.warm = len(c.view.entries) > 0
		if c.warm {
			c.log.WithFields(logrus.Fields{"ConfigVersion": c.view.table.Version, "Servers": len(c.view.entries)}).Info("ready")
		}
	}
	return c.warm
}
