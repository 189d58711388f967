package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/journaler"
	"github.com/turmericlift/turmericlift/partitioner"
	"github.com/turmericlift/turmericlift/prober"
	"github.com/turmericlift/turmericlift/recorder"
	"github.com/turmericlift/turmericlift/router"
	"github.com/turmericlift/turmericlift/transporter"
)

// scripted is a Coordinator that gives its answers in order; it repeats the last one.
type scripted struct {
	answers  []answerer.Answer
	attempts int
}

func (s *scripted) Handle(context.Context, answerer.Request) answerer.Answer {
	s.attempts++
	return s.answers[min(s.attempts, len(s.answers))-1]
}

// fixedRecorder is a Recorder that returns the same decision for every request and keeps the answers given
// to End.
type fixedRecorder struct {
	decision journaler.Decision
	ended    []answerer.Answer
}

func (a *fixedRecorder) Begin(context.Context, answerer.Request, configurer.EffectiveSettings) (journaler.BeginResult, recorder.RunPermit) {
	return journaler.BeginResult{Decision: a.decision}, recorder.RunPermit{}
}

func (a *fixedRecorder) End(_ context.Context, _ recorder.RunPermit, answer answerer.Answer) {
	a.ended = append(a.ended, answer)
}

// quarantineAll reports every request as quarantined.
type quarantineAll struct{}

func (quarantineAll) Blocked(answerer.Request) bool { return true }

// failingCaller is a Caller whose calls all fail with err.
type failingCaller struct{ err error }

func (b failingCaller) Call(context.Context, string, transporter.Kind, []byte) ([]byte, error) {
	return nil, b.err
}

var keyed = identifier.ServiceName{Organisation: "quokka", Service: "sitefront"}

// newKeyed returns a Dispatcher of a keyed service with one backend server. coordinator names the instance
// that coordinates the server; instance-0 is the Dispatcher's own.
func newKeyed(t *testing.T, deps Dependencies, coordinator identifier.Instance) *Dispatcher {
	t.Helper()
	a, err := partitioner.New(1)
	if err != nil {
		t.Fatal(err)
	}
	if err := a.SetFirstOwner(0, partitioner.Server{ID: "server-0", Zone: "zone-0"}); err != nil {
		t.Fatal(err)
	}
	deps.Self, deps.Clock = prober.Peer{Instance: "instance-0", Zone: "zone-0"}, time.Now
	d := New(deps)
	d.Publish(&View{
		Table: &router.Table{Services: map[identifier.ServiceName]*router.Service{keyed: {
			Name: keyed, Assignment: a, Settings: configurer.EffectiveSettings{Keyed: true, RetryPercent: 20},
			Servers: map[identifier.BackendServer]*router.Server{"server-0": {ID: "server-0", Coordinator: coordinator}},
		}}},
		Peers: map[identifier.Instance]prober.Peer{"instance-1": {Instance: "instance-1", Address: "127.0.0.1:1"}},
	})
	return d
}

// TestRetries guards against two failures: a retry of a request that may have run and is not idempotent,
// which could run twice, and an error for a request that could have been retried. It gives one answer to
// the first attempt and checks how many attempts follow, the caller's outcome, and that the journal
// records the same outcome.
func TestRetries(t *testing.T) {
	t.Parallel()
	ran := answerer.Answer{Outcome: answerer.Ran, Status: 200}
	notRun := func(c answerer.Code) answerer.Answer { return answerer.Refuse(c, "") }
	unknown := func(c answerer.Code) answerer.Answer { return answerer.Indeterminate(c, "") }
	cases := []struct {
		name       string
		idempotent bool
		first      answerer.Answer
		attempts   int
	}{
		{"Ran", true, ran, 1},
		{"RanNotIdempotent", false, ran, 1},
		{"MovingIsRetried", false, notRun(answerer.CodeMoving), 2},
		{"FencedIsRetried", false, notRun(answerer.CodeFenced), 2},
		{"ShedIsRetried", false, notRun(answerer.CodeShed), 2},
		{"QueueFullIsNotRetried", true, notRun(answerer.CodeQueueFull), 1},
		{"ExpiredIsNotRetried", true, notRun(answerer.CodeExpired), 1},
		{"BrokenIdempotentIsRetried", true, unknown(answerer.CodeBackendBroke), 2},
		{"BrokenNotIdempotentIsNotRetried", false, unknown(answerer.CodeBackendBroke), 1},
		{"LostKeyIdempotentIsRetried", true, unknown(answerer.CodeFenced), 2},
		{"LostKeyNotIdempotentIsNotRetried", false, unknown(answerer.CodeFenced), 1},
		{"CancelledIsNotRetried", true, unknown(answerer.CodeCancelled), 1},
		{"TooLargeIsNotRetried", true, unknown(answerer.CodeAnswerTooLarge), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := &scripted{answers: []answerer.Answer{c.first, ran}}
			record := &fixedRecorder{decision: journaler.Run}
			d := newKeyed(t, Dependencies{LocalCoordinator: s, Recorder: record, Quarantine: noQuarantine{}}, "instance-0")
			got := d.Dispatch(context.Background(), answerer.Request{Service: keyed, Key: "k", Idempotent: c.idempotent, Remaining: time.Minute})
			if s.attempts != c.attempts {
				t.Errorf("the request was attempted %d times, want %d", s.attempts, c.attempts)
			}
			want := c.first.Outcome
			if c.attempts > 1 {
				want = answerer.Ran
			}
			if got.Outcome != want {
				t.Errorf("the caller's outcome is %s, want %s", got.Outcome, want)
			}
			if !c.idempotent && (len(record.ended) != 1 || record.ended[0].Outcome != got.Outcome) {
				t.Errorf("the journal recorded the answers %+v, want one with the caller's outcome %s", record.ended, got.Outcome)
			}
		})
	}
}

