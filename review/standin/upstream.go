package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// The headers of the platform's protocol.
const (
	headerID       = "X-Turmericlift-Request-Id"
	headerDeadline = "X-Turmericlift-Request-Deadline"
	headerExpect   = "X-Turmericlift-Expect-Instance"
	headerInstance = "X-Turmericlift-Instance-Id"
	headerNotRun   = "X-Turmericlift-Not-Executed"
	headerSeal     = "X-Turmericlift-Server-Seal"
	headerLoad     = "X-Turmericlift-Server-Load"
	headerKey      = "X-Turmericlift-Shard-Key"
	headerHandover = "X-Turmericlift-Handover"
	headerLeaving  = "Server-Leaving"
	headerCold     = "X-Turmericlift-Cold-Remaining"
)

const (
	upstreamSlots = 6
	upstreamQueue = 24
	// beatRetry is the time after which an upstream that cannot reach the store tries again.
	beatRetry = 100 * time.Millisecond
	// coldTime is how long an upstream is cold after its start during traffic.
	coldTime = 3 * time.Second
	// coldRate is the bound cold_per_s of the site hytlog-dk, and coldBound is coldRate x cold_overshoot + cold_slack.
	coldRate  = 11
	coldBound = coldRate*1.5 + 5
	// drainTime is the bound drain_s of the site hytlog-dk.
	drainTime = 2 * time.Second
	keyCount  = 65536
	// maxHoldSeconds is the bound max_hold_s of the site hytlog-dk.
	maxHoldSeconds = 10
	// maxOrderBytes is above the size of a grant. What is longer is the body of a client's request and is not kept.
	maxOrderBytes = 1 << 10
)

// hold is a grant of keys that is in force until a time.
type hold struct {
	from, to int
	fence    uint64
	until    time.Time
}

// pastLoad is the load of an upstream at a time, as its load header says it.
type pastLoad struct {
	at   time.Time
	text string
}

// life is what an incarnation of an upstream holds and knows.
type life struct {
	born      time.Time
	coldUntil time.Time
	arrivals  []time.Time // Requests of the last second that arrived while the upstream was cold.
	loads     []pastLoad  // The newest is the present load.
	flooded   bool        // Too many of them were reported.
	sequence  int         // Beats so far.
	leavesAt  time.Time   // When the store has accepted that the upstream is draining; zero before.
	draining  bool
	server    *http.Server
	holds     []hold
	fences    []uint64 // By key, the highest fence that was seen.
	running   int
	waiting   int
	busy      map[int]int // By key, the number of requests that run.
	slots     chan struct{}
	ended     chan struct{}
}

// upstream simulates an upstream. It keeps its id and its address when it starts again.
type upstream struct {
	id, service, zone, address string
	sharded                    bool
	work, longWork             time.Duration // Of requests, and of those to the path /supply/.
	loadLag                    time.Duration // How old the load is that the load header says.
	store                      *store
	rec                        *recorder
	violate                    func(format string, args ...any)

	mu       sync.Mutex
	cut      bool  // The upstream is partitioned from the store.
	current  *life // Nil while the process is down.
	lastBeat time.Time
}

