// Package journaler ensures that a request that is not idempotent runs at most once,
// through whichever instances it and its retries arrive.
//
// Requests are divided into groups by their ID. The journal of a group is one object on
// the platform that records the group's started requests. A request may run only after
// the conditional write that records it is known to have taken effect. All requests that
// arrive while a write is under way share the next write, so that a few writes a second
// are enough at any load. Two journal writers of one group, at two instances, cannot
// both let the same request run, since only one of their conditional writes takes effect.
//
// Start in keeper.go: it has the state machine of one group at one instance, which does no
// I/O and reads no clock. journal.go has the journal and its stored form, and uuid.go the
// age of a request ID. Package recorder performs the platform calls.
package journaler

import (
	"maps"
	"time"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/identifier"
)

// Config holds the identity and the time settings of a journal writer.
type Config struct {
	Self        identifier.Instance
	Incarnation identifier.Incarnation
	// Retention is the time for which a request stays recorded.
	Retention time.Duration
	// WriteInterval is the least time between the starts of two writes. It bounds the rate of
	// platform calls: all requests that arrive in between share the next write.
	WriteInterval time.Duration
	// InMemory is true if the journal is kept in this process only and nothing is recorded on the
	// platform.
	InMemory bool
}

// The default time settings of a journal writer.
const (
	DefaultRetention     = 10 * time.Minute
	DefaultWriteInterval = 50 * time.Millisecond
)

// Token identifies one call of Begin to which a decision is due.
type Token uint64

// Begin asks for the decision whether a request may run.
type Begin struct {
	Token       Token
	ID          identifier.RequestID
	Fingerprint answerer.Fingerprint
	Deadline    time.Time
}

// Decision says whether a request may run and, if not, why.
type Decision int

// The decisions on a request.
const (
	Run              Decision = iota // The request is recorded and may run.
	AlreadyRan                       // The request has run before; the result holds its answer.
	InDoubt                          // The request may have run before, and its outcome is not known.
	IDReused                         // The request ID was used before for another request.
	Unavailable                      // The request cannot be recorded now and has not run.
	DeadlineExceeded                 // The request's deadline passed before it was recorded; it has not run.
	JournalFull                      // The journal has reached MaxJournalSize; the request has not run.
	IDTooOld                         // The ID is older than the retention: the request may have run before and is not run now.
)

// BeginResult is the result of one Begin.
type BeginResult struct {
	Token    Token
	ID       identifier.RequestID // The request's ID; set if Decision is Run.
	Decision Decision
	Answer   answerer.Answer // The answer of the earlier run; set if the request has run before.
	Nonce    Nonce           // The attempt, to be passed back in End; set if Decision is Run.
}

// End reports the outcome of a request that was allowed to run.
type End struct {
	ID     identifier.RequestID
	Nonce  Nonce
	Answer answerer.Answer
}

// Output lists what the caller must do for a journal writer: deliver the results of calls of
// Begin, and make at most one platform call.
type Output struct {
	Results   []BeginResult
	NeedsRead bool               // The journal must be read.
	Write     []byte             // The value to write to the journal; nil if nothing must be written.
	Expected  identifier.Version // The version on which Write is conditional; 0: the object does not exist.
}

// Writer is the journal writer of one group at one instance. It is a state machine without I/O
// and without a clock: each method is given the present time, and the caller performs the
// returned Output. At most one platform call is under way at a time. It is not safe for
// concurrent use.
type Writer struct {
	cfg            Config
	journal        *Journal // The journal as stored at version, with pendingChanges applied.
	version        identifier.Version
	loaded         bool // False if journal must be read from the platform first.
	readInProgress bool
	lastNumber     uint64 // The Number of the last Nonce.

	queue            []Begin                          // Requests that wait for the next write.
	inFlight         []inFlight                       // Requests of the write under way, or of one with an unknown outcome.
	nextJournal      *Journal                         // The journal that the write under way writes; nil if there is none.
	running          map[Nonce]bool                   // Attempts that may be running.
	neverRun         map[Nonce]bool                   // Attempts that may be recorded and were never allowed to run.
	waiters          map[identifier.RequestID][]Begin // Retries of requests that are running here.
	pendingChanges   []func(*Journal)                 // Ends and withdrawals that have not been written yet.
	changesInWrite   int                              // The number of pendingChanges in the write under way, oldest first.
	lastWriteAt      time.Time                        // The time at which the last write was started.
	lastReadFailedAt time.Time                        // The time at which a read last failed.
}

