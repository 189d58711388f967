package exchanger

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the time until a connection is made: many times the round trip
	// within a region, and less than the second after which a lost opening packet is
	// sent again.
	dialTimeout = 300 * time.Millisecond
	// userTimeout ends a connection whose bytes are not acknowledged.
	userTimeout = 2 * time.Second
	// idleShare is the part of a server's idle time in which a connection is used again:
	// a request that crosses the server's close is lost.
	idleShare = 0.8
	// defaultKeepFor is assumed where the server does not say.
	defaultKeepFor = 5 * time.Second
)

// Pool keeps the connections to one backend server. It is safe for concurrent use.
type Pool struct {
	address string
	clock   func() time.Time
	mu      sync.Mutex
	idle    []*conn // The one that was used last is at the end.
	open    int
	limit   int
	closed  bool
	dials   uint64
}

// NewPool returns the pool of the server at address with at most limit connections.
// clock must go on while the machine is suspended.
func NewPool(address string, limit int, clock func() time.Time) *Pool {
	return &Pool{address: address, limit: limit, clock: clock}
}

// SetLimit changes the most connections.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// Open returns the number of connections and how many have been made so far.
func (p *Pool) Open() (open int, made uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.dials
}

// Close ends the idle connections; busy ones end with their request.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// Do sends a request over an idle connection or a new one. Its errors are UnsentError
// and BrokenError.
func (p *Pool) Do(ctx context.Context, r *Request) (Answer, error) {
	c, err := p.get(ctx)
	if err != nil {
		return Answer{}, &UnsentError{err}
	}
	return p.use(ctx, c, r)
}

// DoBefore sends a request over a connection that was asked for before a time, so that
// it reaches the process that the server was at that time or none. Without such a
// connection it makes one for later and returns an UnsentError.
func (p *Pool) DoBefore(ctx context.Context, r *Request, before time.Time) (Answer, error) {
	c := p.takeOldest(before)
	if c == nil {
		return Answer{}, &UnsentError{p.prepare(ctx, before)}
	}
	return p.use(ctx, c, r)
}

// Prepare makes an idle connection for later, unless there is one.
func (p *Pool) Prepare(ctx context.Context) error {
	if open, _ := p.Open(); open > 0 {
		return nil
	}
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

// prepare makes an idle connection unless one that is younger than before is there.
func (p *Pool) prepare(ctx context.Context, before time.Time) error {
	if c := p.takeIdle(func(c *conn) bool { return !c.madeAt.Before(before) }); c != nil {
		p.put(c)
		return &YoungError{c.madeAt}
	}
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.put(c)
	return &YoungError{c.madeAt}
}

func (p *Pool) use(ctx context.Context, c *conn, r *Request) (Answer, error) {
	a, keep, err := c.exchange(ctx, r)
	if keep {
		p.put(c)
	} else {
		p.discard(c)
	}
	return a, err
}

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

// discard resets the connection, so that bytes on their way are lost.
func (p *Pool) discard(c *conn) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Close reports what matters.
	}
	_ = c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

func (p *Pool) get(ctx context.Context) (*conn, error) {
	if c := p.takeIdle(func(*conn) bool { return true }); c != nil {
		return c, nil
	}
	return p.dial(ctx)
}

// takeIdle takes out the idle connection that was used last, is sound and fits. It ends
// those that have been idle too long.
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

// takeOldest takes out the sound idle connection that has been unused the longest of
// those made before a time, so that several stay in use.
func (p *Pool) takeOldest(before time.Time) *conn {
	var oldest *conn
	p.popIdle(func(c *conn) bool {
		if c.madeAt.Before(before) {
			oldest = c
		}
		return false
	})
	if oldest == nil {
		return nil
	}
	return p.takeIdle(func(c *conn) bool { return c == oldest || c.madeAt.Before(before) && c.idleAt.Before(oldest.idleAt) })
}

func (p *Pool) popIdle(fits func(*conn) bool) *conn {
	now := p.clock()
	p.mu.Lock()
	var old []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleAt) > c.usableFor() {
			old = append(old, c)
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
	for _, c := range old {
		p.discard(c)
	}
	return found
}

func (c *conn) usableFor() time.Duration {
	keep := c.keepFor
	if keep == 0 {
		keep = defaultKeepFor
	}
	return time.Duration(float64(keep) * idleShare)
}

// alive reports whether an idle connection is open and has no bytes waiting.
func alive(c *conn) bool {
	tcp, ok := c.Conn.(*net.TCPConn)
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

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	if p.closed || p.open >= p.limit {
		p.mu.Unlock()
		return nil, errFull
	}
	p.open++
	p.dials++
	p.mu.Unlock()
	madeAt := p.clock()
	c, err := Dialer(dialTimeout, userTimeout).DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, bufferSize), madeAt: madeAt, idleAt: madeAt}, nil
}

// Dialer returns a dialer whose connections end when the other side stays silent for
// about silence.
func Dialer(timeout, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: silence / 2, Interval: silence / 2, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			if ctlErr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
			}); ctlErr != nil {
				return ctlErr
			}
			return err
		},
	}
}
