// Package dispatcher takes an online request through its attempts: it waits
// for room, chooses an upstream, retries and hedges within their budgets, and
// hands on the first stream that answers.
package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/admitter"
	"github.com/fescuespindle/fescuespindle/internal/online/budgeter"
	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
	"github.com/fescuespindle/fescuespindle/internal/online/linkmeter"
	"github.com/fescuespindle/fescuespindle/internal/online/quarantiner"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
)

const (
	maxAttempts = 4
	retryShare  = 0.10
	retryBurst  = 20
	hedgeShare  = 0.05
	hedgeBurst  = 10
	// A hedge is sent after 3/2 of the median time to a first token at the
	// latest: slow spells raise the high quantile, but hardly the median.
	hedgeMedians     = 3
	hedgeMedianParts = 2
	minHedgeWait     = 10 * time.Millisecond
	blockAfterFail   = 100 * time.Millisecond
	// overtakenSlowness is the number of typical times to a first token after
	// which an attempt that was overtaken speaks against its upstream. Since it
	// had not ended by then, the upstream is slower by an unknown factor.
	overtakenSlowness = 1.5
	overtakenFactor   = 3
	// promptedSlowness is the same for a prompt that takes an engine long if it
	// isn't in its cache.
	promptedSlowness = 4
)

// Errors of this layer.
var (
	// ErrNoUpstream means that no upstream may run the request now.
	ErrNoUpstream = errors.New("no upstream in service")
	// ErrTooManyCrashes means that the request has crashed too many upstreams.
	ErrTooManyCrashes = errors.New("request crashed the upstreams that ran it")
	// ErrDeadline means that the deadline has passed.
	ErrDeadline = errors.New("deadline passed")
)

// Reason tells why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	ReasonBusy           Reason = "busy"
	ReasonCanceled       Reason = "gone"
	ReasonDeadline       Reason = "deadline"
	ReasonTooManyCrashes Reason = "condemned"
	ReasonNoUpstream     Reason = "noUpstream"
	ReasonFailed         Reason = "failed"
	ReasonBadRequest     Reason = "badRequest"
)

// RejectedError is the final answer to a request that got no stream.
type RejectedError struct {
	reason  Reason
	ran     relayer.Ran
	retryAt time.Time
	status  int
	cause   error
}

// Error implements error.
func (r *RejectedError) Error() string { return r.cause.Error() }

// Unwrap returns the cause.
func (r *RejectedError) Unwrap() error { return r.cause }

// Reason tells why the request was refused.
func (r *RejectedError) Reason() Reason { return r.reason }

// Ran tells whether the request was run.
func (r *RejectedError) Ran() relayer.Ran { return r.ran }

// RetryAt returns when the caller may come back, or the zero time.
func (r *RejectedError) RetryAt() time.Time { return r.retryAt }

// Status returns the status of an upstream's own refusal of the request, or 0.
func (r *RejectedError) Status() int { return r.status }

// Sender sends attempts to upstreams.
type Sender interface {
	Open(context.Context, relayer.Attempt) (*relayer.Stream, error)
	Call(ctx context.Context, a relayer.Attempt, repeatable bool) (relayer.Answer, error)
}

// Observer hears of what traffic does. Its methods return at once.
type Observer interface {
	// OnlineChanged tells that an upstream has more or fewer online requests.
	OnlineChanged(u *chooser.Upstream, rising bool)
	// StrikeRecorded tells that a request is suspected of a crash.
	StrikeRecorded(s quarantiner.Strike)
	// DrainingSeen tells that an upstream said that it is leaving.
	DrainingSeen(u *chooser.Upstream)
	// SlownessSeen tells that an upstream is slow.
	SlownessSeen(u *chooser.Upstream, slowness float64)
}

// Isolator lets a suspect run where no other suspect does, whichever VM that
// came through. The function that it returns ends the isolation.
type Isolator interface {
	Isolate(ctx context.Context, u *chooser.Upstream, f quarantiner.Fingerprint) (release func(), granted bool)
}

// Link keeps what crosses the link between regions under its budget.
type Link interface {
	Allows(now time.Time) bool
	Count(purpose linkmeter.Purpose, bytes int, now time.Time)
}

// Counter counts events by name.
type Counter interface {
	Count(name string)
}

// Request is one online request.
type Request struct {
	ID          string
	Caller      string
	Weight      int
	Path        string
	Body        []byte
	Deadline    time.Time
	Prefix      uint64
	Fingerprint quarantiner.Fingerprint
}

// Dispatcher runs the online requests of one VM.
type Dispatcher struct {
	engines    Sender
	observer   Observer
	isolator   Isolator
	link       Link
	counter    Counter
	quarantine *quarantiner.Quarantine
	policy     chooser.Policy
	hedging    bool
	pausing    bool
	retries    *budgeter.Budget
	hedges     *budgeter.Budget
	traces     *traceLog
	group      sync.WaitGroup
}

// Option sets one property of a Dispatcher.
type Option func(*Dispatcher)

// WithPolicy replaces the choice of upstream.
func WithPolicy(policy chooser.Policy) Option {
	return func(d *Dispatcher) { d.policy = policy }
}

// WithHedging switches hedges on or off.
func WithHedging(on bool) Option {
	return func(d *Dispatcher) { d.hedging = on }
}

// WithPausing switches on or off whether streams of callers over their share
// make room for others.
func WithPausing(on bool) Option {
	return func(d *Dispatcher) { d.pausing = on }
}

// New returns a dispatcher.
func New(
	engines Sender, observer Observer, isolator Isolator, link Link, counter Counter,
	quarantine *quarantiner.Quarantine, options ...Option,
) *Dispatcher {
	d := &Dispatcher{
		engines: engines, observer: observer, isolator: isolator, link: link, counter: counter, quarantine: quarantine,
		policy: chooser.Balanced{}, hedging: true, pausing: true,
		retries: budgeter.New(retryShare, retryBurst),
		hedges:  budgeter.New(hedgeShare, hedgeBurst),
		traces:  newTraceLog(),
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// Wait returns once no attempt is running.
func (d *Dispatcher) Wait() { d.group.Wait() }

// Open runs a request until the first event of an answer, or a refusal.
func (d *Dispatcher) Open(ctx context.Context, lane *Lane, request Request) (*Response, *RejectedError) {
	r := &run{dispatcher: d, lane: lane, request: request, trace: newTrace(request, lane.name)}
	response, refusal := r.open(ctx)
	if refusal != nil {
		r.leave()
		r.trace.add("refused: " + refusal.Error())
		d.counter.Count(fmt.Sprintf("refusals_total{reason=%q}", refusal.reason))
	}
	d.traces.keep(r.trace)
	return response, refusal
}

// refuseEntry turns an error of the queue into a refusal.
func refuseEntry(err error) *RejectedError {
	var busy *admitter.BusyError
	if errors.As(err, &busy) {
		return &RejectedError{reason: ReasonBusy, ran: relayer.RanNot, retryAt: busy.RetryAt(), cause: err}
	}
	return &RejectedError{reason: ReasonCanceled, ran: relayer.RanNot, cause: err}
}
