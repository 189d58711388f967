package conductor

import (
	"fmt"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/apportioner"
	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/gossiper"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/storer"
)

// fleet is an instance among others of its zone, which have more capacity, so that they relay and plan.
type fleet struct {
	c      *Conductor
	now    time.Time
	peers  []identifier.Instance
	number uint64
}

// newFleet returns an instance that has been running for longer than startTime among n others.
func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0)}
	f.c = newIdle(&f.now)
	f.c.view.table = director.New(1, nil, nil, director.Limits{})
	var records []apportioner.Record
	for k := range n {
		i := identifier.Instance(fmt.Sprintf("other-%d", k))
		f.peers = append(f.peers, i)
		records = append(records, apportioner.Record{Instance: i})
	}
	f.c.apportioner.RecordList(f.now, f.now, records)
	f.now = f.now.Add(startTime)
	return f
}

// hear records a state of each other instance, with what the store tells it, and updates what is followed.
func (f *fleet) hear(storeUp bool, changed map[storer.ObjectKind]identifier.Version) {
	f.number++
	for _, i := range f.peers {
		s := gossiper.State{Instance: i, Incarnation: 1, Zone: "a", Address: string(i), Capacity: 1, SequenceNumber: f.number, StoreUp: storeUp, ChangedRevisions: changed}
		f.c.ownership.Gossip.RecordState(f.now, s)
	}
	f.c.ownership.Gossip.Deliveries(f.now)
	f.c.updateDelegation(f.now)
	if p := f.c.source(f.now); p != nil {
		f.c.relistIfBehind(f.now, p.State)
	}
}

// TestDelegation guards against instances that rely on a relay which cannot tell them of changes: they follow a relay only
// in a large installation, while it is heard and the store answers it, and fetch what it has.
func TestDelegation(t *testing.T) {
	servers := storer.ObjectKind("servers")
	small := newFleet(minDelegating - 2)
	small.hear(true, nil)
	if small.c.delegation.active {
		t.Errorf("an instance among %d follows a relay, want none below %d", minDelegating-1, minDelegating)
	}
	f := newFleet(minDelegating)
	f.hear(true, nil)
	timing, _ := f.c.delegatedTiming(f.now, servers)
	if !f.c.delegation.active || !timing.Delegated {
		t.Fatalf("follows a relay: %t, timing %+v, want one that makes no calls", f.c.delegation.active, timing)
	}
	f.c.takeCopySource(f.now) // The first copies are due at once.
	f.hear(true, map[storer.ObjectKind]identifier.Version{servers: 7})
	if from := f.c.takeCopySource(f.now); from == "" {
		t.Error("no copies are requested from a relay that has changes")
	}
	if from := f.c.takeCopySource(f.now); from != "" {
		t.Errorf("copies are requested again from %s before its next state", from)
	}
	f.hear(false, nil)
	if f.c.delegation.active {
		t.Error("follows a relay that the store does not answer")
	}
}

// TestDelegationEnds guards against a view that counts as current after the relay was lost: until this instance has read
// the store itself, it knows changes up to the relay's last state only.
func TestDelegationEnds(t *testing.T) {
	f := newFleet(minDelegating)
	f.hear(true, nil)
	heardAt := f.now
	f.now = f.now.Add(sourceTimeout)
	f.c.updateDelegation(f.now)
	if f.c.delegation.active {
		t.Fatal("follows a relay that was not heard for sourceTimeout")
	}
	if at := f.c.delegationInformedAt(f.now); !at.Equal(heardAt) {
		t.Errorf("knows changes up to %v, want %v", at, heardAt)
	}
	f.now = f.now.Add(time.Millisecond)
	f.c.store = noStore{}
	for _, kind := range []storer.ObjectKind{"servers", "zones-out"} {
		f.c.applyList(kind, storer.Page{Revision: 9}, f.now)
	}
	if at := f.c.delegationInformedAt(f.now); !at.IsZero() {
		t.Errorf("knows changes up to %v after it has read the store, want all", at)
	}
}
