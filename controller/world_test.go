package controller

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/imitator"
	"github.com/turmericlift/turmericlift/partitioner"
	"github.com/turmericlift/turmericlift/prober"
	"github.com/turmericlift/turmericlift/storer"
)

// The world drives several controllers, a platform and backend servers through a
// queue of timed events. It decides nothing: it only delivers, delays and loses.

const (
	worldTick    = 50 * time.Millisecond
	worldListLag = 2 * time.Second
	worldWatch   = 2 * time.Second
	worldList    = 500 * time.Millisecond
)

var (
	worldStart   = time.Unix(1_000_000, 0)
	worldService = identifier.ServiceName{Organisation: "org", Service: "log"}
)

// task is a timed event. It waits while its process is paused.
type task struct {
	at   time.Time
	seq  int
	proc *process
	run  func()
}

type tasks []*task

func (q tasks) Len() int { return len(q) }
func (q tasks) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q tasks) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *tasks) Push(x any)   { *q = append(*q, x.(*task)) }
func (q *tasks) Pop() any {
	old := *q
	t := old[len(old)-1]
	*q = old[:len(old)-1]
	return t
}

// process is one run of an instance or of a backend server.
type process struct {
	ended  bool
	gone   bool // The machine has ended too.
	paused bool
	queued []*task
}

type worldInstance struct {
	process
	peer     prober.Peer
	ctl      *Controller
	versions map[string]identifier.Version // Of the objects that the process goes by.
	edit     uint64
}

type worldServer struct {
	process
	info     storer.Listed
	checks   bool
	fence    *imitator.Fence
	inc      identifier.Incarnation
	requests map[*worldRequest]bool
	begunAt  time.Time // When the last request began.
}

type worldRequest struct {
	grant    granter.Grant
	key      identifier.Key
	deadline time.Time // Of a server that checks no grants.
}

// world is the whole installation.
type world struct {
	now       time.Time
	queue     tasks
	seq       int
	rand      *rand.Rand
	zones     []identifier.Zone
	instances []*worldInstance
	servers   []*worldServer

	objects  map[string]storer.Object
	revision identifier.Version
	stale    *snapshot // Reads and watches are answered from it, if set.
	listed   map[string]storer.Listed
	down     bool
	slow     time.Duration
	lose     int
	delay    time.Duration // Added to orders and requests on their way to a server.
	cut      map[string]bool

	failures []string
	calls    int                                           // Of the platform.
	moved    int                                           // Partitions that changed their owner.
	bases    map[identifier.Partition]identifier.Partition // Of pins, also of former ones.
	served   map[identifier.Partition]time.Time
	gaps     map[identifier.Partition]time.Duration // Longest time without an owner that would run a request.
}

// snapshot is the state of the platform's objects at some time.
type snapshot struct {
	objects  map[string]storer.Object
	revision identifier.Version
}

// seen returns what reads see: the present state, or an older one.
func (w *world) seen() snapshot {
	if w.stale != nil {
		return *w.stale
	}
	return snapshot{w.objects, w.revision}
}

type worldSize struct {
	zones, instances, servers int
	partitions                int
	unchecked                 int // Servers that check no grants.
	values                    map[string]string
}

func newWorld(seed uint64, size worldSize) *world {
	w := &world{
		now: worldStart, rand: rand.New(rand.NewPCG(seed, seed)), objects: map[string]storer.Object{},
		listed: map[string]storer.Listed{}, cut: map[string]bool{},
		bases:  map[identifier.Partition]identifier.Partition{},
		served: map[identifier.Partition]time.Time{}, gaps: map[identifier.Partition]time.Duration{},
	}
	for n := range size.zones {
		w.zones = append(w.zones, identifier.Zone(fmt.Sprintf("zone-%d", n)))
	}
	w.writeSettings(size)
	for n := range size.servers {
		w.addServer(fmt.Sprintf("server-%d", n), w.zones[n%size.zones], n >= size.unchecked)
	}
	for n := range size.instances {
		w.addInstance(fmt.Sprintf("instance-%d", n), w.zones[n%size.zones])
	}
	return w
}

func (w *world) writeSettings(size worldSize) {
	t := configurer.NewTree(worldService.Organisation)
	path := configurer.Path{Organisation: worldService.Organisation, Service: worldService.Service}
	w.must(t.Set(path, "Partitions", fmt.Sprint(size.partitions)))
	for field, value := range size.values {
		w.must(t.Set(path, field, value))
	}
	data, err := t.Encode()
	w.must(err)
	w.write(SettingsName(worldService.Organisation), 0, data)
}

