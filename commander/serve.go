package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/runner"
	"github.com/turmericlift/turmericlift/storer"
	"github.com/turmericlift/turmericlift/transporter"
)

// variableOf returns the environment variable of a flag.
func variableOf(flag string) string {
	return "TURMERICLIFT_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// serveFlags are the flags of an instance.
type serveFlags struct {
	instance, zone                string
	caller, peer, operator        string
	platform, token               string
	certificate, key, authority   string
	platformCalls, connections    int
	platformTimeout, shutdownTime time.Duration
	balancerDelay                 time.Duration
}

func setUpServe(c *kingpin.CmdClause) func(context.Context, environment) error {
	f := &serveFlags{}
	flagOf(c, "instance", "Name of this instance.").Required().StringVar(&f.instance)
	flagOf(c, "zone", "Availability zone of this instance.").Required().StringVar(&f.zone)
	flagOf(c, "caller-address", "IP and TCP port for callers.").Default("127.0.0.1:8080").StringVar(&f.caller)
	flagOf(c, "peer-address", "IP and UDP port for other instances.").Default("127.0.0.1:8081").StringVar(&f.peer)
	flagOf(c, "operator-address", "IP and TCP port for operators.").Default("127.0.0.1:8082").StringVar(&f.operator)
	flagOf(c, "platform", "URL of the platform's object API.").Required().StringVar(&f.platform)
	flagOf(c, "platform-calls", "Most calls a second to the platform.").
		Default(fmt.Sprint(runner.DefaultPlatformCalls)).IntVar(&f.platformCalls)
	flagOf(c, "platform-timeout", "Time after which a call to the platform has failed.").
		Default(runner.DefaultPlatformTimeout.String()).DurationVar(&f.platformTimeout)
	flagOf(c, "operator-token", "Token that operators' calls must carry.").Required().StringVar(&f.token)
	flagOf(c, "peer-certificate", "File with this instance's certificate (PEM).").Required().StringVar(&f.certificate)
	flagOf(c, "peer-key", "File with the certificate's key (PEM).").Required().StringVar(&f.key)
	flagOf(c, "peer-authority", "File with the authority of all instances' certificates (PEM).").Required().StringVar(&f.authority)
	flagOf(c, "connections", "Most connections to one backend server.").
		Default(fmt.Sprint(runner.DefaultConnections)).IntVar(&f.connections)
	flagOf(c, "balancer-delay", "Time the balancer needs to see that an instance is not ready.").
		Default(runner.DefaultBalancerDelay.String()).DurationVar(&f.balancerDelay)
	flagOf(c, "shutdown-timeout", "Most time that a graceful shutdown takes.").
		Default(runner.DefaultShutdownTimeout.String()).DurationVar(&f.shutdownTime)
	return f.run
}

func (f *serveFlags) run(ctx context.Context, env environment) error {
	cfg, err := f.config()
	if err != nil {
		return err
	}
	r, err := newRunner(cfg, env.log)
	if err != nil {
		return err
	}
	fmt.Fprintf(env.out, "instance %s in %s: callers %s, peers %s, operators %s\n",
		cfg.Instance, cfg.Zone, r.CallerAddress(), r.PeerAddress(), r.OperatorAddress())
	go r.Run(ctx)
	return <-r.Done()
}

func (f *serveFlags) config() (runner.Config, error) {
	files := []struct{ flag, path string }{
		{"peer-certificate", f.certificate}, {"peer-key", f.key}, {"peer-authority", f.authority},
	}
	contents := make([][]byte, len(files))
	for n, file := range files {
		data, err := os.ReadFile(file.path)
		if err != nil {
			return runner.Config{}, &runner.SettingError{Flag: file.flag, Variable: variableOf(file.flag), Value: file.path, Rule: err.Error()}
		}
		contents[n] = data
	}
	if f.platformCalls < 1 || f.connections < 1 {
		return runner.Config{}, &runner.SettingError{Flag: "platform-calls, --connections",
			Variable: variableOf("platform-calls"), Value: fmt.Sprint(f.platformCalls, f.connections), Rule: "at least 1"}
	}
	return runner.Config{
		Instance: identifier.Instance(f.instance), Zone: identifier.Zone(f.zone),
		CallerAddress: f.caller, PeerAddress: f.peer, OperatorAddress: f.operator, PlatformURL: f.platform,
		PlatformBudget:  storer.Budget{CallsPerSecond: float64(f.platformCalls), Burst: f.platformCalls},
		PlatformTimeout: f.platformTimeout, OperatorToken: f.token,
		Identity:      transporter.Identity{Certificate: contents[0], Key: contents[1], Authority: contents[2]},
		BalancerDelay: f.balancerDelay, ShutdownTimeout: f.shutdownTime, Connections: f.connections,
	}, nil
}

// metricsEvery is the time between two reports of metrics to the scrape endpoint.
const metricsEvery = time.Second

// newRunner returns an instance with its loggers and metrics.
func newRunner(cfg runner.Config, log *logrus.Logger) (*runner.Runner, error) {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	// The scope lives as long as the process.
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "Turmericlift", Separator: "_", CachedReporter: reporter,
		OmitCardinalityMetrics: true, SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, metricsEvery)
	fields := logrus.Fields{"Instance": cfg.Instance}
	logs := runner.Logs{
		Control:  log.WithFields(fields).WithField("Subsystem", "control"),
		Platform: log.WithFields(fields).WithField("Subsystem", "platform"),
		Requests: log.WithFields(fields).WithField("Subsystem", "requests"),
	}
	return runner.New(time.Now(), cfg, logs, scope, reporter.HTTPHandler())
}

func setUpIdentities(c *kingpin.CmdClause) func(context.Context, environment) error {
	dir := c.Flag("directory", "Where to write the files.").Required().String()
	n := c.Flag("instances", "Number of instances.").Default("1").Int()
	valid := c.Flag("valid", "How long the certificates are valid.").Default("24h").Duration()
	return func(_ context.Context, env environment) error {
		ids, err := transporter.NewIdentities(time.Now(), *valid, *n)
		if err != nil {
			return err
		}
		return writeIdentities(env.out, *dir, ids)
	}
}

// keyMode keeps private keys from other users.
const keyMode = 0o600

func writeIdentities(out io.Writer, dir string, ids []transporter.Identity) error {
	for n, id := range ids {
		files := map[string][]byte{"authority.pem": id.Authority}
		files[fmt.Sprintf("instance-%d.pem", n+1)] = id.Certificate
		files[fmt.Sprintf("instance-%d.key", n+1)] = id.Key
		for name, data := range files {
			if err := os.WriteFile(dir+"/"+name, data, keyMode); err != nil {
				return fmt.Errorf("write identity: %w", err)
			}
		}
	}
	fmt.Fprintf(out, "%d identities in %s\n", len(ids), dir)
	return nil
}

// serveUntil runs a stand-in's server and ends it when ctx ends.
func serveUntil(ctx context.Context, s *http.Server, serve func() error) error {
	ended := make(chan error, 1)
	go func() { ended <- serve() }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		_ = s.Close()
		<-ended
		return nil
	}
}
