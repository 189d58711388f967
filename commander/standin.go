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

// The call limits of the users' platform, which the simulated platform has too.
const (
	platformWritesPerSecond = 400
	platformReadsPerSecond  = 2000
)

func setUpStandinPlatform(c *kingpin.CmdClause) func(context.Context, environment) error {
	address := addFlag(c, "address", "IP address and TCP port to listen at.").Default("127.0.0.1:7000").String()
	return func(ctx context.Context, env environment) error {
		p := imitator.NewPlatform(imitator.PlatformLimits{WritesPerSecond: platformWritesPerSecond, ReadsPerSecond: platformReadsPerSecond})
		return listenAndServe(ctx, env, "platform", *address, p.Handler())
	}
}

func setUpStandinBackend(c *kingpin.CmdClause) func(context.Context, environment) error {
	address := addFlag(c, "address", "IP address and TCP port to listen at.").Required().String()
	server := addFlag(c, "server", "Name of the backend server.").Required().String()
	checksGrants := addFlag(c, "checks-grants", "Whether the server refuses requests without a grant in force.").Default("true").Bool()
	slots := addFlag(c, "slots", "Maximum requests that run at the same time.").Default("6").Int()
	queueLength := addFlag(c, "queue", "Maximum requests that wait for a slot.").Default("16").Int()
	serviceTime := addFlag(c, "work", "Service time of a request.").Default("2ms").Duration()
	coldSlots := addFlag(c, "cold-slots", "Requests that a cold server can run at the same time; the simulator does not enforce it.").Default("1").Int()
	warmAfter := addFlag(c, "warm-after", "Number of requests after which the server is warm.").Default("20").Int()
	return func(ctx context.Context, env environment) error {
		b := imitator.NewBackend(imitator.BackendConfig{
			Server: identifier.BackendServer(*server), ChecksGrants: *checksGrants, Slots: *slots, QueueLength: *queueLength,
			ServiceTime: *serviceTime, ColdSlots: *coldSlots, WarmAfter: *warmAfter,
		}, time.Now, identifier.Incarnation(time.Now().UnixMilli()))
		return listenAndServe(ctx, env, *server, *address, b.Handler())
	}
}

// listenAndServe prints the address of a simulated system and serves it until ctx ends.
func listenAndServe(ctx context.Context, env environment, name, address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on TCP address %q: %w", address, err)
	}
	fmt.Fprintf(env.out, "%s listens at %s\n", name, l.Addr())
	s := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	return serveUntil(ctx, s, func() error { return s.Serve(l) })
}
