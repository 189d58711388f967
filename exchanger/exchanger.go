// Package exchanger sends HTTP/1.1 requests to backend servers over kept connections, with one request at a time on
// each. Its errors say whether the request may have run. Answers that belong to other requests are skipped. Small answers
// are returned complete; of a large one, the first part is returned with a reader for the rest.
//
// Start with Pool.Do in pool.go, which keeps the connections of one backend server; exchanger.go has the exchange of
// one request and answer on a connection, and head.go bounds the heads of answers.
package exchanger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/turmericlift/turmericlift/connector"
)

// Request is one request to a backend server.
type Request struct {
	Method string
	Target string // Path and query, as they are sent.
	Host   string
	Header http.Header
	Body   []byte
	// ID is the ID of the request; empty if it has none. An answer whose header IDHeader has another ID belongs to another
	// request; an answer without this header is accepted.
	IDHeader, ID string
}

// Answer is the answer of a backend server. It is complete if Rest is nil.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte // The body, or its first part.
	// Length is the length of the whole body in bytes; -1 if it is not known before the end of Rest.
	Length int64
	// Rest reads what follows Body. It returns io.EOF only at the end of a complete body. The receiver of the answer must
	// close it, which releases the connection.
	Rest io.ReadCloser
}

// Close releases the connection of an answer whose rest is not read to its end. It does nothing if the answer is complete.
func (a Answer) Close() {
	if a.Rest != nil {
		_ = a.Rest.Close() // It returns no error.
	}
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
	errForeignTooLarge = errors.New("body of an answer to another request is larger than 1 MiB")
	errTooManyForeign  = errors.New("too many interim answers and answers to other requests on the connection")
	errNoLength        = errors.New("answer to another request has no length, so its end is unknown")
	// ErrNoConnection is the cause of an UnsentError if the pool has as many connections as it may, or is closed.
	ErrNoConnection = errors.New("connection limit reached or pool closed")
)

const (
	// heldBodyBytes is the largest part of an answer's body that is held in memory, in bytes.
	heldBodyBytes = 64 << 10
	// maxSkippedBytes is the largest body, in bytes, of an answer to another request that is read to get to the next
	// answer.
	maxSkippedBytes = 1 << 20
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
	*connector.Conn
	head     *headLimiter
	reader   *bufio.Reader
	dialedAt time.Time // When the dial began, before the connection was open.
	idleAt   time.Time // When the connection became idle last.
	// idleTimeout is the time for which the backend server keeps the connection open while it is idle; 0 if no answer
	// gave it.
	idleTimeout time.Duration
	// recentIDs are the IDs of the last requests on the connection. A late second answer to one of them has its ID.
	recentIDs [recentRequests]string
	sent      int // Requests sent so far.
}

// recentRequests is the number of requests of a connection whose IDs are kept.
const recentRequests = 16

// mayCarry reports whether a request with an ID can be sent over the connection: a request that was sent over it before
// could get the late second answer to the first attempt.
func (c *conn) mayCarry(id string) bool { return id == "" || !slices.Contains(c.recentIDs[:], id) }

// exchange sends a request and reads its answer. release is called once, when nothing more is read from the connection;
// its argument reports whether the connection can be used for another request. The errors are UnsentError and BrokenError.
// When ctx ends, the exchange and the reading of the answer's rest end with an error.
func (c *conn) exchange(ctx context.Context, r *Request, release func(keep bool)) (Answer, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	c.recentIDs[c.sent%recentRequests] = r.ID
	c.sent++
	written, err := c.write(r)
	if err != nil {
		stop()
		release(false)
		return Answer{}, &UnsentError{err}
	}
	a, isLast, err := c.read(r)
	if err != nil {
		stop()
		release(false)
		return Answer{}, &BrokenError{errors.Join(err, context.Cause(ctx))}
	}
	end := func(complete bool) {
		keep := false
		select {
		case err := <-written:
			// If bytes follow the answer, they belong to no request, and the connection cannot be used again.
			keep = complete && err == nil && !isLast && c.reader.Buffered() == 0
		default: // The answer came before the body was sent, so the connection cannot be used again.
		}
		release(stop() && keep)
	}
	if a.Rest == nil {
		end(true)
		return a, nil
	}
	a.Rest = &rest{body: a.Rest, end: end}
	return a, nil
}

// rest reads the rest of a body. It ends the exchange when it is closed.
type rest struct {
	body     io.ReadCloser
	end      func(complete bool)
	complete bool
	closed   bool
}

// Read implements io.Reader.
func (r *rest) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.complete = r.complete || errors.Is(err, io.EOF)
	return n, err
}

// Close implements io.Closer. It returns no error.
func (r *rest) Close() error {
	if !r.closed {
		r.closed = true
		r.end(r.complete)
	}
	return nil
}

// write sends a request. The error is not nil if nothing was sent. The channel receives the result when the request is
// written completely or cannot be.
func (c *conn) write(r *Request) (<-chan error, error) {
	head := encode(r)
	written := make(chan error, 1)
	if len(head)+len(r.Body) <= inlineRequestBytes {
		n, err := c.Write(append(head, r.Body...))
		if err != nil && n == 0 {
			return nil, err
		}
		written <- err
		return written, nil
	}
	n, err := c.Write(head)
	if err != nil && n == 0 {
		return nil, err
	}
	go func() { // Ends at the latest when the connection's deadline passes or it is closed.
		_, err := c.Write(r.Body)
		written <- err
	}()
	return written, nil
}

// read reads the answer to r and skips answers to other requests. Of a large body it reads the first part; the answer's
// Rest is the reader of what follows. isLast reports that no other answer can follow on the connection.
func (c *conn) read(r *Request) (a Answer, isLast bool, err error) {
	for range maxAnswersRead {
		resp, err := c.readHead(r.Method)
		if err != nil {
			return Answer{}, true, err
		}
		if resp.StatusCode < http.StatusOK {
			if err := checkInterim(resp); err != nil {
				return Answer{}, true, err
			}
			continue
		}
		id := resp.Header.Get(r.IDHeader)
		isForeign := id != "" && id != r.ID
		if isForeign && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return Answer{}, true, errNoLength
		}
		if isForeign {
			err := skip(resp.Body)
			if err == nil { // Closing a body reads it to its end, which there may not be.
				err = resp.Body.Close()
			}
			if err != nil {
				return Answer{}, true, err
			}
			continue
		}
		c.idleTimeout = keepAlive(resp.Header)
		a, err := readBody(resp)
		if err == nil && a.Rest == nil {
			err = resp.Body.Close()
		}
		return a, resp.Close, err
	}
	return Answer{}, true, errTooManyForeign
}

// readHead reads the head of the next answer. The answer's body reads from the connection.
func (c *conn) readHead(method string) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // It cannot fail for bytes that are buffered.
	if err := c.BeginAnswer(buffered); err != nil {
		return nil, err
	}
	c.head.begin()
	defer c.head.end()
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// skip reads the body of an answer to another request.
func skip(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBytes+1))
	if err == nil && n > maxSkippedBytes {
		err = errForeignTooLarge
	}
	return err
}

// readBody returns an answer with its body, or with the first part of a large body and a reader for the rest.
func readBody(resp *http.Response) (Answer, error) {
	a := Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	var err error
	a.Body, err = io.ReadAll(io.LimitReader(resp.Body, heldBodyBytes))
	if err != nil {
		return Answer{}, err
	}
	if len(a.Body) == heldBodyBytes && a.Length != heldBodyBytes {
		a.Rest = resp.Body
	} else {
		a.Length = int64(len(a.Body))
	}
	return a, nil
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