func (w *world) must(err error) {
	if err != nil {
		w.fail("%v", err)
	}
}

func (w *world) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf("%8s ", w.now.Sub(worldStart))+fmt.Sprintf(format, args...))
}

func (w *world) after(d time.Duration, p *process, run func()) {
	w.seq++
	heap.Push(&w.queue, &task{w.now.Add(d), w.seq, p, run})
}

// run works the queue off until the time is reached.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		t := heap.Pop(&w.queue).(*task)
		w.now = t.at
		w.exec(t)
	}
	w.now = end
}

func (w *world) exec(t *task) {
	switch {
	case t.proc != nil && t.proc.ended:
	case t.proc != nil && t.proc.paused:
		t.proc.queued = append(t.proc.queued, t)
	default:
		t.run()
	}
}

func (w *world) pause(p *process) { p.paused = true }

func (w *world) resume(p *process) {
	p.paused = false
	for _, t := range p.queued {
		w.after(0, p, t.run)
	}
	p.queued = nil
}

func (w *world) latency() time.Duration {
	return time.Duration(500+w.rand.IntN(1000)) * time.Microsecond
}

// The platform.

func (w *world) write(name string, expected identifier.Version, data []byte) (identifier.Version, bool) {
	if w.objects[name].Version != expected {
		return w.objects[name].Version, false
	}
	w.count(name, data)
	w.revision++
	w.objects[name] = storer.Object{Name: name, Version: w.revision, Data: data}
	return w.revision, true
}

// count counts the partitions whose owner a write changes.
func (w *world) count(name string, data []byte) {
	if name != AssignmentName(worldService) || w.objects[name].Version == 0 {
		return
	}
	before, err := partitioner.Decode(w.objects[name].Data)
	w.must(err)
	after, err := partitioner.Decode(data)
	w.must(err)
	for _, pin := range before.Pins() {
		w.bases[pin.Partition], _ = before.Base(pin.Partition)
	}
	for p := range before.Len() {
		x, _, _ := before.Owner(identifier.Partition(p))
		y, _, _ := after.Owner(identifier.Partition(p))
		if x != y {
			w.moved++
		}
	}
}

func (w *world) list() []storer.Listed {
	var all []storer.Listed
	for _, l := range w.listed {
		all = append(all, l)
	}
	slices.SortFunc(all, func(x, y storer.Listed) int { return strings.Compare(x.ID, y.ID) })
	return all
}

// enlist and delist change the list with a lag.
func (w *world) enlist(l storer.Listed) {
	w.after(time.Duration(w.rand.Int64N(int64(worldListLag))), nil, func() {
		if s := w.server(identifier.BackendServer(l.ID)); s == nil || !s.gone {
			w.listed[l.ID] = l
		}
	})
}

func (w *world) delist(id string) {
	w.after(time.Duration(w.rand.Int64N(int64(worldListLag))), nil, func() { delete(w.listed, id) })
}

// reaches reports whether an instance's calls reach the platform.
func (w *world) reaches(i *worldInstance) bool {
	return !w.down && !w.cut["platform/"+string(i.peer.Zone)]
}

// call makes a call of the platform for an instance: ask runs at the platform, and
// answer at the instance; failed runs there if the platform is not reached.
func (w *world) call(i *worldInstance, ask func() func(), failed func()) {
	w.calls++
	w.after(w.latency()+w.slow, nil, func() {
		if !w.reaches(i) {
			w.after(w.latency(), &i.process, failed)
			return
		}
		answer := ask()
		if answer == nil {
			answer = failed
		}
		w.after(w.latency()+w.slow, &i.process, answer)
	})
}

// Instances.

func (w *world) addInstance(name string, z identifier.Zone) *worldInstance {
	i := &worldInstance{peer: prober.Peer{Instance: identifier.Instance(name), Zone: z, Address: name}}
	w.instances = append(w.instances, i)
	w.enlist(storer.Listed{ID: name, Kind: storer.KindEntry, State: storer.StateLive, Zone: z, Address: name})
	w.boot(i)
	return i
}

