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

// startEndlessServer starts a server that answers each request with prefix and then repeats a text until the other side
// closes the connection. It returns its address and a channel that receives the number of bytes that were sent.
func startEndlessServer(t *testing.T, prefix, repeated string) (string, <-chan int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	sent := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		block := strings.Repeat(repeated, 1+4096/len(repeated))
		n, err := io.WriteString(c, prefix)
		for err == nil {
			var written int
			written, err = io.WriteString(c, block)
			n += written
		}
		sent <- n
	}()
	return l.Addr().String(), sent
}

// TestEndless guards against a process that runs out of memory because a backend server sends bytes that are no answer and
// do not end: they are read up to a bound, and the connection is closed.
func TestEndless(t *testing.T) {
	t.Parallel()
	const bound = 16 << 20 // Far above what is read, with the buffers of both sockets.
	const whole = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok"
	const chunked = "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := map[string]struct {
		prefix, repeated string
		answered         bool // The bytes follow a complete answer.
	}{
		"NoAnswer":       {"", "x", false},
		"StatusLine":     {"HTTP/1.1 200 ", "x", false},
		"OneHeader":      {"HTTP/1.1 200 OK\r\nA: ", "x", false},
		"ManyHeaders":    {"HTTP/1.1 200 OK\r\n", "A: x\r\n", false},
		"Interim":        {"", "HTTP/1.1 100 Continue\r\n\r\n", false},
		"ForeignAnswers": {"", "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 2\r\n\r\nno", false},
		"ForeignBody":    {"HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 99999999999\r\n\r\n", "x", false},
		"ChunkSize":      {chunked, "0", false},
		"ChunkExtension": {chunked + "1;", "x", false},
		"EmptyChunks":    {chunked, "1;" + strings.Repeat("x", 2000) + "\r\nx\r\n", false},
		"Trailer":        {chunked + "0\r\nA: ", "x", false},
		"Trailers":       {chunked + "0\r\n", "A: x\r\n", false},
		"PastLength":     {whole, "x", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, sent := startEndlessServer(t, c.prefix, c.repeated)
			p := exchanger.NewPool(address, 1, time.Now)
			a, err := p.Do(context.Background(), request("a"))
			var broken *exchanger.BrokenError
			if !c.answered && !errors.As(err, &broken) {
				t.Errorf("answer %d, %v; want a BrokenError", a.Status, err)
			}
			if c.answered && (err != nil || string(a.Body) != "ok" || a.Rest != nil) {
				t.Errorf("answer %q, %v; want \"ok\"", a.Body, err)
			}
			n := 0
			for n == 0 { // The bytes may arrive when the connection is idle again.
				p.Sweep()
				select {
				case n = <-sent:
				case <-time.After(time.Millisecond):
				}
			}
			if n > bound {
				t.Errorf("server sent %d bytes before the connection was closed, want at most %d", n, bound)
			}
			if open, _ := p.ConnectionCounts(); open != 0 {
				t.Errorf("%d connections are open, want 0", open)
			}
		})
	}
}

// TestEndlessBody guards against a body without end that is read for longer than its request has time, or that is held in
// memory.
func TestEndlessBody(t *testing.T) {
	t.Parallel()
	for name, prefix := range map[string]string{
		"NoLength": "HTTP/1.1 200 OK\r\nId: a\r\n\r\n",
		"Length":   "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 99999999999\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, sent := startEndlessServer(t, prefix, "x")
			p := exchanger.NewPool(address, 1, time.Now)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			a, err := p.Do(ctx, request("a"))
			if err != nil || a.Rest == nil || len(a.Body) > 64<<10 {
				t.Fatalf("answer with %d bytes held, rest %t, %v; want at most 64 KiB and a rest", len(a.Body), a.Rest != nil, err)
			}
			if n, err := io.CopyN(io.Discard, a.Rest, 8<<20); n != 8<<20 {
				t.Fatalf("%d bytes of the rest were read, %v; want 8 MiB", n, err)
			}
			cancel()
			if _, err := io.Copy(io.Discard, a.Rest); err == nil {
				t.Error("body without end looks complete after the request has ended")
			}
			a.Close()
			<-sent
			if open, _ := p.ConnectionCounts(); open != 0 {
				t.Errorf("%d connections are open, want 0", open)
			}
		})
	}
}

