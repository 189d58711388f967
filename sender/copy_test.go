package sender

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/identifier"
)

// TestSecondCopy guards against the late second copy of an answer, on a connection that is in use again, that reaches the
// next caller. The server sends it when it has read the next request, in place of that request's answer.
func TestSecondCopy(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				copied := ""
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					id := r.Header.Get(HeaderRequestID)
					answer := "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": " + id + "\r\nContent-Length: 1\r\n\r\n" + id
					_, _ = conn.Write([]byte(copied + answer))
					copied = answer
				}
			}()
		}
	}()
	s := New(1)
	for _, id := range []identifier.RequestID{"a", "b", "c"} {
		r := answerer.Request{Method: http.MethodPost, Path: "/", ID: id}
		got := s.SendRequest(context.Background(), l.Addr().String(), r, Fencing{}, 100)
		if got.Outcome == answerer.Ran && string(got.Body) != string(id) {
			t.Errorf("request %s got the answer of %q", id, got.Body)
		}
		if got.Outcome == answerer.NotRun {
			t.Errorf("request %s: outcome NotRun, but it has run", id)
		}
	}
}

// TestEndlessHead guards against a head of an answer without end that is held in memory.
func TestEndlessHead(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	sent := make(chan int, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		n, err := conn.Write([]byte("HTTP/1.1 200 OK\r\n"))
		header := []byte(strings.Repeat("A: x\r\n", 1000))
		for err == nil {
			var written int
			written, err = conn.Write(header)
			n += written
		}
		sent <- n
	}()
	got := New(1).SendRequest(context.Background(), l.Addr().String(), answerer.Request{Method: http.MethodGet, Path: "/", ID: "a", Idempotent: true}, Fencing{}, 100)
	if got.Outcome != answerer.Unknown {
		t.Errorf("outcome %v, want Unknown", got.Outcome)
	}
	if n := <-sent; n > 8<<20 {
		t.Errorf("the server sent %d bytes before the connection was closed, want at most 8 MiB", n)
	}
}

// TestRepeatedRefusal guards against an earlier refusal that a faulty server writes once more on a kept connection, and that
// is taken for the answer to a second attempt of the same request, which runs: its caller would be told that it has not run.
func TestRepeatedRefusal(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var mu sync.Mutex
	seen := map[string]bool{} // Requests that were refused: each is refused once, then it runs.
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		earlier := ""
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			id := r.Header.Get(HeaderRequestID)
			text := "HTTP/1.1 503 No\r\n" + HeaderRequestID + ": " + id + "\r\n" + HeaderRefused + ": Shed\r\nContent-Length: 0\r\n\r\n"
			mu.Lock()
			if seen[id] {
				text = earlier + "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": " + id + "\r\nContent-Length: 3\r\n\r\nran"
			} else {
				earlier = text
			}
			seen[id] = true
			mu.Unlock()
			_, _ = conn.Write([]byte(text))
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	s := New(1)
	r := answerer.Request{Method: http.MethodPost, Path: "/", ID: "x"}
	if got := s.SendRequest(context.Background(), l.Addr().String(), r, Fencing{}, 100); got.Outcome != answerer.NotRun {
		t.Fatalf("first attempt: %s, want NotRun", got.Outcome)
	}
	if got := s.SendRequest(context.Background(), l.Addr().String(), r, Fencing{}, 100); got.Outcome != answerer.Ran {
		t.Errorf("second attempt, which ran: %s, want Ran", got.Outcome)
	}
}

// TestCutHead guards against an answer whose head breaks off, at any byte, and that counts as a whole answer.
func TestCutHead(t *testing.T) {
	t.Parallel()
	for _, framing := range []string{"Content-Length: 1500\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		head := "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": id\r\n" + framing + "X: 1\r\n\r\n"
		for cut := 1; cut < len(head); cut++ {
			got := New(1).SendRequest(context.Background(), rawServer(t, head[:cut]), answerer.Request{Method: http.MethodPost, Path: "/", ID: "id"}, Fencing{}, 1<<20)
			if got.Outcome != answerer.Unknown {
				t.Errorf("head cut at byte %d of %q: %s with status %d, want Unknown", cut, head, got.Outcome, got.Status)
			}
		}
	}
}
