package pipeliner_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/pipeliner"
)

// TestAnswersInOrder guards against answers in the order in which they were ready, which callers would take for those to other
// requests.
func TestAnswersInOrder(t *testing.T) {
	t.Parallel()
	g := newGates(nil)
	c := dial(t, start(t, settings, g).address)
	c.send("/read/1", "/read/2", "/read/3")
	expect(t, "start", g.started, "/read/1", "/read/2", "/read/3")
	close(g.gate("/read/3"))
	close(g.gate("/read/2"))
	close(g.gate("/read/1"))
	c.answered("/read/1", "/read/2", "/read/3")
}

// TestOthersWaitForWrites guards against requests that run beside one that is not idempotent: the caller may have meant the
// order.
func TestOthersWaitForWrites(t *testing.T) {
	t.Parallel()
	g := newGates(nil)
	c := dial(t, start(t, settings, g).address)
	c.send("/read/1", "/write/2", "/read/3", "/read/4")
	expect(t, "start", g.started, "/read/1")
	expectNone(t, "start behind a read", g.started)
	close(g.gate("/read/1"))
	expect(t, "start", g.started, "/write/2")
	expectNone(t, "start behind a write", g.started)
	close(g.gate("/write/2"))
	expect(t, "start", g.started, "/read/3", "/read/4")
	close(g.gate("/read/3"))
	close(g.gate("/read/4"))
	c.answered("/read/1", "/write/2", "/read/3", "/read/4")
}

// TestBodiesRunAlone guards against a body that is read as the next request, or the next request as a body, and against a
// request with a body that runs beside others.
func TestBodiesRunAlone(t *testing.T) {
	t.Parallel()
	g := newGates(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, r.URL.Path+string(body))
	})
	c := dial(t, start(t, settings, g).address)
	c.send("/read/1")
	_, _ = io.WriteString(c, "POST /read/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 28\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	c.send("/read/3")
	expect(t, "start", g.started, "/read/1")
	expectNone(t, "start behind a read", g.started)
	close(g.gate("/read/1"))
	expect(t, "start", g.started, "/read/2")
	expectNone(t, "start before the body is read", g.started)
	close(g.gate("/read/2"))
	expect(t, "start", g.started, "/read/3")
	close(g.gate("/read/3"))
	c.answered("/read/1", "/read/2GET /x HTTP/1.1\r\nHost: h\r\n\r\n", "/read/3")
}

// TestRequestsBounded guards against a caller that sends requests without end: those beyond the bound wait unread. Their caller
// leaves while nothing is read, and all of its requests end.
func TestRequestsBounded(t *testing.T) {
	t.Parallel()
	const bound = 16
	var paths, more []string
	for n := range bound {
		paths = append(paths, fmt.Sprintf("/read/%d", n))
	}
	for n := range 100 {
		more = append(more, fmt.Sprintf("/read/more-%d", n))
	}
	for name, leave := range map[string]func(*caller){
		"Closed":     func(c *caller) { _ = c.Close() },
		"HalfClosed": func(c *caller) { _ = c.CloseWrite() },
		"Reset":      func(c *caller) { _ = c.SetLinger(0); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGates(nil)
			s := start(t, settings, g)
			c := dial(t, s.address)
			c.send(append(paths, more...)...)
			expect(t, "start", g.started, paths...)
			expectNone(t, "start beyond the bound", g.started)
			leave(c)
			expect(t, "end", g.ended, paths...)
			expectNone(t, "start after the caller left", g.started)
			if e := s.events.counts(); e.depth != bound || e.started != bound || e.notRead == 0 {
				t.Errorf("depth %d, %d starts, %d requests not read; want %d, as many, and more than 0", e.depth, e.started, e.notRead, bound)
			}
		})
	}
}

// wrapper wraps the connections of a listener, as packages that bound connections do.
type wrapper struct{ net.Listener }

type wrapped struct{ net.Conn }

func (w wrapper) Accept() (net.Conn, error) {
	c, err := w.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return wrapped{c}, nil
}

// NetConn returns the connection that is wrapped.
func (w wrapped) NetConn() net.Conn { return w.Conn }

// TestWrappedConnections guards against a caller that leaves unnoticed because its connection is wrapped.
func TestWrappedConnections(t *testing.T) {
	t.Parallel()
	g := newGates(nil)
	s := startWith(t, settings, g, func(l net.Listener) net.Listener { return wrapper{l} })
	c := dial(t, s.address)
	c.send("/write/1", "/write/2")
	expect(t, "start", g.started, "/write/1")
	expectNone(t, "start behind a write", g.started)
	_ = c.Close()
	expect(t, "end", g.ended, "/write/1")
	expectNone(t, "start after the caller left", g.started)
}

