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
	"strconv"
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

// waitTimeout is how long a test waits for a state that must be reached. No test checks how long it took.
const waitTimeout = 60 * time.Second

// cluster is a platform, backend servers and instances, each a process that listens on loopback.
type cluster struct {
	t                 *testing.T
	binary            string
	dir               string
	platform          string
	servers           map[string]*exec.Cmd // servers holds the processes of the backend servers by name.
	addresses         map[string]string    // addresses holds the addresses of backend servers, and of instances for callers.
	instances         map[string]*exec.Cmd // instances holds the processes of the instances by name.
	operatorAddresses []string             // operatorAddresses holds the instances' addresses for operators.
	logs              []*os.File           // logs holds the standard error of each process.
}

// startCluster starts a simulated platform, four simulated backend servers of a keyed service and two of a pool
// service, and three instances, spread over two zones.
func startCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{
		t: t, dir: t.TempDir(), servers: map[string]*exec.Cmd{}, addresses: map[string]string{}, instances: map[string]*exec.Cmd{},
	}
	c.binary = filepath.Join(c.dir, "turmericlift")
	if out, err := exec.Command("go", "build", "-o", c.binary, "../cmd/turmericlift").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	c.must(exec.Command(c.binary, "identities", "--directory", c.dir, "--instances", "3").Run())
	c.platform = freeAddress(t)
	c.startProcess("standin", "platform", "--address", c.platform)
	c.await("platform", func() bool { _, err := c.get("http://" + c.platform + "/v1/instances"); return err == nil })
	c.writeSettings()
	zones := []string{"crawley-a", "bentley-b"}
	for n := range 6 {
		service, name := "sitefront", fmt.Sprintf("sitefront-%d", n)
		if n >= 4 {
			service, name = "ledger", fmt.Sprintf("ledger-%d", n)
		}
		c.addresses[name] = freeAddress(t)
		c.startServer(name)
		c.register(storer.ListedInstance{
			ID: name, Kind: storer.KindBackendServer, State: storer.StateLive,
			Address: c.addresses[name], Organisation: "quokka", Service: identifier.Service(service),
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
	ports, err := imitator.FreePorts(1)
	if err != nil {
		t.Fatal(err)
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(int(ports[0])))
}

// startProcess starts the program with args and its standard error in a file. The process is killed when the test ends,
// even if it is stopped by SIGSTOP.
func (c *cluster) startProcess(args ...string) *exec.Cmd {
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
	c.servers[name] = c.startProcess("standin", "backend", "--server", name, "--address", c.addresses[name], "--work", "20ms")
}

func (c *cluster) startInstance(n int, zone string) {
	name := fmt.Sprintf("quokka-%d", n)
	peer, operators := freeAddress(c.t), freeAddress(c.t)
	c.operatorAddresses = append(c.operatorAddresses, operators)
	c.addresses[name] = freeAddress(c.t)
	c.instances[name] = c.startProcess("serve", "--instance", name, "--zone", zone,
		"--platform", "http://"+c.platform, "--caller-address", c.addresses[name], "--peer-address", peer,
		"--operator-address", operators, "--operator-token", "test", "--balancer-delay", "300ms",
		"--peer-authority", c.dir+"/authority.pem", "--peer-certificate", fmt.Sprintf("%s/instance-%d.pem", c.dir, n+1),
		"--peer-key", fmt.Sprintf("%s/instance-%d.key", c.dir, n+1))
	c.register(storer.ListedInstance{ID: name, Kind: storer.KindEntry, State: storer.StateLive, Address: peer}, zone)
}

// writeSettings creates the settings of the organisation at the platform.
func (c *cluster) writeSettings() {
	t := configurer.NewTree("quokka")
	c.must(t.Set(configurer.Path{Organisation: "quokka", Service: "sitefront"}, "Partitions", "32"))
	c.must(t.Set(configurer.Path{Organisation: "quokka", Service: "ledger"}, "Keyed", "false"))
	data, err := t.Encode()
	c.must(err)
	c.put("/v1/objects/"+controller.SettingsName("quokka"), data)
}

// register puts an instance or a backend server on the platform's list of instances, in the given zone.
func (c *cluster) register(l storer.ListedInstance, zone string) {
	l.Zone = identifier.Zone(zone)
	data, err := json.Marshal(l)
	c.must(err)
	c.put("/standin/instances/"+l.ID, data)
}

// setFaults replaces the faults of the simulated platform.
func (c *cluster) setFaults(f imitator.PlatformFaults) {
	data, err := json.Marshal(f)
	c.must(err)
	c.put("/standin/faults", data)
}

// put sends a PUT request to the platform. The header says that an object must not exist yet.
func (c *cluster) put(path string, data []byte) {
	c.t.Helper()
	req, err := http.NewRequest(http.MethodPut, "http://"+c.platform+path, bytes.NewReader(data))
	c.must(err)
	req.Header.Set(storer.HeaderIfVersion, "0")
	resp, err := http.DefaultClient.Do(req)
	c.must(err)
	_ = resp.Body.Close()
}

// get returns the body of a GET request; every status but 200 is an error.
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

// await polls done until it returns true and fails the test after waitTimeout.
func (c *cluster) await(what string, done func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return
		}
	}
	c.t.Fatalf("%s: not reached within %s", what, waitTimeout)
}

