package sender

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/granter"
)

// statusServer answers the first request with raw bytes and each later one with the body "second", and counts connections.
type statusServer struct {
	address string
	closed  chan struct{} // Closed when the connection of the first request ends.
}

// startStatusServer starts a statusServer that runs until the test ends.
func startStatusServer(t *testing.T, raw string) *statusServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &statusServer{l.Addr().String(), make(chan struct{})}
	first := make(chan struct{}, 1)
	first <- struct{}{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, first, raw)
		}
	}()
	return s
}

// serve serves one connection.
func (s *statusServer) serve(conn net.Conn, first chan struct{}, raw string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		select {
		case <-first:
			_, _ = io.WriteString(conn, raw)
			_, _ = io.Copy(io.Discard, reader) // Ends when the sender closes the connection.
			close(s.closed)
			return
		default:
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
		}
	}
}

// TestStatuses guards against an answer with a status that HTTP does not have which reaches the caller, or which is waited for
// until the deadline. Such an answer leaves open whether the request has run, and its connection is closed.
func TestStatuses(t *testing.T) {
	t.Parallel()
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
	const withBody = "Content-Length: 5\r\n\r\nwrong"
	const noBody = "Content-Length: 0\r\n\r\n"
	cases := map[string]string{
		"Zero":              "HTTP/1.1 000 \r\n\r\n",
		"ZeroBody":          "HTTP/1.1 000 Trouble\r\n" + withBody,
		"ZeroNoBody":        "HTTP/1.1 000 Trouble\r\n" + noBody,
		"Below100":          "HTTP/1.1 099 Trouble\r\n\r\n",
		"Below100Body":      "HTTP/1.1 099 Trouble\r\n" + withBody,
		"Below100NoBody":    "HTTP/1.1 099 Trouble\r\n" + noBody,
		"InterimWithoutEnd": strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 4000),
		"Switching":         "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
		"SwitchingBody":     "HTTP/1.1 101 Switching Protocols\r\n" + withBody,
		"FourDigits":        "HTTP/1.1 2000 OK\r\n\r\n",
		"FourDigitsBody":    "HTTP/1.1 2000 OK\r\n" + withBody,
		"Plus":              "HTTP/1.1 +20 OK\r\n\r\n",
		"PlusBody":          "HTTP/1.1 +20 OK\r\n" + withBody,
		"PlusNoBody":        "HTTP/1.1 +20 OK\r\n" + noBody,
		"Minus":             "HTTP/1.1 -20 OK\r\n\r\n",
		"MinusBody":         "HTTP/1.1 -00 OK\r\n" + withBody,
	}
	for name, raw := range cases {
		for end, text := range map[string]string{"Followed": raw + final, "Alone": raw} {
			t.Run(name+end, func(t *testing.T) {
				t.Parallel()
				server := startStatusServer(t, text)
				s := New(4)
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				a := s.SendRequest(ctx, server.address, answerer.Request{Method: http.MethodPost, Path: "/", ID: "a"}, Fencing{}, 1000)
				if a.Outcome != answerer.Unknown || a.Code != answerer.CodeBackendBroke {
					t.Errorf("outcome %v, code %v, status %d, body %q; want Unknown and BackendBroke", a.Outcome, a.Code, a.Status, a.Body)
				}
				select {
				case <-server.closed:
				case <-time.After(5 * time.Second):
					t.Error("the connection was not closed")
				}
				if ctx.Err() != nil {
					t.Fatal("the request ended only at its deadline")
				}
				a = s.SendRequest(ctx, server.address, answerer.Request{Method: http.MethodPost, Path: "/", ID: "b"}, Fencing{}, 1000)
				if string(a.Body) != "second" {
					t.Errorf("next request: outcome %v, body %q; want \"second\"", a.Outcome, a.Body)
				}
			})
		}
	}
}

// TestOrderStatuses guards against an answer to an order with such a status whose connection is used again.
func TestOrderStatuses(t *testing.T) {
	t.Parallel()
	for name, raw := range map[string]string{
		"ZeroNoBody": "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n", "ZeroBody": "HTTP/1.1 000 Trouble\r\nContent-Length: 5\r\n\r\nwrong",
		"Switching": "HTTP/1.1 101 Switching Protocols\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := startStatusServer(t, raw)
			if _, err := New(4).SendOrder(context.Background(), server.address, granter.Order{}); err == nil {
				t.Error("no error")
			}
			select {
			case <-server.closed:
			case <-time.After(5 * time.Second):
				t.Error("the connection was not closed")
			}
		})
	}
}
