package forwarder_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/exchanger"
	"github.com/turmericlift/turmericlift/forwarder"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/rationer"
	"github.com/turmericlift/turmericlift/registrar"
	"github.com/turmericlift/turmericlift/scheduler"
)

var names = forwarder.HeaderNames{RequestID: "Id", TimeLeft: "Left", ExpectServer: "Expect", Server: "Server", NotExecuted: "Not-Run", Seal: "Seal", Load: "Load", Key: "Key", Tenant: "Tenant"}

// noNotice is a forwarder.NoticeDecoder for servers that say nothing of themselves.
func noNotice(int, http.Header) (registrar.Notice, error) { return registrar.Notice{}, nil }

// core is a forwarder.Core that answers each exchange with the next step of a script.
type core struct {
	table       *director.Table
	refusal     scheduler.Reason
	steps       []string
	requests    []*exchanger.Request
	retries     bool
	quarantined bool
	notOwner    int
	broke       int
	replaced    identifier.BackendServer
	notice      registrar.Notice

	staleKeys      bool
	quotaAtArrival *forwarder.QuotaRefusal
	quotaSends     int
	quotaLeft      int
	quotaReturned  int
}

func (c *core) Table() *director.Table                                                  { return c.table }
func (c *core) Split(r *director.Route) identifier.Service                              { return r.Shares[0].Service }
func (c *core) RecordOutcome(_ registrar.Entry, r scheduler.Report)                     { c.notice = r.Notice }
func (c *core) MayRetry(identifier.Service, bool) bool                                  { return c.retries }
func (c *core) IsQuarantined(answerer.Fingerprint) bool                                 { return c.quarantined }
func (c *core) RecordBrokenConnection(registrar.Entry, answerer.Fingerprint)            { c.broke++ }
func (c *core) RecordCompletion(answerer.Fingerprint)                                   {}
func (c *core) Observe(forwarder.Observation)                                           {}
func (c *core) RecordNotOwner(registrar.Entry, identifier.Service, identifier.ShardKey) { c.notOwner++ }
func (c *core) RecordOwner(registrar.Entry, identifier.Service, identifier.ShardKey)    {}

func (c *core) KeysAreCurrent() (bool, time.Duration)               { return !c.staleKeys, time.Second }
func (c *core) PeekQuota(*director.Tenant) *forwarder.QuotaRefusal  { return nil }
func (c *core) EnterQuota(*director.Tenant) *forwarder.QuotaRefusal { return c.quotaAtArrival }
func (c *core) LeaveQuota(*director.Tenant)                         { c.quotaLeft++ }

func (c *core) ReturnQuota(*director.Tenant) { c.quotaReturned++ }

// TakeQuota refuses a request whose tenant has a quota after as many sends as quotaSends.
func (c *core) TakeQuota(_ context.Context, t *director.Tenant) *forwarder.QuotaRefusal {
	if t == nil || t.Rate == 0 || len(c.requests) < c.quotaSends {
		return nil
	}
	return &forwarder.QuotaRefusal{RetryAfter: 2 * time.Second}
}

func (c *core) RecordReplaced(_ registrar.Entry, by identifier.BackendServer) { c.replaced = by }

func (c *core) Admit(_ context.Context, r *scheduler.PendingRequest) (scheduler.Decision, bool) {
	if c.refusal != scheduler.NotRefused || len(c.steps) == 0 {
		return scheduler.Decision{Reason: max(c.refusal, scheduler.QueueTooLong), RetryAfter: 250 * time.Millisecond}, true
	}
	id := identifier.BackendServer("s" + string(rune('0'+len(r.Tried))))
	return scheduler.Decision{Server: registrar.Entry{ID: id}}, true
}

