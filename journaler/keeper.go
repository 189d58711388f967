// Package journaler sees to it that a request that may not be repeated runs once at
// most, whichever instances it and its resends come through.
//
// Requests are divided into groups by their ID. A group's journal is one object on
// the platform. A request may run only after a conditional write that records it is
// known to have taken effect; all requests that arrive while a write is under way
// share the next one, so that a few writes a second carry any load. A Keeper is the
// state machine of one group at one instance: it does no I/O and reads no clock. Two
// keepers of one group cannot both let a request run.
package journaler

import (
	"maps"
	"time"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/identifier"
)

// Config holds a Keeper's identity and its times.
type Config struct {
	Self        identifier.Instance
	Incarnation identifier.Incarnation
	// Retention is how long a request stays recorded.
	Retention time.Duration
	// Pause is the least time between two writes: it bounds the platform calls, and
	// all requests that arrive in between share the next write.
	Pause time.Duration
	// InMemory keepers record nothing on the platform.
	InMemory bool
}

// The default times of a Keeper.
const (
	DefaultRetention = 10 * time.Minute
	DefaultPause     = 50 * time.Millisecond
)

// Token names a caller of Begin who waits for a verdict.
type Token uint64

// Begin asks whether a request may run.
type Begin struct {
	Token       Token
	ID          identifier.RequestID
	Fingerprint answerer.Fingerprint
	Deadline    time.Time
}

// Decision is what a request may do.
type Decision int

// The decisions on a request.
const (
	Run         Decision = iota // It is recorded and may run.
	Repeated                    // It has run before; Answer is its answer.
	InDoubt                     // It may have run before, and nobody knows the end.
	Reused                      // Its ID was used for another request.
	Unavailable                 // It cannot be recorded now and has not run.
	Late                        // Its deadline has passed and it has not run.
	Overfull                    // The journal has no room and it has not run.
	TooOld                      // Its ID is older than the retention and it is not run.
)

// Verdict is the decision on one Begin.
type Verdict struct {
	Token    Token
	ID       identifier.RequestID // With Run.
	Decision Decision
	Answer   answerer.Answer // With Repeated.
	Nonce    Nonce           // With Run: to be given to End.
}

// End says how a request that was allowed to run has ended.
type End struct {
	ID     identifier.RequestID
	Nonce  Nonce
	Answer answerer.Answer
}

// Output is what a Keeper wants done: verdicts to give, and at most one platform
// call.
type Output struct {
	Verdicts []Verdict
	Read     bool
	Write    []byte // Nil: no write.
	Expected identifier.Version
}

// Keeper is the state machine of one group at one instance.
type Keeper struct {
	cfg     Config
	journal *Journal // As it was at version.
	version identifier.Version
	loaded  bool
	reading bool
	number  uint64

	queue    []Begin        // Wait for the next write.
	flight   []flight       // Are in the write that is under way.
	writing  *Journal       // What that write writes.
	running  map[Nonce]bool // Attempts that may be running.
	orphaned map[Nonce]bool // Attempts that may be recorded and were never allowed to run.
	watchers map[identifier.RequestID][]Begin
	changes  []func(*Journal) // Ends and withdrawals that are not written yet.
	applied  int              // Of changes, how many the write under way holds.
	wroteAt  time.Time
	failedAt time.Time // When the platform last did not answer.
}

// flight is a request in the write that is under way.
type flight struct {
	begin Begin
	nonce Nonce
}

// NewKeeper returns the Keeper of a group.
func NewKeeper(cfg Config) *Keeper {
	return &Keeper{
		cfg: cfg, journal: NewJournal(), loaded: cfg.InMemory,
		running: map[Nonce]bool{}, orphaned: map[Nonce]bool{}, watchers: map[identifier.RequestID][]Begin{},
	}
}

// Begin takes in a request that wants to run.
func (k *Keeper) Begin(now time.Time, b Begin) Output {
	if at, ok := mintedAt(b.ID); ok && now.Sub(at) >= k.cfg.Retention {
		return Output{Verdicts: []Verdict{{Token: b.Token, Decision: TooOld}}}
	}
	k.queue = append(k.queue, b)
	return k.advance(now)
}

