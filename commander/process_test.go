package commander

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/controller"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/imitator"
	"github.com/turmericlift/turmericlift/operator"
	"github.com/turmericlift/turmericlift/receiver"
	"github.com/turmericlift/turmericlift/storer"
)

// patience is how long a test waits for what must come; no test passes or fails by
// how long it took.
const patience = 60 * time.Second

// cluster is an installation of real processes on loopback.
type cluster struct {
	t        *testing.T
	binary   string
	dir      string
	platform string
	server   map[string]*exec.Cmd
	address  map[string]string // Of a backend server, or of an instance for callers.
	instance map[string]*exec.Cmd
	operator []string   // Addresses of the instances for operators.
	logs     []*os.File // What each process has logged.
}

// startCluster starts a platform, four backend servers of a keyed service and two of
// a pool, and three instances in two zones.
func startCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{
		t: t, dir: t.TempDir(), server: map[string]*exec.Cmd{}, address: map[string]string{}, instance: map[string]*exec.Cmd{},
	}
	c.binary = filepath.Join(c.dir, "turmericlift")
	if out, err := exec.Command("go", "build", "-o", c.binary, "../cmd/turmericlift").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	c.must(exec.Command(c.binary, "identities", "--directory", c.dir, "--instances", "3").Run())
	c.platform = freeAddress(t)
	c.start("standin", "platform", "--address", c.platform)
	c.await("platform", func() bool { _, err := c.get("http://" + c.platform + "/v1/instances"); return err == nil })
	c.writeSettings()
	zones := []string{"crawley-a", "bentley-b"}
	for n := range 6 {
		service, name := "sitefront", fmt.Sprintf("sitefront-%d", n)
		if n >= 4 {
			service, name = "ledger", fmt.Sprintf("ledger-%d", n)
		}
		c.address[name] = freeAddress(t)
		c.startServer(name)
		c.list(storer.Listed{
			ID: name, Kind: storer.KindBackendServer, State: storer.StateLive,
			Address: c.address[name], Organisation: "quokka", Service: identifier.Service(service),
		}, zones[n%2])
	}
	for n := range 3 {
		c.startInstance(n, zones[n%2])
	}
	return c
}

func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (c *cluster) start(args ...string) *exec.Cmd {
	c.t.Helper()
	cmd := exec.Command(c.binary, args...)
	log, err := os.Create(fmt.Sprintf("%s/%d.log", c.dir, len(c.logs)))
	c.must(err)
	c.logs = append(c.logs, log)
	cmd.Stderr = log
	c.must(cmd.Start())
	c.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd
}

func (c *cluster) startServer(name string) {
	c.server[name] = c.start("standin", "backend", "--server", name, "--address", c.address[name], "--work", "20ms")
}

func (c *cluster) startInstance(n int, zone string) {
	name := fmt.Sprintf("quokka-%d", n)
	peer, operators := freeAddress(c.t), freeAddress(c.t)
	c.operator = append(c.operator, operators)
	c.address[name] = freeAddress(c.t)
	c.instance[name] = c.start("serve", "--instance", name, "--zone", zone,
		"--platform", "http://"+c.platform, "--caller-address", c.address[name], "--peer-address", peer,
		"--operator-address", operators, "--operator-token", "test", "--balancer-delay", "300ms",
		"--peer-authority", c.dir+"/authority.pem", "--peer-certificate", fmt.Sprintf("%s/instance-%d.pem", c.dir, n+1),
		"--peer-key", fmt.Sprintf("%s/instance-%d.key", c.dir, n+1))
	c.list(storer.Listed{ID: name, Kind: storer.KindEntry, State: storer.StateLive, Address: peer}, zone)
}

func (c *cluster) writeSettings() {
	t := configurer.NewTree("quokka")
	c.must(t.Set(configurer.Path{Organisation: "quokka", Service: "sitefront"}, "Partitions", "32"))
	c.must(t.Set(configurer.Path{Organisation: "quokka", Service: "ledger"}, "Keyed", "false"))
	data, err := t.Encode()
	c.must(err)
	c.put("/v1/objects/"+controller.SettingsName("quokka"), data)
}

