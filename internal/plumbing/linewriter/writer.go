// Package linewriter writes log lines asynchronously, so that a slow or blocked
// output never blocks the code that logs.
package linewriter

import (
	"io"
	"sync"
	"sync/atomic"
)

// queueCapacity is the maximum number of lines in the queue.
const queueCapacity = 2048

// Writer queues lines and writes them on a separate goroutine. Lines that arrive
// while the queue is full are dropped and counted.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	group   sync.WaitGroup
}

// New returns a Writer that writes to an output and starts its goroutine, which
// runs until Close.
func New(to io.Writer) *Writer {
	w := &Writer{to: to, lines: make(chan []byte, queueCapacity)}
	w.group.Go(w.run)
	return w
}

// Write queues a copy of one line, or drops it if the queue is full. It never
// blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the queue was full
// or the output returned an error.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the queued lines and stops the goroutine. Write panics after Close.
func (w *Writer) Close() {
	close(w.lines)
	w.group.Wait()
}

func (w *Writer) run() {
	for line := range w.lines {
		if _, err := w.to.Write(line); err != nil {
			w.dropped.Add(1)
		}
	}
}
