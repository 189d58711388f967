// Package pipeliner serves callers' connections whose requests may be pipelined: it reads each HTTP/1.1 request as it arrives,
// runs idempotent ones concurrently, and writes the answers in the order of the requests. net/http's server reads the next
// request of a connection only when the last answer is written.
//
// Start with Server.Serve in pipeliner.go. connection.go reads the requests of a connection, exchange.go has a request and its
// answer, parse.go checks heads, input.go bounds and times what is read, and watch.go notices a caller that leaves while
// nothing is read. queue.go decides which requests start and writes the answers in order; answer.go is the
// http.ResponseWriter, head.go writes the heads of answers, and body.go reads the bodies of requests.
package pipeliner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// maxDepth bounds the requests of a connection that are read and whose answers are not written.
	maxDepth = 16
	// maxHeadBytes bounds the heads of these requests together, in bytes. A single request is bounded by the settings.
	maxHeadBytes = 64 << 10
	// maxHeldAnswer bounds what is held of an answer that waits for others, in bytes. Then its handler waits, so that
	// nothing more is read from the backend server.
	maxHeldAnswer = 64 << 10
	// maxHeldAnswers bounds what is held of all such answers of a connection, in bytes. Each may exceed it by its head.
	maxHeldAnswers = 256 << 10
	// maxDiscarded bounds what is read of a body that the handler has left unread, in bytes, so that the connection can be
	// used again. It is the bound of net/http.
	maxDiscarded = 256 << 10
	// discardTime bounds the time in which this is read, unless the handler has set a deadline for the body.
	discardTime = time.Second
	// queuedWriteTime is the least time in which a caller must have read an answer that waited for others: the time that
	// its handler has set may have passed while it waited.
	queuedWriteTime = 2 * time.Second
	// lingerTime is how long a connection is read and discarded after its last answer, so that requests which are not
	// read do not reset it before the caller has the answer.
	lingerTime = 500 * time.Millisecond
	// maxLingerBytes bounds what is discarded in this time.
	maxLingerBytes = 1 << 20
	// maxIdleWorkers bounds the goroutines that are kept for the next requests, with stacks that have grown already.
	maxIdleWorkers = 32
	// maxAcceptDelay bounds the wait after a connection could not be accepted, such as for lack of file descriptors.
	maxAcceptDelay = time.Second
	// logLinesPerSecond and logBurst bound the log lines about callers' connections.
	logLinesPerSecond, logBurst = 5, 20
)

// Settings configure a Server.
type Settings struct {
	// HeaderTimeout bounds the time from the first byte of a request to the end of its head.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the head of a request, in bytes.
	MaxHeaderBytes int
	// MaxHeldBytes bounds what is held of all answers that wait for others on their connections, in bytes.
	MaxHeldBytes int64
	// ConnContext returns the context of a connection's requests; nil if there is nothing to add.
	ConnContext func(ctx context.Context, c net.Conn) context.Context
	// RequestContext returns the context of a request whose first byte arrived at a time.
	RequestContext func(ctx context.Context, arrived time.Time) context.Context
}

// Observer gets the events for the metrics. Its methods are called concurrently.
type Observer interface {
	// RequestStarted says that a request began to run; depth is the number of requests of its connection that are read and
	// not answered, this one included.
	RequestStarted(depth int)
	// RequestsNotRead says that a number of requests were dropped because their connection ended. They have not run.
	RequestsNotRead(n int)
	// AnswerPaused says that an answer waits for others and that no more of it is held.
	AnswerPaused()
}

// Server serves callers' connections. Its methods are called concurrently.
type Server struct {
	settings Settings
	handler  http.Handler
	// idempotent reports whether requests for a host and path may run more than once. Only these run beside other requests
	// of their connection.
	idempotent func(host, path string) bool
	observer   Observer
	clock      func() time.Time
	log        *logrus.Entry
	logLimit   *rate.Limiter
	ctx        context.Context // Ends with Close.
	cancel     context.CancelFunc
	work       chan *exchange // For idle workers.
	stopping   atomic.Bool    // Set under the lock.
	held       atomic.Int64   // Bytes of answers that wait for others.

	mu          sync.Mutex
	listeners   map[net.Listener]struct{}
	conns       map[*conn]struct{}
	idleWorkers int
	quiet       chan struct{} // Closed when the Server is stopping and has no connections.
}

