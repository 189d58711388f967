// Package exchanger sends HTTP/1.1 requests to backend servers over kept connections, with one request at a time on
// each. Its errors say whether the request may have run. Answers that belong to other requests are skipped, and only
// complete answers are returned.
//
// Start with Pool.Do in pool.go, which keeps the connections of one backend server; exchanger.go has the exchange of
// one request and answer on a connection.
package exchanger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one request to a backend server.
type Request struct {
	Method string
	Target string // Path and query, as they are sent.
	Host   string
	Header http.Header
	Body   []byte
	// ID is the ID of the request. An answer whose header IDHeader has another ID belongs to another request; an answer
	// without this header, or any answer if ID is empty, is accepted.
	IDHeader, ID string
}

// Answer is a complete answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// UnsentError says that no byte of the request was sent to the backend server, so it has not run.
type UnsentError struct{ Err error }

// Error returns the message, with the cause.
func (e *UnsentError) Error() string { return fmt.Sprintf("request was not sent: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// BrokenError says that the request was sent, at least in part, and no complete answer was received: it may have run.
type BrokenError struct{ Err error }

// Error returns the message, with the cause.
func (e *BrokenError) Error() string { return fmt.Sprintf("sent, but no complete answer: %v", e.Err) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// ConnectionTooNewError says that no connection was opened early enough for the request.
type ConnectionTooNewError struct {
	// DialedAt is the time at which the dial of the connection that is kept for later requests began. The request can be
	// sent over it once the time that is given to DoDialedBefore is later.
	DialedAt time.Time
}

// Error returns the message, with the time at which the kept connection was dialed.
func (e *ConnectionTooNewError) Error() string {
	return "no connection was opened early enough for the request; one is kept that was dialed at " + e.DialedAt.Format(time.TimeOnly)
}

var (
	errTooLarge       = errors.New("body of the answer is larger than 32 MiB")
	errTooManyForeign = errors.New("too many answers to other requests on the connection")
	errNoLength       = errors.New("answer to another request has no length, so its end is unknown")
	errNoConnection   = errors.New("connection limit reached or pool closed")
)

const (
	// maxAnswerBytes is the largest body of an answer, in bytes. The body is held in memory.
	maxAnswerBytes = 32 << 20
	// maxAnswersRead is the number of answers that are read for a request before its connection is given up, interim
	// ones (1xx) and those to other requests included.
	maxAnswersRead = 4
	// readBufferBytes is the size of a connection's read buffer, in bytes: enough for the headers and a small body of
	// an answer.
	readBufferBytes = 4 << 10
	// inlineRequestBytes is the largest size, in bytes, of a request that is written completely before its answer is
	// read. The bodies of larger ones are written concurrently, since the answer may come before the body is read.
	inlineRequestBytes = 8 << 10
)

// conn is a connection that serves one request at a time.
type conn struct {
	net.Conn
	reader   *bufio.Reader
	dialedAt time.Time // When the dial began, before the connection was open.
	idleAt   time.Time // When the connection became idle last.
	// idleTimeout is the time for which the backend server keeps the connection open while it is idle; 0 if no answer
	// gave it.
	idleTimeout time.Duration
}

// exchange sends a request and reads its answer. keep reports whether the connection can be used for another request.
// The errors are UnsentError and BrokenError. When ctx ends, the exchange ends with an error.
func (c *conn) exchange(ctx context.Context, r *Request) (a Answer, keep bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	head := encode(r)
	written := make(chan error, 1)
	if len(head)+len(r.Body) <= inlineRequestBytes {
		n, err := c.Write(append(head, r.Body...))
		if err != nil && n == 0 {
			return Answer{}, false, &UnsentError{err}
		}
		written <- err
	} else {
		n, err := c.Write(head)
		if err != nil && n == 0 {
			return Answer{}, false, &UnsentError{err}
		}
		go func() { // Ends at the latest when the connection's deadline passes or it is closed.
			_, err := c.Write(r.Body)
			written <- err
		}()
	}
	a, isLast, err := c.read(r)
	if err != nil {
		return Answer{}, false, &BrokenError{errors.Join(err, ctx.Err())}
	}
	select {
	case err := <-written:
		// If bytes follow the answer, they belong to no request, and the connection cannot be used again.
		keep = err == nil && !isLast && c.reader.Buffered() == 0 && stop()
	default: // The answer came before the body was sent, so the connection cannot be used again.
	}
	return a, keep, nil
}

// read reads the answer to r and skips answers to other requests. isLast reports that no other answer can follow on the
// connection.
func (c *conn) read(r *Request) (a Answer, isLast bool, err error) {
	for range maxAnswersRead {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return Answer{}, true, err
		}
		if resp.StatusCode < http.StatusOK { // An interim answer (1xx), which has no body.
			continue
		}
		id := resp.Header.Get(r.IDHeader)
		isForeign := r.ID != "" && id != "" && id != r.ID
		if isForeign && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return Answer{}, true, errNoLength
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
		err = errors.Join(err, resp.Body.Close())
		switch {
		case err != nil:
			return Answer{}, true, err
		case len(body) > maxAnswerBytes:
			return Answer{}, true, errTooLarge
		case isForeign:
			continue
		}
		c.idleTimeout = keepAlive(resp.Header)
		return Answer{resp.StatusCode, resp.Header, body}, resp.Close, nil
	}
	return Answer{}, true, errTooManyForeign
}

// keepAlive returns the time for which the server keeps an idle connection open, by the time-out in the Keep-Alive
// header of its answer; 0 if there is none.
func keepAlive(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if n, err := strconv.Atoi(value); err == nil && n > 0 {
				return time.Duration(n) * time.Second
			}
		}
	}
	return 0
}

// encode returns the request line and headers as they are sent. The body follows them.
func encode(r *Request) []byte {
	b := make([]byte, 0, inlineRequestBytes)
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(append(append(append(b, name...), ": "...), v...), "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(r.Body))
	}
	return append(b, "\r\n"...)
}
