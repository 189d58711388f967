package conductor

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/acceptor"
	"github.com/turmericlift/turmericlift/forwarder"
	"github.com/turmericlift/turmericlift/logger"
)

// CallerLimits bound what callers' connections use. A field that is 0 stands for a bound that suits a machine of 512 MiB.
type CallerLimits struct {
	Connections int   // Largest number of open connections.
	Writers     int   // Largest number of connections on which an answer waits for its caller at the same time.
	HeadMemory  int64 // Bytes that the heads of requests may use together.
}

const (
	// defaultMaxHeadBytes bounds the head of a request until there is a configuration.
	defaultMaxHeadBytes = 16 << 10
	// unreadBodyTime is the time in which the rest of a body is read after its request was answered, so that the caller
	// gets the answer and can use its connection again.
	unreadBodyTime = time.Second
	// internalConnections bounds the connections to the address for readiness checks, and those for metrics. A balancer and
	// an operator need a few.
	internalConnections = 24
	// internalHeadBytes and internalHeadMemory bound the heads of the requests to these addresses.
	internalHeadBytes  = 4 << 10
	internalHeadMemory = 1 << 20
	// readyTimeout bounds the time of a readiness check, in which nothing is waited for but the caller.
	readyTimeout = 3 * time.Second
	// internalIdleTimeout is how long a connection for readiness checks or metrics may be idle. Checks come every second.
	internalIdleTimeout = 15 * time.Second
	// operatorTimeout bounds the time in which metrics or a dump are sent.
	operatorTimeout = 10 * time.Second
	// refusalLogInterval is the time between two log lines on refused connections of a listener.
	refusalLogInterval = 100 * time.Millisecond
)

// The bounds that stand for fields of CallerLimits that are 0.
const (
	defaultConnections = 3200
	defaultWriters     = 500
	defaultHeadMemory  = 40 << 20
)

// boundServer is a server and the listener of its address.
type boundServer struct {
	httpServer
	listener *acceptor.Listener
}

// openServers opens the listeners for callers, which comes first, for readiness checks and for metrics. Those that were opened
// are closed if one fails.
func (c *Conductor) openServers(callers *forwarder.Forwarder) ([]boundServer, error) {
	internal := acceptor.Limits{
		Connections: internalConnections, Writers: internalConnections, HeadMemory: internalHeadMemory,
		HeadBytes: func() int { return internalHeadBytes }, UnreadBodyTime: unreadBodyTime, OneAtATime: true,
	}
	var servers []boundServer
	for _, s := range []struct {
		address string
		limits  acceptor.Limits
		server  func(*acceptor.Listener) httpServer
	}{
		{c.settings.FrontAddress, c.callerLimits(), func(l *acceptor.Listener) httpServer { return c.newFront(callers, l.Handler(callers)) }},
		{c.settings.ReadyAddress, internal, c.readyServer},
		{c.settings.MetricsAddress, internal, c.operatorServer},
	} {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			for _, opened := range servers {
				_ = opened.listener.Close() // Nothing was accepted.
			}
			return nil, err
		}
		bounded := c.bound(l, s.limits)
		servers = append(servers, boundServer{s.server(bounded), bounded})
	}
	front := servers[0].listener
	c.tasks.Go(func(ctx context.Context) {
		runEvery(ctx, sweepInterval, nil, func() {
			c.scope.Gauge("CallerConnections").Update(float64(front.Open()))
			c.scope.Gauge("HeadMemory").Update(float64(front.HeadMemory()))
		})
	})
	return servers, nil
}

// readyServer returns the server of readiness checks over the connections of a listener.
func (c *Conductor) readyServer(l *acceptor.Listener) httpServer {
	return &http.Server{
		Handler: l.Handler(http.HandlerFunc(c.serveReady)), ReadHeaderTimeout: readyTimeout, ReadTimeout: readyTimeout, WriteTimeout: readyTimeout,
		IdleTimeout: internalIdleTimeout, MaxHeaderBytes: internalHeadBytes, ConnContext: acceptor.WithConn,
	}
}

// operatorServer returns the server of metrics and dumps over the connections of a listener.
func (c *Conductor) operatorServer(l *acceptor.Listener) httpServer {
	return &http.Server{
		Handler: l.Handler(c.operatorHandler()), ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, WriteTimeout: operatorTimeout,
		IdleTimeout: internalIdleTimeout, MaxHeaderBytes: internalHeadBytes, ConnContext: acceptor.WithConn,
	}
}

// callerLimits returns the bounds for callers' connections.
func (c *Conductor) callerLimits() acceptor.Limits {
	s := c.settings.Callers
	limits := acceptor.Limits{
		Connections: s.Connections, Writers: s.Writers, HeadMemory: s.HeadMemory,
		HeadBytes: c.maxHeadBytes, UnreadBodyTime: unreadBodyTime, OneAtATime: !c.settings.PipelinedRequests,
	}
	if limits.Connections == 0 {
		limits.Connections = defaultConnections
	}
	if limits.Writers == 0 {
		limits.Writers = defaultWriters
	}
	if limits.HeadMemory == 0 {
		limits.HeadMemory = defaultHeadMemory
	}
	return limits
}

// maxHeadBytes returns the largest size of the head of a caller's request.
func (c *Conductor) maxHeadBytes() int {
	if t := c.Table(); t != nil && t.Limits.MaxHeaderBytes > 0 {
		return t.Limits.MaxHeaderBytes
	}
	return defaultMaxHeadBytes
}

// bound wraps a listener. Refusals are counted by bound and logged.
func (c *Conductor) bound(l net.Listener, limits acceptor.Limits) *acceptor.Listener {
	throttle := &logger.Throttle{Interval: refusalLogInterval}
	address := l.Addr().String()
	return acceptor.New(l, limits, c.codec.HeaderNames.RequestID, time.Now, func(r acceptor.Refusal) {
		c.scope.Tagged(map[string]string{"Bound": string(r.Bound)}).Counter("ClientRefusals").Inc(1)
		if n, ok := throttle.Allow(time.Now()); ok {
			c.log.WithFields(logrus.Fields{
				"Subsystem": "clients", "ID": r.ID, "Address": address, "Remote": r.Remote, "Bound": r.Bound, "Limit": r.Limit, "Value": r.Value,
				"WaitedMs": r.Waited.Milliseconds(), "Suppressed": n,
			}).Warning("connection or request of a caller is refused because of a bound")
		}
	})
}
