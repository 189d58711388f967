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

// devToken is the operators' token of the development mode, which is on loopback.
const devToken = "dev"

// devFirstPort is the first port of the development mode: the platform's.
const devFirstPort = 7400

// development is a whole installation on loopback, in one process.
type development struct {
	env       environment
	platform  *imitator.Platform
	url       string
	runners   []*runner.Runner
	names     []string
	nextPort  int
	ended     []<-chan error
	serveStop context.CancelFunc
	serveCtx  context.Context
}

func setUpDev(c *kingpin.CmdClause) func(context.Context, environment) error {
	port := flagOf(c, "dev-port", "First of the ports on loopback; the platform's.").Default(fmt.Sprint(devFirstPort)).Int()
	return func(ctx context.Context, env environment) error {
		env.log.SetLevel(min(logrus.WarnLevel, env.log.GetLevel()))
		d := &development{env: env, nextPort: *port}
		d.serveCtx, d.serveStop = context.WithCancel(context.WithoutCancel(ctx))
		defer d.serveStop()
		if err := d.start(ctx); err != nil {
			return err
		}
		d.announce()
		<-ctx.Done()
		fmt.Fprintln(env.out, "shutting down")
		return d.stop()
	}
}

func (d *development) start(ctx context.Context) error {
	d.platform = imitator.NewPlatform(imitator.PlatformLimits{WritesPerSecond: platformWrites, ReadsPerSecond: platformReads})
	address, err := d.serve(d.platform.Handler())
	if err != nil {
		return err
	}
	d.url = "http://" + address
	total := 0
	for _, o := range sizes {
		total += o.instances
	}
	ids, err := transporter.NewIdentities(time.Now(), 24*time.Hour, total)
	if err != nil {
		return err
	}
	for _, o := range sizes {
		if err := d.startOrganisation(ctx, o, ids[:o.instances]); err != nil {
			return err
		}
		ids = ids[o.instances:]
	}
	return nil
}

func (d *development) startOrganisation(ctx context.Context, o organisationSize, ids []transporter.Identity) error {
	tree, err := o.tree()
	if err != nil {
		return err
	}
	data, err := tree.Encode()
	if err != nil {
		return err
	}
	client := storer.New(d.url, http.DefaultClient, storer.Budget{CallsPerSecond: 10, Burst: 10}, time.Second)
	if _, err := client.Write(ctx, controller.SettingsName(o.name), 0, data); err != nil {
		return err
	}
	for _, s := range o.services {
		for n := range s.servers {
			if err := d.startBackend(o, s, n); err != nil {
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

func (d *development) startBackend(o organisationSize, s serviceSize, n int) error {
	id := fmt.Sprintf("%s-%02d", s.name, n+1)
	b := imitator.NewBackend(imitator.BackendConfig{
		Server: identifier.BackendServer(id), ChecksGrants: true, Slots: s.slots, QueueLength: 4 * s.slots,
		Work: s.work, ColdSlots: 1, WarmAfter: 20,
	}, time.Now, identifier.Incarnation(time.Now().UnixMilli()))
	address, err := d.serve(b.Handler())
	if err != nil {
		return err
	}
	d.platform.PutInstance(storer.Listed{
		ID: id, Kind: storer.KindBackendServer, State: storer.StateLive, Zone: o.zones[n%len(o.zones)],
		Address: address, Organisation: o.name, Service: s.name,
	})
	return nil
}

func (d *development) startInstance(ctx context.Context, o organisationSize, n int, id transporter.Identity) error {
	name := fmt.Sprintf("%s-%d", o.name, n+1)
	zone := o.zones[n%len(o.zones)]
	cfg := runner.Config{
		Instance: identifier.Instance(name), Zone: zone,
		CallerAddress: d.port(), PeerAddress: d.port(), OperatorAddress: d.port(), PlatformURL: d.url,
		PlatformBudget:  storer.Budget{CallsPerSecond: runner.DefaultPlatformCalls, Burst: runner.DefaultPlatformCalls},
		PlatformTimeout: runner.DefaultPlatformTimeout, OperatorToken: devToken, Identity: id,
		BalancerDelay: 100 * time.Millisecond, ShutdownTimeout: 5 * time.Second, Connections: runner.DefaultConnections,
	}
	r, err := newRunner(cfg, d.env.log)
	if err != nil {
		return err
	}
	d.platform.PutInstance(storer.Listed{
		ID: name, Kind: storer.KindEntry, State: storer.StateLive, Zone: zone, Address: r.PeerAddress(),
	})
	d.runners = append(d.runners, r)
	d.names = append(d.names, name)
	go r.Run(ctx)
	return nil
}

func (d *development) port() string {
	d.nextPort++
	return fmt.Sprintf("127.0.0.1:%d", d.nextPort-1)
}

// serve serves a stand-in until the installation ends.
func (d *development) serve(handler http.Handler) (string, error) {
	address := d.port()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen at %q: %w", address, err)
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	ended := make(chan error, 1)
	go func() { ended <- serveUntil(d.serveCtx, s, func() error { return s.Serve(l) }) }()
	d.ended = append(d.ended, ended)
	return address, nil
}

func (d *development) announce() {
	out := d.env.out
	fmt.Fprintf(out, "platform   %s\n", d.url)
	for n, r := range d.runners {
		fmt.Fprintf(out, "instance   %-14s callers http://%s  operators http://%s (token %s)\n",
			d.names[n], r.CallerAddress(), r.OperatorAddress(), devToken)
	}
	quokka := d.runners[len(d.runners)-1].CallerAddress()
	fmt.Fprintf(out, "\nThe keys are served once the first grants are out, about 4 s from now. A keyed read, a write that may not be repeated, and a pool service:\n\n")
	fmt.Fprintf(out, "curl -si http://%[1]s/quokka/sitefront/keys/open-day/index.html && "+
		"curl -si -X POST -H \"Idempotency-Key: publish-$RANDOM\" -d 'build 7' http://%[1]s/quokka/sitefront/keys/open-day/publish && "+
		"curl -si http://%[1]s/quokka/ledger/balance\n\n", quokka)
	fmt.Fprintln(out, "Ctrl-C shuts down.")
}

func (d *development) stop() error {
	var errs []error
	for _, r := range d.runners {
		errs = append(errs, <-r.Done())
	}
	d.serveStop()
	for _, ended := range d.ended {
		errs = append(errs, <-ended)
	}
	return errors.Join(errs...)
}
