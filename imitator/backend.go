package imitator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/sender"
)

// BackendFaults are the faults of a simulated backend server. The zero value has none.
type BackendFaults struct {
	// SlowFactor is the factor by which each request takes longer; 0 and 1 have no effect.
	SlowFactor int
	// Draining makes the server report the state granter.ServerDraining.
	Draining bool
	// ShedAll makes the server shed every request.
	ShedAll bool
	// Frozen makes orders and requests, but not health checks, wait until the fault is cleared or their connection ends.
	Frozen bool
	// LoadBias is added to the load that the server reports.
	LoadBias int
	// CutAnswers makes the server break the connection after half of each answer's body.
	CutAnswers bool
}

// BackendConfig is the configuration of a simulated backend server.
type BackendConfig struct {
	Server identifier.BackendServer
	// ChecksGrants makes the server refuse requests whose grant is not in force. Otherwise it ignores grants.
	ChecksGrants bool
	// Slots is the number of requests that run at the same time.
	Slots int
	// QueueLength is the number of requests that may wait for a slot. The server sheds further ones.
	QueueLength int
	// ServiceTime is the time that one request takes.
	ServiceTime time.Duration
	// ColdSlots is the number of requests that a cold server can run at the same time. The server does not enforce it;
	// MaxRunningCold returns how many ran.
	ColdSlots int
	// WarmAfter is the number of requests after which the server is warm.
	WarmAfter int
}

// Backend simulates a backend server: it keeps a log per key in memory and runs one request per slot. Its methods are
// safe for concurrent use.
type Backend struct {
	cfg   BackendConfig
	clock func() time.Time
	slots chan struct{} // Holds one value per slot that is in use.

	mu       sync.Mutex // Guards the fields below.
	fence    *Fence
	faults   BackendFaults
	unfrozen chan struct{}       // Closed while the server is not frozen.
	logs     map[string][]string // By key.
	runs     map[string]int      // By request ID.
	served   int                 // Requests that have ended since the process started.
	running  int
	queued   int
	// maxRunningCold is the highest number of requests that ran at the same time while the server was cold.
	maxRunningCold int
	crashes        int
	incarnation    identifier.Incarnation
	orderHandled   chan struct{} // Closed and replaced after each order.
}

// NewBackend returns a backend server whose process starts now, by clock. incarnation must be higher than those of the
// server's former processes.
func NewBackend(cfg BackendConfig, clock func() time.Time, incarnation identifier.Incarnation) *Backend {
	unfrozen := make(chan struct{})
	close(unfrozen)
	return &Backend{
		cfg: cfg, clock: clock, slots: make(chan struct{}, cfg.Slots),
		fence: NewFence(clock(), cfg.Server, incarnation, cfg.ChecksGrants), unfrozen: unfrozen,
		logs: map[string][]string{}, runs: map[string]int{}, incarnation: incarnation, orderHandled: make(chan struct{}),
	}
}

// Handler returns the server's HTTP handler: orders, the health check, callers' requests at all other paths, and under
// /standin/ the calls by which a test sets faults and counts runs.
func (b *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+sender.OrderPath, b.handleOrder)
	mux.HandleFunc("PUT /standin/faults", b.putFaults)
	mux.HandleFunc("GET /standin/runs/{id}", b.getRuns)
	mux.HandleFunc("GET /health", b.handleHealth)
	mux.HandleFunc("/", b.handleRequest)
	return mux
}

// SetFaults replaces all faults of the server.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f.Frozen && !b.faults.Frozen {
		b.unfrozen = make(chan struct{})
	}
	if !f.Frozen && b.faults.Frozen {
		close(b.unfrozen)
	}
	b.faults = f
}

// RunCount returns how many times the request with this ID has run.
func (b *Backend) RunCount(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// MaxRunningCold returns the highest number of requests that ran at the same time while the server was cold.
func (b *Backend) MaxRunningCold() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.maxRunningCold
}

