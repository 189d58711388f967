package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// holding is a range of keys that an upstream holds.
type holding struct {
	from, to int
	fence    uint64
	until    time.Time
}

// run is one request that an upstream has begun to run.
type run struct {
	id    string
	key   int
	begun time.Time
	ended time.Time // Zero while it runs.
}

// upstream is a stand-in of one process of an upstream. Each connection serves one request at a time.
type upstream struct {
	id, service, zone, address string
	slots                      int
	sharded                    bool
	rec                        *recorder
	st                         *store
	listener                   net.Listener
	work                       func(r *http.Request) time.Duration // How long a request runs.
	body                       func(r *http.Request) []byte        // The body of its answer.
	// respond writes the answer to a request that ran; nil for a sound one.
	respond func(c *upstreamConn, r *http.Request, answer []byte) (handled bool)
	// repeatOrders is how often the upstream still sends the answer to the order before on a connection once more, late: when the
	// next answer on the connection is expected, which is that of a release of keys on which it is at work.
	repeatOrders atomic.Int64
	orders       atomic.Int64 // Answers to orders so far.
	quiet        bool         // Its runs are not recorded one by one.
	born         int64

	mu       sync.Mutex
	ended    *sync.Cond
	seen     []uint64 // The highest fence by key.
	held     []holding
	granted  []holding // All grants so far, whatever became of them.
	onGrant  func(from, to int, fence uint64)
	runs     []*run
	running  int
	sequence int64
	state    string
	stop     chan struct{}
	conns    map[net.Conn]bool
	gone     bool
	// silent makes the upstream write no entry, as if it were cut off from the store.
	silent bool
	// The upstream turns requests away until a time, and asks for none for retryAfter.
	turnsAwayUntil time.Time
	arrivals       []time.Time // Of requests that it turned away.
	refusedAt      time.Time   // When it first did.
}

const (
	// retryAfter is the time for which an upstream that turns requests away wants none.
	retryAfter = 8 * time.Second
	// rejectionTime is how long such an upstream takes to answer.
	rejectionTime = 80 * time.Millisecond
)

// upstreamConn is a connection of an upstream.
type upstreamConn struct {
	net.Conn
	u      *upstream
	reader *bufio.Reader
	last   []byte // The last answer to an order.
}

func newUpstream(rec *recorder, st *store, id, service, zone, address string, slots int, sharded bool) (*upstream, error) {
	u := &upstream{
		id: id, service: service, zone: zone, slots: slots, sharded: sharded, rec: rec, st: st, seen: make([]uint64, 65536),
		born: time.Now().UnixMilli(), state: "ready", stop: make(chan struct{}), conns: map[net.Conn]bool{},
		work: func(*http.Request) time.Duration { return 20 * time.Millisecond },
		body: func(r *http.Request) []byte { return []byte("answer of " + id + " to " + r.Header.Get(hID)) },
	}
	u.ended = sync.NewCond(&u.mu)
	var err error
	if u.listener, err = net.Listen("tcp", address); err != nil {
		return nil, err
	}
	u.address = u.listener.Addr().String()
	go u.accept()
	go u.beat()
	return u, nil
}

// beatInterval is beat_interval_s of the settings.
const beatInterval = 870 * time.Millisecond

// register writes the entry of the upstream.
func (u *upstream) register() {
	u.mu.Lock()
	if u.gone || u.silent {
		u.mu.Unlock()
		return
	}
	u.sequence++
	spec := map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots, "state": u.state,
		"cold_left_s": 0, "sequence": u.sequence, "born": u.born,
	}
	u.mu.Unlock()
	u.st.put("servers", u.id, spec)
}

func (u *upstream) beat() {
	for {
		u.register()
		select {
		case <-u.stop:
			return
		case <-time.After(beatInterval):
		}
	}
}

// setState changes the state that the upstream reports, and reports it at once.
func (u *upstream) setState(state string) {
	u.mu.Lock()
	u.state = state
	u.mu.Unlock()
	u.register()
}

// close ends the process of the upstream.
func (u *upstream) close() {
	u.mu.Lock()
	if u.gone {
		u.mu.Unlock()
		return
	}
	u.gone = true
	conns := u.conns
	u.conns = map[net.Conn]bool{}
	u.mu.Unlock()
	close(u.stop)
	_ = u.listener.Close()
	for c := range conns {
		_ = c.Close()
	}
}

func (u *upstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[c] = true
		u.mu.Unlock()
		uc := &upstreamConn{Conn: c, u: u, reader: bufio.NewReader(c)}
		go func() {
			uc.serve()
			_ = c.Close()
			u.mu.Lock()
			delete(u.conns, c)
			u.mu.Unlock()
		}()
	}
}

func (c *upstreamConn) serve() {
	for {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var ok bool
		switch r.URL.Path {
		case "/grant", "/release":
			ok = c.serveOrder(r, body)
		case "/health":
			ok = c.write(c.u.head("200 OK", "", nil))
		default:
			ok = c.serveRequest(r)
		}
		if !ok {
			return
		}
	}
}

// write writes bytes and reports whether that worked.
func (c *upstreamConn) write(p []byte) bool {
	_, err := c.Write(p)
	return err == nil
}

