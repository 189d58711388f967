package acceptor

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/turmericlift/turmericlift/rationer"
)

// errRefused ends the reading of a connection that a bound has closed. Servers do not answer after an error of this type.
var errRefused error = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the connection exceeds a bound and is closed")}

// Conn is a connection of a caller. It is safe for concurrent use.
type Conn struct {
	net.Conn
	listener *Listener

	mu      sync.Mutex
	head    headCounter        // Counts the head that arrives; it pauses between a head and the end of its body.
	pending *rationer.Holding  // The memory of that head.
	since   time.Time          // When the connection began to wait for a request.
	active  int                // Requests that are being served.
	bodies  map[*body]struct{} // Bodies that are being read and are incomplete.
	served  int                // Requests that were served.
	writeAt time.Time          // When the write that is under way began; zero if there is none.
	evicted bool
	closed  bool
}

// NetConn returns the connection that is wrapped, as tls.Conn.NetConn does.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It counts the heads of requests, and fails if one exceeds a bound.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	if c.evicted {
		c.mu.Unlock()
		return 0, errRefused
	}
	r := c.count(p[:n])
	mayWrite := c.active == 0 && (c.served == 0 || c.listener.limits.OneAtATime)
	if r != nil {
		c.evicted = true
	}
	c.mu.Unlock()
	if r == nil {
		return n, err
	}
	r.Remote = c.RemoteAddr().String()
	c.listener.report(*r)
	if mayWrite {
		refuse(c.Conn, r.status())
	}
	return 0, errRefused
}

// status returns the status that refuses the request.
func (r *Refusal) status() int {
	switch r.Bound {
	case BoundHeadBytes, BoundHeadFields:
		return http.StatusRequestHeaderFieldsTooLarge
	case BoundConnections, BoundWriters, BoundHeadMemory:
	}
	return http.StatusServiceUnavailable
}

// count counts bytes that have arrived. It returns the refusal if the head exceeds a bound. The caller holds the lock.
func (c *Conn) count(p []byte) *Refusal {
	if !c.head.add(p) {
		return nil
	}
	if c.head.bytes > headSlack { // Smaller ones are within any limit.
		limit := c.listener.limits.HeadBytes() + headSlack
		switch {
		case c.head.bytes > limit:
			return &Refusal{Bound: BoundHeadBytes, Limit: int64(limit), Value: int64(c.head.bytes)}
		case c.head.fields > limit/minFieldBytes:
			return &Refusal{Bound: BoundHeadFields, Limit: int64(limit / minFieldBytes), Value: int64(c.head.fields)}
		}
	}
	if !c.pending.Resize(c.head.cost()) {
		return &Refusal{Bound: BoundHeadMemory, Limit: c.listener.heads.Limit(), Value: c.listener.heads.Held() + c.head.cost()}
	}
	return nil
}

// Write implements net.Conn. Where too many connections wait for their callers, the one that has waited longest is closed.
func (c *Conn) Write(p []byte) (int, error) {
	l := c.listener
	c.mu.Lock()
	c.writeAt = l.clock()
	c.mu.Unlock()
	if writing := l.writing.Add(1); writing > int64(l.limits.Writers) {
		l.closeLongest(BoundWriters, int64(l.limits.Writers), writing, (*Conn).writesSince)
	}
	n, err := c.Conn.Write(p)
	l.writing.Add(-1)
	c.mu.Lock()
	c.writeAt = time.Time{}
	c.mu.Unlock()
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	if first {
		c.pending.Close()
	}
	c.mu.Unlock()
	if first {
		c.listener.remove(c)
	}
	return c.Conn.Close()
}

// SetLinger sets what happens to data that are not sent yet when the connection is closed, as for a net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// CloseWrite closes the side of the connection that this process writes to, as for a net.TCPConn.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// waitsSince returns since when the connection waits for its caller: for a request, the rest of a body, or the reading of an
// answer. It returns the zero time if it does not, or if another of its requests is being run.
func (c *Conn) waitsSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waits()
}

// waits is waitsSince for a caller that holds the lock.
func (c *Conn) waits() time.Time {
	switch {
	case c.closed || c.evicted:
		return time.Time{}
	case !c.writeAt.IsZero():
		return c.writeAt
	case c.active == 0:
		return c.since
	case c.active == len(c.bodies):
		var first time.Time
		for b := range c.bodies {
			if first.IsZero() || b.since.Before(first) {
				first = b.since
			}
		}
		return first
	}
	return time.Time{}
}

// writesSince returns since when a write waits for the caller, or the zero time.
func (c *Conn) writesSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.evicted {
		return time.Time{}
	}
	return c.writeAt
}

// evict closes the connection if it still waits. It returns the ID of the request whose body is incomplete, if there is one. A
// request whose head or body is incomplete does not run afterwards, which the status says if it cannot be taken for the answer
// to another request.
func (c *Conn) evict(waitsSince func(*Conn) time.Time) (id string, closed bool) {
	if waitsSince(c).IsZero() {
		return "", false
	}
	c.mu.Lock()
	if c.waits().IsZero() {
		c.mu.Unlock()
		return "", false
	}
	c.evicted = true
	mayWrite := c.writeAt.IsZero() && c.served == 0 && c.active <= 1
	for b := range c.bodies {
		id = b.id
	}
	c.mu.Unlock()
	if mayWrite {
		refuse(c.Conn, http.StatusRequestTimeout)
	} else {
		_ = c.SetLinger(0) // An error needs no handling: the connection is closed next.
	}
	_ = c.Close()
	return id, true
}
