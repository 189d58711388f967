// Package forwarder takes callers' requests over HTTP and gives each its answer: the
// whole answer of a backend server, or a refusal that says whether the request may
// have run.
package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/exchanger"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
	"github.com/turmericlift/turmericlift/scheduler"
)

// Names are the headers of requests and answers on one platform.
type Names struct {
	RequestID, TimeLeft, ExpectServer, Server, NotExecuted, Seal, Load, Key string
}

// Core decides where requests go. Its methods are called concurrently.
type Core interface {
	Table() *director.Table
	// Split returns the service of a route's next request.
	Split(r *director.Route) identifier.Service
	// Admit waits for a decision. It returns false if ctx ends first.
	Admit(ctx context.Context, t *scheduler.Ticket) (scheduler.Decision, bool)
	Exchange(ctx context.Context, e registrar.Entry, r *exchanger.Request) (exchanger.Answer, error)
	// Finished takes in how a request ended at a backend server.
	Finished(e registrar.Entry, r scheduler.Report)
	// Misdirected takes in that a backend server does not own a key.
	Misdirected(e registrar.Entry, service identifier.Service, key identifier.Point)
	// Owned takes in that a backend server owns a key.
	Owned(e registrar.Entry, service identifier.Service, key identifier.Point)
	// Replaced takes in that another backend server answers at a server's address.
	Replaced(e registrar.Entry, by identifier.BackendServer)
	// MayRepeat reports whether another request to the service is within the bound of
	// repeats, and counts it. A part of the bound is for urgent requests.
	MayRepeat(service identifier.Service, urgent bool) bool
	Quarantined(f answerer.Fingerprint) bool
	// Broke takes in that a connection broke while a request ran; Completed that one ran to
	// its end.
	Broke(e registrar.Entry, f answerer.Fingerprint)
	Completed(f answerer.Fingerprint)
	// Observe counts a finished request.
	Observe(o Observation)
}

// Observation is what is counted of a finished request.
type Observation struct {
	Route   string
	Code    answerer.Code
	Status  int
	Latency time.Duration
	Sends   int
}

// Forwarder is the handler of callers' requests.
type Forwarder struct {
	names Names
	core  Core
	clock func() time.Time
	log   *logrus.Entry

	mu      sync.Mutex
	longest map[string]time.Duration // By route: the longest time that callers have given.
}

// New returns a Forwarder.
func New(names Names, core Core, clock func() time.Time, log *logrus.Entry) *Forwarder {
	return &Forwarder{names: names, core: core, clock: clock, log: log, longest: map[string]time.Duration{}}
}

const (
	// answerReserve is kept back from a caller's time for the way of the answer.
	answerReserve = 15 * time.Millisecond
	// returnedShare is the part of the longest time that callers give below which a
	// request is one that was refused before.
	returnedShare = 0.93
	// quarantineRetry is the Retry-After of requests that crash backend servers.
	quarantineRetry = 30 * time.Second
	// unknownRetry is the Retry-After while no configuration is known.
	unknownRetry = 500 * time.Millisecond
)

// flight is one request on its way.
type flight struct {
	route       *director.Route
	service     identifier.Service
	id          string
	header      http.Header
	method      string
	target      string
	host        string
	body        []byte
	keyed       bool
	key         identifier.Point
	arrived     time.Time
	deadline    time.Time
	returned    bool
	fingerprint answerer.Fingerprint
	sends       int
	mayHaveRun  bool
	sent        map[identifier.BackendServer]bool
	version     uint64
	server      identifier.BackendServer
	inputs      scheduler.Inputs // Of the last decision.
}

// result is the end of a request.
type result struct {
	code       answerer.Code
	status     int
	answer     *exchanger.Answer // Of a backend server.
	retryAfter time.Duration
	detail     string
}

// ServeHTTP answers one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := f.clock()
	fl, res := f.parse(arrived, w, r)
	if res == nil {
		ctx, cancel := context.WithTimeout(r.Context(), fl.deadline.Sub(f.clock()))
		res = f.serve(ctx, r.Context(), fl)
		cancel()
	}
	f.write(w, res)
	f.record(fl, res)
}

// serve sends the request until it has an answer that counts, or may not be sent again.
func (f *Forwarder) serve(ctx, caller context.Context, fl *flight) *result {
	for {
		d, ok := f.core.Admit(ctx, fl.ticket())
		if !ok {
			return f.givenUp(caller, fl, false)
		}
		fl.inputs = d.Inputs
		if d.Reason != scheduler.None {
			return f.refused(fl, d)
		}
		if fl.sends > 0 && !f.core.MayRepeat(fl.service, fl.urgent()) {
			f.core.Finished(d.Server, scheduler.Report{Outcome: scheduler.Cancelled})
			return &result{code: answerer.CodeQueueFull, status: http.StatusServiceUnavailable, retryAfter: unknownRetry, detail: "too many repeats"}
		}
		if res := f.attempt(ctx, caller, fl, d.Server); res != nil {
			return res
		}
	}
}

