package assigner

import (
	"time"

	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
)

// Event is what can happen to an Assigner.
type Event interface{ assignerEvent() }

// Tick says that time has passed.
type Tick struct{}

// AssignmentSeen brings the service's assignment, in any order of versions.
type AssignmentSeen struct {
	Version    identifier.Version
	Assignment *partitioner.Assignment
}

// RecordSeen brings the service's assigner record, in any order of versions.
type RecordSeen struct {
	Version identifier.Version
	Record  Record
}

// RosterSeen brings a zone's roster, in any order of versions.
type RosterSeen struct {
	Zone    identifier.Zone
	Version identifier.Version
	Roster  granter.Roster
}

// ServerInfo is a backend server of the service as the platform lists it.
type ServerInfo struct {
	partitioner.Server
	Leaving bool
}

// ListSeen brings the platform's list: the service's backend servers and all entry
// instances.
type ListSeen struct {
	At        time.Time // When the list was read.
	Servers   []ServerInfo
	Instances []identifier.Instance
}

// LiveSeen brings the instances that answer the prober.
type LiveSeen struct {
	Instances map[identifier.Instance]identifier.Zone
}

// SettingsSeen brings what the service's settings say.
type SettingsSeen struct{ Settings Settings }

// Settings are the settings that an Assigner follows.
type Settings struct {
	Partitions    int
	IsolationHold time.Duration // 0: without limit.
	Zones         map[identifier.Zone]configurer.ZoneState
	Drained       map[identifier.BackendServer]bool
	// BalanceMovesPerMinute bounds the moves that only even out load.
	BalanceMovesPerMinute int
	PinnedKeys            []identifier.Key
	// Placements are pinned keys that operators want at a certain backend server.
	Placements map[identifier.Key]identifier.BackendServer
	// AutoPins bounds the pinned keys up to which hot keys are pinned by themselves.
	AutoPins int
}

// ConfirmReceived brings a granter's confirmation.
type ConfirmReceived struct{ Confirm granter.Confirm }

// ReportReceived brings a coordinator's report.
type ReportReceived struct{ Report granter.Report }

// Wrote says that a write has ended. What it wrote, or what stood in its way, has
// been brought before by an event of its own.
type Wrote struct {
	Kind WriteKind
	Zone identifier.Zone // Of a roster.
	// Took is true if the write is known to have taken effect.
	Took bool
}

// Stop starts the graceful shutdown: step down.
type Stop struct{}

func (Tick) assignerEvent()            {}
func (AssignmentSeen) assignerEvent()  {}
func (RecordSeen) assignerEvent()      {}
func (RosterSeen) assignerEvent()      {}
func (ListSeen) assignerEvent()        {}
func (LiveSeen) assignerEvent()        {}
func (SettingsSeen) assignerEvent()    {}
func (ConfirmReceived) assignerEvent() {}
func (ReportReceived) assignerEvent()  {}
func (Wrote) assignerEvent()           {}
func (Stop) assignerEvent()            {}

// WriteKind is the kind of object that an Assigner writes.
type WriteKind int

// The kinds of objects that an Assigner writes.
const (
	WriteAssignment WriteKind = iota
	WriteRosterOf
	WriteRecord
)

// Action is what an Assigner wants done.
type Action interface{ assignerAction() }

// PutAssignment asks for a conditional write of the assignment.
type PutAssignment struct {
	Expected   identifier.Version
	Assignment *partitioner.Assignment
}

// PutRoster asks for a conditional write of a zone's roster.
type PutRoster struct {
	Zone     identifier.Zone
	Expected identifier.Version
	Roster   granter.Roster
}

// PutRecord asks for a conditional write of the assigner record.
type PutRecord struct {
	Expected identifier.Version
	Record   Record
}

func (PutAssignment) assignerAction() {}
func (PutRoster) assignerAction()     {}
func (PutRecord) assignerAction()     {}
