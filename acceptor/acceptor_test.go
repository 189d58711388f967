package acceptor_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/acceptor"
)

// bounded is a server behind a Listener.
type bounded struct {
	t        *testing.T
	address  string
	listener *acceptor.Listener

	mu       sync.Mutex
	refusals []acceptor.Refusal
	served   int
}

// limits are the bounds of these tests.
func limits() acceptor.Limits {
	return acceptor.Limits{
		Connections: 4, Writers: 2, HeadMemory: 1 << 20, HeadBytes: func() int { return 16 << 10 },
		UnreadBodyTime: 100 * time.Millisecond, OneAtATime: true,
	}
}

// serve serves the paths /echo (answers the body), /ignore (does not read it), /large (a large answer) and /wait (waits until
// release is closed) within limits until the test ends.
func serve(t *testing.T, l acceptor.Limits, release <-chan struct{}) *bounded {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &bounded{t: t, address: inner.Addr().String()}
	b.listener = acceptor.New(inner, l, "Id", time.Now, func(r acceptor.Refusal) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.refusals = append(b.refusals, r)
	})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
		var body []byte
		if r.URL.Path != "/ignore" {
			data, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			body = data
		}
		b.mu.Lock()
		b.served++
		b.mu.Unlock()
		if r.URL.Path == "/large" {
			body = make([]byte, 32<<20)
		}
		_, _ = w.Write(body) // An error means that the caller has left.
	})
	server := &http.Server{Handler: b.listener.Handler(handler), ConnContext: acceptor.WithConn, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(b.listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return b
}

// dial opens a connection and sends a text.
func (b *bounded) dial(text string) (net.Conn, *bufio.Reader) {
	b.t.Helper()
	c, err := net.Dial("tcp", b.address)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(c, text) // An error is followed by one of the answer.
	return c, bufio.NewReader(c)
}

// status reads an answer and returns its status, 0 if the connection ends without one, and its body.
func status(r *bufio.Reader) (int, string) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body) // What has arrived is compared.
	return resp.StatusCode, string(body)
}

// lastBound returns the bound of the last refusal.
func (b *bounded) lastBound() acceptor.Bound {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.refusals) == 0 {
		return ""
	}
	return b.refusals[len(b.refusals)-1].Bound
}

// echo checks that an ordinary request is served.
func (b *bounded) echo(what string) {
	b.t.Helper()
	_, r := b.dial("PUT /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello")
	if s, body := status(r); s != http.StatusOK || body != "hello" {
		b.t.Errorf("%s: status %d, %q", what, s, body)
	}
}

// settle lets connections wait for longer than the time that each caller has for its request.
func settle() { time.Sleep(400 * time.Millisecond) }

// TestLongestWaitingCloses guards against callers that lock others out by connections on which nothing happens: the one that
// has waited longest is closed for a new one, and told that its request has not run if it has sent a part of it.
func TestLongestWaitingCloses(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		text string
		want int
	}{
		"Nothing":        {"", http.StatusRequestTimeout},
		"HalfHead":       {"GET /echo HT", http.StatusRequestTimeout},
		"IncompleteBody": {"PUT /echo HTTP/1.1\r\nHost: h\r\nId: one\r\nContent-Length: 5\r\n\r\nhell", http.StatusRequestTimeout},
		"Chunks":         {"PUT /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", http.StatusRequestTimeout},
		"Idle":           {"GET /echo HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusOK},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := serve(t, limits(), nil)
			_, first := b.dial(c.text)
			settle()
			for range 3 {
				b.dial(c.text)
			}
			settle()
			b.echo("ordinary request at the bound")
			if s, _ := status(first); s != c.want {
				t.Errorf("first connection: status %d, want %d", s, c.want)
			}
			if _, err := first.ReadByte(); err == nil {
				t.Error("first connection is open")
			}
			if got := b.lastBound(); got != acceptor.BoundConnections {
				t.Errorf("bound %q", got)
			}
			if open := b.listener.Open(); open > 4 {
				t.Errorf("%d connections open", open)
			}
		})
	}
}

