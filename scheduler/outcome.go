package scheduler

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

// Outcome says how a request ended that was assigned to a server.
type Outcome int

// The outcomes of requests.
const (
	Answered     Outcome = iota
	Shed                 // The server refused the request without running it.
	Unreachable          // The request could not be sent.
	NoConnection         // The request was not sent, since this instance has as many connections to the server as it may.
	Broken               // The request was sent, and the connection broke before the answer.
	Cancelled            // The caller left or the deadline passed, or the outcome says nothing about the server.
)

// Report describes the end of a request and the load that the server reported with its answer.
type Report struct {
	Outcome  Outcome
	Send     Send // From the decision.
	Latency  time.Duration
	Expected time.Duration // From the decision's Inputs.
	HasLoad  bool          // Whether the answer has a load report: Running, Waiting and Slowness.
	Running  int           // Requests of all instances that run at the server.
	Waiting  int           // Requests of all instances that wait at the server.
	Slowness float64       // Factor by which the server's machine is slower than usual; 0 if it was not reported.
	Notice   registrar.Notice
}

const (
	// shedPause is how long no further request is sent to a server that refused one.
	shedPause = 30 * time.Millisecond
	// unreachablePause is how long no further request is sent to a server that could not be reached: short enough that
	// it is tried a few more times before the deadlines of its requests.
	unreachablePause = 150 * time.Millisecond
)

// RecordOutcome records the outcome of a request that was assigned to a server, and delivers the decisions that this
// allows. Reports about unknown servers and about other incarnations of a server are ignored.
func (s *Scheduler) RecordOutcome(now time.Time, id identifier.BackendServer, incarnation registrar.Incarnation, r Report) {
	sv, ok := s.servers[id]
	if !ok || sv.entry.Incarnation != incarnation {
		return
	}
	sv.running--
	sv.recordEnd(r.Send)
	if s.options.CostAware {
		s.learn(now, sv, r)
	}
	sv.doubt.recordReach(now, r.Outcome)
	switch r.Outcome {
	case Answered:
		sv.recordLatency(now, r.Latency)
		ms := float64(r.Latency.Microseconds()) / 1000
		sv.latency += smoothing * (ms - sv.latency)
		// This assumes that the server's queue had the reported length for the whole time of the request.
		sv.serviceTime += smoothing * (ms*min(1, float64(sv.entry.Slots)/float64(r.Running+r.Waiting+1)) - sv.serviceTime)
		usual := s.usualLatency(sv.entry.Service)
		s.latency[sv.entry.Service] = usual + smoothing/4*(ms-usual)
	case Shed:
		sv.pause(now.Add(shedPause))
	case Unreachable, NoConnection:
		sv.pause(now.Add(unreachablePause))
	case Broken, Cancelled:
	}
	if !sv.pausedUntil.Before(now) {
		delete(s.poolCapacity, sv.entry.Service)
	}
	if r.Outcome == Shed && r.Notice.RetryAfter > 0 {
		sv.pause(now.Add(r.Notice.RetryAfter + s.returnDelay(now, sv)))
	}
	if r.HasLoad {
		s.recordSilence(now, sv, r.Running+r.Waiting)
		// One is subtracted because the report may still count the request that was answered.
		others := max(float64(r.Running+r.Waiting-sv.running-1), 0)
		if now.Sub(sv.reportedAt) > loadReportDecay {
			sv.reportedLoad = others
		} else {
			sv.reportedLoad += 2 * smoothing * (others - sv.reportedLoad)
		}
		sv.reportedAt = now
		if r.Slowness > 0 {
			sv.slowness, sv.slownessAt = r.Slowness, now
		}
	}
	s.decideFor(now, sv)
}
