// Package assigner decides which backend server owns which partition of a service, and moves
// partitions so that two servers never own the same partition at the same time.
//
// A move takes two conditional writes of the service's assignment: the first one prepares the move,
// the second one commits it. A granter that knows of the prepared move no longer grants the
// partition. Between the two writes the assigner raises the version floor on the roster of the old
// owner's zone, so that no process can join the roster with an older assignment. It then waits until
// every process on the roster has confirmed that it no longer grants the partition, and until every
// grant that these processes have issued has lapsed or has been revoked. The commit makes the next
// owner the owner, under a higher epoch.
//
// An Assigner is a state machine: it does no I/O, starts no goroutine and reads no clock. Start with
// Assigner.Step in assigner.go. event.go lists the events and actions, election.go decides which
// instance is the assigner, move.go completes prepared moves, rosters.go changes the rosters, and
// plan.go, planner.go and pins.go choose the moves.
package assigner

import (
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
)

// Config holds the identity and the timing parameters of an Assigner.
type Config struct {
	// Service is the service whose partitions the Assigner assigns.
	Service identifier.ServiceName
	// Self is the instance that the Assigner runs on.
	Self identifier.Instance
	// Grace is how long a grant can stay in force after its granter has stopped: the sum of the
	// granters' Lease, Margin and ClockSkew.
	Grace time.Duration
	// ListLag is the longest time by which the platform's list may be out of date.
	ListLag time.Duration
	// DownAfter is how long a backend server may leave orders unanswered before the assigner
	// treats it as failed and moves its partitions away.
	DownAfter time.Duration
	// StabilizationTime is how long a new assigner only collects reports before it plans its first moves.
	StabilizationTime time.Duration
}

// Default values of the times in Config.
const (
	DefaultListLag           = 10 * time.Second
	DefaultDownAfter         = time.Second
	DefaultStabilizationTime = 1500 * time.Millisecond
)

const (
	// reportMaxAge is the age from which a report on a backend server is ignored.
	reportMaxAge = 2 * time.Second
	// abortAfter is how long a prepared move waits for confirmations before it is aborted, if
	// the present owner answers its coordinator.
	abortAfter = 2 * time.Second
	// fenceAfter is how long a prepared move waits before the granters that do not answer probes
	// are fenced. It applies only if the service's IsolationHold is finite.
	fenceAfter = 2 * time.Second
	// abandonAfter is how long a backend server may be without a report, while no granter of its
	// zone answers, before the assigner treats it as failed. It applies only if the service's
	// IsolationHold is finite.
	abandonAfter = 3 * time.Second
	// writeTimeout is how long a write may take before another one is attempted.
	writeTimeout = 3 * time.Second
	// writeRetryDelay is the time after which a write that did not take effect is attempted again.
	writeRetryDelay = 100 * time.Millisecond
	// plannedMoveDivisor bounds the moves that may be prepared at the same time although their
	// owners still serve: the number of the service's partitions divided by it, but at least 8.
	plannedMoveDivisor = 4
	// balanceInterval is the time between two plans that even out load.
	balanceInterval = 2 * time.Second
)

// rosterView is the newest roster of a zone that this instance has read, with its version.
type rosterView struct {
	version identifier.Version
	roster  granter.Roster
}

// serverState holds what the platform's list and the last coordinator's report say of a backend
// server.
type serverState struct {
	info     ServerInfo
	listed   bool // Whether the platform's last list names the server.
	report   granter.ServerReport
	reportAt time.Time // When the report arrived; zero if there was none.
}

// preparedMove is a prepared move of a partition, as this instance sees it.
type preparedMove struct {
	// grant is the grant of the present owner, which must end before the move is committed.
	grant granter.Grant
	// version is the version at which this instance first saw the prepared move. The write that
	// prepared it had this version or a lower one.
	version identifier.Version
	// seenAt is when this instance first saw the prepared move.
	seenAt time.Time
}

// Assigner is the state machine that assigns the partitions of one service. Every instance runs one,
// but only that of the instance that is the service's assigner makes changes. It is not safe for
// concurrent use.
type Assigner struct {
	cfg      Config
	election election
	settings Settings

	version       identifier.Version
	assignment    *partitioner.Assignment
	prepared      map[identifier.Partition]preparedMove
	rosters       map[identifier.Zone]rosterView
	servers       map[identifier.BackendServer]*serverState
	live          map[identifier.Instance]identifier.Zone
	absentSince   map[identifier.Instance]time.Time // Since when the platform's list lacks a roster's instance.
	listReadAt    time.Time
	fencedAt      map[granter.Holder]time.Time // When this instance first saw that a process is fenced.
	confirmations confirmations
	loads         loads

	assignerSince  time.Time                     // Since when this instance is the assigner; zero if it is not.
	writeStartedAt time.Time                     // Start of the assignment's write in progress; zero if there is none.
	rosterWriteAt  map[identifier.Zone]time.Time // Start of the write in progress of each zone's roster.
	balancedAt     time.Time
	pinsUpdatedAt  time.Time
}

// New returns an Assigner that knows no state yet. It makes no changes before its instance has become
// the service's assigner.
func New(cfg Config) *Assigner {
	return &Assigner{
		cfg:           cfg,
		election:      election{service: cfg.Service, self: cfg.Self},
		prepared:      map[identifier.Partition]preparedMove{},
		rosters:       map[identifier.Zone]rosterView{},
		servers:       map[identifier.BackendServer]*serverState{},
		absentSince:   map[identifier.Instance]time.Time{},
		fencedAt:      map[granter.Holder]time.Time{},
		confirmations: confirmations{},
		rosterWriteAt: map[identifier.Zone]time.Time{},
		loads:         newLoads(),
	}
}

