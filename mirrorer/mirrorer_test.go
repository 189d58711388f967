package mirrorer_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/mirrorer"
	"github.com/turmericlift/turmericlift/storer"
)

// scriptedPlatform answers lists and watches with the queued results, one after the other; without a result
// it blocks.
type scriptedPlatform struct {
	lists   chan storer.Page
	watches chan any // Each is a storer.Events or an error.
}

func (s *scriptedPlatform) List(ctx context.Context, _ storer.ObjectKind) (storer.Page, error) {
	select {
	case p := <-s.lists:
		return p, nil
	case <-ctx.Done():
		return storer.Page{}, ctx.Err()
	}
}

func (s *scriptedPlatform) Watch(ctx context.Context, _ storer.ObjectKind, _ identifier.Version, _ time.Duration) (storer.Events, error) {
	select {
	case w := <-s.watches:
		if err, ok := w.(error); ok {
			return storer.Events{}, err
		}
		return w.(storer.Events), nil
	case <-ctx.Done():
		return storer.Events{}, ctx.Err()
	}
}

// object returns an object of the given name and version.
func object(name string, v identifier.Version) storer.Object {
	return storer.Object{Name: name, Version: v, Data: []byte("x")}
}

// newMirror returns a Mirror of s that sends to changed after each change.
func newMirror(s *scriptedPlatform, changed chan struct{}) *mirrorer.Mirror {
	return mirrorer.New("k", s, func(storer.ObjectKind) mirrorer.Timing {
		return mirrorer.Timing{WatchWait: time.Second, WatchDelay: time.Millisecond}
	}, time.Now, func(storer.ObjectKind) { changed <- struct{}{} },
		func(storer.ObjectKind, error) {}, func(context.Context, int) {})
}

// versions returns the versions of the objects in the copy of m, by name.
func versions(m *mirrorer.Mirror) map[string]identifier.Version {
	c, _ := m.Snapshot()
	out := map[string]identifier.Version{}
	for _, o := range c.Objects {
		out[o.Name] = o.Version
	}
	return out
}

// TestListAndWatch checks that a mirror applies the events of a watch, that it lists the kind again
// after a dropped history, after an error and on demand, and that an object that is missing in a
// list is deleted.
func TestListAndWatch(t *testing.T) {
	s := &scriptedPlatform{make(chan storer.Page, 4), make(chan any, 8)}
	changed := make(chan struct{}, 16)
	m := newMirror(s, changed)
	ctx, cancel := context.WithCancel(context.Background())
	go m.Run(ctx)
	s.lists <- storer.Page{Objects: []storer.Object{object("a", 1), object("b", 2)}, Revision: 2}
	<-changed
	s.watches <- storer.Events{Events: []storer.Event{{Object: object("a", 3)}, {Object: object("b", 4), Deleted: true}}, Revision: 4}
	<-changed
	if got := versions(m); len(got) != 1 || got["a"] != 3 {
		t.Errorf("after the events: %v", got)
	}
	s.watches <- storer.ErrHistoryGone
	s.lists <- storer.Page{Objects: []storer.Object{object("c", 6)}, Revision: 6}
	<-changed
	if got := versions(m); len(got) != 1 || got["c"] != 6 {
		t.Errorf("after the new list: %v", got)
	}
	s.watches <- errors.New("cut")
	s.lists <- storer.Page{Objects: []storer.Object{object("c", 6)}, Revision: 6}
	<-changed
	m.Relist()
	s.lists <- storer.Page{Objects: []storer.Object{object("c", 7)}, Revision: 7}
	<-changed
	if got := versions(m); got["c"] != 7 {
		t.Errorf("after the forced list: %v", got)
	}
	cancel()
	<-m.Done()
}

// TestOlderVersionsAreIgnored checks that older lists and objects change nothing, so that an object never goes
// back to an older version.
func TestOlderVersionsAreIgnored(t *testing.T) {
	changed := make(chan struct{}, 16)
	m := newMirror(&scriptedPlatform{}, changed)
	m.ApplyList(mirrorer.Copy{Kind: "k", Revision: 10, Objects: []storer.Object{object("a", 9)}}, time.Unix(1, 0))
	if m.ApplyList(mirrorer.Copy{Kind: "k", Revision: 8, Objects: []storer.Object{object("a", 3), object("b", 8)}}, time.Unix(2, 0)) {
		t.Error("a list that is older than the copy was applied")
	}
	m.Merge([]storer.Object{object("a", 5), object("d", 12)})
	m.ApplyList(mirrorer.Copy{Kind: "k", Revision: 11, Objects: []storer.Object{object("a", 9)}}, time.Unix(3, 0))
	if got := versions(m); len(got) != 2 || got["a"] != 9 || got["d"] != 12 {
		t.Errorf("objects %v, want a at version 9 and d at version 12, which is newer than the list", got)
	}
	if _, requestedAt := m.Snapshot(); !requestedAt.Equal(time.Unix(3, 0)) {
		t.Errorf("newest list requested at %s, want 3 s", requestedAt)
	}
}

// slowPlatform answers lists when it is told to, and reports that they have begun.
type slowPlatform struct {
	began chan struct{}
	lists chan storer.Page
}

