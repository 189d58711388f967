package pipeliner_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

var benchmarkBody = make([]byte, 400)

// benchmarkAnswer answers as package forwarder does: with a deadline, and with the header and the body of a backend server.
func benchmarkAnswer(w http.ResponseWriter, _ *http.Request) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(3 * time.Second))
	h := w.Header()
	h["Content-Type"] = []string{"text/plain"}
	h["Load"] = []string{"1,0,6,100"}
	h.Set("Keep-Alive", "timeout=2")
	h.Set("Content-Length", "400")
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(benchmarkBody)
}

// bothServers runs a benchmark against net/http's server and against package pipeliner.
func bothServers(b *testing.B, benchmark func(b *testing.B, address string)) {
	handler := http.HandlerFunc(benchmarkAnswer)
	b.Run("Standard", func(b *testing.B) {
		s := httptest.NewUnstartedServer(handler)
		s.Config.ReadHeaderTimeout, s.Config.IdleTimeout, s.Config.MaxHeaderBytes = settings.HeaderTimeout, settings.IdleTimeout, settings.MaxHeaderBytes
		s.Start()
		defer s.Close()
		benchmark(b, s.Listener.Addr().String())
	})
	b.Run("Pipeliner", func(b *testing.B) { benchmark(b, start(b, settings, handler).address) })
}

const benchmarkRequest = "GET /read/x HTTP/1.1\r\nHost: h\r\nId: 0123456789abcdef\r\nLeft: 1500\r\nKey: 4711\r\nUser-Agent: benchmark\r\n\r\n"

// benchmarkCaller sends requests and skips answers without allocating.
type benchmarkCaller struct {
	conn   net.Conn
	answer []byte
}

func newBenchmarkCaller(b *testing.B, address string) *benchmarkCaller {
	b.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	c := &benchmarkCaller{conn: conn}
	c.send(b, benchmarkRequest)
	reader := bufio.NewReader(conn)
	size := 0
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			b.Fatal(err)
		}
		if size += len(line); line == "\r\n" {
			break
		}
	}
	if _, err := io.CopyN(io.Discard, reader, int64(len(benchmarkBody))); err != nil {
		b.Fatal(err)
	}
	c.answer = make([]byte, size+len(benchmarkBody))
	return c
}

func (c *benchmarkCaller) send(b *testing.B, raw string) {
	if _, err := io.WriteString(c.conn, raw); err != nil {
		b.Fatal(err)
	}
}

func (c *benchmarkCaller) receive(b *testing.B) {
	if _, err := io.ReadFull(c.conn, c.answer); err != nil {
		b.Fatal(err)
	}
}

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// reportCost reports the allocations and, since the machine may be busy, the processor time of a benchmark from now on. Both
// include those of the caller.
func reportCost(b *testing.B) (report func()) {
	b.Helper()
	b.ReportAllocs()
	before := processorTime(b)
	return func() { b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op") }
}

// BenchmarkOneRequest measures a connection with one request.
func BenchmarkOneRequest(b *testing.B) {
	bothServers(b, func(b *testing.B, address string) {
		defer reportCost(b)()
		for b.Loop() {
			_ = newBenchmarkCaller(b, address).conn.Close()
		}
	})
}

// BenchmarkSequence measures 100 requests on a connection, each sent after the answer to the one before.
func BenchmarkSequence(b *testing.B) {
	bothServers(b, func(b *testing.B, address string) {
		c := newBenchmarkCaller(b, address)
		defer func() { _ = c.conn.Close() }()
		defer reportCost(b)()
		for b.Loop() {
			for range 100 {
				c.send(b, benchmarkRequest)
				c.receive(b)
			}
		}
	})
}

// BenchmarkPipelined measures 100 requests on a connection that are sent together.
func BenchmarkPipelined(b *testing.B) {
	bothServers(b, func(b *testing.B, address string) {
		c := newBenchmarkCaller(b, address)
		defer func() { _ = c.conn.Close() }()
		all := strings.Repeat(benchmarkRequest, 100)
		defer reportCost(b)()
		for b.Loop() {
			c.send(b, all)
			for range 100 {
				c.receive(b)
			}
		}
	})
}

// BenchmarkIdle measures the memory of idle connections.
func BenchmarkIdle(b *testing.B) {
	bothServers(b, func(b *testing.B, address string) {
		const count = 1000
		for b.Loop() {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			callers := make([]*benchmarkCaller, count)
			for n := range callers {
				callers[n] = newBenchmarkCaller(b, address)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/count, "B/connection")
			for _, c := range callers {
				_ = c.conn.Close()
			}
		}
	})
}
