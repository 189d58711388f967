// Package forwarder serves callers' HTTP requests. Each gets the answer of a backend server, or an error answer whose
// status says whether the request may have run: the status 503 says that it has not. Large answers are streamed; if one
// breaks off, the caller's connection is reset, so that the answer does not look complete.
//
// Start with Forwarder.ServeHTTP in forwarder.go, which also has the sending and the retries; parse.go reads requests and
// headers, and answer.go writes the answers.
package forwarder

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/exchanger"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/logger"
	"github.com/turmericlift/turmericlift/rationer"
	"github.com/turmericlift/turmericlift/registrar"
	"github.com/turmericlift/turmericlift/scheduler"
)

// HeaderNames are the names of the headers that a platform uses in requests and answers.
type HeaderNames struct {
	RequestID, TimeLeft, ExpectServer, Server, NotExecuted, Seal, Load, Key, Tenant string
}

// Core decides where requests are sent, sends them, and records their outcomes. Its methods are called concurrently.
type Core interface {
	// Table returns the current configuration, or nil if none is known yet.
	Table() *director.Table
	// Split returns the service for the next request of a route.
	Split(r *director.Route) identifier.Service
	// Admit waits for the decision on a request. It returns false if ctx ends first.
	Admit(ctx context.Context, r *scheduler.PendingRequest) (scheduler.Decision, bool)
	// Exchange sends a request to a backend server and returns its answer; send is from the decision on the request. Its
	// errors are those of exchanger.Pool.Do, and a *exchanger.BrokenError that wraps ErrSilent if the server will not answer.
	Exchange(ctx context.Context, e registrar.Entry, send scheduler.Send, r *exchanger.Request) (exchanger.Answer, error)
	// KeysAreCurrent reports whether no API key can have been removed too long ago without this instance knowing, and if not,
	// when that may change.
	KeysAreCurrent() (ok bool, retryAfter time.Duration)
	// PeekQuota decides on a request of a tenant at its arrival: the refusal is nil if it may wait to be sent. The tenant may
	// be nil.
	PeekQuota(t *director.Tenant) *QuotaRefusal
	// EnterQuota decides likewise, and counts a request that is not refused as waiting until LeaveQuota.
	EnterQuota(t *director.Tenant) *QuotaRefusal
	LeaveQuota(t *director.Tenant)
	// TakeQuota counts a request that is about to be sent, unless the result is a refusal. It may wait for another instance.
	TakeQuota(ctx context.Context, t *director.Tenant) *QuotaRefusal
	// ReturnQuota takes back what TakeQuota counted, since it is proved that the request has not run.
	ReturnQuota(t *director.Tenant)
	// RecordOutcome records how a request ended that was assigned to a backend server.
	RecordOutcome(e registrar.Entry, r scheduler.Report)
	// RecordNotOwner records that a backend server does not own a key.
	RecordNotOwner(e registrar.Entry, service identifier.Service, key identifier.ShardKey)
	// RecordOwner records that a backend server owns a key.
	RecordOwner(e registrar.Entry, service identifier.Service, key identifier.ShardKey)
	// RecordReplaced records that another backend server answers at a server's address.
	RecordReplaced(e registrar.Entry, by identifier.BackendServer)
	// MayRetry reports whether a retry to the service is within the bound on retries, and counts it if so. A part of
	// the bound is reserved for urgent requests.
	MayRetry(service identifier.Service, urgent bool) bool
	// IsQuarantined reports whether requests with a fingerprint are refused because they crash backend servers.
	IsQuarantined(f answerer.Fingerprint) bool
	// RecordBrokenConnection records that a connection to a backend server broke while a request with a fingerprint ran.
	RecordBrokenConnection(e registrar.Entry, f answerer.Fingerprint)
	// RecordCompletion records that a request with a fingerprint ran to its end.
	RecordCompletion(f answerer.Fingerprint)
	// Observe counts an answered request in the metrics.
	Observe(o Observation)
}

