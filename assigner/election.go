package assigner

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/ranker"
)

// Record is the stored object that names a service's assigner. Two assigners at the same time do no
// harm, since each change is a conditional write of the assignment. The record prevents them from
// undoing each other's changes, and names the instance that reports are sent to.
type Record struct {
	// Leader is the instance that is the assigner; it is empty after the assigner has stepped down.
	Leader identifier.Instance `cbor:"Holder"`
	// Heartbeats counts the writes of the record; the assigner increments it with each one.
	Heartbeats uint64 `cbor:"Touched"`
}

// EncodeRecord returns the CBOR encoding in which a record is stored.
func EncodeRecord(r Record) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode assigner record: %w", err)
	}
	return data, nil
}

// DecodeRecord decodes a stored record. It returns an error if data is not the CBOR encoding of one.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode assigner record: %w", err)
	}
	return r, nil
}

const (
	// heartbeatInterval is the time between two heartbeats of the assigner, that is, writes of the
	// record.
	heartbeatInterval = 5 * time.Second
	// unresponsiveAfter is the age of the last heartbeat from which an assigner that does not answer
	// probes is replaced.
	unresponsiveAfter = time.Second
	// stuckAfter is the age of the last heartbeat from which an assigner is replaced even if it
	// answers probes.
	stuckAfter = 4 * heartbeatInterval
	// deposedWait is how long an assigner that was replaced does not replace its successor for
	// failing to answer probes. Otherwise two instances that cannot reach each other would replace
	// each other again and again.
	deposedWait = 30 * time.Second
	// electionRetryInterval is the time between two attempts to write the record.
	electionRetryInterval = 500 * time.Millisecond
)

// election decides whether this instance is a service's assigner.
type election struct {
	service     identifier.ServiceName
	self        identifier.Instance
	record      Record             // The newest record that was read.
	version     identifier.Version // The version of record; zero if none was read.
	changedAt   time.Time          // When record was read.
	deposedAt   time.Time          // When this instance was last replaced; zero if never.
	attemptedAt time.Time          // When this instance last attempted to write the record.
	stopping    bool
}

// update stores a newer record and notes whether it replaces this instance as the assigner.
func (e *election) update(now time.Time, v identifier.Version, r Record) {
	if v <= e.version {
		return
	}
	if e.record.Leader == e.self && r.Leader != e.self && r.Leader != "" {
		e.deposedAt = now
	}
	e.record, e.version, e.changedAt = r, v, now
}

func (e *election) leads() bool { return e.record.Leader == e.self && e.version > 0 }

// step returns the record to write and true, if a write is due and the last attempt is at least
// electionRetryInterval ago.
func (e *election) step(now time.Time, live map[identifier.Instance]identifier.Zone) (Record, bool) {
	if now.Sub(e.attemptedAt) < electionRetryInterval {
		return Record{}, false
	}
	next, due := e.nextRecord(now, live)
	if due {
		e.attemptedAt = now
	}
	return next, due
}

// nextRecord returns the record to write and whether a write is due: a heartbeat, a resignation, or
// the takeover of a vacant record.
func (e *election) nextRecord(now time.Time, live map[identifier.Instance]identifier.Zone) (Record, bool) {
	age := now.Sub(e.changedAt)
	if e.leads() {
		if e.stopping {
			return Record{Heartbeats: e.record.Heartbeats + 1}, true
		}
		return Record{e.self, e.record.Heartbeats + 1}, age >= heartbeatInterval
	}
	if e.stopping || !e.ranksFirst(live) {
		return Record{}, false
	}
	_, answers := live[e.record.Leader]
	vacant := e.record.Leader == "" ||
		!answers && age >= unresponsiveAfter && e.mayDepose(now) ||
		age >= stuckAfter
	return Record{e.self, e.record.Heartbeats + 1}, vacant
}

// mayDepose reports whether this instance may replace an assigner that does not answer probes: it was
// not itself replaced within the last deposedWait.
func (e *election) mayDepose(now time.Time) bool {
	return e.deposedAt.IsZero() || now.Sub(e.deposedAt) >= deposedWait
}

// ranksFirst reports whether this instance ranks first for the service among itself and the live
// instances. The present assigner does not count, unless it is this instance.
func (e *election) ranksFirst(live map[identifier.Instance]identifier.Zone) bool {
	candidates := []identifier.Instance{e.self}
	for i := range live {
		if i != e.record.Leader || i == e.self {
			candidates = append(candidates, i)
		}
	}
	top, _ := ranker.Top("Assigner/"+e.service.String(), candidates)
	return top == e.self
}
