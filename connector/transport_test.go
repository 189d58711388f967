package connector_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/turmericlift/turmericlift/connector"
)

// TestReusedConnection guards against a malformed head that passes because its answer is not the first one on the connection, and
// against a request that net/http sends again on its own after such an answer.
func TestReusedConnection(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var connections, requests atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go answerInTurn(c, &requests, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nOdd Name: x\r\nContent-Length: 2\r\n\r\nno")
		}
	}()
	client := &http.Client{Transport: connector.NewTransport(&http.Transport{}, (&net.Dialer{}).DialContext)}
	defer client.CloseIdleConnections()
	for n, wantOK := range []bool{true, false, true, false} {
		resp, err := client.Get("http://" + l.Addr().String() + "/")
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		if (err == nil) != wantOK {
			t.Errorf("request %d: %v, want an answer: %t", n+1, err, wantOK)
		}
	}
	if connections.Load() != 2 || requests.Load() != 4 {
		t.Errorf("%d requests on %d connections, want 4 on 2", requests.Load(), connections.Load())
	}
}

// answerInTurn answers each request on a connection with the next text, and counts them.
func answerInTurn(c net.Conn, requests *atomic.Int64, texts ...string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for _, text := range texts {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		requests.Add(1)
		_, _ = io.WriteString(c, text)
	}
	_, _ = io.Copy(io.Discard, reader) // Ends when the other side closes the connection.
}
