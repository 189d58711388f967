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

// bench drives several keepers of one group against one object. Calls and answers
// are delivered in a random order; answers are lost, and keepers are replaced.
type bench struct {
	rand    *rand.Rand
	now     time.Time
	keepers []*Keeper
	pending []func()
	version identifier.Version
	data    []byte
	down    bool
	lose    int // One answer in so many is lost.
	next    Token
	asked   map[Token]identifier.RequestID
	runs    map[identifier.RequestID]int
	verdict map[Decision]int
	faults  []string
}

func newBench(seed uint64, keepers, lose int) *bench {
	b := &bench{
		rand: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1e6, 0), lose: lose,
		asked: map[Token]identifier.RequestID{}, runs: map[identifier.RequestID]int{}, verdict: map[Decision]int{},
	}
	for n := range keepers {
		b.keepers = append(b.keepers, nil)
		b.replace(n)
	}
	return b
}

func (b *bench) replace(n int) {
	b.next++
	b.keepers[n] = NewKeeper(Config{
		Self: identifier.Instance(fmt.Sprint("keeper-", n)), Incarnation: identifier.Incarnation(b.next),
		Retention: time.Hour, Pause: 50 * time.Millisecond,
	})
}

func (b *bench) later(run func()) { b.pending = append(b.pending, run) }

// deliver runs one of the pending events.
func (b *bench) deliver() {
	if len(b.pending) == 0 {
		return
	}
	n := b.rand.IntN(len(b.pending))
	run := b.pending[n]
	b.pending = append(b.pending[:n], b.pending[n+1:]...)
	run()
}

func (b *bench) lost() bool { return b.lose > 0 && b.rand.IntN(b.lose) == 0 }

func (b *bench) perform(k *Keeper, out Output) {
	for _, v := range out.Verdicts {
		b.take(k, v)
	}
	if out.Read {
		b.later(func() { b.read(k) })
	}
	if out.Write != nil {
		b.later(func() { b.write(k, out.Expected, out.Write) })
	}
}

func (b *bench) read(k *Keeper) {
	if b.down || b.lost() {
		b.later(func() { b.perform(k, k.ReadFailed(b.now)) })
		return
	}
	v, j := b.version, NewJournal()
	if b.data != nil {
		j, _ = Decode(b.data)
	}
	b.later(func() { b.perform(k, k.Read(b.now, v, j)) })
}

func (b *bench) write(k *Keeper, expected identifier.Version, data []byte) {
	if b.down || expected != b.version {
		b.later(func() { b.perform(k, k.Unsure(b.now)) })
		return
	}
	b.version++
	b.data = data
	v := b.version
	if b.lost() {
		b.later(func() { b.perform(k, k.Unsure(b.now)) })
		return
	}
	b.later(func() { b.perform(k, k.Wrote(b.now, v)) })
}

// take acts on a verdict: a request that may run runs, or turns out not to have.
func (b *bench) take(k *Keeper, v Verdict) {
	id := b.asked[v.Token]
	delete(b.asked, v.Token)
	b.verdict[v.Decision]++
	if v.Decision == Repeated && b.runs[id] == 0 {
		b.faults = append(b.faults, fmt.Sprintf("%s: repeated, and never ran", id))
	}
	if v.Decision != Run {
		return
	}
	a := answerer.Answer{Outcome: answerer.NotRun}
	if b.rand.IntN(4) > 0 {
		b.runs[id]++
		a = answerer.Answer{Outcome: answerer.Ran, Status: 200}
	}
	if b.runs[id] > 1 {
		b.faults = append(b.faults, fmt.Sprintf("%s: ran %d times", id, b.runs[id]))
	}
	if b.rand.IntN(5) > 0 { // Else the instance that ran it is lost.
		b.later(func() { b.perform(k, k.End(b.now, End{ID: id, Nonce: v.Nonce, Answer: a})) })
	}
}

func (b *bench) ask() {
	b.next++
	id := identifier.RequestID(fmt.Sprint("request-", b.rand.IntN(6)))
	k := b.keepers[b.rand.IntN(len(b.keepers))]
	b.asked[b.next] = id
	b.perform(k, k.Begin(b.now, Begin{Token: b.next, ID: id, Fingerprint: 1, Deadline: b.now.Add(time.Second)}))
}

func (b *bench) step() {
	b.now = b.now.Add(time.Duration(b.rand.IntN(20)) * time.Millisecond)
	switch n := b.rand.IntN(100); {
	case n < 25:
		b.ask()
	case n < 27:
		b.replace(b.rand.IntN(len(b.keepers)))
	case n < 29:
		b.down = !b.down
	case n < 45:
		k := b.keepers[b.rand.IntN(len(b.keepers))]
		b.perform(k, k.Tick(b.now))
	default:
		b.deliver()
	}
}

