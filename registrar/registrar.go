// Package registrar holds what the system knows of backend servers: the entries by
// which they register, and the availability zones that operators have taken out.
package registrar

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// State is what a backend server says of itself.
type State int

// The states of a backend server.
const (
	Ready    State = iota
	Draining       // It takes no new work and ends soon.
)

// Life is one process of a backend server: the time of its start, in Unix milliseconds
// of its own clock. Only equality of two lives means anything.
type Life int64

// Entry is the registration of one backend server.
type Entry struct {
	ID       identifier.BackendServer
	Life     Life
	Service  identifier.Service
	Zone     identifier.Zone
	Address  string // IP and port.
	Slots    int    // Requests that run at the same time.
	State    State
	ColdLeft time.Duration // From the time of the entry's change.
	Version  identifier.Version
}

// Usable reports whether the backend server may get new work.
func (e Entry) Usable() bool { return e.State == Ready }

// Ownership is what is known of the owner of a key.
type Ownership struct {
	Server  identifier.BackendServer
	Life    Life
	Epoch   identifier.Epoch
	Version identifier.Version // Of the allocation.
	Moving  bool
	// Ready says that the owner can serve the key; otherwise it may from ReadyAt on, or at
	// a time that is not known if that is zero.
	Ready   bool
	ReadyAt time.Time
}
