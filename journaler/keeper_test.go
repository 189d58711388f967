package journaler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/identifier"
)

// harness drives several journal writers of one group against one simulated object. Calls and
// answers are delivered in a random order, answers are lost, and journal writers are replaced.
type harness struct {
	rand          *rand.Rand
	now           time.Time
	writers       []*Writer
	pendingEvents []func()
	version       identifier.Version
	data          []byte
	down          bool
	loseOneIn     int // One platform answer in loseOneIn is lost; 0: none.
	lastToken     Token
	requestIDs    map[Token]identifier.RequestID
	runs          map[identifier.RequestID]int
	decisions     map[Decision]int
	violations    []string
}

func newHarness(seed uint64, writers, loseOneIn int) *harness {
	h := &harness{
		rand: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1e6, 0), loseOneIn: loseOneIn,
		requestIDs: map[Token]identifier.RequestID{}, runs: map[identifier.RequestID]int{}, decisions: map[Decision]int{},
	}
	for n := range writers {
		h.writers = append(h.writers, nil)
		h.replace(n)
	}
	return h
}

func (h *harness) replace(n int) {
	h.lastToken++
	h.writers[n] = NewWriter(Config{
		Self: identifier.Instance(fmt.Sprint("keeper-", n)), Incarnation: identifier.Incarnation(h.lastToken),
		Retention: time.Hour, WriteInterval: 50 * time.Millisecond,
	})
}

func (h *harness) schedule(run func()) { h.pendingEvents = append(h.pendingEvents, run) }

// deliver runs one of the pending events, chosen at random.
func (h *harness) deliver() {
	if len(h.pendingEvents) == 0 {
		return
	}
	n := h.rand.IntN(len(h.pendingEvents))
	run := h.pendingEvents[n]
	h.pendingEvents = append(h.pendingEvents[:n], h.pendingEvents[n+1:]...)
	run()
}

func (h *harness) answerLost() bool { return h.loseOneIn > 0 && h.rand.IntN(h.loseOneIn) == 0 }

func (h *harness) perform(w *Writer, out Output) {
	for _, v := range out.Results {
		h.applyResult(w, v)
	}
	if out.NeedsRead {
		h.schedule(func() { h.read(w) })
	}
	if out.Write != nil {
		h.schedule(func() { h.write(w, out.Expected, out.Write) })
	}
}

func (h *harness) read(w *Writer) {
	if h.down || h.answerLost() {
		h.schedule(func() { h.perform(w, w.HandleReadFailed(h.now)) })
		return
	}
	v, j := h.version, NewJournal()
	if h.data != nil {
		j, _ = Decode(h.data)
	}
	h.schedule(func() { h.perform(w, w.HandleJournal(h.now, v, j)) })
}

func (h *harness) write(w *Writer, expected identifier.Version, data []byte) {
	if h.down || expected != h.version {
		h.schedule(func() { h.perform(w, w.HandleWriteUncertain(h.now)) })
		return
	}
	h.version++
	h.data = data
	v := h.version
	if h.answerLost() {
		h.schedule(func() { h.perform(w, w.HandleWriteUncertain(h.now)) })
		return
	}
	h.schedule(func() { h.perform(w, w.HandleWritten(h.now, v)) })
}

// applyResult acts on the result of a Begin. A request that may run either runs or ends with
// NotRun, and its end is mostly reported. It notes a violation if a request runs twice, or is
// reported as already run but has never run.
func (h *harness) applyResult(w *Writer, v BeginResult) {
	id := h.requestIDs[v.Token]
	delete(h.requestIDs, v.Token)
	h.decisions[v.Decision]++
	if v.Decision == AlreadyRan && h.runs[id] == 0 {
		h.violations = append(h.violations, fmt.Sprintf("%s: reported as already run, but has never run", id))
	}
	if v.Decision != Run {
		return
	}
	a := answerer.Answer{Outcome: answerer.NotRun}
	if h.rand.IntN(4) > 0 {
		h.runs[id]++
		a = answerer.Answer{Outcome: answerer.Ran, Status: 200}
	}
	if h.runs[id] > 1 {
		h.violations = append(h.violations, fmt.Sprintf("%s: ran %d times, want at most once", id, h.runs[id]))
	}
	if h.rand.IntN(5) > 0 { // Otherwise the instance that ran it has crashed.
		h.schedule(func() { h.perform(w, w.End(h.now, End{ID: id, Nonce: v.Nonce, Answer: a})) })
	}
}

func (h *harness) beginRequest() {
	h.lastToken++
	id := identifier.RequestID(fmt.Sprint("request-", h.rand.IntN(6)))
	w := h.writers[h.rand.IntN(len(h.writers))]
	h.requestIDs[h.lastToken] = id
	h.perform(w, w.Begin(h.now, Begin{Token: h.lastToken, ID: id, Fingerprint: 1, Deadline: h.now.Add(time.Second)}))
}

func (h *harness) step() {
	h.now = h.now.Add(time.Duration(h.rand.IntN(20)) * time.Millisecond)
	switch n := h.rand.IntN(100); {
	case n < 25:
		h.beginRequest()
	case n < 27:
		h.replace(h.rand.IntN(len(h.writers)))
	case n < 29:
		h.down = !h.down
	case n < 45:
		w := h.writers[h.rand.IntN(len(h.writers))]
		h.perform(w, w.Tick(h.now))
	default:
		h.deliver()
	}
}

