package conductor

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/forwarder"
)

// slowListener accepts connections on which bytes that have arrived are read late, as on a busy machine.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConn{c}, nil
}

type slowConn struct{ net.Conn }

// readDelay is the time between the arrival of bytes and their reading.
const readDelay = 100 * time.Millisecond

func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	time.Sleep(readDelay)
	return n, err
}

// keptConnection is a caller's connection that is used for many requests.
type keptConnection struct {
	conn   net.Conn
	reader *bufio.Reader
	idleAt time.Time
}

// TestPlannedStopKeepsRequests guards against requests that a planned stop cuts although they were sent over kept connections
// in good time: they had arrived and were not read yet, so that their connections were closed as idle. Callers close a
// connection where an answer says so, and leave one that was idle for longer than an answer allowed.
func TestPlannedStopKeepsRequests(t *testing.T) {
	t.Parallel()
	for name, pipelined := range map[string]bool{"Standard": false, "Pipeliner": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testPlannedStopKeepsRequests(t, pipelined)
		})
	}
}

func testPlannedStopKeepsRequests(t *testing.T, pipelined bool) {
	now := time.Now()
	c := newIdle(&now)
	c.settings.GraceTime = 6 * time.Second
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	callers := forwarder.New(forwarder.HeaderNames{RequestID: "Id"}, nil, c, c.bodies, time.Now, c.log)
	c.settings.PipelinedRequests, c.clock = pipelined, time.Now
	front := c.newFront(callers, callers)
	go func() { _ = front.Serve(slowListener{listener}) }()
	stopped := make(chan struct{})
	var cut, answered sync.Map
	var group sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for n := range 20 {
		group.Add(1)
		go func() {
			defer group.Done()
			var kept *keptConnection
			for i := 0; ctx.Err() == nil; i++ {
				if kept != nil && time.Since(kept.idleAt) >= forwarder.CallerKeepAlive {
					_ = kept.conn.Close()
					kept = nil
				}
				if kept == nil {
					conn, err := net.Dial("tcp", listener.Addr().String())
					if err != nil {
						return // The instance accepts no more connections.
					}
					kept = &keptConnection{conn: conn, reader: bufio.NewReader(conn)}
				}
				id := fmt.Sprintf("%d-%d", n, i)
				first := kept.idleAt.IsZero()
				_, _ = fmt.Fprintf(kept.conn, "GET /x HTTP/1.1\r\nHost: h\r\nId: %s\r\n\r\n", id)
				resp, err := http.ReadResponse(kept.reader, nil)
				if err != nil {
					if !first {
						cut.Store(id, err)
					}
					_ = kept.conn.Close()
					kept = nil
					continue
				}
				_ = resp.Body.Close()
				answered.Store(id, true)
				kept.idleAt = time.Now()
				if resp.Close {
					_ = kept.conn.Close()
					kept = nil
				} else if !strings.Contains(resp.Header.Get("Keep-Alive"), "timeout=2") {
					t.Errorf("answer without the time for which its connection is kept: %v", resp.Header)
				}
				time.Sleep(time.Duration(10*(n+1)) * time.Millisecond)
			}
		}()
	}
	time.Sleep(time.Second)
	go func() {
		defer close(stopped)
		c.drain(callers, front)
		_ = front.Close()
	}()
	<-stopped
	group.Wait()
	cut.Range(func(id, err any) bool {
		t.Errorf("request %s on a kept connection was cut: %v", id, err)
		return true
	})
	count := 0
	answered.Range(func(any, any) bool { count++; return true })
	if count < 100 {
		t.Errorf("%d requests answered, want at least 100", count)
	}
}
