package soaker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/turmericlift/turmericlift/clocker"
	"github.com/turmericlift/turmericlift/supervisor"
)

// LinkMode says what a link does with connections and their bytes.
type LinkMode int

// The modes of a link.
const (
	Open            LinkMode = iota // Bytes are forwarded.
	Delayed                         // Bytes are forwarded with a delay.
	Refused                         // Open and new connections are reset.
	Blocked                         // No bytes are forwarded; connections stay open.
	OutboundBlocked                 // No bytes are forwarded from the side that opened the connection.
	InboundBlocked                  // No bytes are forwarded to the side that opened the connection.
)

// String returns the mode's name.
func (m LinkMode) String() string {
	return [...]string{"Open", "Delayed", "Refused", "Silent", "CutOut", "CutIn"}[m]
}

const (
	// linkDelay is the delay of bytes on a delayed link.
	linkDelay = 120 * time.Millisecond
	// pollInterval is the time between two checks of whether a link forwards bytes again or a
	// process has exited.
	pollInterval = 20 * time.Millisecond
	// bufferSize is the largest number of bytes that are forwarded at once.
	bufferSize = 32 << 10
)

// link is a TCP proxy between one process and an address that it calls. Its mode can be
// changed at any time. It is safe for concurrent use.
type link struct {
	listener net.Listener
	target   string
	tasks    *supervisor.Group

	mu      sync.Mutex
	mode    LinkMode
	changed time.Time // Time at which the mode was last set.
	open    map[net.Conn]bool
}

// newLink starts a proxy to the address target. It runs in tasks until ctx ends.
func newLink(ctx context.Context, tasks *supervisor.Group, target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen as the link to %s: %w", target, err)
	}
	l := &link{listener: listener, target: target, tasks: tasks, open: map[net.Conn]bool{}}
	tasks.Go(l.accept)
	context.AfterFunc(ctx, func() {
		_ = listener.Close()
		l.setMode(time.Time{}, Refused)
	})
	return l, nil
}

// address returns the address at which the link accepts connections.
func (l *link) address() string { return l.listener.Addr().String() }

// setMode changes the mode. Refused resets the connections that are open.
func (l *link) setMode(now time.Time, m LinkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode, l.changed = m, now
	if m == Refused {
		for c := range l.open {
			reset(c)
		}
	}
}

// state returns the mode and the time at which it was set.
func (l *link) state() (LinkMode, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.changed
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // If this fails the connection is closed without a reset.
	}
	_ = c.Close()
}

// track adds a connection to those that setMode resets, or removes it.
func (l *link) track(c net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.open[c] = true
	} else {
		delete(l.open, c)
	}
}

// accept accepts connections until the listener is closed.
func (l *link) accept(context.Context) {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.tasks.Go(func(ctx context.Context) { l.proxy(ctx, c) })
	}
}

// proxy connects to the target and forwards bytes both ways until one side closes its
// connection or fails. It passes a reset on as a reset.
func (l *link) proxy(ctx context.Context, near net.Conn) {
	l.track(near, true)
	defer l.track(near, false)
	if m, _ := l.state(); m == Refused {
		reset(near)
		return
	}
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(near)
		return
	}
	l.track(far, true)
	defer l.track(far, false)
	ended := make(chan error, 2)
	l.tasks.Go(func(context.Context) { ended <- l.forward(ctx, far, near, OutboundBlocked) })
	l.tasks.Go(func(context.Context) { ended <- l.forward(ctx, near, far, InboundBlocked) })
	if err := <-ended; errors.Is(err, io.EOF) {
		_ = near.Close()
		_ = far.Close()
	} else {
		reset(near)
		reset(far)
	}
	<-ended
}

// forward copies bytes from one side to the other until an error, which it returns: io.EOF
// if the connection was closed. blocking is the mode that blocks this direction only.
func (l *link) forward(ctx context.Context, to, from net.Conn, blocking LinkMode) error {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if err := l.awaitUnblocked(ctx, blocking); err != nil {
				return err
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if err != nil {
			if m, _ := l.state(); m == Blocked || m == blocking {
				_ = l.awaitUnblocked(ctx, blocking) // A blocked direction does not forward the end of a connection either.
			}
			return err
		}
	}
}

// awaitUnblocked waits for linkDelay if the link is delayed, and for as long as it blocks
// both directions or its mode is blocking. It returns an error if the mode becomes Refused or
// ctx ends.
func (l *link) awaitUnblocked(ctx context.Context, blocking LinkMode) error {
	if m, _ := l.state(); m == Delayed {
		clocker.Sleep(ctx, linkDelay)
	}
	for {
		m, _ := l.state()
		if m == Refused {
			return net.ErrClosed
		}
		if m != Blocked && m != blocking {
			return nil
		}
		if !clocker.Sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
}
