// Package imitator holds the stand-ins for the systems that the daemon meets: the
// platform's object API and a backend server. They speak the real interfaces over
// HTTP, keep everything in memory, and fail on request.
package imitator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/storer"
)

// maxWatchWait bounds how long the platform holds a watch open.
const maxWatchWait = 60 * time.Second

// PlatformFaults are the faults that the platform stand-in shows on request.
type PlatformFaults struct {
	Down        bool // Every call is refused with 503.
	SlowMs      int  // Every call takes this much longer, in milliseconds.
	LoseAnswers int  // So many of the next writes take effect and their answers are lost.
	CutWatches  bool // Waiting watches end at once with 503.
	FreezeList  bool // The list of instances does not change any more.
}

// PlatformLimits are the platform's call limits.
type PlatformLimits struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Platform is the stand-in for the platform's object API.
type Platform struct {
	mu        sync.Mutex
	revision  identifier.Version
	objects   map[string]storer.Object
	changed   chan struct{} // Closed and replaced at each change.
	instances map[string]storer.Listed
	frozen    []storer.Listed
	faults    PlatformFaults
	writes    *rate.Limiter
	reads     *rate.Limiter
	calls     map[string]int
}

// NewPlatform returns an empty platform.
func NewPlatform(limits PlatformLimits) *Platform {
	return &Platform{
		objects:   map[string]storer.Object{},
		instances: map[string]storer.Listed{},
		changed:   make(chan struct{}),
		writes:    rate.NewLimiter(rate.Limit(limits.WritesPerSecond), int(limits.WritesPerSecond)),
		reads:     rate.NewLimiter(rate.Limit(limits.ReadsPerSecond), int(limits.ReadsPerSecond)),
		calls:     map[string]int{},
	}
}

// Handler returns the platform's HTTP interface.
func (s *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{name...}", s.gate("Read", s.reads, s.read))
	mux.HandleFunc("PUT /v1/objects/{name...}", s.gate("Write", s.writes, s.write))
	mux.HandleFunc("GET /v1/watch", s.gate("Watch", s.reads, s.watch))
	mux.HandleFunc("GET /v1/instances", s.gate("List", s.reads, s.list))
	mux.HandleFunc("PUT /standin/instances/{id}", s.putInstance)
	mux.HandleFunc("DELETE /standin/instances/{id}", s.deleteInstance)
	mux.HandleFunc("PUT /standin/faults", s.putFaults)
	mux.HandleFunc("GET /standin/calls", s.getCalls)
	return mux
}

// gate applies the call limit and the faults that concern every call.
func (s *Platform) gate(kind string, limit *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[kind]++
		faults := s.faults
		s.mu.Unlock()
		if faults.SlowMs > 0 {
			sleep(r.Context(), time.Duration(faults.SlowMs)*time.Millisecond)
		}
		if faults.Down {
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
			return
		}
		if !limit.Allow() {
			http.Error(w, "call limit", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (s *Platform) read(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.objects[r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "object does not exist", http.StatusNotFound)
		return
	}
	w.Header().Set(storer.HeaderVersion, formatVersion(o.Version))
	_, _ = w.Write(o.Data)
}

func (s *Platform) write(w http.ResponseWriter, r *http.Request) {
	expected, err := strconv.ParseUint(r.Header.Get(storer.HeaderIfVersion), 10, 64)
	if err != nil {
		http.Error(w, "header If-Version is not a number", http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, storer.MaxValueSize))
	if err != nil {
		http.Error(w, "value cannot be read", http.StatusRequestEntityTooLarge)
		return
	}
	v, ok, lost := s.put(r.PathValue("name"), identifier.Version(expected), data)
	if lost {
		panic(http.ErrAbortHandler) // The connection breaks without an answer.
	}
	w.Header().Set(storer.HeaderVersion, formatVersion(v))
	if !ok {
		w.WriteHeader(http.StatusConflict)
	}
}

func (s *Platform) put(name string, expected identifier.Version, data []byte) (v identifier.Version, ok, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := s.objects[name].Version
	if present != expected {
		return present, false, false
	}
	s.revision++
	s.objects[name] = storer.Object{Name: name, Version: s.revision, Data: data}
	close(s.changed)
	s.changed = make(chan struct{})
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return s.revision, true, true
	}
	return s.revision, true, false
}

func (s *Platform) watch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("From"), 10, 64)
	if err != nil {
		http.Error(w, "From is not a number", http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("WaitMs"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	defer cancel()
	for {
		change, changed, faults := s.since(r.URL.Query().Get("Prefix"), identifier.Version(from))
		if faults.CutWatches || faults.Down {
			http.Error(w, "watch cut", http.StatusServiceUnavailable)
			return
		}
		if len(change.Objects) > 0 || ctx.Err() != nil {
			writeJSON(w, change)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *Platform) since(prefix string, from identifier.Version) (storer.Change, <-chan struct{}, PlatformFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change := storer.Change{Revision: s.revision}
	for name, o := range s.objects {
		if o.Version > from && strings.HasPrefix(name, prefix) {
			change.Objects = append(change.Objects, o)
		}
	}
	return change, s.changed, s.faults
}

func (s *Platform) list(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	list := s.frozen
	if !s.faults.FreezeList {
		list = s.listed()
	}
	s.mu.Unlock()
	writeJSON(w, list)
}

func (s *Platform) listed() []storer.Listed {
	list := make([]storer.Listed, 0, len(s.instances))
	for _, l := range s.instances {
		list = append(list, l)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// PutInstance lists an instance; a platform learns of its machines by itself.
func (s *Platform) PutInstance(l storer.Listed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[l.ID] = l
}

// DeleteInstance takes an ended instance off the list.
func (s *Platform) DeleteInstance(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.instances, id)
}

// SetFaults replaces the faults that the platform shows.
func (s *Platform) SetFaults(f PlatformFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.FreezeList && !s.faults.FreezeList {
		s.frozen = s.listed()
	}
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls returns how many calls of each kind have come in.
func (s *Platform) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for kind, n := range s.calls {
		calls[kind] = n
	}
	return calls
}

func (s *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var l storer.Listed
	if !readJSON(w, r, &l) {
		return
	}
	l.ID = r.PathValue("id")
	s.PutInstance(l)
}

func (s *Platform) deleteInstance(_ http.ResponseWriter, r *http.Request) {
	s.DeleteInstance(r.PathValue("id"))
}

func (s *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if readJSON(w, r, &f) {
		s.SetFaults(f)
	}
}

func (s *Platform) getCalls(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) }

func formatVersion(v identifier.Version) string { return strconv.FormatUint(uint64(v), 10) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