// urgent reports whether a request is worth more than most, or its caller has no other try.
func (fl *flight) urgent() bool { return fl.returned || !fl.route.Idempotent }

func (fl *flight) ticket() *scheduler.Ticket {
	return &scheduler.Ticket{
		Service: fl.service, Keyed: fl.keyed, Key: fl.key, Rank: fl.route.Rank, Returned: fl.returned,
		Arrived: fl.arrived, Target: fl.arrived.Add(fl.route.Target), Deadline: fl.deadline,
		Tried: fl.tried(), Decided: make(chan scheduler.Decision, 1),
	}
}

// tried returns the servers that the request must not reach again: a keyed one has only
// its owner to go to.
func (fl *flight) tried() map[identifier.BackendServer]bool {
	if fl.keyed {
		return nil
	}
	return fl.sent
}

// attempt sends the request to one backend server. It returns nil if the request has
// not run there and may be sent again.
func (f *Forwarder) attempt(ctx, caller context.Context, fl *flight, e registrar.Entry) *result {
	started := f.clock()
	fl.server = e.ID
	answer, err := f.core.Exchange(ctx, e, f.request(fl, e, started))
	report := scheduler.Report{Latency: f.clock().Sub(started)}
	var unsent *exchanger.UnsentError
	switch {
	case err == nil:
		fl.sends++
		f.readLoad(answer.Header, &report)
		return f.judge(fl, e, answer, report)
	case errors.As(err, &unsent):
		report.Outcome = scheduler.Unreachable
		if ctx.Err() != nil {
			report.Outcome = scheduler.Cancelled
		}
		f.core.Finished(e, report)
		f.log.WithFields(logrus.Fields{"ID": fl.id, "Server": e.ID, "EntryVersion": e.Version, "Error": err}).Info("not sent")
		if ctx.Err() != nil {
			return f.givenUp(caller, fl, false)
		}
		if !fl.keyed {
			fl.sent[e.ID] = true
		}
		return nil
	case ctx.Err() != nil:
		report.Outcome = scheduler.Cancelled
		f.core.Finished(e, report)
		return f.givenUp(caller, fl, true)
	}
	fl.sends++
	report.Outcome = scheduler.Broken
	f.core.Finished(e, report)
	f.core.Broke(e, fl.fingerprint)
	f.log.WithFields(logrus.Fields{"ID": fl.id, "Server": e.ID, "EntryVersion": e.Version, "Error": err}).Info("connection broke")
	return f.again(fl, e, &result{code: answerer.CodeBackendBroke, status: http.StatusBadGateway, detail: "the connection broke after the request was sent"})
}

// again decides whether a request that may have run is sent once more; if so it
// returns nil.
func (f *Forwarder) again(fl *flight, e registrar.Entry, otherwise *result) *result {
	fl.sent[e.ID] = true
	fl.mayHaveRun = true
	if !fl.route.Idempotent || fl.sends >= fl.route.MaxAttempts {
		return otherwise
	}
	return nil
}

// judge decides what an answer is worth.
func (f *Forwarder) judge(fl *flight, e registrar.Entry, a exchanger.Answer, report scheduler.Report) *result {
	notRun := a.Header.Get(f.names.NotExecuted) != "" || a.Status == http.StatusMisdirectedRequest
	if !notRun {
		report.Outcome = scheduler.Answered
		f.core.Finished(e, report)
		if a.Header.Get("Content-Encoding") != "" || a.Status < 300 && a.Header.Get(f.names.Seal) == "" {
			return f.again(fl, e, &result{code: answerer.CodeBackendBroke, status: http.StatusBadGateway, detail: "the answer is not the backend server's"})
		}
		f.core.Completed(fl.fingerprint)
		if fl.keyed {
			f.core.Owned(e, fl.service, fl.key)
		}
		return &result{code: answerer.CodeOK, status: a.Status, answer: &a}
	}
	report.Outcome = scheduler.Shed
	if by := identifier.BackendServer(a.Header.Get(f.names.Server)); a.Status == http.StatusMisdirectedRequest && by != "" && by != e.ID {
		f.core.Replaced(e, by)
	}
	if a.Status == http.StatusMisdirectedRequest && fl.keyed {
		report.Outcome = scheduler.Cancelled // The server itself is not at fault.
		f.core.Misdirected(e, fl.service, fl.key)
	}
	f.core.Finished(e, report)
	f.log.WithFields(logrus.Fields{"ID": fl.id, "Server": e.ID, "EntryVersion": e.Version, "Status": a.Status}).Info("not run by the backend server")
	if a.Status == http.StatusBadRequest {
		return &result{code: answerer.CodeBadRequest, status: http.StatusBadGateway, detail: "the backend server does not accept the request"}
	}
	if !fl.keyed {
		fl.sent[e.ID] = true
	}
	if fl.sends >= max(fl.route.MaxAttempts, 1)+1 {
		return &result{code: answerer.CodeShed, status: http.StatusServiceUnavailable, retryAfter: unknownRetry, detail: "the backend server refused the request"}
	}
	return nil
}

