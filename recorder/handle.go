package recorder

import (
	"context"
	"errors"
	"strconv"
	"sync"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/journaler"
	"github.com/turmericlift/turmericlift/storer"
)

// JournalPrefix is the prefix of the object names of all journals. It is outside of
// storer.Prefix, so that the instances' watches do not deliver changes of journals.
const JournalPrefix = "TurmericliftJournals/"

// ObjectName returns the object name of a group's journal on the platform.
func ObjectName(g JournalGroup) string {
	return JournalPrefix + g.Service.String() + "/" + strconv.Itoa(g.Number)
}

// writerHandle guards the journal writer of one group at this instance, and holds the callers
// that wait for its results.
type writerHandle struct {
	name      string // The object name of the journal.
	mu        sync.Mutex
	writer    *journaler.Writer
	lastToken journaler.Token
	waiters   map[journaler.Token]chan journaler.BeginResult
}

// handle returns the handle of a group's journal writer, which it creates with options o if
// there is none yet.
func (r *Recorder) handle(g JournalGroup, o Options) *writerHandle {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.handles[g]
	if !ok {
		h = &writerHandle{
			name: ObjectName(g), waiters: map[journaler.Token]chan journaler.BeginResult{},
			writer: journaler.NewWriter(journaler.Config{
				Self: r.self, Incarnation: r.incarnation, Retention: o.Retention,
				WriteInterval: journaler.DefaultWriteInterval, InMemory: o.InMemory,
			}),
		}
		r.handles[g] = h
	}
	return h
}

// beginHere passes a call to the journal writer at this instance and waits for the result. If ctx
// ends first, the decision is that the request's deadline has passed; if the request is allowed to run
// nevertheless, its record is withdrawn.
func (r *Recorder) beginHere(ctx context.Context, call BeginCall) journaler.BeginResult {
	h := r.handle(call.Group, call.Options)
	result := make(chan journaler.BeginResult, 1)
	h.mu.Lock()
	h.lastToken++
	token := h.lastToken
	h.waiters[token] = result
	now := r.clock()
	out := h.writer.Begin(now, journaler.Begin{
		Token: token, ID: call.ID, Fingerprint: call.Fingerprint, Deadline: now.Add(call.Remaining),
	})
	h.mu.Unlock()
	r.perform(h, out)
	select {
	case v := <-result:
		return v
	case <-ctx.Done():
	}
	return r.stopWaiting(h, token, result)
}

// stopWaiting ends the wait of a caller whose context has ended. If the request was allowed to run
// in the meantime, its record is withdrawn.
func (r *Recorder) stopWaiting(h *writerHandle, token journaler.Token, result chan journaler.BeginResult) journaler.BeginResult {
	h.mu.Lock()
	delete(h.waiters, token)
	h.mu.Unlock()
	select {
	case v := <-result:
		r.withdraw(h, v)
	default:
	}
	return journaler.BeginResult{Decision: journaler.DeadlineExceeded}
}

// withdraw removes the record of a request that was allowed to run but will not be run, because
// its caller no longer waits. It does nothing with other decisions.
func (r *Recorder) withdraw(h *writerHandle, v journaler.BeginResult) {
	if v.Decision != journaler.Run {
		return
	}
	h.mu.Lock()
	out := h.writer.End(r.clock(), journaler.End{ID: v.ID, Nonce: v.Nonce, Answer: answerer.Answer{Outcome: answerer.NotRun}})
	h.mu.Unlock()
	r.perform(h, out)
}

// endHere reports the outcome of a request to the journal writer at this instance.
func (r *Recorder) endHere(call EndCall) {
	h := r.handle(call.Permit.Group, call.Permit.Options)
	h.mu.Lock()
	out := h.writer.End(r.clock(), journaler.End{ID: call.Permit.ID, Nonce: call.Permit.Nonce, Answer: call.Answer})
	h.mu.Unlock()
	r.perform(h, out)
}

// Flushed reports whether no journal writer of this instance has anything left to write.
func (r *Recorder) Flushed() bool {
	for _, h := range r.allHandles() {
		h.mu.Lock()
		flushed := h.writer.Flushed()
		h.mu.Unlock()
		if !flushed {
			return false
		}
	}
	return true
}

// allHandles returns the handles of all journal writers of this instance, in no order.
func (r *Recorder) allHandles() []*writerHandle {
	r.mu.Lock()
	defer r.mu.Unlock()
	handles := make([]*writerHandle, 0, len(r.handles))
	for _, h := range r.handles {
		handles = append(handles, h)
	}
	return handles
}

// Tick lets every journal writer of this instance answer requests whose deadline has passed and
// start the platform calls that are due. It must be called at short intervals.
func (r *Recorder) Tick() {
	for _, h := range r.allHandles() {
		h.mu.Lock()
		out := h.writer.Tick(r.clock())
		h.mu.Unlock()
		r.perform(h, out)
	}
}

// perform delivers the results of an output and starts its platform call, if it has one.
func (r *Recorder) perform(h *writerHandle, out journaler.Output) {
	for _, v := range out.Results {
		r.deliver(h, v)
	}
	switch {
	case out.NeedsRead:
		r.tasks.Go(func(ctx context.Context) { r.read(ctx, h) })
	case out.Write != nil:
		r.tasks.Go(func(ctx context.Context) { r.write(ctx, h, out.Expected, out.Write) })
	}
}

// deliver passes a result to its caller. If the caller no longer waits, the request is withdrawn.
func (r *Recorder) deliver(h *writerHandle, v journaler.BeginResult) {
	h.mu.Lock()
	result, ok := h.waiters[v.Token]
	delete(h.waiters, v.Token)
	h.mu.Unlock()
	if !ok {
		r.withdraw(h, v)
		return
	}
	result <- v
}

// read reads a journal from the platform and passes it to the journal writer. An object that does
// not exist is an empty journal.
func (r *Recorder) read(ctx context.Context, h *writerHandle) {
	o, err := r.store.Read(ctx, h.name)
	j := journaler.NewJournal()
	if err == nil {
		j, err = journaler.Decode(o.Data)
	} else if errors.Is(err, storer.ErrNotFound) {
		err = nil
	}
	h.mu.Lock()
	var out journaler.Output
	if err != nil {
		out = h.writer.HandleReadFailed(r.clock())
	} else {
		out = h.writer.HandleJournal(r.clock(), o.Version, j)
	}
	h.mu.Unlock()
	r.perform(h, out)
}

// write writes a journal conditionally and passes the outcome to the journal writer.
func (r *Recorder) write(ctx context.Context, h *writerHandle, expected identifier.Version, data []byte) {
	v, err := r.store.Write(ctx, h.name, expected, data)
	h.mu.Lock()
	var out journaler.Output
	switch {
	case errors.Is(err, storer.ErrBudgetExhausted):
		out = h.writer.HandleWriteDeferred(r.clock())
	case err != nil:
		out = h.writer.HandleWriteUncertain(r.clock())
	default:
		out = h.writer.HandleWritten(r.clock(), v)
	}
	h.mu.Unlock()
	r.perform(h, out)
}
