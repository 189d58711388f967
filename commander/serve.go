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

// environmentVariable returns the name of the environment variable that sets a flag: TURMERICLIFT_PEER_KEY for
// peer-key.
func environmentVariable(flag string) string {
	return "TURMERICLIFT_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// serveFlags holds the values of the flags of the command serve.
type serveFlags struct {
	instance, zone                              string
	callerAddress, peerAddress, operatorAddress string
	platformURL, operatorToken                  string
	certificateFile, keyFile, authorityFile     string
	platformCalls, connections                  int
	platformTimeout, shutdownTimeout            time.Duration
	balancerDelay                               time.Duration
}

func setUpServe(c *kingpin.CmdClause) func(context.Context, environment) error {
	f := &serveFlags{}
	addFlag(c, "instance", "Name of this instance.").Required().StringVar(&f.instance)
	addFlag(c, "zone", "Availability zone of this instance.").Required().StringVar(&f.zone)
	addFlag(c, "caller-address", "IP address and TCP port for callers.").Default("127.0.0.1:8080").StringVar(&f.callerAddress)
	addFlag(c, "peer-address", "IP address and UDP port for other instances.").Default("127.0.0.1:8081").StringVar(&f.peerAddress)
	addFlag(c, "operator-address", "IP address and TCP port for operators.").Default("127.0.0.1:8082").StringVar(&f.operatorAddress)
	addFlag(c, "platform", "URL of the platform's object API.").Required().StringVar(&f.platformURL)
	addFlag(c, "platform-calls", "Maximum calls per second to the platform.").
		Default(fmt.Sprint(runner.DefaultPlatformCallsPerSecond)).IntVar(&f.platformCalls)
	addFlag(c, "platform-timeout", "Time-out of a call to the platform.").
		Default(runner.DefaultPlatformTimeout.String()).DurationVar(&f.platformTimeout)
	addFlag(c, "operator-token", "Token that operators' calls must carry.").Required().StringVar(&f.operatorToken)
	addFlag(c, "peer-certificate", "File with this instance's certificate (PEM).").Required().StringVar(&f.certificateFile)
	addFlag(c, "peer-key", "File with the certificate's private key (PEM).").Required().StringVar(&f.keyFile)
	addFlag(c, "peer-authority", "File with the certificate authority of all instances (PEM).").Required().StringVar(&f.authorityFile)
	addFlag(c, "connections", "Maximum connections to one backend server.").
		Default(fmt.Sprint(runner.DefaultMaxServerConnections)).IntVar(&f.connections)
	addFlag(c, "balancer-delay", "Time that the load balancer needs to notice that an instance is not ready.").
		Default(runner.DefaultBalancerDelay.String()).DurationVar(&f.balancerDelay)
	addFlag(c, "shutdown-timeout", "Time-out of a graceful shutdown.").
		Default(runner.DefaultShutdownTimeout.String()).DurationVar(&f.shutdownTimeout)
	return f.run
}

// run runs an instance until ctx ends and the instance has shut down.
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

// config returns the instance's process settings, with the contents of the files that the flags name. An error is a
// *runner.SettingError.
func (f *serveFlags) config() (runner.Config, error) {
	files := []struct{ flag, path string }{
		{"peer-certificate", f.certificateFile}, {"peer-key", f.keyFile}, {"peer-authority", f.authorityFile},
	}
	contents := make([][]byte, len(files))
	for n, file := range files {
		data, err := os.ReadFile(file.path)
		if err != nil {
			return runner.Config{}, &runner.SettingError{Flag: file.flag, Variable: environmentVariable(file.flag), Value: file.path, Reason: err.Error()}
		}
		contents[n] = data
	}
	if f.platformCalls < 1 || f.connections < 1 {
		return runner.Config{}, &runner.SettingError{Flag: "platform-calls, --connections",
			Variable: environmentVariable("platform-calls"), Value: fmt.Sprint(f.platformCalls, f.connections), Reason: "both must be at least 1"}
	}
	return runner.Config{
		Instance: identifier.Instance(f.instance), Zone: identifier.Zone(f.zone),
		CallerAddress: f.callerAddress, PeerAddress: f.peerAddress, OperatorAddress: f.operatorAddress, PlatformURL: f.platformURL,
		PlatformBudget:  storer.Budget{CallsPerSecond: float64(f.platformCalls), Burst: f.platformCalls},
		PlatformTimeout: f.platformTimeout, OperatorToken: f.operatorToken,
		Identity:      transporter.Identity{Certificate: contents[0], Key: contents[1], Authority: contents[2]},
		BalancerDelay: f.balancerDelay, ShutdownTimeout: f.shutdownTimeout, MaxServerConnections: f.connections,
	}, nil
}

// metricsInterval is the time between two updates of the metrics that the scrape endpoint serves.
const metricsInterval = time.Second

// newRunner returns an instance that listens but does not run yet, with its loggers and metrics.
func newRunner(cfg runner.Config, log *logrus.Logger) (*runner.Runner, error) {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	// The scope is never closed: it lives as long as the process.
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "Turmericlift", Separator: "_", CachedReporter: reporter,
		OmitCardinalityMetrics: true, SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, metricsInterval)
	fields := logrus.Fields{"Instance": cfg.Instance}
	logs := runner.Loggers{
		Control:  log.WithFields(fields).WithField("Subsystem", "control"),
		Platform: log.WithFields(fields).WithField("Subsystem", "platform"),
		Requests: log.WithFields(fields).WithField("Subsystem", "requests"),
	}
	return runner.New(time.Now(), cfg, logs, scope, reporter.HTTPHandler())
}

func setUpIdentities(c *kingpin.CmdClause) func(context.Context, environment) error {
	dir := c.Flag("directory", "Directory to write the files to.").Required().String()
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

// identityFileMode lets only the owner read the files, because some are private keys.
const identityFileMode = 0o600

// writeIdentities writes the certificate authority, and each instance's certificate and private key, to a directory.
func writeIdentities(out io.Writer, dir string, ids []transporter.Identity) error {
	for n, id := range ids {
		files := map[string][]byte{"authority.pem": id.Authority}
		files[fmt.Sprintf("instance-%d.pem", n+1)] = id.Certificate
		files[fmt.Sprintf("instance-%d.key", n+1)] = id.Key
		for name, data := range files {
			if err := os.WriteFile(dir+"/"+name, data, identityFileMode); err != nil {
				return fmt.Errorf("write identity file: %w", err)
			}
		}
	}
	fmt.Fprintf(out, "wrote %d identities to %s\n", len(ids), dir)
	return nil
}

// serveUntil runs serve, which serves s, and closes s when ctx ends. It returns the error of serve if that ends first,
// else nil. Requests under way are cut off: s is a simulated system.
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
