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

// The harness runs several controllers, a platform and backend servers from one queue of timed events.
// It contains no logic of the system under test: it only delivers, delays and loses messages.

const (
	tickInterval = 50 * time.Millisecond
	listLag      = 2 * time.Second        // Upper bound of the lag of the platform's list.
	watchTimeout = 2 * time.Second        // After this time a watch is answered without changes.
	listInterval = 500 * time.Millisecond // Time between two reads of the list by an instance that reads it often.
)

var (
	startTime   = time.Unix(1_000_000, 0)
	testService = identifier.ServiceName{Organisation: "org", Service: "log"}
)

// task is a timed event. If its process is paused, it runs after the process resumes; if the process has ended,
// never.
type task struct {
	at   time.Time
	seq  int
	proc *process
	run  func()
}

// tasks is a heap of tasks by time, and by creation for equal times.
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
	ended        bool
	machineEnded bool // The machine has ended too, so that no new process can start.
	paused       bool
	queued       []*task // The tasks that became due while the process was paused.
}

type simulatedInstance struct {
	process
	peer       prober.Peer
	ctl        *Controller
	versions   map[string]identifier.Version // The version of each cached object at the last check, by name.
	generation uint64
}

type simulatedServer struct {
	process
	info         storer.ListedInstance
	checksGrants bool
	fence        *imitator.Fence
	incarnation  identifier.Incarnation
	requests     map[*simulatedRequest]bool
	lastBegunAt  time.Time // When the last request was started.
}

type simulatedRequest struct {
	grant    granter.Grant
	key      identifier.Key
	deadline time.Time // Set only for a server that checks no grants.
}

// harness simulates a whole installation. Everything runs on the caller's goroutine.
type harness struct {
	now       time.Time
	queue     tasks
	seq       int
	rand      *rand.Rand
	zones     []identifier.Zone
	instances []*simulatedInstance
	servers   []*simulatedServer

	objects       map[string]storer.Object
	revision      identifier.Version
	stale         *snapshot // If set, reads and watches are answered from this older state.
	listed        map[string]storer.ListedInstance
	platformDown  bool
	platformDelay time.Duration
	answersToLose int
	orderDelay    time.Duration   // Largest delay of orders and requests to a backend server.
	cut           map[string]bool // What is cut off: an instance, "zone/" or "platform/" and a zone.

	failures      []string
	platformCalls int                                           // Number of calls of the platform.
	ownerChanges  int                                           // Number of changes of a partition's owner.
	pinBases      map[identifier.Partition]identifier.Partition // By pin partition: the one its key hashes to.
	served        map[identifier.Partition]time.Time            // When a request was last started.
	gaps          map[identifier.Partition]time.Duration        // Longest time without a request that was started.
}

// snapshot is the state of the platform's objects at some time.
type snapshot struct {
	objects  map[string]storer.Object
	revision identifier.Version
}

// readView returns the state that reads and watches return: the present one, or the older one if set.
func (h *harness) readView() snapshot {
	if h.stale != nil {
		return *h.stale
	}
	return snapshot{h.objects, h.revision}
}

type harnessSize struct {
	zones, instances, servers int
	partitions                int
	unchecked                 int // Number of servers that check no grants.
	values                    map[string]string
}

// newHarness returns a harness whose processes are about to start.
func newHarness(seed uint64, size harnessSize) *harness {
	h := &harness{
		now: startTime, rand: rand.New(rand.NewPCG(seed, seed)), objects: map[string]storer.Object{},
		listed: map[string]storer.ListedInstance{}, cut: map[string]bool{},
		pinBases: map[identifier.Partition]identifier.Partition{},
		served:   map[identifier.Partition]time.Time{}, gaps: map[identifier.Partition]time.Duration{},
	}
	for n := range size.zones {
		h.zones = append(h.zones, identifier.Zone(fmt.Sprintf("zone-%d", n)))
	}
	h.writeSettings(size)
	for n := range size.servers {
		h.addServer(fmt.Sprintf("server-%d", n), h.zones[n%size.zones], n >= size.unchecked)
	}
	for n := range size.instances {
		h.addInstance(fmt.Sprintf("instance-%d", n), h.zones[n%size.zones])
	}
	return h
}

func (h *harness) writeSettings(size harnessSize) {
	t := configurer.NewTree(testService.Organisation)
	path := configurer.Path{Organisation: testService.Organisation, Service: testService.Service}
	h.failOnError(t.Set(path, "Partitions", fmt.Sprint(size.partitions)))
	for field, value := range size.values {
		h.failOnError(t.Set(path, field, value))
	}
	data, err := t.Encode()
	h.failOnError(err)
	h.write(SettingsName(testService.Organisation), 0, data)
}

