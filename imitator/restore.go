package imitator

import (
	"maps"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/storer"
)

// ObjectStoreCopy is a copy of all objects of a simulated store, from which it can be restored.
type ObjectStoreCopy struct {
	objects  map[storer.ObjectKind]map[string]storer.Object
	revision identifier.Version
}

// StateEras makes the store state its era from now on, which is 1 at first.
func (s *ObjectStore) StateEras() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = 1
}

// Era returns the era of the store; 0 if it states none.
func (s *ObjectStore) Era() identifier.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Copy returns a copy of the store.
func (s *ObjectStore) Copy() ObjectStoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ObjectStoreCopy{cloneObjects(s.objects), s.revision}
}

// Restore replaces the store by a copy and begins the next era. Revisions after the copy are given out again, and the watches
// that wait end.
func (s *ObjectStore) Restore(c ObjectStoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.revision = cloneObjects(c.objects), c.revision
	s.history, s.oldest = nil, s.revision
	s.era++
	s.wakeWatches()
}

// cloneObjects returns a copy of the objects of all kinds.
func cloneObjects(objects map[storer.ObjectKind]map[string]storer.Object) map[storer.ObjectKind]map[string]storer.Object {
	clone := make(map[storer.ObjectKind]map[string]storer.Object, len(objects))
	for kind, each := range objects {
		clone[kind] = maps.Clone(each)
	}
	return clone
}
