package mirrorer_test

import (
	"maps"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/mirrorer"
	"github.com/turmericlift/turmericlift/storer"
)

// TestDeltas guards against copies of another instance that miss a change or a removal, or that undo a newer one.
func TestDeltas(t *testing.T) {
	changed := make(chan struct{}, 10)
	source, follower := newMirror(&scriptedPlatform{}, changed), newMirror(&scriptedPlatform{}, changed)
	list := func(m *mirrorer.Mirror, revision identifier.Version, objects ...storer.Object) {
		m.ApplyList(mirrorer.Copy{Kind: "k", Revision: revision, Objects: objects}, time.Time{})
	}
	list(source, 5, object("x", 1), object("y", 2), object("z", 3))
	list(follower, 5, object("x", 1), object("y", 2), object("z", 3))
	list(source, 8, object("x", 1), object("y", 7), object("new", 8))
	d, ok := source.DeltaSince(5)
	if !ok || len(d.Changed) != 2 {
		t.Fatalf("delta %+v, %t, want two changed objects", d, ok)
	}
	if !follower.ApplyDelta(d) {
		t.Fatal("delta is not applied")
	}
	if got, want := versions(follower), map[string]identifier.Version{"x": 1, "y": 7, "new": 8}; !maps.Equal(got, want) {
		t.Errorf("copy has %v, want %v", got, want)
	}
	if follower.Revision() != 8 {
		t.Errorf("copy is complete at revision %d, want 8", follower.Revision())
	}
	list(source, 9, object("x", 1), object("y", 7), object("new", 8))
	if source.ChangedRevision() != 8 {
		t.Errorf("copy changed at revision %d, want 8, since a later list was the same", source.ChangedRevision())
	}
	if _, ok := source.DeltaSince(8); ok {
		t.Error("there is a delta though nothing has changed")
	}
	list(follower, 10)
	if follower.ApplyDelta(d) || len(versions(follower)) != 0 {
		t.Error("a delta that is older than the copy is applied")
	}
}
