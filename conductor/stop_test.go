package conductor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/forwarder"
	"github.com/turmericlift/turmericlift/registrar"
)

const (
	// stopGrace is the grace time of the planned stops in these tests, and stopTimeout the longest route time-out.
	stopGrace   = 5 * time.Second
	stopTimeout = 2500 * time.Millisecond
	// stopWork is how long a request runs.
	stopWork = 2300 * time.Millisecond
)

// stopRecorder records which requests reached the backend server.
type stopRecorder struct {
	mu  sync.Mutex
	ran map[string]bool
}

// ServeHTTP runs a request. Its load report says that nothing else runs, as one that is late may.
func (s *stopRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Id")
	s.mu.Lock()
	s.ran[id] = true
	s.mu.Unlock()
	work := stopWork
	if r.URL.Path == "/quick/x" {
		work = time.Millisecond
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
	}
	w.Header().Set("Id", id)
	w.Header().Set("Seal", "sealed")
	w.Header().Set("Load", "0,0,64,100")
}

// stopAnswer is what a caller saw of one request.
type stopAnswer struct {
	id     string
	sentAt time.Duration // Since the start of the stop.
	status int           // 0 if the connection ended without an answer.
	err    error
}

// stopCaller sends a request over a connection, which may have been opened before, and returns what it saw.
func stopCaller(conn net.Conn, path, id string, stopAt time.Time) stopAnswer {
	a := stopAnswer{id: id, sentAt: time.Since(stopAt)}
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, a.err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nLeft: 9000\r\nContent-Length: 2\r\n\r\nxy", path, id); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		a.err = err
		return a
	}
	if _, a.err = io.Copy(io.Discard, resp.Body); a.err == nil {
		a.status = resp.StatusCode
	}
	_ = resp.Body.Close()
	return a
}

// TestPlannedStopAnswersAll guards against a planned stop that cuts requests which it took late in the grace time, and against
// one that breaks off work because of late load reports. The requests arrive until the last moment, over new connections, over
// connections that were opened some time before, and over kept ones, and take long; those that may run once only are
// answered with what the backend server said, or refused and not run.
func TestPlannedStopAnswersAll(t *testing.T) {
	for name, pipelined := range map[string]bool{"Standard": false, "Pipeliner": true} {
		t.Run(name, func(t *testing.T) { testPlannedStopAnswersAll(t, pipelined) })
	}
}

func testPlannedStopAnswersAll(t *testing.T, pipelined bool) {
	for name, idempotent := range map[string]bool{"RunOnce": false, "Idempotent": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			recorder := &stopRecorder{ran: map[string]bool{}}
			backend := httptest.NewServer(recorder)
			t.Cleanup(backend.Close)
			now := time.Now()
			c := newIdle(&now)
			c.clock = time.Now
			c.settings.GraceTime = stopGrace
			c.codec.HeaderNames = forwarder.HeaderNames{RequestID: "Id", TimeLeft: "Left", ExpectServer: "Expected-Server", Server: "Server", NotExecuted: "Not-Run", Seal: "Seal", Load: "Load", Key: "Key"}
			c.codec.DecodeNotice = func(int, http.Header) (registrar.Notice, error) { return registrar.Notice{}, nil }
			shares := []director.Share{{Service: "s", Weight: 1}}
			c.mu.Lock()
			c.view.table = director.New(1, []director.Route{
				{Name: "long", Host: "h", PathPrefix: "/long/", Idempotent: idempotent, Timeout: stopTimeout, TargetLatency: time.Second, MaxAttempts: 2, Shares: shares},
				{Name: "quick", Host: "h", PathPrefix: "/quick/", Idempotent: idempotent, Timeout: time.Second, TargetLatency: time.Second, MaxAttempts: 2, Shares: shares},
			}, []director.Service{{Name: "s", MaxConnections: 4000}}, director.Limits{MaxBodyBytes: 100})
			c.view.entries["x"] = registrar.Entry{ID: "x", Incarnation: 1, Service: "s", Zone: "a", Slots: 2000, Address: backend.Listener.Addr().String()}
			c.refresh(time.Now())
			c.mu.Unlock()
			callers := forwarder.New(c.codec.HeaderNames, c.codec.DecodeNotice, c, c.bodies, c.clock, c.log)
			c.settings.PipelinedRequests = pipelined
			front := c.newFront(callers, callers)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = front.Serve(listener) }()
			answers := playPlannedStop(c, callers, front, listener.Addr().String())
			recorder.mu.Lock()
			defer recorder.mu.Unlock()
			counts := map[int]int{}
			for _, a := range answers {
				counts[a.status]++
				ran := recorder.ran[a.id]
				switch {
				case a.status == 0 && ran:
					t.Errorf("%s, sent %s after the stop began, ran and its connection ended without an answer: %v", a.id, a.sentAt.Round(time.Millisecond), a.err)
				case a.status == http.StatusServiceUnavailable && ran:
					t.Errorf("%s, sent %s after the stop began, ran and was answered 503", a.id, a.sentAt.Round(time.Millisecond))
				case a.status == http.StatusBadGateway && a.sentAt >= 0:
					t.Errorf("%s, sent %s after the stop began, was broken off", a.id, a.sentAt.Round(time.Millisecond))
				case !idempotent && a.status != 0 && a.status != http.StatusOK && a.status != http.StatusServiceUnavailable:
					t.Errorf("%s, sent %s after the stop began, was answered %d", a.id, a.sentAt.Round(time.Millisecond), a.status)
				}
			}
			if counts[http.StatusOK] < 100 || counts[http.StatusServiceUnavailable] == 0 {
				t.Errorf("answers by status: %v", counts)
			}
			t.Logf("answers by status: %v", counts)
		})
	}
}

// playPlannedStop lets callers send requests to an instance that stops, until it has stopped. It returns what they saw of
// those whose connection was accepted.
func playPlannedStop(c *Conductor, callers *forwarder.Forwarder, front httpServer, address string) []stopAnswer {
	stopAt := time.Now().Add(time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	var answers []stopAnswer
	record := func(a stopAnswer) {
		mu.Lock()
		answers = append(answers, a)
		mu.Unlock()
	}
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return nil // The instance accepts no more connections.
		}
		return conn
	}
	ctx, cancel := context.WithDeadline(context.Background(), stopAt.Add(stopGrace))
	defer cancel()
	for n := 0; ctx.Err() == nil; n++ {
		switch conn := dial(); {
		case conn == nil:
		case n%3 == 0: // New connection.
			group.Go(func() { record(stopCaller(conn, "/long/x", fmt.Sprintf("new-%d", n), stopAt)); _ = conn.Close() })
		case n%3 == 1: // The request follows some time after the connection.
			group.Go(func() {
				time.Sleep(time.Duration(n%20) * 100 * time.Millisecond)
				record(stopCaller(conn, "/long/x", fmt.Sprintf("late-%d", n), stopAt))
				_ = conn.Close()
			})
		default: // Kept connection: a quick request, and a long one that follows unless the answer says that the connection ends.
			group.Go(func() {
				defer func() { _ = conn.Close() }()
				if first := stopCaller(conn, "/quick/x", fmt.Sprintf("quick-%d", n), stopAt); first.status == http.StatusOK && time.Since(stopAt) < 0 {
					time.Sleep(time.Duration(n%17) * 100 * time.Millisecond)
					record(stopCaller(conn, "/long/x", fmt.Sprintf("kept-%d", n), stopAt))
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
		if n == 100 {
			group.Go(func() { c.drain(callers, front); _ = front.Close() })
		}
	}
	group.Wait()
	return answers
}
