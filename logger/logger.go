// Package logger writes log lines without ever blocking the code that logs: lines go
// through a bounded buffer, and what does not fit is counted and dropped.
package logger

import (
	"context"
	"io"
	"sync/atomic"
)

// bufferedLines bounds the lines that wait for the output.
const bufferedLines = 4096

// Writer passes lines on to an output that may block.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan error
}

// New returns a Writer to out. Run must be called.
func New(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, bufferedLines), done: make(chan error, 1)}
}

// Write takes a line, or drops it if the buffer is full. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Done returns the channel on which Run reports its end.
func (w *Writer) Done() <-chan error { return w.done }

// Run writes lines until ctx ends, then those that wait. Lines that have come together
// are written together.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case line := <-w.lines:
			if err := w.write(line); err != nil {
				w.dropped.Add(1)
			}
		case <-ctx.Done():
			for len(w.lines) > 0 {
				if err := w.write(nil); err != nil {
					w.done <- err
					return
				}
			}
			w.done <- nil
			return
		}
	}
}

func (w *Writer) write(first []byte) error {
	batch := first
	for n := len(w.lines); n > 0; n-- {
		batch = append(batch, <-w.lines...)
	}
	_, err := w.out.Write(batch)
	return err
}
