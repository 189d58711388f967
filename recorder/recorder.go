// Package recorder connects the request path to the journal writers of package journaler. It
// finds the instance whose journal writer is responsible for the group of a request, asks it
// whether the request may run, and reports the request's outcome to it.
//
// Start in recorder.go: it has the Recorder, its calls to other instances and the look-up of
// recorded outcomes. handle.go runs the journal writers of this instance and performs their
// platform calls.
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

// Store has the calls of the platform's object API that a journal needs. storer.Client implements it.
type Store interface {
	Read(ctx context.Context, name string) (storer.Object, error)
	Write(ctx context.Context, name string, expected identifier.Version, data []byte) (identifier.Version, error)
}

// Caller sends a call to the instance at an address and returns its answer.
type Caller interface {
	Call(ctx context.Context, address string, kind transporter.Kind, data []byte) ([]byte, error)
}

// View is the state that the control loop publishes for the recorder.
type View struct {
	// LiveAddresses holds the peer address of each live instance except this one.
	LiveAddresses map[identifier.Instance]string
}

// JournalGroup identifies the journal of one group of requests: a service and the number of the group,
// from 0 to the service's JournalGroups - 1.
type JournalGroup struct {
	Service identifier.ServiceName
	Number  int
}

// Recorder records the requests of one instance in the journals, through the journal writers of
// this and of other instances. It is safe for concurrent use.
type Recorder struct {
	self        identifier.Instance
	incarnation identifier.Incarnation
	store       Store
	caller      Caller
	clock       func() time.Time
	view        atomic.Pointer[View]
	tasks       *supervisor.Group

	mu      sync.Mutex
	handles map[JournalGroup]*writerHandle
}

// New returns the Recorder of an instance's process. Its platform calls run in tasks. Until the
// first Publish, no other instance is live in its view.
func New(self identifier.Instance, inc identifier.Incarnation, s Store, c Caller,
	tasks *supervisor.Group, clock func() time.Time) *Recorder {
	r := &Recorder{self: self, incarnation: inc, store: s, caller: c, tasks: tasks, clock: clock, handles: map[JournalGroup]*writerHandle{}}
	r.view.Store(&View{})
	return r
}

// Publish replaces the view. The caller must not change v afterwards.
func (r *Recorder) Publish(v *View) { r.view.Store(v) }

// RunPermit permits its holder to run a request. It must be passed to Recorder.End with the outcome.
type RunPermit struct {
	Group   JournalGroup
	ID      identifier.RequestID
	Nonce   journaler.Nonce
	Writer  identifier.Instance `cbor:"Keeper"` // The instance of the journal writer that decided on the request.
	Options Options
}

// Options are the settings of a service that apply to its journals.
type Options struct {
	Retention time.Duration
	InMemory  bool
}

// optionsOf returns the options in a service's settings.
func optionsOf(s configurer.EffectiveSettings) Options {
	return Options{s.OutcomeRetention, s.OutcomeRecord == configurer.RecordMemory}
}

// Call is a call from one instance's recorder to another's. Exactly one field is set.
type Call struct {
	Begin *BeginCall `cbor:",omitempty"`
	End   *EndCall   `cbor:",omitempty"`
}

// BeginCall asks whether a request may run.
type BeginCall struct {
	Group       JournalGroup
	ID          identifier.RequestID
	Fingerprint answerer.Fingerprint
	Remaining   time.Duration // The time left until the request's deadline.
	Options     Options
}

// EndCall reports the outcome of a request.
type EndCall struct {
	Permit RunPermit `cbor:"Ticket"`
	Answer answerer.Answer
}

// endTimeout bounds the call that reports an outcome to another instance.
const endTimeout = 2 * time.Second

// Begin asks whether a request may run and waits for the decision. It returns journaler.Unavailable
// if the instance with the journal writer cannot be reached. If the decision is journaler.Run, the
// caller must pass the second result to End with the outcome; with any other decision it has no use.
func (r *Recorder) Begin(ctx context.Context, req answerer.Request, s configurer.EffectiveSettings) (journaler.BeginResult, RunPermit) {
	group := groupOf(req.Service, req.ID, s)
	call := BeginCall{group, req.ID, req.Fingerprint(), req.Remaining, optionsOf(s)}
	writer, address := r.writerOf(group)
	result := journaler.BeginResult{Decision: journaler.Unavailable}
	if writer == r.self {
		result = r.beginHere(ctx, call)
	} else if reply, err := r.callPeer(ctx, address, Call{Begin: &call}); err == nil {
		result = reply
	}
	return result, RunPermit{group, req.ID, result.Nonce, writer, call.Options}
}

