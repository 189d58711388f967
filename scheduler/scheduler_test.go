package scheduler_test

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/apportioner"
	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
	"github.com/turmericlift/turmericlift/scheduler"
)

var start = time.Unix(1000, 0)

// fixedShare is the same share of the bound of every server.
type fixedShare struct{ share apportioner.Share }

func (f fixedShare) Share(time.Time, identifier.BackendServer) apportioner.Share { return f.share }

// equalShares returns the share of one of n instances.
func equalShares(n int) fixedShare { return fixedShare{apportioner.Share{Sharers: n}} }

// fixedOwner returns the same ownership for every key.
type fixedOwner struct{ own registrar.Ownership }

func (f fixedOwner) Owner(time.Time, identifier.Service, identifier.ShardKey) registrar.Ownership {
	return f.own
}

func candidate(id string, zone identifier.Zone, slots int) scheduler.Candidate {
	return scheduler.Candidate{Entry: registrar.Entry{ID: identifier.BackendServer(id), Incarnation: 1, Service: "s", Zone: zone, Address: "192.0.2.1:1", Slots: slots}}
}

// TestScripts runs the scripts in _fixtures. Each starts with a comment that names the load pattern for which it checks
// the decisions; the words of the scripts are explained in execute.
func TestScripts(t *testing.T) { runScripts(t, "_fixtures/*.txt", scheduler.Options{}) }

// TestRetryAfter runs the scripts of servers that turn requests away and say for how long they want none. It guards against
// requests that are sent to such a server in that time, or that wait for it in vain.
func TestRetryAfter(t *testing.T) {
	runScripts(t, "_fixtures/retryafter/*.txt", scheduler.Options{})
}

// otherWhenCostAware are the scripts that fix what a cost-aware Scheduler decides otherwise: which of several equal servers
// gets a request (it is random), and after which time a request goes before more urgent ones (TestFloor has its rule).
var otherWhenCostAware = map[string]bool{"ranks.txt": true, "pool-all.txt": true, "pool-other.txt": true}

// TestScriptsCostAware runs all other scripts with a cost-aware Scheduler. It guards against rules that hold in both cases and
// that one of them omits.
func TestScriptsCostAware(t *testing.T) {
	runScripts(t, "_fixtures/*.txt", scheduler.Options{CostAware: true, Owners: true})
	runScripts(t, "_fixtures/retryafter/*.txt", scheduler.Options{CostAware: true, Owners: true})
}

// runScripts runs the scripts whose names match a pattern.
func runScripts(t *testing.T, pattern string, options scheduler.Options) {
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatalf("%d scripts, %v", len(files), err)
	}
	for _, file := range files {
		if options.CostAware && otherWhenCostAware[filepath.Base(file)] {
			continue
		}
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			p := &scriptRunner{t: t, options: options, now: start, requests: map[string]*scheduler.PendingRequest{}}
			for n, line := range strings.Split(string(text), "\n") {
				if words := strings.Fields(line); len(words) > 0 && !strings.HasPrefix(line, "#") {
					p.execute(fmt.Sprintf("line %d: %s", n+1, line), words)
				}
			}
		})
	}
}

// scriptRunner runs one script.
type scriptRunner struct {
	t          *testing.T
	options    scheduler.Options
	now        time.Time
	s          *scheduler.Scheduler
	keyed      bool
	candidates []scheduler.Candidate
	requests   map[string]*scheduler.PendingRequest
}