func (c *core) Exchange(ctx context.Context, _ registrar.Entry, _ scheduler.Send, r *exchanger.Request) (exchanger.Answer, error) {
	c.requests = append(c.requests, r)
	step := c.steps[0]
	c.steps = c.steps[1:]
	h := http.Header{"Id": {r.ID}, "Seal": {"sealed"}, "Keep-Alive": {"timeout=5"}}
	switch step {
	case "unsent":
		return exchanger.Answer{}, &exchanger.UnsentError{Err: errors.New("refused")}
	case "broken":
		return exchanger.Answer{}, &exchanger.BrokenError{Err: errors.New("reset")}
	case "unanswered":
		return exchanger.Answer{}, &exchanger.BrokenError{Err: forwarder.ErrSilent}
	case "silent":
		<-ctx.Done()
		return exchanger.Answer{}, &exchanger.BrokenError{Err: ctx.Err()}
	case "shed":
		return exchanger.Answer{Status: 503, Header: http.Header{"Id": {r.ID}, "Not-Run": {"1"}}}, nil
	case "misdirected":
		return exchanger.Answer{Status: 421, Header: http.Header{"Id": {r.ID}}}, nil
	case "replaced":
		return exchanger.Answer{Status: 421, Header: http.Header{"Id": {r.ID}, "Server": {"other"}}}, nil
	case "shed-unnamed":
		return exchanger.Answer{Status: 503, Header: http.Header{"Not-Run": {"1"}}}, nil
	case "misdirected-unnamed":
		return exchanger.Answer{Status: 421, Header: http.Header{}}, nil
	case "shed-unproved":
		return exchanger.Answer{Status: 503, Header: h}, nil
	case "busy-unproved":
		return exchanger.Answer{Status: 429, Header: h}, nil
	case "failed":
		return exchanger.Answer{Status: 500, Header: h, Body: []byte("failed")}, nil
	case "encoded":
		h.Set("Content-Encoding", "gzip")
	case "unsealed":
		h.Del("Seal")
	}
	return exchanger.Answer{Status: 200, Header: h, Body: []byte("done")}, nil
}

// table returns a configuration with an idempotent route, one that is not idempotent, and one to a keyed service.
func table() *director.Table {
	shares := func(s identifier.Service) []director.Share { return []director.Share{{Service: s, Weight: 1}} }
	return director.New(3, []director.Route{
		{Name: "read", Host: "h", PathPrefix: "/read/", Idempotent: true, Timeout: 300 * time.Millisecond, TargetLatency: 100 * time.Millisecond, MaxAttempts: 2, Shares: shares("pool")},
		{Name: "write", Host: "h", PathPrefix: "/write/", Timeout: 300 * time.Millisecond, TargetLatency: 100 * time.Millisecond, MaxAttempts: 2, Shares: shares("pool")},
		{Name: "keyed", Host: "h", PathPrefix: "/keyed/", Timeout: 300 * time.Millisecond, TargetLatency: 100 * time.Millisecond, MaxAttempts: 2, Shares: shares("keyed")},
	}, []director.Service{{Name: "pool"}, {Name: "keyed", Keyed: true}}, director.Limits{MaxBodyBytes: 1000})
}

// send serves one request with the given core and returns the answer. change may alter the request first.
func send(c *core, method, path string, change func(*http.Request)) *httptest.ResponseRecorder {
	return sendTo(c, method, path, change)
}

// sendTo is send with any core.
func sendTo(c forwarder.Core, method, path string, change func(*http.Request)) *httptest.ResponseRecorder {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := forwarder.New(names, noNotice, c, rationer.New(1<<20), time.Now, logrus.NewEntry(log))
	r := httptest.NewRequest(method, path, strings.NewReader("body"))
	r.Host = "h"
	r.Header.Set("Id", "id-1")
	r.Header.Set("Left", "2000")
	r.Header.Set("Key", "77")
	r.Header.Set("Connection", "X-Hop")
	r.Header.Set("X-Hop", "1")
	r.Header.Set("X-End", "2")
	if change != nil {
		change(r)
	}
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	return w
}

