package conductor

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/forwarder"
	"github.com/turmericlift/turmericlift/rationer"
	"github.com/turmericlift/turmericlift/transporter"
)

// run starts the loops and listeners and waits until ctx ends or a listener fails.
func (c *Conductor) run(ctx context.Context) error {
	config, err := transporter.AnonymousTLSConfig(time.Now())
	if err != nil {
		return err
	}
	if c.transport, err = transporter.New(c.settings.PeerAddress, config, c, rationer.New(c.settings.PeerMemory)); err != nil {
		return err
	}
	for _, loop := range []func(context.Context){
		c.transport.Run, c.planLoop, c.grantLoop, c.sendLoop, c.tickLoop, c.verifyLoop, c.copyLoop, c.sweepLoop, c.quotaLoop, c.evidenceLoop,
	} {
		c.tasks.Go(loop)
	}
	for _, m := range c.mirrors {
		c.tasks.Go(m.Run)
	}
	callers := forwarder.New(c.codec.HeaderNames, c.codec.DecodeNotice, c, c.bodies, c.clock, c.log.WithField("Subsystem", "requests"))
	servers, err := c.openServers(callers)
	if err != nil {
		c.log.WithField("Error", err).Error("listener failed, the instance stops")
		return err
	}
	listenerErrors := make(chan error, len(servers))
	for _, server := range servers {
		c.tasks.Go(func(context.Context) {
			if err := server.Serve(server.listener); !errors.Is(err, http.ErrServerClosed) {
				listenerErrors <- err
			}
		})
	}
	c.log.WithFields(logrus.Fields{"Zone": c.settings.Zone, "Incarnation": c.settings.Incarnation}).Info("instance started")
	select {
	case err = <-listenerErrors:
		c.log.WithField("Error", err).Error("listener failed, the instance stops")
	case <-ctx.Done():
		c.drain(callers, servers[0].httpServer)
	}
	for _, server := range servers {
		_ = server.Close() // The grace time is over for whatever is still running.
	}
	c.log.Info("instance stopped")
	return err
}

const (
	// headerTimeout bounds the time in which a caller sends its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which a caller's idle connection is closed. It is longer than
	// the idle time that routing configurations allow.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes bounds the size of a caller's headers. The limit of the routing configuration
	// is lower.
	maxHeaderBytes = 64 << 10
	// leaveTime is the time between the first readiness check that fails and the end of new
	// connections. The load balancer checks every second and acts on the second failure. Besides, it is longer than
	// forwarder.CallerKeepAlive by the time that a request or an answer may be under way, so that no caller sends a request
	// over a connection that is closed as idle.
	leaveTime = forwarder.CallerKeepAlive + 600*time.Millisecond
	// exitReserve is held back from the time that the platform gives a process to exit.
	exitReserve = 400 * time.Millisecond
	// lastAnswersTime is the time before the end of the grace time in which requests without an answer are ended and told so.
	lastAnswersTime = 150 * time.Millisecond
)

// drain leaves the rosters, stops accepting connections and waits for running requests, all within
// the grace time.
func (c *Conductor) drain(callers *forwarder.Forwarder, front httpServer) {
	remaining := c.settings.GraceTime - exitReserve
	end := time.Now().Add(remaining)
	now := c.clock()
	callers.Leave(forwarder.Departure{LateFrom: now.Add(c.settings.GraceTime / 2), End: now.Add(remaining - lastAnswersTime)})
	c.mu.Lock()
	c.leaving = true
	c.ownership.SetEnvironment(c.environment())
	c.mu.Unlock()
	c.log.Info("leaving")
	trigger(c.sendTrigger)
	time.Sleep(min(leaveTime, time.Until(end)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		c.log.WithField("Error", err).Warning("requests were still running at the end of the grace time, they are cut off")
	}
	for time.Now().Before(end) && !c.onNoRoster() {
		time.Sleep(tickInterval)
	}
}

// serveReady answers the load balancer's readiness check: 200 if the instance serves requests, else
// 503.
func (c *Conductor) serveReady(w http.ResponseWriter, _ *http.Request) {
	if c.isReady() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// isReady reports whether the instance accepts requests: it has a routing configuration, has known at
// least one backend server, is not leaving, and does not refuse all requests with API keys.
func (c *Conductor) isReady() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving || c.view.table == nil || c.refusesKeys(c.clock()) {
		return false
	}
	if !c.wasReady {
		c.wasReady = len(c.view.entries) > 0
		if c.wasReady {
			c.log.WithFields(logrus.Fields{"ConfigVersion": c.view.table.Version, "Servers": len(c.view.entries)}).Info("ready")
		}
	}
	return c.wasReady
}
