package main

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const clientDeadline = 2500 * time.Millisecond

const (
	// busyKeys is the number of neighbouring keys that get busyShare of the requests.
	busyKeys  = 200
	busyShare = 0.35
	// firstBusyKey is the lowest of them.
	firstBusyKey = 30000
)

// runClients sends requests to all instances until the world ends, reads and writes in turn, each over a new connection.
// Some neighbouring keys are far busier than the others.
func (w *world) runClients(interval time.Duration) {
	rng := rand.New(rand.NewSource(1))
	for n := 0; ; n++ {
		select {
		case <-w.stop:
			return
		case <-time.After(interval):
		}
		e := w.entries[rng.Intn(len(w.entries))]
		for tries := 0; tries < 10 && !e.inRotation(); tries++ {
			e = w.entries[rng.Intn(len(w.entries))]
		}
		key := rng.Intn(keyCount)
		if rng.Float64() < busyShare {
			key = firstBusyKey + rng.Intn(busyKeys)
		}
		id, method, path := fmt.Sprintf("%08x%08x", n, rng.Uint32()), http.MethodGet, "/log/x"
		switch n % 4 {
		case 2:
			method, path = http.MethodPost, "/supply/x"
		case 1, 3:
			method, path = http.MethodPut, "/repair/x"
		}
		w.goRun(func() { w.send(e, method, path, id, key) })
	}
}

// send sends one request and records its answer.
func (w *world) send(e *entry, method, path, id string, key int) {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	var body io.Reader
	if method != http.MethodGet {
		body = strings.NewReader("order " + id)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, body)
	if err != nil {
		panic(err) // All parts are built by this program.
	}
	r.Host = host
	r.Header.Set(headerID, id)
	r.Header.Set(headerDeadline, strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	r.Header.Set(headerKey, strconv.Itoa(key))
	w.rec.line("client: sends %s %s %s, key %d, to %s", method, path, id, key, e.name)
	sentAt := time.Now()
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		w.rec.line("client: %s has no answer: %v", id, err)
		w.checkLost(e, id, sentAt, 0, "")
		return
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	w.rec.line("client: %s is answered %d, seal %q, Retry-After %q, whole %t", id, resp.StatusCode, resp.Header.Get(headerSeal), resp.Header.Get("Retry-After"), err == nil)
	w.checkLost(e, id, sentAt, resp.StatusCode, resp.Header.Get(headerSeal))
	if resp.StatusCode == http.StatusOK && err == nil && string(data) != "done "+id {
		w.violate("MIXED: %s got the body %q", id, data)
	}
	if method != http.MethodGet && (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests) && w.rec.runCount(id) > 0 {
		w.violate("REFUSED: %s was answered %d and has run", id, resp.StatusCode)
	}
}

// shortestTimeout is the lowest timeout_s of the routes, less a margin: what ends sooner has not reached its timeout.
const shortestTimeout = time.Second - 100*time.Millisecond

// checkLost checks the rule LOST for a request that has just ended, without an answer if its status is 0. It was lost if
// its instance was being stopped, an upstream had begun to work on it, and the instance broke it off or gave an answer
// of its own before the timeout.
func (w *world) checkLost(e *entry, id string, sentAt time.Time, status int, seal string) {
	now := time.Now()
	if e.isLeaving(now) && seal == "" && w.rec.runCount(id) > 0 && now.Sub(sentAt) < shortestTimeout {
		w.violate("LOST: %s was at work at an upstream and ended after %d ms with status %d from %s, which is being stopped", id, now.Sub(sentAt).Milliseconds(), status, e.name)
	}
}

// watchReadiness checks each second which instances are ready, until the world ends.
func (w *world) watchReadiness() {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(time.Second):
		}
		for _, e := range w.entries {
			e.checkReady()
		}
	}
}

// checkRuns checks the rule TWICE. The numbers of reads can be divided by 4.
func (w *world) checkRuns() {
	w.rec.mu.Lock()
	var twice []string
	for id, n := range w.rec.runs {
		if number, err := strconv.ParseUint(id[:8], 16, 32); err == nil && number%4 != 0 && n > 1 {
			twice = append(twice, id)
		}
	}
	w.rec.mu.Unlock()
	for _, id := range twice {
		w.violate("TWICE: the write %s ran more than once", id)
	}
}
