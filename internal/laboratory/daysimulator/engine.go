package daysimulator

import (
	"slices"
	"time"
)

// request is one request on an engine. Its step counts are what is left.
type request struct {
	steps     float64
	toFirst   float64 // until the first event; at most 0 once it was sent
	running   bool
	firstSent bool
	onFirst   func(at time.Duration)
	onEnd     func(at time.Duration)
}

// engine models one engine. It runs up to spec.Sequences requests at once, slows
// down with each of them, and admits waiting requests in the order of arrival.
type engine struct {
	id      string
	number  int // over all domains
	domain  Domain
	spec    EngineSpec
	pace    float64 // factor by which its steps always take longer
	running []*request
	waiting []*request
	updated time.Duration
	slow    bool
	version int // counts changes: events scheduled for an older version are ignored

	rateLimit rateLimit

	busy time.Duration // summed running time of all requests
}

// answer is what an engine tells of itself in an answer.
type answer struct {
	load      int // running and waiting requests
	slowness  float64
	rateLimit float64 // requests per second; 0 for none
}

// tell returns what the engine tells of itself at present.
func (e *engine) tell(now time.Duration) answer {
	return answer{load: e.load(), slowness: e.slowness(), rateLimit: e.rateLimit.current(now)}
}

func (e *engine) load() int { return len(e.running) + len(e.waiting) }

func (e *engine) slowness() float64 {
	if e.slow {
		return e.spec.SlowFactor
	}
	return 1
}

// step returns the current duration of one step.
func (e *engine) step() time.Duration {
	step := e.spec.Step + time.Duration(max(len(e.running)-1, 0))*e.spec.PerRequest
	return time.Duration(float64(step) * e.pace * e.slowness())
}

// advance updates the remaining steps of all running requests to a time.
func (e *engine) advance(now time.Duration) {
	passed := now - e.updated
	e.updated = now
	if passed <= 0 {
		return
	}
	steps := float64(passed) / float64(e.step())
	for _, w := range e.running {
		w.steps -= steps
		w.toFirst -= steps
		e.busy += passed
	}
}

// add queues a request, or returns false if the queue is full.
func (e *engine) add(w *request, now time.Duration) bool {
	e.advance(now)
	if len(e.running) >= e.spec.Sequences && len(e.waiting) >= e.spec.Queue {
		return false
	}
	e.waiting = append(e.waiting, w)
	e.admit()
	return true
}

// admit starts waiting requests while sequences are free.
func (e *engine) admit() {
	e.version++
	for len(e.waiting) > 0 && len(e.running) < e.spec.Sequences {
		w := e.waiting[0]
		e.waiting = e.waiting[1:]
		w.running = true
		prefill := float64(e.spec.Prefill) / float64(e.spec.Step)
		w.toFirst = e.spec.FirstSteps + prefill
		w.steps += prefill
		e.running = append(e.running, w)
	}
}

// remove removes a request, whether it is running or waiting.
func (e *engine) remove(w *request, now time.Duration) {
	e.advance(now)
	gone := func(other *request) bool { return other == w }
	e.running = slices.DeleteFunc(e.running, gone)
	e.waiting = slices.DeleteFunc(e.waiting, gone)
	e.admit()
}

// next returns when a request next sends its first event or ends, and false if
// none is running.
func (e *engine) next() (time.Duration, bool) {
	least, found := 0.0, false
	for _, w := range e.running {
		left := w.steps
		if !w.firstSent {
			left = min(left, w.toFirst)
		}
		if !found || left < least {
			least, found = left, true
		}
	}
	return e.updated + time.Duration(max(least, 0)*float64(e.step())) + 1, found
}

// stepTolerance absorbs rounding errors: fewer steps count as none.
const stepTolerance = 1e-3

// collect returns the requests that have sent their first event and those that
// have ended since the last call. The latter are removed from the engine.
func (e *engine) collect(now time.Duration) (firsts, ends []*request) {
	e.advance(now)
	for _, w := range e.running {
		if !w.firstSent && w.toFirst <= stepTolerance {
			w.firstSent = true
			firsts = append(firsts, w)
		}
		if w.steps <= stepTolerance {
			ends = append(ends, w)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(w *request) bool { return w.steps <= stepTolerance })
	e.admit()
	return firsts, ends
}