// TestRunsOnce guards against a request that runs twice. A few request IDs are sent many times
// through several journal writers while answers of the platform are lost, calls are reordered
// and journal writers are replaced.
func TestRunsOnce(t *testing.T) {
	t.Parallel()
	total := map[Decision]int{}
	draw := rapid.Custom(func(t *rapid.T) [3]int {
		return [3]int{
			rapid.IntRange(0, 1<<30).Draw(t, "Seed"), rapid.IntRange(1, 3).Draw(t, "Writers"), rapid.IntRange(0, 6).Draw(t, "Lose"),
		}
	})
	for seed := range 3000 {
		s := draw.Example(seed)
		h := newHarness(uint64(s[0]), s[1], s[2])
		for range 400 {
			h.step()
		}
		if len(h.violations) > 0 {
			t.Fatalf("seed %d, case (seed, journal writers, one answer in so many lost) %v: %v", seed, s, h.violations[0])
		}
		for d, n := range h.decisions {
			total[d] += n
		}
	}
	for _, d := range []Decision{Run, AlreadyRan, InDoubt, Unavailable} {
		if total[d] == 0 {
			t.Errorf("decision %d was not reached by any seed", d)
		}
	}
}

// TestRunsAfterWithdrawal guards against a request that stays refused although it has not run.
// The answer to the write that records it is lost, so the journal is read back before the
// request may run; it ends with NotRun, and a retry must be allowed to run.
func TestRunsAfterWithdrawal(t *testing.T) {
	t.Parallel()
	now := time.Unix(1e6, 0)
	w := NewWriter(Config{Self: "keeper-0", Incarnation: 1, Retention: time.Hour, WriteInterval: time.Second})
	begin := Begin{Token: 1, ID: "request-1", Fingerprint: 1, Deadline: now.Add(time.Second)}
	if out := w.Begin(now, begin); !out.NeedsRead {
		t.Fatalf("Begin: output %+v, want a read of the journal", out)
	}
	out := w.HandleJournal(now, 0, NewJournal())
	if out.Write == nil {
		t.Fatalf("HandleJournal: output %+v, want a write that records the request", out)
	}
	written, err := Decode(out.Write)
	if err != nil {
		t.Fatal(err)
	}
	w.HandleWriteUncertain(now)
	out = w.HandleJournal(now, 1, written)
	if len(out.Results) != 1 || out.Results[0].Decision != Run {
		t.Fatalf("after the answer to the write was lost: results %+v, want one with Run", out.Results)
	}
	w.End(now, End{ID: "request-1", Nonce: out.Results[0].Nonce, Answer: answerer.Answer{Outcome: answerer.NotRun}})
	begin.Token = 2
	now = now.Add(2 * time.Second)
	begin.Deadline = now.Add(time.Second)
	out = w.Begin(now, begin)
	if out.Write == nil {
		t.Fatalf("retry: output %+v, want a write that records the request again", out)
	}
	if out = w.HandleWritten(now, 2); len(out.Results) != 1 || out.Results[0].Decision != Run {
		t.Fatalf("retry after the write: output %+v, want one result with Run", out.Results)
	}
}

// TestDecisions checks the decision on a retry for each kind of record that the journal may have
// of it, and the decision on a request ID that is older than the retention.
func TestDecisions(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_700_000_000, 0)
	recorded := func(e Entry) *Journal {
		j := NewJournal()
		e.RecordedAt = now
		j.entries["request-1"] = e
		return j
	}
	cases := []struct {
		name    string
		id      identifier.RequestID
		journal *Journal
		want    Decision
	}{
		{"Ended", "request-1", recorded(Entry{Fingerprint: 1, State: Ended, Status: 200}), AlreadyRan},
		{"StartedElsewhere", "request-1", recorded(Entry{Fingerprint: 1, Nonce: Nonce{"keeper-9", 1, 1}}), InDoubt},
		{"OtherRequest", "request-1", recorded(Entry{Fingerprint: 2, State: Ended}), IDReused},
		{"OldUUID", "00000000-0000-7000-8000-000000000000", NewJournal(), IDTooOld},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := NewWriter(Config{Self: "keeper-0", Incarnation: 1, Retention: time.Hour})
			out := w.Begin(now, Begin{Token: 1, ID: c.id, Fingerprint: 1, Deadline: now.Add(time.Second)})
			if out.NeedsRead {
				out = w.HandleJournal(now, 1, c.journal)
			}
			if len(out.Results) != 1 || out.Results[0].Decision != c.want {
				t.Errorf("results %+v, want one with decision %d", out.Results, c.want)
			}
		})
	}
}

// FuzzDecode guards against a decoder that panics on arbitrary data, or that accepts a journal
// which cannot be encoded again.
func FuzzDecode(f *testing.F) {
	j := NewJournal()
	_ = j.Start("request-1", Entry{Fingerprint: 1, RecordedAt: time.Unix(1, 0)})
	data, err := j.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xa1})
	f.Fuzz(func(t *testing.T, data []byte) {
		j, err := Decode(data)
		if err != nil {
			return
		}
		if _, err := j.Encode(); err != nil {
			t.Errorf("a journal that was decoded cannot be encoded again: %v", err)
		}
	})
}
