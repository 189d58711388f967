package conductor

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/apportioner"
	"github.com/turmericlift/turmericlift/gossiper"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/imitator"
	"github.com/turmericlift/turmericlift/storer"
)

// modelStore is the model of the platform's store as a Store.
type modelStore struct{ objects *imitator.ObjectStore }

func (s modelStore) List(_ context.Context, kind storer.ObjectKind) (storer.Page, error) {
	return s.objects.List(kind), nil
}

func (s modelStore) Watch(ctx context.Context, kind storer.ObjectKind, from identifier.Version, wait time.Duration) (storer.Events, error) {
	events, historyGone := s.objects.Watch(ctx, kind, from, wait)
	if historyGone {
		return events, storer.ErrHistoryGone
	}
	return events, nil
}

func (s modelStore) Put(_ context.Context, kind storer.ObjectKind, name string, expected identifier.Version, data []byte) (identifier.Version, error) {
	o, written, _ := s.objects.Put(kind, name, &expected, data)
	if !written {
		return 0, &storer.ConflictError{Name: name, Expected: expected, Present: o.Version}
	}
	return o.Version, nil
}

func (s modelStore) Era() identifier.Era { return s.objects.Era() }

func (s modelStore) Delete(_ context.Context, kind storer.ObjectKind, name string, expected identifier.Version) error {
	if o, removed := s.objects.Delete(kind, name, &expected); !removed {
		return &storer.ConflictError{Name: name, Expected: expected, Present: o.Version}
	}
	return nil
}

// TestRecordsOfGoneInstances guards against shares of bounds that shrink with each instance that was replaced for good: the
// record of one that is not heard any more ends, and is removed when the instance can have no share any more.
func TestRecordsOfGoneInstances(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(1000, 0)
	c := newIdle(&now)
	store := modelStore{imitator.NewObjectStore()}
	c.store = store
	for _, name := range []identifier.Instance{"two", "three"} {
		data, err := json.Marshal(member{Instance: name, Settled: true})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Put(ctx, c.kinds.Shared, memberPrefix+string(name), 0, data); err != nil {
			t.Fatal(err)
		}
	}
	// wait lists the records, hears instance "two" and runs the planner's part each second.
	wait := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(time.Second) {
			c.ownership.Gossip.RecordState(now, stateOf("two", uint64(now.Unix())))
			c.listShared(ctx)
			c.register(ctx)
			c.removeRecords(ctx)
		}
	}
	wait(apportioner.SettleTime + time.Second)
	if n := c.apportioner.Sharers(now); n != 3 {
		t.Errorf("bounds are divided by %d, want 3", n)
	}
	wait(memberRetention - apportioner.SettleTime - 2*time.Second)
	if m := c.view.members[memberPrefix+"three"]; m.Ended {
		t.Error("record ended too early")
	}
	wait(5 * time.Second)
	if m := c.view.members[memberPrefix+"three"]; !m.Ended {
		t.Error("record of an instance that is gone has not ended")
	}
	if n := c.apportioner.Sharers(now); n != 3 {
		t.Errorf("bounds are divided by %d while an instance that is cut off may use its share, want 3", n)
	}
	wait(apportioner.SettleTime + 2*time.Second)
	if n := c.apportioner.Sharers(now); n != 2 {
		t.Errorf("bounds are divided by %d after the record was removed, want 2", n)
	}
	var conflict *storer.ConflictError
	if err := store.Delete(ctx, c.kinds.Shared, memberPrefix+"three", 1); !errors.As(err, &conflict) {
		t.Errorf("removal of a record that is gone: %v", err)
	}
	if m := c.view.members[memberPrefix+"one"]; !m.Settled {
		t.Error("own record is not settled")
	}
}

// stateOf returns a state of another instance.
func stateOf(i identifier.Instance, number uint64) gossiper.State {
	return gossiper.State{Instance: i, Incarnation: 1, Zone: "a", Address: string(i), SequenceNumber: number}
}
