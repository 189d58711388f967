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

// Mode is what a link does with connections.
type Mode int

// The modes of a link.
const (
	Open    Mode = iota
	Delayed      // Bytes arrive late.
	Refused      // Connections are reset, new ones too.
	Silent       // Nothing passes, and nobody is told.
	CutOut       // Nothing passes from the side that connected.
	CutIn        // Nothing passes to it.
)

// String returns the mode's name.
func (m Mode) String() string {
	return [...]string{"Open", "Delayed", "Refused", "Silent", "CutOut", "CutIn"}[m]
}

const (
	// linkDelay is how late bytes are on a delayed link.
	linkDelay = 120 * time.Millisecond
	// heldPoll is the time between two looks at whether a silent link is open again.
	heldPoll = 20 * time.Millisecond
	// pieceSize is the most bytes that pass at once.
	pieceSize = 32 << 10
)

// link is a proxy between one process and an address that it calls.
type link struct {
	listener net.Listener
	target   string
	tasks    *supervisor.Group

	mu      sync.Mutex
	mode    Mode
	changed time.Time // When the mode was set last, or bytes last passed late.
	open    map[net.Conn]bool
}

func newLink(ctx context.Context, tasks *supervisor.Group, target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", target, err)
	}
	l := &link{listener: listener, target: target, tasks: tasks, open: map[net.Conn]bool{}}
	tasks.Go(l.accept)
	context.AfterFunc(ctx, func() {
		_ = listener.Close()
		l.set(time.Time{}, Refused)
	})
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// set changes the mode. Refused ends the connections that are open.
func (l *link) set(now time.Time, m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode, l.changed = m, now
	if m == Refused {
		for c := range l.open {
			reset(c)
		}
	}
}

// state returns the mode and since when it holds.
func (l *link) state() (Mode, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.changed
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Close reports what matters.
	}
	_ = c.Close()
}

func (l *link) track(c net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.open[c] = true
	} else {
		delete(l.open, c)
	}
}

func (l *link) accept(context.Context) {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.tasks.Go(func(ctx context.Context) { l.carry(ctx, c) })
	}
}

// carry passes bytes both ways until one side ends.
func (l *link) carry(ctx context.Context, near net.Conn) {
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
	l.tasks.Go(func(context.Context) { ended <- l.pass(ctx, far, near, CutOut) })
	l.tasks.Go(func(context.Context) { ended <- l.pass(ctx, near, far, CutIn) })
	if err := <-ended; errors.Is(err, io.EOF) {
		_ = near.Close()
		_ = far.Close()
	} else {
		reset(near)
		reset(far)
	}
	<-ended
}

// pass copies bytes from one side to the other; cut is the mode that holds them up.
func (l *link) pass(ctx context.Context, to, from net.Conn, cut Mode) error {
	buffer := make([]byte, pieceSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if err := l.hold(ctx, cut); err != nil {
				return err
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if err != nil {
			if m, _ := l.state(); m == Silent || m == cut {
				_ = l.hold(ctx, cut) // The end of a connection does not pass either.
			}
			return err
		}
	}
}

// hold waits while nothing passes.
func (l *link) hold(ctx context.Context, cut Mode) error {
	if m, _ := l.state(); m == Delayed {
		clocker.Sleep(ctx, linkDelay)
	}
	for {
		m, _ := l.state()
		if m == Refused {
			return net.ErrClosed
		}
		if m != Silent && m != cut {
			return nil
		}
		if !clocker.Sleep(ctx, heldPoll) {
			return ctx.Err()
		}
	}
}
