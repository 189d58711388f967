package pipeliner

import (
	"bytes"
	"context"
	"net/http"
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
	held            bytes.Buffer
	headEnd         int // The size of the head in held without its end, 0 if it is complete.
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
	x.isBarrier = !r.ProtoAtLeast(1, 1) || r.Method == http.MethodConnect || !c.server.handler.IsIdempotent(r.Host, r.URL.Path)
	if r.ContentLength != 0 {
		x.body = &requestBody{x: x, inner: r.Body, sendHint: r.ProtoAtLeast(1, 1) && r.Header.Get("Expect") != ""}
		x.req.Body = x.body
	}
	x.contentLength = -1
	x.wantsKeepAlive = !r.ProtoAtLeast(1, 1) && !r.Close
	return x
}
