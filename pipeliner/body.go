package pipeliner

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// requestBody is the body of a request. The next request can only be read once it was read to its end. It is used by the
// handler's goroutine only.
type requestBody struct {
	x        *exchange
	inner    io.ReadCloser
	read     int64 // Bytes read so far.
	sendHint bool  // The caller waits for the status 100 before it sends the body.
	complete bool
	closed   bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	return b.readMore(p)
}

// readMore reads from the connection.
func (b *requestBody) readMore(p []byte) (int, error) {
	if b.complete {
		return 0, io.EOF
	}
	if b.sendHint {
		b.sendHint = false
		b.x.sendContinue()
	}
	n, err := b.inner.Read(p)
	b.read += int64(n)
	if errors.Is(err, io.EOF) {
		b.complete = true
		b.x.c.endBody(b.x)
	}
	return n, err
}

// Close implements io.Closer. The rest of the body is discarded when the answer is written.
func (b *requestBody) Close() error {
	b.closed = true
	return nil
}

// discard reads the rest of the body, within bounds of size and time, and reports whether it was read to its end. Until then
// the caller may not read the answer, and after it the connection can be used for the next request.
func (b *requestBody) discard() bool {
	if b.complete {
		return true
	}
	if b.sendHint || b.x.req.ContentLength-b.read >= maxDiscarded {
		return false // The caller has not sent it, or there is too much of it.
	}
	if b.x.readDeadline.IsZero() {
		_ = b.x.SetReadDeadline(time.Now().Add(discardTime)) // It never fails.
	}
	_, err := io.CopyN(io.Discard, readerFunc(b.readMore), maxDiscarded+1)
	return errors.Is(err, io.EOF) && b.complete
}

// readerFunc is an io.Reader.
type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
