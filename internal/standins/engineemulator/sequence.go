package engineemulator

import (
	"context"
	"slices"
	"time"
)

// sequence is one request in the engine, whether it is waiting, running or paused.
type sequence struct {
	id          string
	model       string
	prompt      string
	maxTokens   int
	generated   int
	prefillLeft int // prompt tokens
	cached      int
	promptLen   int
	done        bool
	canceled    bool // canceled by serveCancel before it was complete
	wake        chan struct{}
}

func newSequence(id, model, prompt string, maxTokens int) *sequence {
	return &sequence{id: id, model: model, prompt: prompt, maxTokens: maxTokens, wake: make(chan struct{}, 1)}
}

// signal wakes the goroutine that writes the stream.
func (s *sequence) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// enqueue appends a sequence to the queue. It returns a context that is canceled when
// the engine crashes.
func (e *Engine) enqueue(s *sequence) context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Started++
	full := len(e.running)+len(e.waiting) >= e.sequences
	e.record(Event{Kind: EventArrived, Stream: s.id, At: time.Now(), Full: full})
	e.waiting = append(e.waiting, s)
	e.recordLoad()
	e.cond.Signal()
	return e.crashCtx
}

// progress returns the number of generated tokens, and whether the sequence is
// complete or was canceled.
func (e *Engine) progress(s *sequence) (generated int, done, halted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.generated, s.done, s.canceled
}

// halt pauses the sequence with an ID. Its stream ends after the generated tokens,
// without an end marker. It returns false if there is no such sequence that is
// incomplete.
func (e *Engine) halt(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range slices.Concat(e.running, e.waiting) {
		if s.id == id && !s.done {
			s.canceled = true
			e.pause(s)
			s.signal()
			return true
		}
	}
	return false
}

// suspend pauses a sequence whose client has gone, unless it is complete.
func (e *Engine) suspend(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !s.done {
		e.pause(s)
	}
}

// pause stops a running or waiting sequence and keeps its state, so that it can be
// resumed. It discards the oldest state beyond maxPaused. The caller holds mu.
func (e *Engine) pause(s *sequence) {
	if !e.detach(s) {
		return
	}
	e.counts.Cancelled++
	e.paused = append(e.paused, s)
	if len(e.paused) > maxPaused {
		e.paused = e.paused[1:]
	}
	e.record(Event{Kind: EventCancelled, Stream: s.id, At: time.Now()})
	e.recordLoad()
}

func (e *Engine) detach(s *sequence) bool {
	before := len(e.running) + len(e.waiting)
	same := func(other *sequence) bool { return other == s }
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
	return len(e.running)+len(e.waiting) < before
}

// takePaused removes a paused sequence and returns it, or nil if there is none with
// the ID.
func (e *Engine) takePaused(id string) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, s := range e.paused {
		if s.id == id {
			e.paused = slices.Delete(e.paused, i, i+1)
			e.counts.Resumed++
			s.canceled = false
			s.wake = make(chan struct{}, 1)
			return s
		}
	}
	return nil
}

// Occupancy returns the numbers of running sequences that a function doesn't and
// does select by their ID.
func (e *Engine) Occupancy(selects func(id string) bool) (others, selected int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.running {
		if selects(s.id) {
			selected++
		} else {
			others++
		}
	}
	return others, selected
}

// Waiting returns the number of queued sequences.
func (e *Engine) Waiting() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.waiting)
}
