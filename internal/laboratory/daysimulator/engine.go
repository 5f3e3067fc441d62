package daysimulator

import (
	"slices"
	"time"
)

// work is one request on an engine.
type work struct {
	steps   float64 // left
	first   float64 // left until the first event, 0 once it came
	running bool
	began   bool // its first event has come
	onFirst func(at time.Duration)
	onEnd   func(at time.Duration)
}

// engine is one engine: it runs up to so many requests at once, the more slowly
// the more there are, and takes those that wait in the order of arrival.
type engine struct {
	id      string
	domain  Domain
	spec    EngineSpec
	running []*work
	waiting []*work
	updated time.Duration
	slow    bool
	version int // counts changes, so that events planned before one are void

	busy time.Duration // running time of all requests
}

func (e *engine) load() int { return len(e.running) + len(e.waiting) }

func (e *engine) slowness() float64 {
	if e.slow {
		return e.spec.SlowFactor
	}
	return 1
}

// step returns the time of one step now.
func (e *engine) step() time.Duration {
	step := e.spec.Step + time.Duration(max(len(e.running)-1, 0))*e.spec.PerRequest
	return time.Duration(float64(step) * e.slowness())
}

// advance brings all requests up to a moment.
func (e *engine) advance(now time.Duration) {
	passed := now - e.updated
	e.updated = now
	if passed <= 0 {
		return
	}
	steps := float64(passed) / float64(e.step())
	for _, w := range e.running {
		w.steps -= steps
		w.first -= steps
		e.busy += passed
	}
}

// add takes a request, or refuses it.
func (e *engine) add(w *work, now time.Duration) bool {
	e.advance(now)
	if len(e.running) >= e.spec.Sequences && len(e.waiting) >= e.spec.Queue {
		return false
	}
	e.waiting = append(e.waiting, w)
	e.admit()
	return true
}

// admit starts requests that wait while there is room.
func (e *engine) admit() {
	e.version++
	for len(e.waiting) > 0 && len(e.running) < e.spec.Sequences {
		w := e.waiting[0]
		e.waiting = e.waiting[1:]
		w.running = true
		prefill := float64(e.spec.Prefill) / float64(e.spec.Step)
		w.first = e.spec.FirstSteps + prefill
		w.steps += prefill
		e.running = append(e.running, w)
	}
}

// remove takes a request off the engine.
func (e *engine) remove(w *work, now time.Duration) {
	e.advance(now)
	gone := func(other *work) bool { return other == w }
	e.running = slices.DeleteFunc(e.running, gone)
	e.waiting = slices.DeleteFunc(e.waiting, gone)
	e.admit()
}

// next returns when the next request has its first event or ends.
func (e *engine) next() (time.Duration, bool) {
	least, found := 0.0, false
	for _, w := range e.running {
		left := w.steps
		if !w.began {
			left = min(left, w.first)
		}
		if !found || left < least {
			least, found = left, true
		}
	}
	return e.updated + time.Duration(max(least, 0)*float64(e.step())) + 1, found
}

// almost is the number of steps below which none are left.
const almost = 1e-3

// collect returns what has happened up to now: first events, and requests that
// have ended, which leave the engine.
func (e *engine) collect(now time.Duration) (firsts, ends []*work) {
	e.advance(now)
	for _, w := range e.running {
		if !w.began && w.first <= almost {
			w.began = true
			firsts = append(firsts, w)
		}
		if w.steps <= almost {
			ends = append(ends, w)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(w *work) bool { return w.steps <= almost })
	e.admit()
	return firsts, ends
}
