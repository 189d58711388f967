package gossiper_test

import (
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/gossiper"
)

var start = time.Unix(1000, 0)

// pair returns the Gossipers of two instances, a and b.
func pair() (a, b *gossiper.Gossiper) {
	return gossiper.New(gossiper.State{Instance: "a", Incarnation: 1, Address: "a:1"}), gossiper.New(gossiper.State{Instance: "b", Incarnation: 1, Address: "b:1"})
}

// TestStatesAreDatedByEcho checks that a state is dated by the send time of the last state that it echoes,
// however long it was in transit. Otherwise an old state would count as a recent confirmation.
func TestStatesAreDatedByEcho(t *testing.T) {
	a, b := pair()
	b.RecordState(start.Add(10*time.Millisecond), a.Compose(start, gossiper.State{}))
	a.Compose(start.Add(300*time.Millisecond), gossiper.State{}) // This state is lost.
	late := b.Compose(start.Add(350*time.Millisecond), gossiper.State{Echoes: b.Echoes(start.Add(350 * time.Millisecond))})
	a.RecordState(start.Add(5*time.Second), late)
	if p := a.Peer("b"); !p.ComposedAfter.Equal(start) {
		t.Errorf("state is dated %s after the start, want %s", p.ComposedAfter.Sub(start), 0*time.Second)
	}
}

// TestStaleStates checks that states of a process that has ended, and states that arrive after a newer
// one, are dropped.
func TestStaleStates(t *testing.T) {
	a, b := pair()
	first := b.Compose(start, gossiper.State{Leaving: true})
	second := b.Compose(start.Add(time.Millisecond), gossiper.State{})
	if !a.RecordState(start, second) || a.RecordState(start, first) || a.Peer("b").Leaving {
		t.Error("a state that arrived after a newer one was applied")
	}
	restarted := gossiper.New(gossiper.State{Instance: "b", Incarnation: 2, Address: "b:1"})
	if !a.RecordState(start, restarted.Compose(start, gossiper.State{})) {
		t.Error("the state of a new incarnation was dropped")
	}
	if a.RecordState(start, b.Compose(start.Add(time.Second), gossiper.State{})) {
		t.Error("a state of an incarnation that has ended was applied")
	}
}

// TestClockSetBack checks that states of a restarted process are applied although its clock was set
// back before the restart, which gives it a lower incarnation than its predecessor. They must be
// dropped while the predecessor may still be alive.
func TestClockSetBack(t *testing.T) {
	a, b := pair()
	a.RecordState(start, b.Compose(start, gossiper.State{}))
	restarted := gossiper.New(gossiper.State{Instance: "b", Incarnation: 0, Address: "b:1"})
	if a.RecordState(start.Add(gossiper.UnresponsiveAfter/2), restarted.Compose(start, gossiper.State{})) {
		t.Error("a lower incarnation was applied while the higher one may be alive")
	}
	if !a.RecordState(start.Add(gossiper.UnresponsiveAfter), restarted.Compose(start, gossiper.State{})) {
		t.Error("a lower incarnation was dropped after the higher one became unresponsive")
	}
}

// TestUnresponsivePeer checks that an unresponsive peer is not live, that its connection is dropped once,
// that it still counts for a while, and that HeardSince starts anew when it returns.
func TestUnresponsivePeer(t *testing.T) {
	a, b := pair()
	a.RecordState(start, b.Compose(start, gossiper.State{}))
	later := start.Add(gossiper.UnresponsiveAfter)
	if len(a.Live(later)) != 0 || len(a.ReconnectTargets(later)) != 1 || len(a.ReconnectTargets(later)) != 0 {
		t.Error("an unresponsive peer is live, or its connection is not dropped exactly once")
	}
	if a.Count(later) != 2 {
		t.Error("an unresponsive peer does not count when limits are divided")
	}
	a.RecordState(later, b.Compose(later, gossiper.State{}))
	if !a.Peer("b").HeardSince.Equal(later) || a.Count(later.Add(time.Minute)) != 1 {
		t.Error("the returned peer's HeardSince is not the time of its return, or it counts for too long")
	}
}
