package assigner

import (
	"time"

	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
)

// Event is an input of an Assigner; see Assigner.Step.
type Event interface{ assignerEvent() }

// Tick reports that time has passed. Only a Tick triggers the election and the planning of new moves.
type Tick struct{}

// AssignmentSeen carries the service's assignment. An Assigner ignores versions that are not above
// the one it has, so events may arrive in any order of versions.
type AssignmentSeen struct {
	Version    identifier.Version
	Assignment *partitioner.Assignment
}

// RecordSeen carries the service's assigner record. Events may arrive in any order of versions; an
// outdated one is ignored.
type RecordSeen struct {
	Version identifier.Version
	Record  Record
}

// RosterSeen carries a zone's roster. Events may arrive in any order of versions; an outdated one is
// ignored.
type RosterSeen struct {
	Zone    identifier.Zone
	Version identifier.Version
	Roster  granter.Roster
}

// ServerInfo is a backend server of the service, as the platform lists it.
type ServerInfo struct {
	partitioner.Server
	// Leaving is true if the server has announced that it will shut down; its partitions are moved
	// away.
	Leaving bool
}

// PlatformListSeen carries the platform's list.
type PlatformListSeen struct {
	At        time.Time             // When the list was read.
	Servers   []ServerInfo          // The backend servers of the service.
	Instances []identifier.Instance // All instances, of any zone.
}

// LiveInstancesSeen carries the instances that answer the prober, with their zones.
type LiveInstancesSeen struct {
	Instances map[identifier.Instance]identifier.Zone
}

// SettingsSeen carries the present settings of the service.
type SettingsSeen struct{ Settings Settings }

// Settings are the settings of a service that an Assigner follows.
type Settings struct {
	// Partitions is the number of partitions that keys are hashed onto. While it is 0, the Assigner
	// changes nothing.
	Partitions int
	// IsolationHold is how long an instance that is cut off from the platform may go on granting; 0
	// means without limit.
	IsolationHold time.Duration
	// Zones holds the states that operators have set for zones.
	Zones map[identifier.Zone]configurer.ZoneState
	// Drained holds the backend servers that operators drain: their partitions are moved away.
	Drained map[identifier.BackendServer]bool
	// BalanceMovesPerMinute bounds the moves that only even out load.
	BalanceMovesPerMinute int
	// PinnedKeys are the keys to which operators have given a partition of their own.
	PinnedKeys []identifier.Key
	// Placements names, for some pinned keys, the backend server that must own the key's partition.
	Placements map[identifier.Key]identifier.BackendServer
	// AutoPins is the number of pinned keys, those of operators included, up to which the Assigner
	// pins hot keys on its own.
	AutoPins int
}

// ConfirmationReceived carries a granter's confirmation that it no longer grants moving partitions.
type ConfirmationReceived struct{ Confirmation granter.Confirmation }

// ReportReceived carries a coordinator's report on backend servers and load.
type ReportReceived struct{ Report granter.Report }

// WriteEnded reports that a write has ended. The caller must first pass on, by an event of its own, the
// object that the write stored or the one that it conflicted with.
type WriteEnded struct {
	Kind WriteKind
	// Zone is the zone of the roster; it is set only if Kind is WriteRoster.
	Zone identifier.Zone
	// Applied is true if the write is known to have taken effect.
	Applied bool
}

// Stop starts the graceful shutdown: the Assigner resigns and makes no more changes.
type Stop struct{}

func (Tick) assignerEvent()                 {}
func (AssignmentSeen) assignerEvent()       {}
func (RecordSeen) assignerEvent()           {}
func (RosterSeen) assignerEvent()           {}
func (PlatformListSeen) assignerEvent()     {}
func (LiveInstancesSeen) assignerEvent()    {}
func (SettingsSeen) assignerEvent()         {}
func (ConfirmationReceived) assignerEvent() {}
func (ReportReceived) assignerEvent()       {}
func (WriteEnded) assignerEvent()           {}
func (Stop) assignerEvent()                 {}

// WriteKind is the kind of object that a write of an Assigner concerns.
type WriteKind int

// The kinds of objects that an Assigner writes: the assignment, a zone's roster, and the assigner
// record.
const (
	WriteAssignment WriteKind = iota
	WriteRoster
	WriteRecord
)

// Action is an output of an Assigner that its caller must carry out; see Assigner.Step.
type Action interface{ assignerAction() }

// PutAssignment requests a write of the assignment on condition that its version is Expected; 0
// means that there is none yet.
type PutAssignment struct {
	Expected   identifier.Version
	Assignment *partitioner.Assignment
}

// PutRoster requests a write of a zone's roster on condition that its version is Expected; 0 means
// that there is none yet.
type PutRoster struct {
	Zone     identifier.Zone
	Expected identifier.Version
	Roster   granter.Roster
}

// PutRecord requests a write of the assigner record on condition that its version is Expected; 0
// means that there is none yet.
type PutRecord struct {
	Expected identifier.Version
	Record   Record
}

func (PutAssignment) assignerAction() {}
func (PutRoster) assignerAction()     {}
func (PutRecord) assignerAction()     {}
