package conductor

import (
	"context"
	"net"
	"net/http"

	"github.com/uber-go/tally/v4"

	"github.com/turmericlift/turmericlift/acceptor"
	"github.com/turmericlift/turmericlift/forwarder"
	"github.com/turmericlift/turmericlift/pipeliner"
)

// httpServer serves HTTP over the connections of a listener. It is *http.Server or *pipeliner.Server.
type httpServer interface {
	Serve(l net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// newFront returns the server of callers' connections. handler serves their requests; it is callers, or wraps it.
func (c *Conductor) newFront(callers *forwarder.Forwarder, handler http.Handler) httpServer {
	if !c.settings.PipelinedRequests {
		return &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: nil,
			ConnContext: callerContext,
		}
	}
	return pipeliner.New(pipeliner.Settings{
		HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, MaxHeldBytes: c.settings.AnswerMemory, RequestContext: forwarder.WithArrival, ConnContext: acceptor.WithConn,
	}, handler, callers.IsIdempotent, newPipelineMetrics(c.scope), c.clock, c.log.WithField("Subsystem", "connections"))
}

// callerContext returns the context for the requests of a caller's connection to a server of net/http.
func callerContext(ctx context.Context, c net.Conn) context.Context {
	return acceptor.WithConn(forwarder.WithCallerConn(ctx, c), c)
}

// depthBuckets are the bounds of the histogram of the requests under way on a connection.
var depthBuckets = tally.ValueBuckets{2, 3, 4, 6, 8, 12, 16}

// pipelineMetrics counts the events of callers' connections. It implements pipeliner.Observer.
type pipelineMetrics struct {
	pipelined, notRead, paused tally.Counter
	depth                      tally.Histogram
}

func newPipelineMetrics(scope tally.Scope) *pipelineMetrics {
	return &pipelineMetrics{
		pipelined: scope.Counter("PipelinedRequests"), notRead: scope.Counter("RequestsNotRead"), paused: scope.Counter("AnswersPaused"),
		depth: scope.Histogram("PipelineDepth", depthBuckets),
	}
}

// RequestStarted implements pipeliner.Observer.
func (m *pipelineMetrics) RequestStarted(depth int) {
	if depth > 1 { // Callers who do not pipeline cost nothing.
		m.pipelined.Inc(1)
		m.depth.RecordValue(float64(depth))
	}
}

// RequestsNotRead implements pipeliner.Observer.
func (m *pipelineMetrics) RequestsNotRead(n int) { m.notRead.Inc(int64(n)) }

// AnswerPaused implements pipeliner.Observer.
func (m *pipelineMetrics) AnswerPaused() { m.paused.Inc(1) }