// TestStatus checks the status that callers get, by what happened at the backend servers and by whether the request is
// idempotent. A 503 says that the request has not run; given wrongly, it lets a caller run a request twice.
func TestStatus(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		path   string
		steps  []string
		status int
		sends  int
	}{
		"Read":                 {"/read/a", []string{"ok"}, 200, 1},
		"ReadBroken":           {"/read/a", []string{"broken", "ok"}, 200, 2},
		"ReadBrokenTwice":      {"/read/a", []string{"broken", "broken", "ok"}, 502, 2},
		"ReadShed":             {"/read/a", []string{"shed", "ok"}, 200, 2},
		"ReadEncoded":          {"/read/a", []string{"encoded", "ok"}, 200, 2},
		"ReadUnsealed":         {"/read/a", []string{"unsealed", "ok"}, 200, 2},
		"ReadBrokenThenNoRoom": {"/read/a", []string{"broken"}, 502, 1},
		"ReadBrokenThenShed":   {"/read/a", []string{"broken", "shed", "shed"}, 502, 3},
		"ReadUnanswered":       {"/read/a", []string{"unanswered", "ok"}, 200, 2},
		"WriteUnanswered":      {"/write/a", []string{"unanswered", "ok"}, 502, 1},
		"ReadFailed":           {"/read/a", []string{"failed"}, 500, 1},
		"Write":                {"/write/a", []string{"ok"}, 200, 1},
		"WriteBroken":          {"/write/a", []string{"broken", "ok"}, 502, 1},
		"WriteSilent":          {"/write/a", []string{"silent", "ok"}, 504, 1},
		"WriteEncoded":         {"/write/a", []string{"encoded", "ok"}, 502, 1},
		"WriteUnsent":          {"/write/a", []string{"unsent", "ok"}, 200, 2},
		"WriteShed":            {"/write/a", []string{"shed", "ok"}, 200, 2},
		"WriteShedThenBroken":  {"/write/a", []string{"shed", "broken", "ok"}, 502, 2},
		"WriteShedThenNoRoom":  {"/write/a", []string{"shed"}, 503, 1},
		"WriteFailed":          {"/write/a", []string{"failed", "ok"}, 500, 1},
		// Answers that would tell a caller that its request has not run, without proof.
		"ReadShedUnnamed":             {"/read/a", []string{"shed-unnamed", "ok"}, 200, 2},
		"WriteShedUnnamed":            {"/write/a", []string{"shed-unnamed", "ok"}, 502, 1},
		"WriteShedUnproved":           {"/write/a", []string{"shed-unproved", "ok"}, 502, 1},
		"WriteBusyUnproved":           {"/write/a", []string{"busy-unproved", "ok"}, 502, 1},
		"KeyedMisdirectedUnnamed":     {"/keyed/a", []string{"misdirected-unnamed", "ok"}, 502, 1},
		"KeyedMisdirected":            {"/keyed/a", []string{"misdirected", "ok"}, 200, 2},
		"KeyedMisdirectedTooOften":    {"/keyed/a", []string{"misdirected", "misdirected", "misdirected", "ok"}, 503, 3},
		"KeyedMisdirectedThenNoOwner": {"/keyed/a", []string{"misdirected"}, 503, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			k := &core{table: table(), steps: c.steps, retries: true}
			resp := send(k, http.MethodPost, c.path, nil)
			if resp.Code != c.status || len(k.requests) != c.sends {
				t.Errorf("status %d after %d requests to backend servers, want %d after %d", resp.Code, len(k.requests), c.status, c.sends)
			}
			if resp.Code == http.StatusServiceUnavailable && resp.Header().Get("Retry-After") == "" {
				t.Error("status 503 without Retry-After header")
			}
			if sealed := resp.Header().Get("Seal") != ""; sealed != (c.status == 200 || c.status == 500) {
				t.Errorf("answer with status %d has the seal of a backend server: %t", resp.Code, sealed)
			}
		})
	}
}

// TestRefused checks the status of requests that are answered without sending them to a backend server.
func TestRefused(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		core   core
		path   string
		change func(*http.Request)
		status int
	}{
		"NoConfiguration": {core{}, "/read/a", nil, 503},
		"NoRoute":         {core{table: table()}, "/other/a", nil, 404},
		"OtherHost":       {core{table: table()}, "/read/a", func(r *http.Request) { r.Host = "else" }, 404},
		"BadKey":          {core{table: table()}, "/keyed/a", func(r *http.Request) { r.Header.Set("Key", "65536") }, 400},
		"BadTime":         {core{table: table()}, "/read/a", func(r *http.Request) { r.Header.Set("Left", "soon") }, 400},
		"NoTime":          {core{table: table()}, "/read/a", func(r *http.Request) { r.Header.Set("Left", "1") }, 503},
		"TooLarge":        {core{table: table()}, "/read/a", func(r *http.Request) { r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 1001))) }, 413},
		"Quarantined":     {core{table: table(), quarantined: true}, "/read/a", nil, 503},
		"NoRoom":          {core{table: table(), refusal: scheduler.QueueTooLong}, "/write/a", nil, 503},
		"NoOwner":         {core{table: table(), refusal: scheduler.NoOwner}, "/keyed/a", nil, 503},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.core.steps = []string{"ok"}
			resp := send(&c.core, http.MethodPost, c.path, c.change)
			if resp.Code != c.status || len(c.core.requests) != 0 {
				t.Errorf("status %d after %d requests to backend servers, want %d after none", resp.Code, len(c.core.requests), c.status)
			}
		})
	}
}

// TestRetriesBounded checks that a retry that is not within the bound is not sent.
func TestRetriesBounded(t *testing.T) {
	k := &core{table: table(), steps: []string{"shed", "ok"}}
	if resp := send(k, http.MethodPost, "/write/a", nil); resp.Code != 503 || len(k.requests) != 1 {
		t.Errorf("status %d after %d requests to backend servers, want 503 after 1", resp.Code, len(k.requests))
	}
}

