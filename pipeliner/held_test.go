package pipeliner_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestHeldAnswersBounded guards against the memory of answers that wait behind a slow one. Their handlers wait, and the answers
// are complete and in order in the end.
func TestHeldAnswersBounded(t *testing.T) {
	t.Parallel()
	const size, chunk, others = 1 << 20, 10000, 8
	var mu sync.Mutex
	written := 0
	g := newGates(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
		if r.URL.Path == "/read/0" {
			return
		}
		block := strings.Repeat("x", chunk)
		for range size / chunk {
			if _, err := io.WriteString(w, block); err != nil {
				t.Errorf("%s: %v", r.URL.Path, err)
			}
			mu.Lock()
			written += chunk
			mu.Unlock()
		}
	})
	s := start(t, settings, g)
	c := dial(t, s.address)
	var paths []string
	for n := range others + 1 {
		paths = append(paths, fmt.Sprintf("/read/%d", n))
	}
	c.send(paths...)
	expect(t, "start", g.started, paths...)
	for _, p := range paths[1:] {
		close(g.gate(p))
	}
	for s.events.counts().paused < others {
		time.Sleep(time.Millisecond)
	}
	mu.Lock()
	if bound := 256<<10 + others*chunk; written > bound {
		t.Errorf("%d bytes of answers are held, want at most %d", written, bound)
	}
	mu.Unlock()
	close(g.gate("/read/0"))
	c.answered("/read/0")
	for _, p := range paths[1:] {
		a := readAnswer(c.reader, get)
		if len(a.Body) != len(p)+size/chunk*chunk || !strings.HasPrefix(a.Body, p) {
			t.Fatalf("answer of %d bytes, %s; want that to %s", len(a.Body), short(a), p)
		}
	}
}

// TestHeldAnswersBoundedTogether guards against the memory of answers that wait on many connections. All of them are written in
// the end, whatever the others hold.
func TestHeldAnswersBoundedTogether(t *testing.T) {
	t.Parallel()
	const size, callers, bound = 50000, 8, 100000
	var mu sync.Mutex
	written := 0
	g := newGates(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
		for range size / 1000 {
			if strings.HasPrefix(r.URL.Path, "/read/first") {
				continue
			}
			_, _ = io.WriteString(w, strings.Repeat("x", 1000))
			mu.Lock()
			written += 1000
			mu.Unlock()
		}
	})
	few := settings
	few.MaxHeldBytes = bound
	s := start(t, few, g)
	connections := make([]*caller, callers)
	for n := range connections {
		connections[n] = dial(t, s.address)
		first, second := fmt.Sprintf("/read/first-%d", n), fmt.Sprintf("/read/second-%d", n)
		connections[n].send(first, second)
		expect(t, "start", g.started, first, second)
		close(g.gate(second))
	}
	for s.events.counts().paused < callers-bound/size {
		time.Sleep(time.Millisecond)
	}
	mu.Lock()
	if most := bound + callers*2000; written > most {
		t.Errorf("%d bytes of answers are held, want at most %d", written, most)
	}
	mu.Unlock()
	for n, c := range connections {
		first, second := fmt.Sprintf("/read/first-%d", n), fmt.Sprintf("/read/second-%d", n)
		close(g.gate(first))
		c.answered(first, second+strings.Repeat("x", size))
	}
}
