// Package sender speaks to backend servers over HTTP: orders to take and renew
// grants, and requests.
//
// A request that may not be repeated must reach a backend server once at most, so
// nothing below this package may send one again. net/http does so on its own after a
// connection breaks, if the method is idempotent by RFC 9110 or the request has an
// Idempotency-Key header. The request ID therefore travels in a header of another
// name, and a request that may not be repeated has a body that cannot be rewound.
package sender

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
	"github.com/fxamacker/cbor/v2"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
)

// The headers of a request to a backend server.
const (
	HeaderKey       = "Turmericlift-Key"
	HeaderPartition = "Turmericlift-Partition"
	HeaderEpoch     = "Turmericlift-Epoch"
	HeaderTerm      = "Turmericlift-Term"
	// HeaderDeadline is the absolute deadline, in ms since 1970, after which a server
	// that checks no grants must not run the request any more.
	HeaderDeadline  = "Turmericlift-Deadline-Ms"
	HeaderRequestID = "Turmericlift-Request-Id"
	// HeaderRefused is set by a backend server on an answer that says that the request
	// has not run; see the Refused constants.
	HeaderRefused = "Turmericlift-Refused"
)

// The values of HeaderRefused.
const (
	RefusedFenced = "Fenced"
	RefusedShed   = "Shed"
	RefusedLate   = "Late"
)

// OrderPath is where a backend server takes orders, in CBOR.
const OrderPath = "/turmericlift/orders"

// orderTimeout bounds the time that a backend server has to answer an order.
const orderTimeout = 400 * time.Millisecond

// maxOrderAnswer bounds a backend server's answer to an order, in bytes.
const maxOrderAnswer = 4 << 20

// Sender sends to backend servers. It is safe for concurrent use.
type Sender struct {
	requests http.RoundTripper
	orders   http.RoundTripper
}

// New returns a Sender that keeps at most connections open to a backend server.
func New(connections int) *Sender {
	return &Sender{
		requests: &http.Transport{MaxConnsPerHost: connections, MaxIdleConnsPerHost: connections, IdleConnTimeout: time.Minute},
		orders:   &http.Transport{MaxConnsPerHost: 2, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute},
	}
}

// SendOrder sends an order and returns the server's answer.
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
	resp, err := s.orders.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return granter.OrderAnswer{}, fmt.Errorf("order to %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxOrderAnswer))
	if err != nil || resp.StatusCode != http.StatusOK {
		return granter.OrderAnswer{}, fmt.Errorf("order to %s: status %d: %w", address, resp.StatusCode, err)
	}
	var a granter.OrderAnswer
	if err := cbor.Unmarshal(data, &a); err != nil {
		return granter.OrderAnswer{}, fmt.Errorf("answer of %s: %w", address, err)
	}
	return a, nil
}

// Fencing is what a backend server needs to check a request.
type Fencing struct {
	Grant    granter.Grant
	Term     identifier.Term
	Deadline time.Time // Absolute; zero for a server that checks grants.
}

// Send sends a request and returns its answer. maxBody bounds the answer's body.
func (s *Sender) Send(ctx context.Context, address string, r answerer.Request, f Fencing, maxBody int) answerer.Answer {
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// From the moment a connection is handed out, bytes may leave on it.
		GotConn: func(httptrace.GotConnInfo) { written.Store(true) },
	})
	req, err := build(ctx, address, r, f)
	if err != nil {
		return answerer.Refuse(answerer.CodeBadRequest, err.Error())
	}
	resp, err := s.requests.RoundTrip(req)
	if err != nil {
		return failed(ctx, err, written.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	if refused := resp.Header.Get(HeaderRefused); refused != "" {
		return refusal(refused)
	}
	return readAnswer(resp, maxBody)
}

func failed(ctx context.Context, err error, written bool) answerer.Answer {
	if !written {
		if ctx.Err() != nil {
			return answerer.Refuse(answerer.CodeExpired, "no connection before the deadline")
		}
		return answerer.Refuse(answerer.CodeBackendUnreachable, err.Error())
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return answerer.Indeterminate(answerer.CodeCancelled, "cancelled while it ran")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return answerer.Indeterminate(answerer.CodeTimedOut, "deadline passed while it ran")
	}
	return answerer.Indeterminate(answerer.CodeBackendBroke, err.Error())
}

func refusal(kind string) answerer.Answer {
	switch kind {
	case RefusedFenced:
		return answerer.Refuse(answerer.CodeFenced, "refused by the backend server")
	case RefusedLate:
		return answerer.Refuse(answerer.CodeExpired, "refused by the backend server")
	default:
		return answerer.Refuse(answerer.CodeShed, "refused by the backend server")
	}
}

// readAnswer reads the readAnswer answer. One that breaks off or is too large is an outcome
// in doubt, never half an answer.
func readAnswer(resp *http.Response, maxBody int) answerer.Answer {
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxBody)+1))
	if err != nil {
		return answerer.Indeterminate(answerer.CodeBackendBroke, "answer broke off: "+err.Error())
	}
	if len(body) > maxBody {
		return answerer.Indeterminate(answerer.CodeAnswerTooLarge, fmt.Sprintf("answer has over %d bytes", maxBody))
	}
	header := resp.Header.Clone()
	for _, name := range hopHeaders {
		header.Del(name)
	}
	return answerer.Answer{Outcome: answerer.Ran, Status: resp.StatusCode, Header: header, Body: body}
}

// hopHeaders concern one connection only (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

func build(ctx context.Context, address string, r answerer.Request, f Fencing) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, body(r))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
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
	for _, name := range hopHeaders {
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

// body returns the request's body. One that may not be repeated is given a body
// that net/http cannot rewind, even if it is empty.
func body(r answerer.Request) io.Reader {
	if r.Idempotent {
		return bytes.NewReader(r.Body)
	}
	return io.NopCloser(bytes.NewReader(r.Body))
}