// failOnError records an error as a failure.
func (h *harness) failOnError(err error) {
	if err != nil {
		h.fail("%v", err)
	}
}

// fail records a failure together with the time since the start.
func (h *harness) fail(format string, args ...any) {
	h.failures = append(h.failures, fmt.Sprintf("%8s ", h.now.Sub(startTime))+fmt.Sprintf(format, args...))
}

// after runs a function after a time, on behalf of a process or, if p is nil, of the harness.
func (h *harness) after(d time.Duration, p *process, run func()) {
	h.seq++
	heap.Push(&h.queue, &task{h.now.Add(d), h.seq, p, run})
}

// run executes the tasks of the next d, in the order of their times.
func (h *harness) run(d time.Duration) {
	end := h.now.Add(d)
	for len(h.queue) > 0 && !h.queue[0].at.After(end) {
		t := heap.Pop(&h.queue).(*task)
		h.now = t.at
		h.runTask(t)
	}
	h.now = end
}

func (h *harness) runTask(t *task) {
	switch {
	case t.proc != nil && t.proc.ended:
	case t.proc != nil && t.proc.paused:
		t.proc.queued = append(t.proc.queued, t)
	default:
		t.run()
	}
}

func (h *harness) pause(p *process) { p.paused = true }

// resume lets a process continue; the tasks that it missed run at once.
func (h *harness) resume(p *process) {
	p.paused = false
	for _, t := range p.queued {
		h.after(0, p, t.run)
	}
	p.queued = nil
}

// latency returns a random network delay from 0.5 ms to 1.5 ms.
func (h *harness) latency() time.Duration {
	return time.Duration(500+h.rand.IntN(1000)) * time.Microsecond
}

// write writes an object if its version is the expected one, and returns its version after that.
func (h *harness) write(name string, expected identifier.Version, data []byte) (identifier.Version, bool) {
	if h.objects[name].Version != expected {
		return h.objects[name].Version, false
	}
	h.countMoves(name, data)
	h.revision++
	h.objects[name] = storer.Object{Name: name, Version: h.revision, Data: data}
	return h.revision, true
}

// countMoves adds the partitions whose owner a write changes to h.ownerChanges, and records the former partitions of
// pins.
func (h *harness) countMoves(name string, data []byte) {
	if name != AssignmentName(testService) || h.objects[name].Version == 0 {
		return
	}
	before, err := partitioner.Decode(h.objects[name].Data)
	h.failOnError(err)
	after, err := partitioner.Decode(data)
	h.failOnError(err)
	for _, pin := range before.Pins() {
		h.pinBases[pin.Partition], _ = before.UnpinnedPartition(pin.Partition)
	}
	for p := range before.Len() {
		x, _, _ := before.Owner(identifier.Partition(p))
		y, _, _ := after.Owner(identifier.Partition(p))
		if x != y {
			h.ownerChanges++
		}
	}
}

// list returns the platform's list, sorted by ID.
func (h *harness) list() []storer.ListedInstance {
	var all []storer.ListedInstance
	for _, l := range h.listed {
		all = append(all, l)
	}
	slices.SortFunc(all, func(x, y storer.ListedInstance) int { return strings.Compare(x.ID, y.ID) })
	return all
}

// addToList adds or replaces an entry of the platform's list, with a random lag.
func (h *harness) addToList(l storer.ListedInstance) {
	h.after(time.Duration(h.rand.Int64N(int64(listLag))), nil, func() {
		if s := h.server(identifier.BackendServer(l.ID)); s == nil || !s.machineEnded {
			h.listed[l.ID] = l
		}
	})
}

// removeFromList removes an entry of the platform's list, with a random lag.
func (h *harness) removeFromList(id string) {
	h.after(time.Duration(h.rand.Int64N(int64(listLag))), nil, func() { delete(h.listed, id) })
}

// reachesPlatform reports whether the calls of an instance reach the platform at present.
func (h *harness) reachesPlatform(i *simulatedInstance) bool {
	return !h.platformDown && !h.cut["platform/"+string(i.peer.Zone)]
}

// callPlatform simulates a call of the platform by an instance. ask runs at the platform and returns the function
// that runs at the instance when the answer arrives. failed runs at the instance instead if the platform is not
// reached or ask returns nil.
func (h *harness) callPlatform(i *simulatedInstance, ask func() func(), failed func()) {
	h.platformCalls++
	h.after(h.latency()+h.platformDelay, nil, func() {
		if !h.reachesPlatform(i) {
			h.after(h.latency(), &i.process, failed)
			return
		}
		answer := ask()
		if answer == nil {
			answer = failed
		}
		h.after(h.latency()+h.platformDelay, &i.process, answer)
	})
}
