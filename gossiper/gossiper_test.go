package gossiper_test

import (
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/gossiper"
)

var start = time.Unix(1000, 0)

func pair() (a, b *gossiper.Gossiper) {
	return gossiper.New(gossiper.State{Instance: "a", Incarnation: 1, Address: "a:1"}), gossiper.New(gossiper.State{Instance: "b", Incarnation: 1, Address: "b:1"})
}

// TestMadeAfter checks that a state is dated by the last own state that its sender had
// heard, however long it was under way.
func TestMadeAfter(t *testing.T) {
	a, b := pair()
	b.Heard(start.Add(10*time.Millisecond), a.Compose(start, gossiper.State{}))
	a.Compose(start.Add(300*time.Millisecond), gossiper.State{}) // Lost.
	late := b.Compose(start.Add(350*time.Millisecond), gossiper.State{Echoes: b.Echoes(start.Add(350 * time.Millisecond))})
	a.Heard(start.Add(5*time.Second), late)
	if p := a.Peer("b"); !p.MadeAfter.Equal(start) {
		t.Errorf("made after %s, want %s", p.MadeAfter.Sub(start), 0*time.Second)
	}
}

// TestOrder checks that states of a process that has ended and states that were passed on
// the way are not taken.
func TestOrder(t *testing.T) {
	a, b := pair()
	first := b.Compose(start, gossiper.State{Leaving: true})
	second := b.Compose(start.Add(time.Millisecond), gossiper.State{})
	if !a.Heard(start, second) || a.Heard(start, first) || a.Peer("b").Leaving {
		t.Error("a state that was passed on the way was taken")
	}
	restarted := gossiper.New(gossiper.State{Instance: "b", Incarnation: 2, Address: "b:1"})
	if !a.Heard(start, restarted.Compose(start, gossiper.State{})) {
		t.Error("a new process was not heard")
	}
	if a.Heard(start, b.Compose(start.Add(time.Second), gossiper.State{})) {
		t.Error("a process that has ended was heard")
	}
}

// TestClockSetBack checks that a process is heard whose clock was set back before it was
// started, so that its incarnation is lower than that of the process before it.
func TestClockSetBack(t *testing.T) {
	a, b := pair()
	a.Heard(start, b.Compose(start, gossiper.State{}))
	restarted := gossiper.New(gossiper.State{Instance: "b", Incarnation: 0, Address: "b:1"})
	if a.Heard(start.Add(gossiper.SilentAfter/2), restarted.Compose(start, gossiper.State{})) {
		t.Error("heard while the process with the higher incarnation may live")
	}
	if !a.Heard(start.Add(gossiper.SilentAfter), restarted.Compose(start, gossiper.State{})) {
		t.Error("not heard after the silence of the process before")
	}
}

// TestSilence checks who is live, and that a peer that comes back counts as new for a
// while.
func TestSilence(t *testing.T) {
	a, b := pair()
	a.Heard(start, b.Compose(start, gossiper.State{}))
	later := start.Add(gossiper.SilentAfter)
	if len(a.Live(later)) != 0 || len(a.Silent(later)) != 1 || len(a.Silent(later)) != 0 {
		t.Error("a silent peer is live, or its connection is dropped not once")
	}
	if a.Count(later) != 2 {
		t.Error("a silent peer does not count in shares of limits")
	}
	a.Heard(later, b.Compose(later, gossiper.State{}))
	if !a.Peer("b").HeardSince.Equal(later) || a.Count(later.Add(time.Minute)) != 1 {
		t.Error("the peer's silence is forgotten")
	}
}
