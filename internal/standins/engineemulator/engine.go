// Package engineemulator is a stand-in for a model engine. It implements
// continuous batching, a prompt prefix cache of limited size and first-come,
// first-served admission, and slows down as it fills. It can report its load with
// a lag, resume and cancel streams, export and import their state, execute orders,
// and crash on a poison prompt.
package engineemulator

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
)

// PoisonWord in a prompt crashes the engine that runs it.
const PoisonWord = "POISON"

// Defaults and fixed properties of an engine.
const (
	defaultSequences    = 8
	defaultCacheBlocks  = 512
	defaultTokens       = 16
	defaultStep         = 5 * time.Millisecond
	defaultPrefillToken = 20 * time.Microsecond
	// defaultSlope is the relative increase of the step time of a full engine over
	// an empty one.
	defaultSlope   = 0.15
	prefillPerStep = 256 // prompt tokens
	maxPaused      = 64  // sequences whose state is kept for resumption
)

// Engine is an engine stand-in. It implements http.Handler.
type Engine struct {
	sequences    int
	step         time.Duration
	prefillToken time.Duration
	slope        float64
	record       func(Event)
	reportLag    time.Duration
	restart      time.Duration
	loadTime     time.Duration
	checkFencing bool
	mux          *http.ServeMux

	mu             sync.Mutex
	cond           *sync.Cond
	cache          *prefixCache
	running        []*sequence
	waiting        []*sequence
	paused         []*sequence
	slowness       float64 // factor on the duration of each step
	draining       bool
	downUntil      time.Time
	incarnation    int // number of crashes so far
	loaded         []upstream.LoadedModel
	role           upstream.Role
	fencing        uint64
	closed         bool
	history        []upstream.LoadReport
	counts         Counts
	cancelCrashCtx context.CancelFunc
	crashCtx       context.Context //nolint:containedctx // canceled by the next crash
}

// Counts holds the counters of an engine since its start.
type Counts struct {
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Resumed   int `json:"resumed"`
	Crashes   int `json:"crashes"`
	Tokens    int `json:"tokens"`
	Prompt    int `json:"prompt"`
	Cached    int `json:"cached"`
	Rejected  int `json:"refused"`
	Orders    int `json:"orders"`
}

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of event.
const (
	EventArrived EventKind = iota
	EventRunning
	EventCancelled
)

// Event is a change in the state of a stream.
type Event struct {
	Kind   EventKind
	Stream string
	At     time.Time
	// Full is set in EventArrived if no sequence was free.
	Full bool
}

// Option configures an Engine.
type Option func(*Engine)

// WithSequences sets the number of sequences that run concurrently.
func WithSequences(n int) Option { return func(e *Engine) { e.sequences = n } }

// WithStep sets the duration of one step of an empty engine.
func WithStep(d time.Duration) Option { return func(e *Engine) { e.step = d } }

// WithRecorder sets a function that is called with each event. The engine's lock is
// held during the call.
func WithRecorder(record func(Event)) Option { return func(e *Engine) { e.record = record } }

// WithPrefill sets the prefill time of one uncached prompt token.
func WithPrefill(d time.Duration) Option { return func(e *Engine) { e.prefillToken = d } }

// WithCacheBlocks sets the size of the prefix cache in blocks.
func WithCacheBlocks(n int) Option { return func(e *Engine) { e.cache = newPrefixCache(n) } }

// WithReportLag sets the lag of load reports.
func WithReportLag(d time.Duration) Option { return func(e *Engine) { e.reportLag = d } }

// WithRestart sets the downtime after a crash.
func WithRestart(d time.Duration) Option { return func(e *Engine) { e.restart = d } }

// WithLoaded sets the models that are loaded at the start.
func WithLoaded(models ...upstream.LoadedModel) Option {
	return func(e *Engine) { e.loaded = models }
}

// WithFencing makes the engine reject orders with an old fencing number.
func WithFencing() Option { return func(e *Engine) { e.checkFencing = true } }

// WithLoadTime sets the time that loading one model takes.
func WithLoadTime(d time.Duration) Option { return func(e *Engine) { e.loadTime = d } }

