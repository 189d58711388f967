package granter

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
)

// ServerInfo is a backend server as the platform's list and the settings have it.
type ServerInfo struct {
	ID      identifier.BackendServer
	Zone    identifier.Zone
	Service identifier.ServiceName
	Address string
	Keyed   bool
	// ChecksGrants is false for a backend server that runs whatever it is sent.
	ChecksGrants bool
}

// Event is what can happen to a Granter.
type Event interface{ granterEvent() }

// Tick says that time has passed.
type Tick struct{}

// AssignmentSeen brings a service's assignment, in any order of versions.
type AssignmentSeen struct {
	Service    identifier.ServiceName
	Version    identifier.Version
	Assignment *partitioner.Assignment
}

// RosterSeen brings a zone's roster, in any order of versions.
type RosterSeen struct {
	Zone    identifier.Zone
	Version identifier.Version
	Roster  Roster
}

// ServersSeen brings the backend servers that the platform lists.
type ServersSeen struct{ Servers []ServerInfo }

// LiveSeen brings the instances that answer the prober, with their zones. The
// granter's own instance need not be among them.
type LiveSeen struct {
	Instances map[identifier.Instance]identifier.Zone
}

// HoldSeen brings a service's IsolationHold: how long an instance that is cut off
// from the platform goes on granting. 0 is without limit.
type HoldSeen struct {
	Service identifier.ServiceName
	Hold    time.Duration
}

// LostSeen brings the zones that operators have declared lost.
type LostSeen struct{ Zones map[identifier.Zone]bool }

// ContactSeen says that the platform was reached, directly or through a peer, by a
// call that started at At.
type ContactSeen struct{ At time.Time }

// OrderAnswered brings a backend server's answer to an order, or, with Failed, the
// lack of one.
type OrderAnswered struct {
	Order  Order
	Answer OrderAnswer
	Failed bool
}

// HandOverReceived says that the coordinator of a term offers a backend server.
type HandOverReceived struct{ HandOver HandOver }

// LoadsMeasured brings the load of partitions since the last such event.
type LoadsMeasured struct {
	Service identifier.ServiceName
	Loads   Loads
}

// Loads are the measured loads of a service at one instance.
type Loads struct {
	Partitions []PartitionLoad
	Keys       []KeyLoad // The heaviest keys.
}

// KeyLoad is the load of one key, in requests per second.
type KeyLoad struct {
	Key  identifier.Key
	Rate float64
}

// Stop starts the graceful shutdown: hand every backend server over.
type Stop struct{}

func (Tick) granterEvent()             {}
func (AssignmentSeen) granterEvent()   {}
func (RosterSeen) granterEvent()       {}
func (ServersSeen) granterEvent()      {}
func (LiveSeen) granterEvent()         {}
func (HoldSeen) granterEvent()         {}
func (LostSeen) granterEvent()         {}
func (ContactSeen) granterEvent()      {}
func (OrderAnswered) granterEvent()    {}
func (HandOverReceived) granterEvent() {}
func (LoadsMeasured) granterEvent()    {}
func (Stop) granterEvent()             {}

// Action is what a Granter wants done.
type Action interface{ granterAction() }

// SendOrder sends an order to a backend server.
type SendOrder struct {
	Address string
	Order   Order
}

// SendHandOver offers a backend server to another instance.
type SendHandOver struct {
	To       identifier.Instance
	HandOver HandOver
}

// SendConfirm sends a confirmation to the service's assigner.
type SendConfirm struct{ Confirm Confirm }

// SendReport sends a report to the service's assigner.
type SendReport struct{ Report Report }

// WriteRoster asks for a conditional write of a zone's roster.
type WriteRoster struct {
	Zone     identifier.Zone
	Expected identifier.Version
	Roster   Roster
}

func (SendOrder) granterAction()    {}
func (SendHandOver) granterAction() {}
func (SendConfirm) granterAction()  {}
func (SendReport) granterAction()   {}
func (WriteRoster) granterAction()  {}

// HandOver offers a backend server to the instance that ranks first for it.
type HandOver struct {
	Server identifier.BackendServer
	Term   identifier.Term
}

// Outstanding is a grant of a moving partition as one process knows it.
type Outstanding struct {
	Grant
	// Server is the incarnation of the backend server's process that has the grant.
	Server identifier.Incarnation
	// Remaining is the time until the grant has lapsed for sure.
	Remaining time.Duration
	// Revoked says that this process of the backend server has confirmed that it
	// refuses the grant and runs no request of it.
	Revoked bool
}

// Confirm is a process's promise not to grant the partitions that are marked to
// move in a version of an assignment, with what it has granted of them before.
type Confirm struct {
	Service     identifier.ServiceName
	Version     identifier.Version
	Instance    identifier.Instance
	Incarnation identifier.Incarnation
	Grants      []Outstanding
}

// PartitionLoad is the load of one partition, in requests per second.
type PartitionLoad struct {
	Partition identifier.Partition
	Rate      float64
}

// ServerReport is what a coordinator knows of a backend server.
type ServerReport struct {
	Server identifier.BackendServer
	// Silent is the time since the backend server's last answer.
	Silent time.Duration
	State  ServerState
	Load   int
}

// Report is a coordinator's report to the assigner of a service.
type Report struct {
	Service  identifier.ServiceName
	Instance identifier.Instance
	Servers  []ServerReport
	Loads    Loads
}
