// Package soaker runs the real program as separate processes on this machine, between
// stand-ins of the platform's store, of backend servers and of callers, and injects
// faults from outside: signals to the processes, links that are delayed, reset, cut one
// way or silent, a store and backend servers that misbehave, changes of configuration.
// The faults come in overlapping series from a seed. While it runs it checks what callers
// and backend servers see against what the system promises.
//
// Not covered: the links between instances, which speak to each other directly (a paused
// process is silent there), and the time of day, which a process cannot be given from
// outside.
package soaker

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/turmericlift/turmericlift/clocker"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/supervisor"
)

// Config describes a run.
type Config struct {
	Program   string        // The program, whose command entry runs an instance.
	Instances int           // Entry instances.
	Callers   int           // Of each instance.
	FaultTime time.Duration // In which faults strike.
	Folder    string        // For settings and logs of the processes.
}

// Result is what a run has found.
type Result struct {
	Seed       int64
	Asked      int // Requests of callers.
	Served     int
	Faults     int
	Violations []Violation
	Found      map[Check]int // How often each promise was broken.
	Folder     string        // With the logs.
}

const (
	// startTime is the time without faults at the start.
	startTime = 4 * time.Second
	// faultPause is the mean time between two faults of a fast series; a slow one, in which
	// promises with time bounds hold for longer, has slowPause times of it.
	faultPause = 600 * time.Millisecond
	slowPause  = 4
	// seriesShare is the share of the faults that are followed by the same one at once.
	seriesShare = 0.25
	// recoverPause is the time between two tries of a request when the faults are over.
	recoverPause = 250 * time.Millisecond
)

// Run plays the faults of one seed.
func Run(ctx context.Context, cfg Config, seed int64) (Result, error) {
	folder := filepath.Join(cfg.Folder, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return Result{}, fmt.Errorf("soak: %w", err)
	}
	ctx, stop := context.WithCancel(ctx)
	tasks := supervisor.New(ctx)
	now := time.Now()
	w, err := newWorld(ctx, now, cfg, seed, folder, tasks)
	result := Result{Seed: seed, Folder: folder}
	if err == nil {
		result.Faults, err = w.play(ctx, cfg, seed)
	}
	if w != nil {
		for _, e := range w.entries {
			e.stop(ctx, time.Now())
		}
		w.judge.mu.Lock()
		result.Asked, result.Served = w.judge.total, w.judge.served
		result.Violations, result.Found = w.judge.violations, w.judge.found
		w.judge.mu.Unlock()
	}
	stop()
	tasks.Close()
	return result, err
}

// play starts the instances and their callers, lets the faults strike and sees whether
// everything is served afterwards.
func (w *world) play(ctx context.Context, cfg Config, seed int64) (struck int, err error) {
	for _, e := range w.entries {
		if err := e.start(time.Now()); err != nil {
			return 0, err
		}
	}
	if !w.awaitServed(ctx, recoverTime+startTime) && ctx.Err() == nil {
		w.judge.violated(time.Now(), CheckRecovery, "not everything is served after the start")
		return 0, nil
	}
	callCtx, endCalls := context.WithCancel(ctx)
	defer endCalls()
	for n, e := range w.entries {
		for k := range cfg.Callers {
			c := newCaller(w, e, fmt.Sprintf("caller-%d-%d", n, k), seed*1000+int64(n*100+k))
			w.tasks.Go(func(context.Context) { c.run(callCtx) })
		}
		c := newCaller(w, e, fmt.Sprintf("prober-%d", n), seed)
		w.tasks.Go(func(context.Context) { c.probe(callCtx) })
	}
	clocker.Sleep(ctx, startTime)
	struck = w.strike(ctx, cfg.FaultTime, rand.New(rand.NewSource(seed)))
	if !w.awaitServed(ctx, recoverTime) && ctx.Err() == nil { // One that was stopped says nothing.
		w.judge.violated(time.Now(), CheckRecovery, "not everything is served %s after the last fault", recoverTime)
	}
	return struck, nil
}

// strike lets faults strike for a time and waits for their ends.
func (w *world) strike(ctx context.Context, d time.Duration, rng *rand.Rand) (struck int) {
	ended := make(chan struct{})
	open := 0
	last := faults[0]
	pause := float64(faultPause)
	if rng.Intn(2) == 0 {
		pause *= slowPause
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		if rng.Float64() >= seriesShare {
			last = one(rng, faults)
		}
		f, own := last, rand.New(rand.NewSource(rng.Int63()))
		w.tasks.Go(func(ctx context.Context) {
			f.strike(ctx, w, own)
			ended <- struct{}{}
		})
		struck++
		open++
		if !clocker.Sleep(ctx, time.Duration(rng.ExpFloat64()*pause)) {
			break
		}
		for _, e := range w.entries {
			w.reap(time.Now(), e)
		}
	}
	for ; open > 0; open-- {
		<-ended
	}
	return struck
}

// awaitServed waits until each instance serves each part of the keys and the pool.
func (w *world) awaitServed(ctx context.Context, most time.Duration) bool {
	end := time.Now().Add(most)
	for n, e := range w.entries {
		c := newCaller(w, e, fmt.Sprintf("last-%d-%d", n, time.Now().UnixNano()), int64(n))
		for part := range 17 {
			r := call{method: http.MethodGet, path: "/pooled/read/x", service: pooledService}
			if part > 0 {
				r.path, r.service, r.key = "/keyed/read/x", keyedService, identifier.Point(part*identifier.Points/17)
			}
			if !c.insist(ctx, r, end) {
				return false
			}
		}
		c.client.CloseIdleConnections()
	}
	return true
}

// insist sends a request again and again until it is served.
func (c *caller) insist(ctx context.Context, r call, end time.Time) bool {
	for time.Now().Before(end) {
		c.world.reap(time.Now(), c.entry)
		if err := c.entry.start(time.Now()); err != nil {
			return false
		}
		c.count++
		r.id = fmt.Sprintf("%s-%d", c.name, c.count)
		callCtx, cancel := context.WithTimeout(ctx, callerTime)
		status := c.send(callCtx, r)
		cancel()
		if status == http.StatusOK {
			return true
		}
		if !clocker.Sleep(ctx, recoverPause) {
			return false
		}
	}
	return false
}
