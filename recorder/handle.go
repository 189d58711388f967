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

// JournalPrefix is the start of the names of all journals. They are outside of
// storer.Prefix, so that no instance's watch brings them.
const JournalPrefix = "TurmericliftJournals/"

// ObjectName returns the name of a group's journal on the platform.
func ObjectName(g Group) string {
	return JournalPrefix + g.Service.String() + "/" + strconv.Itoa(g.Number)
}

// keeperHandle guards one group's Keeper at this instance and carries its outputs out.
type keeperHandle struct {
	name   string
	mu     sync.Mutex
	keeper *journaler.Keeper
	next   journaler.Token
	turns  map[journaler.Token]chan journaler.Verdict
}

func (r *Recorder) handle(g Group, o Options) *keeperHandle {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.handles[g]
	if !ok {
		h = &keeperHandle{
			name: ObjectName(g), turns: map[journaler.Token]chan journaler.Verdict{},
			keeper: journaler.NewKeeper(journaler.Config{
				Self: r.self, Incarnation: r.incarnation, Retention: o.Retention,
				Pause: journaler.DefaultPause, InMemory: o.InMemory,
			}),
		}
		r.handles[g] = h
	}
	return h
}

// begin asks this instance's keeper and waits for its verdict.
func (r *Recorder) begin(ctx context.Context, call BeginCall) journaler.Verdict {
	h := r.handle(call.Group, call.Options)
	turn := make(chan journaler.Verdict, 1)
	h.mu.Lock()
	h.next++
	token := h.next
	h.turns[token] = turn
	now := r.clock()
	out := h.keeper.Begin(now, journaler.Begin{
		Token: token, ID: call.ID, Fingerprint: call.Fingerprint, Deadline: now.Add(call.Remaining),
	})
	h.mu.Unlock()
	r.perform(h, out)
	select {
	case v := <-turn:
		return v
	case <-ctx.Done():
	}
	return r.abandon(h, token, turn)
}

// abandon ends the wait of a caller who is gone. Its verdict, if it came meanwhile,
// is given back.
func (r *Recorder) abandon(h *keeperHandle, token journaler.Token, turn chan journaler.Verdict) journaler.Verdict {
	h.mu.Lock()
	delete(h.turns, token)
	h.mu.Unlock()
	select {
	case v := <-turn:
		r.giveBack(h, v)
	default:
	}
	return journaler.Verdict{Decision: journaler.Late}
}

// giveBack withdraws a request that was allowed to run and that nobody will run.
func (r *Recorder) giveBack(h *keeperHandle, v journaler.Verdict) {
	if v.Decision != journaler.Run {
		return
	}
	h.mu.Lock()
	out := h.keeper.End(r.clock(), journaler.End{ID: v.ID, Nonce: v.Nonce, Answer: answerer.Answer{Outcome: answerer.NotRun}})
	h.mu.Unlock()
	r.perform(h, out)
}

func (r *Recorder) end(call EndCall) {
	h := r.handle(call.Ticket.Group, call.Ticket.Options)
	h.mu.Lock()
	out := h.keeper.End(r.clock(), journaler.End{ID: call.Ticket.ID, Nonce: call.Ticket.Nonce, Answer: call.Answer})
	h.mu.Unlock()
	r.perform(h, out)
}

// Flushed reports whether every keeper has written what it knows.
func (r *Recorder) Flushed() bool {
	for _, h := range r.all() {
		h.mu.Lock()
		flushed := h.keeper.Flushed()
		h.mu.Unlock()
		if !flushed {
			return false
		}
	}
	return true
}

func (r *Recorder) all() []*keeperHandle {
	r.mu.Lock()
	defer r.mu.Unlock()
	handles := make([]*keeperHandle, 0, len(r.handles))
	for _, h := range r.handles {
		handles = append(handles, h)
	}
	return handles
}

// Tick gives every keeper the time.
func (r *Recorder) Tick() {
	for _, h := range r.all() {
		h.mu.Lock()
		out := h.keeper.Tick(r.clock())
		h.mu.Unlock()
		r.perform(h, out)
	}
}

// perform gives verdicts and starts at most one platform call.
func (r *Recorder) perform(h *keeperHandle, out journaler.Output) {
	for _, v := range out.Verdicts {
		r.tell(h, v)
	}
	switch {
	case out.Read:
		r.tasks.Go(func(ctx context.Context) { r.read(ctx, h) })
	case out.Write != nil:
		r.tasks.Go(func(ctx context.Context) { r.write(ctx, h, out.Expected, out.Write) })
	}
}

func (r *Recorder) tell(h *keeperHandle, v journaler.Verdict) {
	h.mu.Lock()
	turn, ok := h.turns[v.Token]
	delete(h.turns, v.Token)
	h.mu.Unlock()
	if !ok {
		r.giveBack(h, v)
		return
	}
	turn <- v
}

func (r *Recorder) read(ctx context.Context, h *keeperHandle) {
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
		out = h.keeper.ReadFailed(r.clock())
	} else {
		out = h.keeper.Read(r.clock(), o.Version, j)
	}
	h.mu.Unlock()
	r.perform(h, out)
}

func (r *Recorder) write(ctx context.Context, h *keeperHandle, expected identifier.Version, data []byte) {
	v, err := r.store.Write(ctx, h.name, expected, data)
	h.mu.Lock()
	var out journaler.Output
	switch {
	case errors.Is(err, storer.ErrBudget):
		out = h.keeper.Deferred(r.clock())
	case err != nil:
		out = h.keeper.Unsure(r.clock())
	default:
		out = h.keeper.Wrote(r.clock(), v)
	}
	h.mu.Unlock()
	r.perform(h, out)
}
