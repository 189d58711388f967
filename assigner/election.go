package assigner

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/ranker"
)

// Record is the object that names a service's assigner. Two assigners at once are
// harmless, since each change is a conditional write of the assignment; the record
// keeps them from working against each other, and tells where reports go.
type Record struct {
	Holder  identifier.Instance // Empty once the holder has stepped down.
	Touched uint64              // Counts the holder's signs of life.
}

// EncodeRecord returns the stored form of a record, in CBOR.
func EncodeRecord(r Record) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode assigner record: %w", err)
	}
	return data, nil
}

// DecodeRecord reads the stored form of a record.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode assigner record: %w", err)
	}
	return r, nil
}

const (
	// touchEvery is the time between two signs of life of a record's holder.
	touchEvery = 5 * time.Second
	// silentAfter is how old the last sign of life is when a holder that no longer
	// answers probes is replaced.
	silentAfter = time.Second
	// stuckAfter is how old it is when a holder that does answer is replaced.
	stuckAfter = 4 * touchEvery
	// deposedWait is how long an assigner that was replaced leaves its replacement
	// alone, so that two that cannot see each other do not take turns.
	deposedWait = 30 * time.Second
	// electionRetry is the time between two attempts to write the record.
	electionRetry = 500 * time.Millisecond
)

// election decides whether this instance is a service's assigner.
type election struct {
	service   identifier.ServiceName
	self      identifier.Instance
	record    Record
	version   identifier.Version
	changedAt time.Time
	deposedAt time.Time
	triedAt   time.Time
	stopping  bool
}

func (e *election) see(now time.Time, v identifier.Version, r Record) {
	if v <= e.version {
		return
	}
	if e.record.Holder == e.self && r.Holder != e.self && r.Holder != "" {
		e.deposedAt = now
	}
	e.record, e.version, e.changedAt = r, v, now
}

func (e *election) leads() bool { return e.record.Holder == e.self && e.version > 0 }

// step returns the record to write, if one is due.
func (e *election) step(now time.Time, live map[identifier.Instance]identifier.Zone) (Record, bool) {
	if now.Sub(e.triedAt) < electionRetry {
		return Record{}, false
	}
	next, due := e.next(now, live)
	if due {
		e.triedAt = now
	}
	return next, due
}

func (e *election) next(now time.Time, live map[identifier.Instance]identifier.Zone) (Record, bool) {
	age := now.Sub(e.changedAt)
	if e.leads() {
		if e.stopping {
			return Record{Touched: e.record.Touched + 1}, true
		}
		return Record{e.self, e.record.Touched + 1}, age >= touchEvery
	}
	if e.stopping || !e.first(live) {
		return Record{}, false
	}
	_, answers := live[e.record.Holder]
	vacant := e.record.Holder == "" ||
		!answers && age >= silentAfter && e.patient(now) ||
		age >= stuckAfter
	return Record{e.self, e.record.Touched + 1}, vacant
}

func (e *election) patient(now time.Time) bool {
	return e.deposedAt.IsZero() || now.Sub(e.deposedAt) >= deposedWait
}

// first reports whether this instance ranks first among the live ones.
func (e *election) first(live map[identifier.Instance]identifier.Zone) bool {
	candidates := []identifier.Instance{e.self}
	for i := range live {
		if i != e.record.Holder || i == e.self {
			candidates = append(candidates, i)
		}
	}
	top, _ := ranker.Top("Assigner/"+e.service.String(), candidates)
	return top == e.self
}
