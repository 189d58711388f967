package exchanger

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/turmericlift/turmericlift/connector"
)

const (
	// dialTimeout bounds the time in which a connection is opened: many times the round trip time within a region, and
	// less than the second after which a lost SYN packet is sent again.
	dialTimeout = 300 * time.Millisecond
	// userTimeout is the TCP user time-out: a connection is closed if sent bytes are not acknowledged for this long.
	userTimeout = 2 * time.Second
	// idleShare is the fraction of a server's idle time-out in which an idle connection is used again: a request that
	// is sent while the server closes the connection is lost.
	idleShare = 0.8
	// defaultIdleTimeout is the idle time-out that is assumed for servers that do not give one.
	defaultIdleTimeout = 5 * time.Second
)

// Pool keeps the connections to one backend server and sends requests over them. It is safe for concurrent use.
type Pool struct {
	address string
	clock   func() time.Time
	mu      sync.Mutex
	idle    []*conn // Sorted by the time of the last use, the latest at the end.
	open    int     // Idle and busy connections, and those that are being dialed.
	limit   int     // Maximum of open.
	closed  bool
	dials   uint64 // Dials so far, failed ones included.
}

// NewPool returns a pool without connections for the server at address. It opens at most limit connections at a time.
// clock must not stop while the machine is suspended.
func NewPool(address string, limit int, clock func() time.Time) *Pool {
	return &Pool{address: address, limit: limit, clock: clock}
}

// SetLimit changes the maximum number of connections. Connections above it are closed when their requests end.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// ConnectionCounts returns the number of open connections and the number of dials so far. Connections that are being
// dialed count as open; failed dials count as made.
func (p *Pool) ConnectionCounts() (open int, made uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.dials
}

// Close closes the idle connections. Busy ones are closed when their requests end, and no new ones are opened.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// Sweep closes the idle connections that cannot be used any more: they were idle for too long, the server has closed them,
// or it has sent bytes that belong to no request. Without it, such bytes would fill the receive buffers of connections for
// which there is no further request.
func (p *Pool) Sweep() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	now := p.clock()
	usable := make([]*conn, 0, len(idle))
	for _, c := range idle {
		if now.Sub(c.idleAt) > c.maxIdleTime() || !alive(c) {
			p.discard(c)
			continue
		}
		usable = append(usable, c)
	}
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.idle = append(usable, p.idle...)
	}
	p.mu.Unlock()
	if closed {
		for _, c := range usable {
			p.discard(c)
		}
	}
}

// Do sends a request over an idle connection or a new one and returns the answer. The errors are UnsentError and
// BrokenError.
func (p *Pool) Do(ctx context.Context, r *Request) (Answer, error) {
	c, err := p.get(ctx, r.ID)
	if err != nil {
		return Answer{}, &UnsentError{err}
	}
	return p.exchangeOver(ctx, c, r)
}

// DoDialedBefore sends a request over an idle connection whose dial began before the given time, so that the request
// can reach only the process that served the address at that time. If there is no such connection, it opens one for
// later requests unless one is idle, and returns an UnsentError, which wraps a ConnectionTooNewError if that connection
// can be used later. Its other errors are those of Do.
func (p *Pool) DoDialedBefore(ctx context.Context, r *Request, before time.Time) (Answer, error) {
	c := p.takeOldest(before)
	if c == nil {
		return Answer{}, &UnsentError{p.openForLater(ctx, before)}
	}
	return p.exchangeOver(ctx, c, r)
}

