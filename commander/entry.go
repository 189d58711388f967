package commander

import (
	"context"
	"fmt"
	"math"
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
	"golang.org/x/sys/unix"

	"github.com/turmericlift/turmericlift/clocker"
	"github.com/turmericlift/turmericlift/conductor"
	"github.com/turmericlift/turmericlift/connector"
	"github.com/turmericlift/turmericlift/exchanger"
	"github.com/turmericlift/turmericlift/forwarder"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/logger"
	"github.com/turmericlift/turmericlift/platform"
	"github.com/turmericlift/turmericlift/storer"
)

const (
	// memoryLimitShare is the share of the process's memory limit that becomes the Go runtime's soft memory limit;
	// the rest is for stacks and the kernel's buffers.
	memoryLimitShare = 0.7
	// bodyMemoryShare is the share of the process's memory that the bodies of callers' requests may hold together, and
	// peerMemoryShare that of the messages of other instances. With what the garbage collector has not freed yet and the
	// rest of the heap they stay below the soft limit.
	bodyMemoryShare = 0.35
	peerMemoryShare = 0.1
	// answerMemoryShare is the share of the process's memory that answers may hold which wait for others of their connections.
	answerMemoryShare = 0.05
	// defaultMemoryBytes is the memory that the shares are of if the settings file does not state it.
	defaultMemoryBytes = 512 << 20
	// headMemoryShare is the share that the heads of callers' requests may use together, connectionShare the share that
	// bounds the number of callers' connections, of which each is counted with connectionBytes, and writerShare that for
	// answers that callers read slowly, of which each is counted with writerBytes.
	headMemoryShare = 0.08
	connectionShare = 0.2
	writerShare     = 0.1
	// connectionBytes is about twice what an idle connection of net/http uses: two goroutines, two buffers and its context.
	connectionBytes = 32 << 10
	// writerBytes is what is held of an answer that is being written: its first 64 KiB and a buffer of 32 KiB.
	writerBytes = 96 << 10
	// reservedDescriptors are those that are not for connections of callers and of backend servers: listeners, readiness
	// checks, metrics, the store and the settings file.
	reservedDescriptors = 96
	// minConnections is the smallest bound on callers' connections, whatever the settings file states.
	minConnections = 16
	// gcPercent is the growth of the heap, in per cent of the live heap, after which the garbage collector runs. The live
	// heap is a small part of an instance's memory, and its processor is not.
	gcPercent = 300
	// storeTimeout bounds a call to the platform's store, which answers within milliseconds, and within some
	// hundred milliseconds when it is slow.
	storeTimeout = 1500 * time.Millisecond
	// storeAckTimeout is how long sent bytes may stay unacknowledged before a connection to the store is closed.
	storeAckTimeout = 1500 * time.Millisecond
	// storeCallsPerSecond bounds the calls per second from this instance to the store. It is far above what an
	// instance needs.
	storeCallsPerSecond = 200
	// settingsPollInterval is the time between two checks whether the settings file has changed.
	settingsPollInterval = time.Second
)

func setUpEntry(c *kingpin.CmdClause) func(context.Context, environment) error {
	settings := addFlag(c, "settings", "The platform's settings file; default: the path in the environment variable "+platform.EnvSettingsFile+".").String()
	return func(ctx context.Context, env environment) error {
		path := *settings
		if path == "" {
			path = os.Getenv(platform.EnvSettingsFile)
		}
		if path == "" {
			return fmt.Errorf("no settings file: --settings is empty and the environment variable %s is not set", platform.EnvSettingsFile)
		}
		return runInstance(ctx, env, path)
	}
}

// runInstance runs an instance with the platform's settings file at path until ctx ends and the instance has shut
// down. The log is written to env.out in JSON without ever blocking the instance.
func runInstance(ctx context.Context, env environment, path string) error {
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMB) * (1 << 20)))
		debug.SetGCPercent(gcPercent)
	}
	logWriter := logger.New(env.out)
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	go logWriter.Run(logCtx)
	env.log.SetOutput(logWriter)
	env.log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	log := env.log.WithField("Instance", s.Instance)
	inst := newInstance(s, log, logWriter)
	go inst.Run(ctx)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	watchCtx, stopWatch := context.WithCancel(ctx)
	watched := make(chan error, 1)
	go func() { watched <- logSettingsChanges(watchCtx, path, s, hup, log) }()
	err = <-inst.Done()
	stopWatch()
	<-watched
	stopLog()
	<-logWriter.Done() // The error is dropped: it could only be written to the output that failed.
	return err
}

// newInstance returns an instance that does not run yet, with its metrics and its client of the platform's store.
// The metrics include the number of lines that logWriter has dropped.
func newInstance(s platform.Settings, log *logrus.Entry, logWriter *logger.Writer) *conductor.Conductor {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{ // The scope is never closed: it lives as long as the process.
		Prefix: "Turmericlift", Separator: "_", CachedReporter: reporter,
		OmitCardinalityMetrics: true, SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, metricsInterval)
	registry.MustRegister(client.NewGaugeFunc(client.GaugeOpts{
		Name: "Turmericlift_LogLinesDropped", Help: "Log lines that did not fit the buffer.",
	}, func() float64 { return float64(logWriter.Dropped()) }))
	transport := connector.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: maxIdleStoreConnections, DisableCompression: true, MaxResponseHeaderBytes: maxStoreHeaderBytes,
	}, exchanger.NewDialer(storeTimeout, storeAckTimeout).DialContext)
	store := storer.NewKindClient(storer.New("http://"+s.StoreAddress, &http.Client{Transport: transport},
		storer.Budget{CallsPerSecond: storeCallsPerSecond, Burst: storeCallsPerSecond}, storeTimeout), platform.ObjectDialect{})
	return conductor.New(conductorSettings(s), conductor.Kinds{
		Servers: platform.KindServers, Config: platform.KindConfig, Evacuations: platform.KindEvacuations,
		Shared: platform.KindShared, ConfigObject: platform.ConfigObjectName,
	}, conductor.Codec{
		HeaderNames: forwarder.HeaderNames{
			RequestID: platform.HeaderRequestID, TimeLeft: platform.HeaderTimeLeft, ExpectServer: platform.HeaderExpectServer,
			Server:      platform.HeaderServer,
			NotExecuted: platform.HeaderNotExecuted, Seal: platform.HeaderSeal, Load: platform.HeaderLoad, Key: platform.HeaderKey, Tenant: platform.HeaderTenant,
		},
		HandoverHeader: platform.HeaderHandover, DecodeEntry: platform.DecodeEntry, DecodeNotice: platform.DecodeNotice, DecodeColdRemaining: platform.DecodeColdRemaining, DecodeTable: platform.DecodeConfig, EncodeOrder: platform.EncodeOrder,
	}, store, clocker.Now, log, scope, reporter.HTTPHandler())
}

