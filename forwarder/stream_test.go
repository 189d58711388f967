package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/exchanger"
	"github.com/turmericlift/turmericlift/forwarder"
	"github.com/turmericlift/turmericlift/pipeliner"
	"github.com/turmericlift/turmericlift/rationer"
	"github.com/turmericlift/turmericlift/registrar"
	"github.com/turmericlift/turmericlift/scheduler"
)

// socketCore is a forwarder.Core that sends each request to one backend server over real connections.
type socketCore struct {
	core
	pool *exchanger.Pool
}

func (c *socketCore) Admit(context.Context, *scheduler.PendingRequest) (scheduler.Decision, bool) {
	return scheduler.Decision{Server: registrar.Entry{ID: "s"}}, true
}

func (c *socketCore) Exchange(ctx context.Context, _ registrar.Entry, _ scheduler.Send, r *exchanger.Request) (exchanger.Answer, error) {
	return c.pool.Do(ctx, r)
}

// startForwarder starts a Forwarder in front of a backend server that answers each connection's first request with write,
// and returns its address. Callers' connections are served by package pipeliner or by net/http's server.
func startForwarder(t testing.TB, pipelined bool, write func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					write(c)
				}
			}()
		}
	}()
	return startForwarderTo(t, l.Addr().String(), pipelined, table(), 1<<20)
}

// startForwarderTo is startForwarder for a server that runs at an address, with a configuration and bytes of memory for bodies.
func startForwarderTo(t testing.TB, server string, pipelined bool, table *director.Table, memory int64) string {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	k := &socketCore{core{table: table, retries: true}, exchanger.NewPool(server, 100, time.Now)}
	f := forwarder.New(names, noNotice, k, rationer.New(memory), time.Now, logrus.NewEntry(log))
	if pipelined {
		return startPipeliner(t, f)
	}
	front := httptest.NewUnstartedServer(f)
	front.Config.ConnContext = forwarder.WithCallerConn
	front.Start()
	t.Cleanup(front.Close)
	return front.Listener.Addr().String()
}

// startPipeliner serves callers' connections by package pipeliner and returns the address.
func startPipeliner(t testing.TB, f *forwarder.Forwarder) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := pipeliner.New(pipeliner.Settings{HeaderTimeout: 10 * time.Second, IdleTimeout: 75 * time.Second, MaxHeaderBytes: 64 << 10, MaxHeldBytes: 1 << 20, RequestContext: forwarder.WithArrival},
		f, f.IsIdempotent, noEvents{}, time.Now, logrus.NewEntry(log))
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// noEvents is a pipeliner.Observer that counts nothing.
type noEvents struct{}

func (noEvents) RequestStarted(int)  {}
func (noEvents) RequestsNotRead(int) {}
func (noEvents) AnswerPaused()       {}

// bothServers runs a test with net/http's server and with package pipeliner.
func bothServers(t *testing.T, test func(t *testing.T, pipelined bool)) {
	t.Helper()
	for name, pipelined := range map[string]bool{"Standard": false, "Pipeliner": true} {
		t.Run(name, func(t *testing.T) { test(t, pipelined) })
	}
}

const (
	largeBytes = 600000
	largeHead  = "HTTP/1.1 200 OK\r\nSeal: sealed\r\n"
)

// TestBrokenOff guards against an answer that breaks off halfway and reaches the caller as a complete success. The first
// part of a large answer is on its way to the caller before the rest is known.
func TestBrokenOff(t *testing.T) {
	t.Parallel()
	bothServers(t, testBrokenOff)
}

