package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/turmericlift/turmericlift/clocker"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/platform"
	"github.com/turmericlift/turmericlift/platform/impersonator"
)

const (
	// callerTime is how long callers wait.
	callerTime = 1500 * time.Millisecond
	// callerPause is the mean time between two requests of a caller.
	callerPause = 25 * time.Millisecond
	// probeEvery is the time between two looks at the configuration of an instance.
	probeEvery = 200 * time.Millisecond
	// givesUpShare is the share of the requests whose caller leaves early.
	givesUpShare = 0.02
	// hotShare is the share of the keyed requests that are for a few keys side by side.
	hotShare = 0.3
	hotKeys  = 4
)

// caller sends requests over connections that it keeps to one instance until that is gone.
type caller struct {
	world  *world
	entry  *entry
	rng    *rand.Rand
	client *http.Client
	name   string
	count  int
}

func newCaller(w *world, e *entry, name string, seed int64) *caller {
	return &caller{
		world: w, entry: e, name: name, rng: rand.New(rand.NewSource(seed)),
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}},
	}
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for clocker.Sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(callerPause))) {
		r := c.next()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callerTime)
		if c.rng.Float64() < givesUpShare {
			ctx, cancel = context.WithTimeout(ctx, leastWork)
		}
		c.send(ctx, r)
		cancel()
	}
}

// call is one request of a caller.
type call struct {
	id, method, path string
	service          identifier.Service
	key              identifier.Point
	unsafe           bool
}

func (c *caller) next() call {
	c.count++
	r := call{id: fmt.Sprintf("%s-%d", c.name, c.count), method: http.MethodGet, service: pooledService, path: "/pooled/"}
	if c.rng.Intn(4) > 0 {
		r.service, r.path = keyedService, "/keyed/"
		r.key = identifier.Point(c.rng.Intn(identifier.Points))
		if c.rng.Float64() < hotShare {
			r.key = identifier.Point(9000 + c.rng.Intn(hotKeys))
		}
	}
	r.unsafe = c.rng.Intn(2) == 0
	if r.unsafe {
		r.method, r.path = http.MethodPost, r.path+"write/x"
	} else {
		r.path += "read/x"
	}
	return r
}

// send sends a request and has its answer judged.
func (c *caller) send(ctx context.Context, r call) int {
	var written atomic.Bool
	trace := &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) { written.Store(i.Err == nil) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.method, "http://"+c.entry.settings.Front+r.path, strings.NewReader("body"))
	if err != nil {
		panic(err) // The request is the soak's own.
	}
	req.Host = host
	req.Header.Set(platform.HeaderRequestID, r.id)
	req.Header.Set(platform.HeaderTimeLeft, fmt.Sprint(callerTime.Milliseconds()))
	if r.service == keyedService {
		req.Header.Set(platform.HeaderKey, fmt.Sprint(r.key))
	}
	c.world.judge.sent(time.Now(), r.id, r.service, r.unsafe)
	resp, err := c.client.Do(req)
	if err != nil {
		c.unanswered(ctx, r, written.Load(), err)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.unanswered(ctx, r, true, err)
		return 0
	}
	c.judge(time.Now(), r, resp, string(body))
	return resp.StatusCode
}

// unanswered checks a request whose connection ended without an answer: a graceful shutdown
// must not end one that went on to a backend server.
func (c *caller) unanswered(ctx context.Context, r call, written bool, err error) {
	now := time.Now()
	c.world.judge.answered(now, r.id, 0)
	at, terminated := c.entry.terminated()
	if ctx.Err() != nil || !written || !terminated || now.Sub(at) > bounds.GraceTime-cutSlack || !c.world.judge.reached(r.id) {
		return
	}
	if c.entry.calmBefore(at) {
		c.world.judge.violated(now, CheckCut, "request %s to %s ends %s after SIGTERM: %v", r.id, c.entry.settings.Instance, now.Sub(at), err)
	}
}

// judge checks an answer.
func (c *caller) judge(now time.Time, r call, resp *http.Response, body string) {
	j := c.world.judge
	j.answered(now, r.id, resp.StatusCode)
	seal := resp.Header.Get(platform.HeaderSeal)
	switch {
	case resp.StatusCode == http.StatusOK:
		server := identifier.BackendServer(strings.TrimPrefix(seal, impersonator.Seal("")))
		sent := ""
		if r.method != "" {
			sent = "body"
		}
		if want := impersonator.Body(server, impersonator.Request{Method: r.method, Path: r.path, Body: []byte(sent)}); seal == "" || body != want {
			j.violated(now, CheckMixed, "request %s gets %q with seal %q, want %q", r.id, body, seal, want)
		}
		if id := resp.Header.Get(platform.HeaderRequestID); id != r.id {
			j.violated(now, CheckMixed, "request %s gets the answer to %s", r.id, id)
		}
	case resp.StatusCode < http.StatusInternalServerError && !promisesNotRun(resp.StatusCode):
		j.violated(now, CheckDenied, "request %s is answered %d: %s", r.id, resp.StatusCode, body)
	case promisesNotRun(resp.StatusCode) && resp.Header.Get("Retry-After") == "":
		j.violated(now, CheckDenied, "request %s is answered %d without a time to come back", r.id, resp.StatusCode)
	}
}

// probe looks at which configuration an instance goes by, until ctx ends.
func (c *caller) probe(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for clocker.Sleep(ctx, probeEvery) {
		w := c.world
		w.mu.Lock()
		version, at := w.configVersion, w.configAt
		w.mu.Unlock()
		asked := time.Now()
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callerTime)
		newer, ok := c.has(callCtx, version)
		older, ok2 := c.has(callCtx, version-1)
		cancel()
		w.mu.Lock()
		changed := w.configVersion != version
		w.mu.Unlock()
		if ok && ok2 && !changed {
			w.checkSettings(asked, c.entry, version, at, newer, older)
		}
	}
}

// has reports whether an instance has the route of a version; ok is false if it does not
// say.
func (c *caller) has(ctx context.Context, version uint64) (found, ok bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.entry.settings.Front+trial(version), http.NoBody)
	if err != nil {
		panic(err) // The request is the soak's own.
	}
	c.count++
	req.Host = host
	id := fmt.Sprintf("%s-%d", c.name, c.count)
	req.Header.Set(platform.HeaderRequestID, id)
	c.world.judge.sent(time.Now(), id, pooledService, false)
	resp, err := c.client.Do(req)
	if err != nil {
		return false, false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK, resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusNotFound
}

// checkSettings checks what an instance has shown of its configuration.
func (w *world) checkSettings(asked time.Time, e *entry, version uint64, at time.Time, newer, older bool) {
	e.mu.Lock()
	starts := e.starts
	e.mu.Unlock()
	w.mu.Lock()
	seen := w.seen[e]
	if seen.starts != starts {
		seen = observed{starts: starts}
	}
	shown := uint64(0)
	switch {
	case newer:
		shown = version
	case older:
		shown = version - 1
	}
	before := seen.version
	seen.version = max(seen.version, shown)
	w.seen[e] = seen
	w.mu.Unlock()
	now := time.Now()
	if shown != 0 && shown < before {
		w.judge.violated(now, CheckSettings, "%s goes by configuration %d after it went by %d", e.settings.Instance, shown, before)
	}
	if !newer && asked.Sub(at) > applyTime && e.inTouch(now) && w.storeStable(at) && w.storeStable(now) {
		w.judge.violated(now, CheckSettings, "%s does not have configuration %d %s after it was taken in", e.settings.Instance, version, asked.Sub(at))
	}
}
