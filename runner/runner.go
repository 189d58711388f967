package runner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/connector"
	"github.com/turmericlift/turmericlift/controller"
	"github.com/turmericlift/turmericlift/coordinator"
	"github.com/turmericlift/turmericlift/dispatcher"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/prober"
	"github.com/turmericlift/turmericlift/quarantiner"
	"github.com/turmericlift/turmericlift/rationer"
	"github.com/turmericlift/turmericlift/receiver"
	"github.com/turmericlift/turmericlift/recorder"
	"github.com/turmericlift/turmericlift/sender"
	"github.com/turmericlift/turmericlift/storer"
	"github.com/turmericlift/turmericlift/supervisor"
	"github.com/turmericlift/turmericlift/transporter"
)

const (
	// tickInterval is the resolution of all control decisions.
	tickInterval = 50 * time.Millisecond
	// loadInterval is the time between two measurements of the load of partitions.
	loadInterval = time.Second
	// maxIdlePlatformConnections bounds the idle connections that a client keeps to the platform.
	maxIdlePlatformConnections = 8
	// headerTimeout bounds the time to read the headers of a request, readTimeout the time to read the whole request.
	headerTimeout = 5 * time.Second
	readTimeout   = time.Minute
	// peerMemory bounds the bytes that messages, requests and answers of peers hold together. They carry callers' requests.
	peerMemory = 1 << 30
	// maxHeaderBytes bounds the headers of a request, in bytes.
	maxHeaderBytes = 64 << 10
	// eventBufferSize is the number of events that can wait for the control loop.
	eventBufferSize = 4096
)

// Loggers holds the loggers of the subsystems.
type Loggers struct {
	Control  logrus.FieldLogger
	Platform logrus.FieldLogger
	Requests logrus.FieldLogger
}

// Runner is one instance of the daemon. New creates it; Run must be called once.
type Runner struct {
	cfg         Config
	logs        Loggers
	scope       tally.Scope
	metrics     http.Handler // metrics serves the values of scope in the Prometheus text format.
	store       *storer.Client
	transport   *transporter.Transport
	sender      *sender.Sender
	coordinator *coordinator.Coordinator
	recorder    *recorder.Recorder
	guard       *guard
	dispatcher  *dispatcher.Dispatcher
	controller  *controller.Controller // controller is used by the control loop only.

	callers   *http.Server
	operators *http.Server
	listeners [2]net.Listener

	events         chan controller.Event
	loopCalls      chan func(*controller.Controller) // loopCalls carries functions that run in the control loop.
	ready          atomic.Bool
	leaving        atomic.Bool
	pollsListOften atomic.Bool
	revision       atomic.Uint64
	settings       map[identifier.ServiceName]configurer.EffectiveSettings // settings is used by the control loop only.
	tasks          *supervisor.Group
	stopComponents context.CancelFunc // stopComponents ends componentsCtx once the shutdown is over.
	componentsCtx  context.Context
	done           chan error
}

// New returns an instance that listens for callers, operators and peers but does not run yet. now determines the
// incarnation. The metrics go to scope, and the handler metrics serves them to operators. The error is a *SettingError
// if cfg is not valid.
func New(now time.Time, cfg Config, logs Loggers, scope tally.Scope, metrics http.Handler) (*Runner, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	tlsConfig, err := cfg.Identity.TLSConfig()
	if err != nil {
		return nil, err
	}
	r := &Runner{
		cfg: cfg, logs: logs, scope: scope, metrics: metrics,
		store: newStore(cfg), sender: sender.New(cfg.MaxServerConnections),
		events: make(chan controller.Event, eventBufferSize), loopCalls: make(chan func(*controller.Controller)),
		done: make(chan error, 1),
	}
	r.transport, err = transporter.New(cfg.PeerAddress, tlsConfig, peerHandler{r}, rationer.New(peerMemory))
	if err != nil {
		return nil, err
	}
	r.createComponents(now)
	return r, r.listen()
}

// newStore returns a client of the platform that has its own budget of calls.
func newStore(cfg Config) *storer.Client {
	transport := connector.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdlePlatformConnections}, (&net.Dialer{}).DialContext)
	return storer.New(cfg.PlatformURL, &http.Client{Transport: transport}, cfg.PlatformBudget, cfg.PlatformTimeout)
}

