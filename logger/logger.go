// Package logger writes log lines without ever blocking the code that logs. Lines pass through a
// bounded buffer; lines that don't fit are dropped and counted.
package logger

import (
	"context"
	"io"
	"sync/atomic"
)

// bufferedLines is the number of lines that may wait for the output.
const bufferedLines = 4096

// bufferedBytes bounds the size of the lines that wait for the output, those of the write that is under way included. It has
// room for bufferedLines of usual size, but not for as many with the longest request IDs.
const bufferedBytes = 4 << 20

// Writer passes lines on to an output that may block. Write and Dropped may be called concurrently.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	bytes   atomic.Int64 // Size of the lines that wait.
	dropped atomic.Uint64
	done    chan error
}

// New returns a Writer to out. Nothing is written before Run is called.
func New(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, bufferedLines), done: make(chan error, 1)}
}

// Write queues a copy of a line, or drops the line if the buffer is full. It returns len(line) and
// never an error.
func (w *Writer) Write(line []byte) (int, error) {
	size := int64(len(line))
	if w.bytes.Add(size) > bufferedBytes {
		w.bytes.Add(-size)
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.bytes.Add(-size)
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the buffer was full, plus the number of
// failed writes to the output.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Done returns the channel on which Run reports its end: nil, or the error of the last write.
func (w *Writer) Done() <-chan error { return w.done }

// Run writes lines until ctx ends, then those that still wait. Lines that are queued at the same
// time are written together.
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

// write writes first and all queued lines to the output in one call.
func (w *Writer) write(first []byte) error {
	batch := first
	for n := len(w.lines); n > 0; n-- {
		batch = append(batch, <-w.lines...)
	}
	_, err := w.out.Write(batch)
	w.bytes.Add(-int64(len(batch)))
	return err
}