// End takes in the end of a request that was allowed to run.
func (k *Keeper) End(now time.Time, e End) Output {
	delete(k.running, e.Nonce)
	switch e.Answer.Outcome {
	case answerer.Ran:
		k.change(func(j *Journal) { j.End(e.ID, e.Answer.Status, e.Answer.Body) })
	case answerer.NotRun:
		k.change(func(j *Journal) { j.Withdraw(e.ID, e.Nonce) })
	case answerer.Unknown:
	}
	k.queue = append(k.queue, k.watchers[e.ID]...)
	delete(k.watchers, e.ID)
	return k.advance(now)
}

// change applies a change to what is known here and keeps it for the next write.
func (k *Keeper) change(fn func(*Journal)) {
	fn(k.journal)
	k.changes = append(k.changes, fn)
}

// Tick says that time has passed.
func (k *Keeper) Tick(now time.Time) Output { return k.advance(now) }

// Flushed reports whether nothing is left to be written.
func (k *Keeper) Flushed() bool {
	return len(k.queue) == 0 && len(k.flight) == 0 && len(k.changes) == 0 && k.writing == nil
}

// Wrote takes in that the write under way has taken effect.
func (k *Keeper) Wrote(now time.Time, v identifier.Version) Output {
	var out Output
	k.journal, k.version = k.writing, v
	k.changes = k.changes[k.applied:]
	for _, fn := range k.changes {
		fn(k.journal)
	}
	for _, f := range k.flight {
		out.Verdicts = append(out.Verdicts, k.run(f))
	}
	k.flight, k.writing = nil, nil
	k.forget()
	return k.join(now, out)
}

// forget drops the attempts that the journal does not hold any more.
func (k *Keeper) forget() {
	held := make(map[Nonce]bool, k.journal.Len())
	for _, e := range k.journal.entries {
		held[e.Nonce] = true
	}
	gone := func(n Nonce, _ bool) bool { return !held[n] }
	maps.DeleteFunc(k.running, gone)
	// No write from before this one can take effect any more.
	maps.DeleteFunc(k.orphaned, gone)
}

func (k *Keeper) run(f flight) Verdict {
	k.running[f.nonce] = true
	return Verdict{Token: f.begin.Token, ID: f.begin.ID, Decision: Run, Nonce: f.nonce}
}

// Unsure takes in that the write under way was refused, or that its answer was lost:
// the journal is read back before anything else is decided.
func (k *Keeper) Unsure(now time.Time) Output {
	k.writing = nil
	k.loaded = false
	return k.advance(now)
}

// Deferred takes in that the write under way was not tried, since the budget of
// platform calls is used up: it is tried again after a pause.
func (k *Keeper) Deferred(now time.Time) Output {
	k.writing = nil
	for _, f := range k.flight {
		k.queue = append(k.queue, f.begin)
	}
	k.flight = nil
	return k.advance(now)
}

// Read takes in the journal as the platform has it.
func (k *Keeper) Read(now time.Time, v identifier.Version, j *Journal) Output {
	var out Output
	k.reading = false
	if v < k.version {
		// An older state than one that is known: ask again.
		return k.join(now, out)
	}
	k.loaded = true
	k.journal, k.version = j, v
	for _, fn := range k.changes {
		fn(k.journal)
	}
	for _, f := range k.flight {
		if e, ok := j.Find(f.begin.ID); ok && e.Nonce == f.nonce {
			out.Verdicts = append(out.Verdicts, k.run(f))
			continue
		}
		k.orphaned[f.nonce] = true
		k.queue = append(k.queue, f.begin)
	}
	k.flight = nil
	return k.join(now, out)
}

// ReadFailed takes in that the platform does not answer. Whoever waits is told that
// the request has not run. One that may have been recorded all the same is withdrawn
// with the next write.
func (k *Keeper) ReadFailed(now time.Time) Output {
	var out Output
	k.reading = false
	k.failedAt = now
	for _, f := range k.flight {
		out.Verdicts = append(out.Verdicts, Verdict{Token: f.begin.Token, Decision: Unavailable})
		k.changes = append(k.changes, func(j *Journal) { j.Withdraw(f.begin.ID, f.nonce) })
	}
	for _, b := range k.queue {
		out.Verdicts = append(out.Verdicts, Verdict{Token: b.Token, Decision: Unavailable})
	}
	k.flight, k.queue = nil, nil
	return out
}

func (k *Keeper) join(now time.Time, out Output) Output {
	more := k.advance(now)
	more.Verdicts = append(out.Verdicts, more.Verdicts...)
	return more
}

