// Package admitter decides which requests run on a backend server, which wait and
// which are refused. There is one Admitter per backend server, at its coordinator,
// so the slots are counted exactly once. It is a state machine: it does no I/O,
// starts no goroutine and reads no clock.
package admitter

import (
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// Config holds the limits of one backend server.
type Config struct {
	Slots       int // Requests that the server runs at a time.
	ColdSlots   int // Requests that it runs at a time while cold.
	QueueLength int // Requests that wait.
}

// ID names a request at an Admitter.
type ID uint64

// Flow is what the slots are shared fairly among: the requests of one organisation
// for one key.
type Flow struct {
	Organisation identifier.Organisation
	Key          identifier.Key
}

// Result is how a request that ran has ended.
type Result int

// The ends of a request.
const (
	Completed Result = iota // The server answered.
	Shed                    // The server refused it for its load.
	Slow                    // The deadline passed while it ran.
	Broke                   // The connection broke or could not be made.
)

const (
	// rampWork is the number of completed requests, per slot, after which a cold
	// server is given one slot more.
	rampWork = 8
	// cut is the factor that the limit shrinks by when the server is overloaded.
	cut = 0.7
	// overloadedAfter is the wait from which on the newest requests go first: the
	// oldest are then the ones most likely to expire.
	overloadedAfter = 250 * time.Millisecond
)

type waiting struct {
	id       ID
	flow     Flow
	since    time.Time
	deadline time.Time
}

// Admitter is the state machine of one backend server.
type Admitter struct {
	cfg      Config
	limit    float64 // Between 1 and the slots.
	cold     bool
	saysCold bool // The server says of itself that it is cold.
	work     int  // Completed since the last step of the ramp.
	cutAt    time.Time
	process  identifier.Incarnation
	running  map[ID]bool
	flows    map[Flow][]waiting
	turns    []Flow // Flows that wait, in the order of their turns.
	queued   int
}

// New returns the Admitter of a server that is taken for cold until it says
// otherwise.
func New(cfg Config) *Admitter {
	a := &Admitter{running: map[ID]bool{}, flows: map[Flow][]waiting{}}
	a.Configure(cfg)
	a.markCold()
	return a
}

// Configure changes the limits.
func (a *Admitter) Configure(cfg Config) {
	a.cfg = cfg
	a.limit = min(a.limit, float64(cfg.Slots))
}

// Decision is what becomes of waiting requests.
type Decision struct {
	Start   []ID // Send these now.
	Expired []ID // Answer these with CodeExpired: they were never sent.
}

// Verdict is what becomes of a request that arrives.
type Verdict int

// The verdicts on a request that arrives.
const (
	Start   Verdict = iota // Send it now.
	Wait                   // It waits; a Decision will name it.
	Full                   // Refused: the queue, or the flow's share of it, is full.
	Expired                // Refused: its deadline has passed.
)

// Arrive takes in a request. It is run at once, waits, or is refused.
func (a *Admitter) Arrive(now time.Time, id ID, flow Flow, deadline time.Time) Verdict {
	switch {
	case !now.Before(deadline):
		return Expired
	case a.queued == 0 && a.free():
		a.running[id] = true
		return Start
	case a.queued >= a.cfg.QueueLength || a.over(flow):
		return Full
	}
	if len(a.flows[flow]) == 0 {
		a.turns = append(a.turns, flow)
	}
	a.flows[flow] = append(a.flows[flow], waiting{id, flow, now, deadline})
	a.queued++
	return Wait
}

// over reports whether a flow has its share of the queue: one flow leaves at least
// half of it to the others.
func (a *Admitter) over(flow Flow) bool {
	return len(a.flows[flow]) >= max(1, a.cfg.QueueLength/2)
}

func (a *Admitter) free() bool { return len(a.running) < int(a.limit) }

// Cancel takes a waiting request out and reports whether it was waiting.
func (a *Admitter) Cancel(id ID) bool {
	for flow, queue := range a.flows {
		n := slices.IndexFunc(queue, func(w waiting) bool { return w.id == id })
		if n < 0 {
			continue
		}
		a.flows[flow] = slices.Delete(queue, n, n+1)
		a.queued--
		a.drop(flow)
		return true
	}
	return false
}

func (a *Admitter) drop(flow Flow) {
	if len(a.flows[flow]) > 0 {
		return
	}
	delete(a.flows, flow)
	a.turns = slices.DeleteFunc(a.turns, func(f Flow) bool { return f == flow })
}

// Done takes in the end of a request that ran and returns what runs next.
func (a *Admitter) Done(now time.Time, id ID, r Result) Decision {
	delete(a.running, id)
	switch r {
	case Completed:
		a.grow()
	case Shed, Slow:
		a.shrink(now)
	case Broke:
		a.markCold()
	}
	return a.Next(now)
}

// Next returns what runs next, and what has expired while it waited.
func (a *Admitter) Next(now time.Time) Decision {
	var d Decision
	a.expire(now, &d)
	for a.queued > 0 && a.free() {
		w := a.pick(now)
		a.running[w.id] = true
		d.Start = append(d.Start, w.id)
	}
	return d
}

// expire drops requests whose deadline has passed.
func (a *Admitter) expire(now time.Time, d *Decision) {
	for _, flow := range slices.Clone(a.turns) {
		a.flows[flow] = slices.DeleteFunc(a.flows[flow], func(w waiting) bool {
			if now.Before(w.deadline) {
				return false
			}
			d.Expired = append(d.Expired, w.id)
			a.queued--
			return true
		})
		a.drop(flow)
	}
}

// pick takes one request of the flow whose turn it is: the oldest, or the newest
// while requests of the flow have to wait long.
func (a *Admitter) pick(now time.Time) waiting {
	flow := a.turns[0]
	queue := a.flows[flow]
	n := 0
	if now.Sub(queue[0].since) >= overloadedAfter {
		n = len(queue) - 1
	}
	w := queue[n]
	a.flows[flow] = slices.Delete(queue, n, n+1)
	a.queued--
	a.turns = append(a.turns[1:], flow)
	a.drop(flow)
	return w
}

// grow raises the limit: by completed work while cold, additively afterwards.
func (a *Admitter) grow() {
	slots := float64(a.cfg.Slots)
	if !a.cold {
		a.limit = min(slots, a.limit+1/a.limit)
		return
	}
	if a.saysCold {
		return // It bears no more yet, whatever it has completed.
	}
	a.work++
	if a.work < rampWork*int(a.limit) {
		return
	}
	a.work = 0
	a.limit++
	if a.limit >= slots {
		a.limit = slots
		a.cold = false
	}
}

// shrink cuts the limit, once per burst of bad news.
func (a *Admitter) shrink(now time.Time) {
	if now.Sub(a.cutAt) < overloadedAfter {
		return
	}
	a.cutAt = now
	a.limit = max(1, a.limit*cut)
	a.work = 0
}

// markCold starts the ramp of a cold server again.
func (a *Admitter) markCold() {
	a.cold = true
	a.work = 0
	a.limit = float64(min(a.cfg.ColdSlots, a.cfg.Slots))
}

// SeeProcess takes in which process of the server answers; a new one is cold.
func (a *Admitter) SeeProcess(inc identifier.Incarnation) {
	if inc != a.process {
		a.process = inc
		a.markCold()
	}
}

// SeeState takes in whether the server says of itself that it is cold. One that falls
// back into cold start begins the ramp again.
func (a *Admitter) SeeState(cold bool) {
	a.saysCold = cold
	if cold && !a.cold {
		a.markCold()
	}
}

// State is a view of an Admitter for dumps.
type State struct {
	Limit   float64
	Cold    bool
	Running int
	Queued  int
}

// State returns a view of the Admitter.
func (a *Admitter) State() State { return State{a.limit, a.cold, len(a.running), a.queued} }