// inFlight is a request that the write under way records.
type inFlight struct {
	begin Begin
	nonce Nonce
}

// NewWriter returns a journal writer with an empty journal. Unless cfg.InMemory is set, it reads
// the journal from the platform before its first decision.
func NewWriter(cfg Config) *Writer {
	return &Writer{
		cfg: cfg, journal: NewJournal(), loaded: cfg.InMemory,
		running: map[Nonce]bool{}, neverRun: map[Nonce]bool{}, waiters: map[identifier.RequestID][]Begin{},
	}
}

// Begin handles a request that asks to run. The Output of this call, or of a later one, has
// exactly one result with the request's token.
func (w *Writer) Begin(now time.Time, b Begin) Output {
	if generatedAt, ok := uuidTime(b.ID); ok && now.Sub(generatedAt) >= w.cfg.Retention {
		return Output{Results: []BeginResult{{Token: b.Token, Decision: IDTooOld}}}
	}
	w.queue = append(w.queue, b)
	return w.advance(now)
}

// End handles the outcome of a request that was allowed to run. The record of one that has run
// gets its answer, the record of one that has not run is withdrawn, and with an unknown outcome
// the record stays as it is. Retries that wait for this request are then decided.
func (w *Writer) End(now time.Time, e End) Output {
	delete(w.running, e.Nonce)
	switch e.Answer.Outcome {
	case answerer.Ran:
		w.applyChange(func(j *Journal) { j.End(e.ID, e.Answer.Status, e.Answer.Body) })
	case answerer.NotRun:
		w.applyChange(func(j *Journal) { j.Withdraw(e.ID, e.Nonce) })
	case answerer.Unknown:
	}
	w.queue = append(w.queue, w.waiters[e.ID]...)
	delete(w.waiters, e.ID)
	return w.advance(now)
}

// applyChange applies a change to the local journal and queues it for the next write.
func (w *Writer) applyChange(fn func(*Journal)) {
	fn(w.journal)
	w.pendingChanges = append(w.pendingChanges, fn)
}

// Tick handles the passing of time: it answers requests whose deadline has passed and starts
// a platform call that is due.
func (w *Writer) Tick(now time.Time) Output { return w.advance(now) }

// Flushed reports whether nothing is left to be written and no request waits for a write.
func (w *Writer) Flushed() bool {
	return len(w.queue) == 0 && len(w.inFlight) == 0 && len(w.pendingChanges) == 0 && w.nextJournal == nil
}

// HandleWritten handles the success of the write under way; v is the new version of the journal.
// The requests that the write recorded may run.
func (w *Writer) HandleWritten(now time.Time, v identifier.Version) Output {
	var out Output
	w.journal, w.version = w.nextJournal, v
	w.pendingChanges = w.pendingChanges[w.changesInWrite:]
	for _, fn := range w.pendingChanges {
		fn(w.journal)
	}
	for _, f := range w.inFlight {
		out.Results = append(out.Results, w.allow(f))
	}
	w.inFlight, w.nextJournal = nil, nil
	w.dropUnrecorded()
	return w.advanceAfter(now, out)
}

// dropUnrecorded drops the attempts that are no longer recorded in the journal.
func (w *Writer) dropUnrecorded() {
	recordedNonces := make(map[Nonce]bool, w.journal.Len())
	for _, e := range w.journal.entries {
		recordedNonces[e.Nonce] = true
	}
	unrecorded := func(n Nonce, _ bool) bool { return !recordedNonces[n] }
	maps.DeleteFunc(w.running, unrecorded)
	// An earlier write can no longer take effect: it was conditional on an older version.
	maps.DeleteFunc(w.neverRun, unrecorded)
}