// createComponents creates the components of the instance and connects them.
func (r *Runner) createComponents(now time.Time) {
	self := prober.Peer{Instance: r.cfg.Instance, Zone: r.cfg.Zone, Address: r.transport.Address()}
	incarnation := identifier.Incarnation(now.UnixMilli())
	// The components have their own context, because the graceful shutdown after the end of Run's context needs them.
	r.componentsCtx, r.stopComponents = context.WithCancel(context.Background())
	r.tasks = supervisor.New(r.componentsCtx)
	r.controller = controller.New(now, controller.DefaultConfig(self, incarnation))
	r.guard = newGuard(r.cfg.Instance, incarnation, time.Now, func(c quarantiner.Crash) {
		r.submit(r.componentsCtx, controller.CrashSeen{Crash: c})
	})
	// The recorder has its own client with its own budget, so that writes to journals for requests never use up the
	// platform calls that the controller needs.
	r.recorder = recorder.New(r.cfg.Instance, incarnation, newStore(r.cfg), r.transport, r.tasks, time.Now)
	r.coordinator = coordinator.New(r.sender, r.guard, time.Now)
	r.dispatcher = dispatcher.New(dispatcher.Dependencies{
		Self: self, LocalCoordinator: r.coordinator, Recorder: r.recorder, Quarantine: r.guard, Caller: r.transport, Tasks: r.tasks, Clock: time.Now,
	})
}

// listen opens the listeners for callers and operators and creates their HTTP servers.
func (r *Runner) listen() error {
	for n, address := range []string{r.cfg.CallerAddress, r.cfg.OperatorAddress} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen on TCP address %q: %w", address, err)
		}
		r.listeners[n] = l
	}
	callers := http.NewServeMux()
	callers.HandleFunc("GET /ready", r.serveReady)
	callers.HandleFunc("GET /turmericlift/outcomes/{organisation}/{service}/{id...}", r.serveOutcome)
	callers.Handle("/", receiver.New(r.dispatcher, r, time.Now))
	r.callers = &http.Server{
		Handler: callers, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	r.operators = &http.Server{Handler: r.operatorHandler(), ReadHeaderTimeout: headerTimeout}
	return nil
}

// CallerAddress returns the IP address and TCP port that the instance listens at for callers.
func (r *Runner) CallerAddress() string { return r.listeners[0].Addr().String() }

// OperatorAddress returns the IP address and TCP port that the instance listens at for operators.
func (r *Runner) OperatorAddress() string { return r.listeners[1].Addr().String() }

// PeerAddress returns the IP address and UDP port that the instance listens at for other instances.
func (r *Runner) PeerAddress() string { return r.transport.Address() }

// Done returns the channel that gets one value when Run has ended: nil, or the errors of the servers and the shutdown.
func (r *Runner) Done() <-chan error { return r.done }

// Run runs the instance until ctx ends or a server fails, then shuts it down gracefully and sends the result on the
// channel of Done.
func (r *Runner) Run(ctx context.Context) {
	go r.transport.Run(r.componentsCtx)
	ended := make(chan error, 2)
	go func() { ended <- r.callers.Serve(r.listeners[0]) }()
	go func() { ended <- r.operators.Serve(r.listeners[1]) }()
	r.tasks.Go(r.watchObjects)
	r.tasks.Go(r.pollInstanceList)
	r.tasks.Go(r.controlLoop)

	var failure error
	select {
	case <-ctx.Done():
	case failure = <-ended:
	}
	err := errors.Join(failure, r.shutdown(ctx))
	r.stopComponents()
	r.tasks.Close()
	if transportErr := <-r.transport.Done(); transportErr != nil {
		r.logs.Control.WithError(transportErr).Debug("transport between instances ended with an error")
	}
	r.done <- err
}

// shutdown takes the instance out of service without cutting off a request: the instance says that it is not ready,
// accepts requests until the load balancer has had time to notice that, lets the requests end, and hands its backend
// servers over to other instances. All this ends after ShutdownTimeout at the latest.
func (r *Runner) shutdown(ctx context.Context) error {
	r.leaving.Store(true)
	r.logs.Control.Info("shutting down: not ready any more; requests end and backend servers are handed over")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.cfg.ShutdownTimeout)
	defer cancel()
	sleep(ctx, r.cfg.BalancerDelay)
	err := r.callers.Shutdown(ctx)
	r.submit(ctx, controller.Stop{})
	r.awaitHandOver(ctx)
	return errors.Join(err, r.operators.Shutdown(ctx))
}

