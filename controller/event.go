package controller

import (
	"time"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/prober"
	"github.com/turmericlift/turmericlift/quarantiner"
	"github.com/turmericlift/turmericlift/storer"
)

// Event is what can happen to a Controller.
type Event interface{ controllerEvent() }

// Tick says that time has passed.
type Tick struct{}

// MessageReceived brings another instance's message.
type MessageReceived struct {
	From    prober.Peer
	Message Message
}

// Watched brings the answer to a watch that started at At, from the revision From.
type Watched struct {
	At     time.Time
	From   identifier.Version
	Change storer.Change
}

// ObjectRead brings an object that was read, with version 0 if there is none.
type ObjectRead struct{ Object storer.Object }

// ReadFailed says that an object could not be read.
type ReadFailed struct{ Name string }

// ListRead brings the platform's list of instances.
type ListRead struct{ Listed []storer.Listed }

// WriteResult is how a conditional write has ended.
type WriteResult int

// The ends of a conditional write.
const (
	Written    WriteResult = iota // It took effect.
	Conflicted                    // Another version was there.
	Ambiguous                     // It may or may not have taken effect.
	NotWritten                    // It was not tried.
)

// WriteEnded says how a conditional write has ended.
type WriteEnded struct {
	Object storer.Object // As it was to be written, with the new version if Written.
	Result WriteResult
}

// OrderEnded brings a backend server's answer to an order, or the lack of one.
type OrderEnded struct{ Answered granter.OrderAnswered }

// LoadsMeasured brings the measured load of a service's partitions.
type LoadsMeasured struct {
	Service identifier.ServiceName
	Loads   granter.Loads
}

// CrashSeen says that a backend server crashed under a request of this instance.
type CrashSeen struct{ Crash quarantiner.Crash }

// Stop starts the graceful shutdown.
type Stop struct{}

func (Tick) controllerEvent()            {}
func (MessageReceived) controllerEvent() {}
func (Watched) controllerEvent()         {}
func (ObjectRead) controllerEvent()      {}
func (ReadFailed) controllerEvent()      {}
func (ListRead) controllerEvent()        {}
func (WriteEnded) controllerEvent()      {}
func (OrderEnded) controllerEvent()      {}
func (LoadsMeasured) controllerEvent()   {}
func (CrashSeen) controllerEvent()       {}
func (Stop) controllerEvent()            {}

// Action is what a Controller wants done.
type Action interface{ controllerAction() }

// SendMessage sends a message to an instance. It may be lost.
type SendMessage struct {
	To      prober.Peer
	Message Message
}

// SendOrder sends an order to a backend server.
type SendOrder struct {
	Address string
	Order   granter.Order
}

// WriteObject writes an object if its version on the platform is Object.Version.
type WriteObject struct{ Object storer.Object }

// ReadObject reads an object.
type ReadObject struct{ Name string }

// HearCrash passes on a crash that another instance has seen.
type HearCrash struct{ Crash quarantiner.Crash }

// Noted reports a change of state or a fault, for counters and logs.
type Noted struct {
	Subject string // A counter's name.
	Detail  string
}

func (SendMessage) controllerAction() {}
func (SendOrder) controllerAction()   {}
func (WriteObject) controllerAction() {}
func (ReadObject) controllerAction()  {}
func (HearCrash) controllerAction()   {}
func (Noted) controllerAction()       {}
