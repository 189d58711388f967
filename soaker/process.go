package soaker

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/turmericlift/turmericlift/clocker"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/platform"
	"github.com/turmericlift/turmericlift/platform/impersonator"
)

// entry is one entry instance: a process of the real program, with links of its own to
// the store and to each backend server.
type entry struct {
	number   int
	settings platform.Settings
	program  string
	folder   string
	store    *link
	servers  []*link // By backend server.

	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan error
	expected bool      // The soak ends the process, or has.
	started  time.Time // Of the process.
	touched  time.Time // When a fault of this instance was last in force.
	calmTill time.Time // When the one before was.
	termAt   time.Time // When it got SIGTERM; zero before.
	starts   int
	closed   bool // Starts no process any more.
}

// entryMemoryMB is the memory limit that the settings name.
const entryMemoryMB = 256

func newEntry(number int, program, folder string) (*entry, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	zone := identifier.Zone([]string{"a", "b"}[number%2])
	return &entry{
		number: number, program: program, folder: folder,
		settings: platform.Settings{
			Instance: identifier.Instance(fmt.Sprintf("entry-%d", number)), Zone: zone,
			IP: netip.MustParseAddr("127.0.0.1"), MemoryMB: entryMemoryMB,
			PeerPort: min(ports[0], ports[1]), MetricsPort: max(ports[0], ports[1]),
			Front: fmt.Sprintf("127.0.0.1:%d", ports[2]), Ready: fmt.Sprintf("127.0.0.1:%d", ports[3]),
			Heartbeat: heartbeat, Bounds: bounds,
		},
	}, nil
}

// freePorts returns ports that were free a moment ago.
func freePorts(n int) ([]uint16, error) {
	ports := make([]uint16, 0, n)
	for tries := 0; len(ports) < n; tries++ {
		port := uint16(leastPort + rand.Intn(mostPort-leastPort)) // Not from the seed: several soaks may run at once.
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(int(port))))
		switch {
		case err == nil:
			defer func() { _ = l.Close() }()
			ports = append(ports, port)
		case tries == mostTries:
			return nil, fmt.Errorf("find a free port: %w", err)
		}
	}
	return ports, nil
}

// Ports from leastPort to mostPort are below those that the kernel gives to outgoing
// connections, so none of them is taken while a process is down.
const (
	leastPort = 12000
	mostPort  = 32000
	mostTries = 100
)

// start runs the program. Its log goes to a file of its own in the soak's folder.
func (e *entry) start(now time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil || e.closed {
		return nil
	}
	e.starts++
	name := fmt.Sprintf("%s-%d", e.settings.Instance, e.starts)
	file := filepath.Join(e.folder, name+".toml")
	if err := os.WriteFile(file, impersonator.Settings(e.settings), 0o600); err != nil {
		return fmt.Errorf("settings of %s: %w", name, err)
	}
	log, err := os.Create(filepath.Join(e.folder, name+".log"))
	if err != nil {
		return fmt.Errorf("log of %s: %w", name, err)
	}
	defer func() { _ = log.Close() }() // The process has a descriptor of its own.
	cmd := exec.Command(e.program, "entry")
	cmd.Env = append(os.Environ(), platform.VariableSettings+"="+file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	e.cmd, e.expected, e.started, e.termAt = cmd, false, now, time.Time{}
	e.touched = now
	ended := make(chan error, 1)
	e.ended = ended
	go func() { ended <- cmd.Wait() }() // Read by exited or by stop.
	return nil
}

// signal sends a signal to the process, if one runs.
func (e *entry) signal(now time.Time, s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil {
		return
	}
	e.calmTill, e.touched = e.touched, now
	switch s {
	case syscall.SIGTERM:
		e.expected, e.termAt = true, now
	case syscall.SIGKILL:
		e.expected = true
	}
	_ = e.cmd.Process.Signal(s) // It has ended, which exited reports.
}

// exited reports that the process has ended, and whether the soak had ended it.
func (e *entry) exited(now time.Time) (ended, expected bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil {
		return false, false, nil
	}
	select {
	case err = <-e.ended:
		e.cmd, e.touched = nil, now
		return true, e.expected, err
	default:
		return false, false, nil
	}
}

// stop ends the process for good.
func (e *entry) stop(ctx context.Context, now time.Time) {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.signal(now, syscall.SIGKILL)
	for {
		e.mu.Lock()
		running := e.cmd != nil
		e.mu.Unlock()
		if !running || !clocker.Sleep(ctx, heldPoll) {
			return
		}
		_, _, _ = e.exited(now) // Its end is wanted.
	}
}

// inTouch reports whether no fault has been in force at the instance, its link to the
// store or the given other link for the time in which it settles.
func (e *entry) inTouch(now time.Time, others ...*link) bool {
	e.mu.Lock()
	quiet := e.cmd != nil && now.Sub(e.touched) > contactTime
	e.mu.Unlock()
	for _, l := range append(others, e.store) {
		m, since := l.state()
		quiet = quiet && m == Open && now.Sub(since) > contactTime
	}
	return quiet
}

// terminated reports whether the process that runs, or the last one, got SIGTERM.
func (e *entry) terminated() (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.termAt, !e.termAt.IsZero()
}

// touch notes that a fault was in force.
func (e *entry) touch(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.touched = now
}

// calmBefore reports whether no fault other than a SIGTERM at a time has been in force at
// the instance for the time in which it settles, nor is one now.
func (e *entry) calmBefore(term time.Time) bool {
	e.mu.Lock()
	quiet := !e.touched.After(term) && term.Sub(e.started) > contactTime && e.calmTill.Before(term.Add(-contactTime))
	e.mu.Unlock()
	for _, l := range append([]*link{e.store}, e.servers...) {
		m, since := l.state()
		quiet = quiet && m == Open && since.Before(term.Add(-contactTime))
	}
	return quiet
}
