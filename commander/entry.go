package commander

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/turmericlift/turmericlift/clocker"
	"github.com/turmericlift/turmericlift/conductor"
	"github.com/turmericlift/turmericlift/exchanger"
	"github.com/turmericlift/turmericlift/forwarder"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/logger"
	"github.com/turmericlift/turmericlift/platform"
	"github.com/turmericlift/turmericlift/storer"
)

const (
	// memoryShare is the part of the process's memory limit that the garbage collector
	// keeps to; the rest is for stacks and the kernel's buffers.
	memoryShare = 0.7
	// storeTimeout bounds a call to the platform's store, which answers in milliseconds, and
	// in some hundreds of them when it is slow.
	storeTimeout = 1500 * time.Millisecond
	// storeSilence is the time after which a connection to the store whose bytes are not
	// acknowledged ends.
	storeSilence = 1500 * time.Millisecond
	// storeCalls bounds this instance's calls to the store a second; far above its need.
	storeCalls = 200
	// settingsEvery is the time between two looks at the settings file.
	settingsEvery = time.Second
)

func setUpEntry(c *kingpin.CmdClause) func(context.Context, environment) error {
	settings := flagOf(c, "settings", "The platform's settings file; default: the path in "+platform.VariableSettings+".").String()
	return func(ctx context.Context, env environment) error {
		path := *settings
		if path == "" {
			path = os.Getenv(platform.VariableSettings)
		}
		if path == "" {
			return fmt.Errorf("--settings is empty and %s is not set", platform.VariableSettings)
		}
		return runEntry(ctx, env, path)
	}
}

// runEntry runs an instance on the platform until ctx ends.
func runEntry(ctx context.Context, env environment, path string) error {
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	}
	lines := logger.New(env.out)
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	go lines.Run(logCtx)
	env.log.SetOutput(lines)
	env.log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	log := env.log.WithField("Instance", s.Instance)
	inst := newEntry(s, log, lines)
	go inst.Run(ctx)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	watchCtx, stopWatch := context.WithCancel(ctx)
	watched := make(chan error, 1)
	go func() { watched <- watchSettings(watchCtx, path, s, hup, log) }()
	err = <-inst.Done()
	stopWatch()
	<-watched
	stopLog()
	<-lines.Done() // Its error could only be written to the output that failed.
	return err
}

// newEntry returns an instance with its logs, metrics and the platform's client.
func newEntry(s platform.Settings, log *logrus.Entry, lines *logger.Writer) *conductor.Conductor {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{ // It lives as long as the process.
		Prefix: "Turmericlift", Separator: "_", CachedReporter: reporter,
		OmitCardinalityMetrics: true, SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, metricsEvery)
	registry.MustRegister(client.NewGaugeFunc(client.GaugeOpts{
		Name: "Turmericlift_LogLinesDropped", Help: "Log lines that did not fit the buffer.",
	}, func() float64 { return float64(lines.Dropped()) }))
	transport := &http.Transport{
		DialContext: exchanger.Dialer(storeTimeout, storeSilence).DialContext, MaxIdleConnsPerHost: storeConnections,
		DisableCompression: true,
	}
	store := storer.NewKinds(storer.New("http://"+s.StoreAddress, &http.Client{Transport: transport},
		storer.Budget{CallsPerSecond: storeCalls, Burst: storeCalls}, storeTimeout), platform.Objects{})
	return conductor.New(entrySettings(s), conductor.Kinds{
		Servers: platform.KindServers, Config: platform.KindConfig, Evacuations: platform.KindEvacuations,
		Own: platform.KindOwn, ConfigObject: platform.ObjectConfig,
	}, conductor.Codec{
		Names: forwarder.Names{
			RequestID: platform.HeaderRequestID, TimeLeft: platform.HeaderTimeLeft, ExpectServer: platform.HeaderExpectServer,
			Server:      platform.HeaderServer,
			NotExecuted: platform.HeaderNotExecuted, Seal: platform.HeaderSeal, Load: platform.HeaderLoad, Key: platform.HeaderKey,
		},
		Handover: platform.HeaderHandover, Entry: platform.DecodeEntry, Table: platform.DecodeConfig, EncodeOrder: platform.EncodeOrder,
	}, store, clocker.Now, log, scope, reporter.HTTPHandler())
}

// planningMbps is the link on which one core's worth of planning fits: allocations go to the
// store and their differences to all instances.
const planningMbps = 100

// storeConnections is the number of idle connections to the store: one for each watch and
// a few for calls.
const storeConnections = 8

func entrySettings(s platform.Settings) conductor.Settings {
	at := func(ip netip.Addr, port uint16) string { return net.JoinHostPort(ip.String(), strconv.Itoa(int(port))) }
	out := conductor.Settings{
		Instance: s.Instance, Zone: s.Zone, FrontAddress: s.Front, ReadyAddress: s.Ready,
		Incarnation: identifier.Incarnation(time.Now().UnixNano()),
		PeerAddress: at(s.IP, s.PeerPort), MetricsAddress: at(s.IP, s.MetricsPort),
		Heartbeat: s.Heartbeat, MaxHold: s.Bounds.MaxHold, GraceTime: s.Bounds.GraceTime,
		Strength:  min(s.Cores, s.LinkMbps/planningMbps),
		DrainTime: s.Bounds.DrainTime, ClearTime: s.Bounds.ClearTime,
		RetryRatio: s.Bounds.RetryRatio, RetryWindow: s.Bounds.RetryWindow, RetryExtra: s.Bounds.RetryExtra,
		ColdOvershoot: s.Bounds.ColdOvershoot, ColdSlack: s.Bounds.ColdSlack,
	}
	for _, seed := range s.Seeds {
		out.Seeds = append(out.Seeds, at(seed, s.PeerPort))
	}
	return out
}

// watchSettings reads the settings file again when it changes or a signal comes, and
// logs what a restart would change. Addresses and limits hold for a process's life.
func watchSettings(ctx context.Context, path string, present platform.Settings, hup <-chan os.Signal, log *logrus.Entry) error {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	var changedAt time.Time
	if info, err := os.Stat(path); err == nil {
		changedAt = info.ModTime()
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hup:
			signalled = true
		case <-ticker.C:
		}
		info, err := os.Stat(path)
		if err == nil && info.ModTime().Equal(changedAt) && !signalled {
			continue
		}
		if err == nil {
			changedAt = info.ModTime()
		}
		next, err := platform.ReadSettings(path)
		if err != nil {
			log.WithField("Error", err).Warning("settings are not taken, the ones before stay in force")
			continue
		}
		log.WithFields(logrus.Fields{"Signalled": signalled, "SameStore": next.StoreAddress == present.StoreAddress}).Info("settings read again")
	}
}