// EnsureConnection opens an idle connection for later requests, unless the pool has an open connection, idle or busy.
func (p *Pool) EnsureConnection(ctx context.Context) error {
	if open, _ := p.ConnectionCounts(); open > 0 {
		return nil
	}
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

// openForLater opens an idle connection, unless there is one whose dial began at before or later. It always returns an
// error: a ConnectionTooNewError if there is an idle connection now, and otherwise the error of the dial.
func (p *Pool) openForLater(ctx context.Context, before time.Time) error {
	if c := p.takeIdle(func(c *conn) bool { return !c.dialedAt.Before(before) }); c != nil {
		p.put(c)
		return &ConnectionTooNewError{c.dialedAt}
	}
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.put(c)
	return &ConnectionTooNewError{c.dialedAt}
}

// exchangeOver sends a request over a connection that was taken out of the pool. It puts the connection back or closes it
// when the answer is read.
func (p *Pool) exchangeOver(ctx context.Context, c *conn, r *Request) (Answer, error) {
	return c.exchange(ctx, r, func(keep bool) {
		if keep {
			p.put(c)
		} else {
			p.discard(c)
		}
	})
}

// put adds a connection to the idle ones, or closes it if the pool is closed or over its limit.
func (p *Pool) put(c *conn) {
	c.idleAt = p.clock()
	p.mu.Lock()
	closed := p.closed || p.open > p.limit
	if !closed {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if closed {
		p.discard(c)
	}
}

// discard resets a connection that was taken out of the pool, so that bytes that are not yet delivered are dropped.
func (p *Pool) discard(c *conn) {
	if tcp, ok := c.NetConn().(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // An error needs no handling: the connection is closed next.
	}
	_ = c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// get returns an idle connection for a request with an ID, or a new one if there is none.
func (p *Pool) get(ctx context.Context, id string) (*conn, error) {
	if c := p.takeIdle(func(c *conn) bool { return c.mayCarry(id) }); c != nil {
		return c, nil
	}
	return p.dial(ctx)
}

// takeIdle takes the connection out of the pool that was used last of the idle ones that are usable and for which fits
// returns true. It returns nil if there is none. It closes connections that are not usable or were idle for too long.
func (p *Pool) takeIdle(fits func(*conn) bool) *conn {
	for {
		c := p.popIdle(fits)
		if c == nil {
			return nil
		}
		if alive(c) {
			return c
		}
		p.discard(c)
	}
}

// takeOldest takes the usable connection out of the pool that has been idle the longest of those whose dial began
// before the given time. By this, several connections are used in turn and none of them reaches its idle time-out. It
// returns nil if there is none.
func (p *Pool) takeOldest(before time.Time) *conn {
	var oldest *conn
	p.popIdle(func(c *conn) bool {
		if c.dialedAt.Before(before) {
			oldest = c
		}
		return false
	})
	if oldest == nil {
		return nil
	}
	return p.takeIdle(func(c *conn) bool { return c == oldest || c.dialedAt.Before(before) && c.idleAt.Before(oldest.idleAt) })
}

// popIdle takes the connection out of the pool that was used last of the idle ones for which fits returns true. It
// closes connections that were idle for too long. It returns nil if there is none.
func (p *Pool) popIdle(fits func(*conn) bool) *conn {
	now := p.clock()
	p.mu.Lock()
	var expired []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleAt) > c.maxIdleTime() {
			expired = append(expired, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	var found *conn
	for n := len(p.idle) - 1; n >= 0 && found == nil; n-- {
		if fits(p.idle[n]) {
			found = p.idle[n]
			p.idle = append(p.idle[:n], p.idle[n+1:]...)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.discard(c)
	}
	return found
}

// maxIdleTime returns how long a connection may be idle and still be used.
func (c *conn) maxIdleTime() time.Duration {
	keep := c.idleTimeout
	if keep == 0 {
		keep = defaultIdleTimeout
	}
	return time.Duration(float64(keep) * idleShare)
}

// alive reports whether an idle connection is open and has no received bytes, which would belong to no request.
func alive(c *conn) bool {
	tcp, ok := c.NetConn().(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}

// dial opens a connection and counts it as open. It fails if the limit is reached or the pool is closed.
func (p *Pool) dial(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	if p.closed || p.open >= p.limit {
		p.mu.Unlock()
		return nil, ErrNoConnection
	}
	p.open++
	p.dials++
	p.mu.Unlock()
	dialedAt := p.clock()
	dialed, err := NewDialer(dialTimeout, userTimeout).DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	c := connector.New(dialed)
	head := &headLimiter{conn: c}
	return &conn{Conn: c, head: head, reader: bufio.NewReaderSize(head, readBufferBytes), dialedAt: dialedAt, idleAt: dialedAt}, nil
}

// NewDialer returns a dialer whose connections fail when the other side does not respond for unresponsiveTimeout: it
// neither acknowledges sent bytes nor answers keep-alive probes. timeout bounds the time in which a connection is
// opened.
func NewDialer(timeout, unresponsiveTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: unresponsiveTimeout / 2, Interval: unresponsiveTimeout / 2, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			if ctlErr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unresponsiveTimeout.Milliseconds()))
			}); ctlErr != nil {
				return ctlErr
			}
			return err
		},
	}
}
