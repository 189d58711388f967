package pipeliner

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4<<10) }}

// conn is a caller's connection. One goroutine reads its requests; the handlers run in others. The answers are written by the
// handler of the first exchange, and by the goroutine that completes it.
type conn struct {
	server *Server
	rwc    net.Conn
	remote string
	ctx    context.Context // Of all requests; ends when the caller leaves.
	cancel context.CancelFunc

	// Used by the reading goroutine, and by the handler that reads a body.
	in         input
	reader     *bufio.Reader
	lastMethod string
	requests   int

	// Used by the goroutine that writes the first answer.
	writer *bufio.Writer

	mu        sync.Mutex
	moved     sync.Cond // Signals a change of what follows.
	first     *exchange // The exchanges under way, linked in the order of their requests.
	newest    *exchange
	depth     int       // Their number.
	barriers  int       // The number of those beside which nothing else runs.
	headBytes int       // The size of their heads.
	held      int       // The size of their answers as far as these are held.
	handlers  int       // The number of handlers that run.
	pending   *exchange // The request that waits until it may start.
	watching  bool      // The reading goroutine waits in watch.
	awaits    bool      // The reading goroutine waits for the first byte of a request.
	idleAt    time.Time // When the last answer was written.
	last      bool      // No further request starts.
	left      bool      // The caller has left.
	ended     bool      // The last answer was written.
	failed    error     // Nothing can be written any more.

	hasWriteDeadline bool
}

// newConn returns the state of a new connection.
func newConn(s *Server, rwc net.Conn) *conn {
	c := &conn{server: s, rwc: rwc, idleAt: time.Now()}
	if a := rwc.RemoteAddr(); a != nil {
		c.remote = a.String()
	}
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	if annotate := s.settings.ConnContext; annotate != nil {
		c.ctx = annotate(c.ctx, rwc)
	}
	c.moved.L = &c.mu
	c.in = input{rwc: rwc, clock: s.clock, timeout: s.settings.HeaderTimeout, left: c.leave}
	c.reader = readers.Get().(*bufio.Reader)
	c.reader.Reset(&c.in)
	return c
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	c.setReadDeadline(c.server.settings.HeaderTimeout)
	for c.awaitByte() && c.next() {
	}
	c.close()
}

// setReadDeadline sets the read deadline of the reading goroutine.
func (c *conn) setReadDeadline(after time.Duration) {
	_ = c.rwc.SetReadDeadline(time.Now().Add(after)) // It fails only if the connection is closed, as does the read.
}

// awaitByte waits for the first byte of the next request, and notices meanwhile if the caller leaves. It returns false if no
// request follows.
func (c *conn) awaitByte() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.failed == nil && !c.ended {
		c.awaits = c.reader.Buffered() == 0
		if c.awaits && c.first == nil && c.server.stopping.Load() {
			return false
		}
		var err error
		c.unlocked(func() { _, err = c.reader.Peek(1) })
		c.awaits = false
		switch {
		case err == nil && !c.last:
			return true
		case err == nil:
			c.dropPending()
			return false
		case c.failed != nil || c.ended:
			return false
		case !isTimeout(err):
			return false
		case c.first == nil && time.Since(c.idleAt) >= c.idleTimeout():
			return false
		case c.first == nil:
			c.setReadDeadline(c.idleTimeout() - time.Since(c.idleAt))
		default:
			c.setReadDeadline(c.server.settings.IdleTimeout)
		}
	}
	return false
}

// idleTimeout returns how long the connection may be idle now. As in net/http, the first request must follow sooner.
func (c *conn) idleTimeout() time.Duration {
	if c.requests == 0 {
		return c.server.settings.HeaderTimeout
	}
	return c.server.settings.IdleTimeout
}

// next reads a request and starts it when it may run. It returns false if no request follows.
func (c *conn) next() bool {
	arrived := c.in.readAt
	before := c.in.total - int64(c.reader.Buffered())
	r, err := c.readHead()
	if c.in.endHead() {
		c.setReadDeadline(c.server.settings.IdleTimeout)
	}
	c.requests++
	if err != nil {
		c.refuse(err)
		return false
	}
	x := newExchange(c, r, arrived)
	x.headBytes = int(c.in.total-before) - c.reader.Buffered()
	if !c.start(x) {
		x.cancel()
		return false
	}
	return x.body == nil || c.awaitBody(x)
}

// start starts the handler of a request when it may run. It returns false if the connection ends before.
func (c *conn) start(x *exchange) bool {
	c.mu.Lock()
	c.awaitStart(x)
	if c.failed != nil || c.last {
		c.dropPending()
		c.mu.Unlock()
		return false
	}
	c.push(x)
	c.handlers++
	c.last = x.req.Close
	depth := c.depth
	c.mu.Unlock()
	c.server.observer.RequestStarted(depth)
	c.server.run(x)
	return true
}

// awaitStart waits until a request may start, or the connection ends. The caller holds the lock.
func (c *conn) awaitStart(x *exchange) {
	c.pending = x
	for c.failed == nil && !c.last && !c.mayStart(x) {
		c.waitTurn()
	}
	c.pending = nil
}

