package controller

import (
	"time"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/prober"
	"github.com/turmericlift/turmericlift/quarantiner"
	"github.com/turmericlift/turmericlift/storer"
)

// Event is an input of a Controller's state machine.
type Event interface{ controllerEvent() }

// Tick lets a Controller act on the passage of time. It is due several times a second.
type Tick struct{}

// MessageReceived carries a message of another instance.
type MessageReceived struct {
	From    prober.Peer
	Message Message
}

// WatchAnswered carries the answer to a watch of the platform: all changes after the revision From. The watch started
// at the time At.
type WatchAnswered struct {
	At     time.Time
	From   identifier.Version
	Change storer.WatchResult
}

// ObjectRead carries the answer to a ReadObject. The object's version is 0 if it does not exist.
type ObjectRead struct{ Object storer.Object }

// ReadFailed says that the object of a ReadObject could not be read.
type ReadFailed struct{ Name string }

// ListRead carries the platform's list of instances, as this instance has just read it.
type ListRead struct{ Listed []storer.ListedInstance }

// WriteResult is the result of a conditional write.
type WriteResult int

// The results of a conditional write.
const (
	Written    WriteResult = iota // The write took effect.
	Conflicted                    // The object had another version than expected, and was not written.
	Ambiguous                     // The write may or may not have taken effect.
	NotWritten                    // The write was not tried.
)

// WriteEnded carries the result of a WriteObject.
type WriteEnded struct {
	Object storer.Object // The object of the WriteObject, with its new version if Result is Written.
	Result WriteResult
}

// OrderEnded carries the answer of a backend server to a SendOrder, or says that there was none.
type OrderEnded struct{ Answered granter.OrderAnswered }

// LoadsMeasured carries the measured load of the partitions of a service.
type LoadsMeasured struct {
	Service identifier.ServiceName
	Loads   granter.Loads
}

// CrashSeen says that a backend server crashed while it ran a request of this instance.
type CrashSeen struct{ Crash quarantiner.Crash }

// Stop starts the graceful shutdown. Controller.Drained reports when it has handed over all backend servers.
type Stop struct{}

func (Tick) controllerEvent()            {}
func (MessageReceived) controllerEvent() {}
func (WatchAnswered) controllerEvent()   {}
func (ObjectRead) controllerEvent()      {}
func (ReadFailed) controllerEvent()      {}
func (ListRead) controllerEvent()        {}
func (WriteEnded) controllerEvent()      {}
func (OrderEnded) controllerEvent()      {}
func (LoadsMeasured) controllerEvent()   {}
func (CrashSeen) controllerEvent()       {}
func (Stop) controllerEvent()            {}

// Action is an output of a Controller's state machine, which the caller must carry out.
type Action interface{ controllerAction() }

// SendMessage sends a message to an instance. Delivery is not guaranteed.
type SendMessage struct {
	To      prober.Peer
	Message Message
}

// SendOrder sends an order to a backend server. OrderEnded must follow.
type SendOrder struct {
	Address string
	Order   granter.Order
}

// WriteObject writes an object if its version on the platform is Object.Version. WriteEnded must follow.
type WriteObject struct{ Object storer.Object }

// ReadObject reads the object of a name from the platform. ObjectRead or ReadFailed must follow.
type ReadObject struct{ Name string }

// RecordCrash passes a crash that another instance has seen to the quarantine of this instance.
type RecordCrash struct{ Crash quarantiner.Crash }

// LogNotice counts and logs a change of state or a fault.
type LogNotice struct {
	Name   string // The counter's name, which is also the log message.
	Detail string
}

func (SendMessage) controllerAction() {}
func (SendOrder) controllerAction()   {}
func (WriteObject) controllerAction() {}
func (ReadObject) controllerAction()  {}
func (RecordCrash) controllerAction() {}
func (LogNotice) controllerAction()   {}
