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

func (r *Recorder) keeperHandle(g Group, o Options) *keeperHandle {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.handles[g]
	if !ok {
		d = &keeperHandle{
			name: ObjectName(g), turns: map[journaler.Token]chan journaler.Verdict{},
			keeper: journaler.NewKeeper(journaler.Config{
				Self: r.self, Incarnation: r.incarnation, Retention: o.Retention,
				Pause: journaler.DefaultPause, InMemory: o.InMemory,
			}),
		}
		r.handles[g] = d
	}
	return d
}

// begin asks this instance's keeper and waits for its verdict.
func (r *Recorder) begin(ctx context.Context, call BeginCall) journaler.Verdict {
	d := r.keeperHandle(call.Group, call.Options)
	turn := make(chan journaler.Verdict, 1)
	d.mu.Lock()
	d.next++
	token := d.next
	d.turns[token] = turn
	now := r.clock()
	out := d.keeper.Begin(now, journaler.Begin{
		Token: token, ID: call.ID, Fingerprint: call.Fingerprint, Deadline: now.Add(call.Remaining),
	})
	d.mu.Unlock()
	r.perform(d, out)
	select {
	case v := <-turn:
		return v
	case <-ctx.Done():
	}
	return r.abandon(d, token, turn)
}

// abandon ends the wait of a caller who is gone. Its verdict, if it came meanwhile,
// is given back.
func (r *Recorder) abandon(d *keeperHandle, token journaler.Token, turn chan journaler.Verdict) journaler.Verdict {
	d.mu.Lock()
	delete(d.turns, token)
	d.mu.Unlock()
	select {
	case v := <-turn:
		r.giveBack(d, v)
	default:
	}
	return journaler.Verdict{Decision: journaler.Late}
}

// giveBack withdraws a request that was allowed to run and that nobody will run.
func (r *Recorder) giveBack(d *keeperHandle, v journaler.Verdict) {
	if v.Decision != journaler.Run {
		return
	}
	d.mu.Lock()
	out := d.keeper.End(r.clock(), journaler.End{ID: v.ID, Nonce: v.Nonce, Answer: answerer.Answer{Outcome: answerer.NotRun}})
	d.mu.Unlock()
	r.perform(d, out)
}

func (r *Recorder) end(call EndCall) {
	d := r.keeperHandle(call.Ticket.Group, call.Ticket.Options)
	d.mu.Lock()
	out := d.keeper.End(r.clock(), journaler.End{ID: call.Ticket.ID, Nonce: call.Ticket.Nonce, Answer: call.Answer})
	d.mu.Unlock()
	r.perform(d, out)
}

// Tick gives every keeper the time.
func (r *Recorder) Tick() {
	r.mu.Lock()
	handles := make([]*keeperHandle, 0, len(r.handles))
	for _, d := range r.handles {
		handles = append(handles, d)
	}
	r.mu.Unlock()
	for _, d := range handles {
		d.mu.Lock()
		out := d.keeper.Tick(r.clock())
		d.mu.Unlock()
		r.perform(d, out)
	}
}

// perform gives verdicts and starts at most one platform call.
func (r *Recorder) perform(d *keeperHandle, out journaler.Output) {
	for _, v := range out.Verdicts {
		r.tell(d, v)
	}
	switch {
	case out.Read:
		r.tasks.Go(func(ctx context.Context) { r.read(ctx, d) })
	case out.Write != nil:
		r.tasks.Go(func(ctx context.Context) { r.write(ctx, d, out.Expected, out.Write) })
	}
}

func (r *Recorder) tell(d *keeperHandle, v journaler.Verdict) {
	d.mu.Lock()
	turn, ok := d.turns[v.Token]
	delete(d.turns, v.Token)
	d.mu.Unlock()
	if !ok {
		r.giveBack(d, v)
		return
	}
	turn <- v
}

func (r *Recorder) read(ctx context.Context, d *keeperHandle) {
	o, err := r.store.Read(ctx, d.name)
	j := journaler.NewJournal()
	if err == nil {
		j, err = journaler.Decode(o.Data)
	} else if errors.Is(err, storer.ErrNotFound) {
		err = nil
	}
	d.mu.Lock()
	var out journaler.Output
	if err != nil {
		out = d.keeper.ReadFailed(r.clock())
	} else {
		out = d.keeper.Read(r.clock(), o.Version, j)
	}
	d.mu.Unlock()
	r.perform(d, out)
}

func (r *Recorder) write(ctx context.Context, d *keeperHandle, expected identifier.Version, data []byte) {
	v, err := r.store.Write(ctx, d.name, expected, data)
	d.mu.Lock()
	var out journaler.Output
	switch {
	case errors.Is(err, storer.ErrBudget):
		out = d.keeper.Deferred(r.clock())
	case err != nil:
		out = d.keeper.Unsure(r.clock())
	default:
		out = d.keeper.Wrote(r.clock(), v)
	}
	d.mu.Unlock()
	r.perform(d, out)
}
