package sender

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// roundTrip sends a request and returns the answer, whose status is 200 or above. net/http bounds the number of interim
// answers and skips them, but it returns answers with a status below 100 and those that switch the protocol (101), and would use
// the connections of the former again. The body of the latter is the connection, whose reading does not end with the context. Here
// they are errors, and their connections are closed.
func roundTrip(transport http.RoundTripper, req *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[net.Conn]
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn.Store(&info.Conn) },
	})
	resp, err := transport.RoundTrip(req.WithContext(ctx))
	if err != nil || resp.StatusCode >= http.StatusOK {
		return resp, err
	}
	if c := conn.Load(); c != nil {
		_ = (*c).Close() // Before the body, whose closing could read its rest.
	}
	_ = resp.Body.Close()
	return nil, fmt.Errorf("answer with the status %q", resp.Status)
}