// start starts a new incarnation. cold is for how long it is cold.
func (u *upstream) start(cold time.Duration) error {
	listener, err := net.Listen("tcp", u.address)
	if err != nil {
		return fmt.Errorf("start upstream %s: %w", u.id, err)
	}
	l := &life{born: time.Now(), coldUntil: time.Now().Add(cold), fences: make([]uint64, keyCount), busy: map[int]int{}, slots: make(chan struct{}, upstreamSlots), ended: make(chan struct{})}
	l.server = &http.Server{Handler: u.handler(l), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	u.mu.Lock()
	u.current = l
	u.mu.Unlock()
	go func() { _ = l.server.Serve(listener) }()
	go u.beatLoop(l)
	u.rec.line("upstream %s: started, born %d", u.id, l.born.UnixMilli())
	return nil
}

// crash ends the present incarnation: all its connections break and all that it held is gone.
func (u *upstream) crash() {
	u.mu.Lock()
	l := u.current
	u.current = nil
	u.mu.Unlock()
	if l == nil {
		return
	}
	close(l.ended)
	_ = l.server.Close()
	u.rec.line("upstream %s: crashed", u.id)
}

// setCut partitions the upstream from the store, or ends that.
func (u *upstream) setCut(cut bool) {
	u.mu.Lock()
	u.cut = cut
	u.mu.Unlock()
	u.rec.line("upstream %s: partitioned from the store: %t", u.id, cut)
}

// awaitBeat waits until the upstream has written its entry.
func (u *upstream) awaitBeat() {
	u.mu.Lock()
	last := u.lastBeat
	u.mu.Unlock()
	for {
		time.Sleep(time.Millisecond)
		u.mu.Lock()
		now := u.lastBeat
		u.mu.Unlock()
		if now.After(last) {
			return
		}
	}
}

// beatLoop writes the upstream's entry until the incarnation ends.
func (u *upstream) beatLoop(l *life) {
	for {
		u.mu.Lock()
		cut := u.cut || u.current != l
		u.mu.Unlock()
		pause := beatRetry
		if !cut {
			u.beat(l)
			pause = beatInterval
		}
		select {
		case <-l.ended:
			return
		case <-time.After(pause):
		}
	}
}

// beat writes the upstream's entry.
func (u *upstream) beat(l *life) {
	entry := u.entry(l)
	u.store.beat(u.id, entry)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastBeat = time.Now()
	if entry["state"] == "draining" && l.leavesAt.IsZero() {
		l.leavesAt = u.lastBeat
		u.rec.line("upstream %s: the store has accepted that it is draining", u.id)
	}
}

// entry returns the next entry of an incarnation.
func (u *upstream) entry(l *life) map[string]any {
	u.mu.Lock()
	defer u.mu.Unlock()
	l.sequence++
	state := "ready"
	if l.draining {
		state = "draining"
	}
	left := max(time.Until(l.coldUntil), 0).Seconds()
	return map[string]any{"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": upstreamSlots,
		"state": state, "cold_left_s": float64(int(left*100)) / 100, "sequence": l.sequence, "born": l.born.UnixMilli()}
}

// drain makes the present incarnation report that it is draining.
func (u *upstream) drain() {
	u.mu.Lock()
	l := u.current
	l.draining = true
	u.mu.Unlock()
	u.beat(l)
}

// inForce returns the holds of the present incarnation that are in force.
func (u *upstream) inForce(now time.Time) []hold {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current == nil {
		return nil
	}
	var holds []hold
	for _, h := range u.current.holds {
		if now.Before(h.until) {
			holds = append(holds, h)
		}
	}
	return holds
}

// heldKeys returns how many keys the upstream holds.
func (u *upstream) heldKeys(now time.Time) int {
	n := 0
	for _, h := range u.inForce(now) {
		n += h.to - h.from + 1
	}
	return n
}

// handler serves an incarnation in the platform's protocol.
func (u *upstream) handler(l *life) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, maxOrderBytes))
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(headerInstance, u.id)
		w.Header().Set("Keep-Alive", "timeout=10")
		if u.isDraining(l) {
			w.Header().Set(headerLeaving, "1")
			w.Header().Set("Connection", "close")
		}
		if expect := r.Header.Get(headerExpect); expect != "" && expect != u.id {
			w.Header().Set(headerNotRun, "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		switch r.URL.Path {
		case "/grant", "/release":
			u.serveOrder(w, r.URL.Path == "/grant", l, body)
		case "/health":
			w.Header().Set(headerLoad, u.load(l))
			if left := u.coldLeft(l); left > 0 {
				w.Header().Set(headerCold, strconv.FormatInt(left.Milliseconds()+1, 10))
			}
		default:
			u.serveRequest(w, r, l)
		}
	})
}

// isDraining reports whether an incarnation is leaving.
func (u *upstream) isDraining(l *life) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return l.draining
}

// turnCold makes the present incarnation cold again. Its next beat says so.
func (u *upstream) turnCold() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.current.coldUntil = time.Now().Add(coldTime)
	u.rec.line("upstream %s: is cold again", u.id)
}

