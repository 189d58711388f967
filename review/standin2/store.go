package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
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
	first    uint64 // The first revision of which the history is kept.
	era      int    // 0: the store states none.
	copied   *storeCopy
}

// storeCopy is a copy of the store from which it can come back.
type storeCopy struct {
	revision uint64
	kinds    map[string]map[string]object
}

// gate is the way of one machine to the store.
type gate struct {
	st       *store
	listener net.Listener
	server   *http.Server
	mu       sync.Mutex
	mode     string  // Empty: the store serves the machine. Else busy, many, silent, reset.
	lose     float64 // The share of the writes whose answer is lost.
	late     bool    // These are done 1 to 6 s later.
	conns    map[net.Conn]bool
}

func newGate(st *store) (*gate, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{st: st, listener: l, conns: map[net.Conn]bool{}}
	g.server = &http.Server{Handler: g, ConnState: func(c net.Conn, state http.ConnState) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if state == http.StateClosed || state == http.StateHijacked {
			delete(g.conns, c)
		} else {
			g.conns[c] = true
		}
	}}
	go func() { _ = g.server.Serve(l) }()
	return g, nil
}

// set changes the mode. The connections are reset if there is one, so that no watch passes it.
func (g *gate) set(mode string) {
	g.mu.Lock()
	g.mode = mode
	conns := g.conns
	g.conns = map[net.Conn]bool{}
	g.mu.Unlock()
	if mode == "" {
		return
	}
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	mode, lose, late := g.mode, g.lose, g.late
	g.mu.Unlock()
	switch mode {
	case "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "many":
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case "silent":
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case "reset":
		panic(http.ErrAbortHandler)
	}
	if r.Method != http.MethodGet && rand.Float64() < lose {
		if late {
			body, _ := io.ReadAll(r.Body)
			again := r.Clone(context.Background())
			again.Body = io.NopCloser(bytes.NewReader(body))
			time.AfterFunc(time.Duration(1000+rand.IntN(5000))*time.Millisecond, func() { g.st.ServeHTTP(httptest.NewRecorder(), again) })
		} else {
			g.st.ServeHTTP(httptest.NewRecorder(), r)
		}
		panic(http.ErrAbortHandler)
	}
	g.st.ServeHTTP(w, r)
}

// keep takes a copy of the store.
func (s *store) keep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &storeCopy{revision: s.revision, kinds: map[string]map[string]object{}}
	for kind, objects := range s.kinds {
		c.kinds[kind] = maps.Clone(objects)
	}
	s.copied = c
}

// restore brings the store back from the copy, in the next era.
func (s *store) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.kinds, s.history = s.copied.revision, map[string]map[string]object{}, nil
	s.first = s.revision
	for kind, objects := range s.copied.kinds {
		s.kinds[kind] = maps.Clone(objects)
	}
	s.moved.Broadcast()
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
	s.mu.Lock()
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
	}
	s.mu.Unlock()
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
	era := s.era
	for {
		if from > s.revision || from < s.first || s.era != era {
			s.mu.Unlock()
			answer(w, http.StatusGone, map[string]any{})
			return
		}
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
