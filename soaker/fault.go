package soaker

import (
	"context"
	"math/rand"
	"syscall"
	"time"

	"github.com/turmericlift/turmericlift/clocker"
	"github.com/turmericlift/turmericlift/imitator"
)

// fault is one type of fault. Its function inject starts the fault and ends it before it
// returns, or leaves both to goroutines of env.tasks. Several faults may be in force at a
// time.
type fault struct {
	name   string
	inject func(ctx context.Context, env *environment, rng *rand.Rand)
}

// A fault lasts from minFaultTime to maxFaultTime.
const (
	minFaultTime = 300 * time.Millisecond
	maxFaultTime = 5 * time.Second
)

// randomFaultTime returns a duration from minFaultTime up to maxFaultTime.
func randomFaultTime(rng *rand.Rand) time.Duration {
	return minFaultTime + time.Duration(rng.Int63n(int64(maxFaultTime-minFaultTime)))
}

// pick returns one of the values at random.
func pick[T any](rng *rand.Rand, values []T) T { return values[rng.Intn(len(values))] }

// faults lists the types of faults that are injected.
var faults = []fault{
	{"Kill", func(ctx context.Context, env *environment, rng *rand.Rand) {
		env.restart(ctx, pick(rng, env.instances), syscall.SIGKILL, randomFaultTime(rng)/2)
	}},
	{"KillAll", func(ctx context.Context, env *environment, rng *rand.Rand) {
		for _, inst := range env.instances {
			pause := randomFaultTime(rng) / 4
			env.tasks.Go(func(ctx context.Context) { env.restart(ctx, inst, syscall.SIGKILL, pause) })
		}
	}},
	{"Terminate", func(ctx context.Context, env *environment, rng *rand.Rand) {
		env.restart(ctx, pick(rng, env.instances), syscall.SIGTERM, 0)
	}},
	{"TerminateInTurn", func(ctx context.Context, env *environment, rng *rand.Rand) {
		for _, inst := range env.instances {
			env.tasks.Go(func(ctx context.Context) { env.restart(ctx, inst, syscall.SIGTERM, 0) })
			clocker.Sleep(ctx, randomFaultTime(rng)/2)
		}
	}},
	{"Pause", func(ctx context.Context, env *environment, rng *rand.Rand) {
		inst, duration := pick(rng, env.instances), randomFaultTime(rng)
		inst.signal(time.Now(), syscall.SIGSTOP)
		for end := time.Now().Add(duration); time.Now().Before(end) && clocker.Sleep(ctx, pollInterval); {
			inst.recordPause(time.Now())
		}
		inst.signal(time.Now(), syscall.SIGCONT)
	}},
	{"Reload", func(_ context.Context, env *environment, rng *rand.Rand) {
		pick(rng, env.instances).signal(time.Now(), syscall.SIGHUP)
	}},
	{"StoreLink", func(ctx context.Context, env *environment, rng *rand.Rand) {
		disturbLinks(ctx, rng, pick(rng, env.instances).storeLink)
	}},
	{"ServerLink", func(ctx context.Context, env *environment, rng *rand.Rand) {
		disturbLinks(ctx, rng, pick(rng, pick(rng, env.instances).serverLinks))
	}},
	{"CutOff", func(ctx context.Context, env *environment, rng *rand.Rand) { // Links to the store and some servers.
		inst := pick(rng, env.instances)
		links := []*link{inst.storeLink}
		for _, l := range inst.serverLinks {
			if rng.Intn(2) == 0 {
				links = append(links, l)
			}
		}
		disturbLinks(ctx, rng, links...)
	}},
	{"ServerUnreachable", func(ctx context.Context, env *environment, rng *rand.Rand) {
		n := rng.Intn(len(env.backends))
		var links []*link
		for _, inst := range env.instances {
			links = append(links, inst.serverLinks[n])
		}
		disturbLinks(ctx, rng, links...)
	}},
	{"StoreDown", func(ctx context.Context, env *environment, rng *rand.Rand) {
		env.disturbStore(ctx, imitator.ObjectStoreFaults{Down: true}, randomFaultTime(rng))
	}},
	{"StoreLosesAnswers", func(ctx context.Context, env *environment, rng *rand.Rand) {
		env.disturbStore(ctx, imitator.ObjectStoreFaults{LoseAnswers: 1 + rng.Intn(6)}, randomFaultTime(rng))
	}},
	{"StoreForgets", func(_ context.Context, env *environment, _ *rand.Rand) {
		env.recordStoreFault(time.Now())
		env.objects.DropHistory()
	}},
	{"Crash", func(ctx context.Context, env *environment, rng *rand.Rand) {
		b, sameName, pause := pick(rng, env.backends), rng.Intn(2) == 0, randomFaultTime(rng)
		env.setRefused(b, true)
		env.tasks.Go(b.crash)
		clocker.Sleep(ctx, pause)
		b.replace(time.Now(), sameName)
		env.setRefused(b, false)
	}},
	{"Leave", func(ctx context.Context, env *environment, rng *rand.Rand) {
		env.leaveAndReplace(ctx, pick(rng, env.backends), rng.Intn(4) > 0, randomFaultTime(rng)/4)
	}},
	{"LeaveInTurn", func(ctx context.Context, env *environment, rng *rand.Rand) { // As in the roll-out of a new release.
		for _, n := range rng.Perm(len(env.backends))[:3] {
			pause := randomFaultTime(rng) / 4
			env.tasks.Go(func(ctx context.Context) { env.leaveAndReplace(ctx, env.backends[n], true, pause) })
			clocker.Sleep(ctx, pause)
		}
	}},
	{"Cold", func(_ context.Context, env *environment, rng *rand.Rand) {
		b := pick(rng, env.backends)
		b.mu.Lock()
		defer b.mu.Unlock()
		if !b.down && !b.draining {
			b.makeCold(time.Now())
			b.writeEntry()
		}
	}},
	{"Slow", func(ctx context.Context, env *environment, rng *rand.Rand) {
		pick(rng, env.backends).degrade(ctx, randomFaultTime(rng), func(b *backend, on bool) { b.slow = on })
	}},
	{"LosesAnswers", func(ctx context.Context, env *environment, rng *rand.Rand) {
		pick(rng, env.backends).degrade(ctx, randomFaultTime(rng), func(b *backend, on bool) { b.lostAnswerShare = shareIf(on, 0.3) })
	}},
	{"ExtraAnswers", func(ctx context.Context, env *environment, rng *rand.Rand) {
		pick(rng, env.backends).degrade(ctx, randomFaultTime(rng), func(b *backend, on bool) { b.extraAnswerShare = shareIf(on, 0.3) })
	}},
	{"Configure", func(_ context.Context, env *environment, _ *rand.Rand) { env.writeConfig(time.Now()) }},
	{"TakeOutZone", func(ctx context.Context, env *environment, rng *rand.Rand) {
		env.setEvacuated(time.Now(), "b", true)
		clocker.Sleep(ctx, randomFaultTime(rng)+maxFaultTime)
		env.setEvacuated(time.Now(), "b", false)
	}},
}

