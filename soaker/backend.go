package soaker

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/turmericlift/turmericlift/clocker"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/imitator"
	"github.com/turmericlift/turmericlift/leaser"
	"github.com/turmericlift/turmericlift/platform"
	"github.com/turmericlift/turmericlift/platform/impersonator"
	"github.com/turmericlift/turmericlift/registrar"
)

const (
	// slots is the number of requests that a server runs at a time.
	slots = 4
	// queueLength is the number of requests that wait for a slot; one more is shed.
	queueLength = 8
	// leastWork and mostWork bound how long a request takes.
	leastWork = 4 * time.Millisecond
	mostWork  = 40 * time.Millisecond
	// slowFactor is how much longer work takes at a slow server.
	slowFactor = 8
	// coldFor and coldRate are the cold time of a server after its start and the requests a
	// second that it bears in it.
	coldFor  = 1500 * time.Millisecond
	coldRate = 20
	// stayTime is how much longer than it has to a server that leaves goes on serving.
	stayTime = 3 * time.Second
	// lapseTime is the time after which the entry of a silent server is removed: three
	// heartbeats.
	lapseTime = 3 * heartbeat
)

// backend is the model of one backend server at one address; its process may be replaced
// by another one.
type backend struct {
	number  int
	service identifier.Service
	zone    identifier.Zone
	keyed   bool
	world   *world

	mu       sync.Mutex
	rng      *rand.Rand
	name     identifier.BackendServer
	life     registrar.Life
	grants   *imitator.Grantee
	down     bool
	draining bool
	leftAt   time.Time // When the store took in that the server leaves.
	running  int
	working  map[identifier.Point]int // Requests that run, by key.
	coldTill time.Time
	arrivals []time.Time // While cold.
	slow     bool
	loses    float64 // Share of the answers that are lost.
	strays   float64 // Share of the answers that another one follows.
	cut      bool    // From the store.
	listed   bool
}

// replace starts another process at the address: under the same name, or a new one.
func (b *backend) replace(now time.Time, sameName bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.life = registrar.Life(now.UnixMilli())
	if !sameName || b.name == "" {
		b.name = identifier.BackendServer(fmt.Sprintf("server-%d-%d", b.number, b.life))
	}
	b.grants = imitator.NewGrantee(b.name)
	b.down, b.draining, b.leftAt, b.slow, b.loses, b.strays, b.cut = false, false, time.Time{}, false, 0, 0, false
	b.running, b.working = 0, map[identifier.Point]int{}
	b.chill(now)
	b.list()
}

// chill makes the server cold. The caller holds the lock.
func (b *backend) chill(now time.Time) {
	b.coldTill, b.arrivals = now.Add(coldFor), nil
}

// list writes the server's entry. The caller holds the lock.
func (b *backend) list() {
	e := registrar.Entry{
		Service: b.service, Zone: b.zone, Address: "127.0.0.1:1", Slots: slots, Life: b.life,
		ColdLeft: max(time.Until(b.coldTill), 0),
	}
	if b.draining {
		e.State = registrar.Draining
	}
	b.world.objects.Put(platform.KindServers, string(b.name), nil, impersonator.Entry(e))
	b.listed = true
}

// crash ends the process. Its entry goes when its heartbeats have stayed out.
func (b *backend) crash(ctx context.Context) {
	b.mu.Lock()
	b.down = true
	name, life := b.name, b.life
	b.mu.Unlock()
	clocker.Sleep(ctx, lapseTime)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.name != name {
		b.world.objects.Delete(platform.KindServers, string(name))
	} else if b.life == life && b.down {
		b.world.objects.Delete(platform.KindServers, string(name))
		b.listed = false
	}
}

// leave drains the server, if it announces that, and ends it. It reports whether the server
// ran until then.
func (b *backend) leave(ctx context.Context, announced bool) bool {
	b.mu.Lock()
	if b.down || b.draining {
		b.mu.Unlock()
		return false
	}
	b.draining = true
	if announced {
		b.list()
	} else {
		b.world.objects.Delete(platform.KindServers, string(b.name))
		b.listed = false
	}
	b.leftAt = time.Now()
	b.mu.Unlock()
	clocker.Sleep(ctx, drainTime+stayTime)
	b.mu.Lock()
	b.down = true
	name := b.name
	b.mu.Unlock()
	b.world.objects.Delete(platform.KindServers, string(name))
	return true
}