// givenUp is the result of a request whose deadline passed or whose caller left.
func (f *Forwarder) givenUp(caller context.Context, fl *flight, sent bool) *result {
	switch {
	case caller.Err() != nil:
		return &result{code: answerer.CodeCancelled, status: http.StatusGatewayTimeout, detail: "the caller left"}
	case sent || fl.mayHaveRun:
		return &result{code: answerer.CodeTimedOut, status: http.StatusGatewayTimeout, detail: "the deadline passed while the request ran"}
	default:
		return &result{code: answerer.CodeExpired, status: http.StatusServiceUnavailable, retryAfter: unknownRetry, detail: "the deadline passed before the request was sent"}
	}
}

func (f *Forwarder) refused(fl *flight, d scheduler.Decision) *result {
	res := &result{status: http.StatusServiceUnavailable, retryAfter: d.RetryAfter}
	switch d.Reason {
	case scheduler.NoOwner:
		res.code, res.detail = answerer.CodeNoOwner, "nobody owns the key for now"
	case scheduler.NoServer:
		res.code, res.detail = answerer.CodeNoBackendServer, "no backend server can take the request"
	case scheduler.NoRoom, scheduler.Expired, scheduler.None:
		res.code, res.detail = answerer.CodeQueueFull, "there is no room before the deadline"
	}
	if fl.mayHaveRun {
		res.status, res.retryAfter = http.StatusBadGateway, 0 // It may have run where it was sent first.
	}
	return res
}

func (f *Forwarder) request(fl *flight, e registrar.Entry, now time.Time) *exchanger.Request {
	h := fl.header.Clone()
	left := max(fl.deadline.Sub(now).Milliseconds(), 1)
	h.Set(f.names.TimeLeft, strconv.FormatInt(left, 10))
	h.Set(f.names.ExpectServer, string(e.ID))
	return &exchanger.Request{
		Method: fl.method, Target: fl.target, Host: fl.host, Header: h, Body: fl.body,
		IDHeader: f.names.RequestID, ID: fl.id,
	}
}

func (f *Forwarder) write(w http.ResponseWriter, res *result) {
	h := w.Header()
	if res.answer != nil {
		for name, values := range res.answer.Header {
			h[name] = values
		}
		for _, name := range connectionHeaders {
			h.Del(name)
		}
		h.Set("Content-Length", strconv.Itoa(len(res.answer.Body)))
		w.WriteHeader(res.status)
		_, _ = w.Write(res.answer.Body) // The caller has left: nothing is owed to it.
		return
	}
	if res.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(res.retryAfter.Seconds(), 'f', 2, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Result-Code", strconv.Itoa(int(res.code)))
	w.WriteHeader(res.status)
	_, _ = io.WriteString(w, res.code.String()+": "+res.detail+"\n")
}

func (f *Forwarder) record(fl *flight, res *result) {
	latency := f.clock().Sub(fl.arrived)
	route := ""
	if fl.route != nil {
		route = fl.route.Name
	}
	f.core.Observe(Observation{Route: route, Code: res.code, Status: res.status, Latency: latency, Sends: fl.sends})
	fields := logrus.Fields{
		"ID": fl.id, "Route": route, "Service": fl.service, "ConfigVersion": fl.version, "Server": fl.server,
		"Sends": fl.sends, "Status": res.status, "Code": int(res.code), "Ms": latency.Milliseconds(),
		"LeftMs": fl.deadline.Sub(fl.arrived).Milliseconds(), "Returned": fl.returned,
	}
	if fl.keyed {
		own := fl.inputs.Owner
		fields["Key"], fields["Owner"], fields["Epoch"], fields["Allocation"], fields["Moving"] = fl.key, own.Server, own.Epoch, own.Version, own.Moving
	}
	if res.code != answerer.CodeOK {
		fields["Running"], fields["Others"], fields["LoadAgeMs"] = fl.inputs.Running, int(fl.inputs.Others+half), fl.inputs.LoadAge.Milliseconds()
		fields["Ahead"], fields["WaitMs"], fields["RetryAfterMs"] = fl.inputs.Ahead, fl.inputs.Wait.Milliseconds(), res.retryAfter.Milliseconds()
	}
	f.log.WithFields(fields).Info("answered")
}

// half rounds an estimate to the nearest whole number.
const half = 0.5
