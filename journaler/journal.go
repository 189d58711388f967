package journaler

import (
	"fmt"
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/identifier"
)

// State is the progress of a recorded request.
type State int

// The states of a recorded request. The record of a request that is known not to have
// run is removed, so that its caller may send it again.
const (
	Started State = iota // The request may have run; its answer is not known.
	Ended                // The request has run and its answer is recorded.
)

// Nonce identifies one attempt to record a request. A journal writer that reads the
// journal back uses it to tell its own records from those of other writers.
type Nonce struct {
	Writer      identifier.Instance    `cbor:"Keeper"` // The instance of the journal writer.
	Incarnation identifier.Incarnation // The incarnation of that instance's process.
	Number      uint64                 // Counts the attempts of the journal writer, from 1.
}

// Entry is the record of one request.
type Entry struct {
	Fingerprint answerer.Fingerprint
	Nonce       Nonce
	State       State
	RecordedAt  time.Time
	Status      int    // The HTTP status of the answer; 0 until State is Ended.
	Body        []byte // The body of the answer; nil until State is Ended, and if over MaxKeptBody.
}

// MaxKeptBody is the size of the largest answer body that a journal stores, in bytes.
// Of a larger answer it stores the status only, and a retry of the request gets an
// answer without a body.
const MaxKeptBody = 512

// MaxJournalSize is the largest size of an encoded journal, in bytes. It is well below
// the size limit that the platform has for one value, storer.MaxValueSize.
const MaxJournalSize = 800 << 10

// Journal holds the records of the requests of one group that have been started. A
// request is added by a conditional write of the whole journal: if two journal writers
// try to record the same request, only one write takes effect. A Journal is not safe
// for concurrent use.
type Journal struct {
	entries map[identifier.RequestID]Entry
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{map[identifier.RequestID]Entry{}}
}

// Clone returns a copy of the journal. Changes to the records of the copy do not affect j.
func (j *Journal) Clone() *Journal { return &Journal{maps.Clone(j.entries)} }

// Find returns the record of a request, and false if the request is not recorded.
func (j *Journal) Find(id identifier.RequestID) (Entry, bool) {
	e, ok := j.entries[id]
	return e, ok
}

// Len returns the number of recorded requests.
func (j *Journal) Len() int { return len(j.entries) }

// Start adds the record of a request that is about to run, in state Started. It returns
// an error and changes nothing if the request is recorded already.
func (j *Journal) Start(id identifier.RequestID, e Entry) error {
	if _, ok := j.entries[id]; ok {
		return fmt.Errorf("request %q is already recorded in the journal", id)
	}
	e.State = Started
	j.entries[id] = e
	return nil
}

// End sets the record of a request that has run to Ended and stores the answer's status
// and, if it has at most MaxKeptBody bytes, its body. It does nothing if the request is
// not recorded.
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

// Withdraw removes the record of a request that has not run. Only the attempt that
// added the record may remove it: nothing changes if the nonce is another one or the
// request has ended.
func (j *Journal) Withdraw(id identifier.RequestID, n Nonce) {
	if e, ok := j.entries[id]; ok && e.Nonce == n && e.State == Started {
		delete(j.entries, id)
	}
}

// Prune drops the records of the requests that were recorded before the given time.
func (j *Journal) Prune(before time.Time) {
	maps.DeleteFunc(j.entries, func(_ identifier.RequestID, e Entry) bool { return e.RecordedAt.Before(before) })
}

// journalDocument is the form in which a Journal is encoded and stored.
type journalDocument struct {
	Entries []entryDocument
}

// entryDocument is the encoded form of one Entry and the ID of its request.
type entryDocument struct {
	ID          identifier.RequestID
	Fingerprint answerer.Fingerprint
	Nonce       Nonce
	State       State
	AtMs        int64  // The time at which the request was recorded, in ms since 1970.
	Status      int    `cbor:",omitempty"`
	Body        []byte `cbor:",omitempty"`
}

// Encode returns the journal in its stored form, CBOR.
func (j *Journal) Encode() ([]byte, error) {
	d := journalDocument{Entries: make([]entryDocument, 0, len(j.entries))}
	for id, e := range j.entries {
		d.Entries = append(d.Entries, entryDocument{id, e.Fingerprint, e.Nonce, e.State, e.RecordedAt.UnixMilli(), e.Status, e.Body})
	}
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode journal: %w", err)
	}
	return data, nil
}

// Decode returns the journal whose stored form is data. It returns an error if data is
// not valid CBOR, or if a record has an empty ID or an unknown state.
func Decode(data []byte) (*Journal, error) {
	var d journalDocument
	if err := cbor.Unmarshal(data, &d); err != nil {
		return nil, fmt.Errorf("decode journal: %w", err)
	}
	j := NewJournal()
	for n, e := range d.Entries {
		if e.ID == "" || e.State != Started && e.State != Ended {
			return nil, fmt.Errorf("decode journal: Entries[%d] is not valid: ID %q, State %d; want an ID, and State 0 or 1", n, e.ID, e.State)
		}
		j.entries[e.ID] = Entry{e.Fingerprint, e.Nonce, e.State, time.UnixMilli(e.AtMs), e.Status, e.Body}
	}
	return j, nil
}

// answerOf returns the answer to a retry of a request whose record has ended.
func answerOf(e Entry) answerer.Answer {
	return answerer.Answer{Outcome: answerer.Ran, Status: e.Status, Body: e.Body}
}
