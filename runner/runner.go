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
	"github.com/turmericlift/turmericlift/controller"
	"github.com/turmericlift/turmericlift/coordinator"
	"github.com/turmericlift/turmericlift/dispatcher"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/prober"
	"github.com/turmericlift/turmericlift/quarantiner"
	"github.com/turmericlift/turmericlift/receiver"
	"github.com/turmericlift/turmericlift/recorder"
	"github.com/turmericlift/turmericlift/sender"
	"github.com/turmericlift/turmericlift/storer"
	"github.com/turmericlift/turmericlift/supervisor"
	"github.com/turmericlift/turmericlift/transporter"
)

const (
	// tickEvery is the resolution of all control decisions.
	tickEvery = 50 * time.Millisecond
	// loadsEvery is the time between two measurements of load.
	loadsEvery = time.Second
	// platformConnections is the number of idle connections kept to the platform.
	platformConnections = 8
	// headerTimeout and bodyTimeout bound the time to read a request.
	headerTimeout = 5 * time.Second
	bodyTimeout   = time.Minute
	// maxHeader bounds the headers of a request, in bytes.
	maxHeader = 64 << 10
	// eventBacklog is the room for events that wait for the control loop.
	eventBacklog = 4096
)

// Logs are the loggers of the subsystems.
type Logs struct {
	Control  logrus.FieldLogger
	Platform logrus.FieldLogger
	Requests logrus.FieldLogger
}

// Runner is one instance of the daemon.
type Runner struct {
	cfg       Config
	logs      Logs
	scope     tally.Scope
	metrics   http.Handler // Renders scope in the usual text format.
	store     *storer.Client
	transport *transporter.Transport
	sender    *sender.Sender
	coord     *coordinator.Coordinator
	record    *recorder.Recorder
	guard     *guard
	dispatch  *dispatcher.Dispatcher
	ctl       *controller.Controller

	callers   *http.Server
	operators *http.Server
	listeners [2]net.Listener

	events    chan controller.Event
	inspect   chan func(*controller.Controller)
	ready     atomic.Bool
	leaving   atomic.Bool
	readsList atomic.Bool
	revision  atomic.Uint64
	settings  map[identifier.ServiceName]configurer.Effective // The control loop's.
	tasks     *supervisor.Group
	stop      context.CancelFunc // Ends the parts, once the shutdown is over.
	parts     context.Context
	done      chan error
}

// New returns an instance that listens but does not run yet.
func New(now time.Time, cfg Config, logs Logs, scope tally.Scope, metrics http.Handler) (*Runner, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	tlsConfig, err := cfg.Identity.TLS()
	if err != nil {
		return nil, err
	}
	r := &Runner{
		cfg: cfg, logs: logs, scope: scope, metrics: metrics,
		store: newStore(cfg), sender: sender.New(cfg.Connections),
		events: make(chan controller.Event, eventBacklog), inspect: make(chan func(*controller.Controller)),
		done: make(chan error, 1),
	}
	r.transport, err = transporter.New(cfg.PeerAddress, tlsConfig, peerHandler{r})
	if err != nil {
		return nil, err
	}
	r.assemble(now)
	return r, r.listen()
}

// newStore returns a client of the platform with a budget of its own.
func newStore(cfg Config) *storer.Client {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: platformConnections}}
	return storer.New(cfg.PlatformURL, client, cfg.PlatformBudget, cfg.PlatformTimeout)
}

// assemble makes the parts of the instance and connects them.
func (r *Runner) assemble(now time.Time) {
	self := prober.Peer{Instance: r.cfg.Instance, Zone: r.cfg.Zone, Address: r.transport.Address()}
	incarnation := identifier.Incarnation(now.UnixMilli())
	// The parts do not end with Run's context: a graceful shutdown still needs them.
	r.parts, r.stop = context.WithCancel(context.Background())
	r.tasks = supervisor.New(r.parts)
	r.ctl = controller.New(now, controller.DefaultConfig(self, incarnation))
	r.guard = newGuard(r.cfg.Instance, incarnation, time.Now, func(c quarantiner.Crash) {
		r.submit(r.parts, controller.CrashSeen{Crash: c})
	})
	// Journals have a budget of their own, so that requests never starve control.
	r.record = recorder.New(r.cfg.Instance, incarnation, newStore(r.cfg), r.transport, r.tasks, time.Now)
	r.coord = coordinator.New(r.sender, r.guard, time.Now)
	r.dispatch = dispatcher.New(dispatcher.Parts{
		Self: self, Local: r.coord, Recorder: r.record, Guard: r.guard, Caller: r.transport, Tasks: r.tasks, Clock: time.Now,
	})
}

func (r *Runner) listen() error {
	for n, address := range []string{r.cfg.CallerAddress, r.cfg.OperatorAddress} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen at %q: %w", address, err)
		}
		r.listeners[n] = l
	}
	callers := http.NewServeMux()
	callers.HandleFunc("GET /ready", r.serveReady)
	callers.HandleFunc("GET /turmericlift/outcomes/{organisation}/{service}/{id...}", r.serveOutcome)
	callers.Handle("/", receiver.New(r.dispatch, r, time.Now))
	r.callers = &http.Server{
		Handler: callers, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, MaxHeaderBytes: maxHeader,
	}
	r.operators = &http.Server{Handler: r.operatorHandler(), ReadHeaderTimeout: headerTimeout}
	return nil
}

