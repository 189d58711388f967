package commander

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/imitator"
)

// The platform's limits as the users give them.
const (
	platformWrites = 400  // A second.
	platformReads  = 2000 // A second.
)

func setUpStandinPlatform(c *kingpin.CmdClause) func(context.Context, environment) error {
	address := flagOf(c, "address", "IP and TCP port to listen at.").Default("127.0.0.1:7000").String()
	return func(ctx context.Context, env environment) error {
		p := imitator.NewPlatform(imitator.PlatformLimits{WritesPerSecond: platformWrites, ReadsPerSecond: platformReads})
		return listenAndServe(ctx, env, "platform", *address, p.Handler())
	}
}

func setUpStandinBackend(c *kingpin.CmdClause) func(context.Context, environment) error {
	address := flagOf(c, "address", "IP and TCP port to listen at.").Required().String()
	server := flagOf(c, "server", "Name of the backend server.").Required().String()
	checks := flagOf(c, "checks-grants", "Whether the server checks grants.").Default("true").Bool()
	slots := flagOf(c, "slots", "Requests that run at a time.").Default("6").Int()
	queue := flagOf(c, "queue", "Requests that wait for a slot.").Default("16").Int()
	work := flagOf(c, "work", "Time that a request takes.").Default("2ms").Duration()
	cold := flagOf(c, "cold-slots", "Requests that a cold server bears.").Default("1").Int()
	warm := flagOf(c, "warm-after", "Requests after which the server is warm.").Default("20").Int()
	return func(ctx context.Context, env environment) error {
		b := imitator.NewBackend(imitator.BackendConfig{
			Server: identifier.BackendServer(*server), ChecksGrants: *checks, Slots: *slots, QueueLength: *queue,
			Work: *work, ColdSlots: *cold, WarmAfter: *warm,
		}, time.Now, identifier.Incarnation(time.Now().UnixMilli()))
		return listenAndServe(ctx, env, *server, *address, b.Handler())
	}
}

func listenAndServe(ctx context.Context, env environment, name, address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen at %q: %w", address, err)
	}
	fmt.Fprintf(env.out, "%s at %s\n", name, l.Addr())
	s := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	return serveUntil(ctx, s, func() error { return s.Serve(l) })
}
