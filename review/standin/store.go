package main

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeLatency is the time of an answer of the platform's store.
	storeLatency = 4 * time.Millisecond
	// storeHistory is how long the store keeps changes for watches.
	storeHistory = 20 * time.Second
	// maxWatchWait bounds the time that a watch waits.
	maxWatchWait = 30 * time.Second
	// beatInterval is the time between two writes of an upstream's entry.
	beatInterval = 870 * time.Millisecond
	// silentBeats is the number of beat intervals without a write after which an entry is removed.
	silentBeats = 3
)

// metadata is the part of an object that the store maintains.
type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	CreatedRev      uint64   `json:"created_rev"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

// object is one object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// change is an entry of the store's history.
type change struct {
	kind    string
	at      time.Time
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store simulates the platform's object store.
type store struct {
	rec *recorder

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	beats    map[string]time.Time // By name of an upstream, when its entry was written last.
	history  []change
	dropped  uint64        // Revision of the newest change that is no longer in the history.
	changed  chan struct{} // Closed and replaced at each change.
}

func newStore(rec *recorder) *store {
	return &store{rec: rec, revision: 1, objects: map[string]map[string]object{}, beats: map[string]time.Time{},
		changed: make(chan struct{})}
}

// put writes an object without a condition, as operators and upstreams do. A write that changes nothing has no effect.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // The specs are built by this program.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
}

// write writes an object and returns it as it is afterwards. The caller holds the lock.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	old, ok := s.objects[kind][name]
	if ok && bytes.Equal(old.Spec, spec) {
		return old
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, CreatedRev: s.revision, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if ok {
		o.Metadata.CreatedRev = old.Metadata.CreatedRev
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.announce(change{kind: kind, at: time.Now(), Object: o})
	return o
}

// remove removes an object. The caller holds the lock.
func (s *store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.announce(change{kind: kind, at: time.Now(), Object: o, Deleted: true})
}

// announce adds a change to the history and wakes the watches. The caller holds the lock.
func (s *store) announce(c change) {
	for len(s.history) > 0 && time.Since(s.history[0].at) > storeHistory {
		s.dropped = s.history[0].Object.Metadata.Revision
		s.history = s.history[1:]
	}
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// beat writes an upstream's entry. The entry does not change if no more than its sequence differs.
func (s *store) beat(id string, entry map[string]any) {
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err) // The entries are built by this program.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats[id] = time.Now()
	old, ok := s.objects["servers"][id]
	if ok && sameButSequence(old.Spec, entry) {
		old.Spec = data
		s.objects["servers"][id] = old
		return
	}
	s.write("servers", id, data)
	s.rec.line("store: entry of %s is now %s", id, data)
}

// sameButSequence reports whether an entry in the store differs from another one in its sequence only.
func sameButSequence(old json.RawMessage, entry map[string]any) bool {
	var fields map[string]any
	if json.Unmarshal(old, &fields) != nil {
		return false
	}
	delete(fields, "sequence")
	other := maps.Clone(entry)
	delete(other, "sequence")
	a, errA := json.Marshal(fields)
	data, errB := json.Marshal(other)
	var normal map[string]any
	if errA != nil || errB != nil || json.Unmarshal(data, &normal) != nil {
		return false
	}
	b, errB := json.Marshal(normal)
	return errB == nil && bytes.Equal(a, b)
}

// expire removes the entries of upstreams that have been silent for silentBeats intervals, until stop is closed.
func (s *store) expire(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		s.mu.Lock()
		for id, at := range s.beats {
			if time.Since(at) >= silentBeats*beatInterval {
				delete(s.beats, id)
				s.remove("servers", id)
				s.rec.line("store: entry of %s removed, it was silent", id)
			}
		}
		s.mu.Unlock()
	}
}

// handler serves the store to one instance.
func (s *store) handler(caller string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
		switch {
		case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
			s.serveWatch(w, r, kind)
		case r.Method == http.MethodGet && name != "":
			s.mu.Lock()
			o, ok := s.objects[kind][name]
			s.mu.Unlock()
			if !ok {
				reply(w, http.StatusNotFound, map[string]any{})
				return
			}
			reply(w, http.StatusOK, o)
		case r.Method == http.MethodGet:
			s.serveList(w, kind)
		default:
			s.serveWrite(w, r, caller, kind, name)
		}
	})
}

// reply writes an answer with a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // An error means that the caller has left.
}

func (s *store) serveList(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := make([]object, 0, len(s.objects[kind]))
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Metadata.Name < items[b].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "more": false, "current_rev": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	end := time.After(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > from {
				events = append(events, c)
			}
		}
		gone, revision, changed := from < s.dropped, s.revision, s.changed
		s.mu.Unlock()
		if gone {
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		answer := map[string]any{"events": events, "current_rev": revision}
		if len(events) > 0 {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, http.StatusOK, answer)
			return
		case <-changed:
		}
	}
}

// serveWrite serves a conditional write of an instance: POST creates, PUT replaces and DELETE removes.
func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, caller, kind, name string) {
	var body struct {
		Metadata struct {
			Name     string  `json:"name"`
			Revision *uint64 `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&body) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if name == "" {
		name = body.Metadata.Name
	}
	expected := body.Metadata.Revision
	if n, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64); err == nil {
		expected = &n
	}
	status, o := s.change(r.Method, kind, name, expected, body.Spec)
	if !strings.HasPrefix(name, "member.") {
		s.rec.line("store: %s of %s by %s: %d, revision %d%s", r.Method, name, caller, status, o.Metadata.Revision, summary(name, body.Spec))
	}
	reply(w, status, o)
}

// change carries out a write if the object has the expected revision, and returns the status and the object as it is then.
func (s *store) change(method, kind, name string, expected *uint64, spec json.RawMessage) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case !exists && method != http.MethodPost:
		return http.StatusNotFound, old
	case exists && (method == http.MethodPost || expected != nil && *expected != old.Metadata.Revision):
		return http.StatusConflict, old
	case method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, old
	}
	return http.StatusOK, s.write(kind, name, spec)
}

// summary returns what a written roster holds, for the record. Allocations are too long for it.
func summary(name string, spec json.RawMessage) string {
	if strings.HasPrefix(name, "roster.") {
		return " " + string(spec)
	}
	return ""
}