// linkMbpsPerCore is the link rate, in Mbit/s, that planning needs for each core that it uses: a planner writes
// allocations to the store and sends their differences to all instances.
const linkMbpsPerCore = 100

// maxStoreHeaderBytes bounds the headers of an answer of the store, in bytes.
const maxStoreHeaderBytes = 64 << 10

// maxIdleStoreConnections bounds the idle connections that are kept to the store: one for each watch and a few for
// calls.
const maxIdleStoreConnections = 8

// conductorSettings derives the instance's settings from the platform's. The incarnation is the start time in
// nanoseconds. Capacity is in cores, reduced on a machine whose link is too slow for them.
func conductorSettings(s platform.Settings) conductor.Settings {
	memory := float64(s.MemoryMB) * (1 << 20)
	if s.MemoryMB <= 0 {
		memory = defaultMemoryBytes
	}
	address := func(ip netip.Addr, port uint16) string { return net.JoinHostPort(ip.String(), strconv.Itoa(int(port))) }
	out := conductor.Settings{
		Instance: s.Instance, Zone: s.Zone, FrontAddress: s.FrontAddress, ReadyAddress: s.ReadyAddress,
		Incarnation: identifier.Incarnation(time.Now().UnixNano()),
		PeerAddress: address(s.IP, s.PeerPort), MetricsAddress: address(s.IP, s.MetricsPort),
		Callers: conductor.CallerLimits{
			Connections: maxCallerConnections(s.MaxFDs, memory), Writers: max(int(writerShare*memory/writerBytes), minConnections),
			HeadMemory: int64(headMemoryShare * memory),
		},
		BodyMemory: int64(bodyMemoryShare * memory), PeerMemory: int64(peerMemoryShare * memory), AnswerMemory: int64(answerMemoryShare * memory),
		Heartbeat: s.Heartbeat, MaxLeaseDuration: s.Bounds.MaxLeaseDuration, GraceTime: s.Bounds.GraceTime,
		Capacity:  min(s.Cores, s.LinkMbps/linkMbpsPerCore),
		DrainTime: s.Bounds.DrainTime, EvacuationTime: s.Bounds.EvacuationTime,
		RetryRatio: s.Bounds.RetryRatio, RetryWindow: s.Bounds.RetryWindow, RetryExtra: s.Bounds.RetryExtra,
		ColdOvershoot: s.Bounds.ColdOvershoot, ColdSlack: s.Bounds.ColdSlack,
		PipelinedRequests: s.PipelinedRequests, CostAware: s.PipelinedRequests,
		QuotaWindow: s.Bounds.QuotaWindow, QuotaOvershoot: s.Bounds.QuotaOvershoot, QuotaSlack: s.Bounds.QuotaSlack, Bootstrap: s.Bootstrap,
		StrictRevoke: s.Bounds.StrictRevoke, RevokeTime: s.Bounds.RevokeTime,
	}
	for _, seed := range s.Seeds {
		out.Seeds = append(out.Seeds, address(seed, s.PeerPort))
	}
	return out
}

// maxCallerConnections returns the largest number of callers' connections. Half of the descriptors that are not reserved are
// for them, the other half for connections to backend servers. maxFDs is 0 if it is not known; then the process's own limit on
// descriptors applies.
func maxCallerConnections(maxFDs int, memory float64) int {
	byMemory := int(connectionShare * memory / connectionBytes)
	if maxFDs == 0 {
		var own unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &own); err != nil || own.Cur > math.MaxInt32 {
			return max(byMemory, minConnections)
		}
		maxFDs = int(own.Cur)
	}
	return max(min((maxFDs-reservedDescriptors)/2, byMemory), minConnections)
}

// logSettingsChanges reads the settings file again when its modification time changes or a signal arrives on hup,
// and logs whether it is valid and still names the same store. It applies nothing: addresses and limits stay as they
// are until the process restarts. It returns the error of ctx when ctx ends.
func logSettingsChanges(ctx context.Context, path string, running platform.Settings, hup <-chan os.Signal, log *logrus.Entry) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	var modifiedAt time.Time
	if info, err := os.Stat(path); err == nil {
		modifiedAt = info.ModTime()
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
		if err == nil && info.ModTime().Equal(modifiedAt) && !signalled {
			continue
		}
		if err == nil {
			modifiedAt = info.ModTime()
		}
		next, err := platform.ReadSettings(path)
		if err != nil {
			log.WithField("Error", err).Warning("settings file is not valid; settings read at start stay in force")
			continue
		}
		log.WithFields(logrus.Fields{"Signalled": signalled, "SameStore": next.StoreAddress == running.StoreAddress}).Info("settings file read again; changes apply after a restart")
	}
}