// ErrSilent says that a backend server answers other requests but does not know this one, so that no answer will come.
var ErrSilent = errors.New("the backend server answers other requests and does not count this one")

// Observation describes an answered request for the metrics. Sends is the number of attempts that a backend
// server answered or whose connection broke. Late says that the answer came after the route's target time.
type Observation struct {
	Route   string
	Code    answerer.Code
	Status  int
	Latency time.Duration
	Sends   int
	Late    bool
}

// NoticeDecoder decodes what a backend server says of itself in an answer with a status. The error tells what was malformed;
// the notice can be used nevertheless.
type NoticeDecoder func(status int, h http.Header) (registrar.Notice, error)

// Forwarder is the http.Handler of callers' requests. It is safe for concurrent use.
type Forwarder struct {
	names        HeaderNames
	decodeNotice NoticeDecoder
	core         Core
	memory       *rationer.Rationer // For callers' bodies.
	clock        func() time.Time
	log          *logrus.Entry
	departure    atomic.Pointer[Departure] // Nil unless the instance stops.
	refusals     logger.Throttle           // For log lines on refused bodies.
	ended        context.Context           // Ends at the end of a planned stop.
	endRequests  context.CancelFunc

	mu          sync.Mutex
	longestTime map[string]time.Duration // By name of the route: the longest time that a request had left when it arrived.
}

// New returns a Forwarder that uses the given header names, decoder and clock. The bodies of callers' requests are held within
// the bound of memory.
func New(names HeaderNames, decodeNotice NoticeDecoder, core Core, memory *rationer.Rationer, clock func() time.Time, log *logrus.Entry) *Forwarder {
	ended, end := context.WithCancel(context.Background())
	return &Forwarder{
		names: names, decodeNotice: decodeNotice, core: core, memory: memory, clock: clock, log: log, longestTime: map[string]time.Duration{},
		refusals: logger.Throttle{Interval: refusalLogInterval}, ended: ended, endRequests: end,
	}
}

const (
	// answerReserve is deducted from the time that a caller waits, for the transfer of the answer to it.
	answerReserve = 15 * time.Millisecond
	// retryTimeShare is the fraction of the longest time that requests of a route have left: a request that has less
	// than this left is taken for a retry.
	retryTimeShare = 0.93
	// quarantineRetryAfter is the Retry-After time of requests that are refused because they crash backend servers.
	quarantineRetryAfter = 30 * time.Second
	// defaultRetryAfter is the Retry-After time where nothing says when a retry can succeed, such as while no
	// configuration is known.
	defaultRetryAfter = 500 * time.Millisecond
	// memoryRetryAfter is the Retry-After time of requests whose body does not fit the memory that is left: large bodies take
	// about that long to arrive and to be passed on.
	memoryRetryAfter = time.Second
)

// activeRequest is a request that is being served.
type activeRequest struct {
	route       *director.Route
	tenant      *director.Tenant // Nil if the request needs no API key.
	keyDigest   director.KeyDigest
	inQuota     bool // It counts as waiting for its tenant's quota.
	service     identifier.Service
	id          string
	header      http.Header
	method      string
	target      string
	host        string
	body        []byte
	keyed       bool
	key         identifier.ShardKey
	arrived     time.Time
	deadline    time.Time
	isRetry     bool
	fingerprint answerer.Fingerprint
	sends       int
	mayHaveRun  bool
	sent        map[identifier.BackendServer]bool
	version     uint64
	server      identifier.BackendServer
	inputs      scheduler.Inputs // Inputs of the last decision, for the log.
}

// result is the answer that a caller gets.
type result struct {
	code       answerer.Code
	status     int
	answer     *exchanger.Answer // Answer of a backend server, passed on as it is; nil for an error answer.
	retryAfter time.Duration
	detail     string
}

