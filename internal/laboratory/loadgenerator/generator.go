// Package loadgenerator generates an open-loop load of completion requests. It
// measures each latency from the time at which the request was due. A stall thus
// counts for all requests that it delays and not only for the one in progress, which
// avoids coordinated omission.
package loadgenerator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/requester"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
)

const (
	lowestMicros   = 1
	highestMicros  = 10 * 60 * 1_000_000
	histogramDigit = 3
)

// Request is a request to send.
type Request struct {
	Model  string
	Prompt string
	Tokens int
	// Class names the kind of request. Each class is measured separately.
	Class string
}

// Target sends requests, such as a requester.Requester.
type Target interface {
	Complete(ctx context.Context, model, prompt string, tokens int) (requester.Completion, error)
}

// Plan describes a load.
type Plan struct {
	// Rate is the mean number of requests per second. Arrivals are a Poisson process.
	Rate     float64
	End      time.Time
	Seed     uint64
	Timeout  time.Duration //nolint:revive // an option of a call, not stored
	Targets  []Target
	Generate func(n int, random *rand.Rand) Request
	// Expect returns the correct answer to a request. If it is nil, answers aren't
	// checked.
	Expect func(Request) string
}

// Class holds the measurements of one class of requests.
type Class struct {
	mu        sync.Mutex
	first     *hdrhistogram.Histogram
	total     *hdrhistogram.Histogram
	sent      int
	correct   int
	wrong     int
	rejected  int
	truncated int
	tokens    int
	cached    int
	prompt    int
}

func newClass() *Class {
	return &Class{
		first: hdrhistogram.New(lowestMicros, highestMicros, histogramDigit),
		total: hdrhistogram.New(lowestMicros, highestMicros, histogramDigit),
	}
}

// Report is a summary of the measurements of a class. Latencies are in milliseconds.
type Report struct {
	Class     string  `json:"class"`
	Sent      int     `json:"sent"`
	Correct   int     `json:"right"`
	Wrong     int     `json:"wrong"`
	Rejected  int     `json:"refused"`
	Truncated int     `json:"cut"` // includes timeouts and transport errors
	Tokens    int     `json:"tokens"`
	CachedPct float64 `json:"cachedPercent"`
	FirstP50  float64 `json:"firstTokenP50Milliseconds"`
	FirstP95  float64 `json:"firstTokenP95Milliseconds"`
	FirstP99  float64 `json:"firstTokenP99Milliseconds"`
	FirstMax  float64 `json:"firstTokenMaxMilliseconds"`
	TotalP50  float64 `json:"totalP50Milliseconds"`
	TotalP99  float64 `json:"totalP99Milliseconds"`
}

// Report returns a summary of the class under a name.
func (c *Class) Report(name string) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Report{
		Class: name, Sent: c.sent, Correct: c.correct, Wrong: c.wrong, Rejected: c.rejected,
		Truncated: c.truncated, Tokens: c.tokens,
		FirstP50: millis(c.first, 50), FirstP95: millis(c.first, 95), FirstP99: millis(c.first, 99),
		FirstMax: millis(c.first, 100), TotalP50: millis(c.total, 50), TotalP99: millis(c.total, 99),
	}
	if c.prompt > 0 {
		r.CachedPct = 100 * float64(c.cached) / float64(c.prompt)
	}
	return r
}

// millis returns a percentile (0 to 100) of a histogram of microseconds, in
// milliseconds.
func millis(h *hdrhistogram.Histogram, percentile float64) float64 {
	const microsPerMilli = 1000
	return float64(h.ValueAtQuantile(percentile)) / microsPerMilli
}

// Generator generates the load of a plan.
type Generator struct {
	plan    Plan
	mu      sync.Mutex
	classes map[string]*Class
	errors  map[string]int
	group   sync.WaitGroup
	observe func(Request, time.Time, requester.Completion)
}

// Option configures a Generator.
type Option func(*Generator)

// WithObserver sets a function that is called concurrently for each correct answer,
// with the request, the time at which it was due and its completion.
func WithObserver(observe func(Request, time.Time, requester.Completion)) Option {
	return func(g *Generator) { g.observe = observe }
}

// New returns a generator of a plan's load.
func New(plan Plan, options ...Option) *Generator {
	g := &Generator{
		plan: plan, classes: map[string]*Class{}, errors: map[string]int{},
		observe: func(Request, time.Time, requester.Completion) {},
	}
	for _, option := range options {
		option(g)
	}
	return g
}

// Run sends requests until the plan's end or the context ends, and returns when all
// are answered.
func (g *Generator) Run(ctx context.Context) {
	random := rand.New(rand.NewPCG(g.plan.Seed, 1))
	due := time.Now()
	for n := 0; ; n++ {
		due = due.Add(time.Duration(random.ExpFloat64() / g.plan.Rate * float64(time.Second)))
		if due.After(g.plan.End) || !sleepUntil(ctx, due) {
			break
		}
		request := g.plan.Generate(n, random)
		target := g.plan.Targets[random.IntN(len(g.plan.Targets))]
		at := due
		g.group.Go(func() { g.send(ctx, target, request, at) })
	}
	g.group.Wait()
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	return sleeper.Sleep(ctx, wait)
}

func (g *Generator) send(ctx context.Context, target Target, request Request, due time.Time) {
	ctx, cancel := context.WithDeadline(ctx, due.Add(g.plan.Timeout))
	defer cancel()
	completion, err := target.Complete(ctx, request.Model, request.Prompt, request.Tokens)
	class := g.Class(request.Class)
	right := err == nil && (g.plan.Expect == nil || completion.Text() == g.plan.Expect(request))
	if right {
		g.observe(request, due, completion)
	}
	if err != nil {
		g.countError(err)
	}
	class.add(completion, err, right, due)
}

func (g *Generator) countError(err error) {
	key := err.Error()
	var rejected *requester.RejectedError
	if errors.As(err, &rejected) {
		key = fmt.Sprintf("%d %s %s", rejected.Status(), rejected.Code(), rejected.Ran())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.errors[key]++
}

func (c *Class) add(completion requester.Completion, err error, right bool, due time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	var rejected *requester.RejectedError
	switch {
	case errors.As(err, &rejected):
		c.rejected++
		return
	case err != nil:
		c.truncated++
		return
	case !right:
		c.wrong++
		return
	}
	c.correct++
	usage := completion.Usage()
	c.tokens += usage.CompletionTokens
	c.prompt += usage.PromptTokens
	c.cached += usage.CachedTokens
	_ = c.first.RecordValue(micros(completion.FirstToken().Sub(due)))
	_ = c.total.RecordValue(micros(completion.LastToken().Sub(due)))
}

func micros(d time.Duration) int64 {
	return min(max(d.Microseconds(), lowestMicros), highestMicros)
}

// Class returns the class with a name, which is created if necessary.
func (g *Generator) Class(name string) *Class {
	g.mu.Lock()
	defer g.mu.Unlock()
	class, found := g.classes[name]
	if !found {
		class = newClass()
		g.classes[name] = class
	}
	return class
}

// Errors returns the number of occurrences of each error.
func (g *Generator) Errors() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	errors := make(map[string]int, len(g.errors))
	for key, n := range g.errors {
		errors[key] = n
	}
	return errors
}
