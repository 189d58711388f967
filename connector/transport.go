package connector

import (
	"context"
	"net"
	"net/http"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns t with connections that are opened by dial and wrapped by New. It sets t's DialContext.
func NewTransport(t *http.Transport, dial DialFunc) http.RoundTripper {
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(c), nil
	}
	return t
}
