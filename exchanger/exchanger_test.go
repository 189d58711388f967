package exchanger_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/exchanger"
)

// startScriptedServer starts a server that answers each request with the raw bytes of the next script, and returns its
// address. A script may end with "|RESET", which resets the connection, "|CLOSE", which closes it, or "|SILENT", which
// sends nothing more.
func startScriptedServer(t *testing.T, scripts ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	next := make(chan string, len(scripts))
	for _, s := range scripts {
		next <- s
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn), next)
		}
	}()
	return l.Addr().String()
}

// serve answers the requests of one connection with scripts from next.
func serve(c *net.TCPConn, next chan string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		script := <-next
		text, end, _ := strings.Cut(script, "|")
		_, _ = io.WriteString(c, text)
		switch end {
		case "RESET":
			_ = c.SetLinger(0)
			return
		case "CLOSE":
			return
		case "SILENT":
			time.Sleep(time.Minute)
		}
	}
}

// answer returns the bytes of an answer to the request with an ID.
func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + twoDigits(len(body)) + "\r\n\r\n" + body
}

// twoDigits returns n with two digits.
func twoDigits(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

func request(id string) *exchanger.Request {
	return &exchanger.Request{Method: "GET", Target: "/x", Host: "h", Header: http.Header{"Id": {id}}, IDHeader: "Id", ID: id}
}

// TestAnswers checks which answers of backend servers are returned, and that the next request gets its own answer. A
// connection must not be used again if its next bytes may belong to another request.
func TestAnswers(t *testing.T) {
	t.Parallel()
	const malformed = "HTTP/1.1 200 OK\r\nId: a\r\nOdd Name: x\r\nContent-Length: 5\r\n\r\nhello"
	cases := map[string]struct {
		script string
		body   string // The body that is returned; empty if a BrokenError is.
		reused bool
	}{
		"Whole":                {answer("a", "hello"), "hello", true},
		"ForeignFirst":         {answer("z", "other") + answer("a", "hello"), "hello", true},
		"ExtraAfter":           {answer("a", "hello") + answer("a", "again"), "hello", false},
		"GarbageAfter":         {answer("a", "hello") + "%%%", "hello", false},
		"Garbage":              {"no answer at all\r\n\r\n|CLOSE", "", false},
		"Cut":                  {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nhel|CLOSE", "", false},
		"Reset":                {"|RESET", "", false},
		"Closed":               {"|CLOSE", "", false},
		"NoLength":             {"HTTP/1.1 200 OK\r\nId: a\r\n\r\nhello|CLOSE", "hello", false},
		"NoLengthReset":        {"HTTP/1.1 200 OK\r\nId: a\r\n\r\nhello|RESET", "", false},
		"ForeignThenMalformed": {answer("z", "other") + malformed, "", false},
		"MalformedForeign":     {strings.Replace(malformed, "Id: a", "Id: z", 1) + answer("a", "hello"), "", false},
		"ForeignNoLength":      {"HTTP/1.1 200 OK\r\nId: z\r\n\r\nhello|CLOSE", "", false},
		"ConnectionClose":      {"HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello", "hello", false},
		"Continue":             {"HTTP/1.1 100 Continue\r\n\r\n" + answer("a", "hello"), "hello", true},
		"Chunked":              {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello", true},
		"ChunkedCut":           {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n|CLOSE", "", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := exchanger.NewPool(startScriptedServer(t, c.script, answer("b", "second")), 4, time.Now)
			defer p.Close()
			a, err := p.Do(context.Background(), request("a"))
			var broken *exchanger.BrokenError
			if c.body == "" && !errors.As(err, &broken) || c.body != "" && (err != nil || string(a.Body) != c.body) {
				t.Fatalf("answer %q, %v; want %q", a.Body, err, c.body)
			}
			if a, err := p.Do(context.Background(), request("b")); err != nil || string(a.Body) != "second" {
				t.Errorf("next request: answer %q, %v; want \"second\"", a.Body, err)
			}
			if _, made := p.ConnectionCounts(); (made == 1) != c.reused {
				t.Errorf("%d connections opened; want the first one used again: %t", made, c.reused)
			}
		})
	}
}

// TestUnsent checks that a request that was not sent fails with an UnsentError, which lets its caller send it again.
func TestUnsent(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	_, err = exchanger.NewPool(address, 4, time.Now).Do(context.Background(), request("a"))
	var unsent *exchanger.UnsentError
	if !errors.As(err, &unsent) {
		t.Errorf("server does not listen: error %v, want an UnsentError", err)
	}
	if _, err := exchanger.NewPool(address, 0, time.Now).Do(context.Background(), request("a")); !errors.As(err, &unsent) {
		t.Errorf("connection limit reached: error %v, want an UnsentError", err)
	}
}

// TestIdleClosed checks that an idle connection that the server has closed is not used: a request on it would be lost.
func TestIdleClosed(t *testing.T) {
	t.Parallel()
	p := exchanger.NewPool(startScriptedServer(t, answer("a", "hello")+"|CLOSE", answer("b", "hello")), 4, time.Now)
	if _, err := p.Do(context.Background(), request("a")); err != nil {
		t.Fatal(err)
	}
	for range 100 { // Gives the close time to arrive.
		time.Sleep(time.Millisecond)
	}
	if _, err := p.Do(context.Background(), request("b")); err != nil {
		t.Errorf("request after the server closed the connection: %v", err)
	}
}

// TestCancelled checks that a request ends when its context ends, and that its connection is closed.
func TestCancelled(t *testing.T) {
	t.Parallel()
	p := exchanger.NewPool(startScriptedServer(t, "|SILENT"), 4, time.Now)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := p.Do(ctx, request("a"))
	var broken *exchanger.BrokenError
	if !errors.As(err, &broken) {
		t.Errorf("cancelled request: error %v, want a BrokenError", err)
	}
	if open, _ := p.ConnectionCounts(); open != 0 {
		t.Errorf("%d connections are open after the cancelled request, want 0", open)
	}
}

// TestDoDialedBefore checks that DoDialedBefore sends a request only over a connection that was dialed before the given
// time. Over a newer one, an order could reach another process that has the address by now.
func TestDoDialedBefore(t *testing.T) {
	t.Parallel()
	p := exchanger.NewPool(startScriptedServer(t, answer("a", "hello"), answer("b", "hello")), 4, time.Now)
	var unsent *exchanger.UnsentError
	if _, err := p.DoDialedBefore(context.Background(), request("a"), time.Now()); !errors.As(err, &unsent) {
		t.Fatalf("without a connection: error %v, want an UnsentError", err)
	}
	if _, err := p.DoDialedBefore(context.Background(), request("a"), time.Now().Add(-time.Hour)); !errors.As(err, &unsent) {
		t.Errorf("with a connection that was dialed too late: error %v, want an UnsentError", err)
	}
	if _, err := p.DoDialedBefore(context.Background(), request("a"), time.Now()); err != nil {
		t.Errorf("with a connection that was dialed before the time: %v", err)
	}
	if _, made := p.ConnectionCounts(); made != 1 {
		t.Errorf("%d connections opened, want 1", made)
	}
}