// allow marks an attempt as running and returns the result with the decision Run.
func (w *Writer) allow(f inFlight) BeginResult {
	w.running[f.nonce] = true
	return BeginResult{Token: f.begin.Token, ID: f.begin.ID, Decision: Run, Nonce: f.nonce}
}

// HandleWriteUncertain handles a write that was refused or whose outcome is unknown because its
// answer was lost. The journal is read back before anything else is decided.
func (w *Writer) HandleWriteUncertain(now time.Time) Output {
	w.nextJournal = nil
	w.loaded = false
	return w.advance(now)
}

// HandleWriteDeferred handles a write that was not sent because the budget of platform calls is
// used up. Its requests are queued again for the next write, which starts after the configured
// interval.
func (w *Writer) HandleWriteDeferred(now time.Time) Output {
	w.nextJournal = nil
	for _, f := range w.inFlight {
		w.queue = append(w.queue, f.begin)
	}
	w.inFlight = nil
	return w.advance(now)
}

// HandleJournal handles the journal as read from the platform; v is its version. Requests of a
// write with an unknown outcome may run if the journal shows that the write has taken effect;
// the others are queued again. A version older than one that is known already is ignored and
// read again.
func (w *Writer) HandleJournal(now time.Time, v identifier.Version, j *Journal) Output {
	var out Output
	w.readInProgress = false
	if v < w.version {
		// The platform returned an older version than one that is known already: read again.
		return w.advanceAfter(now, out)
	}
	w.loaded = true
	w.journal, w.version = j, v
	for _, fn := range w.pendingChanges {
		fn(w.journal)
	}
	for _, f := range w.inFlight {
		if e, ok := j.Find(f.begin.ID); ok && e.Nonce == f.nonce {
			out.Results = append(out.Results, w.allow(f))
			continue
		}
		w.neverRun[f.nonce] = true
		w.queue = append(w.queue, f.begin)
	}
	w.inFlight = nil
	return w.advanceAfter(now, out)
}

// HandleReadFailed handles a failed read of the journal. All requests that wait for a write get
// the decision Unavailable: they have not run. A request that may have been recorded
// nevertheless, by a write with an unknown outcome, is withdrawn with the next write. The
// journal is read again once something must be written, at the earliest after the configured
// interval.
func (w *Writer) HandleReadFailed(now time.Time) Output {
	var out Output
	w.readInProgress = false
	w.lastReadFailedAt = now
	for _, f := range w.inFlight {
		out.Results = append(out.Results, BeginResult{Token: f.begin.Token, Decision: Unavailable})
		w.pendingChanges = append(w.pendingChanges, func(j *Journal) { j.Withdraw(f.begin.ID, f.nonce) })
	}
	for _, b := range w.queue {
		out.Results = append(out.Results, BeginResult{Token: b.Token, Decision: Unavailable})
	}
	w.inFlight, w.queue = nil, nil
	return out
}

// advanceAfter calls advance and puts the results of out before those of advance.
func (w *Writer) advanceAfter(now time.Time, out Output) Output {
	more := w.advance(now)
	more.Results = append(out.Results, more.Results...)
	return more
}

// advance makes the decisions that are possible now and, if no platform call is under way,
// starts the next one.
func (w *Writer) advance(now time.Time) Output {
	var out Output
	w.expire(now, &out)
	switch {
	case w.readInProgress || w.nextJournal != nil:
		return out
	case !w.loaded:
		needed := len(w.queue) > 0 || len(w.inFlight) > 0 || len(w.pendingChanges) > 0
		if needed && now.Sub(w.lastReadFailedAt) >= w.cfg.WriteInterval {
			w.readInProgress = true
			out.NeedsRead = true
		}
		return out
	}
	w.answerRecorded(&out)
	w.write(now, &out)
	return out
}

// expire answers the requests whose deadline has passed while they waited: as not run if they
// were queued for a write, as in doubt if they waited for the outcome of a running request.
func (w *Writer) expire(now time.Time, out *Output) {
	w.queue = out.answerExpired(now, w.queue, DeadlineExceeded)
	for id, waiting := range w.waiters {
		w.waiters[id] = out.answerExpired(now, waiting, InDoubt)
		if len(w.waiters[id]) == 0 {
			delete(w.waiters, id)
		}
	}
}

