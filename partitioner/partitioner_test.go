package partitioner

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/turmericlift/turmericlift/identifier"
)

func serverNumber(n int) Server {
	return Server{ID: identifier.BackendServer(fmt.Sprint("server-", n)), Zone: "zone-0"}
}

// TestInvariants guards against changes that violate the invariants of an assignment, on which the fencing of
// backend servers relies. It applies random changes and checks that an owner changes only by a commit and then under
// a higher epoch, that no epoch decreases, and that the stored form preserves the state.
func TestInvariants(t *testing.T) {
	t.Parallel()
	for seed := range 500 {
		applyRandomChanges.Example(seed)
	}
}

var applyRandomChanges = rapid.Custom(func(t *rapid.T) int {
	a, err := New(8)
	if err != nil {
		panic(err)
	}
	for range 60 {
		before := a.Clone()
		p := identifier.Partition(rapid.IntRange(0, 10).Draw(t, "Partition"))
		s := serverNumber(rapid.IntRange(0, 4).Draw(t, "Server"))
		kind := rapid.IntRange(0, 6).Draw(t, "Change")
		applyChange(a, kind, p, s)
		checkChange(before, a, kind)
	}
	return 0
})

// applyChange applies one random change and accepts a RuleError.
func applyChange(a *Assignment, kind int, p identifier.Partition, s Server) {
	var err error
	switch kind {
	case 0:
		err = a.SetFirstOwner(p, s)
	case 1:
		err = a.Prepare(p, s)
	case 2:
		err = a.Commit(p)
	case 3:
		err = a.Abort(p)
	case 4:
		err = a.Redirect(p, s)
	case 5:
		_, err = a.Pin(identifier.Key(fmt.Sprint("key-", p)))
	case 6:
		err = a.Unpin(identifier.Key(fmt.Sprint("key-", p)))
	}
	var rule *RuleError
	if err != nil && !errors.As(err, &rule) {
		panic(err)
	}
}

// checkChange checks the invariants over one change. An owner may also change by kind 6, Unpin, which removes it.
func checkChange(before, after *Assignment, kind int) {
	for n := range before.Len() {
		p := identifier.Partition(n)
		o1, e1, owned := before.Owner(p)
		o2, e2, _ := after.Owner(p)
		moved := owned && o1 != o2 && kind != 6
		if e2 < e1 || moved && (kind != 2 || e2 == e1) {
			panic(fmt.Sprintf("change of kind %d: partition %d went from owner %s at epoch %d to owner %s at epoch %d", kind, n, o1, e1, o2, e2))
		}
	}
	data, err := after.Encode()
	if err != nil {
		panic(err)
	}
	decoded, err := Decode(data)
	if err != nil || !reflect.DeepEqual(decoded.owners, after.owners) || !reflect.DeepEqual(decoded.next, after.next) ||
		!reflect.DeepEqual(decoded.epochs, after.epochs) || !reflect.DeepEqual(decoded.pinSlots, after.pinSlots) {
		panic(fmt.Sprintf("decoding the encoded assignment gave error %v or another state", err))
	}
}

// TestLargestAssignmentFitsPlatformValue guards against an assignment that cannot be stored: one with MaxPartitions
// partitions and 1800 backend servers must fit into one value of the platform.
func TestLargestAssignmentFitsPlatformValue(t *testing.T) {
	t.Parallel()
	a, err := New(MaxPartitions)
	if err != nil {
		t.Fatal(err)
	}
	for p := range MaxPartitions {
		if err := a.SetFirstOwner(identifier.Partition(p), serverNumber(p%1800)); err != nil {
			t.Fatal(err)
		}
	}
	data, err := a.Encode()
	if err != nil || len(data) > 1<<20 {
		t.Errorf("encode the largest assignment: %d bytes, error %v; the limit is %d bytes", len(data), err, 1<<20)
	}
}

// FuzzDecode guards against panics on corrupt assignments: it decodes arbitrary bytes and uses each assignment that
// can be decoded.
func FuzzDecode(f *testing.F) {
	a, err := New(4)
	if err != nil {
		f.Fatal(err)
	}
	_ = a.SetFirstOwner(1, serverNumber(0))
	_ = a.Prepare(1, serverNumber(1))
	data, err := a.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := Decode(data)
		if err != nil {
			return
		}
		for p := range a.Len() {
			a.Owner(identifier.Partition(p))
			a.NextOwner(identifier.Partition(p))
		}
		if _, err := a.Encode(); err != nil {
			t.Error(err)
		}
	})
}
