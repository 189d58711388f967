package connector

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// transport is an http.Transport whose connections are Conns.
type transport struct{ *http.Transport }

// NewTransport returns t with connections that are opened by dial and wrapped by New. It sets t's DialContext.
func NewTransport(t *http.Transport, dial DialFunc) http.RoundTripper {
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(c), nil
	}
	return transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { // Before the request is written.
			if c, ok := info.Conn.(*Conn); ok { // With TLS, the bytes of c are not those of the answer.
				_ = c.BeginAnswer(nil) // It cannot fail without bytes.
			}
		},
	})
	return t.Transport.RoundTrip(req.WithContext(ctx))
}