// boot starts the next process of an instance.
func (w *world) boot(i *worldInstance) {
	if i.gone {
		return
	}
	i.process = process{}
	i.versions = map[string]identifier.Version{}
	cfg := DefaultConfig(i.peer, identifier.Incarnation(w.now.UnixMilli()))
	cfg.Assigner.ListLag = worldListLag
	i.ctl = New(w.now, cfg)
	ctl := i.ctl
	current := func(run func()) func() {
		return func() {
			if i.ctl == ctl {
				run()
			}
		}
	}
	var tick, watch, list func()
	tick = current(func() {
		w.step(i, Tick{})
		w.after(worldTick, &i.process, tick)
	})
	watch = current(func() { w.watch(i, ctl, watch) })
	list = current(func() {
		again := func() {
			wait := worldList
			if !ctl.ReadsList() {
				wait = 8 * worldList
			}
			w.after(wait, &i.process, list)
		}
		w.call(i, func() func() {
			l := w.list()
			return current(func() { w.step(i, ListRead{l}); again() })
		}, again)
	})
	for _, loop := range []func(){tick, watch, list} {
		w.after(w.latency(), &i.process, loop)
	}
}

// watch waits at the platform in short steps until something changes.
func (w *world) watch(i *worldInstance, ctl *Controller, again func()) {
	at, from := w.now, ctl.Revision()
	var poll func()
	poll = func() {
		seen := w.seen()
		if w.reaches(i) && seen.revision <= from && w.now.Sub(at) < worldWatch {
			w.after(40*time.Millisecond, nil, poll)
			return
		}
		if !w.reaches(i) {
			w.after(300*time.Millisecond, &i.process, again)
			return
		}
		change := storer.Change{Revision: seen.revision}
		for _, o := range seen.objects {
			if o.Version > from {
				change.Objects = append(change.Objects, o)
			}
		}
		slices.SortFunc(change.Objects, func(x, y storer.Object) int { return int(x.Version) - int(y.Version) })
		w.after(w.latency()+w.slow, &i.process, func() {
			if i.ctl == ctl {
				w.step(i, Watched{at, from, change})
				again()
			}
		})
	}
	w.calls++
	w.after(w.latency()+w.slow, nil, poll)
}

// step gives an event to an instance and carries its actions out.
func (w *world) step(i *worldInstance, e Event) {
	ctl := i.ctl
	actions := ctl.Step(w.now, e)
	w.checkVersions(i)
	for _, action := range actions {
		switch a := action.(type) {
		case SendMessage:
			w.deliver(i, a)
		case SendOrder:
			w.order(i, ctl, a)
		case WriteObject:
			w.put(i, ctl, a.Object)
		case ReadObject:
			w.get(i, ctl, a.Name)
		case Noted:
		}
	}
}

// checkVersions checks that no object that an instance goes by has gone back.
func (w *world) checkVersions(i *worldInstance) {
	if i.edit == i.ctl.Edit() {
		return
	}
	i.edit = i.ctl.Edit()
	for name, o := range i.ctl.objects {
		if o.Version < i.versions[name] {
			w.fail("%s: %s went back from version %d to %d", i.peer.Instance, name, i.versions[name], o.Version)
		}
		i.versions[name] = o.Version
	}
}

// back returns a step that counts only if the instance's process is still the same.
func (w *world) back(i *worldInstance, ctl *Controller, e Event) func() {
	return func() {
		if i.ctl == ctl {
			w.step(i, e)
		}
	}
}

func (w *world) put(i *worldInstance, ctl *Controller, o storer.Object) {
	w.call(i, func() func() {
		v, ok := w.write(o.Name, o.Version, o.Data)
		if w.lose > 0 {
			w.lose--
			return nil
		}
		if !ok {
			return w.back(i, ctl, WriteEnded{Object: o, Result: Conflicted})
		}
		o.Version = v
		return w.back(i, ctl, WriteEnded{Object: o, Result: Written})
	}, w.back(i, ctl, WriteEnded{Object: o, Result: Ambiguous}))
}

func (w *world) get(i *worldInstance, ctl *Controller, name string) {
	w.call(i, func() func() {
		o := w.seen().objects[name]
		o.Name = name
		return w.back(i, ctl, ObjectRead{o})
	}, w.back(i, ctl, ReadFailed{name}))
}

func (w *world) deliver(i *worldInstance, a SendMessage) {
	n := slices.IndexFunc(w.instances, func(to *worldInstance) bool { return to.peer.Instance == a.To.Instance })
	if n < 0 || w.severed(i, w.instances[n]) {
		return
	}
	to := w.instances[n]
	w.after(w.latency(), &to.process, func() {
		if !w.severed(i, to) {
			w.step(to, MessageReceived{i.peer, a.Message})
		}
	})
}

func (w *world) severed(x, y *worldInstance) bool {
	zones := x.peer.Zone != y.peer.Zone && (w.cut["zone/"+string(x.peer.Zone)] || w.cut["zone/"+string(y.peer.Zone)])
	return zones || w.cut[string(x.peer.Instance)] || w.cut[string(y.peer.Instance)]
}

