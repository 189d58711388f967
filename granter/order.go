package granter

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// Ticket is a reading of a backend server's own clock, which the server hands out
// with each answer. A lease runs from the ticket that its order carries, so an
// order that is delayed on the way is shorter, not later: the server's view of the
// lease never ends after the granter's.
type Ticket struct {
	Incarnation identifier.Incarnation // Of the backend server's process.
	Clock       time.Duration          // Since the process started.
}

// Grant is the right to run requests of one partition under one epoch.
type Grant struct {
	Partition identifier.Partition
	Epoch     identifier.Epoch
}

// PoolGrant is the one grant of a backend server whose service is not divided by
// key.
var PoolGrant = Grant{Partition: 0, Epoch: 1}

// Order is the batch that a coordinator sends to a backend server: the whole set
// of its grants. A partition that is left out is not granted any more; one in
// Revokes is refused from then on at this epoch and below.
//
// An order of term 0 asks for the server's state and changes nothing.
type Order struct {
	Server      identifier.BackendServer
	Coordinator identifier.Instance
	Term        identifier.Term
	Sequence    uint64 // Grows with each order of the term; a lower one is late.
	Ticket      Ticket
	Lease       time.Duration // From the ticket's clock reading.
	Grants      []Grant
	Revokes     []Grant
}

// Result is a backend server's verdict on an order.
type Result string

// The verdicts on an order.
const (
	Accepted      Result = "Accepted"
	LowerTerm     Result = "LowerTerm"     // Another coordinator has the server.
	LateOrder     Result = "LateOrder"     // A later order of the term came first.
	UnknownTicket Result = "UnknownTicket" // The ticket is another process's, or is in the future.
	StateOnly     Result = "StateOnly"     // The order had term 0.
)

// ServerState is what a backend server says of its own readiness for work.
type ServerState string

// The states of a backend server.
const (
	ServerLive     ServerState = "Live"
	ServerCold     ServerState = "Cold"     // Bears only a little load yet.
	ServerDraining ServerState = "Draining" // Finishes its work and takes no new one.
)

// OrderAnswer is a backend server's answer to an order.
type OrderAnswer struct {
	Result         Result
	Term           identifier.Term // Highest that the server has accepted.
	Coordinator    identifier.Instance
	CoordinatorAge time.Duration // Since that coordinator's last accepted order.
	Ticket         Ticket        // For the next order.
	Running        []Grant       // Partitions with requests that have not ended, sorted.
	Refused        []Grant       // Grants that were refused for their epoch.
	State          ServerState
	Load           int // Requests running and queued, as the server reports it.
}
