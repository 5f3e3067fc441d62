package engineemulator

import (
	"context"
	"slices"
	"time"
)

// sequence is one stream in the engine.
type sequence struct {
	id          string
	model       string
	prompt      string
	maxTokens   int
	generated   int
	prefillLeft int
	cached      int
	promptLen   int
	done        bool
	halted      bool // cancelled while running
	wake        chan struct{}
}

func newSequence(id, model, prompt string, maxTokens int) *sequence {
	return &sequence{id: id, model: model, prompt: prompt, maxTokens: maxTokens, wake: make(chan struct{}, 1)}
}

// signal wakes the stream's writer.
func (s *sequence) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// admit queues a sequence behind those that came before.
func (e *Engine) admit(s *sequence) context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Started++
	full := len(e.running)+len(e.waiting) >= e.sequences
	e.record(Event{Kind: EventArrived, Stream: s.id, At: time.Now(), Full: full})
	e.waiting = append(e.waiting, s)
	e.keepLoad()
	e.cond.Signal()
	return e.crashCtx
}

// progress returns how many tokens of the sequence exist, and whether it is done
// or was cancelled.
func (e *Engine) progress(s *sequence) (generated int, done, halted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.generated, s.done, s.halted
}

// halt cancels a running sequence and keeps its state. Its stream ends without
// an end mark after the tokens that exist. It returns false if there is no such
// sequence, or if it is done.
func (e *Engine) halt(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range slices.Concat(e.running, e.waiting) {
		if s.id == id && !s.done {
			s.halted = true
			e.keep(s)
			s.signal()
			return true
		}
	}
	return false
}

// suspend takes a sequence out of the engine and keeps its state, so that it
// can be resumed.
func (e *Engine) suspend(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !s.done {
		e.keep(s)
	}
}

// keep takes a sequence out of the engine and keeps its state. The caller holds
// mu.
func (e *Engine) keep(s *sequence) {
	if !e.detach(s) {
		return
	}
	e.counts.Cancelled++
	e.paused = append(e.paused, s)
	if len(e.paused) > maxPaused {
		e.paused = e.paused[1:]
	}
	e.record(Event{Kind: EventCancelled, Stream: s.id, At: time.Now()})
	e.keepLoad()
}

func (e *Engine) detach(s *sequence) bool {
	before := len(e.running) + len(e.waiting)
	same := func(other *sequence) bool { return other == s }
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
	return len(e.running)+len(e.waiting) < before
}

// restore takes a suspended sequence back, or returns nil.
func (e *Engine) restore(id string) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, s := range e.paused {
		if s.id == id {
			e.paused = slices.Delete(e.paused, i, i+1)
			e.counts.Resumed++
			s.halted = false
			s.wake = make(chan struct{}, 1)
			return s
		}
	}
	return nil
}

// Occupancy returns how many running sequences a function doesn't and does
// select by their identifier.
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

// Waiting returns how many sequences wait for a place.
func (e *Engine) Waiting() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.waiting)
}
