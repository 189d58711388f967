package soaker

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/turmericlift/turmericlift/clocker"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/imitator"
	"github.com/turmericlift/turmericlift/platform"
	"github.com/turmericlift/turmericlift/platform/impersonator"
)

// instance is one instance under test: a process of the real program, with links of its
// own to the store and to each backend server.
type instance struct {
	number      int
	settings    platform.Settings
	program     string
	folder      string
	storeLink   *link
	serverLinks []*link // Indexed by the number of the backend server.

	mu              sync.Mutex
	cmd             *exec.Cmd // Nil if no process runs.
	exitResult      chan error
	exitExpected    bool      // The process has been sent SIGTERM or SIGKILL.
	startedAt       time.Time // Start of the process.
	lastFaultAt     time.Time // Last time at which a fault of this instance was in force, or its process started or exited.
	lastPausedAt    time.Time // Last time at which the process was paused.
	previousFaultAt time.Time // Value of lastFaultAt before the latest signal.
	sigtermAt       time.Time // Time at which the process was sent SIGTERM; zero if it was not.
	starts          int       // Number of processes started so far; it identifies the process.
	stopped         bool      // No process is started any more.
}

// instanceMemoryMB is the memory limit in the settings of a process.
const instanceMemoryMB = 256

// instanceMaxFDs is the limit on file descriptors there.
const instanceMaxFDs = 1024

// newInstance returns an instance without a process and without links. The processes'
// settings and logs go to folder.
func newInstance(number int, program, folder string) (*instance, error) {
	ports, err := imitator.FreePorts(4)
	if err != nil {
		return nil, err
	}
	zone := identifier.Zone([]string{"a", "b"}[number%2])
	return &instance{
		number: number, program: program, folder: folder,
		settings: platform.Settings{
			Instance: identifier.Instance(fmt.Sprintf("entry-%d", number)), Zone: zone,
			IP: netip.MustParseAddr("127.0.0.1"), MemoryMB: instanceMemoryMB, MaxFDs: instanceMaxFDs,
			PeerPort: min(ports[0], ports[1]), MetricsPort: max(ports[0], ports[1]),
			FrontAddress: fmt.Sprintf("127.0.0.1:%d", ports[2]), ReadyAddress: fmt.Sprintf("127.0.0.1:%d", ports[3]),
			Heartbeat: heartbeatInterval, Bounds: bounds,
		},
	}, nil
}

// start starts a process of the program, with new files for its settings and its log. It
// does nothing if a process runs or the instance was stopped.
func (inst *instance) start(now time.Time) error {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.cmd != nil || inst.stopped {
		return nil
	}
	inst.starts++
	name := fmt.Sprintf("%s-%d", inst.settings.Instance, inst.starts)
	file := filepath.Join(inst.folder, name+".toml")
	if err := os.WriteFile(file, impersonator.EncodeSettings(inst.settings), 0o600); err != nil {
		return fmt.Errorf("write the settings of process %s: %w", name, err)
	}
	log, err := os.Create(filepath.Join(inst.folder, name+".log"))
	if err != nil {
		return fmt.Errorf("create the log of process %s: %w", name, err)
	}
	defer func() { _ = log.Close() }() // The process has a descriptor of its own.
	cmd := exec.Command(inst.program, "entry")
	cmd.Env = append(os.Environ(), platform.EnvSettingsFile+"="+file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start process %s: %w", name, err)
	}
	inst.cmd, inst.exitExpected, inst.startedAt, inst.sigtermAt = cmd, false, now, time.Time{}
	inst.lastFaultAt = now
	exitResult := make(chan error, 1)
	inst.exitResult = exitResult
	go func() { exitResult <- cmd.Wait() }() // Received by pollExit.
	return nil
}

// signal sends a signal to the process and records a fault. It does nothing if no process
// runs.
func (inst *instance) signal(now time.Time, s syscall.Signal) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.cmd == nil {
		return
	}
	inst.previousFaultAt, inst.lastFaultAt = inst.lastFaultAt, now
	switch s {
	case syscall.SIGTERM:
		inst.exitExpected, inst.sigtermAt = true, now
	case syscall.SIGKILL:
		inst.exitExpected = true
	}
	_ = inst.cmd.Process.Signal(s) // An error means that the process has exited, which pollExit reports.
}

// pollExit reports whether the process has exited since the last call. If so, expected
// says whether it had been sent SIGTERM or SIGKILL, and err is the error of exec.Cmd.Wait.
func (inst *instance) pollExit(now time.Time) (exited, expected bool, err error) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.cmd == nil {
		return false, false, nil
	}
	select {
	case err = <-inst.exitResult:
		inst.cmd, inst.lastFaultAt = nil, now
		return true, inst.exitExpected, err
	default:
		return false, false, nil
	}
}

// stop kills the process, waits until it has exited or ctx ends, and prevents further
// starts.
func (inst *instance) stop(ctx context.Context, now time.Time) {
	inst.mu.Lock()
	inst.stopped = true
	inst.mu.Unlock()
	inst.signal(now, syscall.SIGKILL)
	for {
		inst.mu.Lock()
		running := inst.cmd != nil
		inst.mu.Unlock()
		if !running || !clocker.Sleep(ctx, pollInterval) {
			return
		}
		_, _, _ = inst.pollExit(now) // The exit is expected.
	}
}

// undisturbed reports whether the process runs, and for stabilizationTime no fault has
// been in force at the instance, at its link to the store or at the given links.
func (inst *instance) undisturbed(now time.Time, links ...*link) bool {
	inst.mu.Lock()
	undisturbed := inst.cmd != nil && now.Sub(inst.lastFaultAt) > stabilizationTime
	inst.mu.Unlock()
	for _, l := range append(links, inst.storeLink) {
		m, since := l.state()
		undisturbed = undisturbed && m == Open && now.Sub(since) > stabilizationTime
	}
	return undisturbed
}

// sigtermTime returns when the present process, or the last one if none runs, was sent
// SIGTERM, and whether it was.
func (inst *instance) sigtermTime() (time.Time, bool) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	return inst.sigtermAt, !inst.sigtermAt.IsZero()
}

// lastPause returns the last time at which the process was paused.
func (inst *instance) lastPause() time.Time {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	return inst.lastPausedAt
}

// recordPause records that the process is paused at now, which is a fault.
func (inst *instance) recordPause(now time.Time) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	inst.lastPausedAt, inst.lastFaultAt = now, now
}

// undisturbedBefore reports whether, apart from a SIGTERM sent at sigtermAt, no fault has
// been in force at the instance or its links from stabilizationTime before the signal
// until now.
func (inst *instance) undisturbedBefore(sigtermAt time.Time) bool {
	inst.mu.Lock()
	undisturbed := !inst.lastFaultAt.After(sigtermAt) && sigtermAt.Sub(inst.startedAt) > stabilizationTime &&
		inst.previousFaultAt.Before(sigtermAt.Add(-stabilizationTime))
	inst.mu.Unlock()
	for _, l := range append([]*link{inst.storeLink}, inst.serverLinks...) {
		m, since := l.state()
		undisturbed = undisturbed && m == Open && since.Before(sigtermAt.Add(-stabilizationTime))
	}
	return undisturbed
}
