// Package assigner decides which backend server owns which partition of a service,
// and moves partitions so that two servers never own one at the same time.
//
// A move takes two conditional writes of the assignment. The first marks the
// partition: granters that know the mark grant it no more. Between the two the
// assigner raises the floor of the roster of the old owner's zone, so that no
// process can join with an older assignment, and waits for the promise of every
// process on it and for the end of every grant that they gave. The second write
// makes the next owner the owner, under a higher epoch. An Assigner is a state
// machine: it does no I/O, starts no goroutine and reads no clock.
package assigner

import (
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
)

// Config holds an Assigner's identity and its times.
type Config struct {
	Service identifier.ServiceName
	Self    identifier.Instance
	// Grace is Lease and Margin of the granters: how long a grant can be in force
	// after its granter has stopped.
	Grace time.Duration
	// ListLag bounds how long the platform's list lags.
	ListLag time.Duration
	// DownAfter is how long a backend server is silent before it is given up.
	DownAfter time.Duration
	// Settle is how long a new assigner listens before it decides anything.
	Settle time.Duration
}

// The default times of an Assigner.
const (
	DefaultListLag   = 10 * time.Second
	DefaultDownAfter = time.Second
	DefaultSettle    = 1500 * time.Millisecond
)

const (
	// reportFresh is how old a report may be and still count.
	reportFresh = 2 * time.Second
	// abortAfter is how long a mark waits for promises before it is taken back, if
	// its owner is well.
	abortAfter = 2 * time.Second
	// fenceAfter is how long a mark waits for a silent granter before the granter is
	// fenced, if the service's IsolationHold is finite.
	fenceAfter = 2 * time.Second
	// abandonAfter is how long nobody reports on a server of a silent zone before it is
	// given up, if the service's IsolationHold is finite.
	abandonAfter = 3 * time.Second
	// writeTimeout is how long a write may take before another one is tried.
	writeTimeout = 3 * time.Second
	// writeRetry is the time until a write that did not take effect is tried again.
	writeRetry = 100 * time.Millisecond
	// plannedBatch is the share of a service's partitions that may be marked at once
	// for other reasons than a loss, as a divisor.
	plannedBatch = 4
	// balanceEvery is the time between two plans that even out load.
	balanceEvery = 2 * time.Second
)

type rosterView struct {
	version identifier.Version
	roster  granter.Roster
}

type serverState struct {
	info     ServerInfo
	listed   bool
	report   granter.ServerReport
	reportAt time.Time
}

// mark is what this assigner knows of a marked partition.
type mark struct {
	grant   granter.Grant
	version identifier.Version // At or above the version that marked it.
	seenAt  time.Time
}

// Assigner is the state machine of one instance for one service.
type Assigner struct {
	cfg      Config
	election election
	settings Settings

	version    identifier.Version
	assignment *partitioner.Assignment
	marks      map[identifier.Partition]mark
	rosters    map[identifier.Zone]rosterView
	servers    map[identifier.BackendServer]*serverState
	live       map[identifier.Instance]identifier.Zone
	absent     map[identifier.Instance]time.Time // Since when the list lacks a granter.
	listAt     time.Time
	fencedAt   map[granter.Holder]time.Time // When a process was first seen to be fenced.
	promises   promises
	loads      loads

	ledSince   time.Time
	writingAt  time.Time // Zero: no write of the assignment is under way.
	rosterAt   map[identifier.Zone]time.Time
	balancedAt time.Time
	pinnedAt   time.Time
}

// New returns the Assigner of a service at an instance.
func New(cfg Config) *Assigner {
	return &Assigner{
		cfg:      cfg,
		election: election{service: cfg.Service, self: cfg.Self},
		marks:    map[identifier.Partition]mark{},
		rosters:  map[identifier.Zone]rosterView{},
		servers:  map[identifier.BackendServer]*serverState{},
		absent:   map[identifier.Instance]time.Time{},
		fencedAt: map[granter.Holder]time.Time{},
		promises: promises{},
		rosterAt: map[identifier.Zone]time.Time{},
		loads:    newLoads(),
	}
}

// Leads reports whether this instance is the service's assigner.
func (a *Assigner) Leads() bool { return a.election.leads() }

