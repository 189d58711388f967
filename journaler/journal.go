package journaler

import (
	"fmt"
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/identifier"
)

// State is how far a recorded request has come.
type State int

// The states of a recorded request. One that is known not to have run is taken out,
// so that its caller may send it again.
const (
	Started State = iota // It may have run.
	Ended                // It has run, and the answer is known.
)

// Nonce names one attempt to record a request, so that whoever reads a journal back
// can tell its own entry from another's.
type Nonce struct {
	Keeper      identifier.Instance
	Incarnation identifier.Incarnation
	Number      uint64
}

// Entry is the record of one request.
type Entry struct {
	Fingerprint answerer.Fingerprint
	Nonce       Nonce
	State       State
	At          time.Time // When it was recorded.
	Status      int       // Of the answer, once Ended.
	Body        []byte    // Of the answer, once Ended, if it was small.
}

// MaxKeptBody is the largest body of an answer that is kept, in bytes. A resend of a
// request with a larger answer is told the status alone.
const MaxKeptBody = 512

// MaxJournalSize bounds the stored form of a journal, in bytes, well below the
// platform's limit of one value.
const MaxJournalSize = 800 << 10

// Journal is the aggregate that says which requests of one group have been started.
// Whoever wants to run a request adds it by a conditional write: of two that want to
// run the same one, only one write takes effect.
type Journal struct {
	entries map[identifier.RequestID]Entry
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{map[identifier.RequestID]Entry{}}
}

// Clone returns a copy that can be changed without effect on j.
func (j *Journal) Clone() *Journal { return &Journal{maps.Clone(j.entries)} }

// Find returns the record of a request.
func (j *Journal) Find(id identifier.RequestID) (Entry, bool) {
	e, ok := j.entries[id]
	return e, ok
}

// Len returns the number of recorded requests.
func (j *Journal) Len() int { return len(j.entries) }

// Start records a request that is about to run. It must not be recorded yet.
func (j *Journal) Start(id identifier.RequestID, e Entry) error {
	if _, ok := j.entries[id]; ok {
		return fmt.Errorf("request %q is recorded already", id)
	}
	e.State = Started
	j.entries[id] = e
	return nil
}

// End records the answer of a request that has run.
func (j *Journal) End(id identifier.RequestID, status int, body []byte) {
	e, ok := j.entries[id]
	if !ok {
		return
	}
	e.State, e.Status = Ended, status
	if len(body) <= MaxKeptBody {
		e.Body = body
	}
	j.entries[id] = e
}

// Withdraw takes out a request that has not run. Only the attempt that recorded it
// may do so.
func (j *Journal) Withdraw(id identifier.RequestID, n Nonce) {
	if e, ok := j.entries[id]; ok && e.Nonce == n && e.State == Started {
		delete(j.entries, id)
	}
}

// Prune forgets the requests that were recorded before a time.
func (j *Journal) Prune(before time.Time) {
	maps.DeleteFunc(j.entries, func(_ identifier.RequestID, e Entry) bool { return e.At.Before(before) })
}

// journalDocument is the stored form of a Journal.
type journalDocument struct {
	Entries []entryDocument
}

type entryDocument struct {
	ID          identifier.RequestID
	Fingerprint answerer.Fingerprint
	Nonce       Nonce
	State       State
	AtMs        int64
	Status      int    `cbor:",omitempty"`
	Body        []byte `cbor:",omitempty"`
}

// Encode returns the stored form of the journal, in CBOR.
func (j *Journal) Encode() ([]byte, error) {
	d := journalDocument{Entries: make([]entryDocument, 0, len(j.entries))}
	for id, e := range j.entries {
		d.Entries = append(d.Entries, entryDocument{id, e.Fingerprint, e.Nonce, e.State, e.At.UnixMilli(), e.Status, e.Body})
	}
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode journal: %w", err)
	}
	return data, nil
}

// Decode reads the stored form of a journal.
func Decode(data []byte) (*Journal, error) {
	var d journalDocument
	if err := cbor.Unmarshal(data, &d); err != nil {
		return nil, fmt.Errorf("decode journal: %w", err)
	}
	j := NewJournal()
	for n, e := range d.Entries {
		if e.ID == "" || e.State != Started && e.State != Ended {
			return nil, fmt.Errorf("decode journal: Entries[%d] has ID %q and State %d", n, e.ID, e.State)
		}
		j.entries[e.ID] = Entry{e.Fingerprint, e.Nonce, e.State, time.UnixMilli(e.AtMs), e.Status, e.Body}
	}
	return j, nil
}

// answerOf returns the answer that a resend of an ended request gets.
func answerOf(e Entry) answerer.Answer {
	return answerer.Answer{Outcome: answerer.Ran, Status: e.Status, Body: e.Body}
}