func testBrokenOff(t *testing.T, pipelined bool) {
	half := strings.Repeat("x", largeBytes/2)
	cases := map[string]struct {
		answer   string
		reset    bool // The backend server resets the connection after the answer.
		complete bool
	}{
		"Length":         {largeHead + "Content-Length: 600000\r\n\r\n" + half + half, false, true},
		"LengthBroken":   {largeHead + "Content-Length: 600000\r\n\r\n" + half, false, false},
		"Chunked":        {largeHead + "Transfer-Encoding: chunked\r\n\r\n493e0\r\n" + half + "\r\n493e0\r\n" + half + "\r\n0\r\n\r\n", false, true},
		"ChunkedBroken":  {largeHead + "Transfer-Encoding: chunked\r\n\r\n493e0\r\n" + half + "\r\n", false, false},
		"NoLength":       {largeHead + "\r\n" + half + half, false, true},
		"NoLengthBroken": {largeHead + "\r\n" + half, true, false},
	}
	for name, c := range cases {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+strings.TrimPrefix(protocol, "HTTP/"), func(t *testing.T) {
				t.Parallel()
				address := startForwarder(t, pipelined, func(server net.Conn) {
					_, _ = io.WriteString(server, c.answer)
					if c.reset {
						time.Sleep(50 * time.Millisecond) // The first part is on its way to the caller.
						_ = server.(*net.TCPConn).SetLinger(0)
					}
				})
				caller, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = caller.Close() }()
				_, _ = io.WriteString(caller, "GET /read/a "+protocol+"\r\nHost: h\r\nId: id-1\r\nLeft: 2000\r\n\r\n")
				resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
				if err != nil {
					if c.complete {
						t.Fatal(err)
					}
					return // The reset has overtaken the head.
				}
				defer func() { _ = resp.Body.Close() }()
				body, err := io.ReadAll(resp.Body)
				success := err == nil && resp.StatusCode == http.StatusOK
				if success != c.complete || success && len(body) != largeBytes {
					t.Errorf("status %d with %d bytes, %v; want a complete answer: %t", resp.StatusCode, len(body), err, c.complete)
				}
			})
		}
	}
}

// TestSlowCallers guards against callers that read slowly or not at all: large answers to them must not fill the memory,
// hold up other callers, or keep their connections beyond the deadline.
func TestSlowCallers(t *testing.T) { bothServers(t, testSlowCallers) }

func testSlowCallers(t *testing.T, pipelined bool) {
	const slowCallers = 40
	const answerBytes = 64 << 20
	block := []byte(strings.Repeat("x", 1<<20))
	var open sync.WaitGroup
	open.Add(slowCallers)
	address := startForwarder(t, pipelined, func(server net.Conn) {
		if _, err := io.WriteString(server, largeHead+"Content-Length: 67108864\r\n\r\n"); err != nil {
			return
		}
		defer open.Done()
		for range answerBytes / len(block) {
			if _, err := server.Write(block); err != nil {
				return
			}
		}
	})
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range slowCallers {
		caller, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = caller.Close() }()
		_, _ = io.WriteString(caller, "GET /read/a HTTP/1.1\r\nHost: h\r\nId: id-1\r\nLeft: 2000\r\n\r\n")
		if _, err := caller.Read(make([]byte, 1)); err != nil { // The answer has begun.
			t.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&during)
	const perCaller = 512 << 10
	if n := int64(during.HeapAlloc) - int64(before.HeapAlloc); n > slowCallers*perCaller {
		t.Errorf("%d callers that do not read hold %d bytes of memory, want at most %d each", slowCallers, n, perCaller)
	}
	resp, err := http.Get("http://" + address + "/other/")
	if err != nil || resp.StatusCode != http.StatusNotFound {
		t.Errorf("another caller: %v, %v; want status 404", resp, err)
	}
	if err == nil {
		_ = resp.Body.Close()
	}
	open.Wait() // The backend server's connections end after the deadline, although no caller reads.
}

// TestSlowBody guards against a caller that never completes the body of its request and holds a goroutine for good.
func TestSlowBody(t *testing.T) {
	t.Parallel()
	bothServers(t, testSlowBody)
}

func testSlowBody(t *testing.T, pipelined bool) {
	address := startForwarder(t, pipelined, func(net.Conn) {})
	caller, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	_, _ = io.WriteString(caller, "POST /write/a HTTP/1.1\r\nHost: h\r\nId: id-1\r\nLeft: 200\r\nContent-Length: 10\r\n\r\nhalf")
	resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusRequestTimeout {
		t.Errorf("status %d, want 408, which says that the request has not run", resp.StatusCode)
	}
}
