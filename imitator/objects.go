package imitator

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/storer"
)

// ObjectStoreFaults are the faults of a simulated object store. The zero value has none.
type ObjectStoreFaults struct {
	// Down makes the store refuse every call.
	Down bool
	// LoseAnswers is the number of conditional writes that from now on take effect while their answer is lost.
	LoseAnswers int
}

// ObjectStore simulates a store of objects that are grouped in kinds. It has conditional writes, watches, and a history
// of changes that can be dropped. It implements no network protocol and is safe for concurrent use.
type ObjectStore struct {
	mu       sync.Mutex
	objects  map[storer.ObjectKind]map[string]storer.Object
	history  []change
	oldest   identifier.Version // A watch from a lower revision has missed changes that were dropped.
	revision identifier.Version
	changed  chan struct{} // Closed and replaced at each change of an object or of the faults.
	faults   ObjectStoreFaults
	era      identifier.Era // 0: the store states no era.
}

// change is one entry of the history.
type change struct {
	kind  storer.ObjectKind
	event storer.Event
}

// NewObjectStore returns an empty store without faults.
func NewObjectStore() *ObjectStore {
	return &ObjectStore{objects: map[storer.ObjectKind]map[string]storer.Object{}, revision: 1, changed: make(chan struct{})}
}

// SetFaults replaces all faults of the store and wakes the watches that wait.
func (s *ObjectStore) SetFaults(f ObjectStoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatches()
}

// Down reports whether the store refuses every call. Only watches check it themselves; whoever serves the store must
// check it before all other calls.
func (s *ObjectStore) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down
}

// DropHistory drops all changes so far, so that a watch from an earlier revision fails.
func (s *ObjectStore) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.revision
}

// wakeWatches makes the watches that wait look for changes again. The caller holds the lock.
func (s *ObjectStore) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// List returns all objects of a kind, sorted by name, and the store's revision.
func (s *ObjectStore) List(kind storer.ObjectKind) storer.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := storer.Page{Revision: s.revision}
	for _, o := range s.objects[kind] {
		page.Objects = append(page.Objects, o)
	}
	sort.Slice(page.Objects, func(a, b int) bool { return page.Objects[a].Name < page.Objects[b].Name })
	return page
}

// Get returns an object, or false if it does not exist.
func (s *ObjectStore) Get(kind storer.ObjectKind, name string) (o storer.Object, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok = s.objects[kind][name]
	return o, ok
}

// Put writes an object if its version is *expected, where 0 means that it does not exist; a nil expected means
// unconditionally. It returns the written object and true, or the present object and false if the versions differ.
// answerLost reports that the write took effect and that whoever serves the store must not answer the call.
func (s *ObjectStore) Put(kind storer.ObjectKind, name string, expected *identifier.Version, data []byte) (o storer.Object, written, answerLost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := s.objects[kind][name]
	if expected != nil && present.Version != *expected {
		return present, false, false
	}
	s.revision++
	o = storer.Object{Name: name, Version: s.revision, Data: data}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storer.Object{}
	}
	s.objects[kind][name] = o
	s.history = append(s.history, change{kind, storer.Event{Object: o}})
	s.wakeWatches()
	if expected != nil && s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		answerLost = true
	}
	return o, true, answerLost
}

// Delete removes an object if its version is *expected; a nil expected means unconditionally. It returns the object and
// whether it was removed; the object is zero if it does not exist.
func (s *ObjectStore) Delete(kind storer.ObjectKind, name string, expected *identifier.Version) (present storer.Object, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok || expected != nil && o.Version != *expected {
		return o, false
	}
	s.revision++
	o.Version = s.revision
	delete(s.objects[kind], name)
	s.history = append(s.history, change{kind, storer.Event{Object: o, Deleted: true}})
	s.wakeWatches()
	return o, true
}

// Watch returns the changes of a kind after the revision from, in their order. If there are none it waits for one,
// until wait has passed, ctx ends or the store goes down; the events are then empty. historyGone reports that changes
// after from have been dropped.
func (s *ObjectStore) Watch(ctx context.Context, kind storer.ObjectKind, from identifier.Version, wait time.Duration) (events storer.Events, historyGone bool) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		s.mu.Lock()
		if from < s.oldest || from > s.revision {
			s.mu.Unlock()
			return storer.Events{}, true
		}
		events := storer.Events{Revision: s.revision}
		for _, c := range s.history {
			if c.kind == kind && c.event.Object.Version > from {
				events.Events = append(events.Events, c.event)
			}
		}
		changed, down := s.changed, s.faults.Down
		s.mu.Unlock()
		if len(events.Events) > 0 || down {
			return events, false
		}
		select {
		case <-ctx.Done():
			return events, false
		case <-changed:
		}
	}
}
