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

	"github.com/turmericlift/turmericlift/configurer"
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

func (a *Assigner) seeAssignment(now time.Time, e AssignmentSeen) {
	if e.Version <= a.version {
		return
	}
	a.version, a.assignment = e.Version, e.Assignment
	present := map[identifier.Partition]mark{}
	for _, p := range e.Assignment.Moving() {
		_, epoch, _ := e.Assignment.Owner(p)
		g := granter.Grant{Partition: p, Epoch: epoch}
		m, known := a.marks[p]
		if !known || m.grant != g {
			m = mark{g, e.Version, now}
		}
		present[p] = m
	}
	a.marks = present
}

func (a *Assigner) seeRoster(now time.Time, e RosterSeen) {
	if e.Version <= a.rosters[e.Zone].version {
		return
	}
	a.rosters[e.Zone] = rosterView{e.Version, e.Roster}
	for _, m := range e.Roster.Members {
		h := granter.Holder{Instance: m.Instance, Incarnation: m.Incarnation}
		if _, known := a.fencedAt[h]; m.Fenced && !known {
			a.fencedAt[h] = now
		}
	}
	a.promises.prune(a.enrolled)
}

// holdOf returns how long a fenced process of a zone may still grant.
func (a *Assigner) holdOf(z identifier.Zone) time.Duration {
	if a.settings.Zones[z] == configurer.ZoneLost {
		return 0
	}
	return a.settings.IsolationHold
}

func (a *Assigner) enrolled(h granter.Holder) bool {
	for _, view := range a.rosters {
		if _, ok := view.roster.Find(h.Instance, h.Incarnation); ok {
			return true
		}
	}
	return false
}

func (a *Assigner) seeList(now time.Time, e ListSeen) {
	for _, s := range a.servers {
		s.listed = false
	}
	for _, info := range e.Servers {
		s, ok := a.servers[info.ID]
		if !ok {
			s = &serverState{}
			a.servers[info.ID] = s
		}
		s.info, s.listed = info, true
	}
	if e.At.After(a.listAt) {
		a.listAt = e.At
		a.seeAbsent(now, e.Instances)
	}
}

// seeAbsent takes note of granters that a newly read list lacks.
func (a *Assigner) seeAbsent(now time.Time, listed []identifier.Instance) {
	for _, view := range a.rosters {
		for _, m := range view.roster.Members {
			if _, known := a.absent[m.Instance]; !known {
				a.absent[m.Instance] = now
			}
		}
	}
	for _, i := range listed {
		delete(a.absent, i)
	}
}

func (a *Assigner) seeReport(now time.Time, r granter.Report) {
	for _, sr := range r.Servers {
		if s, ok := a.servers[sr.Server]; ok {
			s.report, s.reportAt = sr, now
		}
	}
	a.loads.take(r.Loads)
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
	actions := a.tendRosters(now)
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
	changed := a.finish(now, next)
	if !planning {
		return next, changed
	}
	changed = a.revise(now, next) || changed
	if now.Sub(a.ledSince) >= a.cfg.Settle {
		changed = a.plan(now, next) || changed
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

// finish commits the marked partitions whose old grants are all over, to servers
// that can take them now.
func (a *Assigner) finish(now time.Time, next *partitioner.Assignment) bool {
	changed := false
	servers := a.candidates(now)
	for _, p := range next.Moving() {
		if !a.over(now, a.marks[p]) {
			continue
		}
		if to, _ := next.Next(p); a.receives(servers, to) {
			changed = next.Commit(p) == nil || changed
			continue
		}
		if redirect(next, p, servers) {
			_ = next.Commit(p) // It fails if the mark was taken back.
			changed = true
		}
	}
	return changed
}

// over reports whether no grant of a marked partition is or can come in force.
func (a *Assigner) over(now time.Time, m mark) bool {
	owner, _, ok := a.assignment.Owner(m.grant.Partition)
	if !ok {
		return false
	}
	zone := a.zoneOf(owner)
	return a.promised(now, m) && a.promises.over(now, m.grant, a.rosters[zone].roster.Members)
}

// promised reports whether every process that could grant a marked partition has
// promised not to, and none can join that has not.
func (a *Assigner) promised(now time.Time, m mark) bool {
	owner, _, _ := a.assignment.Owner(m.grant.Partition)
	zone := a.zoneOf(owner)
	view, ok := a.rosters[zone]
	if !ok || view.roster.Floors[a.cfg.Service] < m.version {
		return false
	}
	return a.promises.given(m.version, view.roster.Members, func(member granter.Member) bool {
		return a.excused(now, zone, member)
	})
}

// excused reports whether a member of a zone's roster has been fenced for so long
// that nothing of it is in force.
func (a *Assigner) excused(now time.Time, z identifier.Zone, m granter.Member) bool {
	at, known := a.fencedAt[granter.Holder{Instance: m.Instance, Incarnation: m.Incarnation}]
	return m.Fenced && known && now.Sub(at) >= a.holdOf(z)+a.cfg.Grace
}

func (a *Assigner) zoneOf(b identifier.BackendServer) identifier.Zone {
	for _, s := range a.assignment.Servers() {
		if s.ID == b {
			return s.Zone
		}
	}
	return ""
}

// revise redirects marks whose next owner may keep nothing any more, and takes back
// those that wait for long though their owner answers.
func (a *Assigner) revise(now time.Time, next *partitioner.Assignment) bool {
	changed := false
	servers := a.candidates(now)
	for _, p := range next.Moving() {
		m := a.marks[p]
		owner, _, _ := next.Owner(p)
		to, _ := next.Next(p)
		if now.Sub(m.seenAt) >= abortAfter && a.answers(now, owner) && !a.promised(now, m) {
			changed = next.Abort(p) == nil || changed
			continue
		}
		if a.evacuates(servers, to) {
			changed = redirect(next, p, servers) || changed
		}
	}
	return changed
}

// redirect names another next owner for a marked partition. Without one the mark is
// taken back, if the present owner may keep the partition.
func redirect(next *partitioner.Assignment, p identifier.Partition, servers []Candidate) bool {
	owner, _, _ := next.Owner(p)
	stays := false
	for _, c := range servers {
		if c.ID == owner {
			stays = !c.Evacuate
			continue
		}
		if c.Receive && !c.Evacuate {
			return next.Redirect(p, c.Server) == nil
		}
	}
	return stays && next.Abort(p) == nil
}

// answers reports whether a listed backend server is known to answer.
func (a *Assigner) answers(now time.Time, b identifier.BackendServer) bool {
	s, known := a.servers[b]
	return known && s.listed && a.reported(now, s) && s.report.Silent < a.cfg.DownAfter
}

func (a *Assigner) reported(now time.Time, s *serverState) bool {
	return !s.reportAt.IsZero() && now.Sub(s.reportAt) < reportFresh
}

func (a *Assigner) receives(servers []Candidate, b identifier.BackendServer) bool {
	return slices.ContainsFunc(servers, func(c Candidate) bool { return c.ID == b && c.Receive })
}

func (a *Assigner) evacuates(servers []Candidate, b identifier.BackendServer) bool {
	return slices.ContainsFunc(servers, func(c Candidate) bool { return c.ID == b && c.Evacuate })
}