// TestHeadsBounded guards against the memory of many large heads.
func TestHeadsBounded(t *testing.T) {
	t.Parallel()
	g := newGates(nil)
	c := dial(t, start(t, settings, g).address)
	field := "A: " + strings.Repeat("a", 30000) + "\r\n"
	for n := range 4 {
		_, _ = fmt.Fprintf(c, "GET /read/%d HTTP/1.1\r\nHost: h\r\n%s\r\n", n, field)
	}
	expect(t, "start", g.started, "/read/0", "/read/1")
	expectNone(t, "start beyond the bound", g.started)
	close(g.gate("/read/0"))
	expect(t, "start", g.started, "/read/2")
	for _, p := range []string{"/read/1", "/read/2", "/read/3"} {
		close(g.gate(p))
	}
	c.answered("/read/0", "/read/1", "/read/2", "/read/3")
}

// TestCallerLeaves guards against requests that go on after their caller has left.
func TestCallerLeaves(t *testing.T) {
	t.Parallel()
	g := newGates(nil)
	c := dial(t, start(t, settings, g).address)
	c.send("/read/1", "/read/2", "/write/3")
	expect(t, "start", g.started, "/read/1", "/read/2")
	_ = c.Close()
	expect(t, "end", g.ended, "/read/1", "/read/2")
	expectNone(t, "start after the caller left", g.started)
}

// TestBrokenAnswer guards against an answer that breaks off and looks complete, or is followed by others, and against the loss
// of the answers ahead of it.
func TestBrokenAnswer(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		first bool // The broken answer is the one that is written, not one that waits.
		begun bool // A part of it was written before.
	}{
		"First":      {true, true},
		"FirstEmpty": {true, false},
		"Second":     {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGates(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/read/broken" {
					_, _ = io.WriteString(w, r.URL.Path)
					return
				}
				if c.begun {
					_, _ = io.WriteString(w, strings.Repeat("x", 10000))
					_ = http.NewResponseController(w).Flush()
				}
				panic(http.ErrAbortHandler)
			})
			conn := dial(t, start(t, settings, g).address)
			paths := []string{"/read/1", "/read/broken", "/read/3"}
			if c.first {
				paths = paths[1:]
			}
			conn.send(paths...)
			expect(t, "start", g.started, paths...)
			close(g.gate("/read/broken"))
			close(g.gate("/read/3"))
			time.Sleep(20 * time.Millisecond) // The answers wait, in most runs.
			close(g.gate("/read/1"))
			if !c.first {
				conn.answered("/read/1")
			}
			if a := readAnswer(conn.reader, get); !a.Err {
				t.Errorf("answer %s, want none that is complete", short(a))
			}
			if a := readAnswer(conn.reader, get); !a.Err {
				t.Errorf("answer %s behind one that broke off", short(a))
			}
		})
	}
}