// TestRetryRefusedAfterRun guards against a caller that is told that its request has not run although its first attempt
// may have: the retry after the broken connection is not within the bound.
func TestRetryRefusedAfterRun(t *testing.T) {
	k := &core{table: table(), steps: []string{"broken", "ok"}}
	if resp := send(k, http.MethodPost, "/read/a", nil); resp.Code != http.StatusBadGateway || len(k.requests) != 1 {
		t.Errorf("status %d after %d requests to backend servers, want 502 after 1", resp.Code, len(k.requests))
	}
}

// TestReplaced checks that a server is reported as replaced after the first answer from its address that names another
// server. Each further request to the address would count as a request to the other server's service.
func TestReplaced(t *testing.T) {
	k := &core{table: table(), steps: []string{"replaced"}, retries: true}
	if resp := send(k, http.MethodPost, "/keyed/a", nil); resp.Code != http.StatusServiceUnavailable || k.replaced != "other" {
		t.Errorf("status %d, replaced by %q; want 503 and \"other\"", resp.Code, k.replaced)
	}
	k = &core{table: table(), steps: []string{"misdirected"}, retries: true}
	if send(k, http.MethodPost, "/keyed/a", nil); k.replaced != "" {
		t.Errorf("server that does not own the key was reported as replaced by %q", k.replaced)
	}
}

// TestForwarded checks the request that a backend server gets and the headers of the answer to the caller.
func TestForwarded(t *testing.T) {
	k := &core{table: table(), steps: []string{"ok"}}
	resp := send(k, http.MethodPut, "/write/a%20b?c=d", nil)
	r := k.requests[0]
	if r.Method != http.MethodPut || r.Target != "/write/a%20b?c=d" || r.Host != "h" || string(r.Body) != "body" || r.ID != "id-1" {
		t.Errorf("backend server got request %+v", r)
	}
	h := r.Header
	if h.Get("Connection") != "" || h.Get("X-Hop") != "" || h.Get("X-End") != "2" || h.Get("Expect") != "s0" {
		t.Errorf("backend server got headers %v", h)
	}
	if left := h.Get("Left"); len(left) != 3 || left > "300" { // The route's time-out is shorter than the caller's time.
		t.Errorf("backend server got time left %q, want at most 300 ms", left)
	}
	// The backend server's Keep-Alive is for its own connections; the caller gets that of the instance.
	if resp.Header().Get("Keep-Alive") != "timeout=2" || resp.Header().Get("Content-Length") != "4" {
		t.Errorf("caller got headers %v", resp.Header())
	}
}

// TestCallerLeaves checks that a request ends when its caller leaves, and that its connection does not count as broken
// by the backend server.
func TestCallerLeaves(t *testing.T) {
	k := &core{table: table(), steps: []string{"silent"}}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	send(k, http.MethodPost, "/read/a", func(r *http.Request) { *r = *r.WithContext(ctx) })
	if len(k.steps) != 0 || k.broke != 0 {
		t.Errorf("%d exchanges left, want 0; %d connections counted as broken, want 0", len(k.steps), k.broke)
	}
}

// TestLeavingOfOthers guards against a copy of an earlier answer, or the answer of another server, from which it is taken that a
// server leaves or turns requests away.
func TestLeavingOfOthers(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		step   string
		notice registrar.Notice
	}{
		"Own":           {"ok", registrar.Notice{Leaving: true}},
		"OwnRefusal":    {"shed", registrar.Notice{Leaving: true}},
		"Unnamed":       {"shed-unnamed", registrar.Notice{}},
		"OtherServer":   {"replaced", registrar.Notice{}},
		"OtherSameName": {"misdirected", registrar.Notice{Leaving: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := logrus.New()
			log.SetOutput(io.Discard)
			k := &core{table: table(), steps: []string{c.step}}
			leaving := func(int, http.Header) (registrar.Notice, error) { return registrar.Notice{Leaving: true}, nil }
			r := httptest.NewRequest(http.MethodPost, "/write/a", nil)
			r.Host = "h"
			r.Header.Set("Id", "id-1")
			forwarder.New(names, leaving, k, rationer.New(1<<20), time.Now, logrus.NewEntry(log)).ServeHTTP(httptest.NewRecorder(), r)
			if k.notice != c.notice {
				t.Errorf("notice %+v recorded, want %+v", k.notice, c.notice)
			}
		})
	}
}