// Leads reports whether this instance is the service's assigner.
func (a *Assigner) Leads() bool { return a.election.leads() }

// Leader returns the instance that is the service's assigner, or "" if there is none.
func (a *Assigner) Leader() identifier.Instance { return a.election.record.Leader }

// Step applies an event to the state machine and returns the actions that the caller must carry out.
// now is the present time of the caller's clock.
func (a *Assigner) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return a.tick(now)
	case AssignmentSeen:
		a.updateAssignment(now, e)
		return a.advance(now, false)
	case RecordSeen:
		a.election.update(now, e.Version, e.Record)
	case RosterSeen:
		a.updateRoster(now, e)
		return a.advance(now, false)
	case PlatformListSeen:
		a.updateList(now, e)
	case LiveInstancesSeen:
		a.live = e.Instances
	case SettingsSeen:
		a.settings = e.Settings
	case ConfirmationReceived:
		a.confirmations.record(now, e.Confirmation)
		return a.advance(now, false)
	case ReportReceived:
		a.recordReport(now, e.Report)
	case WriteEnded:
		a.handleWrite(now, e)
		return a.advance(now, false)
	case Stop:
		a.election.stopping = true
	}
	return nil
}

// handleWrite records the end of a write. A write that did not take effect is attempted again only
// after writeRetryDelay, so that the assigner does not write in a tight loop while the platform is down.
func (a *Assigner) handleWrite(now time.Time, e WriteEnded) {
	switch e.Kind {
	case WriteAssignment:
		a.writeStartedAt = effectiveStart(now, e.Applied)
	case WriteRoster:
		a.rosterWriteAt[e.Zone] = effectiveStart(now, e.Applied)
	case WriteRecord:
	}
}

// effectiveStart returns the start time to record for a write that has ended: zero if the write took
// effect, otherwise a time from which writeTimeout passes writeRetryDelay after now.
func effectiveStart(now time.Time, succeeded bool) time.Time {
	if succeeded {
		return time.Time{}
	}
	return now.Add(writeRetryDelay - writeTimeout)
}

func (a *Assigner) tick(now time.Time) []Action {
	var actions []Action
	if r, due := a.election.step(now, a.live); due {
		actions = append(actions, PutRecord{a.election.version, r})
	}
	return append(actions, a.advance(now, true)...)
}

// advance returns the writes that can be made now: changes of rosters and the next assignment. It
// plans new moves only if planning is true. It returns nothing if this instance is not the assigner,
// is shutting down, or has no settings yet.
func (a *Assigner) advance(now time.Time, planning bool) []Action {
	if !a.Leads() || a.election.stopping || a.settings.Partitions == 0 {
		a.assignerSince = time.Time{}
		return nil
	}
	if a.assignerSince.IsZero() {
		a.assignerSince = now
	}
	actions := a.updateRosters(now)
	if now.Sub(a.writeStartedAt) < writeTimeout {
		return actions
	}
	if !planning && len(a.prepared) == 0 {
		return actions
	}
	next, changed := a.nextAssignment(now, planning)
	if !changed {
		return actions
	}
	a.writeStartedAt = now
	return append(actions, PutAssignment{a.version, next})
}

// nextAssignment returns the assignment to write and whether it differs from the present one.
func (a *Assigner) nextAssignment(now time.Time, planning bool) (*partitioner.Assignment, bool) {
	if a.assignment == nil {
		return a.createAssignment(now)
	}
	next := a.assignment.Clone()
	servers := a.candidates(now)
	changed := a.commitMoves(now, next, servers)
	if !planning {
		return next, changed
	}
	changed = a.reviseMoves(now, next, servers) || changed
	if now.Sub(a.assignerSince) >= a.cfg.StabilizationTime {
		changed = a.planMoves(now, next, servers) || changed
	}
	return next, changed
}

// createAssignment returns the first assignment of a service. It reports false while too little is
// known of the backend servers, or none of them may receive partitions.
func (a *Assigner) createAssignment(now time.Time) (*partitioner.Assignment, bool) {
	servers := a.candidates(now)
	if !a.readyToCreate(now) || !slices.ContainsFunc(servers, func(c Candidate) bool { return c.Receive }) {
		return nil, false
	}
	next, err := partitioner.New(a.settings.Partitions)
	if err != nil {
		return nil, false // Does not occur: the settings are validated before they are written.
	}
	for _, m := range PlanMoves(next, a.loads.weights(next.Len()), servers, 0).Evacuations {
		_ = next.SetFirstOwner(m.Partition, m.To)
	}
	return next, true
}

// readyToCreate reports whether enough is known to place the partitions for the first time: the
// stabilization time has passed since this instance became the assigner, and there is a recent report
// on each listed server that is not leaving. After three times the stabilization time it no longer
// requires the reports.
func (a *Assigner) readyToCreate(now time.Time) bool {
	elapsed := now.Sub(a.assignerSince)
	for _, s := range a.servers {
		if s.listed && !s.info.Leaving && !a.hasRecentReport(now, s) && elapsed < 3*a.cfg.StabilizationTime {
			return false
		}
	}
	return elapsed >= a.cfg.StabilizationTime
}
