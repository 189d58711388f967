package granter

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// Ticket is a reading of a backend server's own clock, which the server returns with each answer. A
// lease runs from the ticket that its order carries, so a delay of the order shortens the lease and
// does not postpone its end: in the server's view, the lease never ends later than in the granter's.
type Ticket struct {
	// Incarnation identifies the process of the backend server.
	Incarnation identifier.Incarnation
	// Clock is the time since that process started.
	Clock time.Duration
}

// Grant is the right to run requests of one partition under one epoch.
type Grant struct {
	Partition identifier.Partition
	Epoch     identifier.Epoch
}

// PoolGrant is the only grant of a backend server whose service is not divided by key.
var PoolGrant = Grant{Partition: 0, Epoch: 1}

// Order is the message in which a coordinator sends a backend server the complete set of its grants.
// A partition that Grants does not contain is no longer granted. The server refuses a grant in Revokes
// from then on, as it does those of the same partition with a lower epoch.
//
// An order of term 0 asks for the server's state and changes nothing.
type Order struct {
	Server      identifier.BackendServer
	Coordinator identifier.Instance
	Term        identifier.Term
	// Sequence increases with each order of the term. The server refuses an order with a lower
	// number than one that it has accepted.
	Sequence uint64
	Ticket   Ticket
	// Lease is how long the grants last, from the ticket's clock reading.
	Lease   time.Duration
	Grants  []Grant
	Revokes []Grant
}

// Result is a backend server's decision on an order.
type Result string

// The results of an order.
const (
	// Accepted means that the server has replaced its grants by those of the order.
	Accepted Result = "Accepted"
	// LowerTerm means that the server has accepted an order of a higher term, and thus has another
	// coordinator.
	LowerTerm Result = "LowerTerm"
	// LateOrder means that a later order of the term arrived first.
	LateOrder Result = "LateOrder"
	// UnknownTicket means that the ticket is of another process of the server, or is in the future.
	UnknownTicket Result = "UnknownTicket"
	// StateOnly means that the order had term 0 and changed nothing.
	StateOnly Result = "StateOnly"
)

// ServerState is the readiness for requests that a backend server reports of itself.
type ServerState string

// The states of a backend server.
const (
	// ServerLive means that the server can run its full load.
	ServerLive ServerState = "Live"
	// ServerCold means that the server can run only a small load yet.
	ServerCold ServerState = "Cold"
	// ServerDraining means that the server completes the requests that it has and accepts no new ones.
	ServerDraining ServerState = "Draining"
)

// OrderAnswer is a backend server's answer to an order.
type OrderAnswer struct {
	Result Result
	// Term is the highest term that the server has accepted.
	Term identifier.Term
	// Coordinator is the instance that the server has accepted as its coordinator; it is empty if there
	// is none.
	Coordinator identifier.Instance
	// CoordinatorAge is the time since the last accepted order.
	CoordinatorAge time.Duration
	// Ticket is the ticket for the next order.
	Ticket Ticket
	// Running holds the grants under which requests still run, sorted.
	Running []Grant
	// Refused holds the grants that the server refused because of their epoch.
	Refused []Grant
	State   ServerState
	// Load is the number of requests that run or are queued at the server.
	Load int
}
