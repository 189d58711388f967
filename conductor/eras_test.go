package conductor

import (
	"context"
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/apportioner"
	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/mirrorer"
	"github.com/turmericlift/turmericlift/storer"
	"github.com/turmericlift/turmericlift/supervisor"
)

// eraStore is a store that answers nothing but has stated an era.
type eraStore struct {
	noStore
	era *identifier.Era
}

// Era implements Store.
func (s eraStore) Era() identifier.Era { return *s.era }

// eraFixture is an instance whose mirrors are filled by the test.
type eraFixture struct {
	*Conductor
	t   *testing.T
	now *time.Time
	era identifier.Era
}

func newEraFixture(t *testing.T) *eraFixture {
	t.Helper()
	now := time.Unix(1000, 0)
	f := &eraFixture{Conductor: newIdle(&now), t: t, now: &now}
	f.store = eraStore{era: &f.era}
	f.codec.DecodeTable = func(data []byte) (*director.Table, error) {
		n, err := strconv.ParseUint(string(data), 10, 64)
		return &director.Table{Version: n}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.tasks = supervisor.New(ctx)
	t.Cleanup(func() { cancel(); f.tasks.Close() })
	return f
}

// list applies a list of a kind, requested now, at a revision of the present era.
func (f *eraFixture) list(kind storer.ObjectKind, revision identifier.Version, objects map[string]string) {
	copied := mirrorer.Copy{Kind: kind, Revision: f.era.Version(revision)}
	for name, data := range objects {
		copied.Objects = append(copied.Objects, storer.Object{Name: name, Version: f.era.Version(revision), Data: []byte(data)})
	}
	f.mirrors[kind].ApplyList(copied, *f.now)
}

// records applies a list of the records of instances, all of which are settled.
func (f *eraFixture) records(revision identifier.Version, instances ...identifier.Instance) {
	f.t.Helper()
	objects := map[string]string{}
	for _, i := range instances {
		data, err := json.Marshal(member{Instance: i, Settled: true})
		if err != nil {
			f.t.Fatal(err)
		}
		objects[memberPrefix+string(i)] = string(data)
	}
	f.list(f.kinds.Shared, revision, objects)
}

// TestRestoredView guards against a configuration, evacuations and records that go back when the store comes back from a
// copy, and against evacuations and records that are kept for good.
func TestRestoredView(t *testing.T) {
	f := newEraFixture(t)
	f.era = 1
	f.list(f.kinds.Config, 50, map[string]string{f.kinds.ConfigObject: "5"})
	f.list(f.kinds.Evacuations, 50, map[string]string{"b": "{}"})
	f.records(50, "one", "two", "three")
	if n := f.apportioner.Sharers(*f.now); n != 3 {
		t.Fatalf("bounds are divided by %d before the restore, want 3", n)
	}
	f.era = 2
	f.list(f.kinds.Config, 40, map[string]string{f.kinds.ConfigObject: "4"})
	f.list(f.kinds.Evacuations, 40, nil)
	f.records(40, "one")
	check := func(when string, sharers int, evacuated bool) {
		t.Helper()
		if n := f.apportioner.Sharers(*f.now); n != sharers {
			t.Errorf("%s: bounds are divided by %d, want %d", when, n, sharers)
		}
		if _, out := f.view.evacuated["b"]; out != evacuated {
			t.Errorf("%s: zone b is evacuated: %t, want %t", when, out, evacuated)
		}
		if f.view.table.Version != 5 {
			t.Errorf("%s: configuration went back to version %d", when, f.view.table.Version)
		}
	}
	check("after the restore", 3, true)
	if f.historyLostBefore != identifier.Era(2).FirstVersion() {
		t.Errorf("others are told to list everything before %d, want %d", f.historyLostBefore, identifier.Era(2).FirstVersion())
	}
	*f.now = f.now.Add(evacuationRetention)
	if !f.evacuationsDue(*f.now) || f.evacuationsDue(*f.now) {
		t.Error("evacuations that were not written again do not end once")
	}
	f.mirrorChanged(f.kinds.Evacuations)
	f.records(41, "one")
	check("after the evacuations' retention", 3, false)
	*f.now = f.now.Add(apportioner.SettleTime - evacuationRetention)
	f.records(42, "one")
	check("after the records' retention", 1, false)
	f.list(f.kinds.Config, 43, map[string]string{f.kinds.ConfigObject: "6"})
	if f.view.table.Version != 6 {
		t.Errorf("configuration of the new era is not in force, but version %d", f.view.table.Version)
	}
}

// TestRestoredEvacuation guards against an evacuation that is written again in the new era and then ended, and that is
// still kept.
func TestRestoredEvacuation(t *testing.T) {
	f := newEraFixture(t)
	f.era = 1
	f.list(f.kinds.Evacuations, 50, map[string]string{"b": "{}"})
	f.records(50, "one")
	f.era = 2
	f.list(f.kinds.Evacuations, 40, nil)
	f.list(f.kinds.Evacuations, 41, map[string]string{"b": "{}"})
	f.list(f.kinds.Evacuations, 42, nil)
	if _, out := f.view.evacuated["b"]; out {
		t.Error("zone b is evacuated though the evacuation ended in the new era")
	}
}

// TestShareInLaterEra guards against shares that are too large because records of others were lost: a process that starts
// in an era above the first does not know which, so it waits as a new instance does.
func TestShareInLaterEra(t *testing.T) {
	for era, sharers := range map[identifier.Era]int{0: 2, 1: 2, 2: 0} {
		f := newEraFixture(t)
		f.era = era
		f.records(40, "one", "two")
		if n := f.apportioner.Sharers(*f.now); n != sharers {
			t.Errorf("era %d: bounds are divided by %d at the start, want %d", era, n, sharers)
		}
		*f.now = f.now.Add(apportioner.SettleTime)
		f.records(41, "one", "two")
		if n := f.apportioner.Sharers(*f.now); n != 2 {
			t.Errorf("era %d: bounds are divided by %d after %s, want 2", era, n, apportioner.SettleTime)
		}
	}
}

// TestEraFromOthers guards against an instance that the store does not answer and that takes over what is gone in a new era,
// since it learns of the era from another instance's copies only.
func TestEraFromOthers(t *testing.T) {
	f := newEraFixture(t)
	f.era = 1
	f.list(f.kinds.Evacuations, 50, map[string]string{"b": "{}"})
	f.records(50, "one", "two")
	later := identifier.Era(2)
	f.mirrors[f.kinds.Evacuations].ApplyList(mirrorer.Copy{Kind: f.kinds.Evacuations, Revision: later.Version(40)}, time.Time{})
	if _, out := f.view.evacuated["b"]; !out || f.ownership.Era() != later {
		t.Errorf("zone b is evacuated: %t, era %d; want true and era %d", out, f.ownership.Era(), later)
	}
}
