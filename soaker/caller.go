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
	// callerTimeout is how long callers wait for an answer.
	callerTimeout = 1500 * time.Millisecond
	// meanRequestInterval is the mean time between two requests of a caller.
	meanRequestInterval = 25 * time.Millisecond
	// probeInterval is the time between two probes of an instance's configuration.
	probeInterval = 200 * time.Millisecond
	// earlyCancelShare is the share of the requests that their caller cancels early.
	earlyCancelShare = 0.02
	// hotKeyShare is the share of the keyed requests that are for a few adjacent keys, of
	// which there are hotKeyCount.
	hotKeyShare = 0.3
	hotKeyCount = 4
)

// caller simulates a client that sends requests to one instance over a connection that it
// keeps open between requests.
type caller struct {
	env      *environment
	instance *instance
	rng      *rand.Rand
	client   *http.Client
	name     string
	count    int // Number of requests so far; the number is part of each request's ID.
}

func newCaller(env *environment, inst *instance, name string, seed int64) *caller {
	return &caller{
		env: env, instance: inst, name: name, rng: rand.New(rand.NewSource(seed)),
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}},
	}
}

// run sends random requests, one after the other, until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for clocker.Sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(meanRequestInterval))) {
		r := c.nextRequest()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callerTimeout)
		if c.rng.Float64() < earlyCancelShare {
			ctx, cancel = context.WithTimeout(ctx, minServiceTime)
		}
		c.send(ctx, r)
		cancel()
	}
}

// request is one request of a caller.
type request struct {
	id, method, path string
	service          identifier.Service
	key              identifier.ShardKey
	nonIdempotent    bool
}

// nextRequest returns a random request with a new ID.
func (c *caller) nextRequest() request {
	c.count++
	r := request{id: fmt.Sprintf("%s-%d", c.name, c.count), method: http.MethodGet, service: pooledService, path: "/pooled/"}
	if c.rng.Intn(4) > 0 {
		r.service, r.path = keyedService, "/keyed/"
		r.key = identifier.ShardKey(c.rng.Intn(identifier.ShardKeyCount))
		if c.rng.Float64() < hotKeyShare {
			r.key = identifier.ShardKey(9000 + c.rng.Intn(hotKeyCount))
		}
	}
	r.nonIdempotent = c.rng.Intn(2) == 0
	if r.nonIdempotent {
		r.method, r.path = http.MethodPost, r.path+"write/x"
	} else {
		r.path += "read/x"
	}
	return r
}

// send sends a request and checks its answer. It returns the answer's status, or 0 if
// there was no complete answer.
func (c *caller) send(ctx context.Context, r request) int {
	var written atomic.Bool
	trace := &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) { written.Store(i.Err == nil) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.method, "http://"+c.instance.settings.FrontAddress+r.path, strings.NewReader("body"))
	if err != nil {
		panic(err) // The method and the URL are always valid.
	}
	req.Host = host
	req.Header.Set(platform.HeaderRequestID, r.id)
	req.Header.Set(platform.HeaderTimeLeft, fmt.Sprint(callerTimeout.Milliseconds()))
	if r.service == keyedService {
		req.Header.Set(platform.HeaderKey, fmt.Sprint(r.key))
	}
	c.env.checker.addRequest(time.Now(), r.id, r.service, r.nonIdempotent)
	resp, err := c.client.Do(req)
	if err != nil {
		c.checkUnanswered(ctx, r, written.Load(), err)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.checkUnanswered(ctx, r, true, err)
		return 0
	}
	c.checkAnswer(time.Now(), r, resp, string(body))
	return resp.StatusCode
}

// checkUnanswered checks a request that failed with err without a complete answer. It is
// a violation if the request had reached a backend server and the instance broke it off
// during a graceful shutdown.
func (c *caller) checkUnanswered(ctx context.Context, r request, written bool, err error) {
	now := time.Now()
	c.env.checker.addAnswer(now, r.id, 0)
	at, terminated := c.instance.sigtermTime()
	if ctx.Err() != nil || !written || !terminated || now.Sub(at) > bounds.GraceTime-shutdownMargin || !c.env.checker.reachedServer(r.id) {
		return
	}
	if c.instance.undisturbedBefore(at) {
		c.env.checker.recordViolation(now, CheckGracefulShutdown, "request %s to instance %s was broken off %s after SIGTERM: %v", r.id, c.instance.settings.Instance, now.Sub(at), err)
	}
}