// awaitHandOver waits until other instances coordinate all backend servers of this one and the journals hold the
// outcomes of all requests, or until ctx ends.
func (r *Runner) awaitHandOver(ctx context.Context) {
	for {
		drained := false
		r.runInLoop(ctx, func(c *controller.Controller) { drained = c.Drained() })
		if drained && r.recorder.Flushed() || !sleep(ctx, 2*tickInterval) {
			return
		}
	}
}

// sleep waits for d or until ctx ends, and reports whether d has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// submit passes an event to the control loop. It blocks while the event buffer is full, and drops the event when ctx
// ends.
func (r *Runner) submit(ctx context.Context, e controller.Event) {
	select {
	case r.events <- e:
	case <-ctx.Done():
	}
}

// runInLoop runs fn in the control loop, where it may use the controller, and waits until fn has returned or ctx ends.
// If ctx ends first, fn may run later or not at all.
func (r *Runner) runInLoop(ctx context.Context, fn func(*controller.Controller)) {
	finished := make(chan struct{})
	wrapped := func(c *controller.Controller) {
		defer close(finished)
		fn(c)
	}
	select {
	case r.loopCalls <- wrapped:
	case <-ctx.Done():
		return
	}
	select {
	case <-finished:
	case <-ctx.Done():
	}
}

// controlLoop passes events and ticks to the controller, publishes its views and starts its actions until ctx ends. It
// is the only goroutine that uses the controller.
func (r *Runner) controlLoop(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	loads := time.NewTicker(loadInterval)
	defer loads.Stop()
	publishedGeneration := uint64(0)
	for {
		var actions []controller.Action
		select {
		case <-ctx.Done():
			return
		case e := <-r.events:
			actions = r.controller.Step(time.Now(), e)
		case <-tick.C:
			actions = r.controller.Step(time.Now(), controller.Tick{})
			r.coordinator.ExpireQueued()
			r.recorder.Tick()
		case <-loads.C:
			actions = r.stepMeasuredLoads()
		case fn := <-r.loopCalls:
			fn(r.controller)
			continue
		}
		publishedGeneration = r.publish(publishedGeneration)
		for _, a := range actions {
			r.perform(a)
		}
	}
}

// stepMeasuredLoads passes the measured loads of all services to the controller and returns its actions.
func (r *Runner) stepMeasuredLoads() []controller.Action {
	var actions []controller.Action
	for s, loads := range r.coordinator.DrainLoads() {
		actions = append(actions, r.controller.Step(time.Now(), controller.LoadsMeasured{Service: s, Loads: loads})...)
	}
	return actions
}

// publish passes the controller's views to the request path and returns the generation of the views. Those that change
// only with the generation are skipped if it is still publishedGeneration. publish must precede the actions of the
// step: a confirmation that partitions are not granted any more must never be sent while the request path still uses
// the former view.
func (r *Runner) publish(publishedGeneration uint64) uint64 {
	generation := r.controller.Generation()
	if generation != publishedGeneration {
		table := r.controller.Table()
		r.dispatcher.Publish(&dispatcher.View{Table: table, Peers: r.controller.Peers()})
		r.settings = serviceSettings(table)
		r.recorder.Publish(&recorder.View{LiveAddresses: r.controller.Live()})
		r.pollsListOften.Store(r.controller.PollsListOften())
		r.dropDeadPeers()
	}
	view := &coordinator.View{Servers: map[identifier.BackendServer]coordinatedServer{}, Settings: r.settings}
	for _, h := range r.controller.Coordinated() {
		view.Servers[h.Server.ID] = h
	}
	r.coordinator.Publish(view)
	r.ready.Store(r.controller.Synced())
	r.revision.Store(uint64(r.controller.Revision()))
	return generation
}

// dropDeadPeers closes the connections to instances that are dead, so that calls to them end at once.
func (r *Runner) dropDeadPeers() {
	for _, update := range r.controller.Members() {
		if update.Status == prober.Dead {
			r.transport.Drop(update.Peer.Address)
		}
	}
}
