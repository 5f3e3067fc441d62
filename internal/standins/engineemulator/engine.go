// Package engineemulator is a small stand-in for a model engine. It batches
// continuously, caches prompt prefixes in limited memory, admits requests in
// the order in which they come, and slows down as it fills. It reports load
// late, resumes and cancels streams, exports and imports their state, takes
// orders, and crashes on a poison prompt.
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

// Defaults of an engine.
const (
	defaultSequences    = 8
	defaultCacheBlocks  = 512
	defaultTokens       = 16
	defaultStep         = 5 * time.Millisecond
	defaultPrefillToken = 20 * time.Microsecond
	// defaultSlope is by how much a step of a full engine is longer than one of
	// an empty engine.
	defaultSlope   = 0.15
	prefillPerStep = 256
	maxPaused      = 64
)

// Engine is one engine stand-in; it serves HTTP.
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

	mu       sync.Mutex
	cond     *sync.Cond
	cache    *prefixCache
	running  []*sequence
	waiting  []*sequence
	paused   []*sequence
	slow     float64
	leaving  bool
	downTo   time.Time
	life     int
	loaded   []upstream.LoadedModel
	role     upstream.Role
	fencing  uint64
	closed   bool
	history  []upstream.LoadReport
	counts   Counts
	crashing context.CancelFunc
	crashCtx context.Context //nolint:containedctx // ends at the next crash
}

// Counts are what an engine has done.
type Counts struct {
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Resumed   int `json:"resumed"`
	Crashes   int `json:"crashes"`
	Tokens    int `json:"tokens"`
	Prompt    int `json:"prompt"`
	Cached    int `json:"cached"`
	Refused   int `json:"refused"`
	Orders    int `json:"orders"`
}

// EventKind is what happened to a stream.
type EventKind uint8

// The kinds of event.
const (
	EventArrived EventKind = iota
	EventRunning
	EventCancelled
)

// Event is something that happened to a stream.
type Event struct {
	Kind   EventKind
	Stream string
	At     time.Time
	// Full tells whether every sequence was taken then.
	Full bool
}

// Option sets one property of an Engine.
type Option func(*Engine)

// WithSequences sets how many sequences run at a time.
func WithSequences(n int) Option { return func(e *Engine) { e.sequences = n } }

// WithStep sets the time of one step of an empty engine.
func WithStep(d time.Duration) Option { return func(e *Engine) { e.step = d } }

// WithRecorder is told of each event, under the engine's lock.
func WithRecorder(record func(Event)) Option { return func(e *Engine) { e.record = record } }

// WithPrefill sets the time that one uncached prompt token takes.
func WithPrefill(d time.Duration) Option { return func(e *Engine) { e.prefillToken = d } }

// WithCacheBlocks sets how many blocks the prefix cache holds.
func WithCacheBlocks(n int) Option { return func(e *Engine) { e.cache = newPrefixCache(n) } }

// WithReportLag sets how late load reports and cache events are.
func WithReportLag(d time.Duration) Option { return func(e *Engine) { e.reportLag = d } }

// WithRestart sets how long the engine is down after a crash.
func WithRestart(d time.Duration) Option { return func(e *Engine) { e.restart = d } }

// WithLoaded sets the models in memory at the start.
func WithLoaded(models ...upstream.LoadedModel) Option {
	return func(e *Engine) { e.loaded = models }
}

// WithFencing makes the engine refuse orders with an old fencing number.
func WithFencing() Option { return func(e *Engine) { e.checkFencing = true } }

// WithLoadTime sets how long loading one model takes.
func WithLoadTime(d time.Duration) Option { return func(e *Engine) { e.loadTime = d } }

// New returns an engine. Run must be called for it to make progress.
func New(options ...Option) *Engine {
	e := &Engine{
		sequences:    defaultSequences,
		step:         defaultStep,
		prefillToken: defaultPrefillToken,
		slope:        defaultSlope,
		record:       func(Event) {},
		cache:        newPrefixCache(defaultCacheBlocks),
		slow:         1,
		role:         upstream.RoleServing,
		restart:      time.Second,
	}
	e.cond = sync.NewCond(&e.mu)
	e.crashCtx, e.crashing = context.WithCancel(context.Background())
	for _, option := range options {
		option(e)
	}
	e.mux = e.routes()
	return e
}

// SetSlow makes every step take the factor times as long.
func (e *Engine) SetSlow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// SetLeaving makes the engine refuse new work and say that it leaves.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Loaded returns the models in memory.
func (e *Engine) Loaded() []upstream.LoadedModel {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.loaded)
}

// Counts returns what the engine has done so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Run steps the engine until the context ends.
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

// nextStep admits waiting sequences and returns the time of the next step.
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
		e.keepLoad()
	}
	fill := float64(len(e.running)) / float64(e.sequences)
	wait := float64(e.step) * (1 + e.slope*fill) * e.slow
	wait += float64(e.prefillToken) * float64(e.planPrefill()) * e.slow
	return time.Duration(wait), true
}

// planPrefill spends the step's prefill budget on the oldest prompts.
func (e *Engine) planPrefill() int {
	budget := prefillPerStep
	for _, s := range e.running {
		share := min(budget, s.prefillLeft)
		s.prefillLeft -= share
		budget -= share
	}
	return prefillPerStep - budget
}

// finishStep gives every sequence whose prompt is done its next token.
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
		e.keepLoad()
	}
}

// keepLoad keeps the load for late reports. The caller holds mu.
func (e *Engine) keepLoad() {
	now := time.Now()
	e.history = append(e.history, upstream.LoadReport{Running: len(e.running), Waiting: len(e.waiting), At: now})
	for len(e.history) > 1 && now.Sub(e.history[1].At) > e.reportLag {
		e.history = e.history[1:]
	}
}

// crash ends every stream, forgets all state and refuses connections for a
// while. The caller holds mu.
func (e *Engine) crash() {
	e.counts.Crashes++
	e.life++
	e.downTo = time.Now().Add(e.restart)
	e.running, e.waiting, e.paused = nil, nil, nil
	e.cache = newPrefixCache(e.cache.limit)
	e.crashing()
	e.crashCtx, e.crashing = context.WithCancel(context.Background())
}