// New returns an engine. Its streams make progress only while Run runs.
func New(options ...Option) *Engine {
	e := &Engine{
		sequences:    defaultSequences,
		step:         defaultStep,
		prefillToken: defaultPrefillToken,
		slope:        defaultSlope,
		record:       func(Event) {},
		cache:        newPrefixCache(defaultCacheBlocks),
		slowness:     1,
		role:         upstream.RoleServing,
		restart:      time.Second,
	}
	e.cond = sync.NewCond(&e.mu)
	e.crashCtx, e.cancelCrashCtx = context.WithCancel(context.Background())
	for _, option := range options {
		option(e)
	}
	e.mux = e.routes()
	return e
}

// SetSlow sets the factor by which every step is longer than usual; 1 is normal.
func (e *Engine) SetSlow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowness = factor
}

// SetDraining makes the engine reject new requests and report that it is draining,
// or ends that.
func (e *Engine) SetDraining(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
}

// Loaded returns the loaded models.
func (e *Engine) Loaded() []upstream.LoadedModel {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.loaded)
}

// Counts returns the current counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Run executes the engine's steps until the context ends.
func (e *Engine) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.closed = true
		e.cond.Broadcast()
	})
	defer stop()
	for {
		wait, more := e.nextStep()
		if !more {
			return
		}
		time.Sleep(wait)
		e.finishStep()
	}
}

// nextStep waits for work, admits waiting sequences and returns the duration of the
// next step. It returns false when the engine is closed.
func (e *Engine) nextStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for !e.closed && len(e.running)+len(e.waiting) == 0 {
		e.cond.Wait()
	}
	if e.closed {
		return 0, false
	}
	for len(e.running) < e.sequences && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
		e.record(Event{Kind: EventRunning, Stream: e.running[len(e.running)-1].id, At: time.Now()})
		e.recordLoad()
	}
	fill := float64(len(e.running)) / float64(e.sequences)
	wait := float64(e.step) * (1 + e.slope*fill) * e.slowness
	wait += float64(e.prefillToken) * float64(e.planPrefill()) * e.slowness
	return time.Duration(wait), true
}

// planPrefill spends the step's prefill budget on the running sequences, oldest
// first, and returns the number of prompt tokens. The caller holds mu.
func (e *Engine) planPrefill() int {
	budget := prefillPerStep
	for _, s := range e.running {
		share := min(budget, s.prefillLeft)
		s.prefillLeft -= share
		budget -= share
	}
	return prefillPerStep - budget
}

// finishStep generates one token for every running sequence whose prefill is done,
// and removes the sequences that are complete.
func (e *Engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := e.running[:0]
	for _, s := range e.running {
		if s.prefillLeft == 0 && !s.done {
			s.generated++
			e.counts.Tokens++
			s.done = s.generated >= s.maxTokens
			s.signal()
		}
		if s.done {
			e.counts.Finished++
			continue
		}
		running = append(running, s)
	}
	clear(e.running[len(running):])
	if len(running) != len(e.running) {
		e.running = running
		e.recordLoad()
	}
}

// recordLoad appends the current load to the history that delayed reports are read
// from. The caller holds mu.
func (e *Engine) recordLoad() {
	now := time.Now()
	e.history = append(e.history, upstream.LoadReport{Running: len(e.running), Waiting: len(e.waiting), At: now})
	for len(e.history) > 1 && now.Sub(e.history[1].At) > e.reportLag {
		e.history = e.history[1:]
	}
}

// crash aborts every stream, discards running, waiting and paused sequences and the
// cache, and makes the engine unavailable for the restart time. The caller holds mu.
func (e *Engine) crash() {
	e.counts.Crashes++
	e.incarnation++
	e.downUntil = time.Now().Add(e.restart)
	e.running, e.waiting, e.paused = nil, nil, nil
	e.cache = newPrefixCache(e.cache.limit)
	e.cancelCrashCtx()
	e.crashCtx, e.cancelCrashCtx = context.WithCancel(context.Background())
}