// ServeHTTP serves one request of a caller. It returns when the answer is written.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := f.arrivalTime(r.Context())
	held := f.memory.Open()
	defer held.Close()
	req, res := f.parse(arrived, w, r, held)
	defer f.leaveQuota(req)
	if res == nil {
		ctx, cancel := f.requestContext(r, req.deadline)
		defer cancel()
		res = f.serve(ctx, r.Context(), req)
	}
	err := f.write(w, req, res)
	f.record(req, res)
	if res.code == answerer.CodeMemoryFull {
		discardBody(w, r, maxDiscardedBytes)
	}
	if err != nil {
		f.log.WithFields(logrus.Fields{"ID": req.id, "Server": req.server, "Error": err}).Info("answer broke off after its first part was sent to the caller, or the caller left; its connection is reset")
		abort(r.Context())
	}
}

// serve sends the request to backend servers until one gives a valid answer, or the request must not be sent again. ctx
// ends at the deadline; caller ends when the caller leaves.
func (f *Forwarder) serve(ctx, caller context.Context, req *activeRequest) *result {
	for {
		d, ok := f.core.Admit(ctx, req.pending())
		if !ok {
			return f.abandoned(caller, req, false)
		}
		req.inputs = d.Inputs
		if d.Reason != scheduler.NotRefused {
			return f.refused(req, d)
		}
		if req.sends > 0 && !f.core.MayRetry(req.service, req.urgent()) {
			f.core.RecordOutcome(d.Server, scheduler.Report{Outcome: scheduler.Cancelled, Send: d.Send})
			return req.notRun(&result{code: answerer.CodeQueueFull, retryAfter: defaultRetryAfter, detail: "too many retries to the service; the request was not sent again"})
		}
		if res := f.mayNotSend(ctx, caller, req, d); res != nil {
			return res
		}
		if res := f.attempt(ctx, caller, req, d); res != nil {
			return res
		}
	}
}

// attempt sends the request to one backend server. It returns nil if the request must be sent again.
func (f *Forwarder) attempt(ctx, caller context.Context, req *activeRequest, d scheduler.Decision) *result {
	started := f.clock()
	e := d.Server
	req.server = e.ID
	answer, err := f.core.Exchange(ctx, e, d.Send, f.request(req, e, started))
	report := scheduler.Report{Latency: f.clock().Sub(started), Expected: d.Inputs.Expected, Send: d.Send}
	var unsent *exchanger.UnsentError
	switch {
	case err == nil:
		req.sends++
		f.names.ReadLoad(answer.Header, &report)
		report.Notice = f.notice(req, e, answer)
		return f.checkAnswer(req, e, answer, report)
	case errors.As(err, &unsent):
		f.core.ReturnQuota(req.tenant)
		switch {
		case ctx.Err() != nil:
			report.Outcome = scheduler.Cancelled
		case errors.Is(err, exchanger.ErrNoConnection):
			report.Outcome = scheduler.NoConnection
		default:
			report.Outcome = scheduler.Unreachable
		}
		f.core.RecordOutcome(e, report)
		f.log.WithFields(logrus.Fields{"ID": req.id, "Server": e.ID, "EntryVersion": e.Version, "Error": err}).Info("request could not be sent to the backend server")
		if ctx.Err() != nil {
			return f.abandoned(caller, req, false)
		}
		if !req.keyed {
			req.sent[e.ID] = true
		}
		return nil
	case ctx.Err() != nil:
		report.Outcome = scheduler.Cancelled
		f.core.RecordOutcome(e, report)
		return f.abandoned(caller, req, true)
	}
	req.sends++
	report.Outcome = scheduler.Broken
	f.core.RecordOutcome(e, report)
	if errors.Is(err, ErrSilent) {
		f.log.WithFields(logrus.Fields{"ID": req.id, "Server": e.ID, "EntryVersion": e.Version, "Ms": report.Latency.Milliseconds()}).Info("backend server will not answer the request, its connection is closed")
		return f.retryOrFail(req, e, &result{code: answerer.CodeBackendBroke, status: http.StatusBadGateway, detail: "the backend server does not answer the request; it may have run"})
	}
	f.core.RecordBrokenConnection(e, req.fingerprint)
	f.log.WithFields(logrus.Fields{"ID": req.id, "Server": e.ID, "EntryVersion": e.Version, "Error": err}).Info("connection broke after the request was sent to the backend server")
	return f.retryOrFail(req, e, &result{code: answerer.CodeBackendBroke, status: http.StatusBadGateway, detail: "the connection broke after the request was sent"})
}