// checkAnswer checks a complete answer: one with status 200 must carry the seal and the
// body of the server that ran the request and the ID of the request; no request may be
// rejected as invalid; and one that was not executed must get a Retry-After header.
func (c *caller) checkAnswer(now time.Time, r request, resp *http.Response, body string) {
	checker := c.env.checker
	checker.addAnswer(now, r.id, resp.StatusCode)
	seal := resp.Header.Get(platform.HeaderSeal)
	switch {
	case resp.StatusCode == http.StatusOK:
		server := identifier.BackendServer(strings.TrimPrefix(seal, impersonator.AnswerSeal("")))
		sentBody := ""
		if r.method != "" {
			sentBody = "body"
		}
		if want := impersonator.AnswerBody(server, impersonator.Request{Method: r.method, Path: r.path, Body: []byte(sentBody)}); seal == "" || body != want {
			checker.recordViolation(now, CheckIntegrity, "request %s got the body %q with seal %q; want the body %q", r.id, body, seal, want)
		}
		if id := resp.Header.Get(platform.HeaderRequestID); id != r.id {
			checker.recordViolation(now, CheckIntegrity, "request %s got the answer to request %s", r.id, id)
		}
	case resp.StatusCode < http.StatusInternalServerError && !reportsNotExecuted(resp.StatusCode):
		checker.recordViolation(now, CheckDenied, "valid request %s was rejected with status %d: %s", r.id, resp.StatusCode, body)
	case reportsNotExecuted(resp.StatusCode) && resp.Header.Get("Retry-After") == "":
		checker.recordViolation(now, CheckDenied, "request %s was answered with status %d but without a Retry-After header", r.id, resp.StatusCode)
	}
}

// probeConfig regularly probes which configuration an instance applies, until ctx ends.
func (c *caller) probeConfig(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for clocker.Sleep(ctx, probeInterval) {
		env := c.env
		env.mu.Lock()
		version, writtenAt := env.configVersion, env.configWrittenAt
		env.mu.Unlock()
		requestedAt := time.Now()
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callerTimeout)
		current, ok := c.appliesConfig(callCtx, version)
		previous, ok2 := c.appliesConfig(callCtx, version-1)
		cancel()
		env.mu.Lock()
		changed := env.configVersion != version
		env.mu.Unlock()
		if ok && ok2 && !changed {
			env.checkConfig(requestedAt, c.instance, version, writtenAt, current, previous)
		}
	}
}

// appliesConfig reports whether an instance has the trial route of a version of the
// configuration; ok is false if its answer does not show that.
func (c *caller) appliesConfig(ctx context.Context, version uint64) (found, ok bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.instance.settings.FrontAddress+trialPath(version), http.NoBody)
	if err != nil {
		panic(err) // The method and the URL are always valid.
	}
	c.count++
	req.Host = host
	id := fmt.Sprintf("%s-%d", c.name, c.count)
	req.Header.Set(platform.HeaderRequestID, id)
	c.env.checker.addRequest(time.Now(), id, pooledService, false)
	resp, err := c.client.Do(req)
	if err != nil {
		return false, false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK, resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusNotFound
}

// checkConfig checks which configuration an instance applied when it was probed at
// requestedAt: current and previous say whether it had the trial routes of version, which
// was written at writtenAt, and of the version before. A process must not go back to an
// older version, and must apply a new one within configApplyTime.
func (env *environment) checkConfig(requestedAt time.Time, inst *instance, version uint64, writtenAt time.Time, current, previous bool) {
	inst.mu.Lock()
	starts := inst.starts
	inst.mu.Unlock()
	env.mu.Lock()
	observed := env.observedConfigs[inst]
	if observed.starts != starts {
		observed = observedConfig{starts: starts}
	}
	applied := uint64(0)
	switch {
	case current:
		applied = version
	case previous:
		applied = version - 1
	}
	newest := observed.version
	observed.version = max(observed.version, applied)
	env.observedConfigs[inst] = observed
	env.mu.Unlock()
	now := time.Now()
	if applied != 0 && applied < newest {
		env.checker.recordViolation(now, CheckConfig, "instance %s applies configuration %d although it applied configuration %d before",
			inst.settings.Instance, applied, newest)
	}
	if !current && requestedAt.Sub(writtenAt) > configApplyTime && inst.undisturbed(now) && env.storeStable(writtenAt) && env.storeStable(now) {
		env.checker.recordViolation(now, CheckConfig, "instance %s does not apply configuration %d %s after it was written to the store",
			inst.settings.Instance, version, requestedAt.Sub(writtenAt))
	}
}