// coldLeft returns for how much longer an incarnation is cold.
func (u *upstream) coldLeft(l *life) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Until(l.coldUntil)
}

// checkCold checks the rule FAILBACK for a request that arrives now.
func (u *upstream) checkCold(l *life) {
	now := time.Now()
	u.mu.Lock()
	if !now.Before(l.coldUntil) {
		u.mu.Unlock()
		return
	}
	l.arrivals = slices.DeleteFunc(append(l.arrivals, now), func(at time.Time) bool { return now.Sub(at) >= time.Second })
	n, isNew := len(l.arrivals), !l.flooded && float64(len(l.arrivals)) > coldBound
	l.flooded = l.flooded || isNew
	u.mu.Unlock()
	if isNew {
		u.violate("FAILBACK: cold upstream %s got %d requests in one second, allowed are %g", u.id, n, coldBound)
	}
}

// checkDrain checks the rule DRAIN for a request that arrives now.
func (u *upstream) checkDrain(l *life, id string) {
	u.mu.Lock()
	leavesAt := l.leavesAt
	u.mu.Unlock()
	if late := time.Since(leavesAt); !leavesAt.IsZero() && late > drainTime {
		u.violate("DRAIN: %s reached %s %d ms after the store had accepted that it is draining", id, u.id, late.Milliseconds())
	}
}

// load returns the value of the load header, as it was loadLag ago.
func (u *upstream) load(l *life) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	l.loads = append(l.loads, pastLoad{now, fmt.Sprintf("%d,%d,%d,100", l.running, l.waiting, upstreamSlots)})
	for len(l.loads) > 1 && now.Sub(l.loads[1].at) >= u.loadLag {
		l.loads = l.loads[1:]
	}
	return l.loads[0].text
}

// order is a grant or a release.
type order struct {
	From  int     `json:"from"`
	To    int     `json:"to"`
	Fence uint64  `json:"fence"`
	Hold  float64 `json:"hold_s"`
}

// valid reports whether an order names keys and, if it is a grant, a time for which they may be held.
func (o order) valid(grant bool) bool {
	return o.From >= 0 && o.To >= o.From && o.To < keyCount && (!grant || o.Hold > 0 && o.Hold <= maxHoldSeconds)
}

// serveOrder answers a grant or a release.
func (u *upstream) serveOrder(w http.ResponseWriter, grant bool, l *life, body []byte) {
	var o order
	if json.Unmarshal(body, &o) != nil || !o.valid(grant) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !grant {
		u.release(l, o)
		u.rec.line("upstream %s: release %d-%d fence %d", u.id, o.From, o.To, o.Fence)
		w.Header().Set(headerHandover, fmt.Sprintf("%s-%d-%d", u.id, o.From, o.Fence))
		return
	}
	accepted, renewed := u.grant(l, o)
	switch {
	case !accepted:
		u.rec.line("upstream %s: grant %d-%d fence %d refused", u.id, o.From, o.To, o.Fence)
		w.WriteHeader(http.StatusConflict)
	case !renewed:
		u.rec.line("upstream %s: grant %d-%d fence %d for %g s accepted, born %d", u.id, o.From, o.To, o.Fence, o.Hold, l.born.UnixMilli())
	}
}

// release ends the holds of some keys and waits until no request runs on them.
func (u *upstream) release(l *life, o order) {
	u.mu.Lock()
	l.holds = without(l.holds, o.From, o.To, time.Now())
	u.mu.Unlock()
	for u.isBusy(l, o) {
		time.Sleep(time.Millisecond)
	}
}

// isBusy reports whether requests run on the keys of an order.
func (u *upstream) isBusy(l *life, o order) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for key := range l.busy {
		if o.From <= key && key <= o.To {
			return true
		}
	}
	return false
}

