package pipeliner

import (
	"bufio"
	"errors"
	"sync"
	"time"
)

// errEnded says that a connection cannot be written to any more.
var errEnded = errors.New("the caller's connection has ended")

// answerState says where the answer of an exchange is written.
type answerState int

const (
	// waits: answers ahead are not complete; the answer is held.
	waits answerState = iota
	// flushes: the goroutine that completed the answer ahead writes what is held.
	flushes
	// live: the answer is written to the connection.
	live
)

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}

// mayStart reports whether a request may run now. The caller holds the lock.
func (c *conn) mayStart(x *exchange) bool {
	switch {
	case c.first == nil:
		return true
	case x.isBarrier || x.body != nil || c.barriers > 0:
		return false
	}
	return c.depth < maxDepth && c.headBytes+x.headBytes <= maxHeadBytes
}

// push adds an exchange to the end of the queue. The caller holds the lock.
func (c *conn) push(x *exchange) {
	if c.first == nil {
		c.first, x.state = x, live
		c.writer = writers.Get().(*bufio.Writer)
		c.writer.Reset(c.rwc)
	} else {
		c.newest.next = x
	}
	c.newest = x
	c.depth++
	c.headBytes += x.headBytes
	if x.isBarrier {
		c.barriers++
	}
}

// pop removes the first exchange. The caller holds the lock.
func (c *conn) pop() {
	x := c.first
	c.first = x.next
	c.depth--
	c.headBytes -= x.headBytes
	if x.isBarrier {
		c.barriers--
	}
}

// complete says that the handler of an exchange has ended. Its answer is written when those ahead are.
func (c *conn) complete(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.done = true
	if x.state == live {
		c.advance()
	}
	c.handlers--
	c.moved.Broadcast()
}

// advance ends the first exchange, which is live and complete, and writes the answers that waited for it. The caller holds
// the lock, which is released while it writes.
func (c *conn) advance() {
	for c.failed == nil {
		x := c.first
		if x.broken {
			c.breakOff(x)
			return
		}
		if x.next == nil || !x.next.done {
			c.unlocked(func() { _ = c.flush() }) // An error ends the connection.
			if c.failed != nil {
				return
			}
		}
		c.pop()
		next := x.next // Another request may have started while the lock was free.
		if next == nil {
			c.becomeIdle(x)
			return
		}
		c.writeHeld(next)
		if !next.done {
			return
		}
	}
}

// unlocked calls fn without the lock.
func (c *conn) unlocked(fn func()) {
	c.mu.Unlock()
	defer c.mu.Lock()
	fn()
}

// writeHeld writes what is held of an answer whose turn it is, and makes it live. Of an answer that broke off meanwhile it
// writes nothing. The caller holds the lock, which is released while it writes.
func (c *conn) writeHeld(x *exchange) {
	x.state, x.waited = flushes, true
	if x.held != nil && !x.broken {
		x.sent = true
		c.applyWriteDeadline(x, true)
		held, headEnd, closes, last := x.held.Bytes(), x.headEnd, x.next == nil && c.last, x.done
		c.unlocked(func() {
			if headEnd > 0 { // Only now it is known whether the answer is the last one.
				_ = c.write(held[:headEnd])
				_ = c.write(headTail(closes))
			}
			_ = c.write(held[headEnd:]) // An error ends the connection.
			if !last {
				_ = c.flush()
			}
		})
	}
	x.dropHeld()
	x.state = live
	c.wake()
}

// headTail returns the end of the head of an answer.
func headTail(closes bool) []byte {
	if closes {
		return closingTail
	}
	return plainTail
}

var plainTail, closingTail = []byte("\r\n"), []byte("Connection: close\r\n\r\n")

// becomeIdle says that no request is under way after x. The caller holds the lock.
func (c *conn) becomeIdle(x *exchange) {
	c.writer.Reset(nil)
	writers.Put(c.writer)
	c.writer, c.newest = nil, nil
	c.idleAt = time.Now()
	if c.last || c.awaits && c.server.stopping.Load() {
		c.end(x.req != nil && x.req.Close)
		return
	}
	c.wake()
}

// breakOff ends the connection at an answer that is not complete. It is reset if a part of the answer was written, since a
// regular close would make an answer without length look complete. The caller holds the lock.
func (c *conn) breakOff(x *exchange) {
	c.unlocked(func() { _ = c.flush() }) // Answers ahead may not have been written yet.
	c.last = true
	c.cancel()
	if x.sent {
		c.reset()
		return
	}
	c.failed = errEnded
	c.end(false)
}

// write writes to the connection. An error ends it.
func (c *conn) write(p []byte) error {
	_, err := c.writer.Write(p)
	if err != nil {
		c.fail()
	}
	return err
}

// flush writes what is buffered. An error ends the connection.
func (c *conn) flush() error {
	err := c.writer.Flush()
	if err != nil {
		c.fail()
	}
	return err
}

// applyWriteDeadline sets the write deadline for an answer whose turn it is. The deadline of an answer that waited may have
// passed while it did. The caller holds the lock.
func (c *conn) applyWriteDeadline(x *exchange, waited bool) {
	deadline := x.writeDeadline
	if waited && !deadline.IsZero() {
		if least := time.Now().Add(queuedWriteTime); deadline.Before(least) {
			deadline = least
		}
	}
	x.deadlineApplied = true
	if deadline.IsZero() && !c.hasWriteDeadline {
		return
	}
	c.hasWriteDeadline = !deadline.IsZero()
	_ = c.rwc.SetWriteDeadline(deadline) // It fails only if the connection is closed, as does the write.
}