// TestRunsOnce asks for a few request IDs again and again through several keepers:
// none may run twice.
func TestRunsOnce(t *testing.T) {
	t.Parallel()
	total := map[Decision]int{}
	draw := rapid.Custom(func(t *rapid.T) [3]int {
		return [3]int{
			rapid.IntRange(0, 1<<30).Draw(t, "Seed"), rapid.IntRange(1, 3).Draw(t, "Keepers"), rapid.IntRange(0, 6).Draw(t, "Lose"),
		}
	})
	for seed := range 3000 {
		s := draw.Example(seed)
		b := newBench(uint64(s[0]), s[1], s[2])
		for range 400 {
			b.step()
		}
		if len(b.faults) > 0 {
			t.Fatalf("seed %d %v: %v", seed, s, b.faults[0])
		}
		for d, n := range b.verdict {
			total[d] += n
		}
	}
	for _, d := range []Decision{Run, Repeated, InDoubt, Unavailable} {
		if total[d] == 0 {
			t.Errorf("decision %d was never reached", d)
		}
	}
}

// TestRunsAfterWithdrawal checks that a request that has not run may be sent again,
// also when the answer to the write that recorded it was lost.
func TestRunsAfterWithdrawal(t *testing.T) {
	t.Parallel()
	now := time.Unix(1e6, 0)
	k := NewKeeper(Config{Self: "keeper-0", Incarnation: 1, Retention: time.Hour, Pause: time.Second})
	begin := Begin{Token: 1, ID: "request-1", Fingerprint: 1, Deadline: now.Add(time.Second)}
	if out := k.Begin(now, begin); !out.Read {
		t.Fatalf("Begin: %+v, want a read", out)
	}
	out := k.Read(now, 0, NewJournal())
	if out.Write == nil {
		t.Fatalf("Read: %+v, want a write", out)
	}
	written, err := Decode(out.Write)
	if err != nil {
		t.Fatal(err)
	}
	k.Unsure(now)
	out = k.Read(now, 1, written)
	if len(out.Verdicts) != 1 || out.Verdicts[0].Decision != Run {
		t.Fatalf("after the lost answer: %+v, want Run", out.Verdicts)
	}
	k.End(now, End{ID: "request-1", Nonce: out.Verdicts[0].Nonce, Answer: answerer.Answer{Outcome: answerer.NotRun}})
	begin.Token = 2
	now = now.Add(2 * time.Second)
	begin.Deadline = now.Add(time.Second)
	out = k.Begin(now, begin)
	if out.Write == nil {
		t.Fatalf("resend: %+v, want a write that records it again", out)
	}
	if out = k.Wrote(now, 2); len(out.Verdicts) != 1 || out.Verdicts[0].Decision != Run {
		t.Fatalf("resend: %+v, want Run", out.Verdicts)
	}
}

// TestDecisions is the table of what a resend is told.
func TestDecisions(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_700_000_000, 0)
	recorded := func(e Entry) *Journal {
		j := NewJournal()
		e.At = now
		j.entries["request-1"] = e
		return j
	}
	cases := []struct {
		name    string
		id      identifier.RequestID
		journal *Journal
		want    Decision
	}{
		{"Ended", "request-1", recorded(Entry{Fingerprint: 1, State: Ended, Status: 200}), Repeated},
		{"StartedElsewhere", "request-1", recorded(Entry{Fingerprint: 1, Nonce: Nonce{"keeper-9", 1, 1}}), InDoubt},
		{"OtherRequest", "request-1", recorded(Entry{Fingerprint: 2, State: Ended}), Reused},
		{"OldUUID", "00000000-0000-7000-8000-000000000000", NewJournal(), TooOld},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			k := NewKeeper(Config{Self: "keeper-0", Incarnation: 1, Retention: time.Hour})
			out := k.Begin(now, Begin{Token: 1, ID: c.id, Fingerprint: 1, Deadline: now.Add(time.Second)})
			if out.Read {
				out = k.Read(now, 1, c.journal)
			}
			if len(out.Verdicts) != 1 || out.Verdicts[0].Decision != c.want {
				t.Errorf("verdicts %+v, want decision %d", out.Verdicts, c.want)
			}
		})
	}
}

// FuzzDecode feeds the journal's decoder.
func FuzzDecode(f *testing.F) {
	j := NewJournal()
	_ = j.Start("request-1", Entry{Fingerprint: 1, At: time.Unix(1, 0)})
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
			t.Errorf("what was decoded does not encode: %v", err)
		}
	})
}
