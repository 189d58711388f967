// Package sender sends orders and callers' requests to backend servers over HTTP. An order makes
// a server accept, renew or give up grants.
//
// A request that is not idempotent must reach a backend server at most once, so no layer below this
// package may retry one. net/http retries a request on its own after a connection breaks if the method is
// idempotent by RFC 9110 or the request has an Idempotency-Key header. Therefore the request ID is sent in
// a header of another name, and a request that is not idempotent has a body that cannot be rewound.
//
// Start reading at type Sender in sender.go.
package sender

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
	"github.com/fxamacker/cbor/v2"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/connector"
	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
)

// The headers of a request to a backend server and of its answer.
const (
	HeaderKey       = "Turmericlift-Key"
	HeaderPartition = "Turmericlift-Partition"
	HeaderEpoch     = "Turmericlift-Epoch"
	HeaderTerm      = "Turmericlift-Term"
	// HeaderDeadline is the absolute deadline, in ms since 1970. A server that does not check grants must
	// not run the request after it.
	HeaderDeadline  = "Turmericlift-Deadline-Ms"
	HeaderRequestID = "Turmericlift-Request-Id"
	// HeaderRefused is set by a backend server on the answer to a request that it has not run. Its values
	// are the Refused constants.
	HeaderRefused = "Turmericlift-Refused"
)

// The values of HeaderRefused. Fenced means that the server does not accept the epoch or term of the
// request, Shed that its load is too high, and Late that the deadline has passed.
const (
	RefusedFenced  = "Fenced"
	RefusedShed    = "Shed"
	RefusedExpired = "Late"
)

// OrderPath is the path at which a backend server accepts orders, encoded in CBOR.
const OrderPath = "/turmericlift/orders"

// orderTimeout is the time within which a backend server must answer an order.
const orderTimeout = 400 * time.Millisecond

// maxOrderAnswerBytes is the longest answer to an order that is read; a longer one is cut and does not
// decode.
const maxOrderAnswerBytes = 4 << 20

// maxHeaderBytes bounds the headers of an answer, in bytes.
const maxHeaderBytes = 64 << 10

// Sender sends orders and requests to backend servers. It is safe for concurrent use.
type Sender struct {
	requests http.RoundTripper
	orders   http.RoundTripper
	// again carries requests that a server has refused before, each over a connection of its own: on one that carried the
	// earlier attempt, a late second copy of the refusal could be taken for the answer.
	again   http.RoundTripper
	refused refusals
}

// New returns a Sender that keeps at most connections open to each backend server for requests, and at
// most 2 more for orders.
func New(connections int) *Sender {
	return &Sender{
		requests: newTransport(&http.Transport{MaxConnsPerHost: connections, MaxIdleConnsPerHost: connections, IdleConnTimeout: time.Minute}),
		again:    newTransport(&http.Transport{DisableKeepAlives: true}),
		orders:   newTransport(&http.Transport{MaxConnsPerHost: 2, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}),
	}
}

// newTransport returns t with a dialer and bounded headers of answers.
func newTransport(t *http.Transport) http.RoundTripper {
	t.MaxResponseHeaderBytes = maxHeaderBytes
	return connector.NewTransport(t, (&net.Dialer{}).DialContext)
}

