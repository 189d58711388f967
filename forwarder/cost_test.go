package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// BenchmarkRequest measures a request on a new connection of the caller, to a backend server on a new connection.
func BenchmarkRequest(b *testing.B) {
	b.Run("Standard", func(b *testing.B) { benchmarkRequest(b, false) })
	b.Run("Pipeliner", func(b *testing.B) { benchmarkRequest(b, true) })
}

func benchmarkRequest(b *testing.B, pipelined bool) {
	address := startForwarder(b, pipelined, func(server net.Conn) {
		_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nId: id-1\r\nSeal: sealed\r\nLoad: 1,0,6,100\r\nConnection: close\r\nContent-Length: 400\r\n\r\n")
		_, _ = server.Write(make([]byte, 400))
	})
	for b.Loop() {
		caller, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.WriteString(caller, "GET /read/a HTTP/1.1\r\nHost: h\r\nId: id-1\r\nLeft: 2000\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		_ = caller.Close()
	}
}