// callPeer sends a call to the recorder at address and returns its result.
func (r *Recorder) callPeer(ctx context.Context, address string, call Call) (journaler.BeginResult, error) {
	data, err := cbor.Marshal(call)
	if err != nil {
		return journaler.BeginResult{}, fmt.Errorf("encode recorder call: %w", err)
	}
	reply, err := r.caller.Call(ctx, address, transporter.KindRecord, data)
	if err != nil {
		return journaler.BeginResult{}, err
	}
	var v journaler.BeginResult
	return v, cbor.Unmarshal(reply, &v)
}

// End reports the outcome of a request to the journal writer that allowed it to run. Another
// instance is called once, also after ctx has ended, and an error is ignored.
func (r *Recorder) End(ctx context.Context, permit RunPermit, a answerer.Answer) {
	a.Header = nil
	if len(a.Body) > journaler.MaxKeptBody {
		a.Body = nil
	}
	end := EndCall{permit, a}
	if permit.Writer == r.self {
		r.endHere(end)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	if address, ok := r.view.Load().LiveAddresses[permit.Writer]; ok {
		// If the report is lost, retries of the request get the decision InDoubt.
		_, _ = r.callPeer(ctx, address, Call{End: &end})
	}
}

// writerOf returns the instance whose journal writer is responsible for a group, the live instance
// that ranks first, and its address, which is empty for this instance. Two instances that both
// consider themselves responsible cannot both record a request: the platform's conditional writes
// prevent it.
func (r *Recorder) writerOf(g JournalGroup) (identifier.Instance, string) {
	live := r.view.Load().LiveAddresses
	candidates := []identifier.Instance{r.self}
	for i := range live {
		candidates = append(candidates, i)
	}
	top, _ := ranker.Top(ObjectName(g), candidates)
	return top, live[top]
}

// Serve returns the encoded result of another recorder's encoded call. It returns nil if the call
// does not decode or the result cannot be encoded; the calling recorder then cannot decode the
// answer and decides journaler.Unavailable.
func (r *Recorder) Serve(ctx context.Context, data []byte) []byte {
	var call Call
	if err := cbor.Unmarshal(data, &call); err != nil {
		return nil
	}
	var v journaler.BeginResult
	switch {
	case call.Begin != nil:
		v = r.beginHere(ctx, *call.Begin)
	case call.End != nil:
		r.endHere(*call.End)
	}
	reply, err := cbor.Marshal(v)
	if err != nil {
		return nil
	}
	return reply
}

// groupOf returns the group of a request, by a hash of its ID.
func groupOf(service identifier.ServiceName, id identifier.RequestID, s configurer.EffectiveSettings) JournalGroup {
	return JournalGroup{service, int(xxhash.Sum64String(string(id)) % uint64(max(1, s.JournalGroups)))}
}

// RecordedOutcome is the recorded outcome of a request.
type RecordedOutcome struct {
	Outcome answerer.Outcome
	Status  int `json:",omitempty"` // The HTTP status of the answer; 0 if the outcome is unknown.
}

// ErrNotRecorded reports that the journal on the platform has no record of the request.
var ErrNotRecorded = errors.New("the platform has no record of the request")

// Find returns the outcome of a request as recorded on the platform: answerer.Ran with the status,
// or answerer.Unknown if the request was started and its outcome is not recorded. It returns
// ErrNotRecorded if there is no record, and otherwise the error of the platform call or of the
// decoder.
func (r *Recorder) Find(ctx context.Context, service identifier.ServiceName, id identifier.RequestID, s configurer.EffectiveSettings) (RecordedOutcome, error) {
	o, err := r.store.Read(ctx, ObjectName(groupOf(service, id, s)))
	if errors.Is(err, storer.ErrNotFound) {
		return RecordedOutcome{}, ErrNotRecorded
	}
	if err != nil {
		return RecordedOutcome{}, err
	}
	j, err := journaler.Decode(o.Data)
	if err != nil {
		return RecordedOutcome{}, err
	}
	e, ok := j.Find(id)
	switch {
	case !ok:
		return RecordedOutcome{}, ErrNotRecorded
	case e.State == journaler.Ended:
		return RecordedOutcome{answerer.Ran, e.Status}, nil
	}
	return RecordedOutcome{Outcome: answerer.Unknown}, nil
}
