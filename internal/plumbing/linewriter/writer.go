// Package linewriter writes log lines without ever holding up those who log.
package linewriter

import (
	"io"
	"sync"
	"sync/atomic"
)

// capacity is the number of lines that may wait to be written.
const capacity = 2048

// Writer queues lines and writes them on a goroutine of its own. Lines that find
// the queue full are dropped and counted.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	group   sync.WaitGroup
}

// New returns a writer. Close must be called.
func New(to io.Writer) *Writer {
	w := &Writer{to: to, lines: make(chan []byte, capacity)}
	w.group.Go(w.run)
	return w
}

// Write queues one line. It never fails.
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

// Close writes what is queued. No line may be written after it.
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
