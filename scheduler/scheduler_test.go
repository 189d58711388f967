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

	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
	"github.com/turmericlift/turmericlift/scheduler"
)

var start = time.Unix(1000, 0)

// fixed owns every key at one server.
type fixed struct{ own registrar.Ownership }

func (f fixed) Owner(time.Time, identifier.Service, identifier.Point) registrar.Ownership {
	return f.own
}

func candidate(id string, zone identifier.Zone, slots int) scheduler.Candidate {
	return scheduler.Candidate{Entry: registrar.Entry{ID: identifier.BackendServer(id), Life: 1, Service: "s", Zone: zone, Address: "192.0.2.1:1", Slots: slots}}
}

// TestScripts plays the scripts in _fixtures: each names the pattern of load that it
// answers.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("_fixtures/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d scripts, %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			p := &player{t: t, now: start, tickets: map[string]*scheduler.Ticket{}}
			for n, line := range strings.Split(string(text), "\n") {
				if words := strings.Fields(line); len(words) > 0 && !strings.HasPrefix(line, "#") {
					p.line(fmt.Sprintf("line %d: %s", n+1, line), words)
				}
			}
		})
	}
}

// player plays one script.
type player struct {
	t          *testing.T
	now        time.Time
	s          *scheduler.Scheduler
	keyed      bool
	candidates []scheduler.Candidate
	tickets    map[string]*scheduler.Ticket
}

func (p *player) line(where string, words []string) {
	number := func(n int) int {
		v, err := strconv.Atoi(words[n])
		if err != nil {
			p.t.Fatalf("%s: %v", where, err)
		}
		return v
	}
	ms := func(n int) time.Duration { return time.Duration(number(n)) * time.Millisecond }
	switch words[0] {
	case "server": // ID, zone, slots.
		p.candidates = append(p.candidates, candidate(words[1], identifier.Zone(words[2]), number(3)))
	case "cold": // Of the last server: for how long, requests a second.
		c := &p.candidates[len(p.candidates)-1]
		c.ColdTill, c.ColdRate = p.now.Add(ms(1)), float64(number(2))
	case "begin": // pool, or the owner of all keys: an ID, "moving" or "nobody".
		p.begin(words[1])
	case "exclude":
		for n := range p.candidates {
			p.candidates[n].Excluded = p.candidates[n].Excluded || string(p.candidates[n].ID) == words[1]
		}
		p.s.SetServers(p.candidates)
		p.s.Tick(p.now)
	case "leave": // ID, for how long it gets requests for keys that it owns.
		for n := range p.candidates {
			if string(p.candidates[n].ID) == words[1] {
				p.candidates[n].Excluded, p.candidates[n].OwnsTill = true, p.now.Add(ms(2))
			}
		}
		p.s.SetServers(p.candidates)
		p.s.Tick(p.now)
	case "wait":
		p.now = p.now.Add(ms(1))
		p.s.Tick(p.now)
	case "request": // Name, rank, target, deadline.
		t := &scheduler.Ticket{Service: "s", Keyed: p.keyed, Rank: director.Rank(number(2)), Arrived: p.now,
			Target: p.now.Add(ms(3)), Deadline: p.now.Add(ms(4)), Decided: make(chan scheduler.Decision, 1),
			Returned: len(words) > 5}
		p.tickets[words[1]] = t
		p.s.Arrive(p.now, t)
	case "done": // Server, latency.
		p.s.Done(p.now, identifier.BackendServer(words[1]), 1, scheduler.Report{Latency: ms(2)})
	case "report": // Server, latency, running and waiting there.
		p.s.Done(p.now, identifier.BackendServer(words[1]), 1, scheduler.Report{Latency: ms(2), HasLoad: true, Running: number(3), Waiting: number(4), Slowness: 1})
	case "expect": // Name, then a server's ID, "waits", or "refused" and a reason.
		if got := p.outcome(words[1]); got != strings.Join(words[2:], " ") {
			p.t.Errorf("%s: got %q", where, got)
		}
	default:
		p.t.Fatalf("%s: unknown word", where)
	}
}

