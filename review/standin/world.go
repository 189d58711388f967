package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

var zones = []string{"jyl-nord", "jyl-midt", "jyl-syd"}

// maxBodyBytes is the limit max_body_bytes of the platform's example of a configuration.
const maxBodyBytes = 64 << 20

const (
	host        = "hut.example"
	shardedName = "hyttebog"
	pooledName  = "reparation"
	// doubleHoldBound is from the rule OWNER: two upstreams must not hold the same keys for longer.
	doubleHoldBound = 500 * time.Millisecond
)

// world is a small deployment: a store, upstreams of a sharded and of another service, and instances in three zones.
type world struct {
	rec       *recorder
	folder    string
	store     *store
	upstreams []*upstream
	entries   []*entry
	servers   []*http.Server
	stop      chan struct{}
	stopOnce  sync.Once
	wait      sync.WaitGroup

	mu         sync.Mutex
	violations []string
}

// newWorld starts a store, and the upstreams and instances of a case, and waits until the upstreams hold all keys.
func newWorld(rec *recorder, p play) (*world, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, folder: folder, store: newStore(rec), stop: make(chan struct{})}
	var ips []string
	for n := range p.instances {
		ips = append(ips, fmt.Sprintf("127.41.%d.10", n+1))
	}
	const upstreamIP, storeIP = "127.42.0.1", "127.43.0.1"
	ports, err := freePorts(6+max(p.upstreams+p.pooled, p.instances), append(append([]string{}, ips...), upstreamIP, storeIP))
	if err != nil {
		return w, err
	}
	w.writeConfig(1)
	go w.store.expire(w.stop)
	for n := range p.upstreams + p.pooled {
		u := &upstream{id: fmt.Sprintf("i-%04x", 0x3a10+n*0x111), service: shardedName, sharded: true, zone: zones[n%len(zones)], work: p.work, longWork: p.longWork,
			address: fmt.Sprintf("%s:%d", upstreamIP, ports[6+n]), store: w.store, rec: rec, violate: w.violate}
		if n >= p.upstreams {
			u.service, u.sharded = pooledName, false
		}
		w.upstreams = append(w.upstreams, u)
		if err := u.start(0); err != nil {
			return w, err
		}
	}
	var seeds []string
	for _, ip := range ips {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, ports[4]))
	}
	for n, ip := range ips {
		e := &entry{name: fmt.Sprintf("edge-%s-%d", zones[n%len(zones)], n/len(zones)+1), zone: zones[n%len(zones)], ip: ip, rec: rec,
			front: fmt.Sprintf("%s:%d", ip, ports[2]), ready: fmt.Sprintf("%s:%d", ip, ports[3]), control: seeds[n],
			storeAddress: fmt.Sprintf("%s:%d", storeIP, ports[6+n])}
		server := &http.Server{Addr: e.storeAddress, Handler: w.store.handler(e.name), ReadHeaderTimeout: 10 * time.Second}
		w.servers = append(w.servers, server)
		go func() { _ = server.ListenAndServe() }()
		if err := e.writeSettings(folder, ports[0], ports[1], seeds[:min(len(seeds), 3)]); err != nil {
			return w, err
		}
		if err := e.start(); err != nil {
			return w, err
		}
		w.entries = append(w.entries, e)
	}
	return w, w.awaitServed()
}