// Holder returns the instance that is the service's assigner, or "".
func (a *Assigner) Holder() identifier.Instance { return a.election.record.Holder }

// Step takes in an event and returns what is to be done.
func (a *Assigner) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return a.tick(now)
	case AssignmentSeen:
		a.seeAssignment(now, e)
		return a.work(now, false)
	case RecordSeen:
		a.election.see(now, e.Version, e.Record)
	case RosterSeen:
		a.seeRoster(now, e)
		return a.work(now, false)
	case ListSeen:
		a.seeList(now, e)
	case LiveSeen:
		a.live = e.Instances
	case SettingsSeen:
		a.settings = e.Settings
	case ConfirmReceived:
		a.promises.take(now, e.Confirm)
		return a.work(now, false)
	case ReportReceived:
		a.seeReport(now, e.Report)
	case Wrote:
		a.wrote(now, e)
		return a.work(now, false)
	case Stop:
		a.election.stopping = true
	}
	return nil
}

// wrote takes in the end of a write. One that did not take effect is not tried
// again at once, so that an assigner does not spin on a platform that is down.
func (a *Assigner) wrote(now time.Time, e Wrote) {
	switch e.Kind {
	case WriteAssignment:
		a.writingAt = pause(now, e.Took)
	case WriteRosterOf:
		a.rosterAt[e.Zone] = pause(now, e.Took)
	case WriteRecord:
	}
}

// pause returns when the write that has ended should count as begun.
func pause(now time.Time, took bool) time.Time {
	if took {
		return time.Time{}
	}
	return now.Add(writeRetry - writeTimeout)
}

func (a *Assigner) tick(now time.Time) []Action {
	var actions []Action
	if r, due := a.election.step(now, a.live); due {
		actions = append(actions, PutRecord{a.election.version, r})
	}
	return append(actions, a.work(now, true)...)
}

// work moves the service on as far as it can be now; planning says whether new
// moves are planned too.
func (a *Assigner) work(now time.Time, planning bool) []Action {
	if !a.Leads() || a.election.stopping || a.settings.Partitions == 0 {
		a.ledSince = time.Time{}
		return nil
	}
	if a.ledSince.IsZero() {
		a.ledSince = now
	}
	actions := a.updateRosters(now)
	if now.Sub(a.writingAt) < writeTimeout {
		return actions
	}
	if !planning && len(a.marks) == 0 {
		return actions
	}
	next, changed := a.decide(now, planning)
	if !changed {
		return actions
	}
	a.writingAt = now
	return append(actions, PutAssignment{a.version, next})
}

// decide returns the next assignment, if it differs from the present one.
func (a *Assigner) decide(now time.Time, planning bool) (*partitioner.Assignment, bool) {
	if a.assignment == nil {
		return a.create(now)
	}
	next := a.assignment.Clone()
	servers := a.candidates(now)
	changed := a.finish(now, next, servers)
	if !planning {
		return next, changed
	}
	changed = a.revise(now, next, servers) || changed
	if now.Sub(a.ledSince) >= a.cfg.Settle {
		changed = a.plan(now, next, servers) || changed
	}
	return next, changed
}

func (a *Assigner) create(now time.Time) (*partitioner.Assignment, bool) {
	servers := a.candidates(now)
	if !a.settled(now) || !slices.ContainsFunc(servers, func(c Candidate) bool { return c.Receive }) {
		return nil, false
	}
	next, err := partitioner.New(a.settings.Partitions)
	if err != nil {
		return nil, false // The settings are checked before they are written.
	}
	for _, m := range Decide(next, a.loads.weights(next.Len()), servers, 0).Evacuations {
		_ = next.Place(m.Partition, m.To)
	}
	return next, true
}

// settled reports whether enough is known to place partitions for the first time:
// all listed servers have been reported on, or there was time enough.
func (a *Assigner) settled(now time.Time) bool {
	led := now.Sub(a.ledSince)
	for _, s := range a.servers {
		if s.listed && !s.info.Leaving && !a.reported(now, s) && led < 3*a.cfg.Settle {
			return false
		}
	}
	return led >= a.cfg.Settle
}
