package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

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
)

const (
	beatInterval = 870 * time.Millisecond
	slots        = 6
	queueLength  = 24
	// keyCount is the number of keys.
	keyCount = 1 << 16
)

// hold is what an upstream knows of a key.
type hold struct {
	fence   uint64
	until   time.Time // End of the lease; zero after a release.
	granted time.Time // End of the lease as it was granted, whatever was released since.
}

// upstream is a stand-in for an upstream of a sharded service.
type upstream struct {
	id, service, zone, address string
	born                       int64
	world                      *world
	listener                   net.Listener

	mu       sync.Mutex
	state    string
	sequence int64
	holds    []hold
	running  map[int]*run
	nextRun  int
	waiting  int
	free     *sync.Cond
	conns    map[net.Conn]struct{}
	ended    bool
	coldTill time.Time
	faulty   bool // Sends second copies of some answers while the world says so.

	// Guarded by the lock of the world.
	answers, copies int
}

// run is a request at which an upstream works.
type run struct {
	id    string
	key   int
	since time.Time
}

func newUpstream(w *world, id, service, zone string, cold time.Duration) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{
		id: id, service: service, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), world: w, listener: l, state: "ready",
		holds: make([]hold, keyCount), running: map[int]*run{}, conns: map[net.Conn]struct{}{}, coldTill: time.Now().Add(cold),
	}
	u.free = sync.NewCond(&u.mu)
	go u.accept()
	go u.beat()
	return u, nil
}

// write writes the upstream's entry.
func (u *upstream) write() {
	u.mu.Lock()
	u.sequence++
	entry := map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": slots, "state": u.state,
		"cold_left_s": math.Max(time.Until(u.coldTill).Seconds(), 0), "sequence": u.sequence, "born": u.born,
	}
	ended := u.ended
	u.mu.Unlock()
	if !ended {
		u.world.store.put("servers", u.id, entry)
	}
}

func (u *upstream) beat() {
	u.write()
	for {
		time.Sleep(beatInterval)
		u.mu.Lock()
		ended := u.ended
		u.mu.Unlock()
		if ended {
			return
		}
		u.write()
	}
}

// leave reports that the upstream drains, serves for as long as the pages say and a little longer, and ends.
func (u *upstream) leave() {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	u.write()
	time.Sleep(u.world.drain + 1500*time.Millisecond)
	u.mu.Lock()
	u.ended = true
	conns := u.conns
	u.conns = map[net.Conn]struct{}{}
	u.mu.Unlock()
	u.world.store.remove("servers", u.id)
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
		u.conns[c] = struct{}{}
		u.mu.Unlock()
		go u.serve(c)
	}
}

// received is a request as it was read from a connection.
type received struct {
	*http.Request
	body []byte
}

// serve serves the requests of a connection, one at a time. The work of a request is dropped when its connection ends.
func (u *upstream) serve(c net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	requests := make(chan received)
	go func() {
		defer cancel()
		defer close(requests)
		reader := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			select {
			case requests <- received{r, body}:
			case <-ctx.Done():
				return
			}
		}
	}()
	defer func() {
		cancel()
		_ = c.Close()
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
	}()
	var copied []byte // A second copy of the last answer, which comes late.
	var copiedOf string
	for r := range requests {
		if copied != nil {
			u.world.log("copy", u.id, fmt.Sprintf("second copy of the answer to %s precedes the answer to %s", copiedOf, r.URL.Path))
			if _, err := c.Write(copied); err != nil {
				return
			}
			copied = nil
		}
		answer := u.handle(ctx, r)
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		if bytes.Contains(answer[:bytes.Index(answer, []byte("\r\n\r\n"))], []byte("Connection: close")) {
			return
		}
		if u.world.spoils(u, isOrder(r.URL.Path)) {
			copied, copiedOf = answer, r.URL.Path
		}
	}
}

func isOrder(path string) bool { return path == "/grant" || path == "/release" }