// SendOrder sends an order to the backend server at an address and returns the server's answer. After an
// error the server may or may not have carried out the order.
func (s *Sender) SendOrder(ctx context.Context, address string, o granter.Order) (granter.OrderAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := cbor.Marshal(o)
	if err != nil {
		return granter.OrderAnswer{}, fmt.Errorf("encode order: %w", err)
	}
	req, err := sling.New().Post("http://" + address + OrderPath).Body(bytes.NewReader(body)).Request()
	if err != nil {
		return granter.OrderAnswer{}, fmt.Errorf("order to %s: %w", address, err)
	}
	resp, err := roundTrip(s.orders, req.WithContext(ctx))
	if err != nil {
		return granter.OrderAnswer{}, fmt.Errorf("order to %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxOrderAnswerBytes))
	if err != nil || resp.StatusCode != http.StatusOK {
		return granter.OrderAnswer{}, fmt.Errorf("order to %s: answer with status %d: %w", address, resp.StatusCode, err)
	}
	var a granter.OrderAnswer
	if err := cbor.Unmarshal(data, &a); err != nil {
		return granter.OrderAnswer{}, fmt.Errorf("order to %s: the answer does not decode: %w", address, err)
	}
	return a, nil
}

// Fencing is what a backend server needs to decide whether it may still run a request: the grant and the
// coordinator's term, or a deadline.
type Fencing struct {
	Grant    granter.Grant
	Term     identifier.Term
	Deadline time.Time // The absolute deadline for a server that does not check grants, otherwise zero.
}

// SendRequest sends a request to the backend server at an address and returns the answer. An answer whose body
// has more than maxBody bytes is not passed on; its outcome is Unknown. The outcome is NotRun only if the
// request cannot have reached the server or the server has refused it.
func (s *Sender) SendRequest(ctx context.Context, address string, r answerer.Request, f Fencing, maxBody int) answerer.Answer {
	var gotConnection atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// Bytes of the request may be sent from the moment at which net/http has a connection for it.
		GotConn: func(httptrace.GotConnInfo) { gotConnection.Store(true) },
	})
	req, err := newRequest(ctx, address, r, f)
	if err != nil {
		return answerer.Refuse(answerer.CodeBadRequest, err.Error())
	}
	transport := s.requests
	if s.refused.has(r.ID) {
		transport = s.again
	}
	resp, err := roundTrip(transport, req)
	if err != nil {
		return answerToError(ctx, err, gotConnection.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	if id := resp.Header.Get(HeaderRequestID); id != "" && r.ID != "" && id != string(r.ID) {
		// A late second copy of an earlier answer on the connection: the request itself may run.
		return answerer.Indeterminate(answerer.CodeBackendBroke, "the backend server's answer belongs to another request")
	}
	if refused := resp.Header.Get(HeaderRefused); refused != "" {
		s.refused.add(r.ID)
		return answerToRefusal(refused)
	}
	return readAnswer(resp, maxBody)
}

// answerToError returns the answer to a request that got none from the server. gotConnection says that it
// may have been sent.
func answerToError(ctx context.Context, err error, gotConnection bool) answerer.Answer {
	if !gotConnection {
		if ctx.Err() != nil {
			return answerer.Refuse(answerer.CodeExpired, "the deadline passed or the request was cancelled before there was a connection to the backend server")
		}
		return answerer.Refuse(answerer.CodeBackendUnreachable, err.Error())
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return answerer.Indeterminate(answerer.CodeCancelled, "the request was cancelled while the backend server ran it")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return answerer.Indeterminate(answerer.CodeTimedOut, "the deadline passed while the backend server ran the request")
	}
	return answerer.Indeterminate(answerer.CodeBackendBroke, err.Error())
}

// answerToRefusal returns the answer to a request that the server refused. kind is the value of
// HeaderRefused; an unknown one counts as RefusedShed.
func answerToRefusal(kind string) answerer.Answer {
	switch kind {
	case RefusedFenced:
		return answerer.Refuse(answerer.CodeFenced, "the backend server refused the epoch or term")
	case RefusedExpired:
		return answerer.Refuse(answerer.CodeExpired, "the deadline passed before the backend server ran the request")
	default:
		return answerer.Refuse(answerer.CodeShed, "the backend server refused the request because of its load")
	}
}

// readAnswer reads the server's answer. If it is truncated or too large, the outcome is Unknown; a part of
// an answer is never passed on.
func readAnswer(resp *http.Response, maxBody int) answerer.Answer {
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxBody)+1))
	if err != nil {
		return answerer.Indeterminate(answerer.CodeBackendBroke, "the backend server's answer is truncated: "+err.Error())
	}
	if len(body) > maxBody {
		return answerer.Indeterminate(answerer.CodeAnswerTooLarge, fmt.Sprintf("the backend server's answer is longer than %d bytes", maxBody))
	}
	header := resp.Header.Clone()
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	return answerer.Answer{Outcome: answerer.Ran, Status: resp.StatusCode, Header: header, Body: body}
}

// hopByHopHeaders are the headers that concern one connection only (RFC 9110, 7.6.1), and Content-Length,
// which is set again. They are not passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// newRequest returns the HTTP request for a backend server: the caller's request without the system's,
// idempotency and hop-by-hop headers, and with the headers of this package.
func newRequest(ctx context.Context, address string, r answerer.Request, f Fencing) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, requestBody(r))
	if err != nil {
		return nil, fmt.Errorf("build the HTTP request: %w", err)
	}
	req.ContentLength = int64(len(r.Body))
	req.Header = r.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	for name := range req.Header {
		if strings.HasPrefix(name, "Turmericlift-") || name == "Idempotency-Key" || name == "X-Idempotency-Key" {
			delete(req.Header, name)
		}
	}
	for _, name := range hopByHopHeaders {
		req.Header.Del(name)
	}
	req.Header.Set(HeaderKey, string(r.Key))
	req.Header.Set(HeaderPartition, strconv.FormatUint(uint64(f.Grant.Partition), 10))
	req.Header.Set(HeaderEpoch, strconv.FormatUint(uint64(f.Grant.Epoch), 10))
	req.Header.Set(HeaderTerm, strconv.FormatUint(uint64(f.Term), 10))
	if !f.Deadline.IsZero() {
		req.Header.Set(HeaderDeadline, strconv.FormatInt(f.Deadline.UnixMilli(), 10))
	}
	if r.ID != "" {
		req.Header.Set(HeaderRequestID, string(r.ID))
	}
	return req, nil
}

// requestBody returns the body of the HTTP request. A request that is not idempotent gets a body that
// net/http cannot rewind, even if it is empty, so that net/http does not retry it.
func requestBody(r answerer.Request) io.Reader {
	if r.Idempotent {
		return bytes.NewReader(r.Body)
	}
	return io.NopCloser(bytes.NewReader(r.Body))
}