// TestLarge guards against a large body that is held in memory, that is cut, or that looks complete although it broke off.
func TestLarge(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("0123456789abcdef", 20000) // 320,000 bytes.
	chunk := "4e200\r\n" + body + "\r\n"
	cases := map[string]struct {
		script   string
		complete bool
		reused   bool
	}{
		"Length":       {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 320000\r\n\r\n" + body, true, true},
		"LengthCut":    {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 320001\r\n\r\n" + body + "|CLOSE", false, false},
		"LengthExtra":  {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 320000\r\n\r\n" + body + "%%%", true, false},
		"Chunked":      {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n", true, true},
		"ChunkedCut":   {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "|CLOSE", false, false},
		"NoLength":     {"HTTP/1.1 200 OK\r\nId: a\r\n\r\n" + body + "|CLOSE", true, false},
		"NoLengthCut":  {"HTTP/1.1 200 OK\r\nId: a\r\n\r\n" + body + "|RESET", false, false},
		"ForeignFirst": {"HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 320000\r\n\r\n" + body + "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 320000\r\n\r\n" + body, true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := exchanger.NewPool(startScriptedServer(t, c.script, answer("b", "second")), 4, time.Now)
			defer p.Close()
			a, err := p.Do(context.Background(), request("a"))
			if err != nil {
				var broken *exchanger.BrokenError
				if c.complete || !errors.As(err, &broken) {
					t.Fatalf("error %v, want an answer", err)
				}
				return // It broke off before its first part was complete.
			}
			if a.Rest == nil || len(a.Body) > 64<<10 {
				t.Fatalf("%d bytes are held, rest %t; want at most 64 KiB and a rest", len(a.Body), a.Rest != nil)
			}
			rest, err := io.ReadAll(a.Rest)
			a.Close()
			if (err == nil) != c.complete || c.complete && string(a.Body)+string(rest) != body {
				t.Errorf("%d and %d bytes, %v; want the whole body: %t", len(a.Body), len(rest), err, c.complete)
			}
			if a, err := p.Do(context.Background(), request("b")); err != nil || string(a.Body) != "second" {
				t.Errorf("next request: answer %q, %v; want \"second\"", a.Body, err)
			}
			if _, made := p.ConnectionCounts(); c.complete && (made == 1) != c.reused {
				t.Errorf("%d connections opened; want the first one used again: %t", made, c.reused)
			}
		})
	}
}

// TestRestNotRead checks that the connection of an answer whose rest is not read to its end is closed.
func TestRestNotRead(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("x", 320000)
	p := exchanger.NewPool(startScriptedServer(t, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 320000\r\n\r\n"+body, answer("b", "second")), 4, time.Now)
	a, err := p.Do(context.Background(), request("a"))
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	a.Close() // A second call does nothing.
	if open, _ := p.ConnectionCounts(); open != 0 {
		t.Errorf("%d connections are open after the answer was closed, want 0", open)
	}
	if a, err := p.Do(context.Background(), request("b")); err != nil || string(a.Body) != "second" {
		t.Errorf("next request: answer %q, %v; want \"second\"", a.Body, err)
	}
}

// TestSecondCopy guards against the late second copy of an answer that is taken for the answer to another request, or for
// the answer to a later attempt of the same request: that attempt would count as refused although it runs.
func TestSecondCopy(t *testing.T) {
	t.Parallel()
	refused := "HTTP/1.1 503 Full\r\nId: a\r\nContent-Length: 0\r\n\r\n"
	p := exchanger.NewPool(startScriptedServer(t, refused, refused+answer("b", "second"), answer("a", "again")), 4, time.Now)
	defer p.Close()
	if a, err := p.Do(context.Background(), request("a")); err != nil || a.Status != 503 {
		t.Fatalf("first attempt: %d, %v; want 503", a.Status, err)
	}
	if a, err := p.Do(context.Background(), request("b")); err != nil || string(a.Body) != "second" {
		t.Errorf("other request, behind the second copy: answer %q, %v; want \"second\"", a.Body, err)
	}
	if a, err := p.Do(context.Background(), request("a")); err != nil || string(a.Body) != "again" {
		t.Errorf("second attempt: answer %q, %v; want \"again\"", a.Body, err)
	}
	if _, made := p.ConnectionCounts(); made != 2 {
		t.Errorf("%d connections opened, want 2: one for the first attempt and the other request, one for the second attempt", made)
	}
}

// TestSecondCopyBeforeOrder guards against an order or a health call, which have no ID, that takes a late second copy of the
// answer to an earlier request on the connection for its own: a grant or release would count as carried out.
func TestSecondCopyBeforeOrder(t *testing.T) {
	t.Parallel()
	first := answer("a", "first")
	p := exchanger.NewPool(startScriptedServer(t, first, first+"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n", answer("b", "last")), 4, time.Now)
	defer p.Close()
	if _, err := p.Do(context.Background(), request("a")); err != nil {
		t.Fatal(err)
	}
	order := &exchanger.Request{Method: "POST", Target: "/order", Host: "h", IDHeader: "Id"}
	if a, err := p.Do(context.Background(), order); err != nil || a.Status != 409 {
		t.Errorf("order behind the second copy: status %d, %v; want 409", a.Status, err)
	}
	if a, err := p.Do(context.Background(), request("b")); err != nil || string(a.Body) != "last" {
		t.Errorf("next request: answer %q, %v; want \"last\"", a.Body, err)
	}
}

// TestRepeatedRefusal guards against an earlier refusal that a faulty server writes once more on a kept connection, and that
// is taken for the answer to a later request, or to a later attempt of the same request, which runs.
func TestRepeatedRefusal(t *testing.T) {
	t.Parallel()
	refused := func(id string) string { return "HTTP/1.1 503 Full\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n" }
	scripts := []string{refused("x")}
	for n := range 8 {
		scripts = append(scripts, refused("x")+answer(string(rune('a'+n)), "ran"))
	}
	scripts = append(scripts, answer("x", "ran"))
	p := exchanger.NewPool(startScriptedServer(t, scripts...), 4, time.Now)
	defer p.Close()
	if a, err := p.Do(context.Background(), request("x")); err != nil || a.Status != 503 {
		t.Fatalf("first attempt: %d, %v; want 503", a.Status, err)
	}
	for n := range 8 {
		if a, err := p.Do(context.Background(), request(string(rune('a'+n)))); err != nil || string(a.Body) != "ran" {
			t.Errorf("request %d behind a copy of the refusal: status %d, %v; want its own answer", n, a.Status, err)
		}
	}
	if a, err := p.Do(context.Background(), request("x")); err != nil || string(a.Body) != "ran" {
		t.Errorf("second attempt: status %d, %v; want its own answer", a.Status, err)
	}
	if _, made := p.ConnectionCounts(); made != 2 {
		t.Errorf("%d connections opened, want 2: the second attempt needs one of its own", made)
	}
}

// TestCutHead guards against an answer whose head breaks off, at any byte, and that is returned as a whole answer with an
// empty or short body.
func TestCutHead(t *testing.T) {
	t.Parallel()
	for name, framing := range map[string]string{"Length": "Content-Length: 1500\r\n", "Chunked": "Transfer-Encoding: chunked\r\n", "None": "", "Close": "Connection: close\r\n"} {
		head := "HTTP/1.1 200 OK\r\nId: a\r\n" + framing + "Seal: s\r\n\r\n"
		for _, end := range []string{"|CLOSE", "|RESET"} {
			for cut := range len(head) {
				p := exchanger.NewPool(startScriptedServer(t, head[:cut]+end), 1, time.Now)
				a, err := p.Do(context.Background(), request("a"))
				var broken *exchanger.BrokenError
				if !errors.As(err, &broken) {
					t.Errorf("%s, head cut at byte %d of %d%s: status %d, error %v; want a BrokenError", name, cut, len(head), end, a.Status, err)
				}
				p.Close()
			}
		}
	}
}
