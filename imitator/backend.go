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

// BackendFaults are the faults that a backend server stand-in shows on request.
type BackendFaults struct {
	SlowFactor int  // Each request takes so many times longer; 0 and 1 change nothing.
	Draining   bool // The server says that it drains.
	ShedAll    bool // Every request is shed.
	Frozen     bool // Nothing is answered until the fault is taken back.
	LoadBias   int  // Added to the reported load.
	CutAnswers bool // Answers break off in the middle.
}

// BackendConfig describes a backend server stand-in.
type BackendConfig struct {
	Server       identifier.BackendServer
	ChecksGrants bool
	Slots        int
	QueueLength  int
	Work         time.Duration // Time that one request takes.
	ColdSlots    int           // Requests that a cold server bears.
	WarmAfter    int           // Requests after which a server is warm.
}

// Backend is the stand-in for a backend server: it keeps a log per key in memory and
// runs one request per slot.
type Backend struct {
	cfg   BackendConfig
	clock func() time.Time
	slots chan struct{}

	mu      sync.Mutex
	fence   *Fence
	faults  BackendFaults
	thaw    chan struct{} // Closed when the server is not frozen.
	logs    map[string][]string
	runs    map[string]int // By request ID.
	served  int
	running int
	queued  int
	// maxRunningCold is the most requests that ran at once while the server was cold.
	maxRunningCold int
	crashes        int
	incarnation    identifier.Incarnation
	change         chan struct{} // Closed and replaced when an order is taken.
}

// NewBackend returns a backend server's process that starts now. inc must be higher
// than that of the server's former processes.
func NewBackend(cfg BackendConfig, clock func() time.Time, inc identifier.Incarnation) *Backend {
	thaw := make(chan struct{})
	close(thaw)
	return &Backend{
		cfg: cfg, clock: clock, slots: make(chan struct{}, cfg.Slots),
		fence: NewFence(clock(), cfg.Server, inc, cfg.ChecksGrants), thaw: thaw,
		logs: map[string][]string{}, runs: map[string]int{}, incarnation: inc, change: make(chan struct{}),
	}
}

// Handler returns the server's HTTP interface.
func (b *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+sender.OrderPath, b.order)
	mux.HandleFunc("PUT /standin/faults", b.putFaults)
	mux.HandleFunc("GET /standin/runs/{id}", b.getRuns)
	mux.HandleFunc("GET /health", b.health)
	mux.HandleFunc("/", b.request)
	return mux
}

// SetFaults replaces the faults that the server shows.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f.Frozen && !b.faults.Frozen {
		b.thaw = make(chan struct{})
	}
	if !f.Frozen && b.faults.Frozen {
		close(b.thaw)
	}
	b.faults = f
}

// Runs returns how often a request ID was run.
func (b *Backend) Runs(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// MaxRunningCold returns the most requests that ran at once while the server was cold.
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
	writeJSON(w, struct{ Runs int }{b.Runs(r.PathValue("id"))})
}

func (b *Backend) health(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	writeJSON(w, struct {
		State granter.ServerState
		Load  int
	}{b.state(), b.running + b.queued + b.faults.LoadBias})
}

func (b *Backend) state() granter.ServerState {
	switch {
	case b.faults.Draining:
		return granter.ServerDraining
	case b.served < b.cfg.WarmAfter:
		return granter.ServerCold
	}
	return granter.ServerLive
}

// frozen waits while the server is frozen.
func (b *Backend) frozen(ctx context.Context) {
	b.mu.Lock()
	thaw := b.thaw
	b.mu.Unlock()
	select {
	case <-thaw:
	case <-ctx.Done():
	}
}

func (b *Backend) order(w http.ResponseWriter, r *http.Request) {
	b.frozen(r.Context())
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var o granter.Order
	if err := cbor.Unmarshal(data, &o); err != nil || o.Server != b.cfg.Server {
		http.Error(w, "order does not decode or is another server's", http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	answer := b.fence.Take(b.clock(), o)
	answer.State = b.state()
	answer.Load = b.running + b.queued + b.faults.LoadBias
	close(b.change)
	b.change = make(chan struct{})
	b.mu.Unlock()
	reply, err := cbor.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(reply)
}

// HeaderCrash marks a request that crashes the server that runs it.
const HeaderCrash = "X-Standin-Crash"

func (b *Backend) request(w http.ResponseWriter, r *http.Request) {
	b.frozen(r.Context())
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	refused := b.enter(r.Context())
	if refused != "" {
		refuse(w, refused)
		return
	}
	defer b.leave()
	b.run(w, r, body)
}

func refuse(w http.ResponseWriter, kind string) {
	w.Header().Set(sender.HeaderRefused, kind)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// enter takes a slot, or waits for one in the bounded queue.
func (b *Backend) enter(ctx context.Context) (refused string) {
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
		return sender.RefusedLate
	}
}

func (b *Backend) leave() { <-b.slots }

func (b *Backend) run(w http.ResponseWriter, r *http.Request, body []byte) {
	g, term, deadline := fencing(r)
	now := b.clock()
	b.mu.Lock()
	if !deadline.IsZero() && !now.Before(deadline) {
		b.mu.Unlock()
		refuse(w, sender.RefusedLate)
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
	work := b.cfg.Work * time.Duration(max(1, b.faults.SlowFactor))
	b.mu.Unlock()
	done := b.work(r.Context(), work, g)
	b.mu.Lock()
	b.fence.End(g)
	b.running--
	b.served++
	cut := b.faults.CutAnswers
	var reply []byte
	if done {
		reply = b.apply(r, body)
	}
	b.mu.Unlock()
	if !done {
		panic(http.ErrAbortHandler) // Ended by its lease or its caller.
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(reply)))
	if cut {
		_, _ = w.Write(reply[:len(reply)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(reply)
}

// crash loses what the process held in memory and starts the next one.
func (b *Backend) crash(now time.Time) {
	b.crashes++
	b.incarnation++
	b.fence = NewFence(now, b.cfg.Server, b.incarnation, b.cfg.ChecksGrants)
	b.logs = map[string][]string{}
	b.served = 0
}

// Crashes returns how often the server has crashed.
func (b *Backend) Crashes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes
}

func fencing(r *http.Request) (granter.Grant, identifier.Term, time.Time) {
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

// work takes the time that the request needs, and ends it when its grant ends.
func (b *Backend) work(ctx context.Context, d time.Duration, g granter.Grant) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		b.mu.Lock()
		may := b.fence.MayRun(b.clock(), g)
		change := b.change
		b.mu.Unlock()
		if !may {
			return false
		}
		select {
		case <-t.C:
			return true
		case <-ctx.Done():
			return false
		case <-change:
		case <-time.After(leaseCheck):
		}
	}
}

// leaseCheck is the time between two checks of a running request's grant.
const leaseCheck = 20 * time.Millisecond

// apply runs the request on the key's log: writes append their body, and every
// answer names the server and the length of the log.
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
