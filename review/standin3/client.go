package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// host is the host of all routes.
const host = "ficu95.example"

// writeConfig writes the configuration, as the operator does.
func (w *world) writeConfig(version int) {
	w.store.put("config", "main", map[string]any{
		"version": version,
		"routes": map[string]any{
			"columns": []string{"name", "host", "path_prefix", "kind", "timeout_s", "target_latency_s", "priority", "service", "max_attempts"},
			"rows": [][]any{
				{"log-lookup", host, "/lohu930/", "safe", 2.5, 0.5, 2, "hyttebog", 2},
				{"supply-request", host, "/pufi791/", "unsafe", 3.0, 0.6, 1, "hyttebog", 2},
			},
		},
		"services": map[string]any{
			"columns": []string{"name", "health_path", "max_conns", "cold_s", "cold_per_s", "sharded", "warmup_s"},
			"rows":    [][]any{{"hyttebog", "/health", 110, 3, 11, true, 3}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 5, "idle_timeout_s": 10},
	})
	w.log("operator", "config/main", fmt.Sprintf("version %d", version))
}

// traffic sends requests at a rate until ctx ends, and waits for their answers.
func (w *world) traffic(ctx context.Context, all []*instance, perSecond float64) {
	client := &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 100, IdleConnTimeout: 1500 * time.Millisecond, DisableCompression: true,
	}}
	var wg sync.WaitGroup
	next := time.Now()
	for ctx.Err() == nil {
		w.mu.Lock()
		w.sent++
		n := w.sent
		gap := -math.Log(1-w.rng.Float64()) / perSecond
		key := w.rng.Intn(keyCount)
		unsafe := w.rng.Float64() < 0.28
		w.mu.Unlock()
		next = next.Add(time.Duration(gap * float64(time.Second)))
		time.Sleep(time.Until(next))
		to := all[n%len(all)]
		if !to.isRunning() {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.send(client, to, fmt.Sprintf("%08d", n), key, unsafe)
		}()
	}
	wg.Wait()
}

// send sends a request and checks the answer.
func (w *world) send(client *http.Client, to *instance, number string, key int, unsafe bool) {
	id, method, path, deadline := "s"+number, http.MethodGet, "/lohu930/2f", 2000
	if unsafe {
		id, method, path, deadline = "u"+number, http.MethodPost, "/pufi791/2f", 2500
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(deadline)*time.Millisecond)
	defer cancel()
	var body io.Reader
	if unsafe {
		body = strings.NewReader("restock of " + id)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+to.front+path, body)
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set(headerID, id)
	r.Header.Set(headerDeadline, fmt.Sprint(deadline))
	r.Header.Set(headerKey, fmt.Sprint(key))
	w.log("send", to.name, fmt.Sprintf("request %s on key %d", id, key))
	resp, err := client.Do(r)
	if err != nil {
		w.count("no answer")
		w.log("answer", to.name, fmt.Sprintf("request %s: %v", id, err))
		return
	}
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	w.count(fmt.Sprint(resp.StatusCode))
	w.log("answer", to.name, fmt.Sprintf("request %s: %d, %d bytes, error %v", id, resp.StatusCode, len(text), err))
	if seal := resp.Header.Get(headerSeal); resp.StatusCode/100 == 2 && err == nil {
		by := strings.Split(seal+"..", ".")[1] // The upstream that has sealed the answer.
		if whole := wholeBody(by, id); string(text) != whole || seal != "seal."+by+"."+id {
			w.fail("MIXED", fmt.Sprintf("request %s gets a success, status %d with the seal %q and the body %q; the upstream's whole body is %q", id, resp.StatusCode, seal, text, whole))
		}
	}
}

// count counts an answer.
func (w *world) count(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers[what]++
}
