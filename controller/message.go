package controller

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/prober"
	"github.com/turmericlift/turmericlift/quarantiner"
	"github.com/turmericlift/turmericlift/storer"
)

// Message is a control message between instances.
type Message interface{ message() }

// ProbeMessage carries a message between probers.
type ProbeMessage struct{ Probe prober.Message }

// HandOverMessage offers a backend server to the instance that ranks first.
type HandOverMessage struct{ HandOver granter.HandOver }

// ConfirmMessage carries a granter's confirmation to the assigner: it no longer grants the partitions that are
// prepared to move.
type ConfirmMessage struct{ Confirm granter.Confirmation }

// ReportMessage carries a coordinator's report to the assigner.
type ReportMessage struct{ Report granter.Report }

// FetchMessage requests the objects that changed after a revision. The answer is an ObjectsMessage.
type FetchMessage struct{ Since identifier.Version }

// ObjectsMessage carries objects of the platform. If Complete is set, it holds all objects that changed after the
// revision Since and up to Revision. Otherwise it holds single new objects, and Since and Revision are zero.
type ObjectsMessage struct {
	Complete bool
	Since    identifier.Version
	Revision identifier.Version
	Objects  []storer.Object
}

// CrashMessage reports a request during which a backend server crashed.
type CrashMessage struct{ Crash quarantiner.Crash }

// ListChangeMessage carries the changes of the platform's list of instances between the last two times that the
// sender read it.
type ListChangeMessage struct {
	Changed []storer.ListedInstance // The new and the changed entries.
	Removed []string                // The IDs of the entries that are gone.
}

func (ListChangeMessage) message() {}
func (CrashMessage) message()      {}
func (ProbeMessage) message()      {}
func (HandOverMessage) message()   {}
func (ConfirmMessage) message()    {}
func (ReportMessage) message()     {}
func (FetchMessage) message()      {}
func (ObjectsMessage) message()    {}

// envelope is the encoded form of a message. Exactly one field beside From is set.
type envelope struct {
	From      prober.Peer
	Probe     *prober.Message       `cbor:",omitempty"`
	HandOver  *granter.HandOver     `cbor:",omitempty"`
	Confirm   *granter.Confirmation `cbor:",omitempty"`
	Report    *granter.Report       `cbor:",omitempty"`
	Fetch     *FetchMessage         `cbor:",omitempty"`
	Documents *ObjectsMessage       `cbor:",omitempty"`
	Crash     *quarantiner.Crash    `cbor:",omitempty"`
	List      *ListChangeMessage    `cbor:",omitempty"`
}

// EncodeMessage returns a message and its sender as CBOR.
func EncodeMessage(from prober.Peer, m Message) ([]byte, error) {
	e := envelope{From: from}
	switch m := m.(type) {
	case ProbeMessage:
		e.Probe = &m.Probe
	case HandOverMessage:
		e.HandOver = &m.HandOver
	case ConfirmMessage:
		e.Confirm = &m.Confirm
	case ReportMessage:
		e.Report = &m.Report
	case FetchMessage:
		e.Fetch = &m
	case ObjectsMessage:
		e.Documents = &m
	case CrashMessage:
		e.Crash = &m.Crash
	case ListChangeMessage:
		e.List = &m
	}
	data, err := cbor.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode peer message: %w", err)
	}
	return data, nil
}

// DecodeMessage returns the sender and the message from the form that EncodeMessage produces. It returns an error for
// malformed CBOR, an invalid name of the sender and an unknown kind of message.
func DecodeMessage(data []byte) (prober.Peer, Message, error) {
	var e envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return prober.Peer{}, nil, fmt.Errorf("decode peer message: %w", err)
	}
	if err := identifier.CheckName("Instance", string(e.From.Instance)); err != nil {
		return prober.Peer{}, nil, fmt.Errorf("decode peer message: %w", err)
	}
	switch {
	case e.Probe != nil:
		return e.From, ProbeMessage{*e.Probe}, nil
	case e.HandOver != nil:
		return e.From, HandOverMessage{*e.HandOver}, nil
	case e.Confirm != nil:
		return e.From, ConfirmMessage{*e.Confirm}, nil
	case e.Report != nil:
		return e.From, ReportMessage{*e.Report}, nil
	case e.Fetch != nil:
		return e.From, *e.Fetch, nil
	case e.Documents != nil:
		return e.From, *e.Documents, nil
	case e.List != nil:
		return e.From, *e.List, nil
	case e.Crash != nil:
		return e.From, CrashMessage{*e.Crash}, nil
	}
	return prober.Peer{}, nil, fmt.Errorf("decode peer message: it carries no message of a known kind")
}