func (u *upstream) handle(ctx context.Context, r received) []byte {
	if expect := r.Header.Get(headerExpect); expect != "" && expect != u.id {
		return u.encode(r, http.StatusMisdirectedRequest, map[string]string{headerNotRun: "1", headerInstance: u.id}, "")
	}
	switch {
	case isOrder(r.URL.Path):
		return u.order(r)
	case r.URL.Path == "/health":
		u.mu.Lock()
		leaves := u.state != "ready"
		cold := time.Until(u.coldTill)
		u.mu.Unlock()
		h := map[string]string{headerInstance: u.id}
		if cold > 0 {
			h["X-Turmericlift-Cold-Remaining"] = strconv.FormatInt(cold.Milliseconds(), 10)
		}
		if leaves {
			return u.encode(r, http.StatusServiceUnavailable, h, "")
		}
		return u.encode(r, http.StatusOK, h, "")
	}
	return u.work(ctx, r)
}

// order handles a grant or a release.
func (u *upstream) order(r received) []byte {
	var o struct {
		From, To int
		Fence    uint64
		Hold     float64 `json:"hold_s"`
	}
	if json.Unmarshal(r.body, &o) != nil || o.From < 0 || o.To < o.From || o.To >= keyCount {
		return u.encode(r, http.StatusBadRequest, nil, "")
	}
	if r.URL.Path == "/release" {
		return u.release(r, o.From, o.To, o.Fence)
	}
	now := time.Now()
	u.mu.Lock()
	isNew := false
	for k := o.From; k <= o.To; k++ {
		if u.holds[k].fence > o.Fence {
			u.mu.Unlock()
			return u.encode(r, http.StatusConflict, nil, "")
		}
		isNew = isNew || u.holds[k].fence != o.Fence || !now.Before(u.holds[k].until)
	}
	until := now.Add(time.Duration(o.Hold * float64(time.Second)))
	for k := o.From; k <= o.To; k++ {
		u.holds[k] = hold{o.Fence, until, until}
	}
	u.mu.Unlock()
	if isNew {
		u.world.log("grant", u.id, fmt.Sprintf("keys %d-%d fence %d hold %.1f s", o.From, o.To, o.Fence, o.Hold))
		u.world.judgeGrant(u, now, o.From, o.To, o.Fence)
		u.world.judgeFence(u, o.From, o.To, o.Fence)
	}
	return u.encode(r, http.StatusOK, nil, "")
}

// release stops new work on keys, and answers when the work that runs on them has ended.
func (u *upstream) release(r received, from, to int, fence uint64) []byte {
	u.mu.Lock()
	for k := from; k <= to; k++ {
		if u.holds[k].fence <= fence {
			u.holds[k].until = time.Time{}
		}
	}
	began := time.Now()
	for u.runsOn(from, to) != nil {
		u.free.Wait()
	}
	u.mu.Unlock()
	u.world.log("release", u.id, fmt.Sprintf("keys %d-%d fence %d answered after %d ms", from, to, fence, time.Since(began).Milliseconds()))
	return u.encode(r, http.StatusOK, map[string]string{headerHandover: fmt.Sprintf("%016x", rand.Uint64())}, "")
}

// runsOn returns a request that runs on a key of a range, or nil. The caller holds the lock.
func (u *upstream) runsOn(from, to int) *run {
	for _, x := range u.running {
		if x.key >= from && x.key <= to {
			return x
		}
	}
	return nil
}

