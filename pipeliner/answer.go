package pipeliner

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// smallAnswer is the size up to which an answer is held to learn its length, in bytes. It is that of net/http.
	smallAnswer = 2 << 10
	// copyBytes is the size of the buffers in which answers are copied.
	copyBytes = 32 << 10
	// maxStackBytes bounds the stack of a panic in the log.
	maxStackBytes = 4 << 10
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// answer is the state of an answer that only the handler's goroutine uses.
type answer struct {
	header         http.Header
	snapshot       http.Header // The header as of WriteHeader, if the head is not written with it.
	status         int
	wroteHeader    bool
	headWritten    bool
	chunked        bool
	wantsKeepAlive bool  // HTTP/1.0 only.
	contentLength  int64 // -1 if unknown.
	written        int64
	small          []byte // The begin of the body, while the head is not written.
	readDeadline   time.Time
}

// serve runs the handler and completes the answer.
func (x *exchange) serve() {
	defer x.c.complete(x)
	defer x.cancel()
	defer x.recover()
	if x.req.RequestURI == "*" && x.req.Method == http.MethodOptions {
		x.Header().Set("Content-Length", "0") // As net/http answers it.
	} else {
		x.c.server.handler.ServeHTTP(x, x.req)
	}
	if !x.finish() {
		x.breakOff()
	}
}

// recover breaks the answer off if its handler panics, and logs the panic unless it was meant to.
func (x *exchange) recover() {
	v := recover()
	if v == nil {
		return
	}
	if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		stack := make([]byte, maxStackBytes)
		stack = stack[:runtime.Stack(stack, false)]
		x.c.server.warn("handler of a request panicked", logrus.Fields{"Caller": x.c.remote, "Panic": v, "Stack": string(stack)})
	}
	x.breakOff()
}

// breakOff marks the answer as not complete.
func (x *exchange) breakOff() {
	x.c.mu.Lock()
	defer x.c.mu.Unlock()
	x.broken = true
}

