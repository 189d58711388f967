package scheduler

import (
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

// Send identifies a request that was assigned to a server; 0 stands for none.
type Send uint64

// sentRequest is a retryable request of this instance at a server that has no outcome yet. Other requests are not kept: a
// load report may be late, and ending a request at work would leave its caller without an answer.
type sentRequest struct {
	send Send
	at   time.Time
}

const (
	// arrivalTime is the time after which a request that was assigned to a server has arrived there: a new connection, and
	// a lost packet.
	arrivalTime = 500 * time.Millisecond
	// silentLatencyFactor is the multiple of a server's average latency that a request must have waited to count as silent,
	// and silentLongestFactor that of the longest latency of its answers within longestRetention.
	silentLatencyFactor = 2
	silentLongestFactor = 1.25
	longestRetention    = time.Minute
	// probeLatencyFactor is the multiple of the average latency after which a server is probed that has answered nothing
	// since.
	probeLatencyFactor = 4
	// probeInterval is the shortest time between two probes of a server by this instance.
	probeInterval = time.Second
	// silentServiceTime is how long the servers of a service are probed after one of them was silent.
	silentServiceTime = time.Minute
)

// recordSilence finds requests that a server will not answer, from a report of all requests that run or wait there at
// present: servers of some services never answer a request that arrives when they are full. If this instance alone has more
// requests there than the report counts, the server does not know some of them. Those that have waited longest are taken
// for these, since the server answers the others.
func (s *Scheduler) recordSilence(now time.Time, sv *server, reported int) {
	arrived := 0
	for _, r := range sv.sent {
		if now.Sub(r.at) >= arrivalTime {
			arrived++
		}
	}
	patience := max(time.Duration(silentLatencyFactor*sv.latency*float64(time.Millisecond)), time.Duration(silentLongestFactor*float64(sv.longest)), arrivalTime)
	for unknown := arrived - reported; unknown > 0 && now.Sub(sv.sent[0].at) >= patience; unknown-- {
		s.silent = append(s.silent, sv.sent[0].send)
		s.silentAt[sv.entry.Service] = now
		sv.sent = sv.sent[1:]
	}
}

// recordLatency records the latency of an answer. A request that has not been there for longer than others were may be at
// work, whatever a load report says that may be late.
func (sv *server) recordLatency(now time.Time, latency time.Duration) {
	if latency >= sv.longest || now.Sub(sv.longestAt) >= longestRetention {
		sv.longest, sv.longestAt = latency, now
	}
}

// TakeSilent returns the requests that were found to be silent since the last call. Their outcomes must be reported still.
func (s *Scheduler) TakeSilent() []Send {
	silent := s.silent
	s.silent = nil
	return silent
}

// recordEnd removes a request that has an outcome from those without one.
func (sv *server) recordEnd(send Send) {
	if n := slices.IndexFunc(sv.sent, func(r sentRequest) bool { return r.send == send }); n >= 0 {
		sv.sent = slices.Delete(sv.sent, n, n+1)
	}
}

// ProbesDue returns the servers whose health path should be called now, because a request has been there for long and the
// server has answered nothing since. Only servers of services of which one was silent lately are probed. The servers count
// as probed.
func (s *Scheduler) ProbesDue(now time.Time) []registrar.Entry {
	var due []registrar.Entry
	for service, at := range s.silentAt {
		if now.Sub(at) >= silentServiceTime {
			delete(s.silentAt, service)
			continue
		}
		for _, sv := range s.pools[service] {
			if len(sv.sent) == 0 || now.Sub(sv.probedAt) < probeInterval || now.Before(sv.pausedUntil) {
				continue
			}
			wait := max(time.Duration(probeLatencyFactor*sv.latency*float64(time.Millisecond)), arrivalTime)
			if sentAt := sv.sent[0].at; now.Sub(sentAt) >= wait && now.Sub(sv.reportedAt) >= arrivalTime {
				sv.probedAt = now
				due = append(due, sv.entry)
			}
		}
	}
	return due
}

// RecordProbe records the load that a server reported in answer to a probe.
func (s *Scheduler) RecordProbe(now time.Time, id identifier.BackendServer, incarnation registrar.Incarnation, r Report) {
	if sv, ok := s.servers[id]; ok && sv.entry.Incarnation == incarnation && r.HasLoad {
		s.recordSilence(now, sv, r.Running+r.Waiting)
	}
}
