package soaker

import (
	"context"
	"math/rand"
	"syscall"
	"time"

	"github.com/turmericlift/turmericlift/clocker"
	"github.com/turmericlift/turmericlift/imitator"
)

// fault strikes and, before it returns, ends again. Several are in force at a time.
type fault struct {
	name   string
	strike func(ctx context.Context, w *world, rng *rand.Rand)
}

// The times between which faults last.
const (
	leastFault = 300 * time.Millisecond
	mostFault  = 5 * time.Second
)

func lasts(rng *rand.Rand) time.Duration {
	return leastFault + time.Duration(rng.Int63n(int64(mostFault-leastFault)))
}

func one[T any](rng *rand.Rand, of []T) T { return of[rng.Intn(len(of))] }

// faults is the table of what may strike.
var faults = []fault{
	{"Kill", func(ctx context.Context, w *world, rng *rand.Rand) {
		w.restart(ctx, one(rng, w.entries), syscall.SIGKILL, lasts(rng)/2)
	}},
	{"KillAll", func(ctx context.Context, w *world, rng *rand.Rand) {
		for _, e := range w.entries {
			after := lasts(rng) / 4
			w.tasks.Go(func(ctx context.Context) { w.restart(ctx, e, syscall.SIGKILL, after) })
		}
	}},
	{"Terminate", func(ctx context.Context, w *world, rng *rand.Rand) {
		w.restart(ctx, one(rng, w.entries), syscall.SIGTERM, 0)
	}},
	{"TerminateInTurn", func(ctx context.Context, w *world, rng *rand.Rand) {
		for _, e := range w.entries {
			w.tasks.Go(func(ctx context.Context) { w.restart(ctx, e, syscall.SIGTERM, 0) })
			clocker.Sleep(ctx, lasts(rng)/2)
		}
	}},
	{"Pause", func(ctx context.Context, w *world, rng *rand.Rand) {
		e, until := one(rng, w.entries), lasts(rng)
		e.signal(time.Now(), syscall.SIGSTOP)
		for end := time.Now().Add(until); time.Now().Before(end) && clocker.Sleep(ctx, heldPoll); {
			e.touch(time.Now())
		}
		e.signal(time.Now(), syscall.SIGCONT)
	}},
	{"Reload", func(_ context.Context, w *world, rng *rand.Rand) {
		one(rng, w.entries).signal(time.Now(), syscall.SIGHUP)
	}},
	{"StoreLink", func(ctx context.Context, w *world, rng *rand.Rand) {
		spoil(ctx, rng, one(rng, w.entries).store)
	}},
	{"ServerLink", func(ctx context.Context, w *world, rng *rand.Rand) {
		spoil(ctx, rng, one(rng, one(rng, w.entries).servers))
	}},
	{"CutOff", func(ctx context.Context, w *world, rng *rand.Rand) { // From the store and some servers.
		e := one(rng, w.entries)
		cut := []*link{e.store}
		for _, l := range e.servers {
			if rng.Intn(2) == 0 {
				cut = append(cut, l)
			}
		}
		spoil(ctx, rng, cut...)
	}},
	{"ServerUnreachable", func(ctx context.Context, w *world, rng *rand.Rand) {
		n := rng.Intn(len(w.backends))
		var cut []*link
		for _, e := range w.entries {
			cut = append(cut, e.servers[n])
		}
		spoil(ctx, rng, cut...)
	}},
	{"StoreDown", func(ctx context.Context, w *world, rng *rand.Rand) {
		w.spoilStore(ctx, imitator.ObjectFaults{Down: true}, lasts(rng))
	}},
	{"StoreLosesAnswers", func(ctx context.Context, w *world, rng *rand.Rand) {
		w.spoilStore(ctx, imitator.ObjectFaults{LoseAnswers: 1 + rng.Intn(6)}, lasts(rng))
	}},
	{"StoreForgets", func(_ context.Context, w *world, _ *rand.Rand) {
		w.touchStore(time.Now())
		w.objects.DropHistory()
	}},
	{"Crash", func(ctx context.Context, w *world, rng *rand.Rand) {
		b, same, after := one(rng, w.backends), rng.Intn(2) == 0, lasts(rng)
		w.refuse(b, true)
		w.tasks.Go(b.crash)
		clocker.Sleep(ctx, after)
		b.replace(time.Now(), same)
		w.refuse(b, false)
	}},
	{"Leave", func(ctx context.Context, w *world, rng *rand.Rand) {
		w.renew(ctx, one(rng, w.backends), rng.Intn(4) > 0, lasts(rng)/4)
	}},
	{"LeaveInTurn", func(ctx context.Context, w *world, rng *rand.Rand) { // As for a new release.
		for _, n := range rng.Perm(len(w.backends))[:3] {
			pause := lasts(rng) / 4
			w.tasks.Go(func(ctx context.Context) { w.renew(ctx, w.backends[n], true, pause) })
			clocker.Sleep(ctx, pause)
		}
	}},
	{"Cold", func(_ context.Context, w *world, rng *rand.Rand) {
		b := one(rng, w.backends)
		b.mu.Lock()
		defer b.mu.Unlock()
		if !b.down && !b.draining {
			b.chill(time.Now())
			b.list()
		}
	}},
	{"Slow", func(ctx context.Context, w *world, rng *rand.Rand) {
		one(rng, w.backends).worsen(ctx, lasts(rng), func(b *backend, on bool) { b.slow = on })
	}},
	{"LosesAnswers", func(ctx context.Context, w *world, rng *rand.Rand) {
		one(rng, w.backends).worsen(ctx, lasts(rng), func(b *backend, on bool) { b.loses = share(on, 0.3) })
	}},
	{"ExtraAnswers", func(ctx context.Context, w *world, rng *rand.Rand) {
		one(rng, w.backends).worsen(ctx, lasts(rng), func(b *backend, on bool) { b.strays = share(on, 0.3) })
	}},
	{"Configure", func(_ context.Context, w *world, _ *rand.Rand) { w.configure(time.Now()) }},
	{"TakeOutZone", func(ctx context.Context, w *world, rng *rand.Rand) {
		w.takeOut(time.Now(), "b", true)
		clocker.Sleep(ctx, lasts(rng)+mostFault)
		w.takeOut(time.Now(), "b", false)
	}},
}