func (p *player) begin(owner string) {
	p.keyed = owner != "pool"
	own := registrar.Ownership{Server: identifier.BackendServer(owner), Life: 1, Ready: true}
	switch owner {
	case "moving":
		own = registrar.Ownership{ReadyAt: p.now.Add(200 * time.Millisecond)}
	case "nobody":
		own = registrar.Ownership{}
	}
	p.s = scheduler.New(start.Add(-time.Minute), "a", fixed{own})
	p.s.SetServers(p.candidates)
}

var reasons = map[scheduler.Reason]string{scheduler.NoOwner: "NoOwner", scheduler.NoServer: "NoServer", scheduler.NoRoom: "NoRoom"}

func (p *player) outcome(name string) string {
	select {
	case d := <-p.tickets[name].Decided:
		if d.Reason == scheduler.None {
			return string(d.Server.ID)
		}
		if d.RetryAfter <= 0 {
			return "refused without a time to come back"
		}
		return "refused " + reasons[d.Reason]
	default:
		return "waits"
	}
}

// TestRefusalsSpread: the load is a crowd that is refused at one moment. Their times to
// come back must not be one moment too.
func TestRefusalsSpread(t *testing.T) {
	s := scheduler.New(start.Add(-time.Minute), "a", fixed{})
	seen := map[time.Duration]bool{}
	for range 100 {
		ticket := &scheduler.Ticket{Service: "s", Keyed: true, Arrived: start, Deadline: start.Add(time.Second), Decided: make(chan scheduler.Decision, 1)}
		s.Arrive(start, ticket)
		seen[(<-ticket.Decided).RetryAfter.Round(time.Millisecond)] = true
	}
	if len(seen) < 30 {
		t.Errorf("100 refusals have %d different times", len(seen))
	}
}

// TestBurst: the load is three times what two servers can bear, of two ranks, for 4 s.
// The urgent rank has to be served nearly whole, the other must not starve, and nobody
// may be left without a decision at its deadline.
func TestBurst(t *testing.T) {
	rng := rand.New(rand.NewSource(3))
	s := scheduler.New(start.Add(-time.Minute), "a", fixed{})
	s.SetServers([]scheduler.Candidate{candidate("x", "a", 4), candidate("y", "b", 4)})
	type run struct {
		server identifier.BackendServer
		until  time.Time
	}
	var running []run
	open := map[*scheduler.Ticket]bool{}
	served, asked := [2]int{}, [2]int{}
	for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(5 * time.Millisecond) {
		if now.Before(start.Add(4 * time.Second)) {
			for range 2 { // 240 a second of what 80 can be served.
				if rng.Intn(10) < 6 {
					rank := 1
					if rng.Intn(4) == 0 {
						rank = 0
					}
					t := &scheduler.Ticket{Service: "s", Rank: director.Rank(rank), Arrived: now, Target: now.Add(300 * time.Millisecond),
						Deadline: now.Add(time.Second), Decided: make(chan scheduler.Decision, 1)}
					asked[rank]++
					open[t] = true
					s.Arrive(now, t)
				}
			}
		}
		var kept []run
		for _, r := range running {
			if r.until.After(now) {
				kept = append(kept, r)
				continue
			}
			s.Done(now, r.server, 1, scheduler.Report{Latency: 100 * time.Millisecond})
		}
		running = kept
		s.Tick(now)
		for t := range open {
			select {
			case d := <-t.Decided:
				delete(open, t)
				if d.Reason == scheduler.None {
					served[t.Rank]++
					running = append(running, run{d.Server.ID, now.Add(100 * time.Millisecond)})
				}
			default:
			}
		}
	}
	for t2 := range open {
		t.Errorf("a request that arrived at %s has no decision", t2.Arrived.Sub(start))
	}
	urgent, other := float64(served[0])/float64(asked[0]), float64(served[1])/float64(asked[1])
	if urgent < 0.8 || other < 0.1 || urgent < other {
		t.Errorf("served %.2f of the urgent and %.2f of the other requests", urgent, other)
	}
}