// New returns a Server that accepts no connections yet. The handler is called concurrently, also for one connection, by whose
// requests only those run at once for whose host and path idempotent returns true: they may run more than once.
func New(s Settings, handler http.Handler, idempotent func(host, path string) bool, observer Observer, clock func() time.Time, log *logrus.Entry) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		settings: s, handler: handler, idempotent: idempotent, observer: observer, clock: clock, log: log, logLimit: rate.NewLimiter(logLinesPerSecond, logBurst),
		ctx: ctx, cancel: cancel, work: make(chan *exchange), listeners: map[net.Listener]struct{}{}, conns: map[*conn]struct{}{}, quiet: make(chan struct{}),
	}
}

// Serve accepts connections until the Server is shut down or closed, and returns http.ErrServerClosed then, or until the
// listener fails.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.stopping.Load() {
		s.mu.Unlock()
		_ = l.Close() // Nothing was accepted.
		return http.ErrServerClosed
	}
	s.listeners[l] = struct{}{}
	s.mu.Unlock()
	defer func() {
		_ = l.Close() // A second close does no harm.
		s.mu.Lock()
		delete(s.listeners, l)
		s.mu.Unlock()
	}()
	delay := 5 * time.Millisecond
	for {
		rwc, err := l.Accept()
		var temporary interface{ Temporary() bool }
		switch {
		case err == nil:
			delay = 5 * time.Millisecond
			if c := s.open(rwc); c != nil {
				go c.serve()
			}
		case s.stopping.Load():
			return http.ErrServerClosed
		case errors.As(err, &temporary) && temporary.Temporary():
			s.warn("connection could not be accepted", logrus.Fields{"Error": err, "DelayMs": delay.Milliseconds()})
			time.Sleep(delay)
			delay = min(2*delay, maxAcceptDelay)
		default:
			return err
		}
	}
}

// Shutdown stops accepting, closes idle connections, and waits until the others have answered the requests that they have
// read, or until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, c := range s.stop() {
		c.closeIdle()
	}
	select {
	case <-s.quiet:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close stops accepting and closes all connections.
func (s *Server) Close() error {
	conns := s.stop()
	s.cancel()
	for _, c := range conns {
		c.fail()
	}
	return nil
}

// stop closes the listeners and returns the open connections.
func (s *Server) stop() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping.CompareAndSwap(false, true) && len(s.conns) == 0 {
		close(s.quiet)
	}
	for l := range s.listeners {
		_ = l.Close() // Serve returns in any case.
	}
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// open returns the state of a new connection, or nil if the Server is stopping.
func (s *Server) open(rwc net.Conn) *conn {
	c := newConn(s, rwc)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping.Load() {
		_ = rwc.Close() // Nothing was read from it.
		return nil
	}
	s.conns[c] = struct{}{}
	return c
}

// forget removes a connection that has ended.
func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if s.stopping.Load() && len(s.conns) == 0 {
		close(s.quiet)
	}
}

// run runs the handler of a request in an idle worker, or in a new one.
func (s *Server) run(x *exchange) {
	select {
	case s.work <- x:
	default:
		go s.runWorker(x)
	}
}

// runWorker runs handlers, one after the other, until enough other workers are idle or the Server is closed.
func (s *Server) runWorker(x *exchange) {
	for {
		x.serve()
		x = nil // A worker that waits must not keep the memory of its last request.
		if !s.setIdle() {
			return
		}
		select {
		case x = <-s.work:
			s.mu.Lock()
			s.idleWorkers--
			s.mu.Unlock()
		case <-s.ctx.Done():
			return
		}
	}
}

// setIdle counts an idle worker. It returns false if there are enough.
func (s *Server) setIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idleWorkers >= maxIdleWorkers {
		return false
	}
	s.idleWorkers++
	return true
}

// warn logs an event of a caller's connection, unless there were too many lines.
func (s *Server) warn(text string, fields logrus.Fields) {
	if s.logLimit.Allow() {
		s.log.WithFields(fields).Warning(text)
	}
}