// holder names the present life. The caller holds the lock.
func (b *backend) holder() holder { return holder{b.name, b.life} }

// holds reports whether the present life holds a key, and since when.
func (b *backend) holds(now time.Time, key identifier.Point) (by holder, since time.Time, holds bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return holder{}, time.Time{}, false
	}
	since, holds = b.grants.HeldSince(now, key)
	return b.holder(), since, holds
}

// face is a backend server as one entry instance sees it.
type face struct {
	*backend
	entry *entry
}

// Name implements impersonator.Server.
func (f face) Name() identifier.BackendServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.name
}

// Slots implements impersonator.Server.
func (f face) Slots() int { return slots }

// Order implements impersonator.Server.
func (f face) Order(now time.Time, o leaser.Order) (handover string, ok bool) {
	f.mu.Lock()
	if f.down {
		f.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	by, grants := f.holder(), f.grants
	f.mu.Unlock()
	handover, ok = grants.Take(now, o)
	if ok && o.Kind == leaser.Grant {
		f.world.judge.granted(now, by, o)
	}
	if o.Kind == leaser.Release {
		f.await(o.Range)
	}
	return handover, ok
}

// await waits until no request runs on a range: a release is answered then.
func (f face) await(r identifier.Range) {
	for {
		f.mu.Lock()
		busy := false
		for key, n := range f.working {
			busy = busy || n > 0 && r.Contains(key)
		}
		f.mu.Unlock()
		if !busy {
			return
		}
		time.Sleep(leastWork)
	}
}

// Serve implements impersonator.Server.
func (f face) Serve(now time.Time, r impersonator.Request) (impersonator.Reply, int) {
	f.mu.Lock()
	by, reply := f.holder(), f.accept(now, r)
	f.world.arrived(now, f, r, reply)
	if reply != impersonator.Ran {
		running := f.running
		f.mu.Unlock()
		return reply, running
	}
	f.running++
	f.working[r.Key]++
	work := leastWork + time.Duration(f.rng.Int63n(int64(mostWork-leastWork)))
	if f.slow {
		work *= slowFactor
	}
	waits := time.Duration(max(f.running-slots, 0)/slots) * work
	chance := f.rng.Float64()
	loses, strays := f.loses, f.strays
	f.mu.Unlock()
	f.world.began(now, f, r, by)
	time.Sleep(min(waits+work, r.TimeLeft))
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holder() != by || f.down {
		return impersonator.Down, f.running
	}
	f.running--
	f.working[r.Key]--
	switch {
	case r.Keyed && f.keyed && !f.grants.Holds(time.Now(), r.Key):
		return impersonator.RanFailed, f.running
	case chance < loses:
		return impersonator.RanBroken, f.running
	case chance < loses+strays:
		return impersonator.RanTwice, f.running
	}
	return impersonator.Ran, f.running
}

// accept decides whether a request runs. The caller holds the lock.
func (f face) accept(now time.Time, r impersonator.Request) impersonator.Reply {
	switch {
	case f.down:
		return impersonator.Down
	case r.Expected != "" && r.Expected != f.name, f.keyed && (!r.Keyed || !f.grants.Holds(now, r.Key)):
		return impersonator.Misdirected
	case f.running >= slots+queueLength:
		return impersonator.Shed
	}
	return impersonator.Ran
}

// serveTo opens the address at which an instance reaches the server.
func (b *backend) serveTo(ctx context.Context, e *entry) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("backend server %d: %w", b.number, err)
	}
	server := &http.Server{Handler: impersonator.Backend(face{b, e}), ReadHeaderTimeout: 5 * time.Second}
	b.world.tasks.Go(func(context.Context) { _ = server.Serve(listener) }) // It ends by Close.
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}