// Backend servers.

func (w *world) addServer(name string, z identifier.Zone, checks bool) {
	s := &worldServer{info: storer.Listed{
		ID: name, Kind: storer.KindBackendServer, State: storer.StateLive, Zone: z, Address: name,
		Organisation: worldService.Organisation, Service: worldService.Service,
	}, checks: checks}
	w.servers = append(w.servers, s)
	w.enlist(s.info)
	w.bootServer(s)
}

func (w *world) bootServer(s *worldServer) {
	if s.gone {
		return
	}
	s.process = process{}
	s.inc++
	s.fence = imitator.NewFence(w.now, identifier.BackendServer(s.info.ID), s.inc, s.checks)
	s.requests = map[*worldRequest]bool{}
}

func (w *world) server(id identifier.BackendServer) *worldServer {
	for _, s := range w.servers {
		if s.info.ID == string(id) {
			return s
		}
	}
	return nil
}

// reachesServer reports whether an instance and a server can talk: a cut zone is cut
// off from servers in other zones too.
func (w *world) reachesServer(i *worldInstance, s *worldServer) bool {
	if i.peer.Zone == s.info.Zone {
		return true
	}
	return !w.cut["zone/"+string(i.peer.Zone)] && !w.cut["zone/"+string(s.info.Zone)]
}

// order brings an order to a server and its answer back, or times out.
func (w *world) order(i *worldInstance, ctl *Controller, a SendOrder) {
	s := w.server(a.Order.Server)
	answered := false
	finish := func(e granter.OrderAnswered) func() {
		return func() {
			if !answered {
				answered = true
				w.back(i, ctl, OrderEnded{e})()
			}
		}
	}
	w.after(400*time.Millisecond, &i.process, finish(granter.OrderAnswered{Order: a.Order, Failed: true}))
	way := w.latency() + w.lateness()
	fence := s.fence
	w.after(way, &s.process, func() {
		if !w.reachesServer(i, s) || s.fence != fence && way < time.Second {
			return // The connection broke with the former process.
		}
		answer := s.fence.Take(w.now, a.Order)
		if answer.Result == granter.Accepted {
			w.checkGrants(s, a.Order)
		}
		w.after(w.latency(), &i.process, finish(granter.OrderAnswered{Order: a.Order, Answer: answer}))
	})
}

// lateness is now and then a delay on the way to a server.
func (w *world) lateness() time.Duration {
	if w.delay == 0 || w.rand.IntN(3) > 0 {
		return 0
	}
	return time.Duration(w.rand.Int64N(int64(w.delay)))
}

var errAssignment = errors.New("no assignment")

// truth is the naive model of ownership: the assignment that the platform has now.
func (w *world) truth() (*partitioner.Assignment, error) {
	o, ok := w.objects[AssignmentName(worldService)]
	if !ok {
		return nil, errAssignment
	}
	return partitioner.Decode(o.Data)
}

// checkGrants compares the grants that a server has just accepted with the naive
// model, and with what any other server would run.
func (w *world) checkGrants(s *worldServer, o granter.Order) {
	truth, err := w.truth()
	if err != nil {
		return
	}
	for _, g := range o.Grants {
		if !s.fence.Holds(w.now, g) {
			continue
		}
		owner, e, owned := truth.Owner(g.Partition)
		if !owned && truth.Pinned(g.Partition) {
			// The key has gone back to its former partition, whose owner may still hold it.
			owner, _, _ = truth.Owner(w.bases[g.Partition])
		}
		if string(owner) != s.info.ID {
			w.fail("%s accepted partition %d at epoch %d; the owner is %s at %d", s.info.ID, g.Partition, g.Epoch, owner, e)
		}
		w.checkAlone(s, g.Partition)
	}
}

// checkAlone checks that no other server would run or runs requests of a partition.
func (w *world) checkAlone(s *worldServer, p identifier.Partition) {
	for _, other := range w.servers {
		if other == s || other.ended {
			continue
		}
		for _, held := range other.fence.Holding(w.now) {
			if held.Partition == p {
				w.fail("partition %d: %s and %s hold it", p, s.info.ID, other.info.ID)
			}
		}
		for r := range other.requests {
			if r.grant.Partition == p && w.mayRun(other, r) {
				w.fail("partition %d: %s runs it while %s starts", p, other.info.ID, s.info.ID)
			}
		}
	}
}

func (w *world) mayRun(s *worldServer, r *worldRequest) bool {
	if !s.checks {
		return w.now.Before(r.deadline)
	}
	return s.fence.MayRun(w.now, r.grant)
}