// awaitKey sends reads of a key to an instance until one is served, and returns the backend server that served it.
func (c *cluster) awaitKey(instance, key string) (owner string) {
	c.t.Helper()
	var err error
	defer func() {
		if err != nil {
			c.t.Log(err)
		}
	}()
	c.await("key "+key+" through "+instance, func() bool {
		var body string
		body, err = c.get("http://" + c.addresses[instance] + "/quokka/sitefront/keys/" + key)
		owner, _, _ = strings.Cut(strings.TrimPrefix(body, "Server="), " ")
		return err == nil
	})
	return owner
}

// reply holds what a caller gets: the outcome, the result code and the body of an answer, or the error of the call.
type reply struct {
	outcome string
	code    string
	body    string
	err     error
}

// post sends a non-idempotent request with a request ID. header holds names and values in turn.
func (c *cluster) post(instance, path, id, body string, header ...string) reply {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.addresses[instance]+path, strings.NewReader(body))
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

// runCount returns how often the requests with an ID have run, summed over the backend servers that answer.
func (c *cluster) runCount(id string) int {
	total := 0
	for name := range c.servers {
		body, err := c.get("http://" + c.addresses[name] + "/standin/runs/" + id)
		var r struct{ Runs int }
		if err == nil && json.Unmarshal([]byte(body), &r) == nil {
			total += r.Runs
		}
	}
	return total
}

// TestProcesses guards against faults that only real processes show. It runs one cluster through load, operators'
// commands, retries, a request that crashes backend servers, a platform outage, and stopped, shut down and killed
// processes. The subtests depend on the state that the ones before them leave.
func TestProcesses(t *testing.T) {
	c := startCluster(t)
	for n := range 3 {
		c.awaitKey(fmt.Sprintf("quokka-%d", n), "open-day")
	}
	t.Run("SteadyLoadLogsNothing", func(t *testing.T) { c.steadyLoadLogsNothing(t) })
	t.Run("Operators", func(t *testing.T) { c.operators(t) })
	t.Run("RetryRunsOnce", func(t *testing.T) { c.retryRunsOnce(t) })
	t.Run("PoolRetryRunsOnce", func(t *testing.T) { c.poolRetryRunsOnce(t) })
	t.Run("CrashingRequestIsQuarantined", func(t *testing.T) { c.crashingRequestIsQuarantined(t) })
	t.Run("PlatformOutage", func(t *testing.T) { c.platformOutage(t) })
	t.Run("FrozenServer", func(t *testing.T) { c.frozenServer(t) })
	t.Run("PausedInstance", func(t *testing.T) { c.pausedInstance(t) })
	t.Run("GracefulShutdown", func(t *testing.T) { c.gracefulShutdown(t) })
	t.Run("KilledServerAndInstance", func(t *testing.T) { c.killedServerAndInstance(t) })
}

