package logger_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/turmericlift/turmericlift/logger"
)

// TestBlockedOutput checks that an output that blocks, such as a standard output that nobody reads,
// does not block the code that logs: lines are dropped and counted.
func TestBlockedOutput(t *testing.T) {
	reader, output := io.Pipe() // Nobody reads from the pipe, so that a write blocks.
	w := logger.New(output)
	ctx, cancel := context.WithCancel(context.Background())
	go w.Run(ctx)
	const lines = 20000
	for n := range lines {
		if _, err := fmt.Fprintf(w, "line %d\n", n); err != nil {
			t.Fatal(err)
		}
	}
	if w.Dropped() < lines/2 {
		t.Errorf("%d of %d lines were dropped, want at least half", w.Dropped(), lines)
	}
	_ = reader.Close()
	cancel()
	<-w.Done()
}

// TestBlockedOutputLongLines guards against long lines, such as those with the longest request IDs that clients may send, that
// take memory without bound while the output blocks.
func TestBlockedOutputLongLines(t *testing.T) {
	reader, output := io.Pipe() // Nobody reads from the pipe, so that a write blocks.
	w := logger.New(output)
	ctx, cancel := context.WithCancel(context.Background())
	go w.Run(ctx)
	const lines, length, most = 1000, 16 << 10, 4 << 20
	line := strings.Repeat("x", length)
	for range lines {
		_, _ = io.WriteString(w, line)
	}
	if kept := lines - int(w.Dropped()); kept > most/length {
		t.Errorf("%d lines of %d bytes are kept, want at most %d bytes", kept, length, most)
	}
	_ = reader.Close()
	cancel()
	<-w.Done()
}

// TestLines checks that all lines are written in order, including those that are still queued when
// ctx ends.
func TestLines(t *testing.T) {
	var out bytes.Buffer
	w := logger.New(&out)
	var want strings.Builder
	for n := range 1000 {
		line := fmt.Sprintf("line %d\n", n)
		want.WriteString(line)
		_, _ = io.WriteString(w, line)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	go w.Run(ctx)
	if err := <-w.Done(); err != nil || out.String() != want.String() || w.Dropped() != 0 {
		t.Errorf("wrote %d bytes, error %v, %d lines dropped; want %d bytes, no error and none dropped", out.Len(), err, w.Dropped(), want.Len())
	}
}
