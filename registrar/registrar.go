// Package registrar holds the types that describe backend servers: the entries by which they
// register, and what is known of the owner of a key.
package registrar

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// State is the state that a backend server declares in its entry.
type State int

// The states of a backend server.
const (
	Ready    State = iota
	Draining       // The server accepts no new requests and will end soon.
)

// Incarnation identifies one process of a backend server by the time of its start, in Unix milliseconds of
// its own clock. A later process usually has a higher one, but that clock may have been set back between
// the two. Processes of instances have an identifier.Incarnation instead.
type Incarnation int64

// Entry is the registration of one backend server.
type Entry struct {
	ID                identifier.BackendServer
	Incarnation       Incarnation
	Service           identifier.Service
	Zone              identifier.Zone
	Address           string // IP address and port.
	Slots             int    // Number of requests that it runs at the same time.
	State             State
	RemainingColdTime time.Duration // As of the write of the entry; zero if the server is warm.
	Sequence          int64         // Rises with each write of the incarnation, also with those that change nothing else.
	Version           identifier.Version
}

// Usable reports whether the backend server may get new work.
func (e Entry) Usable() bool { return e.State == Ready }

// Ownership is what is known of the owner of a key.
type Ownership struct {
	Server      identifier.BackendServer
	Incarnation Incarnation
	Epoch       identifier.Epoch
	Version     identifier.Version // Version of the allocation.
	Moving      bool
	// Ready reports whether the owner can serve the key now. If not, it may be able to from ReadyAt
	// on; a zero ReadyAt means that the time is unknown.
	Ready   bool
	ReadyAt time.Time
}

// Notice is what a backend server says of itself in an answer.
type Notice struct {
	Leaving bool // It will end soon and wants no new requests.
	// RetryAfter is the time in which it wants no requests from this instance, as it has turned one away; 0 if it says
	// nothing of that.
	RetryAfter time.Duration
}
