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
	// queueLength is the number of requests that wait for a slot; a server sheds any more.
	queueLength = 8
	// minServiceTime and maxServiceTime bound how long a request runs.
	minServiceTime = 4 * time.Millisecond
	maxServiceTime = 40 * time.Millisecond
	// slowFactor is the factor on the service time at a slow server.
	slowFactor = 8
	// coldTime is how long a server is cold after its start, and coldRate the requests per
	// second that it can run while it is cold.
	coldTime = 1500 * time.Millisecond
	coldRate = 20
	// extraServeTime is how long a server that leaves continues to serve after drainTime.
	extraServeTime = 3 * time.Second
	// entryExpiryTime is the time after which the entry of a server without heartbeats is
	// removed from the store: three heartbeat intervals.
	entryExpiryTime = 3 * heartbeatInterval
	// keptEntries is the number of entries of a server that the store may write once more.
	keptEntries = 4
)

// backend simulates the backend server at one address. Its process may be replaced by
// another one.
type backend struct {
	number  int
	service identifier.Service
	zone    identifier.Zone
	keyed   bool
	env     *environment

	mu               sync.Mutex
	rng              *rand.Rand
	name             identifier.BackendServer
	incarnation      registrar.Incarnation
	sequence         int64             // Of the newest entry of the incarnation.
	written          []registrar.Entry // The newest entries under the present name, of former incarnations too.
	grants           *imitator.Grantee
	down             bool
	draining         bool
	leavingSince     time.Time // Time at which the store was updated to say that the server leaves; zero if it stays.
	running          int
	runningByKey     map[identifier.ShardKey]int
	coldUntil        time.Time
	coldArrivals     []time.Time // Times of the requests that the server got since it last became cold.
	slow             bool
	lostAnswerShare  float64   // Share of the answers that are lost.
	extraAnswerShare float64   // Share of the answers that are followed by an answer to no request.
	turnsAwayUntil   time.Time // The server turns all requests away until then, and says so.
	silentUntil      time.Time // The server answers no new request until then, nor any other on the same connection.
	notices          map[*instance]givenNotice
	listed           bool // The server's entry is in the store.
}

// replace starts another process at the address, under the present name if sameName is
// set and under a new one otherwise. The new process is cold and holds no grants.
func (b *backend) replace(now time.Time, sameName bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startProcess(now, sameName)
	b.makeCold(now)
	b.writeEntry()
}

// startProcess starts another process at the address. Its entry is not written. The caller holds the lock.
func (b *backend) startProcess(now time.Time, sameName bool) {
	b.incarnation, b.sequence = registrar.Incarnation(now.UnixMilli()), 0
	if !sameName || b.name == "" {
		b.name = identifier.BackendServer(fmt.Sprintf("server-%d-%d", b.number, b.incarnation))
		b.written = nil
	}
	b.grants = imitator.NewGrantee(b.name)
	b.down, b.draining, b.leavingSince, b.slow, b.lostAnswerShare, b.extraAnswerShare = false, false, time.Time{}, false, 0, 0
	b.running, b.runningByKey = 0, map[identifier.ShardKey]int{}
	b.turnsAwayUntil, b.silentUntil, b.notices = time.Time{}, time.Time{}, map[*instance]givenNotice{}
}

// makeCold makes the server cold for coldTime. The caller holds the lock.
func (b *backend) makeCold(now time.Time) {
	b.coldUntil, b.coldArrivals = now.Add(coldTime), nil
}

// writeEntry writes the server's entry to the store. The caller holds the lock.
func (b *backend) writeEntry() {
	b.sequence++
	e := registrar.Entry{
		Sequence: b.sequence, Service: b.service, Zone: b.zone, Address: "127.0.0.1:1", Slots: slots, Incarnation: b.incarnation,
		RemainingColdTime: max(time.Until(b.coldUntil), 0),
	}
	if b.draining {
		e.State = registrar.Draining
	}
	b.written = append(b.written[max(0, len(b.written)-keptEntries+1):], e)
	b.env.objects.Put(platform.KindServers, string(b.name), nil, impersonator.EncodeEntry(e))
	b.listed = true
}

// crash ends the process at once. Its entry is removed entryExpiryTime later, unless
// another process uses the entry's name by then. crash returns after that.
func (b *backend) crash(ctx context.Context) {
	b.mu.Lock()
	b.down = true
	name, incarnation := b.name, b.incarnation
	b.mu.Unlock()
	clocker.Sleep(ctx, entryExpiryTime)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.name != name {
		b.env.objects.Delete(platform.KindServers, string(name), nil)
	} else if b.incarnation == incarnation && b.down {
		b.env.objects.Delete(platform.KindServers, string(name), nil)
		b.listed = false
	}
}

// leave drains the server and then ends its process. If announced is set the server's
// entry says that it is draining; otherwise the entry is removed at the start. leave
// reports false, and does nothing, if the server is down or draining already.
func (b *backend) leave(ctx context.Context, announced bool) bool {
	b.mu.Lock()
	if b.down || b.draining {
		b.mu.Unlock()
		return false
	}
	b.draining = true
	if announced {
		b.writeEntry()
	} else {
		b.env.objects.Delete(platform.KindServers, string(b.name), nil)
		b.listed = false
	}
	b.leavingSince = time.Now()
	b.mu.Unlock()
	clocker.Sleep(ctx, drainTime+extraServeTime)
	b.mu.Lock()
	b.down = true
	name := b.name
	b.mu.Unlock()
	b.env.objects.Delete(platform.KindServers, string(name), nil)
	return true
}

