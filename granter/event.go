package granter

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
)

// ServerInfo describes a backend server: its entry in the platform's list, together with the settings
// of its service.
type ServerInfo struct {
	ID      identifier.BackendServer
	Zone    identifier.Zone
	Service identifier.ServiceName
	Address string
	// Keyed is true if the service is divided into partitions by key.
	Keyed bool
	// ChecksGrants is false if the backend server runs every request that it receives, whether or
	// not it has a grant for it.
	ChecksGrants bool
}

// Event is an input of a Granter; see Granter.Step.
type Event interface{ granterEvent() }

// Tick reports that time has passed.
type Tick struct{}

// AssignmentSeen carries a service's assignment. Events may arrive in any order of versions; an
// outdated one is ignored.
type AssignmentSeen struct {
	Service    identifier.ServiceName
	Version    identifier.Version
	Assignment *partitioner.Assignment
}

// RosterSeen carries a zone's roster. Events may arrive in any order of versions; an outdated one is
// ignored.
type RosterSeen struct {
	Zone    identifier.Zone
	Version identifier.Version
	Roster  Roster
}

// ServersSeen carries all backend servers that the platform lists.
type ServersSeen struct{ Servers []ServerInfo }

// LiveInstancesSeen carries the instances that answer the prober, with their zones. The granter's own instance
// may be missing.
type LiveInstancesSeen struct {
	Instances map[identifier.Instance]identifier.Zone
}

// IsolationHoldSeen carries a service's IsolationHold: how long an instance that is cut off from the platform
// goes on granting. 0 means without limit.
type IsolationHoldSeen struct {
	Service identifier.ServiceName
	Hold    time.Duration
}

// LostZonesSeen carries the zones that operators have declared lost. The granter leaves their rosters.
type LostZonesSeen struct{ Zones map[identifier.Zone]bool }

// PlatformContactSeen reports that the platform was reached, directly or through a peer, by a call that
// started at At.
type PlatformContactSeen struct{ At time.Time }

// OrderAnswered carries a backend server's answer to an order. If Failed is true, no answer was
// received, and the server may or may not have accepted the order.
type OrderAnswered struct {
	Order  Order
	Answer OrderAnswer
	Failed bool
}

// HandOverReceived reports that the coordinator of a term offers a backend server to this instance.
type HandOverReceived struct{ HandOver HandOver }

// LoadsMeasured carries the load of a service's partitions since the last such event.
type LoadsMeasured struct {
	Service identifier.ServiceName
	Loads   Loads
}

// Loads holds the measured loads of a service at one instance.
type Loads struct {
	Partitions []PartitionLoad
	Keys       []KeyLoad // The most loaded keys.
}

// KeyLoad is the load of one key.
type KeyLoad struct {
	Key  identifier.Key
	Rate float64 // The number of requests per second.
}

// Stop starts the graceful shutdown: the granter hands every backend server over and leaves every
// roster. Granter.Drained reports when that is done.
type Stop struct{}

func (Tick) granterEvent()                {}
func (AssignmentSeen) granterEvent()      {}
func (RosterSeen) granterEvent()          {}
func (ServersSeen) granterEvent()         {}
func (LiveInstancesSeen) granterEvent()   {}
func (IsolationHoldSeen) granterEvent()   {}
func (LostZonesSeen) granterEvent()       {}
func (PlatformContactSeen) granterEvent() {}
func (OrderAnswered) granterEvent()       {}
func (HandOverReceived) granterEvent()    {}
func (LoadsMeasured) granterEvent()       {}
func (Stop) granterEvent()                {}

// Action is an output of a Granter that its caller must carry out; see Granter.Step.
type Action interface{ granterAction() }

// SendOrder requests that an order be sent to the backend server at Address. The caller must pass the
// result on as an OrderAnswered.
type SendOrder struct {
	Address string
	Order   Order
}

// SendHandOver requests that the offer of a backend server be sent to the instance To.
type SendHandOver struct {
	To       identifier.Instance
	HandOver HandOver
}

// SendConfirmation requests that a confirmation be sent to the service's assigner.
type SendConfirmation struct{ Confirmation Confirmation }

// SendReport requests that a report be sent to the service's assigner.
type SendReport struct{ Report Report }

// PutRoster requests a write of a zone's roster on condition that its version is Expected; 0 means
// that there is none yet.
type PutRoster struct {
	Zone     identifier.Zone
	Expected identifier.Version
	Roster   Roster
}

func (SendOrder) granterAction()        {}
func (SendHandOver) granterAction()     {}
func (SendConfirmation) granterAction() {}
func (SendReport) granterAction()       {}
func (PutRoster) granterAction()        {}

// HandOver is the message in which the coordinator of a term offers a backend server to the instance
// that ranks first for it.
type HandOver struct {
	Server identifier.BackendServer
	Term   identifier.Term
}

// OutstandingGrant is a grant of a moving partition that one granting process has issued to one process of
// a backend server.
type OutstandingGrant struct {
	Grant
	// Incarnation identifies the process of the backend server that has the grant.
	Incarnation identifier.Incarnation `cbor:"Server"`
	// Remaining is the time after which the grant has certainly lapsed.
	Remaining time.Duration
	// Revoked is true if this process of the backend server has confirmed that it refuses the grant
	// and runs no request under it.
	Revoked bool
}

// Confirmation is a process's confirmation to the assigner that it no longer grants the partitions that are
// moving in a version of the assignment.
type Confirmation struct {
	Service     identifier.ServiceName
	Version     identifier.Version
	Instance    identifier.Instance
	Incarnation identifier.Incarnation
	// Grants holds the grants of moving partitions that the process has issued before.
	Grants []OutstandingGrant
}

// PartitionLoad is the load of one partition.
type PartitionLoad struct {
	Partition identifier.Partition
	Rate      float64 // The number of requests per second.
}

// ServerReport is a coordinator's report on one backend server.
type ServerReport struct {
	Server identifier.BackendServer
	// UnresponsiveFor is the time for which the backend server has not answered the coordinator.
	UnresponsiveFor time.Duration `cbor:"Silent"`
	// State is the state that the backend server reported in its last answer.
	State ServerState
	// Load is the number of running and queued requests that it reported then.
	Load int
}

// Report is the report of an instance to the assigner of a service. It covers the backend servers that
// the instance coordinates or queries.
type Report struct {
	Service  identifier.ServiceName
	Instance identifier.Instance
	Servers  []ServerReport
	Loads    Loads // The load that the instance measured.
}
