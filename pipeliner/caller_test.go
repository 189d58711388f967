package pipeliner_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// gates is a handler whose requests tell that they have started and wait until their gate opens, or their context ends.
type gates struct {
	started chan string
	ended   chan string // The paths of requests whose context ended.
	answer  http.HandlerFunc

	mu    sync.Mutex
	gates map[string]chan struct{}
}

func newGates(answer http.HandlerFunc) *gates {
	return &gates{started: make(chan string, 100), ended: make(chan string, 100), answer: answer, gates: map[string]chan struct{}{}}
}

func (g *gates) gate(path string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gates[path] == nil {
		g.gates[path] = make(chan struct{})
	}
	return g.gates[path]
}

func (g *gates) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.started <- r.URL.Path
	select {
	case <-g.gate(r.URL.Path):
	case <-r.Context().Done():
		g.ended <- r.URL.Path
	}
	if g.answer != nil {
		g.answer(w, r)
		return
	}
	_, _ = io.WriteString(w, r.URL.Path)
}

// expect fails the test unless the channel gives these values next, in any order.
func expect(t *testing.T, what string, from <-chan string, want ...string) {
	t.Helper()
	left := map[string]bool{}
	for _, w := range want {
		left[w] = true
	}
	for range want {
		select {
		case got := <-from:
			if !left[got] {
				t.Fatalf("%s: %s, want one of %v", what, got, left)
			}
			delete(left, got)
		case <-time.After(30 * time.Second):
			t.Fatalf("%s: %v are missing", what, left)
		}
	}
}

// expectNone fails the test if the channel gives a value soon.
func expectNone(t *testing.T, what string, from <-chan string) {
	t.Helper()
	select {
	case got := <-from:
		t.Fatalf("%s: %s, want none", what, got)
	case <-time.After(100 * time.Millisecond):
	}
}

// caller is a caller's connection.
type caller struct {
	t *testing.T
	*net.TCPConn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *caller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(60 * time.Second))
	return &caller{t, c.(*net.TCPConn), bufio.NewReader(c)}
}

// send sends a request without a body for each path.
func (c *caller) send(paths ...string) {
	c.t.Helper()
	var b strings.Builder
	for _, p := range paths {
		b.WriteString("GET " + p + " HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	if _, err := io.WriteString(c, b.String()); err != nil {
		c.t.Fatal(err)
	}
}

// answered checks that the next answers are those to the requests for these paths. It returns the last one.
func (c *caller) answered(paths ...string) (last seen) {
	c.t.Helper()
	for _, p := range paths {
		last = readAnswer(c.reader, get)
		if last.Status != http.StatusOK || last.Body != p {
			c.t.Fatalf("answer %s, want that to %s", short(last), p)
		}
	}
	return last
}

// closed checks that the connection was closed without another answer, by a reset or without one.
func (c *caller) closed(reset bool) {
	c.t.Helper()
	n, err := io.Copy(io.Discard, c.reader)
	if isReset := err != nil && !isTimeout(err); n != 0 || isReset != reset || isTimeout(err) {
		c.t.Errorf("%d bytes and %v, want the end of the connection, reset %t", n, err, reset)
	}
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