// grant gives keys to an incarnation unless it has seen a higher fencing token on one of them. It reports whether it did,
// and whether that renewed a grant.
func (u *upstream) grant(l *life, o order) (accepted, renewed bool) {
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current != l {
		panic(http.ErrAbortHandler) // The process has ended.
	}
	if slices.Max(l.fences[o.From:o.To+1]) > o.Fence {
		return false, false
	}
	for _, h := range l.holds {
		renewed = renewed || h.from == o.From && h.to == o.To && h.fence == o.Fence && now.Before(h.until)
	}
	for key := o.From; key <= o.To; key++ {
		l.fences[key] = o.Fence
	}
	l.holds = append(without(l.holds, o.From, o.To, now), hold{o.From, o.To, o.Fence, now.Add(time.Duration(o.Hold * float64(time.Second)))})
	return true, renewed
}

// without returns the holds that are in force without a range of keys.
func without(holds []hold, from, to int, now time.Time) []hold {
	var kept []hold
	for _, h := range holds {
		if !now.Before(h.until) {
			continue
		}
		if h.to < from || h.from > to {
			kept = append(kept, h)
			continue
		}
		if h.from < from {
			part := h
			part.to = from - 1
			kept = append(kept, part)
		}
		if h.to > to {
			part := h
			part.from = to + 1
			kept = append(kept, part)
		}
	}
	return kept
}

// holds reports whether an incarnation holds a key now.
func (u *upstream) holds(l *life, key int) bool {
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, h := range l.holds {
		if h.from <= key && key <= h.to && now.Before(h.until) {
			return true
		}
	}
	return false
}

// serveRequest runs a client's request if the upstream holds its key and has room for it.
func (u *upstream) serveRequest(w http.ResponseWriter, r *http.Request, l *life) {
	id := r.Header.Get(headerID)
	h := w.Header()
	h.Set(headerID, id)
	key, err := strconv.Atoi(r.Header.Get(headerKey))
	u.checkDrain(l, id)
	if !u.sharded {
		u.checkCold(l)
	}
	status := http.StatusBadRequest
	if err == nil && id != "" {
		status = u.enter(l, r, key)
	}
	if status != http.StatusOK {
		h.Set(headerNotRun, "1")
		h.Set(headerLoad, u.load(l))
		w.WriteHeader(status)
		return
	}
	u.rec.line("upstream %s: runs %s, key %d", u.id, id, key)
	u.rec.run(id)
	ended := true
	select {
	case <-time.After(u.workOf(r)):
	case <-r.Context().Done():
		ended = false
	case <-l.ended:
		ended = false
	}
	u.leave(l, key)
	if !ended {
		u.rec.line("upstream %s: %s is broken off while it runs", u.id, id)
		panic(http.ErrAbortHandler)
	}
	h.Set(headerSeal, "seal-"+id)
	h.Set(headerLoad, u.load(l))
	if u.sharded && !u.holds(l, key) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, "done "+id) // An error means that the caller has left.
}

// workOf returns the time that a request takes.
func (u *upstream) workOf(r *http.Request) time.Duration {
	if r.Method == http.MethodPost && u.longWork > 0 {
		return u.longWork
	}
	return u.work
}

// enter waits for a slot for a request and counts it as running. It returns another status than 200 if the request is
// rejected.
func (u *upstream) enter(l *life, r *http.Request, key int) int {
	if u.sharded && !u.holds(l, key) {
		return http.StatusMisdirectedRequest
	}
	u.mu.Lock()
	if l.waiting >= upstreamQueue {
		u.mu.Unlock()
		return http.StatusServiceUnavailable
	}
	l.waiting++
	u.mu.Unlock()
	left := false
	select {
	case l.slots <- struct{}{}:
	case <-r.Context().Done():
		left = true
	}
	u.mu.Lock()
	l.waiting--
	if !left {
		l.running++
		l.busy[key]++
	}
	u.mu.Unlock()
	if left {
		panic(http.ErrAbortHandler)
	}
	if u.sharded && !u.holds(l, key) {
		u.leave(l, key)
		return http.StatusMisdirectedRequest
	}
	return http.StatusOK
}

// leave gives the slot of a request back.
func (u *upstream) leave(l *life, key int) {
	<-l.slots
	u.mu.Lock()
	defer u.mu.Unlock()
	l.running--
	if l.busy[key]--; l.busy[key] == 0 {
		delete(l.busy, key)
	}
}
