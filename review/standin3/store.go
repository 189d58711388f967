package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is the time that the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// object is an object of the store.
type object struct {
	Kind       string
	Name       string
	Revision   uint64
	CreatedRev uint64
	Spec       json.RawMessage
	Status     json.RawMessage
}

// change is an entry of the store's history.
type change struct {
	object  object
	deleted bool
}

// store is a stand-in for the platform's object store. Its answers are linearizable, and it loses nothing.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{} // Closed at the next change.
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object without a condition, as the operator and the upstreams do.
func (s *store) put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[kind][name]
	o := object{Kind: kind, Name: name, Spec: data, CreatedRev: old.CreatedRev}
	if !ok {
		o.CreatedRev = s.revision + 1
	}
	s.apply(o, false)
	return s.revision
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.apply(o, true)
	}
}

// apply makes a change under the next revision. The caller holds the lock.
func (s *store) apply(o object, deleted bool) object {
	s.revision++
	o.Revision = s.revision
	if s.objects[o.Kind] == nil {
		s.objects[o.Kind] = map[string]object{}
	}
	if deleted {
		delete(s.objects[o.Kind], o.Name)
	} else {
		s.objects[o.Kind][o.Name] = o
	}
	s.history = append(s.history, change{o, deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func (o object) wire() map[string]any {
	return map[string]any{
		"metadata": map[string]any{"name": o.Name, "revision": o.Revision, "created_rev": o.CreatedRev, "finalizers": []string{}, "deletion_pending": false},
		"spec":     o.Spec, "status": o.Status,
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name != "":
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o.wire())
	case r.Method == http.MethodGet && q.Has("watch"):
		s.watch(r.Context(), w, kind, q.Get("watch"), q.Get("wait_ms"))
	case r.Method == http.MethodGet:
		s.list(w, kind)
	default:
		s.write(w, r, kind, name, len(parts) > 2)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := make([]any, 0, len(s.objects[kind]))
	var names []string
	for n := range s.objects[kind] {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		items = append(items, s.objects[kind][n].wire())
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "more": false, "current_rev": revision})
}

func (s *store) watch(ctx context.Context, w http.ResponseWriter, kind, from, waitMs string) {
	rev, err1 := strconv.ParseUint(from, 10, 64)
	ms, err2 := strconv.Atoi(waitMs)
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		events := []any{}
		for _, c := range s.history {
			if c.object.Revision > rev && c.object.Kind == kind {
				events = append(events, map[string]any{"object": c.object.wire(), "deleted": c.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		case <-ctx.Done():
			return
		}
	}
}

// write serves POST, PUT and DELETE.
func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var wire struct {
		Metadata struct {
			Name     string  `json:"name"`
			Revision *uint64 `json:"revision"`
		} `json:"metadata"`
		Spec   json.RawMessage `json:"spec"`
		Status json.RawMessage `json:"status"`
	}
	if len(body) > 0 && json.Unmarshal(body, &wire) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	expected := wire.Metadata.Revision
	if v, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64); err == nil {
		expected = &v
	}
	if r.Method == http.MethodPost {
		name = wire.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && ok, ok && expected != nil && *expected != o.Revision:
		reply(w, http.StatusConflict, o.wire())
		return
	case r.Method != http.MethodPost && !ok:
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Method == http.MethodDelete:
		reply(w, http.StatusOK, s.apply(o, true).wire())
		return
	case !ok:
		o = object{Kind: kind, Name: name, CreatedRev: s.revision + 1}
	case !status && string(o.Spec) == string(wire.Spec):
		reply(w, http.StatusOK, o.wire())
		return
	}
	if status {
		o.Status = wire.Status
	} else {
		o.Spec = wire.Spec
	}
	reply(w, http.StatusOK, s.apply(o, false).wire())
}

func reply(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprint("answer of the store does not encode: ", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