// TestRunningRequestsStay guards against requests that are being run and are cut off for a new connection. The new one is
// refused instead.
func TestRunningRequestsStay(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	b := serve(t, limits(), release)
	var readers []*bufio.Reader
	for range 4 {
		_, r := b.dial("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		readers = append(readers, r)
	}
	settle()
	_, r := b.dial("")
	if s, body := status(r); s != http.StatusServiceUnavailable {
		t.Errorf("new connection: status %d, %s; want 503", s, body)
	}
	close(release)
	for _, r := range readers {
		if s, body := status(r); s != http.StatusOK {
			t.Errorf("running request: status %d, %s", s, body)
		}
	}
}

// TestHeads guards against heads whose memory is not bounded, and against a bound that a proper request meets: also a body or
// a next request that looks like a head, and heads of which a part was read with the request before.
func TestHeads(t *testing.T) {
	t.Parallel()
	fields := func(n int, size int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "%d:%s\r\n", i, strings.Repeat("x", size))
		}
		return b.String()
	}
	lines := strings.Repeat("\r\nx: y\r\n", 10000)
	cases := map[string]struct {
		text string
		want []int
	}{
		"Ordinary":   {"GET /echo HTTP/1.1\r\nHost: h\r\n\r\n", []int{200}},
		"Largest":    {"GET /echo HTTP/1.1\r\nHost: h\r\n" + fields(1, 16000) + "\r\n", []int{200}},
		"BytesOver":  {"GET /echo HTTP/1.1\r\nHost: h\r\n" + fields(1, 24000) + "\r\n", []int{431}},
		"FieldsOver": {"GET /echo HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", 6500) + "\r\n", []int{431}},
		"MemoryOver": {"GET /echo HTTP/1.1\r\nHost: h\r\n" + fields(2000, 0) + "\r\n", []int{503}},
		"LaterOver":  {"GET /echo HTTP/1.1\r\nHost: h\r\n\r\nGET /echo HTTP/1.1\r\nHost: h\r\n" + fields(1, 32000) + "\r\n", []int{200, 431}},
		"LinesInBody": {fmt.Sprintf("PUT /ignored HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(lines), lines) +
			"GET /echo HTTP/1.1\r\nHost: h\r\n\r\n", []int{200, 200}},
		"PipelinedBody": {"GET /echo HTTP/1.1\r\nHost: h\r\n\r\n" + fmt.Sprintf("PUT /echo HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(lines), lines) +
			"GET /echo HTTP/1.1\r\nHost: h\r\n\r\n", []int{200, 200, 200}},
		"Many": {strings.Repeat("GET /echo HTTP/1.1\r\nHost: h\r\n"+fields(100, 10)+"\r\n", 50), nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := limits()
			if name == "FieldsOver" {
				l.HeadMemory = 16 << 20 // Otherwise it is exceeded first.
			}
			b := serve(t, l, nil)
			conn, r := b.dial("")
			go func() { _, _ = io.WriteString(conn, c.text) }()
			want := c.want
			if want == nil {
				for range 50 {
					want = append(want, 200)
				}
			}
			for n, w := range want {
				if s, body := status(r); s != w {
					t.Fatalf("answer %d: status %d, want %d (%d bytes of body)", n, s, w, len(body))
				}
			}
			_ = conn.Close()
			for range 100 {
				if b.listener.HeadMemory() == 0 {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			if held := b.listener.HeadMemory(); held != 0 {
				t.Errorf("%d bytes of heads held after the end", held)
			}
		})
	}
}

// TestUnreadBody guards against an answer that waits for ever for the rest of a body that its handler does not read.
func TestUnreadBody(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"Length": "PUT /ignore HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx",
		"Chunks": "PUT /ignore HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, r := serve(t, limits(), nil).dial(text)
			if s, body := status(r); s != http.StatusOK {
				t.Errorf("status %d, %s", s, body)
			}
			if _, err := r.ReadByte(); err == nil {
				t.Error("the connection is open")
			}
		})
	}
}

// TestSlowReaders guards against answers that are held for many callers that do not read them.
func TestSlowReaders(t *testing.T) {
	t.Parallel()
	b := serve(t, limits(), nil)
	for range 3 {
		b.dial("GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
		settle()
	}
	if got := b.lastBound(); got != acceptor.BoundWriters {
		t.Errorf("bound %q, want %q", got, acceptor.BoundWriters)
	}
	b.echo("ordinary request beside slow readers")
}

// TestOtherContext guards against a handler that needs connections of a Listener: the requests of others are served.
func TestOtherContext(t *testing.T) {
	t.Parallel()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = inner.Close() }()
	called := false
	l := acceptor.New(inner, limits(), "Id", time.Now, func(acceptor.Refusal) {})
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "/", nil)
	if err != nil {
		t.Fatal(err)
	}
	l.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { called = true })).ServeHTTP(nil, r)
	if !called {
		t.Error("the handler was not called")
	}
}