// CallerAddress returns the address that callers reach.
func (r *Runner) CallerAddress() string { return r.listeners[0].Addr().String() }

// OperatorAddress returns the address that operators reach.
func (r *Runner) OperatorAddress() string { return r.listeners[1].Addr().String() }

// PeerAddress returns the address that other instances reach.
func (r *Runner) PeerAddress() string { return r.transport.Address() }

// Done returns the channel on which Run reports its end.
func (r *Runner) Done() <-chan error { return r.done }

// Run runs the instance until ctx ends, then shuts it down gracefully, and reports
// its end on Done.
func (r *Runner) Run(ctx context.Context) {
	go r.transport.Run(r.parts)
	ended := make(chan error, 2)
	go func() { ended <- r.callers.Serve(r.listeners[0]) }()
	go func() { ended <- r.operators.Serve(r.listeners[1]) }()
	r.tasks.Go(r.watchLoop)
	r.tasks.Go(r.listLoop)
	r.tasks.Go(r.loop)

	var failure error
	select {
	case <-ctx.Done():
	case failure = <-ended:
	}
	err := errors.Join(failure, r.shutdown(ctx))
	r.stop()
	r.tasks.Close()
	if transportErr := <-r.transport.Done(); transportErr != nil {
		r.logs.Control.WithError(transportErr).Debug("transport ended")
	}
	r.done <- err
}

// shutdown takes the instance out of service without cutting a request: it is not
// ready any more, goes on accepting until the balancer has had time to see that,
// hands its backend servers over, and lets requests end.
func (r *Runner) shutdown(ctx context.Context) error {
	r.leaving.Store(true)
	r.logs.Control.Info("shutting down")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.cfg.ShutdownTimeout)
	defer cancel()
	pause(ctx, r.cfg.BalancerDelay)
	err := r.callers.Shutdown(ctx)
	r.submit(ctx, controller.Stop{})
	r.awaitHandOver(ctx)
	return errors.Join(err, r.operators.Shutdown(ctx))
}

// awaitHandOver waits until other instances coordinate all backend servers and the
// journals hold the ends of all requests, or no time is left.
func (r *Runner) awaitHandOver(ctx context.Context) {
	for {
		drained := false
		r.look(ctx, func(c *controller.Controller) { drained = c.Drained() })
		if drained && r.record.Flushed() || !pause(ctx, 2*tickEvery) {
			return
		}
	}
}

// pause waits and reports whether ctx goes on.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// submit brings an event to the control loop.
func (r *Runner) submit(ctx context.Context, e controller.Event) {
	select {
	case r.events <- e:
	case <-ctx.Done():
	}
}

// look runs fn in the control loop and waits for it.
func (r *Runner) look(ctx context.Context, fn func(*controller.Controller)) {
	finished := make(chan struct{})
	wrapped := func(c *controller.Controller) {
		defer close(finished)
		fn(c)
	}
	select {
	case r.inspect <- wrapped:
	case <-ctx.Done():
		return
	}
	select {
	case <-finished:
	case <-ctx.Done():
	}
}

// loop is the control loop: the only goroutine that touches the controller.
func (r *Runner) loop(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	loads := time.NewTicker(loadsEvery)
	defer loads.Stop()
	published := uint64(0)
	for {
		var actions []controller.Action
		select {
		case <-ctx.Done():
			return
		case e := <-r.events:
			actions = r.ctl.Step(time.Now(), e)
		case <-tick.C:
			actions = r.ctl.Step(time.Now(), controller.Tick{})
			r.coord.Expire()
			r.record.Tick()
		case <-loads.C:
			actions = r.measure()
		case fn := <-r.inspect:
			fn(r.ctl)
			continue
		}
		published = r.publish(published)
		for _, a := range actions {
			r.perform(a)
		}
	}
}

func (r *Runner) measure() []controller.Action {
	var actions []controller.Action
	for s, loads := range r.coord.Loads() {
		actions = append(actions, r.ctl.Step(time.Now(), controller.LoadsMeasured{Service: s, Loads: loads})...)
	}
	return actions
}

// publish brings the controller's views to the request path. It precedes the
// actions of the step, so that a promise is never sent while the request path still
// goes by the former view.
func (r *Runner) publish(published uint64) uint64 {
	edit := r.ctl.Edit()
	if edit != published {
		table := r.ctl.Table()
		r.dispatch.Publish(&dispatcher.View{Table: table, Peers: r.ctl.Peers()})
		r.settings = settingsOf(table)
		r.record.Publish(&recorder.View{Live: r.ctl.Live()})
		r.readsList.Store(r.ctl.ReadsList())
		r.dropDead()
	}
	view := &coordinator.View{Held: map[identifier.BackendServer]heldServer{}, Settings: r.settings}
	for _, h := range r.ctl.Held() {
		view.Held[h.Server.ID] = h
	}
	r.coord.Publish(view)
	r.ready.Store(r.ctl.Synced())
	r.revision.Store(uint64(r.ctl.Revision()))
	return edit
}

func (r *Runner) dropDead() {
	for _, news := range r.ctl.Members() {
		if news.Status == prober.Dead {
			r.transport.Drop(news.Peer.Address)
		}
	}
}