// answerExpired adds the decision d for each waiting request whose deadline has passed, and
// returns the others. The returned slice reuses the array of waiting.
func (o *Output) answerExpired(now time.Time, waiting []Begin, d Decision) []Begin {
	remaining := waiting[:0]
	for _, b := range waiting {
		if now.Before(b.Deadline) {
			remaining = append(remaining, b)
			continue
		}
		o.Results = append(o.Results, BeginResult{Token: b.Token, Decision: d})
	}
	return remaining
}

// answerRecorded decides the queued requests that are recorded already. A retry of a request
// that is running at this instance waits for its outcome; requests without a record stay queued.
func (w *Writer) answerRecorded(out *Output) {
	remaining := w.queue[:0]
	for _, b := range w.queue {
		e, recorded := w.journal.Find(b.ID)
		switch {
		case !recorded:
			remaining = append(remaining, b)
		case e.Fingerprint != b.Fingerprint:
			out.Results = append(out.Results, BeginResult{Token: b.Token, Decision: IDReused})
		case e.State == Ended:
			out.Results = append(out.Results, BeginResult{Token: b.Token, Decision: AlreadyRan, Answer: answerOf(e)})
		case w.neverRun[e.Nonce]:
			// It was recorded by a write whose answer was lost, and has not run.
			delete(w.neverRun, e.Nonce)
			out.Results = append(out.Results, w.allow(inFlight{b, e.Nonce}))
		case w.running[e.Nonce]:
			w.waiters[b.ID] = append(w.waiters[b.ID], b)
		default:
			out.Results = append(out.Results, BeginResult{Token: b.Token, Decision: InDoubt})
		}
	}
	w.queue = remaining
}

// write starts a write that records all queued requests and pending changes, unless there are
// none or the last write was started less than the configured interval ago. With Config.InMemory
// the write takes effect at once.
func (w *Writer) write(now time.Time, out *Output) {
	if len(w.queue) == 0 && len(w.pendingChanges) == 0 || now.Sub(w.lastWriteAt) < w.cfg.WriteInterval && !w.cfg.InMemory {
		return
	}
	next := w.journal.Clone()
	next.Prune(now.Add(-w.cfg.Retention))
	w.recordQueued(now, next)
	if w.cfg.InMemory {
		w.nextJournal, w.changesInWrite = next, len(w.pendingChanges)
		done := w.HandleWritten(now, w.version+1)
		out.Results = append(out.Results, done.Results...)
		return
	}
	data, err := next.Encode()
	if err != nil || len(data) > MaxJournalSize {
		w.refuseInFlight(out)
		return
	}
	w.lastWriteAt = now
	w.nextJournal, w.changesInWrite = next, len(w.pendingChanges)
	out.Write, out.Expected = data, w.version
}

// recordQueued adds the queued requests to the next journal, one per ID. Retries of a request
// that is being added stay queued until the write has ended.
func (w *Writer) recordQueued(now time.Time, next *Journal) {
	remaining := w.queue[:0]
	for _, b := range w.queue {
		w.lastNumber++
		nonce := Nonce{w.cfg.Self, w.cfg.Incarnation, w.lastNumber}
		if next.Start(b.ID, Entry{Fingerprint: b.Fingerprint, Nonce: nonce, RecordedAt: now}) != nil {
			remaining = append(remaining, b)
			continue
		}
		w.inFlight = append(w.inFlight, inFlight{b, nonce})
	}
	w.queue = remaining
}

// refuseInFlight refuses the requests of a write that would exceed MaxJournalSize, and drops the
// pending changes of that write.
func (w *Writer) refuseInFlight(out *Output) {
	for _, f := range w.inFlight {
		out.Results = append(out.Results, BeginResult{Token: f.begin.Token, Decision: JournalFull})
	}
	w.inFlight = nil
	w.pendingChanges = nil
}