// writeConfig writes a version of the configuration: reads may be repeated, writes may not.
func (w *world) writeConfig(version int) {
	w.store.put("config", "main", map[string]any{
		"version": version,
		"routes": map[string]any{
			"columns": []string{"name", "host", "path_prefix", "kind", "timeout_s", "target_latency_s", "priority", "traffic_split", "max_attempts", "service"},
			"rows": [][]any{
				{"reads", host, "/log/", "safe", 1, 0.5, 2, nil, 2, shardedName},
				{"writes", host, "/supply/", "unsafe", 1.2, 0.6, 1, nil, 2, shardedName},
				{"repairs", host, "/repair/", "unsafe", 1, 0.3, 0, nil, 2, pooledName},
			},
		},
		"services": map[string]any{
			"columns": []string{"name", "health_path", "max_conns", "cold_s", "cold_per_s", "sharded", "warmup_s"},
			"rows": [][]any{
				{shardedName, "/health", 110, coldTime.Seconds(), coldRate, true, 3},
				{pooledName, "/health", 110, coldTime.Seconds(), coldRate, false, 3},
			},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
	w.rec.line("operator: configuration %d written", version)
}

// awaitServed waits until all instances are ready and the upstreams hold all keys.
func (w *world) awaitServed() error {
	for range 200 {
		time.Sleep(100 * time.Millisecond)
		ready, held := 0, 0
		for _, e := range w.entries {
			if e.isReady() {
				ready++
			}
		}
		for _, u := range w.upstreams {
			held += u.heldKeys(time.Now())
		}
		if ready == len(w.entries) && held == keyCount {
			w.rec.line("all instances are ready and all keys are held")
			return nil
		}
	}
	return fmt.Errorf("the instances are not ready or the keys are not held after 20 s")
}

// overlap identifies keys that two upstreams hold at the same time.
type overlap struct {
	first, second string
	from, to      int
}

// watchOwners checks the rule OWNER every 10 ms until the world is closed.
func (w *world) watchOwners() {
	since := map[overlap]time.Time{}
	reported := map[overlap]bool{}
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		now := time.Now()
		present := w.overlaps(now)
		for o := range since {
			if !present[o] {
				w.rec.line("keys %d-%d are not held by both %s and %s any more, after %d ms", o.from, o.to, o.first, o.second, now.Sub(since[o]).Milliseconds())
				delete(since, o)
				delete(reported, o)
			}
		}
		for o := range present {
			at, known := since[o]
			if !known {
				since[o] = now
				w.rec.line("keys %d-%d are held by both %s and %s", o.from, o.to, o.first, o.second)
			} else if now.Sub(at) > doubleHoldBound && !reported[o] {
				reported[o] = true
				w.violate("OWNER: keys %d-%d have been held by both %s and %s for over %s", o.from, o.to, o.first, o.second, doubleHoldBound)
			}
		}
	}
}

// overlaps returns the keys that two upstreams hold now.
func (w *world) overlaps(now time.Time) map[overlap]bool {
	present := map[overlap]bool{}
	holds := make([][]hold, len(w.upstreams))
	for n, u := range w.upstreams {
		holds[n] = u.inForce(now)
	}
	for a := range holds {
		for b := a + 1; b < len(holds); b++ {
			for _, x := range holds[a] {
				for _, y := range holds[b] {
					if from, to := max(x.from, y.from), min(x.to, y.to); from <= to {
						present[overlap{w.upstreams[a].id, w.upstreams[b].id, from, to}] = true
					}
				}
			}
		}
	}
	return present
}

// violate records that a rule was broken.
func (w *world) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.rec.line("RULE BROKEN: %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, text)
}

// goRun runs fn in a goroutine for which close waits.
func (w *world) goRun(fn func()) {
	w.wait.Add(1)
	go func() {
		defer w.wait.Done()
		fn()
	}()
}

// end stops the clients and the checks.
func (w *world) end() {
	w.stopOnce.Do(func() { close(w.stop) })
	w.wait.Wait()
}

// close ends everything that the world has started.
func (w *world) close() {
	w.end()
	for _, e := range w.entries {
		e.stop()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	for _, u := range w.upstreams {
		u.crash()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		w.rec.line("logs are kept in %s", w.folder)
	}
}

// busiest returns the upstream of the sharded service that holds the busy keys.
func (w *world) busiest() *upstream {
	now := time.Now()
	for _, u := range w.upstreams {
		for _, h := range u.inForce(now) {
			if h.from <= firstBusyKey && firstBusyKey <= h.to {
				return u
			}
		}
	}
	return w.upstreams[0]
}
