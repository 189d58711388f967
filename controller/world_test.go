package controller

import (
	"container/heap"
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