// execute runs one line of the script, split into words. where names the line in failure messages.
func (p *scriptRunner) execute(where string, words []string) {
	number := func(n int) int {
		v, err := strconv.Atoi(words[n])
		if err != nil {
			p.t.Fatalf("%s: %v", where, err)
		}
		return v
	}
	ms := func(n int) time.Duration { return time.Duration(number(n)) * time.Millisecond }
	switch words[0] {
	case "server": // Adds a server: ID, zone, slots.
		p.candidates = append(p.candidates, candidate(words[1], identifier.Zone(words[2]), number(3)))
	case "cold": // Makes the server that was added last cold: for how many milliseconds, requests a second.
		c := &p.candidates[len(p.candidates)-1]
		c.ColdUntil, c.ColdRate = p.now.Add(ms(1)), float64(number(2))
	case "begin": // Starts the scheduler: "pool", or the owner of all keys, an ID, "moving" or "nobody".
		p.begin(words[1])
	case "exclude": // Excludes a server: ID.
		for n := range p.candidates {
			p.candidates[n].Excluded = p.candidates[n].Excluded || string(p.candidates[n].ID) == words[1]
		}
		p.s.SetServers(p.candidates)
		p.s.Tick(p.now)
	case "leave": // Excludes a server: ID, for how many milliseconds it still gets requests for keys that it owns.
		for n := range p.candidates {
			if string(p.candidates[n].ID) == words[1] {
				p.candidates[n].Excluded, p.candidates[n].OwnsUntil = true, p.now.Add(ms(2))
			}
		}
		p.s.SetServers(p.candidates)
		p.s.Tick(p.now)
	case "wait": // Advances the time: milliseconds.
		p.now = p.now.Add(ms(1))
		p.s.Tick(p.now)
	case "request": // Queues a request: name, priority, target time, deadline, and "returned" if it is a retry.
		t := &scheduler.PendingRequest{Service: "s", Keyed: p.keyed, Priority: director.Priority(number(2)), Arrived: p.now,
			TargetTime: p.now.Add(ms(3)), Deadline: p.now.Add(ms(4)), Decided: make(chan scheduler.Decision, 1),
			IsRetry: len(words) > 5}
		p.requests[words[1]] = t
		p.s.Enqueue(p.now, t)
	case "done": // Ends a request at a server: ID, latency.
		p.s.RecordOutcome(p.now, identifier.BackendServer(words[1]), 1, scheduler.Report{Latency: ms(2)})
	case "turned-away": // Ends a request at a server that refuses it: ID, for how many milliseconds it wants no requests.
		p.s.RecordOutcome(p.now, identifier.BackendServer(words[1]), 1, scheduler.Report{Outcome: scheduler.Shed, Notice: registrar.Notice{RetryAfter: ms(2)}})
	case "report": // Ends a request with a load report: server's ID, latency, requests running and waiting there.
		p.s.RecordOutcome(p.now, identifier.BackendServer(words[1]), 1, scheduler.Report{Latency: ms(2), HasLoad: true, Running: number(3), Waiting: number(4), Slowness: 1})
	case "expect": // Checks a request: name, then a server's ID, "waits", or "refused" and a reason.
		if got := p.outcome(words[1]); got != strings.Join(words[2:], " ") {
			p.t.Errorf("%s: outcome is %q", where, got)
		}
	default:
		p.t.Fatalf("%s: unknown command", where)
	}
}

// begin creates the scheduler, with the given server as the owner of all keys.
func (p *scriptRunner) begin(owner string) {
	p.keyed = owner != "pool"
	own := registrar.Ownership{Server: identifier.BackendServer(owner), Incarnation: 1, Ready: true}
	switch owner {
	case "moving":
		own = registrar.Ownership{ReadyAt: p.now.Add(200 * time.Millisecond)}
	case "nobody":
		own = registrar.Ownership{}
	}
	p.s = scheduler.New(start.Add(-time.Minute), "a", fixedOwner{own}, equalShares(1), p.options)
	p.s.SetServers(p.candidates)
}

var reasons = map[scheduler.Reason]string{scheduler.NoOwner: "NoOwner", scheduler.NoServer: "NoServer", scheduler.QueueTooLong: "NoRoom"}

// outcome returns what was decided for a request, in the words of "expect".
func (p *scriptRunner) outcome(name string) string {
	select {
	case d := <-p.requests[name].Decided:
		if d.Reason == scheduler.NotRefused {
			return string(d.Server.ID)
		}
		if d.RetryAfter <= 0 {
			return "refused without a retry time"
		}
		return "refused " + reasons[d.Reason]
	default:
		return "waits"
	}
}

