package sender

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/answerer"
)

// breakingServer answers the first request of each connection and closes the connection after it has read
// the second. reads is the number of requests that it has read.
type breakingServer struct {
	listener net.Listener
	reads    atomic.Int64
}

// newBreakingServer starts a breakingServer that runs until the test ends.
func newBreakingServer(t *testing.T) *breakingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &breakingServer{listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// serve serves one connection.
func (s *breakingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for n := 0; ; n++ {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		s.reads.Add(1)
		if n > 0 {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	}
}

// TestSentOnce guards against a request that is not idempotent and runs twice because net/http retries it.
// Each request is sent on a connection that breaks after its first use. It must reach the server once,
// whatever its method, body and headers.
func TestSentOnce(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		r    answerer.Request
		want int64
	}{
		{"Post", answerer.Request{Method: http.MethodPost, Path: "/", ID: "id"}, 1},
		{"PostWithBody", answerer.Request{Method: http.MethodPost, Path: "/", ID: "id", Body: []byte("restock")}, 1},
		{"PostWithHeader", answerer.Request{Method: http.MethodPost, Path: "/", Header: http.Header{"Idempotency-Key": {"id"}}}, 1},
		{"PostWithOldHeader", answerer.Request{Method: http.MethodPost, Path: "/", Header: http.Header{"X-Idempotency-Key": {"id"}}}, 1},
		{"GetNotIdempotent", answerer.Request{Method: http.MethodGet, Path: "/", ID: "id"}, 1},
		{"DeleteNotIdempotent", answerer.Request{Method: http.MethodDelete, Path: "/", ID: "id"}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server := newBreakingServer(t)
			s := New(1)
			address := server.listener.Addr().String()
			first := s.SendRequest(context.Background(), address, answerer.Request{Method: http.MethodGet, Path: "/", Idempotent: true}, Fencing{}, 100)
			if first.Outcome != answerer.Ran {
				t.Fatalf("the first request of the connection did not run: %+v", first)
			}
			got := s.SendRequest(context.Background(), address, c.r, Fencing{}, 100)
			if reads := server.reads.Load() - 1; reads != c.want {
				t.Errorf("the request reached the server %d times, want %d", reads, c.want)
			}
			if got.Outcome != answerer.Unknown {
				t.Errorf("outcome %s, want %s", got.Outcome, answerer.Unknown)
			}
		})
	}
}

// TestOutcomes guards against an outcome that is wrong for how a request ended: NotRun for one that may
// have run, or Ran for one with a truncated answer.
func TestOutcomes(t *testing.T) {
	t.Parallel()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	cases := []struct {
		name    string
		answer  string // The raw answer; if it is empty, the server does not answer.
		address string
		want    answerer.Outcome
		code    answerer.Code
	}{
		{"Complete", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "", answerer.Ran, answerer.CodeOK},
		{"Truncated", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody", "", answerer.Unknown, answerer.CodeBackendBroke},
		{"TruncatedChunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", "", answerer.Unknown, answerer.CodeBackendBroke},
		{"TooLarge", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nbodybodybody", "", answerer.Unknown, answerer.CodeAnswerTooLarge},
		{"NotHTTP", "no HTTP at all\r\n\r\n", "", answerer.Unknown, answerer.CodeBackendBroke},
		{"Shed", "HTTP/1.1 503 No\r\nTurmericlift-Refused: Shed\r\nContent-Length: 0\r\n\r\n", "", answerer.NotRun, answerer.CodeShed},
		{"Fenced", "HTTP/1.1 503 No\r\nTurmericlift-Refused: Fenced\r\nContent-Length: 0\r\n\r\n", "", answerer.NotRun, answerer.CodeFenced},
		{"NoAnswer", "", "", answerer.Unknown, answerer.CodeTimedOut},
		{"Unreachable", "", closed.Addr().String(), answerer.NotRun, answerer.CodeBackendUnreachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address := c.address
			if address == "" {
				address = rawServer(t, c.answer)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			got := New(1).SendRequest(ctx, address, answerer.Request{Method: http.MethodPost, Path: "/", ID: "id"}, Fencing{}, 10)
			if got.Outcome != c.want || got.Code != c.code {
				t.Errorf("got %s %s (%s), want %s %s", got.Outcome, got.Code, got.Detail, c.want, c.code)
			}
		})
	}
}

// rawServer starts a server that answers the first request with raw bytes and closes the connection, and
// returns its address. It leaves the connection open without an answer if answer is empty.
func rawServer(t *testing.T, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		if answer == "" {
			t.Cleanup(func() { _ = conn.Close() }) // Without a reference, the garbage collector would close the connection.
			return
		}
		_, _ = conn.Write([]byte(answer))
		_ = conn.Close()
	}()
	return l.Addr().String()
}
