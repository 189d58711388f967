package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// callerWriteTime is the time beyond a request's deadline in which a caller must have read the answer.
const callerWriteTime = 2 * time.Second

// CallerKeepAlive is how long a caller may leave its connection idle and still use it. Each answer says so, so that a planned
// stop can close connections that were idle for longer without losing a request that has just been sent.
const CallerKeepAlive = 2 * time.Second

// setConnectionHeaders tells the caller for how long it may use its connection. An instance that leaves closes connections
// after their next answer.
func (f *Forwarder) setConnectionHeaders(h http.Header) {
	if f.departure.Load() != nil {
		h.Set("Connection", "close")
		return
	}
	h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(CallerKeepAlive/time.Second)))
}

// callerConnKey is the key of the caller's connection in the context of its requests.
type callerConnKey struct{}

// WithCallerConn returns a context for the requests of a caller's connection. It is meant for http.Server.ConnContext: a
// Forwarder resets the connection if an answer breaks off.
func WithCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// abort ends the caller's connection by a reset. A regular close would make an answer without length look complete.
func abort(ctx context.Context) {
	if tcp, ok := ctx.Value(callerConnKey{}).(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // An error needs no handling: the connection is closed next.
	}
	panic(http.ErrAbortHandler)
}

// write writes the answer to the caller. The error says that the answer broke off after its first part was written, or
// that the caller left meanwhile.
func (f *Forwarder) write(w http.ResponseWriter, req *activeRequest, res *result) error {
	// Not all writers have deadlines: those that have none are not bounded.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(max(req.deadline.Sub(f.clock()), 0) + callerWriteTime))
	if res.answer != nil {
		return f.writeAnswer(w, res)
	}
	h := w.Header()
	f.setConnectionHeaders(h)
	if res.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(res.retryAfter.Seconds(), 'f', 2, 64))
	}
	if res.status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer") // RFC 9110, section 15.5.2, demands it.
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Result-Code", strconv.Itoa(int(res.code)))
	w.WriteHeader(res.status)
	_, _ = io.WriteString(w, res.code.String()+": "+res.detail+"\n") // An error means that the caller has left.
	return nil
}

// writeAnswer writes a backend server's answer to the caller and releases the connection to the server.
func (f *Forwarder) writeAnswer(w http.ResponseWriter, res *result) error {
	a := res.answer
	defer a.Close()
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
	f.setConnectionHeaders(h)
	length := int64(len(a.Body))
	if a.Rest != nil {
		length = a.Length
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(res.status)
	if _, err := w.Write(a.Body); err != nil || a.Rest == nil {
		return nil // An error means that the caller has left, so there is nothing to report.
	}
	n, err := io.Copy(w, a.Rest)
	if err == nil && length >= 0 && n != length-int64(len(a.Body)) {
		err = errors.New("fewer bytes than the answer's length")
	}
	if err != nil {
		return fmt.Errorf("after %d bytes: %w", int64(len(a.Body))+n, err)
	}
	return nil
}