// TestManyInstancesOneServer: the load is twice what the owner of a hot key bears, through
// 27 instances that know of each other only what they said up to 200 ms ago. The owner must
// be kept busy, and its own queue short: what waits there no instance can put in order, and
// runs past its deadline.
func TestManyInstancesOneServer(t *testing.T) {
	const instances, slots, work, step = 27, 2, 100 * time.Millisecond, 5 * time.Millisecond
	rng := rand.New(rand.NewSource(11))
	own := registrar.Ownership{Server: "x", Life: 1, Ready: true}
	var all []*scheduler.Scheduler
	for range instances {
		s := scheduler.New(start.Add(-time.Minute), "a", fixed{own})
		s.SetServers([]scheduler.Candidate{candidate("x", "a", slots)})
		all = append(all, s)
	}
	type visit struct {
		by             *scheduler.Scheduler
		arrived, until time.Time
	}
	var at []visit // In order of arrival; the first ones run.
	open := map[*scheduler.Ticket]*scheduler.Scheduler{}
	served, queued, looks := 0, 0, 0
	const length = 20 * time.Second
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		if rng.Intn(5) == 0 { // 40 a second.
			s := all[rng.Intn(instances)]
			ticket := &scheduler.Ticket{Service: "s", Keyed: true, Arrived: now, Target: now.Add(400 * time.Millisecond),
				Deadline: now.Add(2 * time.Second), Decided: make(chan scheduler.Decision, 1)}
			open[ticket] = s
			s.Arrive(now, ticket)
		}
		if now.Sub(start)%(200*time.Millisecond) == 0 {
			for _, s := range all {
				running, waiting := 0, 0
				for _, other := range all {
					if other != s {
						running += other.Running()["x"]
						waiting += other.WaitingAt()["x"]
					}
				}
				s.Heard(map[identifier.BackendServer]int{"x": running}, map[identifier.BackendServer]int{"x": waiting})
			}
		}
		for n := range at {
			if n < slots && at[n].until.IsZero() {
				at[n].until = now.Add(work)
			}
		}
		var still []visit
		for _, v := range at {
			if v.until.IsZero() || v.until.After(now) {
				still = append(still, v)
				continue
			}
			served++
			v.by.Done(now, "x", 1, scheduler.Report{Latency: now.Sub(v.arrived), HasLoad: true, Running: min(len(at), slots), Waiting: max(len(at)-slots, 0), Slowness: 1})
		}
		at = still
		for _, s := range all {
			s.Tick(now)
		}
		for ticket, s := range open {
			select {
			case d := <-ticket.Decided:
				delete(open, ticket)
				if d.Reason == scheduler.None {
					at = append(at, visit{by: s, arrived: now})
				}
			default:
			}
		}
		queued += max(len(at)-slots, 0)
		looks++
	}
	capacity := float64(slots) * length.Seconds() / work.Seconds()
	if used := float64(served) / capacity; used < 0.8 {
		t.Errorf("%.2f of the server's time is used", used)
	}
	if mean := float64(queued) / float64(looks); mean > 2*slots {
		t.Errorf("%.1f requests wait at the server on average, it runs %d at a time", mean, slots)
	}
}

// TestColdBound: the load is more than a cold server bears. In no second may this
// instance send it more than its share.
func TestColdBound(t *testing.T) {
	s := scheduler.New(start.Add(-time.Minute), "a", fixed{})
	s.SetInstances(2)
	c := candidate("x", "a", 50)
	c.ColdTill, c.ColdRate = start.Add(time.Hour), 16
	s.SetServers([]scheduler.Candidate{c})
	var sent []time.Time
	for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(10 * time.Millisecond) {
		ticket := &scheduler.Ticket{Service: "s", Arrived: now, Target: now.Add(time.Second), Deadline: now.Add(2 * time.Second), Decided: make(chan scheduler.Decision, 1)}
		s.Arrive(now, ticket)
		select {
		case d := <-ticket.Decided:
			if d.Reason == scheduler.None {
				sent = append(sent, now)
				s.Done(now, "x", 1, scheduler.Report{Latency: time.Millisecond})
			}
		default:
			s.Cancel(ticket)
		}
	}
	for n := range sent {
		if n >= 8 && sent[n].Sub(sent[n-8]) < time.Second {
			t.Fatalf("9 requests within %s at a cold server whose share is 8 a second", sent[n].Sub(sent[n-8]))
		}
	}
	if len(sent) < 24 {
		t.Errorf("%d requests in 5 s; the share allows 40", len(sent))
	}
}
