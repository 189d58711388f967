package pipeliner

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"
)

// exchange is a request and its answer, which is written by its handler as an http.ResponseWriter.
type exchange struct {
	c         *conn
	req       *http.Request // Nil for an answer that no handler writes.
	cancel    context.CancelFunc
	isBarrier bool // Nothing else of the connection runs beside it.
	headBytes int
	body      *requestBody // Nil if the request has none.

	answer

	// Under the lock of the connection.
	next            *exchange
	state           answerState
	done            bool // The handler has ended.
	broken          bool // The answer is not complete.
	sent            bool // A part of the answer was written.
	bodyRead        bool
	held            *bytes.Buffer // What is held of the answer; nil if nothing is.
	headEnd         int           // The size of the head in held without its end, 0 if it is complete.
	writeDeadline   time.Time
	deadlineApplied bool
	waited          bool // It was held for a time.
}

// newExchange returns the exchange of a request whose first byte arrived at a time.
func newExchange(c *conn, r *http.Request, arrived time.Time) *exchange {
	x := &exchange{c: c}
	ctx := c.ctx
	if annotate := c.server.settings.RequestContext; annotate != nil {
		ctx = annotate(ctx, arrived)
	}
	ctx, x.cancel = context.WithCancel(ctx)
	x.req = r.WithContext(ctx)
	x.req.RemoteAddr = c.remote
	// Answers to HTTP/1.0 may end with the connection, so that nothing may run behind them.
	x.isBarrier = !r.ProtoAtLeast(1, 1) || r.Method == http.MethodConnect || !c.server.idempotent(r.Host, r.URL.Path)
	if r.ContentLength != 0 {
		x.body = &requestBody{x: x, inner: r.Body, sendHint: r.ProtoAtLeast(1, 1) && r.Header.Get("Expect") != ""}
		x.req.Body = x.body
	}
	x.contentLength = -1
	x.wantsKeepAlive = !r.ProtoAtLeast(1, 1) && !r.Close
	return x
}

var heldBuffers = sync.Pool{New: func() any { return bytes.NewBuffer(make([]byte, 0, 1<<10)) }}

// heldBytes returns the size of what is held of the answer. The caller holds the lock of the connection.
func (x *exchange) heldBytes() int {
	if x.held == nil {
		return 0
	}
	return x.held.Len()
}

// room returns how many bytes of the answer can be held beside what is. Connections that find room at the same moment may
// exceed the bound of the server, each by its answer. The caller holds the lock of the connection.
func (x *exchange) room() int {
	c := x.c
	shared := c.server.settings.MaxHeldBytes - c.server.held.Load()
	return int(min(int64(min(maxHeldAnswer-x.heldBytes(), maxHeldAnswers-c.held)), shared))
}

// hold calls write to add to what is held of the answer. The caller holds the lock of the connection.
func (x *exchange) hold(write func(*bytes.Buffer)) {
	if x.held == nil {
		x.held = heldBuffers.Get().(*bytes.Buffer)
	}
	before := x.held.Len()
	write(x.held)
	x.c.held += x.held.Len() - before
	x.c.server.held.Add(int64(x.held.Len() - before))
}

// dropHeld ends the holding of the answer. The caller holds the lock of the connection.
func (x *exchange) dropHeld() {
	if x.held == nil {
		return
	}
	x.c.held -= x.held.Len()
	x.c.server.held.Add(-int64(x.held.Len()))
	x.held.Reset()
	heldBuffers.Put(x.held)
	x.held = nil
}
