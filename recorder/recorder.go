// Package recorder connects the request path to the keepers of the journals: it
// finds the instance that keeps a request's group, asks it whether the request may
// run, and tells it how the request has ended.
package recorder

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/journaler"
	"github.com/turmericlift/turmericlift/ranker"
	"github.com/turmericlift/turmericlift/storer"
	"github.com/turmericlift/turmericlift/supervisor"
	"github.com/turmericlift/turmericlift/transporter"
)

// Store is the platform's object API as far as a journal needs it.
type Store interface {
	Read(ctx context.Context, name string) (storer.Object, error)
	Write(ctx context.Context, name string, expected identifier.Version, data []byte) (identifier.Version, error)
}

// Caller sends a call to another instance.
type Caller interface {
	Call(ctx context.Context, address string, kind transporter.Kind, data []byte) ([]byte, error)
}

// View is what the control loop publishes for the recorder.
type View struct {
	// Live holds the address of each live instance, without this one.
	Live map[identifier.Instance]string
}

// Group names one journal.
type Group struct {
	Service identifier.ServiceName
	Number  int
}

// Recorder is one instance's end of all journals. It is safe for concurrent use.
type Recorder struct {
	self        identifier.Instance
	incarnation identifier.Incarnation
	store       Store
	caller      Caller
	clock       func() time.Time
	view        atomic.Pointer[View]
	tasks       *supervisor.Group

	mu      sync.Mutex
	handles map[Group]*keeperHandle
}

// New returns the Recorder of an instance's process; tasks runs its platform calls.
func New(self identifier.Instance, inc identifier.Incarnation, s Store, c Caller,
	tasks *supervisor.Group, clock func() time.Time) *Recorder {
	r := &Recorder{self: self, incarnation: inc, store: s, caller: c, tasks: tasks, clock: clock, handles: map[Group]*keeperHandle{}}
	r.view.Store(&View{})
	return r
}

// Publish replaces the view.
func (r *Recorder) Publish(v *View) { r.view.Store(v) }

// Ticket is the right to run a request, to be given back with its end.
type Ticket struct {
	Group   Group
	ID      identifier.RequestID
	Nonce   journaler.Nonce
	Keeper  identifier.Instance
	Options Options
}

// Options are the settings that a journal follows.
type Options struct {
	Retention time.Duration
	InMemory  bool
}

// optionsOf returns a service's options.
func optionsOf(s configurer.Effective) Options {
	return Options{s.OutcomeRetention, s.OutcomeRecord == configurer.RecordMemory}
}

// Call is what recorders ask each other: exactly one field is set.
type Call struct {
	Begin *BeginCall `cbor:",omitempty"`
	End   *EndCall   `cbor:",omitempty"`
}

// BeginCall asks whether a request may run.
type BeginCall struct {
	Group       Group
	ID          identifier.RequestID
	Fingerprint answerer.Fingerprint
	Remaining   time.Duration
	Options     Options
}

// EndCall tells how a request has ended.
type EndCall struct {
	Ticket Ticket
	Answer answerer.Answer
}

// endTimeout bounds the time to tell a keeper how a request has ended.
const endTimeout = 2 * time.Second

// Begin asks whether a request may run, and waits for the verdict.
func (r *Recorder) Begin(ctx context.Context, req answerer.Request, s configurer.Effective) (journaler.Verdict, Ticket) {
	group := groupOf(req.Service, req.ID, s)
	call := BeginCall{group, req.ID, req.Fingerprint(), req.Remaining, optionsOf(s)}
	keeper, address := r.keeperOf(group)
	verdict := journaler.Verdict{Decision: journaler.Unavailable}
	if keeper == r.self {
		verdict = r.begin(ctx, call)
	} else if reply, err := r.ask(ctx, address, Call{Begin: &call}); err == nil {
		verdict = reply
	}
	return verdict, Ticket{group, req.ID, verdict.Nonce, keeper, call.Options}
}

func (r *Recorder) ask(ctx context.Context, address string, call Call) (journaler.Verdict, error) {
	data, err := cbor.Marshal(call)
	if err != nil {
		return journaler.Verdict{}, fmt.Errorf("encode recorder call: %w", err)
	}
	reply, err := r.caller.Call(ctx, address, transporter.KindRecord, data)
	if err != nil {
		return journaler.Verdict{}, err
	}
	var v journaler.Verdict
	return v, cbor.Unmarshal(reply, &v)
}

// End tells the keeper how a request has ended.
func (r *Recorder) End(ctx context.Context, t Ticket, a answerer.Answer) {
	a.Header = nil
	if len(a.Body) > journaler.MaxKeptBody {
		a.Body = nil
	}
	end := EndCall{t, a}
	if t.Keeper == r.self {
		r.end(end)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	if address, ok := r.view.Load().Live[t.Keeper]; ok {
		// A keeper that does not hear of the end answers resends with InDoubt.
		_, _ = r.ask(ctx, address, Call{End: &end})
	}
}

// keeperOf returns the instance that keeps a group: the first live one by rank. Two
// that each believe to be it are kept apart by the platform.
func (r *Recorder) keeperOf(g Group) (identifier.Instance, string) {
	live := r.view.Load().Live
	candidates := []identifier.Instance{r.self}
	for i := range live {
		candidates = append(candidates, i)
	}
	top, _ := ranker.Top(ObjectName(g), candidates)
	return top, live[top]
}

// Serve answers another recorder's encoded call. An answer that does not decode says
// that the keeper cannot tell.
func (r *Recorder) Serve(ctx context.Context, data []byte) []byte {
	var call Call
	if err := cbor.Unmarshal(data, &call); err != nil {
		return nil
	}
	var v journaler.Verdict
	switch {
	case call.Begin != nil:
		v = r.begin(ctx, *call.Begin)
	case call.End != nil:
		r.end(*call.End)
	}
	reply, err := cbor.Marshal(v)
	if err != nil {
		return nil
	}
	return reply
}

// groupOf returns the group of a request.
func groupOf(service identifier.ServiceName, id identifier.RequestID, s configurer.Effective) Group {
	return Group{service, int(xxhash.Sum64String(string(id)) % uint64(max(1, s.JournalGroups)))}
}

// Found is what is recorded of a request.
type Found struct {
	Outcome answerer.Outcome
	Status  int `json:",omitempty"`
}

// ErrNotRecorded says that nothing is recorded of the request.
var ErrNotRecorded = errors.New("nothing is recorded of the request")

// Find returns what the platform has recorded of a request.
func (r *Recorder) Find(ctx context.Context, service identifier.ServiceName, id identifier.RequestID, s configurer.Effective) (Found, error) {
	o, err := r.store.Read(ctx, ObjectName(groupOf(service, id, s)))
	if errors.Is(err, storer.ErrNotFound) {
		return Found{}, ErrNotRecorded
	}
	if err != nil {
		return Found{}, err
	}
	j, err := journaler.Decode(o.Data)
	if err != nil {
		return Found{}, err
	}
	e, ok := j.Find(id)
	switch {
	case !ok:
		return Found{}, ErrNotRecorded
	case e.State == journaler.Ended:
		return Found{answerer.Ran, e.Status}, nil
	}
	return Found{Outcome: answerer.Unknown}, nil
}