// waitTurn waits until the pending request may have its turn, or the connection ends. Nothing is read meanwhile, so the socket
// is watched for the caller's leaving. The caller holds the lock.
func (c *conn) waitTurn() {
	c.watching = true
	var left, watched bool
	c.unlocked(func() { left, watched = watch(c.rwc) })
	if !watched && c.watching {
		c.moved.Wait()
	}
	c.watching = false
	c.setReadDeadline(c.server.settings.IdleTimeout)
	if left {
		c.leaveLocked()
	}
}

// wake ends waitTurn if there is a reason. The caller holds the lock.
func (c *conn) wake() {
	c.moved.Broadcast()
	if c.watching && (c.last || c.ended || c.failed != nil || c.pending != nil && c.mayStart(c.pending)) {
		c.watching = false
		c.setReadDeadline(-time.Second)
	}
}

// dropPending counts a request that has arrived and does not start, and waits for the end of those that run. The caller holds
// the lock.
func (c *conn) dropPending() {
	c.server.observer.RequestsNotRead(1)
	for c.failed == nil && !c.ended && !c.left {
		c.waitTurn()
	}
}

// awaitBody waits until the body of a request was read. It returns false if no request follows.
func (c *conn) awaitBody(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.failed == nil && !c.ended && !x.bodyRead {
		c.moved.Wait()
	}
	return x.bodyRead
}

// endBody says that the body of a request was read to its end, so that the next request can be read.
func (c *conn) endBody(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setReadDeadline(c.server.settings.IdleTimeout)
	x.bodyRead = true
	c.moved.Broadcast()
}

// refuse answers a request whose head could not be read, when its turn has come, and ends the connection.
func (c *conn) refuse(err error) {
	text, status := errorAnswer(err)
	x := &exchange{c: c, done: true, writeDeadline: time.Now().Add(queuedWriteTime)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if text != "" {
		c.awaitStart(x)
	}
	dropped := c.failed != nil || c.last
	c.last = true
	if text == "" || dropped {
		return
	}
	c.server.warn("request of a caller could not be read", logrus.Fields{"Caller": c.remote, "Status": status, "Error": err, "MaxHeaderBytes": c.server.settings.MaxHeaderBytes})
	x.hold(func(b *bytes.Buffer) { b.WriteString(text) })
	c.push(x)
	if c.first == x {
		c.writeHeld(x)
		c.advance()
	}
	for c.failed == nil && !c.ended && !c.left {
		c.waitTurn()
	}
}

// end ends the connection after its last answer. askedFor says that the caller wants that and sends no more. The caller holds
// the lock.
func (c *conn) end(askedFor bool) {
	c.ended = true
	w, ok := c.rwc.(interface{ CloseWrite() error })
	if askedFor || !ok {
		_ = c.rwc.Close() // All was written, and the reading goroutine ends.
	} else {
		_ = w.CloseWrite() // It fails only if the caller has left.
		c.setReadDeadline(lingerTime)
	}
	c.wake()
}

// leave says that the caller has left: all its requests end.
func (c *conn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaveLocked()
}

// leaveLocked says that the caller has left. The caller of leaveLocked holds the lock.
func (c *conn) leaveLocked() {
	c.left, c.last = true, true
	c.cancel()
	c.moved.Broadcast()
}

// fail ends the connection at once.
func (c *conn) fail() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failLocked()
}

// failLocked ends the connection at once. The caller holds the lock.
func (c *conn) failLocked() {
	if c.failed == nil {
		c.failed = errEnded
	}
	c.cancel()
	_ = c.rwc.Close() // Nothing more is written.
	c.moved.Broadcast()
}

// reset ends the connection by a reset. The caller holds the lock.
func (c *conn) reset() {
	if t, ok := c.rwc.(interface{ SetLinger(seconds int) error }); ok {
		_ = t.SetLinger(0) // An error needs no handling: the connection is closed next.
	}
	c.failLocked()
}

// closeIdle closes the connection if no request is under way.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.first == nil && c.awaits {
		c.failLocked()
	}
}

// close waits for the handlers and closes the connection.
func (c *conn) close() {
	c.mu.Lock()
	for c.handlers > 0 && c.failed == nil && !c.ended {
		c.moved.Wait()
	}
	lingers := c.ended
	c.mu.Unlock()
	if lingers {
		c.setReadDeadline(lingerTime)
		_, _ = io.CopyN(io.Discard, c.rwc, maxLingerBytes) // It ends with the time, or when the caller has closed.
	}
	_ = c.rwc.Close() // All was written.
	c.mu.Lock()
	for c.handlers > 0 {
		c.moved.Wait()
	}
	for x := c.first; x != nil; x = x.next { // They have lost their connection.
		x.dropHeld()
	}
	c.mu.Unlock()
	c.cancel()
	c.reader.Reset(nil)
	readers.Put(c.reader)
	if c.writer != nil {
		c.writer.Reset(nil)
		writers.Put(c.writer)
	}
	c.server.forget(c)
}