// finish writes what is left of the answer. It returns false if the answer is not complete.
func (x *exchange) finish() bool {
	if !x.wroteHeader {
		x.WriteHeader(http.StatusOK)
	}
	if !x.headWritten && x.writeHead(x.small, true) != nil || x.writeBody(x.small) != nil {
		return false
	}
	if x.chunked && x.send(lastChunk) != nil {
		return false
	}
	return x.req.Method == http.MethodHead || !bodyAllowed(x.status) || x.contentLength < 0 || x.contentLength == x.written
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header {
	if x.header == nil {
		x.header = http.Header{}
	}
	return x.header
}

// WriteHeader implements http.ResponseWriter. Informational answers are not sent.
func (x *exchange) WriteHeader(status int) {
	switch {
	case status < 100 || status > 999:
		panic("invalid status of an answer: " + strconv.Itoa(status))
	case x.wroteHeader || status < 200 && status != http.StatusSwitchingProtocols:
		return
	}
	x.wroteHeader, x.status = true, status
	if length := x.header.Get("Content-Length"); length != "" {
		n, err := strconv.ParseInt(length, 10, 64)
		if err != nil || n < 0 {
			x.header.Del("Content-Length")
		} else {
			x.contentLength = n
		}
	}
	needsBody := bodyAllowed(status) && x.contentLength != 0 && (x.contentLength < 0 || x.header["Content-Type"] == nil)
	if bodyWasRead := x.body == nil || x.body.complete; bodyWasRead && !needsBody {
		_ = x.writeHead(nil, false) // The handler meets the error with its next write.
		return
	}
	x.snapshot = x.header.Clone() // The handler may go on to use the header.
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(p []byte) (int, error) {
	if !x.wroteHeader {
		x.WriteHeader(http.StatusOK)
	}
	if len(p) == 0 {
		return 0, nil
	}
	if !bodyAllowed(x.status) {
		return 0, http.ErrBodyNotAllowed
	}
	x.written += int64(len(p))
	if x.contentLength >= 0 && x.written > x.contentLength {
		return 0, http.ErrContentLength
	}
	if !x.headWritten {
		if x.written != x.contentLength && len(x.small)+len(p) <= smallAnswer {
			x.small = append(x.small, p...)
			return len(p), nil
		}
		if err := x.writeSmall(p); err != nil {
			return 0, err
		}
	}
	if err := x.writeBody(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// writeSmall writes the head and the begin of the body, which next follows.
func (x *exchange) writeSmall(next []byte) error {
	small := x.small
	x.small = nil
	first := small
	if len(first) == 0 {
		first = next
	}
	if err := x.writeHead(first, false); err != nil {
		return err
	}
	return x.writeBody(small)
}

// WriteString implements io.StringWriter.
func (x *exchange) WriteString(s string) (int, error) { return x.Write([]byte(s)) }

// ReadFrom implements io.ReaderFrom, with buffers that all answers share.
func (x *exchange) ReadFrom(src io.Reader) (int64, error) {
	buffer := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buffer)
	return io.CopyBuffer(struct{ io.Writer }{x}, struct{ io.Reader }{src}, buffer[:])
}

// FlushError implements the flushing of http.ResponseController. What waits for other answers is not flushed.
func (x *exchange) FlushError() error {
	if !x.wroteHeader {
		x.WriteHeader(http.StatusOK)
	}
	if !x.headWritten {
		if err := x.writeSmall(nil); err != nil {
			return err
		}
	}
	if !x.isLive() {
		return nil
	}
	return x.c.flush()
}

// isLive reports whether the answer is written to the connection.
func (x *exchange) isLive() bool {
	x.c.mu.Lock()
	defer x.c.mu.Unlock()
	return x.state == live && x.c.failed == nil
}

// SetReadDeadline implements the method of http.ResponseController. It bounds the reading of the request's body.
func (x *exchange) SetReadDeadline(t time.Time) error {
	x.c.mu.Lock()
	defer x.c.mu.Unlock()
	x.readDeadline = t
	if x.body == nil || x.bodyRead {
		return nil
	}
	return x.c.rwc.SetReadDeadline(t)
}

// SetWriteDeadline implements the method of http.ResponseController. While the answer waits for others, the deadline bounds
// nothing: the caller is not at fault.
func (x *exchange) SetWriteDeadline(t time.Time) error {
	x.c.mu.Lock()
	defer x.c.mu.Unlock()
	x.writeDeadline = t
	if x.state != waits && x.c.failed == nil {
		x.c.applyWriteDeadline(x, x.waited)
	}
	return nil
}

// sendContinue tells the caller to send the body of its request.
func (x *exchange) sendContinue() {
	if !x.wroteHeader && x.send([]byte("HTTP/1.1 100 Continue\r\n\r\n")) == nil {
		_ = x.c.flush() // The body's read meets the error.
	}
}

var lastChunk, lineEnd = []byte("0\r\n\r\n"), []byte("\r\n")

// writeBody writes a part of the body.
func (x *exchange) writeBody(p []byte) error {
	if len(p) == 0 || x.req.Method == http.MethodHead {
		return nil
	}
	if !x.chunked {
		return x.send(p)
	}
	var size [20]byte
	if err := x.send(append(strconv.AppendInt(size[:0], int64(len(p)), 16), lineEnd...)); err != nil {
		return err
	}
	if err := x.send(p); err != nil {
		return err
	}
	return x.send(lineEnd)
}

// send writes a part of the answer, or holds it until the answers ahead are written. Beyond the bounds it waits for that.
func (x *exchange) send(p []byte) error {
	c := x.c
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(p) > 0 {
		if err := x.awaitRoom(); err != nil {
			return err
		}
		if x.state == live {
			if !x.deadlineApplied {
				c.applyWriteDeadline(x, false)
			}
			x.sent = true
			var err error
			c.unlocked(func() { err = c.write(p) })
			return err
		}
		n := min(len(p), max(x.room(), 1)) // Others may have taken the room since awaitRoom.
		x.hold(func(b *bytes.Buffer) { b.Write(p[:n]) })
		p = p[n:]
	}
	return nil
}

// awaitRoom waits until the answer is live or more of it can be held. It returns an error if the connection has ended. The
// caller holds the lock of the connection.
func (x *exchange) awaitRoom() error {
	c := x.c
	paused := false
	for c.failed == nil && x.state != live {
		full := x.room() <= 0
		if x.state == waits && !full {
			return nil
		}
		if c.left && x.state == waits {
			return errEnded
		}
		if full && !paused {
			paused = true
			c.server.observer.AnswerPaused()
		}
		c.moved.Wait()
	}
	return c.failed
}