func (b *Backend) putFaults(w http.ResponseWriter, r *http.Request) {
	var f BackendFaults
	if readJSON(w, r, &f) {
		b.SetFaults(f)
	}
}

func (b *Backend) getRuns(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, struct{ Runs int }{b.RunCount(r.PathValue("id"))})
}

// handleHealth reports the server's state and load.
func (b *Backend) handleHealth(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	writeJSON(w, struct {
		State granter.ServerState
		Load  int
	}{b.state(), b.running + b.queued + b.faults.LoadBias})
}

// state returns the state that the server reports. The caller holds the lock.
func (b *Backend) state() granter.ServerState {
	switch {
	case b.faults.Draining:
		return granter.ServerDraining
	case b.served < b.cfg.WarmAfter:
		return granter.ServerCold
	}
	return granter.ServerLive
}

// waitUntilUnfrozen waits while the server is frozen, or until ctx ends.
func (b *Backend) waitUntilUnfrozen(ctx context.Context) {
	b.mu.Lock()
	unfrozen := b.unfrozen
	b.mu.Unlock()
	select {
	case <-unfrozen:
	case <-ctx.Done():
	}
}

// handleOrder handles an order of a coordinator in CBOR and answers with a granter.OrderAnswer.
func (b *Backend) handleOrder(w http.ResponseWriter, r *http.Request) {
	b.waitUntilUnfrozen(r.Context())
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var o granter.Order
	if err := cbor.Unmarshal(data, &o); err != nil || o.Server != b.cfg.Server {
		http.Error(w, "order does not decode or names another backend server", http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	answer := b.fence.HandleOrder(b.clock(), o)
	answer.State = b.state()
	answer.Load = b.running + b.queued + b.faults.LoadBias
	close(b.orderHandled)
	b.orderHandled = make(chan struct{})
	b.mu.Unlock()
	reply, err := cbor.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(reply)
}

// HeaderCrash is the header of a request that crashes the server that runs it. Any non-empty value has this effect.
const HeaderCrash = "X-Standin-Crash"

// handleRequest runs a caller's request as soon as a slot is free, or refuses it.
func (b *Backend) handleRequest(w http.ResponseWriter, r *http.Request) {
	b.waitUntilUnfrozen(r.Context())
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if id := r.Header.Get(sender.HeaderRequestID); id != "" {
		w.Header().Set(sender.HeaderRequestID, id)
	}
	refused := b.acquireSlot(r.Context())
	if refused != "" {
		refuse(w, refused)
		return
	}
	defer b.releaseSlot()
	b.run(w, r, body)
}

// refuse answers that the request did not run; kind is one of the sender.Refused values.
func refuse(w http.ResponseWriter, kind string) {
	w.Header().Set(sender.HeaderRefused, kind)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// acquireSlot takes a slot, or waits for one in the bounded queue. It returns an empty string once the request has a
// slot, sender.RefusedShed if the queue is full, or sender.RefusedExpired if ctx ends first.
func (b *Backend) acquireSlot(ctx context.Context) (refused string) {
	b.mu.Lock()
	if b.faults.ShedAll || b.queued >= b.cfg.QueueLength && len(b.slots) == cap(b.slots) {
		b.mu.Unlock()
		return sender.RefusedShed
	}
	b.queued++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.queued--
		b.mu.Unlock()
	}()
	select {
	case b.slots <- struct{}{}:
		return ""
	case <-ctx.Done():
		return sender.RefusedExpired
	}
}

func (b *Backend) releaseSlot() { <-b.slots }

// run checks the grant and the deadline of a request that has a slot, runs it and answers. It breaks the connection
// without an answer if the request crashes the server or is ended before it is done.
func (b *Backend) run(w http.ResponseWriter, r *http.Request, body []byte) {
	g, term, deadline := parseFencing(r)
	now := b.clock()
	b.mu.Lock()
	if !deadline.IsZero() && !now.Before(deadline) {
		b.mu.Unlock()
		refuse(w, sender.RefusedExpired)
		return
	}
	if err := b.fence.Begin(now, g, term); err != nil {
		b.mu.Unlock()
		refuse(w, sender.RefusedFenced)
		return
	}
	if r.Header.Get(HeaderCrash) != "" {
		b.crash(now)
		b.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	b.running++
	if b.served < b.cfg.WarmAfter {
		b.maxRunningCold = max(b.maxRunningCold, b.running)
	}
	id := r.Header.Get(sender.HeaderRequestID)
	b.runs[id]++
	serviceTime := b.cfg.ServiceTime * time.Duration(max(1, b.faults.SlowFactor))
	b.mu.Unlock()
	completed := b.waitServiceTime(r.Context(), serviceTime, g)
	b.mu.Lock()
	b.fence.End(g)
	b.running--
	b.served++
	cutAnswer := b.faults.CutAnswers
	var reply []byte
	if completed {
		reply = b.apply(r, body)
	}
	b.mu.Unlock()
	if !completed {
		panic(http.ErrAbortHandler) // The grant was no longer in force or the caller closed the connection.
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(reply)))
	if cutAnswer {
		_, _ = w.Write(reply[:len(reply)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(reply)
}

// crash drops the state that the process keeps in memory and starts the next process. The counts of runs stay. The
// caller holds the lock.
func (b *Backend) crash(now time.Time) {
	b.crashes++
	b.incarnation++
	b.fence = NewFence(now, b.cfg.Server, b.incarnation, b.cfg.ChecksGrants)
	b.logs = map[string][]string{}
	b.served = 0
}

// Crashes returns how many times the server has crashed.
func (b *Backend) Crashes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes
}

// parseFencing reads the grant, the term and the deadline from a request's headers. A header that is missing or is not
// a number counts as 0; the deadline is then the zero time.
func parseFencing(r *http.Request) (granter.Grant, identifier.Term, time.Time) {
	number := func(name string) uint64 {
		n, _ := strconv.ParseUint(r.Header.Get(name), 10, 64)
		return n
	}
	g := granter.Grant{Partition: identifier.Partition(number(sender.HeaderPartition)), Epoch: identifier.Epoch(number(sender.HeaderEpoch))}
	var deadline time.Time
	if ms := number(sender.HeaderDeadline); ms > 0 {
		deadline = time.UnixMilli(int64(ms))
	}
	return g, identifier.Term(number(sender.HeaderTerm)), deadline
}

// waitServiceTime waits for the time d that a request takes. It returns false, without waiting longer, if the request's
// grant is no longer in force or if ctx ends.
func (b *Backend) waitServiceTime(ctx context.Context, d time.Duration, g granter.Grant) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		b.mu.Lock()
		mayRun := b.fence.MayRun(b.clock(), g)
		orderHandled := b.orderHandled
		b.mu.Unlock()
		if !mayRun {
			return false
		}
		select {
		case <-t.C:
			return true
		case <-ctx.Done():
			return false
		case <-orderHandled:
		case <-time.After(leaseCheckInterval):
		}
	}
}

// leaseCheckInterval is the time between two checks of a running request's grant.
const leaseCheckInterval = 20 * time.Millisecond

// apply runs a request on its key's log and returns the answer's body. GET and HEAD requests read; all others append
// their body to the log. The answer names the server, the key, the number of entries in the log and the last entry. The
// caller holds the lock.
func (b *Backend) apply(r *http.Request, body []byte) []byte {
	key := r.Header.Get(sender.HeaderKey)
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.logs[key] = append(b.logs[key], string(body))
	}
	last := ""
	if n := len(b.logs[key]); n > 0 {
		last = b.logs[key][n-1]
	}
	return fmt.Appendf(nil, "Server=%s Key=%s Entries=%d Last=%s\n", b.cfg.Server, key, len(b.logs[key]), last)
}