// notice returns what a server says of itself in the answer to a request. An answer that names no request or another server
// may be a copy of an earlier one, and says nothing.
func (f *Forwarder) notice(req *activeRequest, e registrar.Entry, a exchanger.Answer) registrar.Notice {
	by := identifier.BackendServer(a.Header.Get(f.names.Server))
	if req.id != "" && a.Header.Get(f.names.RequestID) != req.id || by != "" && by != e.ID {
		return registrar.Notice{}
	}
	n, err := f.decodeNotice(a.Status, a.Header)
	if err != nil {
		f.log.WithFields(logrus.Fields{"ID": req.id, "Server": e.ID, "EntryVersion": e.Version, "Error": err}).Warning("what the backend server says of itself is malformed in part")
	}
	return n
}

// retryOrFail decides whether a request that may have run is sent again. It returns nil if so, and otherwise failure.
func (f *Forwarder) retryOrFail(req *activeRequest, e registrar.Entry, failure *result) *result {
	req.sent[e.ID] = true
	req.mayHaveRun = true
	if !req.route.Idempotent || req.sends >= req.route.MaxAttempts {
		return failure
	}
	return nil
}

// checkAnswer decides whether an answer of a backend server is passed on to the caller. It returns nil if the request
// must be sent again instead.
func (f *Forwarder) checkAnswer(req *activeRequest, e registrar.Entry, a exchanger.Answer, report scheduler.Report) *result {
	refusal := a.Header.Get(f.names.NotExecuted) != "" || a.Status == http.StatusMisdirectedRequest
	// A refusal that names no request may be the second copy of an earlier one on the connection.
	if refusal && (req.id == "" || a.Header.Get(f.names.RequestID) == req.id) {
		return f.checkRefusal(req, e, a, report)
	}
	report.Outcome = scheduler.Answered
	f.core.RecordOutcome(e, report)
	if refusal || promisesNotRun(a.Status) {
		a.Close()
		f.log.WithFields(logrus.Fields{"ID": req.id, "Server": e.ID, "EntryVersion": e.Version, "Status": a.Status, "Refusal": refusal}).Info("answer of the backend server does not prove that the request has not run")
		return f.retryOrFail(req, e, &result{code: answerer.CodeBackendBroke, status: http.StatusBadGateway, detail: "the backend server's answer does not prove that the request has not run"})
	}
	if a.Header.Get("Content-Encoding") != "" || a.Status < 300 && a.Header.Get(f.names.Seal) == "" {
		a.Close()
		return f.retryOrFail(req, e, &result{code: answerer.CodeBackendBroke, status: http.StatusBadGateway, detail: "the answer did not come unchanged from the backend server"})
	}
	f.core.RecordCompletion(req.fingerprint)
	if req.keyed {
		f.core.RecordOwner(e, req.service, req.key)
	}
	return &result{code: answerer.CodeOK, status: a.Status, answer: &a}
}

