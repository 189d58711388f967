// Package acceptor bounds what the connections of callers use of a process: their number, the memory of the heads of their
// requests, the connections whose callers do not read answers, and the time that is spent on a body after its answer.
//
// Start with New in acceptor.go: a Listener wraps a net.Listener, and Listener.Handler in handler.go wraps the handler of the
// requests. Between them they know what each connection (conn.go) waits for, so they work with any server that reads requests
// from net.Conn. head.go counts the bytes and fields of heads as they arrive, before a server has parsed them.
package acceptor

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericlift/turmericlift/rationer"
)

// Limits are the bounds of a Listener. Each of them must be above 0.
type Limits struct {
	// Connections is the largest number of open connections.
	Connections int
	// Writers is the largest number of connections on which a write may wait for its caller at the same time. Each of them
	// holds a part of an answer.
	Writers int
	// HeadMemory is the largest number of bytes that the heads of the requests of all connections may use together.
	HeadMemory int64
	// HeadBytes returns the largest size of the head of a request, in bytes.
	HeadBytes func() int
	// UnreadBodyTime bounds the time in which the rest of a body is read after the request was answered.
	UnreadBodyTime time.Duration
	// OneAtATime says that the server reads the head of a request only when the requests before it on the connection are
	// answered, so that a status that is written meanwhile is not taken for the answer of one of these.
	OneAtATime bool
}

// Bound names one of the bounds.
type Bound string

// The bounds that a connection can reach.
const (
	BoundConnections Bound = "connections"
	BoundWriters     Bound = "writers"
	BoundHeadMemory  Bound = "head memory"
	BoundHeadBytes   Bound = "head bytes"
	BoundHeadFields  Bound = "head fields"
)

// Refusal describes a connection that was closed or a request that was refused because of a bound. No refused request has
// run, except for BoundWriters, where the caller did not read the answers of requests that had.
type Refusal struct {
	Remote string
	ID     string // The ID of the request, if it has been read.
	Bound  Bound
	Limit  int64
	Value  int64         // The value that exceeds the limit.
	Waited time.Duration // How long the connection had waited for its caller; 0 if it is a new one.
}

// minWait is how long a connection must have waited for its caller before it is closed in favour of another one. A caller
// that has just connected has this time for its request.
const minWait = 200 * time.Millisecond

// Listener wraps a net.Listener. It is safe for concurrent use.
type Listener struct {
	net.Listener
	limits   Limits
	heads    *rationer.Rationer
	idHeader string
	clock    func() time.Time
	report   func(Refusal)
	writing  atomic.Int64 // Connections on which a write is under way.

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// New returns a Listener that accepts the connections of l within limits. idHeader is the name of the header with the ID of a
// request. report is called for each refusal; it must not block.
func New(l net.Listener, limits Limits, idHeader string, clock func() time.Time, report func(Refusal)) *Listener {
	return &Listener{
		Listener: l, limits: limits, heads: rationer.New(limits.HeadMemory), idHeader: idHeader, clock: clock, report: report,
		conns: map[*Conn]struct{}{},
	}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// HeadMemory returns the number of bytes that the heads of requests use.
func (l *Listener) HeadMemory() int64 { return l.heads.Held() }

// Accept returns the next connection. At the bound on connections it closes the one that has waited longest for its caller, or
// the new one if none has waited for minWait: then all of them are being served.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		open := l.Open()
		if open >= l.limits.Connections && !l.closeLongest(BoundConnections, int64(l.limits.Connections), int64(open)+1, (*Conn).waitsSince) {
			l.report(Refusal{Remote: c.RemoteAddr().String(), Bound: BoundConnections, Limit: int64(l.limits.Connections), Value: int64(open) + 1})
			refuse(c, http.StatusServiceUnavailable)
			_ = c.Close()
			continue
		}
		conn := &Conn{Conn: c, listener: l, pending: l.heads.Open(), since: l.clock()}
		l.mu.Lock()
		l.conns[conn] = struct{}{}
		l.mu.Unlock()
		return conn, nil
	}
}

// closeLongest closes the connection that has waited longest, by a function that says since when one has waited, or the zero
// time. It returns false if none has waited for minWait. Its cost grows with the number of connections.
func (l *Listener) closeLongest(bound Bound, limit, value int64, waitsSince func(*Conn) time.Time) bool {
	now := l.clock()
	l.mu.Lock()
	var longest *Conn
	var since time.Time
	for c := range l.conns {
		if at := waitsSince(c); !at.IsZero() && now.Sub(at) >= minWait && (longest == nil || at.Before(since)) {
			longest, since = c, at
		}
	}
	l.mu.Unlock()
	if longest == nil {
		return false
	}
	id, closed := longest.evict(waitsSince)
	if closed {
		l.report(Refusal{Remote: longest.RemoteAddr().String(), ID: id, Bound: bound, Limit: limit, Value: value, Waited: now.Sub(since)})
	}
	return closed
}

// remove forgets a connection that is closed.
func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// refuseTime bounds the time in which a refusal is written. A caller with room for it in its receive buffer gets it.
const refuseTime = 10 * time.Millisecond

// refuse writes an answer that promises that the request has not run, if the caller reads it.
func refuse(c net.Conn, status int) {
	_ = c.SetWriteDeadline(time.Now().Add(refuseTime))
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
}