// operators runs the commands of turmericctl against the instances. A wrong token must be refused, and no output may
// contain a private key.
func (c *cluster) operators(t *testing.T) {
	run := func(token string, args ...string) (int, string) {
		var out bytes.Buffer
		common := []string{"--platform", "http://" + c.platform, "--operator-token", token}
		for _, address := range c.operatorAddresses {
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
			t.Errorf("%v: exit code %d or wrong output: %s", tc.args, code, out)
		}
		if code, out := run("wrong", tc.args...); tc.args[0] != "zone" && code != operator.ExitFailed {
			t.Errorf("%v with a wrong token: exit code %d, want failure; output: %s", tc.args, code, out)
		}
	}
	for _, args := range [][]string{{"settings", "set", "quokka/sitefront", "--queue-length", "40"}, {"settings", "wait", "quokka"}} {
		if code, out := run("test", args...); code != operator.ExitOK {
			t.Errorf("%v: exit code %d, output: %s", args, code, out)
		}
	}
}

// steadyLoadLogsNothing guards against log lines per request: under load without a change of state nothing is logged.
func (c *cluster) steadyLoadLogsNothing(t *testing.T) {
	before := c.logSize()
	for n := range 300 {
		c.awaitKey(fmt.Sprintf("quokka-%d", n%3), fmt.Sprint("page-", n%40))
	}
	if after := c.logSize(); after != before {
		t.Errorf("%d bytes were logged under load without a change of state, want none", after-before)
	}
}

// logSize returns the size of all logs in bytes.
func (c *cluster) logSize() (total int64) {
	for _, log := range c.logs {
		info, err := log.Stat()
		c.must(err)
		total += info.Size()
	}
	return total
}

// retryRunsOnce guards against a retry that runs again: a retry under the same ID gets the first answer, through
// every instance, and another request under that ID is refused.
func (c *cluster) retryRunsOnce(t *testing.T) {
	path := "/quokka/sitefront/keys/open-day/publish"
	first := c.post("quokka-0", path, "publish-1", "build 7")
	if first.outcome != "Ran" {
		t.Fatalf("first request: %+v, want outcome Ran", first)
	}
	for n := range 3 {
		retry := c.post(fmt.Sprintf("quokka-%d", n), path, "publish-1", "build 7")
		if retry.outcome != "Ran" || retry.body != first.body {
			t.Errorf("retry through quokka-%d: %+v, want the first answer %q", n, retry, first.body)
		}
	}
	if other := c.post("quokka-1", path, "publish-1", "build 8"); other.code != "1008" {
		t.Errorf("another request under the same ID: %+v, want code 1008", other)
	}
	if n := c.runCount("publish-1"); n != 1 {
		t.Errorf("request publish-1 ran %d times, want once", n)
	}
}

// poolRetryRunsOnce guards against a request to a pool service that runs more than once when it is sent through
// several instances at the same time.
func (c *cluster) poolRetryRunsOnce(t *testing.T) {
	var wg sync.WaitGroup
	for n := range 12 {
		wg.Go(func() { c.post(fmt.Sprintf("quokka-%d", n%3), "/quokka/ledger/top-up", "top-up-1", "50") })
	}
	wg.Wait()
	if n := c.runCount("top-up-1"); n != 1 {
		t.Errorf("request sent 12 times at the same time through three instances ran %d times, want once", n)
	}
}

// crashingRequestIsQuarantined guards against a request that crashes one backend server after another: after two
// crashes every instance must refuse it, and go on serving reads of its key.
func (c *cluster) crashingRequestIsQuarantined(t *testing.T) {
	path := "/quokka/sitefront/keys/prospectus/render"
	for n := range 2 {
		r := c.post("quokka-0", path, fmt.Sprint("render-", n), "poison", imitator.HeaderCrash, "1")
		if r.outcome != "Unknown" {
			t.Errorf("crash %d: %+v, want outcome Unknown", n+1, r)
		}
	}
	for n := range 3 {
		instance := fmt.Sprintf("quokka-%d", n)
		c.await("quarantine at "+instance, func() bool {
			return c.post(instance, path, "render-3", "poison", imitator.HeaderCrash, "1").code == "3005"
		})
		c.awaitKey(instance, "prospectus")
	}
}

