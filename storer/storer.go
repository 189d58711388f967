// Package storer is the client of the platform's object API: it reads and conditionally writes
// objects, watches them for changes and lists instances, within a budget of calls.
//
// A conditional write has one of three outcomes: written, refused or unknown. It is unknown if
// the platform's answer is lost, since the write may have taken effect before that. The client
// reports an unknown outcome as ErrOutcomeUnknown and does not retry: the caller must read the object back.
//
// Start in storer.go, which has the objects and the errors. client.go has the Client for a platform
// with one name space of objects, and kinds.go the client for a platform that groups them in kinds.
// Such a platform may come back from a copy. Then its era rises, and versions of the eras before are below all new ones
// (era.go).
package storer

import (
	"errors"
	"fmt"

	"github.com/turmericlift/turmericlift/identifier"
)

// MaxValueSize is the platform's size limit for the value of one object, in bytes.
const MaxValueSize = 1 << 20

// Prefix is the prefix of the names of all objects that the system's instances watch.
const Prefix = "Turmericlift/"

// Object is one object on the platform, with its value and the version of that value.
type Object struct {
	Name    string
	Version identifier.Version // 0 if the object does not exist.
	Data    []byte
}

// InstanceKind says what an item of the platform's list of instances is.
type InstanceKind string

// The kinds of listed instances: instances of this system, and backend servers.
const (
	KindEntry         InstanceKind = "Entry"
	KindBackendServer InstanceKind = "BackendServer"
)

// InstanceState is the state of an instance on the platform's list.
type InstanceState string

// The states of a listed instance. An instance that has ended is no longer listed.
const (
	StateLive    InstanceState = "Live"
	StateLeaving InstanceState = "Leaving"
)

// ListedInstance is one item of the platform's list of instances. The list lags: it may still show an
// instance that has ended and not yet show a new one.
type ListedInstance struct {
	ID           string
	Kind         InstanceKind
	State        InstanceState
	Zone         identifier.Zone
	Address      string                  // The IP address and port, as host:port.
	Organisation identifier.Organisation `json:",omitempty"` // Set for backend servers only.
	Service      identifier.Service      `json:",omitempty"` // Set for backend servers only.
}

// WatchResult is the result of a watch: the objects that have changed after the watched revision.
type WatchResult struct {
	Revision identifier.Version // The revision from which to watch next.
	Objects  []Object
}

// The errors of the platform client. They are wrapped in errors that name the call and the object.
var (
	// ErrNotFound reports that the object does not exist.
	ErrNotFound = errors.New("object does not exist")
	// ErrOutcomeUnknown reports that a write may or may not have taken effect; the caller must read the object
	// back.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrUnavailable reports that the platform did not answer, or refused the call for now.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrMalformedAnswer reports that the platform answered and that the answer does not decode.
	ErrMalformedAnswer = errors.New("answer of the platform does not decode")
	// ErrBudgetExhausted reports that the call was not made because the client's budget is used up, or was refused
	// because of the platform's limit of calls. A write has not taken effect.
	ErrBudgetExhausted = errors.New("budget of platform calls is used up")
)

// ConflictError reports that a write was refused because the object's version is not the expected one.
type ConflictError struct {
	Name     string
	Expected identifier.Version // 0: the object was expected not to exist.
	Present  identifier.Version // 0 if the object does not exist or the platform did not say.
}

// Error returns a message with the object's name and both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("write of object %s refused: it has version %d, expected version %d", e.Name, e.Present, e.Expected)
}
