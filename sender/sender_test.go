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

// flakyServer answers the first request of each connection and closes the connection
// after it has read the second one. It counts the requests that it has read.
type flakyServer struct {
	listener net.Listener
	reads    atomic.Int64
}

func newFlakyServer(t *testing.T) *flakyServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &flakyServer{listener: l}
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

func (s *flakyServer) serve(conn net.Conn) {
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

// TestSentOnce sends requests on a connection that breaks after it was used once. One
// that may not be repeated must reach the server once, whatever its method, body and
// headers make net/http believe.
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
		{"GetThatMayNotBeRepeated", answerer.Request{Method: http.MethodGet, Path: "/", ID: "id"}, 1},
		{"DeleteThatMayNotBeRepeated", answerer.Request{Method: http.MethodDelete, Path: "/", ID: "id"}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server := newFlakyServer(t)
			s := New(1)
			address := server.listener.Addr().String()
			first := s.Send(context.Background(), address, answerer.Request{Method: http.MethodGet, Path: "/", Idempotent: true}, Fencing{}, 100)
			if first.Outcome != answerer.Ran {
				t.Fatalf("first request: %+v", first)
			}
			got := s.Send(context.Background(), address, c.r, Fencing{}, 100)
			if reads := server.reads.Load() - 1; reads != c.want {
				t.Errorf("the request reached the server %d times, want %d", reads, c.want)
			}
			if got.Outcome != answerer.Unknown {
				t.Errorf("outcome %s, want %s", got.Outcome, answerer.Unknown)
			}
		})
	}
}

// TestOutcomes is the table of what a request's end says of its outcome.
func TestOutcomes(t *testing.T) {
	t.Parallel()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	cases := []struct {
		name    string
		answer  string // Raw; empty: no answer before the deadline.
		address string
		want    answerer.Outcome
		code    answerer.Code
	}{
		{"Whole", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "", answerer.Ran, answerer.CodeOK},
		{"Cut", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody", "", answerer.Unknown, answerer.CodeBackendBroke},
		{"CutChunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", "", answerer.Unknown, answerer.CodeBackendBroke},
		{"TooLarge", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nbodybodybody", "", answerer.Unknown, answerer.CodeAnswerTooLarge},
		{"Garbage", "no HTTP at all\r\n\r\n", "", answerer.Unknown, answerer.CodeBackendBroke},
		{"Shed", "HTTP/1.1 503 No\r\nTurmericlift-Refused: Shed\r\nContent-Length: 0\r\n\r\n", "", answerer.NotRun, answerer.CodeShed},
		{"Fenced", "HTTP/1.1 503 No\r\nTurmericlift-Refused: Fenced\r\nContent-Length: 0\r\n\r\n", "", answerer.NotRun, answerer.CodeFenced},
		{"Silent", "", "", answerer.Unknown, answerer.CodeTimedOut},
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
			got := New(1).Send(ctx, address, answerer.Request{Method: http.MethodPost, Path: "/", ID: "id"}, Fencing{}, 10)
			if got.Outcome != c.want || got.Code != c.code {
				t.Errorf("got %s %s (%s), want %s %s", got.Outcome, got.Code, got.Detail, c.want, c.code)
			}
		})
	}
}

// rawServer answers the first request of a connection with raw bytes and closes it.
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
			return // Neither answered nor closed.
		}
		_, _ = conn.Write([]byte(answer))
		_ = conn.Close()
	}()
	return l.Addr().String()
}