// TestRefusedByJournal guards against running a request that the journal does not allow to run, and
// against an outcome for its caller that does not follow from the journal's decision.
func TestRefusedByJournal(t *testing.T) {
	t.Parallel()
	cases := map[journaler.Decision]answerer.Outcome{
		journaler.InDoubt: answerer.Unknown, journaler.IDReused: answerer.NotRun, journaler.Unavailable: answerer.NotRun,
		journaler.DeadlineExceeded: answerer.NotRun, journaler.JournalFull: answerer.NotRun, journaler.IDTooOld: answerer.Unknown,
	}
	for decision, want := range cases {
		s := &scripted{answers: []answerer.Answer{{Outcome: answerer.Ran}}}
		d := newKeyed(t, Dependencies{LocalCoordinator: s, Recorder: &fixedRecorder{decision: decision}, Quarantine: noQuarantine{}}, "instance-0")
		got := d.Dispatch(context.Background(), answerer.Request{Service: keyed, Key: "k", Remaining: time.Minute})
		if got.Outcome != want || s.attempts != 0 {
			t.Errorf("decision %d: outcome %s after %d attempts, want %s and no attempt", decision, got.Outcome, s.attempts, want)
		}
	}
}

// TestCallErrors checks the caller's outcome when the coordinator is another instance and the call to it
// fails. The request has not run if the coordinator could not be reached; else the outcome is unknown.
func TestCallErrors(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		err  error
		want answerer.Outcome
	}{
		{"Unreachable", &transporter.UnreachableError{Address: "127.0.0.1:1", Err: context.DeadlineExceeded}, answerer.NotRun},
		{"Broke", context.DeadlineExceeded, answerer.Unknown},
	}
	for _, c := range cases {
		d := newKeyed(t, Dependencies{Recorder: &fixedRecorder{}, Quarantine: noQuarantine{}, Caller: failingCaller{c.err}}, "instance-1")
		got := d.Dispatch(context.Background(), answerer.Request{Service: keyed, Key: "k", Remaining: 300 * time.Millisecond})
		if got.Outcome != c.want {
			t.Errorf("%s: answer %+v, want outcome %s", c.name, got, c.want)
		}
	}
}

// TestQuarantined guards against sending a quarantined request to a coordinator.
func TestQuarantined(t *testing.T) {
	t.Parallel()
	s := &scripted{answers: []answerer.Answer{{Outcome: answerer.Ran}}}
	d := newKeyed(t, Dependencies{LocalCoordinator: s, Recorder: &fixedRecorder{}, Quarantine: quarantineAll{}}, "instance-0")
	got := d.Dispatch(context.Background(), answerer.Request{Service: keyed, Key: "k", Idempotent: true, Remaining: time.Minute})
	if got.Code != answerer.CodeQuarantined || s.attempts != 0 {
		t.Errorf("answer %+v after %d attempts, want code Quarantined and no attempt", got, s.attempts)
	}
}

// FuzzServe passes arbitrary bytes to Serve as a request of another instance. Each must get an answer that
// decodes and has a valid outcome.
func FuzzServe(f *testing.F) {
	data, err := cbor.Marshal(answerer.Request{Service: keyed, Key: "k", Body: []byte("x")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		d := New(Dependencies{LocalCoordinator: &scripted{answers: []answerer.Answer{{Outcome: answerer.Ran}}}, Clock: time.Now})
		var a answerer.Answer
		if err := cbor.Unmarshal(d.Serve(context.Background(), data), &a); err != nil || !a.Outcome.Valid() {
			t.Errorf("the answer %+v does not decode or has no valid outcome: %v", a, err)
		}
	})
}