func (c *cluster) list(l storer.Listed, zone string) {
	l.Zone = identifier.Zone(zone)
	data, err := json.Marshal(l)
	c.must(err)
	c.put("/standin/instances/"+l.ID, data)
}

func (c *cluster) faults(f imitator.PlatformFaults) {
	data, err := json.Marshal(f)
	c.must(err)
	c.put("/standin/faults", data)
}

func (c *cluster) put(path string, data []byte) {
	c.t.Helper()
	req, err := http.NewRequest(http.MethodPut, "http://"+c.platform+path, bytes.NewReader(data))
	c.must(err)
	req.Header.Set(storer.HeaderIfVersion, "0")
	resp, err := http.DefaultClient.Do(req)
	c.must(err)
	_ = resp.Body.Close()
}

func (c *cluster) get(url string) (string, error) {
	resp, err := http.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return string(body), err
}

func (c *cluster) await(what string, done func() bool) {
	c.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return
		}
	}
	c.t.Fatalf("%s: not within %s", what, patience)
}

// read reads a key through an instance until it is served, and returns its owner.
func (c *cluster) read(instance, key string) (owner string) {
	c.t.Helper()
	var err error
	defer func() {
		if err != nil {
			c.t.Log(err)
		}
	}()
	c.await("key "+key+" through "+instance, func() bool {
		var body string
		body, err = c.get("http://" + c.address[instance] + "/quokka/sitefront/keys/" + key)
		owner, _, _ = strings.Cut(strings.TrimPrefix(body, "Server="), " ")
		return err == nil
	})
	return owner
}

// reply is a caller's view of an answer.
type reply struct {
	outcome string
	code    string
	body    string
	err     error
}

