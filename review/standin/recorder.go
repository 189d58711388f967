package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, with the seconds since the start.
type recorder struct {
	startedAt time.Time

	mu   sync.Mutex
	file *os.File
	runs map[string]int // By request id.
}

func newRecorder(dir string) (*recorder, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &recorder{startedAt: time.Now(), file: f, runs: map[string]int{}}, nil
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.startedAt).Seconds()}, args...)...) // The verdict does not depend on it.
}

// run counts a run of a request.
func (r *recorder) run(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

// runCount returns how many times a request has run.
func (r *recorder) runCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}