func share(on bool, x float64) float64 {
	if on {
		return x
	}
	return 0
}

// worsen makes a server worse for a time.
func (b *backend) worsen(ctx context.Context, d time.Duration, set func(b *backend, on bool)) {
	b.mu.Lock()
	set(b, true)
	b.mu.Unlock()
	clocker.Sleep(ctx, d)
	b.mu.Lock()
	set(b, false)
	b.mu.Unlock()
}

// spoil puts links into one bad mode for a time.
func spoil(ctx context.Context, rng *rand.Rand, links ...*link) {
	m, d := one(rng, []Mode{Delayed, Refused, Silent, CutOut, CutIn}), lasts(rng)
	for _, l := range links {
		l.set(time.Now(), m)
	}
	clocker.Sleep(ctx, d)
	for _, l := range links {
		l.set(time.Now(), Open)
	}
}

// refuse makes all links to a server refuse connections: nothing listens there.
func (w *world) refuse(b *backend, on bool) {
	m := Open
	if on {
		m = Refused
	}
	for _, e := range w.entries {
		e.servers[b.number].set(time.Now(), m)
	}
}

// renew lets a server leave, and another one take its address after a pause.
func (w *world) renew(ctx context.Context, b *backend, announced bool, pause time.Duration) {
	if !b.leave(ctx, announced) {
		return
	}
	w.refuse(b, true)
	clocker.Sleep(ctx, pause)
	b.replace(time.Now(), false)
	w.refuse(b, false)
}

// spoilStore lets the store misbehave for a time.
func (w *world) spoilStore(ctx context.Context, f imitator.ObjectFaults, d time.Duration) {
	w.objects.SetFaults(f)
	for end := time.Now().Add(d); time.Now().Before(end) && clocker.Sleep(ctx, heldPoll); {
		w.touchStore(time.Now())
	}
	w.objects.SetFaults(imitator.ObjectFaults{})
	w.touchStore(time.Now())
}

// restart ends a process by a signal and starts it again after a pause.
func (w *world) restart(ctx context.Context, e *entry, s syscall.Signal, pause time.Duration) {
	e.signal(time.Now(), s)
	w.awaitEnd(ctx, e)
	clocker.Sleep(ctx, pause)
	if err := e.start(time.Now()); err != nil {
		w.judge.violated(time.Now(), CheckExit, "%v", err)
	}
}

// awaitEnd waits for the end of a process, and kills it when its time is over.
func (w *world) awaitEnd(ctx context.Context, e *entry) {
	end := time.Now().Add(bounds.GraceTime)
	for clocker.Sleep(ctx, heldPoll) {
		w.reap(time.Now(), e)
		e.mu.Lock()
		gone := e.cmd == nil
		e.mu.Unlock()
		if gone {
			return
		}
		if time.Now().After(end) {
			e.signal(time.Now(), syscall.SIGKILL)
		}
	}
}

// reap takes in the end of a process: one that nobody wanted is a fault of the program.
func (w *world) reap(now time.Time, e *entry) {
	if ended, expected, err := e.exited(now); ended && !expected {
		w.judge.violated(now, CheckExit, "%s ended by itself: %v", e.settings.Instance, err)
	}
}
