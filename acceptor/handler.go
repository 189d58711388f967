package acceptor

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/turmericlift/turmericlift/rationer"
)

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// WithConn returns a context for the requests of a connection that a Listener accepted. It is meant for
// http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Handler returns a handler that serves the requests of the Listener's connections with next. The server must give the
// contexts of requests to WithConn.
func (l *Listener) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		b, held, refusal := c.begin(r)
		if b == nil {
			panic(http.ErrAbortHandler) // The connection was closed when the request had just been read.
		}
		defer c.end(b, held)
		defer l.boundUnread(w, b)
		if refusal != nil {
			l.report(*refusal)
			h := w.Header()
			h.Set("Retry-After", "1")
			h.Set("Connection", "close")
			w.WriteHeader(refusal.status())
			return
		}
		bounded := *r // The server keeps the body of its own request, which it needs to find the end.
		bounded.Body = b
		next.ServeHTTP(w, &bounded)
	})
}

// boundUnread bounds the time in which a server reads the rest of a body that its handler has not read.
func (l *Listener) boundUnread(w http.ResponseWriter, b *body) {
	if !b.isComplete() && !b.failed {
		// Not all writers have deadlines: those that have none are not bounded.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(l.limits.UnreadBodyTime))
	}
}

// begin records that a request is being served, and returns its body and the memory of its head. The refusal is not nil if the
// head does not fit the memory of all heads. The body is nil if the connection was closed meanwhile.
func (c *Conn) begin(r *http.Request) (*body, *rationer.Holding, *Refusal) {
	l := c.listener
	b := &body{ReadCloser: r.Body, conn: c, id: r.Header.Get(l.idHeader), since: l.clock(), complete: r.ContentLength == 0 || r.Body == nil}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted || c.closed {
		return nil, nil, nil
	}
	c.active++
	held := c.pending
	c.pending = l.heads.Open()
	c.head = headCounter{done: !b.complete} // The body is not counted, also if its head had been read with the request before it.
	if cost := parsedCost(r); cost > held.Bytes() && !held.Resize(cost) {
		return b, held, &Refusal{Remote: c.RemoteAddr().String(), ID: b.id, Bound: BoundHeadMemory, Limit: l.heads.Limit(), Value: l.heads.Held() + cost}
	}
	return b, held, nil
}

// end records that a request has been served.
func (c *Conn) end(b *body, held *rationer.Holding) {
	held.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
	c.served++
	c.since = c.listener.clock()
	delete(c.bodies, b)
	if !b.complete {
		b.complete = true
		c.head = headCounter{}
	}
}

// body is the body of a request. While it is read and incomplete, its connection waits for the caller.
type body struct {
	io.ReadCloser
	conn     *Conn
	id       string
	since    time.Time
	complete bool // Guarded by the connection's lock.
	failed   bool
}

// isComplete reports whether the body was read to its end.
func (b *body) isComplete() bool {
	b.conn.mu.Lock()
	defer b.conn.mu.Unlock()
	return b.complete
}

// Read implements io.Reader. It fails if the connection was closed because of the incomplete body, also if the rest has just
// arrived: the caller may have been told that the request does not run.
func (b *body) Read(p []byte) (int, error) {
	c := b.conn
	c.mu.Lock()
	if !b.complete {
		if c.bodies == nil {
			c.bodies = map[*body]struct{}{}
		}
		c.bodies[b] = struct{}{}
	}
	c.mu.Unlock()
	n, err := b.ReadCloser.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		b.failed = true
		return 0, errRefused
	}
	if err != nil {
		delete(c.bodies, b)
	}
	switch {
	case errors.Is(err, io.EOF) && !b.complete:
		b.complete = true
		c.head = headCounter{}
	case err != nil && !errors.Is(err, io.EOF):
		b.failed = true
	}
	return n, err
}
