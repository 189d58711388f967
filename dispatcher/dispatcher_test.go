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

// scripted answers attempts in order, the last answer again and again.
type scripted struct {
	answers  []answerer.Answer
	attempts int
}

func (s *scripted) Handle(context.Context, answerer.Request) answerer.Answer {
	s.attempts++
	return s.answers[min(s.attempts, len(s.answers))-1]
}

// allowing lets every request run, and keeps what it is told of the end.
type allowing struct {
	decision journaler.Decision
	ended    []answerer.Answer
}

func (a *allowing) Begin(context.Context, answerer.Request, configurer.Effective) (journaler.Verdict, recorder.Ticket) {
	return journaler.Verdict{Decision: a.decision}, recorder.Ticket{}
}

func (a *allowing) End(_ context.Context, _ recorder.Ticket, answer answerer.Answer) {
	a.ended = append(a.ended, answer)
}

type blocking struct{}

func (blocking) Blocked(answerer.Request) bool { return true }

// breaking loses every call after it was sent.
type breaking struct{ err error }

func (b breaking) Call(context.Context, string, transporter.Kind, []byte) ([]byte, error) {
	return nil, b.err
}

var keyed = identifier.ServiceName{Organisation: "quokka", Service: "sitefront"}

// newKeyed returns a dispatcher of a service with one server, which the instance
// coordinates itself unless another one is named.
func newKeyed(t *testing.T, p Parts, coordinator identifier.Instance) *Dispatcher {
	t.Helper()
	a, err := partitioner.New(1)
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Place(0, partitioner.Server{ID: "server-0", Zone: "zone-0"}); err != nil {
		t.Fatal(err)
	}
	p.Self, p.Clock = prober.Peer{Instance: "instance-0", Zone: "zone-0"}, time.Now
	d := New(p)
	d.Publish(&View{
		Table: &router.Table{Services: map[identifier.ServiceName]*router.Service{keyed: {
			Name: keyed, Assignment: a, Settings: configurer.Effective{Keyed: true, RetryPercent: 20},
			Servers: map[identifier.BackendServer]*router.Server{"server-0": {ID: "server-0", Coordinator: coordinator}},
		}}},
		Peers: map[identifier.Instance]prober.Peer{"instance-1": {Instance: "instance-1", Address: "127.0.0.1:1"}},
	})
	return d
}

// TestAttempts is the table of which answers lead to another attempt.
func TestAttempts(t *testing.T) {
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
		{"RanOnce", false, ran, 1},
		{"MovingIsTriedAgain", false, notRun(answerer.CodeMoving), 2},
		{"FencedIsTriedAgain", false, notRun(answerer.CodeFenced), 2},
		{"ShedIsTriedAgain", false, notRun(answerer.CodeShed), 2},
		{"FullQueueIsNot", true, notRun(answerer.CodeQueueFull), 1},
		{"ExpiredIsNot", true, notRun(answerer.CodeExpired), 1},
		{"BrokenIdempotentIsTriedAgain", true, unknown(answerer.CodeBackendBroke), 2},
		{"BrokenOnceIsNot", false, unknown(answerer.CodeBackendBroke), 1},
		{"LostKeyIdempotentIsTriedAgain", true, unknown(answerer.CodeFenced), 2},
		{"LostKeyOnceIsNot", false, unknown(answerer.CodeFenced), 1},
		{"CancelledIsNot", true, unknown(answerer.CodeCancelled), 1},
		{"TooLargeIsNot", true, unknown(answerer.CodeAnswerTooLarge), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := &scripted{answers: []answerer.Answer{c.first, ran}}
			record := &allowing{decision: journaler.Run}
			d := newKeyed(t, Parts{Local: s, Recorder: record, Guard: noGuard{}}, "instance-0")
			got := d.Dispatch(context.Background(), answerer.Request{Service: keyed, Key: "k", Idempotent: c.idempotent, Remaining: time.Minute})
			if s.attempts != c.attempts {
				t.Errorf("%d attempts, want %d", s.attempts, c.attempts)
			}
			want := c.first.Outcome
			if c.attempts > 1 {
				want = answerer.Ran
			}
			if got.Outcome != want {
				t.Errorf("outcome %s, want %s", got.Outcome, want)
			}
			if !c.idempotent && (len(record.ended) != 1 || record.ended[0].Outcome != got.Outcome) {
				t.Errorf("the journal was told %+v, the caller %s", record.ended, got.Outcome)
			}
		})
	}
}

// TestDecisions checks that a request that the journal does not let run reaches no
// coordinator, and what its caller is told.
func TestDecisions(t *testing.T) {
	t.Parallel()
	cases := map[journaler.Decision]answerer.Outcome{
		journaler.InDoubt: answerer.Unknown, journaler.Reused: answerer.NotRun, journaler.Unavailable: answerer.NotRun,
		journaler.Late: answerer.NotRun, journaler.Overfull: answerer.NotRun, journaler.TooOld: answerer.Unknown,
	}
	for decision, want := range cases {
		s := &scripted{answers: []answerer.Answer{{Outcome: answerer.Ran}}}
		d := newKeyed(t, Parts{Local: s, Recorder: &allowing{decision: decision}, Guard: noGuard{}}, "instance-0")
		got := d.Dispatch(context.Background(), answerer.Request{Service: keyed, Key: "k", Remaining: time.Minute})
		if got.Outcome != want || s.attempts != 0 {
			t.Errorf("decision %d: outcome %s, %d attempts; want %s and none", decision, got.Outcome, s.attempts, want)
		}
	}
}

// TestPeers checks what a caller is told when the coordinator is another instance
// that is lost before or after it got the request.
func TestPeers(t *testing.T) {
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
		d := newKeyed(t, Parts{Recorder: &allowing{}, Guard: noGuard{}, Caller: breaking{c.err}}, "instance-1")
		got := d.Dispatch(context.Background(), answerer.Request{Service: keyed, Key: "k", Remaining: 300 * time.Millisecond})
		if got.Outcome != c.want {
			t.Errorf("%s: %+v, want %s", c.name, got, c.want)
		}
	}
}

// TestBlocked checks that a quarantined request reaches no coordinator.
func TestBlocked(t *testing.T) {
	t.Parallel()
	s := &scripted{answers: []answerer.Answer{{Outcome: answerer.Ran}}}
	d := newKeyed(t, Parts{Local: s, Recorder: &allowing{}, Guard: blocking{}}, "instance-0")
	got := d.Dispatch(context.Background(), answerer.Request{Service: keyed, Key: "k", Idempotent: true, Remaining: time.Minute})
	if got.Code != answerer.CodeQuarantined || s.attempts != 0 {
		t.Errorf("%+v after %d attempts", got, s.attempts)
	}
}

// FuzzServe feeds the decoder of requests from other instances.
func FuzzServe(f *testing.F) {
	data, err := cbor.Marshal(answerer.Request{Service: keyed, Key: "k", Body: []byte("x")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		d := New(Parts{Local: &scripted{answers: []answerer.Answer{{Outcome: answerer.Ran}}}, Clock: time.Now})
		var a answerer.Answer
		if err := cbor.Unmarshal(d.Serve(context.Background(), data), &a); err != nil || !a.Outcome.Valid() {
			t.Errorf("answer %+v, %v", a, err)
		}
	})
}
