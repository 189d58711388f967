// Package admitter decides which requests run on a backend server, which wait and which are refused. It
// limits the requests that run at a time, adapts that limit to how requests end, and shares it fairly
// among the waiting keys. There is one Admitter per backend server, at the server's coordinator, so each
// request is counted exactly once. An Admitter is a state machine: it does no I/O, starts no goroutine and
// reads no clock. It is not safe for concurrent use.
//
// Start reading at the methods of Admitter in admitter.go.
package admitter

import (
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// Config holds the limits of one backend server.
type Config struct {
	Slots       int // The requests that the server runs at a time.
	ColdSlots   int // The requests that it runs at a time at the start of its cold phase.
	QueueLength int // The requests that may wait for it.
}

// ID identifies a request at an Admitter. The caller must choose a new one for each request.
type ID uint64

// Flow is the unit of fair sharing: the requests of one organisation for one key. Flows with waiting
// requests get free slots in turn.
type Flow struct {
	Organisation identifier.Organisation
	Key          identifier.Key
}

// Result is how a request that ran has ended, as far as it matters for the limit.
type Result int

// The results of a request.
const (
	Completed        Result = iota // The server answered; the limit may rise.
	Shed                           // The server refused the request because of its load; the limit is cut.
	DeadlinePassed                 // The deadline passed while the request ran; the limit is cut.
	ConnectionFailed               // The connection broke or could not be made; the server is treated as cold.
)

const (
	// rampCompletions is the number of completed requests, per slot of the current limit, after which the
	// limit of a cold server rises by one slot.
	rampCompletions = 8
	// limitCutFactor is the factor by which the limit is multiplied when the server is overloaded.
	limitCutFactor = 0.7
	// longWait is the wait of a flow's oldest request from which on the flow's newest request runs first,
	// as the oldest ones are the most likely to expire. It is also the least time between two cuts of the
	// limit.
	longWait = 250 * time.Millisecond
)

// waitingRequest is a request in the queue.
type waitingRequest struct {
	id       ID
	flow     Flow
	since    time.Time
	deadline time.Time
}

// Admitter admits the requests of one backend server.
type Admitter struct {
	cfg Config
	// limit is the number of requests that may run at a time, between 1 and cfg.Slots. It is rounded down.
	limit       float64
	cold        bool
	reportsCold bool // The server has reported last that it is cold.
	completions int  // The completed requests of a cold server since its limit last changed.
	lastCutAt   time.Time
	incarnation identifier.Incarnation
	running     map[ID]bool
	flows       map[Flow][]waitingRequest
	flowOrder   []Flow // The flows with waiting requests, the next one to run first.
	queued      int    // The number of waiting requests of all flows.
}

// New returns the Admitter of a server, which is treated as cold at first.
func New(cfg Config) *Admitter {
	a := &Admitter{running: map[ID]bool{}, flows: map[Flow][]waitingRequest{}}
	a.Configure(cfg)
	a.restartRamp()
	return a
}

// Configure replaces the limits of the configuration. A new ColdSlots applies when the server is next
// treated as cold.
func (a *Admitter) Configure(cfg Config) {
	a.cfg = cfg
	a.limit = min(a.limit, float64(cfg.Slots))
}

// Decision names the waiting requests that leave the queue.
type Decision struct {
	Start   []ID // They have a slot each; send them now.
	Expired []ID // Their deadline has passed before they were sent; answer them with CodeExpired.
}

// Verdict is the decision on a request that arrives.
type Verdict int

// The verdicts on a request that arrives.
const (
	Start     Verdict = iota // The request has a slot; send it now.
	Wait                     // It waits; a later Decision names it, unless it is cancelled.
	QueueFull                // It is refused: the queue, or the flow's share of it, is full.
	Expired                  // It is refused: its deadline has passed.
)

// Admit decides on a request that arrives at now: it runs at once, waits, or is refused. It runs at once
// only if no request waits and a slot is free. The caller must report the end of each request that runs.
func (a *Admitter) Admit(now time.Time, id ID, flow Flow, deadline time.Time) Verdict {
	switch {
	case !now.Before(deadline):
		return Expired
	case a.queued == 0 && a.hasFreeSlot():
		a.running[id] = true
		return Start
	case a.queued >= a.cfg.QueueLength || a.atQueueShare(flow):
		return QueueFull
	}
	if len(a.flows[flow]) == 0 {
		a.flowOrder = append(a.flowOrder, flow)
	}
	a.flows[flow] = append(a.flows[flow], waitingRequest{id, flow, now, deadline})
	a.queued++
	return Wait
}

// atQueueShare reports whether a flow has used up its share of the queue. One flow may fill half of it, so
// that the other half is left to other flows; each flow may have at least one waiting request.
func (a *Admitter) atQueueShare(flow Flow) bool {
	return len(a.flows[flow]) >= max(1, a.cfg.QueueLength/2)
}

// hasFreeSlot reports whether the limit allows one more request to run.
func (a *Admitter) hasFreeSlot() bool { return len(a.running) < int(a.limit) }

// Cancel removes a waiting request. It returns false if the request does not wait: it runs, has ended, or
// was named as expired.
func (a *Admitter) Cancel(id ID) bool {
	for flow, queue := range a.flows {
		n := slices.IndexFunc(queue, func(w waitingRequest) bool { return w.id == id })
		if n < 0 {
			continue
		}
		a.flows[flow] = slices.Delete(queue, n, n+1)
		a.queued--
		a.dropIfEmpty(flow)
		return true
	}
	return false
}

// dropIfEmpty removes a flow that has no waiting requests.
func (a *Admitter) dropIfEmpty(flow Flow) {
	if len(a.flows[flow]) > 0 {
		return
	}
	delete(a.flows, flow)
	a.flowOrder = slices.DeleteFunc(a.flowOrder, func(f Flow) bool { return f == flow })
}

// RecordResult ends a request that ran, adapts the limit to its result, and returns the waiting requests that
// leave the queue then. It does not check that the request ran.
func (a *Admitter) RecordResult(now time.Time, id ID, r Result) Decision {
	delete(a.running, id)
	switch r {
	case Completed:
		a.raiseLimit()
	case Shed, DeadlinePassed:
		a.cutLimit(now)
	case ConnectionFailed:
		a.restartRamp()
	}
	return a.StartQueued(now)
}

// StartQueued removes the waiting requests whose deadline has passed, gives the free slots to waiting requests,
// and returns both.
func (a *Admitter) StartQueued(now time.Time) Decision {
	var d Decision
	a.removeExpired(now, &d)
	for a.queued > 0 && a.hasFreeSlot() {
		w := a.dequeue(now)
		a.running[w.id] = true
		d.Start = append(d.Start, w.id)
	}
	return d
}

// removeExpired removes the waiting requests whose deadline has passed and adds them to d.Expired.
func (a *Admitter) removeExpired(now time.Time, d *Decision) {
	for _, flow := range slices.Clone(a.flowOrder) {
		a.flows[flow] = slices.DeleteFunc(a.flows[flow], func(w waitingRequest) bool {
			if now.Before(w.deadline) {
				return false
			}
			d.Expired = append(d.Expired, w.id)
			a.queued--
			return true
		})
		a.dropIfEmpty(flow)
	}
}

// dequeue removes and returns a waiting request of the flow whose turn it is, and moves the flow to the
// end of the order. It is the flow's oldest request, or the newest if the oldest has waited for longWait.
func (a *Admitter) dequeue(now time.Time) waitingRequest {
	flow := a.flowOrder[0]
	queue := a.flows[flow]
	n := 0
	if now.Sub(queue[0].since) >= longWait {
		n = len(queue) - 1
	}
	w := queue[n]
	a.flows[flow] = slices.Delete(queue, n, n+1)
	a.queued--
	a.flowOrder = append(a.flowOrder[1:], flow)
	a.dropIfEmpty(flow)
	return w
}

// raiseLimit raises the limit after a completed request. While the server is cold the limit rises by one
// slot after a number of completed requests; otherwise by a fraction, which adds up to about one slot
// after as many completions as the limit.
func (a *Admitter) raiseLimit() {
	slots := float64(a.cfg.Slots)
	if !a.cold {
		a.limit = min(slots, a.limit+1/a.limit)
		return
	}
	if a.reportsCold {
		return // The server cannot run more requests at a time yet, however many it has completed.
	}
	a.completions++
	if a.completions < rampCompletions*int(a.limit) {
		return
	}
	a.completions = 0
	a.limit++
	if a.limit >= slots {
		a.limit = slots
		a.cold = false
	}
}

// cutLimit cuts the limit, at most once per longWait, so that the requests of one overload that end
// together count once.
func (a *Admitter) cutLimit(now time.Time) {
	if now.Sub(a.lastCutAt) < longWait {
		return
	}
	a.lastCutAt = now
	a.limit = max(1, a.limit*limitCutFactor)
	a.completions = 0
}

// restartRamp treats the server as cold and sets the limit to that of a cold server.
func (a *Admitter) restartRamp() {
	a.cold = true
	a.completions = 0
	a.limit = float64(min(a.cfg.ColdSlots, a.cfg.Slots))
}

// SetIncarnation sets which process of the server answers. A new process is cold, so the limit starts again
// from that of a cold server.
func (a *Admitter) SetIncarnation(inc identifier.Incarnation) {
	if inc != a.incarnation {
		a.incarnation = inc
		a.restartRamp()
	}
}

// SetReportsCold sets whether the server reports that it is cold. The limit does not rise while it does. A
// server that becomes cold again starts again from the limit of a cold server.
func (a *Admitter) SetReportsCold(cold bool) {
	a.reportsCold = cold
	if cold && !a.cold {
		a.restartRamp()
	}
}

// State is the state of an Admitter for the dump of an instance.
type State struct {
	Limit   float64
	Cold    bool
	Running int
	Queued  int
}

// State returns the present state.
func (a *Admitter) State() State { return State{a.limit, a.cold, len(a.running), a.queued} }
