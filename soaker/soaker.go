// Package soaker runs a soak test with fault injection: it starts the real program as
// separate processes on this machine, connects them to simulators of the platform's
// store, of backend servers and of callers, and injects faults from outside. Faults are
// signals to the processes; links that are delayed, reset, blocked in one direction or
// unresponsive; misbehaviour of the store and of backend servers; and changes of the
// configuration. They overlap, and their order is derived from a seed. During the run
// the package checks what callers and backend servers observe against the invariants of
// the system.
//
// Start reading in this file, at Run. The simulators are set up in world.go, the
// faults are listed in fault.go, and the invariants in judge.go. The other files hold
// the processes under test (process.go), the simulated backend servers (backend.go) and
// callers (caller.go), and the proxies that disturb connections (link.go).
//
// Two things are not covered. Connections between instances are direct, so they get no
// faults of their own, but a paused process is unresponsive on them too. The wall clock
// is not changed, because it cannot be set for one process from outside.
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
	Program            string        // Path of the program under test; its command "entry" runs an instance.
	Instances          int           // Number of instances.
	CallersPerInstance int           // Number of callers for each instance.
	FaultTime          time.Duration // How long faults are injected.
	RestartCutOff      bool          // Keyed backend servers start again while they are cut off from the store.
	Restores           bool          // The store comes back from copies.
	Folder             string        // Directory in which each run creates a folder for the processes' settings and logs.
}

// Result is the outcome of a run.
type Result struct {
	Seed            int64
	Requests        int           // Number of requests that callers sent.
	Served          int           // Number of requests that were answered with status 200.
	Faults          int           // Number of faults that were injected.
	Violations      []Violation   // The first violations of each invariant.
	ViolationCounts map[Check]int // Number of violations of each invariant, including those that Violations omits.
	Folder          string        // Directory with the settings and logs of this run's processes.
}

const (
	// startupTime is the time without faults at the start of a run.
	startupTime = 4 * time.Second
	// meanFaultInterval is the mean time between two faults of a fast run. In a slow run it is
	// multiplied by slowRunFactor, so that invariants with time bounds apply for longer.
	meanFaultInterval = 600 * time.Millisecond
	slowRunFactor     = 4
	// repeatFaultShare is the share of the faults that are of the same type as the fault before.
	repeatFaultShare = 0.25
	// recoveryRetryInterval is the time between two tries of a request in awaitAllServed.
	recoveryRetryInterval = 250 * time.Millisecond
)

// Run runs the program under the faults that are derived from seed and returns what was
// found. It blocks until the run is complete or ctx ends, and ends all processes that it
// started. An error means that the run could not be set up or a process could not be
// started; violated invariants are not errors.
func Run(ctx context.Context, cfg Config, seed int64) (Result, error) {
	folder := filepath.Join(cfg.Folder, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return Result{}, fmt.Errorf("create the folder of a soak run: %w", err)
	}
	ctx, stop := context.WithCancel(ctx)
	tasks := supervisor.New(ctx)
	now := time.Now()
	env, err := newEnvironment(ctx, now, cfg, seed, folder, tasks)
	result := Result{Seed: seed, Folder: folder}
	if err == nil {
		result.Faults, err = env.runSeed(ctx, cfg, seed)
	}
	if env != nil {
		for _, inst := range env.instances {
			inst.stop(ctx, time.Now())
		}
		env.checker.mu.Lock()
		result.Requests, result.Served = env.checker.requests, env.checker.served
		result.Violations, result.ViolationCounts = env.checker.violations, env.checker.violationCounts
		env.checker.mu.Unlock()
	}
	stop()
	tasks.Close()
	return result, err
}

