package pipeliner_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// meeting is a handler whose requests wait until a number of them run at once, or the time is over.
type meeting struct {
	want   int
	within time.Duration

	mu      sync.Mutex
	running int
	most    int
	met     chan struct{}
}

func newMeeting(want int, within time.Duration) *meeting {
	return &meeting{want: want, within: within, met: make(chan struct{})}
}

func (m *meeting) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	m.running++
	if m.running > m.most {
		m.most = m.running
		if m.most == m.want {
			close(m.met)
		}
	}
	m.mu.Unlock()
	select {
	case <-m.met:
	case <-time.After(m.within):
	}
	m.mu.Lock()
	m.running--
	m.mu.Unlock()
	_, _ = io.WriteString(w, r.URL.Path)
}

// mostAtOnce sends two requests together on one connection, reads both answers, and returns how many ran at once.
func mostAtOnce(t *testing.T, address string, m *meeting) int {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "GET /read/1 HTTP/1.1\r\nHost: h\r\n\r\nGET /read/2 HTTP/1.1\r\nHost: h\r\n\r\n")
	reader := bufio.NewReader(c)
	for _, want := range []string{"/read/1", "/read/2"} {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || string(body) != want {
			t.Errorf("answer %q, %v; want %q", body, err, want)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.most
}

// TestStandardServerServesOneByOne shows why this package exists: with net/http's server, two idempotent requests that are
// sent together on a connection are served one after the other, so the second waits unread while its time runs.
func TestStandardServerServesOneByOne(t *testing.T) {
	t.Parallel()
	m := newMeeting(2, 200*time.Millisecond)
	server := httptest.NewServer(m)
	defer server.Close()
	if n := mostAtOnce(t, server.Listener.Addr().String(), m); n != 1 {
		t.Errorf("%d requests of one connection ran at once in net/http's server, want 1: the package may not be needed any more", n)
	}
}