// TestRefusalsSpread refuses 100 requests at the same time. If they all got the same retry time, their callers would
// retry at the same time and be refused together again.
func TestRefusalsSpread(t *testing.T) {
	s := scheduler.New(start.Add(-time.Minute), "a", fixedOwner{}, equalShares(1), scheduler.Options{})
	seen := map[time.Duration]bool{}
	for range 100 {
		request := &scheduler.PendingRequest{Service: "s", Keyed: true, Arrived: start, Deadline: start.Add(time.Second), Decided: make(chan scheduler.Decision, 1)}
		s.Enqueue(start, request)
		seen[(<-request.Decided).RetryAfter.Round(time.Millisecond)] = true
	}
	if len(seen) < 30 {
		t.Errorf("100 refusals have %d different retry times, want at least 30", len(seen))
	}
}

// TestBurst sends two servers three times the load that they can run for 4 s, at two priorities. Most of the urgent
// requests must be served, the others must not starve, and no request may be left without a decision after its
// deadline.
func TestBurst(t *testing.T) {
	rng := rand.New(rand.NewSource(3))
	s := scheduler.New(start.Add(-time.Minute), "a", fixedOwner{}, equalShares(1), scheduler.Options{})
	s.SetServers([]scheduler.Candidate{candidate("x", "a", 4), candidate("y", "b", 4)})
	type runningRequest struct {
		server identifier.BackendServer
		until  time.Time
	}
	var running []runningRequest
	undecided := map[*scheduler.PendingRequest]bool{}
	served, requested := [2]int{}, [2]int{}
	for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(5 * time.Millisecond) {
		if now.Before(start.Add(4 * time.Second)) {
			for range 2 { // 240 requests a second, of which the servers can run 80.
				if rng.Intn(10) < 6 {
					priority := 1
					if rng.Intn(4) == 0 {
						priority = 0
					}
					t := &scheduler.PendingRequest{Service: "s", Priority: director.Priority(priority), Arrived: now, TargetTime: now.Add(300 * time.Millisecond),
						Deadline: now.Add(time.Second), Decided: make(chan scheduler.Decision, 1)}
					requested[priority]++
					undecided[t] = true
					s.Enqueue(now, t)
				}
			}
		}
		var kept []runningRequest
		for _, r := range running {
			if r.until.After(now) {
				kept = append(kept, r)
				continue
			}
			s.RecordOutcome(now, r.server, 1, scheduler.Report{Latency: 100 * time.Millisecond})
		}
		running = kept
		s.Tick(now)
		for t := range undecided {
			select {
			case d := <-t.Decided:
				delete(undecided, t)
				if d.Reason == scheduler.NotRefused {
					served[t.Priority]++
					running = append(running, runningRequest{d.Server.ID, now.Add(100 * time.Millisecond)})
				}
			default:
			}
		}
	}
	for request := range undecided {
		t.Errorf("request that arrived at %s has no decision after its deadline", request.Arrived.Sub(start))
	}
	urgent, other := float64(served[0])/float64(requested[0]), float64(served[1])/float64(requested[1])
	if urgent < 0.8 || other < 0.1 || urgent < other {
		t.Errorf("share of requests served: %.2f of the urgent ones, want at least 0.80; %.2f of the others, want at least 0.10 and no more than of the urgent ones", urgent, other)
	}
}