// work runs a client's request, or turns it away.
func (u *upstream) work(ctx context.Context, r received) []byte {
	id := r.Header.Get(headerID)
	key, err := strconv.Atoi(r.Header.Get(headerKey))
	if id == "" || err != nil || key < 0 || key >= keyCount {
		return u.encode(r, http.StatusBadRequest, map[string]string{headerNotRun: "1"}, "")
	}
	left, err := strconv.Atoi(r.Header.Get(headerDeadline))
	if err != nil {
		left = 10000
	}
	deadline := time.Now().Add(time.Duration(left) * time.Millisecond)
	u.mu.Lock()
	if len(u.running) >= slots && u.waiting >= queueLength {
		u.mu.Unlock()
		return u.encode(r, http.StatusServiceUnavailable, map[string]string{headerNotRun: "1"}, "")
	}
	u.waiting++
	stop := context.AfterFunc(ctx, func() { u.free.Broadcast() })
	for len(u.running) >= slots && ctx.Err() == nil {
		u.free.Wait()
	}
	stop()
	u.waiting--
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		u.mu.Unlock()
		return nil
	case now.After(deadline):
		u.mu.Unlock()
		return u.encode(r, http.StatusServiceUnavailable, map[string]string{headerNotRun: "1"}, "")
	case !now.Before(u.holds[key].until):
		u.mu.Unlock()
		return u.encode(r, http.StatusMisdirectedRequest, map[string]string{headerNotRun: "1"}, "")
	}
	n := u.nextRun
	u.nextRun++
	x := &run{id, key, now}
	u.running[n] = x
	u.mu.Unlock()
	u.world.judgeRun(u, x)
	status := u.execute(ctx, key, now, deadline)
	u.mu.Lock()
	delete(u.running, n)
	u.mu.Unlock()
	u.free.Broadcast()
	u.world.endRun(u, x, status)
	if status == 0 {
		return nil
	}
	headers := map[string]string{headerSeal: "seal." + u.id + "." + id}
	body := u.world.body(u.id, id)
	if how := u.world.malforms(u); how != "" && status == http.StatusOK {
		return u.malformed(r, how, headers, body)
	}
	return u.encode(r, status, headers, body)
}

// malformed returns bytes that are no answer in HTTP: the version is one without chunks though the body comes in chunks, or
// the status is one without a body though there are a length and a body. The connection ends behind it.
func (u *upstream) malformed(r received, how string, headers map[string]string, body string) []byte {
	var b bytes.Buffer
	first, framing := "HTTP/1.0 200 OK", "Transfer-Encoding: chunked"
	framed := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	if how == "status" {
		first, framing, framed = "HTTP/1.1 204 OK", fmt.Sprintf("Content-Length: %d", len(body)), body
	}
	fmt.Fprintf(&b, "%s\r\n%s: %s\r\n", first, headerID, r.Header.Get(headerID))
	for name, value := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Connection: close\r\n%s\r\n\r\n%s", framing, framed)
	u.world.log("spoil", u.id, fmt.Sprintf("request %s gets %q", r.Header.Get(headerID), b.String()))
	return b.Bytes()
}

// execute does the work of a request and returns its status; 0 if its connection ended.
func (u *upstream) execute(ctx context.Context, key int, began, deadline time.Time) int {
	end := began.Add(u.world.workTime())
	for {
		now := time.Now()
		u.mu.Lock()
		granted := u.holds[key].granted
		u.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return 0
		case !now.Before(end):
			return http.StatusOK
		case now.After(deadline):
			return http.StatusGatewayTimeout
		case now.After(granted):
			return http.StatusInternalServerError // The work has outlasted its lease.
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(end.Sub(now), 10*time.Millisecond)):
		}
	}
}

// encode returns an answer. Like all of them it has the ID of its request, if that has one.
func (u *upstream) encode(r received, status int, headers map[string]string, body string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id := r.Header.Get(headerID); id != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", headerID, id)
	}
	u.mu.Lock()
	fmt.Fprintf(&b, "%s: %d,%d,%d\r\n", headerLoad, len(u.running), u.waiting, slots)
	if u.state != "ready" {
		b.WriteString("Server-Leaving: 1\r\nConnection: close\r\n")
	}
	u.mu.Unlock()
	for name, value := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Keep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return b.Bytes()
}