// rejectRequests lets one backend server after the other turn all requests away for a random time, or leave them without an
// answer, until ctx ends. It uses random numbers of its own, so that the order of the other faults of a seed stays as it was.
func (env *environment) rejectRequests(ctx context.Context, rng *rand.Rand) {
	for clocker.Sleep(ctx, randomFaultTime(rng)) {
		b, until := pick(rng, env.backends), time.Now().Add(randomFaultTime(rng)/2)
		b.mu.Lock()
		if rng.Intn(3) == 0 {
			b.silentUntil = until
		} else {
			b.turnsAwayUntil = until
		}
		b.mu.Unlock()
	}
}

// shareIf returns x if on is set and 0 otherwise.
func shareIf(on bool, x float64) float64 {
	if on {
		return x
	}
	return 0
}

// degrade switches a fault of the server on with set, waits for d and switches it off.
func (b *backend) degrade(ctx context.Context, d time.Duration, set func(b *backend, on bool)) {
	b.mu.Lock()
	set(b, true)
	b.mu.Unlock()
	clocker.Sleep(ctx, d)
	b.mu.Lock()
	set(b, false)
	b.mu.Unlock()
}

// disturbLinks puts the links into one random mode other than Open, waits for a random
// time and opens them again.
func disturbLinks(ctx context.Context, rng *rand.Rand, links ...*link) {
	m, d := pick(rng, []LinkMode{Delayed, Refused, Blocked, OutboundBlocked, InboundBlocked}), randomFaultTime(rng)
	for _, l := range links {
		l.setMode(time.Now(), m)
	}
	clocker.Sleep(ctx, d)
	for _, l := range links {
		l.setMode(time.Now(), Open)
	}
}

// setRefused makes all links to a server refuse connections, as if nothing listened at
// its address, or opens them again.
func (env *environment) setRefused(b *backend, on bool) {
	m := Open
	if on {
		m = Refused
	}
	for _, inst := range env.instances {
		inst.serverLinks[b.number].setMode(time.Now(), m)
	}
}

// leaveAndReplace drains and ends a server's process and, after a pause, starts another
// process under a new name at its address. It does nothing if the server is down or
// draining already.
func (env *environment) leaveAndReplace(ctx context.Context, b *backend, announced bool, pause time.Duration) {
	if !b.leave(ctx, announced) {
		return
	}
	env.setRefused(b, true)
	clocker.Sleep(ctx, pause)
	b.replace(time.Now(), false)
	env.setRefused(b, false)
}

// disturbStore makes the store misbehave as f says for the duration d.
func (env *environment) disturbStore(ctx context.Context, f imitator.ObjectStoreFaults, d time.Duration) {
	env.objects.SetFaults(f)
	for end := time.Now().Add(d); time.Now().Before(end) && clocker.Sleep(ctx, pollInterval); {
		env.recordStoreFault(time.Now())
	}
	env.objects.SetFaults(imitator.ObjectStoreFaults{})
	env.recordStoreFault(time.Now())
}

// restart ends an instance's process by a signal and starts another one after a pause.
func (env *environment) restart(ctx context.Context, inst *instance, s syscall.Signal, pause time.Duration) {
	inst.signal(time.Now(), s)
	env.awaitExit(ctx, inst)
	clocker.Sleep(ctx, pause)
	if err := inst.start(time.Now()); err != nil {
		env.checker.recordViolation(time.Now(), CheckExit, "%v", err)
	}
}

// awaitExit waits until an instance's process has exited or ctx ends. It kills the
// process when the grace period of a shutdown is over.
func (env *environment) awaitExit(ctx context.Context, inst *instance) {
	end := time.Now().Add(bounds.GraceTime)
	for clocker.Sleep(ctx, pollInterval) {
		env.reap(time.Now(), inst)
		inst.mu.Lock()
		exited := inst.cmd == nil
		inst.mu.Unlock()
		if exited {
			return
		}
		if time.Now().After(end) {
			inst.signal(time.Now(), syscall.SIGKILL)
		}
	}
}

// reap checks whether an instance's process has exited, and records a violation if it
// exited although it was not stopped.
func (env *environment) reap(now time.Time, inst *instance) {
	if exited, expected, err := inst.pollExit(now); exited && !expected {
		env.checker.recordViolation(now, CheckExit, "the process of instance %s exited although it was not stopped: %v", inst.settings.Instance, err)
	}
}
