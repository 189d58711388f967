package mirrorer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/mirrorer"
	"github.com/turmericlift/turmericlift/storer"
)

// script answers lists and watches one after the other; then it blocks.
type script struct {
	lists   chan storer.Page
	watches chan any // storer.Events or an error.
}

func (s *script) List(ctx context.Context, _ storer.ObjectKind) (storer.Page, error) {
	select {
	case p := <-s.lists:
		return p, nil
	case <-ctx.Done():
		return storer.Page{}, ctx.Err()
	}
}

func (s *script) Watch(ctx context.Context, _ storer.ObjectKind, _ identifier.Version, _ time.Duration) (storer.Events, error) {
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

func object(name string, v identifier.Version) storer.Object {
	return storer.Object{Name: name, Version: v, Data: []byte("x")}
}

func newMirror(s *script, changed chan struct{}) *mirrorer.Mirror {
	return mirrorer.New("k", s, func(storer.ObjectKind) mirrorer.Pace {
		return mirrorer.Pace{Wait: time.Second, Gather: time.Millisecond}
	}, time.Now, func(storer.ObjectKind) { changed <- struct{}{} },
		func(storer.ObjectKind, error) {}, func(context.Context, int) {})
}

func names(m *mirrorer.Mirror) map[string]identifier.Version {
	c, _ := m.Copy()
	out := map[string]identifier.Version{}
	for _, o := range c.Objects {
		out[o.Name] = o.Version
	}
	return out
}

// TestFollow checks that changes are taken in, that a dropped history leads to a new list,
// and that an object that the list lacks is gone.
func TestFollow(t *testing.T) {
	s := &script{make(chan storer.Page, 4), make(chan any, 8)}
	changed := make(chan struct{}, 16)
	m := newMirror(s, changed)
	ctx, cancel := context.WithCancel(context.Background())
	go m.Run(ctx)
	s.lists <- storer.Page{Objects: []storer.Object{object("a", 1), object("b", 2)}, Revision: 2}
	<-changed
	s.watches <- storer.Events{Events: []storer.Event{{Object: object("a", 3)}, {Object: object("b", 4), Deleted: true}}, Revision: 4}
	<-changed
	if got := names(m); len(got) != 1 || got["a"] != 3 {
		t.Errorf("after the events: %v", got)
	}
	s.watches <- storer.ErrHistoryGone
	s.lists <- storer.Page{Objects: []storer.Object{object("c", 6)}, Revision: 6}
	<-changed
	if got := names(m); len(got) != 1 || got["c"] != 6 {
		t.Errorf("after the new list: %v", got)
	}
	s.watches <- errors.New("cut")
	s.lists <- storer.Page{Objects: []storer.Object{object("c", 6)}, Revision: 6}
	<-changed
	m.Refresh()
	s.lists <- storer.Page{Objects: []storer.Object{object("c", 7)}, Revision: 7}
	<-changed
	if got := names(m); got["c"] != 7 {
		t.Errorf("after a refresh: %v", got)
	}
	cancel()
	<-m.Done()
}

// TestNeverBack checks that older copies and objects change nothing.
func TestNeverBack(t *testing.T) {
	changed := make(chan struct{}, 16)
	m := newMirror(&script{}, changed)
	m.Take(mirrorer.Copy{Kind: "k", Revision: 10, Objects: []storer.Object{object("a", 9)}}, time.Unix(1, 0))
	if m.Take(mirrorer.Copy{Kind: "k", Revision: 8, Objects: []storer.Object{object("a", 3), object("b", 8)}}, time.Unix(2, 0)) {
		t.Error("an older copy was taken")
	}
	m.Merge([]storer.Object{object("a", 5), object("d", 12)})
	m.Take(mirrorer.Copy{Kind: "k", Revision: 11, Objects: []storer.Object{object("a", 9)}}, time.Unix(3, 0))
	if got := names(m); len(got) != 2 || got["a"] != 9 || got["d"] != 12 {
		t.Errorf("objects %v, want a at 9 and d, which is newer than the list", got)
	}
	if _, asked := m.Copy(); !asked.Equal(time.Unix(3, 0)) {
		t.Errorf("asked at %s", asked)
	}
}