// identity returns the present incarnation. The caller holds the lock.
func (b *backend) identity() serverIncarnation { return serverIncarnation{b.name, b.incarnation} }

// holdsKey reports whether the present incarnation runs and holds a key, and since when.
func (b *backend) holdsKey(now time.Time, key identifier.ShardKey) (by serverIncarnation, since time.Time, holds bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return serverIncarnation{}, time.Time{}, false
	}
	since, holds = b.grants.HeldSince(now, key)
	return b.identity(), since, holds
}

// endpoint is a backend server as one instance reaches it. It implements
// impersonator.Server.
type endpoint struct {
	*backend
	instance *instance
}

// Name returns the backend server's present name.
func (s endpoint) Name() identifier.BackendServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.name
}

// Slots returns the number of requests that the server runs at a time.
func (s endpoint) Slots() int { return slots }

// Order carries out a grant or a release. It returns the handover of a release; ok is
// false if the order's epoch is too low. A release returns only when no request runs on
// its range. If the server is down its connection is aborted.
func (s endpoint) Order(now time.Time, o leaser.Order) (handover string, ok bool) {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	by, grants := s.identity(), s.grants
	s.mu.Unlock()
	handover, ok = grants.HandleOrder(now, o)
	if ok && o.Kind == leaser.Grant {
		s.env.checker.addGrant(now, by, o)
	}
	if o.Kind == leaser.Release {
		s.awaitIdle(o.Range)
	}
	return handover, ok
}

// awaitIdle waits until no request runs on a range.
func (s endpoint) awaitIdle(r identifier.Range) {
	for {
		s.mu.Lock()
		busy := false
		for key, n := range s.runningByKey {
			busy = busy || n > 0 && r.Contains(key)
		}
		s.mu.Unlock()
		if !busy {
			return
		}
		time.Sleep(minServiceTime)
	}
}

// Serve runs a request for its service time, or returns the reply that says why the
// request does not run. A keyed request fails if the server does not hold the key any more
// when it ends. The second result is the number of requests that are admitted and not yet
// finished.
func (s endpoint) Serve(now time.Time, r impersonator.Request) (impersonator.Reply, int) {
	s.mu.Lock()
	by, reply := s.identity(), s.admit(now, r)
	s.env.checkArrival(now, s, r, reply)
	if reply != impersonator.Ran {
		running := s.running
		s.mu.Unlock()
		return reply, running
	}
	s.running++
	s.runningByKey[r.Key]++
	serviceTime := minServiceTime + time.Duration(s.rng.Int63n(int64(maxServiceTime-minServiceTime)))
	if s.slow {
		serviceTime *= slowFactor
	}
	queueTime := time.Duration(max(s.running-slots, 0)/slots) * serviceTime
	chance := s.rng.Float64()
	lostAnswerShare, extraAnswerShare := s.lostAnswerShare, s.extraAnswerShare
	s.mu.Unlock()
	s.env.checkRun(now, s, r, by)
	time.Sleep(min(queueTime+serviceTime, r.TimeLeft))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.identity() != by || s.down {
		return impersonator.Unreachable, s.running
	}
	s.running--
	s.runningByKey[r.Key]--
	switch {
	case r.Keyed && s.keyed && !s.grants.HoldsKey(time.Now(), r.Key):
		return impersonator.RanFailed, s.running
	case chance < lostAnswerShare:
		return impersonator.RanConnectionBroken, s.running
	case chance < lostAnswerShare+extraAnswerShare:
		return impersonator.RanExtraAnswer, s.running
	}
	return impersonator.Ran, s.running
}

// admit returns impersonator.Ran if a request can run, and otherwise the reply that says
// why not. The caller holds the lock.
func (s endpoint) admit(now time.Time, r impersonator.Request) impersonator.Reply {
	switch {
	case s.down:
		return impersonator.Unreachable
	case r.ExpectedServer != "" && r.ExpectedServer != s.name, s.keyed && (!r.Keyed || !s.grants.HoldsKey(now, r.Key)):
		return impersonator.Misdirected
	case now.Before(s.silentUntil):
		return impersonator.Silent
	case s.running >= slots+queueLength, now.Before(s.turnsAwayUntil):
		return impersonator.Shed
	}
	return impersonator.Ran
}

// listenFor starts to serve the given instance at an address of its own, until ctx ends,
// and returns that address.
func (b *backend) listenFor(ctx context.Context, inst *instance) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen as backend server %d: %w", b.number, err)
	}
	server := &http.Server{Handler: impersonator.NewBackendHandler(endpoint{b, inst}), ReadHeaderTimeout: 5 * time.Second}
	b.env.tasks.Go(func(context.Context) { _ = server.Serve(listener) }) // Serve returns an error after every Close.
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}