// checkRefusal records that a backend server has not run a request, and decides what follows. It returns nil if the request
// must be sent again.
func (f *Forwarder) checkRefusal(req *activeRequest, e registrar.Entry, a exchanger.Answer, report scheduler.Report) *result {
	a.Close()
	f.core.ReturnQuota(req.tenant)
	report.Outcome = scheduler.Shed
	if by := identifier.BackendServer(a.Header.Get(f.names.Server)); a.Status == http.StatusMisdirectedRequest && by != "" && by != e.ID {
		f.core.RecordReplaced(e, by)
	}
	if a.Status == http.StatusMisdirectedRequest && req.keyed {
		report.Outcome = scheduler.Cancelled // The outcome must not pause the server, which is not at fault.
		f.core.RecordNotOwner(e, req.service, req.key)
	}
	f.core.RecordOutcome(e, report)
	f.log.WithFields(logrus.Fields{"ID": req.id, "Server": e.ID, "EntryVersion": e.Version, "Status": a.Status, "RetryAfterMs": report.Notice.RetryAfter.Milliseconds()}).Info("backend server refused the request without running it")
	if a.Status == http.StatusBadRequest {
		return &result{code: answerer.CodeBadRequest, status: http.StatusBadGateway, detail: "the backend server rejected the request as invalid"}
	}
	if !req.keyed {
		req.sent[e.ID] = true
	}
	if req.sends >= max(req.route.MaxAttempts, 1)+1 {
		return req.notRun(&result{code: answerer.CodeShed, retryAfter: defaultRetryAfter, detail: "backend servers refused the request without running it"})
	}
	return nil
}

// promisesNotRun reports whether a status tells a caller that its request has not run. A backend server may send one of them
// for a request that it has run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// notRun completes the result of a request whose last attempt did not run. The status 503 says that no attempt has run;
// it is 502 if an earlier attempt may have run.
func (req *activeRequest) notRun(res *result) *result {
	res.status = http.StatusServiceUnavailable
	if req.mayHaveRun {
		res.status, res.retryAfter = http.StatusBadGateway, 0
	}
	return res
}

// abandoned returns the result of a request whose caller left or whose deadline passed. sent says whether the last
// attempt was sent.
func (f *Forwarder) abandoned(caller context.Context, req *activeRequest, sent bool) *result {
	switch {
	case caller.Err() != nil:
		return &result{code: answerer.CodeCancelled, status: http.StatusGatewayTimeout, detail: "the caller closed the connection before the answer"}
	case f.ended.Err() != nil && (sent || req.mayHaveRun):
		return &result{code: answerer.CodeTimedOut, status: http.StatusGatewayTimeout, detail: "the instance stopped after the request was sent; it may have run"}
	case f.ended.Err() != nil:
		return &result{code: answerer.CodeStopping, status: http.StatusServiceUnavailable, retryAfter: leavingRetryAfter, detail: "the instance stopped before the request was sent"}
	case sent || req.mayHaveRun:
		return &result{code: answerer.CodeTimedOut, status: http.StatusGatewayTimeout, detail: "the deadline passed after the request was sent; it may have run"}
	default:
		return &result{code: answerer.CodeExpired, status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter, detail: "the deadline passed before the request was sent"}
	}
}

// refused returns the result of a request that the scheduler refused.
func (f *Forwarder) refused(req *activeRequest, d scheduler.Decision) *result {
	res := &result{retryAfter: d.RetryAfter}
	switch d.Reason {
	case scheduler.NoOwner:
		res.code, res.detail = answerer.CodeNoOwner, "no backend server owns the key at present"
	case scheduler.NoServer:
		res.code, res.detail = answerer.CodeNoBackendServer, "no backend server of the service accepts requests"
	case scheduler.QueueTooLong, scheduler.Expired, scheduler.NotRefused:
		res.code, res.detail = answerer.CodeQueueFull, "the expected wait in the queue is longer than the deadline allows"
	}
	return req.notRun(res)
}

// request returns the request that is sent to a backend server, with the time that is left before the deadline.
func (f *Forwarder) request(req *activeRequest, e registrar.Entry, now time.Time) *exchanger.Request {
	h := req.header.Clone()
	left := max(req.deadline.Sub(now).Milliseconds(), 1)
	h.Set(f.names.TimeLeft, strconv.FormatInt(left, 10))
	h.Set(f.names.ExpectServer, string(e.ID))
	return &exchanger.Request{
		Method: req.method, Target: req.target, Host: req.host, Header: h, Body: req.body,
		IDHeader: f.names.RequestID, ID: req.id,
	}
}
