package commander

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/controller"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/imitator"
	"github.com/turmericlift/turmericlift/runner"
	"github.com/turmericlift/turmericlift/storer"
	"github.com/turmericlift/turmericlift/transporter"
)

// devToken is the operators' token in development mode. It needs no secret, because all addresses are on loopback.
const devToken = "dev"

// devFirstPort is the default of the first port in development mode. The simulated platform listens there.
const devFirstPort = 7400

// installation is a platform with backend servers and instances that all run in this process and listen on loopback.
type installation struct {
	env           environment
	platform      *imitator.Platform
	platformURL   string
	runners       []*runner.Runner
	instanceNames []string // instanceNames holds the names of the runners, in their order.
	nextPort      int
	serverErrors  []<-chan error     // serverErrors holds a channel for each server; its result arrives there.
	stopServers   context.CancelFunc // stopServers ends the simulated platform and backend servers.
	serversCtx    context.Context
}

func setUpDev(c *kingpin.CmdClause) func(context.Context, environment) error {
	port := addFlag(c, "dev-port", "First port on loopback; the platform listens there, all others use the ports after it.").Default(fmt.Sprint(devFirstPort)).Int()
	return func(ctx context.Context, env environment) error {
		env.log.SetLevel(min(logrus.WarnLevel, env.log.GetLevel()))
		d := &installation{env: env, nextPort: *port}
		d.serversCtx, d.stopServers = context.WithCancel(context.WithoutCancel(ctx))
		defer d.stopServers()
		if err := d.start(ctx); err != nil {
			return err
		}
		d.printAddresses()
		<-ctx.Done()
		fmt.Fprintln(env.out, "signal received; shutting down all instances")
		return d.stop()
	}
}

// start starts the platform and the organisations. The instances run until ctx ends.
func (d *installation) start(ctx context.Context) error {
	d.platform = imitator.NewPlatform(imitator.PlatformLimits{WritesPerSecond: platformWritesPerSecond, ReadsPerSecond: platformReadsPerSecond})
	address, err := d.startServer(d.platform.Handler())
	if err != nil {
		return err
	}
	d.platformURL = "http://" + address
	total := 0
	for _, o := range devOrganisations {
		total += o.instances
	}
	ids, err := transporter.NewIdentities(time.Now(), 24*time.Hour, total)
	if err != nil {
		return err
	}
	for _, o := range devOrganisations {
		if err := d.startOrganisation(ctx, o, ids[:o.instances]); err != nil {
			return err
		}
		ids = ids[o.instances:]
	}
	return nil
}

// startOrganisation writes an organisation's settings and starts its backend servers, then its instances.
func (d *installation) startOrganisation(ctx context.Context, o organisationSpec, ids []transporter.Identity) error {
	tree, err := o.settingsTree()
	if err != nil {
		return err
	}
	data, err := tree.Encode()
	if err != nil {
		return err
	}
	client := storer.New(d.platformURL, http.DefaultClient, storer.Budget{CallsPerSecond: 10, Burst: 10}, time.Second)
	if _, err := client.Write(ctx, controller.SettingsName(o.name), 0, data); err != nil {
		return err
	}
	for _, s := range o.services {
		for n := range s.servers {
			if err := d.startBackendServer(o, s, n); err != nil {
				return err
			}
		}
	}
	for n, id := range ids {
		if err := d.startInstance(ctx, o, n, id); err != nil {
			return err
		}
	}
	return nil
}

// startBackendServer starts backend server n of a service and registers it at the platform. The backend servers of
// a service are spread over the organisation's zones in turn.
func (d *installation) startBackendServer(o organisationSpec, s serviceSpec, n int) error {
	id := fmt.Sprintf("%s-%02d", s.name, n+1)
	b := imitator.NewBackend(imitator.BackendConfig{
		Server: identifier.BackendServer(id), ChecksGrants: true, Slots: s.slots, QueueLength: 4 * s.slots,
		ServiceTime: s.serviceTime, ColdSlots: 1, WarmAfter: 20,
	}, time.Now, identifier.Incarnation(time.Now().UnixMilli()))
	address, err := d.startServer(b.Handler())
	if err != nil {
		return err
	}
	d.platform.PutInstance(storer.ListedInstance{
		ID: id, Kind: storer.KindBackendServer, State: storer.StateLive, Zone: o.zones[n%len(o.zones)],
		Address: address, Organisation: o.name, Service: s.name,
	})
	return nil
}

