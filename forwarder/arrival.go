package forwarder

import (
	"context"
	"time"
)

// arrivalKey is the key of the time of a request's arrival in its context.
type arrivalKey struct{}

// WithArrival returns a context for a request whose first byte arrived at a time of the Forwarder's clock. It is meant for
// servers that read requests before they can run: the request's time runs from then on.
func WithArrival(ctx context.Context, at time.Time) context.Context {
	return context.WithValue(ctx, arrivalKey{}, at)
}

// arrivalTime returns when a request arrived: the present time, unless its server says so.
func (f *Forwarder) arrivalTime(ctx context.Context) time.Time {
	if at, ok := ctx.Value(arrivalKey{}).(time.Time); ok {
		return at
	}
	return f.clock()
}

// IsIdempotent reports whether requests for a host and path may run more than once, by the route that matches them now. It is
// false if none does.
func (f *Forwarder) IsIdempotent(host, path string) bool {
	table := f.core.Table()
	if table == nil {
		return false
	}
	route := table.Match(host, path)
	return route != nil && route.Idempotent
}
