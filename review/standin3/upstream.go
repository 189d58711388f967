package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
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
	granted time.Time // End of the lease as it was granted: work that was begun before a release may go on until then.
}

// upstream is a stand-in for an upstream of a sharded service.
type upstream struct {
	id, service, zone, address string
	born                       int64
	world                      *world
	listener                   net.Listener
	faulty                     bool // Spoils some of its answers while the world says so.

	mu       sync.Mutex
	sequence int64
	holds    []hold
	running  map[int]*run
	nextRun  int
	waiting  int
	free     *sync.Cond
}

// run is a request at which an upstream works.
type run struct {
	id    string
	key   int
	since time.Time
}

func newUpstream(w *world, id, service, zone string, faulty bool) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{
		id: id, service: service, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), world: w, listener: l, faulty: faulty,
		holds: make([]hold, keyCount), running: map[int]*run{},
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
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_left_s": 0, "sequence": u.sequence, "born": u.born,
	}
	u.mu.Unlock()
	u.world.store.put("servers", u.id, entry)
}

func (u *upstream) beat() {
	for {
		u.write()
		time.Sleep(beatInterval)
	}
}

func (u *upstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
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
	}()
	for r := range requests {
		answer := u.handle(ctx, r)
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		if bytes.Contains(answer, []byte("\r\nConnection: close")) {
			return
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
		return u.encode(r, http.StatusOK, map[string]string{headerInstance: u.id}, "")
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
	if status != http.StatusOK {
		return u.encode(r, status, headers, "")
	}
	if u.world.how != wrongStatus {
		return u.encodeChunked(r, headers, wholeBody(u.id, id))
	}
	answer := u.encode(r, status, headers, wholeBody(u.id, id))
	if u.world.spoils(u, spoiledShare) {
		u.spoil(r, answer, "HTTP/1.1 200", "HTTP/1.1 204")
	}
	return answer
}

// encodeChunked returns a success whose body comes in chunks. Some of these close their connection.
func (u *upstream) encodeChunked(r received, headers map[string]string, body string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\n%s: %s\r\n", headerID, r.Header.Get(headerID))
	for name, value := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	closes := u.world.chance(closingShare)
	if closes {
		b.WriteString("Connection: close\r\n")
	}
	fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	answer := b.Bytes()
	switch {
	case !closes || !u.world.spoils(u, spoiledShare/closingShare):
	case u.world.how == wrongVersion:
		u.spoil(r, answer, "HTTP/1.1 200", "HTTP/1.0 200")
	case u.world.how == wrongLineEnd:
		u.spoil(r, answer, "close\r\n", "close\n\n")
	}
	return answer
}

// closingShare is the share of the answers in chunks that close their connection.
const closingShare = 0.1

// spoil changes a byte in the head of an answer.
func (u *upstream) spoil(r received, answer []byte, sound, spoiled string) {
	copy(answer[bytes.Index(answer, []byte(sound)):], spoiled)
	u.world.log("spoil", u.id, fmt.Sprintf("request %s gets %q", r.Header.Get(headerID), answer))
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
	u.mu.Unlock()
	for name, value := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Keep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return b.Bytes()
}