// TestManyInstancesOneServer sends the owner of a hot key twice the load that it can run, through 27 instances that
// know each other's loads only from updates up to 200 ms old. The owner must be kept busy and its own queue must stay
// short: requests that wait at the server cannot be ordered by any instance and run after their deadlines.
func TestManyInstancesOneServer(t *testing.T) {
	const instances, slots, serviceTime, step = 27, 2, 100 * time.Millisecond, 5 * time.Millisecond
	rng := rand.New(rand.NewSource(11))
	own := registrar.Ownership{Server: "x", Incarnation: 1, Ready: true}
	var all []*scheduler.Scheduler
	for range instances {
		s := scheduler.New(start.Add(-time.Minute), "a", fixedOwner{own}, equalShares(1), scheduler.Options{})
		s.SetServers([]scheduler.Candidate{candidate("x", "a", slots)})
		all = append(all, s)
	}
	type serverRequest struct {
		sender         *scheduler.Scheduler
		arrived, until time.Time
	}
	var atServer []serverRequest // In order of arrival; the first slots of them run.
	undecided := map[*scheduler.PendingRequest]*scheduler.Scheduler{}
	served, queued, samples := 0, 0, 0
	const length = 20 * time.Second
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		if rng.Intn(5) == 0 { // 40 requests a second.
			s := all[rng.Intn(instances)]
			request := &scheduler.PendingRequest{Service: "s", Keyed: true, Arrived: now, TargetTime: now.Add(400 * time.Millisecond),
				Deadline: now.Add(2 * time.Second), Decided: make(chan scheduler.Decision, 1)}
			undecided[request] = s
			s.Enqueue(now, request)
		}
		if now.Sub(start)%(200*time.Millisecond) == 0 {
			for _, s := range all {
				running, waiting := 0, 0
				for _, other := range all {
					if other != s {
						running += other.RunningByServer()["x"]
						waiting += other.WaitingByServer()["x"]
					}
				}
				s.RecordPeerLoad(now, map[identifier.BackendServer]int{"x": running}, map[identifier.BackendServer]int{"x": waiting})
			}
		}
		for n := range atServer {
			if n < slots && atServer[n].until.IsZero() {
				atServer[n].until = now.Add(serviceTime)
			}
		}
		var remaining []serverRequest
		for _, v := range atServer {
			if v.until.IsZero() || v.until.After(now) {
				remaining = append(remaining, v)
				continue
			}
			served++
			v.sender.RecordOutcome(now, "x", 1, scheduler.Report{Latency: now.Sub(v.arrived), HasLoad: true, Running: min(len(atServer), slots), Waiting: max(len(atServer)-slots, 0), Slowness: 1})
		}
		atServer = remaining
		for _, s := range all {
			s.Tick(now)
		}
		for request, s := range undecided {
			select {
			case d := <-request.Decided:
				delete(undecided, request)
				if d.Reason == scheduler.NotRefused {
					atServer = append(atServer, serverRequest{sender: s, arrived: now})
				}
			default:
			}
		}
		queued += max(len(atServer)-slots, 0)
		samples++
	}
	capacity := float64(slots) * length.Seconds() / serviceTime.Seconds()
	if used := float64(served) / capacity; used < 0.8 {
		t.Errorf("%.2f of the server's capacity is used, want at least 0.80", used)
	}
	if mean := float64(queued) / float64(samples); mean > 2*slots {
		t.Errorf("%.1f requests wait at the server on average; it runs %d at a time, and at most twice as many may wait", mean, slots)
	}
}

// TestColdBound sends requests for a cold server at a higher rate than it can run. This instance must not send more
// than its share of the server's rate in any second.
func TestColdBound(t *testing.T) {
	s := scheduler.New(start.Add(-time.Minute), "a", fixedOwner{}, equalShares(2), scheduler.Options{})
	c := candidate("x", "a", 50)
	c.ColdUntil, c.ColdRate = start.Add(time.Hour), 16
	s.SetServers([]scheduler.Candidate{c})
	var sent []time.Time
	for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(10 * time.Millisecond) {
		request := &scheduler.PendingRequest{Service: "s", Arrived: now, TargetTime: now.Add(time.Second), Deadline: now.Add(2 * time.Second), Decided: make(chan scheduler.Decision, 1)}
		s.Enqueue(now, request)
		select {
		case d := <-request.Decided:
			if d.Reason == scheduler.NotRefused {
				sent = append(sent, now)
				s.RecordOutcome(now, "x", 1, scheduler.Report{Latency: time.Millisecond})
			}
		default:
			s.Cancel(request)
		}
	}
	for n := range sent {
		if n >= 8 && sent[n].Sub(sent[n-8]) < time.Second {
			t.Fatalf("9 requests sent to a cold server within %s; this instance's share is 8 a second", sent[n].Sub(sent[n-8]))
		}
	}
	if len(sent) < 24 {
		t.Errorf("%d requests sent to a cold server in 5 s, want at least 24; this instance's share allows 40", len(sent))
	}
}