// post sends a request that may not be repeated.
func (c *cluster) post(instance, path, id, body string, header ...string) reply {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.address[instance]+path, strings.NewReader(body))
	c.must(err)
	req.Header[receiver.HeaderRequestID] = []string{id}
	for n := 0; n+1 < len(header); n += 2 {
		req.Header.Set(header[n], header[n+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{resp.Header.Get(receiver.HeaderOutcome), resp.Header.Get(receiver.HeaderCode), string(data), err}
}

// runs returns how often a request ID was run, over all backend servers that answer.
func (c *cluster) runs(id string) int {
	total := 0
	for name := range c.server {
		body, err := c.get("http://" + c.address[name] + "/standin/runs/" + id)
		var r struct{ Runs int }
		if err == nil && json.Unmarshal([]byte(body), &r) == nil {
			total += r.Runs
		}
	}
	return total
}

// TestProcesses runs a cluster of real processes through the failures of each group.
func TestProcesses(t *testing.T) {
	c := startCluster(t)
	for n := range 3 {
		c.read(fmt.Sprintf("quokka-%d", n), "open-day")
	}
	t.Run("SteadyLoadLogsNothing", func(t *testing.T) { c.steadyLoadLogsNothing(t) })
	t.Run("Operators", func(t *testing.T) { c.operators(t) })
	t.Run("ResendRunsOnce", func(t *testing.T) { c.resendRunsOnce(t) })
	t.Run("PoolResendRunsOnce", func(t *testing.T) { c.poolResendRunsOnce(t) })
	t.Run("CrashingRequestIsQuarantined", func(t *testing.T) { c.crashingRequest(t) })
	t.Run("PlatformOutage", func(t *testing.T) { c.platformOutage(t) })
	t.Run("FrozenServer", func(t *testing.T) { c.frozenServer(t) })
	t.Run("PausedInstance", func(t *testing.T) { c.pausedInstance(t) })
	t.Run("GracefulShutdown", func(t *testing.T) { c.gracefulShutdown(t) })
	t.Run("KilledServerAndInstance", func(t *testing.T) { c.killed(t) })
}

// operators runs the operators' client against the daemons.
func (c *cluster) operators(t *testing.T) {
	run := func(token string, args ...string) (int, string) {
		var out bytes.Buffer
		common := []string{"--platform", "http://" + c.platform, "--operator-token", token}
		for _, address := range c.operator {
			common = append(common, "--instances", "http://"+address)
		}
		code := operator.Run(append(common, args...), &out, &out, time.Now)
		return code, out.String()
	}
	cases := []struct {
		args []string
		want string
	}{
		{[]string{"status"}, "quokka/sitefront"},
		{[]string{"where", "quokka", "sitefront", "open-day"}, "sitefront-"},
		{[]string{"dump"}, "Coordinates"},
		{[]string{"zone", "out", "crawley-a"}, "add --yes"},
	}
	for _, tc := range cases {
		code, out := run("test", tc.args...)
		if code != operator.ExitOK || !strings.Contains(out, tc.want) || strings.Contains(out, "PRIVATE KEY") {
			t.Errorf("%v: exit %d, %s", tc.args, code, out)
		}
		if code, out := run("wrong", tc.args...); tc.args[0] != "zone" && code != operator.ExitFailed {
			t.Errorf("%v with a wrong token: exit %d, %s", tc.args, code, out)
		}
	}
	for _, args := range [][]string{{"settings", "set", "quokka/sitefront", "--queue-length", "40"}, {"settings", "wait", "quokka"}} {
		if code, out := run("test", args...); code != operator.ExitOK {
			t.Errorf("%v: exit %d, %s", args, code, out)
		}
	}
}

// steadyLoadLogsNothing checks that only changes of state are logged.
func (c *cluster) steadyLoadLogsNothing(t *testing.T) {
	before := c.logged()
	for n := range 300 {
		c.read(fmt.Sprintf("quokka-%d", n%3), fmt.Sprint("page-", n%40))
	}
	if after := c.logged(); after != before {
		t.Errorf("%d bytes were logged under steady load", after-before)
	}
}

// logged returns the size of all logs.
func (c *cluster) logged() (total int64) {
	for _, log := range c.logs {
		info, err := log.Stat()
		c.must(err)
		total += info.Size()
	}
	return total
}

func (c *cluster) resendRunsOnce(t *testing.T) {
	path := "/quokka/sitefront/keys/open-day/publish"
	first := c.post("quokka-0", path, "publish-1", "build 7")
	if first.outcome != "Ran" {
		t.Fatalf("first: %+v", first)
	}
	for n := range 3 {
		again := c.post(fmt.Sprintf("quokka-%d", n), path, "publish-1", "build 7")
		if again.outcome != "Ran" || again.body != first.body {
			t.Errorf("resend through quokka-%d: %+v, want the first answer %q", n, again, first.body)
		}
	}
	if other := c.post("quokka-1", path, "publish-1", "build 8"); other.code != "1008" {
		t.Errorf("another request under the same ID: %+v, want code 1008", other)
	}
	if n := c.runs("publish-1"); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

func (c *cluster) poolResendRunsOnce(t *testing.T) {
	var wg sync.WaitGroup
	for n := range 12 {
		wg.Go(func() { c.post(fmt.Sprintf("quokka-%d", n%3), "/quokka/ledger/top-up", "top-up-1", "50") })
	}
	wg.Wait()
	if n := c.runs("top-up-1"); n != 1 {
		t.Errorf("ran %d times, sent 12 times at once through three instances", n)
	}
}

func (c *cluster) crashingRequest(t *testing.T) {
	path := "/quokka/sitefront/keys/prospectus/render"
	for n := range 2 {
		r := c.post("quokka-0", path, fmt.Sprint("render-", n), "poison", imitator.HeaderCrash, "1")
		if r.outcome != "Unknown" {
			t.Errorf("crash %d: %+v, want Unknown", n+1, r)
		}
	}
	for n := range 3 {
		instance := fmt.Sprintf("quokka-%d", n)
		c.await("quarantine at "+instance, func() bool {
			return c.post(instance, path, "render-3", "poison", imitator.HeaderCrash, "1").code == "3005"
		})
		c.read(instance, "prospectus")
	}
}

func (c *cluster) platformOutage(t *testing.T) {
	c.faults(imitator.PlatformFaults{Down: true})
	for n := range 20 {
		c.read(fmt.Sprintf("quokka-%d", n%3), fmt.Sprint("page-", n))
	}
	r := c.post("quokka-0", "/quokka/sitefront/keys/open-day/publish", "publish-2", "build 9")
	if r.outcome != "NotRun" || c.runs("publish-2") != 0 {
		t.Errorf("while the platform is down: %+v, ran %d times", r, c.runs("publish-2"))
	}
	c.faults(imitator.PlatformFaults{})
	c.await("publish after the outage", func() bool {
		return c.post("quokka-0", "/quokka/sitefront/keys/open-day/publish", "publish-2", "build 9").outcome == "Ran"
	})
	if n := c.runs("publish-2"); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

func (c *cluster) frozenServer(t *testing.T) {
	owner := c.read("quokka-0", "enrolment")
	c.must(c.server[owner].Process.Signal(syscall.SIGSTOP))
	c.await("another owner", func() bool { return c.read("quokka-1", "enrolment") != owner })
	c.must(c.server[owner].Process.Signal(syscall.SIGCONT))
	if now := c.read("quokka-2", "enrolment"); now == owner {
		t.Logf("key moved back to %s", owner)
	}
}

func (c *cluster) pausedInstance(t *testing.T) {
	c.must(c.instance["quokka-0"].Process.Signal(syscall.SIGSTOP))
	for n := range 20 {
		c.read(fmt.Sprintf("quokka-%d", 1+n%2), fmt.Sprint("page-", n))
	}
	c.must(c.instance["quokka-0"].Process.Signal(syscall.SIGCONT))
	for n := range 20 {
		c.read("quokka-0", fmt.Sprint("page-", n))
	}
	_ = t
}

// gracefulShutdown stops an instance while requests run through it: none may be cut.
func (c *cluster) gracefulShutdown(t *testing.T) {
	stop := make(chan struct{})
	failures := make(chan string, 1000)
	var wg sync.WaitGroup
	for w := range 8 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				instance := fmt.Sprintf("quokka-%d", n%3)
				if _, err := c.get("http://" + c.address[instance] + "/ready"); err != nil {
					continue // As the platform's balancer does.
				}
				id := fmt.Sprintf("stop-%d-%d", w, n)
				r := c.post(instance, "/quokka/sitefront/keys/open-day/publish", id, "build")
				if r.outcome != "Ran" {
					failures <- fmt.Sprintf("%s through %s: %+v", id, instance, r)
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	c.must(c.instance["quokka-2"].Process.Signal(syscall.SIGTERM))
	_ = c.instance["quokka-2"].Wait()
	close(stop)
	wg.Wait()
	close(failures)
	for f := range failures {
		t.Error(f)
	}
	c.startInstance(2, "crawley-a")
	c.read("quokka-2", "open-day")
}

func (c *cluster) killed(t *testing.T) {
	owner := c.read("quokka-0", "open-day")
	sent := make(chan reply, 1)
	go func() { sent <- c.post("quokka-2", "/quokka/sitefront/keys/open-day/publish", "publish-3", "build 10") }()
	c.must(c.server[owner].Process.Kill())
	c.must(c.instance["quokka-2"].Process.Kill())
	first := <-sent
	c.startInstance(2, "crawley-a")
	c.read("quokka-0", "open-day")
	again := c.post("quokka-0", "/quokka/sitefront/keys/open-day/publish", "publish-3", "build 10")
	t.Logf("first %+v, resend %+v", first, again)
	if n := c.runs("publish-3"); n > 1 {
		t.Errorf("ran %d times", n)
	}
	if again.outcome == "" {
		t.Errorf("resend: %+v, want a definite answer", again)
	}
}
