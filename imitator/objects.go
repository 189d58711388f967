package imitator

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/storer"
)

// ObjectFaults are the faults of Objects.
type ObjectFaults struct {
	Down        bool // Every call is refused.
	LoseAnswers int  // The next writes that take effect without an answer.
}

// Objects is the model of a store of objects in kinds, with conditional writes, watches
// and a history that can be dropped. It speaks no protocol; it is safe for concurrent
// use.
type Objects struct {
	mu       sync.Mutex
	objects  map[storer.ObjectKind]map[string]storer.Object
	history  []change
	oldest   identifier.Version // Watches from before it have lost changes.
	revision identifier.Version
	wake     chan struct{}
	faults   ObjectFaults
}

type change struct {
	kind  storer.ObjectKind
	event storer.Event
}

// NewObjects returns an empty store.
func NewObjects() *Objects {
	return &Objects{objects: map[storer.ObjectKind]map[string]storer.Object{}, revision: 1, wake: make(chan struct{})}
}

// SetFaults replaces the faults.
func (s *Objects) SetFaults(f ObjectFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.bump()
}

// Down reports whether calls are refused.
func (s *Objects) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down
}

// DropHistory forgets all changes so far.
func (s *Objects) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.revision
}

// bump ends the waits of watches. The caller holds the lock.
func (s *Objects) bump() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// List returns the objects of a kind in order of their names.
func (s *Objects) List(kind storer.ObjectKind) storer.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := storer.Page{Revision: s.revision}
	for _, o := range s.objects[kind] {
		page.Objects = append(page.Objects, o)
	}
	sort.Slice(page.Objects, func(a, b int) bool { return page.Objects[a].Name < page.Objects[b].Name })
	return page
}

// Get returns an object; ok is false if there is none.
func (s *Objects) Get(kind storer.ObjectKind, name string) (o storer.Object, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok = s.objects[kind][name]
	return o, ok
}

// Put writes an object. A condition of nil stands for none, of 0 for an object that does
// not exist. lost says that the answer is to be lost.
func (s *Objects) Put(kind storer.ObjectKind, name string, condition *identifier.Version, data []byte) (o storer.Object, ok, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := s.objects[kind][name]
	if condition != nil && present.Version != *condition {
		return present, false, false
	}
	s.revision++
	o = storer.Object{Name: name, Version: s.revision, Data: data}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storer.Object{}
	}
	s.objects[kind][name] = o
	s.history = append(s.history, change{kind, storer.Event{Object: o}})
	s.bump()
	if condition != nil && s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		lost = true
	}
	return o, true, lost
}

// Delete removes an object.
func (s *Objects) Delete(kind storer.ObjectKind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	o.Version = s.revision
	delete(s.objects[kind], name)
	s.history = append(s.history, change{kind, storer.Event{Object: o, Deleted: true}})
	s.bump()
}

// Watch waits for changes of a kind after a revision; gone says that they are forgotten.
func (s *Objects) Watch(ctx context.Context, kind storer.ObjectKind, from identifier.Version, wait time.Duration) (events storer.Events, gone bool) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		s.mu.Lock()
		if from < s.oldest {
			s.mu.Unlock()
			return storer.Events{}, true
		}
		events := storer.Events{Revision: s.revision}
		for _, c := range s.history {
			if c.kind == kind && c.event.Object.Version > from {
				events.Events = append(events.Events, c.event)
			}
		}
		wake, down := s.wake, s.faults.Down
		s.mu.Unlock()
		if len(events.Events) > 0 || down {
			return events, false
		}
		select {
		case <-ctx.Done():
			return events, false
		case <-wake:
		}
	}
}