// runSeed starts the instances and their callers, injects faults and checks that every
// request is served again afterwards. It returns the number of injected faults.
func (env *environment) runSeed(ctx context.Context, cfg Config, seed int64) (injected int, err error) {
	if cfg.Restores {
		env.objects.StateEras()
	}
	for _, inst := range env.instances {
		if err := inst.start(time.Now()); err != nil {
			return 0, err
		}
	}
	if !env.awaitAllServed(ctx, recoveryTime+startupTime) && ctx.Err() == nil {
		env.checker.recordViolation(time.Now(), CheckRecovery, "some requests are still not served after the start; the run ends without faults")
		return 0, nil
	}
	callCtx, endCalls := context.WithCancel(ctx)
	defer endCalls()
	for n, inst := range env.instances {
		for k := range cfg.CallersPerInstance {
			c := newCaller(env, inst, fmt.Sprintf("caller-%d-%d", n, k), seed*1000+int64(n*100+k))
			env.tasks.Go(func(context.Context) { c.run(callCtx) })
		}
		c := newCaller(env, inst, fmt.Sprintf("prober-%d", n), seed)
		env.tasks.Go(func(context.Context) { c.probeConfig(callCtx) })
	}
	clocker.Sleep(ctx, startupTime)
	rejectCtx, endRejecting := context.WithCancel(ctx)
	env.tasks.Go(func(context.Context) { env.rejectRequests(rejectCtx, rand.New(rand.NewSource(-seed))) })
	env.tasks.Go(func(context.Context) {
		env.spoilEntries(rejectCtx, rand.New(rand.NewSource(seed<<1)), cfg.RestartCutOff)
	})
	if cfg.Restores {
		env.tasks.Go(func(context.Context) { env.restoreStore(rejectCtx, rand.New(rand.NewSource(seed<<2))) })
	}
	injected = env.injectFaults(ctx, cfg.FaultTime, rand.New(rand.NewSource(seed)))
	endRejecting()
	if !env.awaitAllServed(ctx, recoveryTime) && ctx.Err() == nil { // A cancelled run shows nothing.
		env.checker.recordViolation(time.Now(), CheckRecovery, "some requests are still not served %s after the last fault", recoveryTime)
	}
	return injected, nil
}

// injectFaults injects faults for the duration d, waits until the last of them has ended
// and returns their number.
func (env *environment) injectFaults(ctx context.Context, d time.Duration, rng *rand.Rand) (injected int) {
	ended := make(chan struct{})
	active := 0
	last := faults[0]
	interval := float64(meanFaultInterval)
	if rng.Intn(2) == 0 {
		interval *= slowRunFactor
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		if rng.Float64() >= repeatFaultShare {
			last = pick(rng, faults)
		}
		f, faultRNG := last, rand.New(rand.NewSource(rng.Int63()))
		env.tasks.Go(func(ctx context.Context) {
			f.inject(ctx, env, faultRNG)
			ended <- struct{}{}
		})
		injected++
		active++
		if !clocker.Sleep(ctx, time.Duration(rng.ExpFloat64()*interval)) {
			break
		}
		for _, inst := range env.instances {
			env.reap(time.Now(), inst)
		}
	}
	for ; active > 0; active-- {
		<-ended
	}
	return injected
}

// awaitAllServed waits until each instance has served one request to the pooled service
// and one for each of 16 keys that are spread evenly over the key space. It reports false
// if that takes longer than timeout, ctx ends or a process cannot be started.
func (env *environment) awaitAllServed(ctx context.Context, timeout time.Duration) bool {
	end := time.Now().Add(timeout)
	for n, inst := range env.instances {
		c := newCaller(env, inst, fmt.Sprintf("last-%d-%d", n, time.Now().UnixNano()), int64(n))
		for part := range 17 {
			r := request{method: http.MethodGet, path: "/pooled/read/x", service: pooledService}
			if part > 0 {
				r.path, r.service, r.key = "/keyed/read/x", keyedService, identifier.ShardKey(part*identifier.ShardKeyCount/17)
			}
			if !c.retryUntilServed(ctx, r, end) {
				return false
			}
		}
		c.client.CloseIdleConnections()
	}
	return true
}

// retryUntilServed sends a request repeatedly, each time under a new ID, until it is
// answered with status 200. Before each try it starts the instance's process if none runs.
// It reports false if the time end passes, ctx ends or the process cannot be started.
func (c *caller) retryUntilServed(ctx context.Context, r request, end time.Time) bool {
	for time.Now().Before(end) {
		c.env.reap(time.Now(), c.instance)
		if err := c.instance.start(time.Now()); err != nil {
			return false
		}
		c.count++
		r.id = fmt.Sprintf("%s-%d", c.name, c.count)
		callCtx, cancel := context.WithTimeout(ctx, callerTimeout)
		status := c.send(callCtx, r)
		cancel()
		if status == http.StatusOK {
			return true
		}
		if !clocker.Sleep(ctx, recoveryRetryInterval) {
			return false
		}
	}
	return false
}