// head returns an answer with a body.
func (u *upstream) head(status, id string, body []byte, fields ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %s\r\n%s: %s\r\n", status, hInstance, u.id)
	if id != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", hID, id)
	}
	u.mu.Lock()
	fmt.Fprintf(&b, "%s: %d,0,%d,100\r\n", hLoad, u.running, u.slots)
	u.mu.Unlock()
	for _, f := range fields {
		b.WriteString(f + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

// serveOrder serves a grant or a release.
func (c *upstreamConn) serveOrder(r *http.Request, body []byte) bool {
	u := c.u
	var o struct {
		From  int     `json:"from"`
		To    int     `json:"to"`
		Fence uint64  `json:"fence"`
		Hold  float64 `json:"hold_s"`
	}
	if json.Unmarshal(body, &o) != nil || o.From < 0 || o.To > 65535 || o.From > o.To {
		return c.write(u.head("400 Bad Request", "", nil))
	}
	if e := r.Header.Get(hExpect); e != "" && e != u.id {
		return c.write(u.head("421 Misdirected Request", "", nil, hNotRun+": 1"))
	}
	answer := u.head("200 OK", "", nil)
	if r.URL.Path == "/release" && c.last != nil && u.atWork(o.From, o.To) && u.repeatOrders.Add(-1) >= 0 {
		u.rec.add("upstream %s sends the answer to the order before once more, as a release of %d-%d arrives", u.id, o.From, o.To)
		if !c.write(c.last) {
			return false
		}
	}
	if r.URL.Path == "/grant" {
		if !u.grant(o.From, o.To, o.Fence, time.Duration(o.Hold*float64(time.Second))) {
			answer = u.head("409 Conflict", "", nil)
		}
	} else {
		u.release(o.From, o.To)
		answer = u.head("200 OK", "", nil, fmt.Sprintf("%s: h%d-%d", hHandover, o.From, o.Fence))
	}
	c.last = answer
	u.orders.Add(1)
	return c.write(answer)
}

// grant takes keys, unless a higher fence was seen on one of them.
func (u *upstream) grant(from, to int, fence uint64, hold time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for k := from; k <= to; k++ {
		if u.seen[k] > fence {
			return false
		}
	}
	for k := from; k <= to; k++ {
		u.seen[k] = fence
	}
	u.drop(from, to)
	h := holding{from, to, fence, time.Now().Add(hold)}
	u.held = append(u.held, h)
	u.granted = append(u.granted, h)
	if u.onGrant != nil {
		u.onGrant(from, to, fence)
	}
	return true
}

// drop removes a range from what is held. The caller holds the lock.
func (u *upstream) drop(from, to int) {
	var kept []holding
	for _, h := range u.held {
		if h.to < from || h.from > to {
			kept = append(kept, h)
			continue
		}
		if h.from < from {
			kept = append(kept, holding{h.from, from - 1, h.fence, h.until})
		}
		if h.to > to {
			kept = append(kept, holding{to + 1, h.to, h.fence, h.until})
		}
	}
	u.held = kept
}

// release stops new work on keys, and returns when the work that runs on them has ended.
func (u *upstream) release(from, to int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drop(from, to)
	for u.busy(from, to) {
		u.ended.Wait()
	}
}

// atWork is busy for a caller that does not hold the lock.
func (u *upstream) atWork(from, to int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.busy(from, to)
}

// busy reports whether a request runs on keys. The caller holds the lock.
func (u *upstream) busy(from, to int) bool {
	for _, r := range u.runs {
		if r.ended.IsZero() && r.key >= from && r.key <= to {
			return true
		}
	}
	return false
}

// holds reports whether the upstream holds a key, and until when. The caller holds the lock.
func (u *upstream) holds(key int) (time.Time, bool) {
	for _, h := range u.held {
		if h.from <= key && key <= h.to && time.Now().Before(h.until) {
			return h.until, true
		}
	}
	return time.Time{}, false
}

// serveRequest runs a request of a client.
func (c *upstreamConn) serveRequest(r *http.Request) bool {
	u := c.u
	id := r.Header.Get(hID)
	key := -1
	if n, err := strconv.Atoi(r.Header.Get(hKey)); err == nil {
		key = n
	}
	if e := r.Header.Get(hExpect); e != "" && e != u.id {
		return c.write(u.head("421 Misdirected Request", id, nil, hNotRun+": 1"))
	}
	if id == "" {
		return c.write(u.head("400 Bad Request", "", nil, hNotRun+": 1"))
	}
	u.mu.Lock()
	if u.sharded {
		if _, ok := u.holds(key); !ok {
			u.mu.Unlock()
			return c.write(u.head("421 Misdirected Request", id, nil, hNotRun+": 1"))
		}
	}
	if time.Now().Before(u.turnsAwayUntil) {
		u.arrivals = append(u.arrivals, time.Now())
		u.mu.Unlock()
		time.Sleep(rejectionTime)
		u.mu.Lock()
		if u.refusedAt.IsZero() {
			u.refusedAt = time.Now()
		}
		u.mu.Unlock()
		return c.write(u.head("503 Service Unavailable", id, nil, hNotRun+": 1", fmt.Sprintf("Retry-After: %g", retryAfter.Seconds())))
	}
	if u.running >= u.slots {
		u.mu.Unlock()
		return c.write(u.head("503 Service Unavailable", id, nil, hNotRun+": 1"))
	}
	u.running++
	rn := &run{id: id, key: key, begun: time.Now()}
	u.runs = append(u.runs, rn)
	u.mu.Unlock()
	if !u.quiet {
		u.rec.add("upstream %s begins %s %s key %d", u.id, r.Method, id, key)
	}
	time.Sleep(u.work(r))
	answer := u.head("200 OK", id, u.body(r), hSeal+": seal-"+u.id)
	u.mu.Lock()
	u.running--
	rn.ended = time.Now()
	u.ended.Broadcast()
	u.mu.Unlock()
	if !u.quiet {
		u.rec.add("upstream %s has run %s", u.id, id)
	}
	if u.respond != nil && u.respond(c, r, answer) {
		return false
	}
	return c.write(answer)
}
