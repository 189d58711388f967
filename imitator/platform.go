// Package imitator simulates the systems that the program depends on, for tests, the soak test and the development
// mode. All simulators keep their state in memory and show faults on request. Platform (this file) and Backend
// (backend.go, with Fence in fence.go) serve over HTTP what packages storer and sender call: a platform's object API,
// and a backend server. The models in objects.go and grantee.go have no network protocol: the object store of the
// users' platform, and the grants of one of its backend servers. Another package serves them in that platform's
// protocol. Start with this file.
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

// maxWatchWait is the longest time for which the platform keeps a watch waiting.
const maxWatchWait = 60 * time.Second

// PlatformFaults are the faults of the simulated platform. The zero value has none.
type PlatformFaults struct {
	// Down makes the platform refuse every call with status 503.
	Down bool
	// SlowMs is a delay before every call, in milliseconds.
	SlowMs int
	// LoseAnswers is the number of writes that from now on take effect while their answer is lost.
	LoseAnswers int
	// CutWatches ends watches at once with status 503, those that wait and new ones.
	CutWatches bool
	// FreezeList makes the platform return the list of instances as it was when the fault was set.
	FreezeList bool
}

// PlatformLimits are the rates above which the platform refuses calls with status 429. Watches and lists count as
// reads. Up to one second's calls may come at once.
type PlatformLimits struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Platform simulates a platform's object API and its list of instances. Its methods are safe for concurrent use.
type Platform struct {
	mu         sync.Mutex
	revision   identifier.Version
	objects    map[string]storer.Object
	changed    chan struct{} // Closed and replaced at each change of an object or of the faults.
	instances  map[string]storer.ListedInstance
	frozenList []storer.ListedInstance // The list of instances while FreezeList is set.
	faults     PlatformFaults
	writes     *rate.Limiter
	reads      *rate.Limiter
	calls      map[string]int // By kind of call.
}

// NewPlatform returns a platform without objects, instances and faults.
func NewPlatform(limits PlatformLimits) *Platform {
	return &Platform{
		objects:   map[string]storer.Object{},
		instances: map[string]storer.ListedInstance{},
		changed:   make(chan struct{}),
		writes:    rate.NewLimiter(rate.Limit(limits.WritesPerSecond), int(limits.WritesPerSecond)),
		reads:     rate.NewLimiter(rate.Limit(limits.ReadsPerSecond), int(limits.ReadsPerSecond)),
		calls:     map[string]int{},
	}
}

// Handler returns the platform's HTTP handler: the object API, and under /standin/ the calls by which a test sets
// faults, changes the list of instances and counts calls.
func (s *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{name...}", s.limited("Read", s.reads, s.read))
	mux.HandleFunc("PUT /v1/objects/{name...}", s.limited("Write", s.writes, s.write))
	mux.HandleFunc("GET /v1/watch", s.limited("Watch", s.reads, s.watch))
	mux.HandleFunc("GET /v1/instances", s.limited("List", s.reads, s.list))
	mux.HandleFunc("PUT /standin/instances/{id}", s.putInstance)
	mux.HandleFunc("DELETE /standin/instances/{id}", s.deleteInstance)
	mux.HandleFunc("PUT /standin/faults", s.putFaults)
	mux.HandleFunc("GET /standin/calls", s.getCalls)
	return mux
}

// limited wraps the handler of one kind of call: it counts the call and applies the faults that concern every call and
// the call limit.
func (s *Platform) limited(kind string, limit *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[kind]++
		faults := s.faults
		s.mu.Unlock()
		if faults.SlowMs > 0 {
			sleep(r.Context(), time.Duration(faults.SlowMs)*time.Millisecond)
		}
		if faults.Down {
			http.Error(w, "simulated platform is down", http.StatusServiceUnavailable)
			return
		}
		if !limit.Allow() {
			http.Error(w, "call limit exceeded", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

// sleep waits for d or until ctx ends.
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
		http.Error(w, "value is too large or could not be read", http.StatusRequestEntityTooLarge)
		return
	}
	v, written, answerLost := s.put(r.PathValue("name"), identifier.Version(expected), data)
	if answerLost {
		panic(http.ErrAbortHandler) // The connection breaks without an answer.
	}
	w.Header().Set(storer.HeaderVersion, formatVersion(v))
	if !written {
		w.WriteHeader(http.StatusConflict)
	}
}

// put writes an object if its version is expected; 0 means that it does not exist. It returns the new version, or the
// present one if it is another. answerLost reports that the caller must not get an answer.
func (s *Platform) put(name string, expected identifier.Version, data []byte) (v identifier.Version, written, answerLost bool) {
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

// watch answers once objects with the prefix have changed after the revision From, or after WaitMs milliseconds.
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
		result, changed, faults := s.changesSince(r.URL.Query().Get("Prefix"), identifier.Version(from))
		if faults.CutWatches || faults.Down {
			http.Error(w, "watch ended by a simulated fault", http.StatusServiceUnavailable)
			return
		}
		if len(result.Objects) > 0 || ctx.Err() != nil {
			writeJSON(w, result)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// changesSince returns the objects with a prefix that have changed after a revision, a channel that is closed at the
// next change, and the faults.
func (s *Platform) changesSince(prefix string, from identifier.Version) (storer.WatchResult, <-chan struct{}, PlatformFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := storer.WatchResult{Revision: s.revision}
	for name, o := range s.objects {
		if o.Version > from && strings.HasPrefix(name, prefix) {
			result.Objects = append(result.Objects, o)
		}
	}
	return result, s.changed, s.faults
}

func (s *Platform) list(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	list := s.frozenList
	if !s.faults.FreezeList {
		list = s.sortedInstances()
	}
	s.mu.Unlock()
	writeJSON(w, list)
}

// sortedInstances returns the listed instances, sorted by ID. The caller holds the lock.
func (s *Platform) sortedInstances() []storer.ListedInstance {
	list := make([]storer.ListedInstance, 0, len(s.instances))
	for _, l := range s.instances {
		list = append(list, l)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// PutInstance adds an instance to the list or replaces its entry. A real platform knows its machines without such a
// call.
func (s *Platform) PutInstance(l storer.ListedInstance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[l.ID] = l
}

// DeleteInstance removes an instance that has ended from the list.
func (s *Platform) DeleteInstance(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.instances, id)
}

// SetFaults replaces all faults of the platform and wakes the watches that wait.
func (s *Platform) SetFaults(f PlatformFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.FreezeList && !s.faults.FreezeList {
		s.frozenList = s.sortedInstances()
	}
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls returns the number of calls received of each kind, Read, Write, Watch and List, including those that were
// refused.
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
	var l storer.ListedInstance
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

// readJSON decodes the body of a request. If that fails it answers 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