// startInstance starts instance n of an organisation and registers it at the platform. The instances are spread over
// the organisation's zones in turn.
func (d *installation) startInstance(ctx context.Context, o organisationSpec, n int, id transporter.Identity) error {
	name := fmt.Sprintf("%s-%d", o.name, n+1)
	zone := o.zones[n%len(o.zones)]
	cfg := runner.Config{
		Instance: identifier.Instance(name), Zone: zone,
		CallerAddress: d.nextAddress(), PeerAddress: d.nextAddress(), OperatorAddress: d.nextAddress(), PlatformURL: d.platformURL,
		PlatformBudget:  storer.Budget{CallsPerSecond: runner.DefaultPlatformCallsPerSecond, Burst: runner.DefaultPlatformCallsPerSecond},
		PlatformTimeout: runner.DefaultPlatformTimeout, OperatorToken: devToken, Identity: id,
		BalancerDelay: 100 * time.Millisecond, ShutdownTimeout: 5 * time.Second, MaxServerConnections: runner.DefaultMaxServerConnections,
	}
	r, err := newRunner(cfg, d.env.log)
	if err != nil {
		return err
	}
	d.platform.PutInstance(storer.ListedInstance{
		ID: name, Kind: storer.KindEntry, State: storer.StateLive, Zone: zone, Address: r.PeerAddress(),
	})
	d.runners = append(d.runners, r)
	d.instanceNames = append(d.instanceNames, name)
	go r.Run(ctx)
	return nil
}

// nextAddress returns an address on loopback with the next port.
func (d *installation) nextAddress() string {
	d.nextPort++
	return fmt.Sprintf("127.0.0.1:%d", d.nextPort-1)
}

// startServer serves a simulated platform or backend server at the next address until stopServers is called, and
// returns the address.
func (d *installation) startServer(handler http.Handler) (string, error) {
	address := d.nextAddress()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen on TCP address %q: %w", address, err)
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	ended := make(chan error, 1)
	go func() { ended <- serveUntil(d.serversCtx, s, func() error { return s.Serve(l) }) }()
	d.serverErrors = append(d.serverErrors, ended)
	return address, nil
}

// printAddresses prints where the platform and the instances listen, and commands to try them.
func (d *installation) printAddresses() {
	out := d.env.out
	fmt.Fprintf(out, "platform   %s\n", d.platformURL)
	for n, r := range d.runners {
		fmt.Fprintf(out, "instance   %-14s callers http://%s  operators http://%s (token %s)\n",
			d.instanceNames[n], r.CallerAddress(), r.OperatorAddress(), devToken)
	}
	quokka := d.runners[len(d.runners)-1].CallerAddress()
	fmt.Fprintf(out, "\nKeys are served once the first grants have been given, about 4 s from now. A keyed read, a non-idempotent write, and a request to a pool service:\n\n")
	fmt.Fprintf(out, "curl -si http://%[1]s/quokka/sitefront/keys/open-day/index.html && "+
		"curl -si -X POST -H \"Idempotency-Key: publish-$RANDOM\" -d 'build 7' http://%[1]s/quokka/sitefront/keys/open-day/publish && "+
		"curl -si http://%[1]s/quokka/ledger/balance\n\n", quokka)
	fmt.Fprintln(out, "Press Ctrl-C to shut down.")
}

// stop waits until all instances have shut down, for which they need the platform, then ends the simulated platform
// and backend servers. It returns all their errors.
func (d *installation) stop() error {
	var errs []error
	for _, r := range d.runners {
		errs = append(errs, <-r.Done())
	}
	d.stopServers()
	for _, ended := range d.serverErrors {
		errs = append(errs, <-ended)
	}
	return errors.Join(errs...)
}