// TestClosingAnswer guards against requests that are forwarded and whose answers are lost because an answer ahead closes the
// connection, as in a planned stop: the last answer closes it. What was not started by then does not run.
func TestClosingAnswer(t *testing.T) {
	t.Parallel()
	g := newGates(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/read/2" { // It is ready before the stop begins.
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	s := start(t, settings, g)
	c := dial(t, s.address)
	c.send("/read/1", "/read/2", "/read/3", "/write/4", "/read/5")
	expect(t, "start", g.started, "/read/1", "/read/2", "/read/3")
	for _, p := range []string{"/read/3", "/read/2", "/read/1"} {
		close(g.gate(p))
		time.Sleep(10 * time.Millisecond)
	}
	if a := c.answered("/read/1"); a.Connection != "" {
		t.Errorf("first answer closes the connection although others follow: %s", short(a))
	}
	if a := c.answered("/read/2"); a.Connection != "" {
		t.Errorf("second answer closes the connection although another follows: %s", short(a))
	}
	if a := c.answered("/read/3"); a.Connection != "close" {
		t.Errorf("last answer does not close the connection: %s", short(a))
	}
	c.closed(false)
	expectNone(t, "start behind a closing answer", g.started)
	if n := s.events.counts().notRead; n != 1 {
		t.Errorf("%d requests not read, want the one that had arrived", n)
	}
}

// TestManyAnswers guards against mixed, lost and doubled answers: many connections send requests whose answers differ in size
// and time. The answers are held as far as the settings allow it, or not at all.
func TestManyAnswers(t *testing.T) {
	t.Parallel()
	none := settings
	none.MaxHeldBytes = 0
	for name, s := range map[string]pipeliner.Settings{"Held": settings, "NotHeld": none} {
		t.Run(name, func(t *testing.T) { testManyAnswers(t, s) })
	}
}

func testManyAnswers(t *testing.T, settings pipeliner.Settings) {
	s := start(t, settings, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := strconv.Atoi(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
		body, _ := io.ReadAll(r.Body)
		time.Sleep(time.Duration(n%7) * 300 * time.Microsecond)
		if n%3 == 0 {
			w.Header().Set("Content-Type", "text/plain")
			w.Header().Set("Content-Length", strconv.Itoa(len(r.URL.Path)+len(body)+n*50))
		}
		_, _ = io.WriteString(w, r.URL.Path+string(body))
		if n%5 == 0 {
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = io.WriteString(w, strings.Repeat("x", n*50))
	}))
	var group sync.WaitGroup
	for conn := range 20 {
		c := dial(t, s.address)
		const count = 300
		path := func(n int) string {
			if (n*31+conn)%11 == 0 {
				return fmt.Sprintf("/write/%d/%d", conn, n)
			}
			return fmt.Sprintf("/read/%d/%d", conn, n)
		}
		group.Go(func() {
			for n := range count {
				if (n+conn)%13 == 0 {
					_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", path(n))
					continue
				}
				_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path(n))
			}
		})
		group.Go(func() {
			for n := range count {
				want := path(n)
				if (n+conn)%13 == 0 {
					want += "body"
				}
				a := readAnswer(c.reader, get)
				if want += strings.Repeat("x", n*50); a.Status != http.StatusOK || a.Body != want {
					t.Errorf("connection %d, request %d: answer %s", conn, n, short(a))
					return
				}
			}
		})
	}
	group.Wait()
}

// TestManyCallersLeave guards against connections and handlers that never end because their caller left at a bad moment. The end
// of the test waits for all connections.
func TestManyCallersLeave(t *testing.T) {
	t.Parallel()
	s := start(t, settings, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := len(r.URL.Path) + int(time.Now().UnixNano()%50)
		select {
		case <-time.After(time.Duration(n) * 50 * time.Microsecond):
		case <-r.Context().Done():
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, strings.Repeat("x", n*3000))
		if n%17 == 0 {
			panic(http.ErrAbortHandler)
		}
	}))
	var group sync.WaitGroup
	for n := range 300 {
		group.Go(func() {
			c := dial(t, s.address)
			for i := range n % 23 {
				path := strings.Repeat("x", (n*7+i*5)%40)
				if (n+i)%9 == 0 {
					_, _ = fmt.Fprintf(c, "POST /write/%s HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n0123456789", path)
				} else {
					_, _ = fmt.Fprintf(c, "GET /read/%s HTTP/1.1\r\nHost: h\r\n\r\n", path)
				}
			}
			_ = c.SetReadDeadline(time.Now().Add(time.Duration(n%50) * time.Millisecond))
			_, _ = io.CopyN(io.Discard, c, int64(n%7*20000))
			_ = c.SetReadDeadline(time.Now().Add(60 * time.Second))
			switch n % 4 {
			case 0:
				_ = c.SetLinger(0)
			case 1:
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, c)
			}
			_ = c.Close()
		})
	}
	group.Wait()
}

// TestShutdown guards against a stop that cuts requests under way, or that waits for idle connections.
func TestShutdown(t *testing.T) {
	t.Parallel()
	g := newGates(nil)
	s := start(t, settings, g)
	idle, fresh, busy := dial(t, s.address), dial(t, s.address), dial(t, s.address)
	idle.send("/read/idle")
	expect(t, "start", g.started, "/read/idle")
	close(g.gate("/read/idle"))
	idle.answered("/read/idle")
	busy.send("/read/1", "/read/2", "/write/3")
	expect(t, "start", g.started, "/read/1", "/read/2")
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	idle.closed(false)
	fresh.closed(false)
	select {
	case err := <-stopped:
		t.Fatalf("stop did not wait for requests under way: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(g.gate("/read/2"))
	close(g.gate("/read/1"))
	busy.answered("/read/1")
	if a := busy.answered("/read/2"); a.Connection != "close" {
		t.Errorf("last answer does not close the connection: %s", short(a))
	}
	busy.closed(false)
	_ = busy.Close()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	expectNone(t, "start after the stop", g.started)
	if c, err := net.Dial("tcp", s.address); err == nil {
		_ = c.Close()
		t.Error("a connection is accepted after the stop")
	}
}
