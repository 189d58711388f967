// Package storer is the client of the platform's object API: reads, conditional
// writes, watches and the list of instances, within a budget of calls.
//
// A conditional write has three ends, not two: written, refused, or unknown,
// because the platform's answer can be lost after the write took effect. The
// client never hides the third one: whoever wrote reads the object back.
package storer

import (
	"errors"
	"fmt"

	"github.com/turmericlift/turmericlift/identifier"
)

// MaxValueSize is the platform's limit of one value, in bytes.
const MaxValueSize = 1 << 20

// Prefix is the start of the names of all objects of the system.
const Prefix = "Turmericlift/"

// Object is one object on the platform.
type Object struct {
	Name    string
	Version identifier.Version // 0: the object does not exist.
	Data    []byte
}

// Kind is what an entry of the platform's list of instances is.
type Kind string

// The two kinds of listed instances.
const (
	KindEntry         Kind = "Entry"
	KindBackendServer Kind = "BackendServer"
)

// State is the state of a listed instance.
type State string

// The two states of a listed instance. One that has ended is not listed.
const (
	StateLive    State = "Live"
	StateLeaving State = "Leaving"
)

// Listed is an entry of the platform's list of instances. The list lags.
type Listed struct {
	ID           string
	Kind         Kind
	State        State
	Zone         identifier.Zone
	Address      string                  // IP and port.
	Organisation identifier.Organisation `json:",omitempty"` // Backend servers only.
	Service      identifier.Service      `json:",omitempty"` // Backend servers only.
}

// Change is what a watch returns: the objects changed since the watched revision.
type Change struct {
	Revision identifier.Version
	Objects  []Object
}

// The platform client's errors.
var (
	// ErrNotFound: the object does not exist.
	ErrNotFound = errors.New("object does not exist")
	// ErrUnknown: the write may or may not have taken effect; read it back.
	ErrUnknown = errors.New("outcome of the write is unknown")
	// ErrUnavailable: the platform did not answer, or refused the call for now.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrGarbled: the platform answered, and the answer does not decode.
	ErrGarbled = errors.New("answer of the platform does not decode")
	// ErrBudget: the client's own budget of calls is used up.
	ErrBudget = errors.New("budget of platform calls is used up")
)

// ConflictError reports that the object's version was not the expected one.
type ConflictError struct {
	Name     string
	Expected identifier.Version
	Present  identifier.Version
}

// Error names the object and both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s has version %d, expected %d", e.Name, e.Present, e.Expected)
}
