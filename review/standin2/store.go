package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store.
type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		CreatedRev uint64   `json:"created_rev"`
		Finalizers []string `json:"finalizers"`
		Deletion   bool     `json:"deletion_pending"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// change is one event of the store's history.
type change struct {
	kind     string
	revision uint64
	object   object
	deleted  bool
}

// store is a stand-in of the platform's metadata store. It is linearizable and keeps all of its history.
type store struct {
	mu       sync.Mutex
	moved    *sync.Cond
	revision uint64
	kinds    map[string]map[string]object
	history  []change
	listener net.Listener
	server   *http.Server
}

func newStore(address string) (*store, error) {
	s := &store{revision: 100, kinds: map[string]map[string]object{}}
	s.moved = sync.NewCond(&s.mu)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.listener, s.server = l, &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes an object without a condition, as operators and upstreams do.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Spec = data
	s.write(kind, name, o)
}

// remove removes an object without a condition.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok {
		s.delete(kind, o)
	}
}

// write stores an object under the next revision. The caller holds the lock.
func (s *store) write(kind, name string, o object) object {
	s.revision++
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	if o.Metadata.CreatedRev == 0 {
		o.Metadata.CreatedRev = s.revision
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][name] = o
	s.history = append(s.history, change{kind, s.revision, o, false})
	s.moved.Broadcast()
	return o
}

// delete removes an object. The caller holds the lock.
func (s *store) delete(kind string, o object) {
	s.revision++
	delete(s.kinds[kind], o.Metadata.Name)
	o.Metadata.Revision = s.revision
	s.history = append(s.history, change{kind, s.revision, o, true})
	s.moved.Broadcast()
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	data, _ := json.Marshal(value)
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name := path[0], ""
	if len(path) > 1 {
		name = path[1]
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.kinds[kind][name]
		s.mu.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
		answer(w, http.StatusOK, o)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	items := []object{}
	for name, o := range s.kinds[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Metadata.Name < items[b].Metadata.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "more": false, "current_rev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	timer := time.AfterFunc(time.Duration(wait)*time.Millisecond, s.moved.Broadcast)
	defer timer.Stop()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-r.Context().Done():
			s.moved.Broadcast()
		case <-stop:
		}
	}()
	type event struct {
		Deleted bool   `json:"deleted"`
		Object  object `json:"object"`
	}
	s.mu.Lock()
	events := []event{}
	for {
		for _, c := range s.history {
			if c.kind == kind && c.revision > from {
				events = append(events, event{c.deleted, c.object})
			}
		}
		if len(events) > 0 || !time.Now().Before(end) || r.Context().Err() != nil {
			break
		}
		s.moved.Wait()
	}
	revision := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
	}
	expected := sent.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		expected, _ = strconv.ParseUint(q, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	o, ok := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && ok, ok && expected != 0 && expected != o.Metadata.Revision:
		answer(w, http.StatusConflict, o)
	case r.Method == http.MethodPost:
		answer(w, http.StatusOK, s.write(kind, name, object{Spec: sent.Spec, Status: json.RawMessage("null")}))
	case !ok:
		answer(w, http.StatusNotFound, map[string]any{})
	case r.Method == http.MethodDelete:
		s.delete(kind, o)
		answer(w, http.StatusOK, o)
	default:
		if string(o.Spec) != string(sent.Spec) {
			o.Spec = sent.Spec
			o = s.write(kind, name, o)
		}
		answer(w, http.StatusOK, o)
	}
}