func (s *slowPlatform) List(ctx context.Context, _ storer.ObjectKind) (storer.Page, error) {
	s.began <- struct{}{}
	select {
	case p := <-s.lists:
		return p, ctx.Err()
	case <-ctx.Done():
		return storer.Page{}, ctx.Err()
	}
}

func (s *slowPlatform) Watch(ctx context.Context, _ storer.ObjectKind, _ identifier.Version, _ time.Duration) (storer.Events, error) {
	<-ctx.Done()
	return storer.Events{}, ctx.Err()
}

// TestRelistDuringList guards against a list over a slow link that never ends, because it is cancelled and begun again each
// time that another instance shows something newer. The list that is under way is applied, and another one follows it.
func TestRelistDuringList(t *testing.T) {
	s := &slowPlatform{make(chan struct{}, 8), make(chan storer.Page)}
	changed := make(chan struct{}, 8)
	m := mirrorer.New("k", s, func(storer.ObjectKind) mirrorer.Timing { return mirrorer.Timing{WatchWait: time.Second} },
		time.Now, func(storer.ObjectKind) { changed <- struct{}{} }, func(storer.ObjectKind, error) {}, func(context.Context, int) {})
	ctx, cancel := context.WithCancel(context.Background())
	go m.Run(ctx)
	for version := identifier.Version(1); version <= 3; version++ {
		<-s.began
		if version < 3 {
			m.Relist()
			m.Relist()
		}
		select {
		case s.lists <- storer.Page{Revision: version, Objects: []storer.Object{object("a", version)}}:
		case <-s.began:
			t.Fatalf("list %d was cancelled and begun again", version)
		}
		<-changed
		if got := versions(m)["a"]; got != version {
			t.Errorf("version %d after list %d, want %d", got, version, version)
		}
	}
	cancel()
	<-m.Done()
}

// TestEras guards against a mirror that keeps an object which is gone after the store came back from a copy, or that
// goes back to an answer of the former era which arrives late: revisions are lower after a restore, and eras go first.
func TestEras(t *testing.T) {
	t.Parallel()
	former, present := identifier.Era(1), identifier.Era(2)
	nothing := func(storer.ObjectKind) {}
	m := mirrorer.New("thing", nil, nil, time.Now, nothing, nil, nil)
	m.ApplyList(mirrorer.Copy{Kind: "thing", Revision: former.Version(50), Objects: []storer.Object{
		{Name: "a", Version: former.Version(40)}, {Name: "lost", Version: former.Version(45)}}}, time.Unix(1, 0))
	if !m.ApplyList(mirrorer.Copy{Kind: "thing", Revision: present.Version(42), Objects: []storer.Object{{Name: "a", Version: present.Version(40)}}}, time.Unix(2, 0)) {
		t.Error("list of the new era was not applied")
	}
	if _, ok := m.Get("lost"); ok {
		t.Error("object that is gone in the new era is kept")
	}
	if m.ApplyList(mirrorer.Copy{Kind: "thing", Revision: former.Version(51)}, time.Unix(3, 0)) {
		t.Error("late list of the former era was applied")
	}
	if changed := m.Merge([]storer.Object{{Name: "a", Version: former.Version(60)}}); len(changed) > 0 {
		t.Error("late object of the former era was applied")
	}
}

// TestCurrentAt guards against a copy that counts as current up to a time at which it may have missed a change: a watch counts
// from its request, also if it waited without events, and a call that has not been answered does not count.
func TestCurrentAt(t *testing.T) {
	s := &scriptedPlatform{make(chan storer.Page), make(chan any)}
	start := time.Unix(1000, 0)
	var seconds atomic.Int64 // The clock goes on by a second with each call.
	m := mirrorer.New("k", s, func(storer.ObjectKind) mirrorer.Timing {
		return mirrorer.Timing{WatchWait: time.Second, WatchDelay: time.Millisecond}
	},
		func() time.Time { return start.Add(time.Duration(seconds.Add(1)) * time.Second) },
		func(storer.ObjectKind) {}, func(storer.ObjectKind, error) {}, func(context.Context, int) {})
	if !m.CurrentAt().IsZero() {
		t.Error("copy is current before the first answer")
	}
	ctx, cancel := context.WithCancel(context.Background())
	go m.Run(ctx)
	steps := []struct {
		answer any
		want   int // Seconds after the start; the number of the call that has been answered.
	}{
		{storer.Page{Revision: 2}, 1},
		{storer.Events{Revision: 2}, 2},
		{storer.Events{Events: []storer.Event{{Object: object("a", 3)}}, Revision: 3}, 3},
		{storer.ErrHistoryGone, 3},
		{storer.Page{Revision: 4}, 5},
		{storer.Events{Revision: 4}, 6},
	}
	for n, step := range steps {
		if page, ok := step.answer.(storer.Page); ok {
			s.lists <- page
		} else {
			s.watches <- step.answer
		}
		for range 1000 { // The answer is applied at once, in another goroutine.
			if m.CurrentAt().Equal(start.Add(time.Duration(step.want) * time.Second)) {
				break
			}
			time.Sleep(time.Millisecond)
		}
		if got := m.CurrentAt().Sub(start); got != time.Duration(step.want)*time.Second {
			t.Errorf("after answer %d the copy is current up to %s, want %d s", n, got, step.want)
		}
	}
	cancel()
	<-m.Done()
}
