// Package supervisor runs goroutines that belong together, so that their owner can wait for the end
// of all of them.
package supervisor

import "context"

// Group runs goroutines and knows when all of them have ended. Go may be called concurrently.
type Group struct {
	ctx    context.Context
	starts chan func(context.Context)
	ends   chan struct{}
	drain  chan struct{}
	done   chan struct{}
}

// New returns a group whose goroutines get ctx. Close must be called exactly once.
func New(ctx context.Context) *Group {
	g := &Group{
		ctx: ctx, starts: make(chan func(context.Context)), ends: make(chan struct{}),
		drain: make(chan struct{}), done: make(chan struct{}),
	}
	go g.supervise()
	return g
}

// Go runs fn in a goroutine. After the end of Close it does nothing.
func (g *Group) Go(fn func(context.Context)) {
	select {
	case g.starts <- fn:
	case <-g.done:
	}
}

// Close waits until all goroutines have ended, including those that they start with Go. The context
// given to New should have ended before, since Close doesn't end it.
func (g *Group) Close() {
	close(g.drain)
	<-g.done
}

// supervise starts goroutines and counts those that run, until Close was called and none runs.
func (g *Group) supervise() {
	defer close(g.done)
	running := 0
	drain := g.drain
	draining := false
	for !draining || running > 0 {
		select {
		case fn := <-g.starts:
			running++
			go func() {
				defer func() { g.ends <- struct{}{} }()
				fn(g.ctx)
			}()
		case <-g.ends:
			running--
		case <-drain:
			draining = true
			drain = nil
		}
	}
}