// platformOutage guards against reads that need the platform, and against non-idempotent requests that run although
// their outcome cannot be recorded: while the platform is down they are refused, and run once afterwards.
func (c *cluster) platformOutage(t *testing.T) {
	c.setFaults(imitator.PlatformFaults{Down: true})
	for n := range 20 {
		c.awaitKey(fmt.Sprintf("quokka-%d", n%3), fmt.Sprint("page-", n))
	}
	r := c.post("quokka-0", "/quokka/sitefront/keys/open-day/publish", "publish-2", "build 9")
	if r.outcome != "NotRun" || c.runCount("publish-2") != 0 {
		t.Errorf("while the platform is down: %+v, ran %d times; want outcome NotRun and no run", r, c.runCount("publish-2"))
	}
	c.setFaults(imitator.PlatformFaults{})
	c.await("publish after the outage", func() bool {
		return c.post("quokka-0", "/quokka/sitefront/keys/open-day/publish", "publish-2", "build 9").outcome == "Ran"
	})
	if n := c.runCount("publish-2"); n != 1 {
		t.Errorf("request publish-2 ran %d times, want once", n)
	}
}

// frozenServer guards against a key that stays with a backend server that no longer answers: it is stopped by SIGSTOP
// and another server must become the owner.
func (c *cluster) frozenServer(t *testing.T) {
	owner := c.awaitKey("quokka-0", "enrolment")
	c.must(c.servers[owner].Process.Signal(syscall.SIGSTOP))
	c.await("another owner", func() bool { return c.awaitKey("quokka-1", "enrolment") != owner })
	c.must(c.servers[owner].Process.Signal(syscall.SIGCONT))
	if now := c.awaitKey("quokka-2", "enrolment"); now == owner {
		t.Logf("key enrolment moved back to %s", owner)
	}
}

// pausedInstance guards against an instance that is stopped by SIGSTOP: keys must be served through the other
// instances meanwhile, and through that instance again once it continues.
func (c *cluster) pausedInstance(t *testing.T) {
	c.must(c.instances["quokka-0"].Process.Signal(syscall.SIGSTOP))
	for n := range 20 {
		c.awaitKey(fmt.Sprintf("quokka-%d", 1+n%2), fmt.Sprint("page-", n))
	}
	c.must(c.instances["quokka-0"].Process.Signal(syscall.SIGCONT))
	for n := range 20 {
		c.awaitKey("quokka-0", fmt.Sprint("page-", n))
	}
	_ = t
}

// gracefulShutdown guards against requests that are cut off when an instance shuts down: callers send through all
// instances that say they are ready while one gets SIGTERM, and every request must run.
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
				if _, err := c.get("http://" + c.addresses[instance] + "/ready"); err != nil {
					continue // The platform's load balancer, too, sends nothing to an instance that is not ready.
				}
				id := fmt.Sprintf("stop-%d-%d", w, n)
				r := c.post(instance, "/quokka/sitefront/keys/open-day/publish", id, "build")
				if r.outcome != "Ran" {
					failures <- fmt.Sprintf("request %s through %s: %+v, want outcome Ran", id, instance, r)
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	c.must(c.instances["quokka-2"].Process.Signal(syscall.SIGTERM))
	_ = c.instances["quokka-2"].Wait()
	close(stop)
	wg.Wait()
	close(failures)
	for f := range failures {
		t.Error(f)
	}
	c.startInstance(2, "crawley-a")
	c.awaitKey("quokka-2", "open-day")
}

// killedServerAndInstance guards against a request that runs twice after the backend server that runs it and the
// instance that received it are killed: a retry through another instance must run it at most once in total and get an
// outcome.
func (c *cluster) killedServerAndInstance(t *testing.T) {
	owner := c.awaitKey("quokka-0", "open-day")
	sent := make(chan reply, 1)
	go func() { sent <- c.post("quokka-2", "/quokka/sitefront/keys/open-day/publish", "publish-3", "build 10") }()
	c.must(c.servers[owner].Process.Kill())
	c.must(c.instances["quokka-2"].Process.Kill())
	first := <-sent
	c.startInstance(2, "crawley-a")
	c.awaitKey("quokka-0", "open-day")
	retry := c.post("quokka-0", "/quokka/sitefront/keys/open-day/publish", "publish-3", "build 10")
	t.Logf("first request: %+v; retry: %+v", first, retry)
	if n := c.runCount("publish-3"); n > 1 {
		t.Errorf("request publish-3 ran %d times, want at most once", n)
	}
	if retry.outcome == "" {
		t.Errorf("retry: %+v, want an answer with an outcome", retry)
	}
}
