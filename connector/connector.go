// Package connector wraps the connections over which HTTP answers are read. Reads fail where net/http would take a broken
// answer for a sound one.
//
// Start with Conn in connector.go; head.go has the check of heads, and transport.go the connections of http.Transport.
package connector

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection on which a request is sent while its answer may already arrive. One Read and one Write may run
// concurrently.
//
// The kernel reports a reset once, to the read or the write that meets it first. If that is a write, reads end with io.EOF, and
// an answer without a length looks complete. Here such a read fails.
//
// A read also fails at a malformed field name in the head of an answer that BeginAnswer has announced.
type Conn struct {
	net.Conn // As an interface it has no ReadFrom and WriteTo, which would bypass Write and Read.

	writing  sync.Mutex // Held during a write.
	writeErr error      // The first error of a write.

	mu      sync.Mutex // Guards the fields below.
	head    headChecker
	headErr error // Set for good by a malformed head.
}

// New returns a Conn that wraps c.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// BeginAnswer announces that an answer comes next on the connection, possibly after interim ones. buffered has the bytes that
// were read and do not belong to an earlier answer. An error says that they have a malformed head.
func (c *Conn) BeginAnswer(buffered []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.begin()
	_, err := c.checkHead(buffered)
	return err
}

// checkHead checks the next bytes of the connection, or returns the error of earlier ones. It returns how many of them precede
// the malformed field name. The caller holds mu.
func (c *Conn) checkHead(p []byte) (int, error) {
	if c.headErr != nil {
		return 0, c.headErr
	}
	var n int
	n, c.headErr = c.head.check(p)
	return n, c.headErr
}

// Read implements io.Reader. It returns io.EOF only if the other side has ended its sending.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.malformedHead(); err != nil { // net/http passes over the first error of a read between two fields.
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	wellFormed, headErr := c.checkHead(p[:n])
	c.mu.Unlock()
	if headErr != nil {
		return wellFormed, headErr
	}
	if errors.Is(err, io.EOF) {
		if reset := c.resetByWrite(); reset != nil {
			return n, fmt.Errorf("connection ended while a request was written: %w", reset)
		}
	}
	return n, err
}

// malformedHead returns the error of a malformed head that was read, or nil.
func (c *Conn) malformedHead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headErr
}

// resetByWrite returns the error of the write that was told of the end of the connection, or nil if the other side has ended
// its sending. It ends a write that is under way: nothing can be answered on the connection any more.
func (c *Conn) resetByWrite() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // An error means that the connection is closed, so no write is under way.
	c.writing.Lock()
	defer c.writing.Unlock()
	// The kernel reports EPIPE for a reset that came after the other side had ended its sending.
	if errors.Is(c.writeErr, syscall.EPIPE) || errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return nil
	}
	return c.writeErr
}