// advance decides what can be decided and starts the next platform call.
func (k *Keeper) advance(now time.Time) Output {
	var out Output
	k.expire(now, &out)
	switch {
	case k.reading || k.writing != nil:
		return out
	case !k.loaded:
		wanted := len(k.queue) > 0 || len(k.flight) > 0 || len(k.changes) > 0
		if wanted && now.Sub(k.failedAt) >= k.cfg.Pause {
			k.reading = true
			out.Read = true
		}
		return out
	}
	k.decide(&out)
	k.write(now, &out)
	return out
}

// expire answers those whose deadline has passed while they waited.
func (k *Keeper) expire(now time.Time, out *Output) {
	k.queue = out.drop(now, k.queue, Late)
	for id, waiting := range k.watchers {
		k.watchers[id] = out.drop(now, waiting, InDoubt)
		if len(k.watchers[id]) == 0 {
			delete(k.watchers, id)
		}
	}
}

// drop gives a decision to those whose deadline has passed, and returns the others.
func (o *Output) drop(now time.Time, waiting []Begin, d Decision) []Begin {
	left := waiting[:0]
	for _, b := range waiting {
		if now.Before(b.Deadline) {
			left = append(left, b)
			continue
		}
		o.Verdicts = append(o.Verdicts, Verdict{Token: b.Token, Decision: d})
	}
	return left
}

// decide answers those whose request is recorded already; the others stay queued.
func (k *Keeper) decide(out *Output) {
	left := k.queue[:0]
	for _, b := range k.queue {
		e, recorded := k.journal.Find(b.ID)
		switch {
		case !recorded:
			left = append(left, b)
		case e.Fingerprint != b.Fingerprint:
			out.Verdicts = append(out.Verdicts, Verdict{Token: b.Token, Decision: Reused})
		case e.State == Ended:
			out.Verdicts = append(out.Verdicts, Verdict{Token: b.Token, Decision: Repeated, Answer: answerOf(e)})
		case k.orphaned[e.Nonce]:
			// It was recorded by a write whose answer was lost, and has not run.
			delete(k.orphaned, e.Nonce)
			out.Verdicts = append(out.Verdicts, k.run(flight{b, e.Nonce}))
		case k.running[e.Nonce]:
			k.watchers[b.ID] = append(k.watchers[b.ID], b)
		default:
			out.Verdicts = append(out.Verdicts, Verdict{Token: b.Token, Decision: InDoubt})
		}
	}
	k.queue = left
}

// write starts the write that records all queued requests and changes.
func (k *Keeper) write(now time.Time, out *Output) {
	if len(k.queue) == 0 && len(k.changes) == 0 || now.Sub(k.wroteAt) < k.cfg.Pause && !k.cfg.InMemory {
		return
	}
	next := k.journal.Clone()
	next.Prune(now.Add(-k.cfg.Retention))
	k.admit(now, next)
	if k.cfg.InMemory {
		k.writing, k.applied = next, len(k.changes)
		done := k.Wrote(now, k.version+1)
		out.Verdicts = append(out.Verdicts, done.Verdicts...)
		return
	}
	data, err := next.Encode()
	if err != nil || len(data) > MaxJournalSize {
		k.overflow(out)
		return
	}
	k.wroteAt = now
	k.writing, k.applied = next, len(k.changes)
	out.Write, out.Expected = data, k.version
}

// admit adds the queued requests to the next journal, one per ID; resends of one
// that is being added stay queued until it is.
func (k *Keeper) admit(now time.Time, next *Journal) {
	left := k.queue[:0]
	for _, b := range k.queue {
		k.number++
		nonce := Nonce{k.cfg.Self, k.cfg.Incarnation, k.number}
		if next.Start(b.ID, Entry{Fingerprint: b.Fingerprint, Nonce: nonce, At: now}) != nil {
			left = append(left, b)
			continue
		}
		k.flight = append(k.flight, flight{b, nonce})
	}
	k.queue = left
}

// overflow refuses the requests that the journal has no room for.
func (k *Keeper) overflow(out *Output) {
	for _, f := range k.flight {
		out.Verdicts = append(out.Verdicts, Verdict{Token: f.begin.Token, Decision: Overfull})
	}
	k.flight = nil
	k.changes = nil
}
