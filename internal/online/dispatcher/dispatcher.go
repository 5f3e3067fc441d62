// Package dispatcher runs online requests: it waits for admission, chooses an upstream,
// retries and hedges within budgets, and returns the stream of the first attempt that
// answers.
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

// Retries and hedges are bounded by budgets: each request earns a ratio of a retry and
// of a hedge, and unspent ones add up to a burst.
const (
	// maxAttempts bounds the attempts of one request, hedges included.
	maxAttempts = 4
	retryRatio  = 0.10
	retryBurst  = 20
	hedgeRatio  = 0.05
	hedgeBurst  = 10
	// A hedge is sent after a high quantile of the time to the first token, but after
	// 3/2 of the median at the latest: periods of slowness raise the high quantile, but
	// hardly the median. Requests with a prefix are excepted; see hedgeTimer.
	hedgeMedianNumerator   = 3
	hedgeMedianDenominator = 2
	minHedgeDelay          = 10 * time.Millisecond
	// failureBackoff is how long an upstream is not used after a failure. It doubles with
	// each consecutive failure; see gauger.Gauge.RecordFailure.
	failureBackoff = 100 * time.Millisecond
	// minOvertakenSlowness is the age, as a multiple of the median time to the first
	// token, from which an attempt marks its upstream as slow if another attempt answers
	// first. Since the attempt has no first token yet, its upstream is slower than its
	// age shows; overtakenSlownessFactor stands for the unknown rest.
	minOvertakenSlowness    = 1.5
	overtakenSlownessFactor = 3
	// minOvertakenSlownessWithPrefix replaces minOvertakenSlowness for a request with a
	// prefix, whose prompt takes an engine long if its cache doesn't have it.
	minOvertakenSlownessWithPrefix = 4
)

// Errors of this layer.
var (
	// ErrNoUpstream means that no upstream can be chosen for the request now.
	ErrNoUpstream = errors.New("no upstream in service")
	// ErrTooManyCrashes means that the request has reached the limit of strikes for
	// crashes of upstreams.
	ErrTooManyCrashes = errors.New("request crashed the upstreams that ran it")
	// ErrDeadline means that the request's deadline has passed.
	ErrDeadline = errors.New("deadline passed")
)

// Reason is why a request was rejected. Its value is a label of a metric.
type Reason string

// The reasons for a rejection. ReasonDeadline also covers callers that cancel while
// attempts run; ReasonCanceled covers callers that cancel while they wait for admission.
const (
	ReasonBusy           Reason = "busy"
	ReasonCanceled       Reason = "gone"
	ReasonDeadline       Reason = "deadline"
	ReasonTooManyCrashes Reason = "condemned"
	ReasonNoUpstream     Reason = "noUpstream"
	ReasonFailed         Reason = "failed"
	ReasonBadRequest     Reason = "badRequest"
)

// RejectedError is the final outcome of a request that got no stream.
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

// Reason returns why the request was rejected.
func (r *RejectedError) Reason() Reason { return r.reason }

// Ran returns whether an upstream ran the request.
func (r *RejectedError) Ran() relayer.Ran { return r.ran }

// RetryAt returns the earliest time at which the caller should retry, or the zero time
// if it should not.
func (r *RejectedError) RetryAt() time.Time { return r.retryAt }

// Status returns the HTTP status with which an upstream rejected the request, or 0.
func (r *RejectedError) Status() int { return r.status }

// Sender sends attempts to upstreams.
type Sender interface {
	Open(context.Context, relayer.Attempt) (*relayer.Stream, error)
	Call(ctx context.Context, a relayer.Attempt, repeatable bool) (relayer.Answer, error)
}

// Observer is notified of what requests show about upstreams. Its methods must not
// block.
type Observer interface {
	// OnlineChanged is called when an upstream's online requests or long prompts have
	// changed. Rising is set for a new request.
	OnlineChanged(u *chooser.Upstream, rising bool)
	// StrikeRecorded is called when a request becomes suspect of a crash, or gets a
	// further strike.
	StrikeRecorded(s quarantiner.Strike)
	// DrainingSeen is called when an upstream has announced that it is draining.
	DrainingSeen(u *chooser.Upstream)
	// SlownessSeen is called when an attempt was overtaken by another. The slowness is
	// the estimated factor relative to a typical upstream.
	SlownessSeen(u *chooser.Upstream, slowness float64)
}

// Isolator grants a suspect an upstream on which no other suspect runs, whichever VMs
// received them. If granted is true, endIsolation must be called when the suspect's attempt
// has ended.
type Isolator interface {
	Isolate(ctx context.Context, u *chooser.Upstream, f quarantiner.Fingerprint) (endIsolation func(), granted bool)
}

// Link accounts for the traffic on the link between regions under a budget in bytes.
type Link interface {
	Allows(now time.Time) bool
	Count(purpose linkmeter.Purpose, bytes int, now time.Time)
}

// Counter counts events by name.
type Counter interface {
	Count(name string)
}

// Request is one online request. Weight is the caller's weight in the admission queue. A
// Prefix of 0 means no affinity.
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
	sender     Sender
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

// WithPolicy sets the policy that chooses upstreams; the default is chooser.Balanced.
func WithPolicy(policy chooser.Policy) Option {
	return func(d *Dispatcher) { d.policy = policy }
}

// WithHedging enables or disables hedged attempts; they are enabled by default.
func WithHedging(on bool) Option {
	return func(d *Dispatcher) { d.hedging = on }
}

// WithPausing enables or disables the pausing of streams of callers over their share to
// free slots for others; it is enabled by default.
func WithPausing(on bool) Option {
	return func(d *Dispatcher) { d.pausing = on }
}

// New returns a dispatcher.
func New(
	sender Sender, observer Observer, isolator Isolator, link Link, counter Counter,
	quarantine *quarantiner.Quarantine, options ...Option,
) *Dispatcher {
	d := &Dispatcher{
		sender: sender, observer: observer, isolator: isolator, link: link, counter: counter, quarantine: quarantine,
		policy: chooser.Balanced{}, hedging: true, pausing: true,
		retries: budgeter.New(retryRatio, retryBurst),
		hedges:  budgeter.New(hedgeRatio, hedgeBurst),
		traces:  newTraceLog(),
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// Wait waits until all goroutines of attempts and pauses have ended.
func (d *Dispatcher) Wait() { d.group.Wait() }

// Open runs a request until the first event of an answer arrives or the request is
// rejected. The caller must close the response.
func (d *Dispatcher) Open(ctx context.Context, lane *Lane, request Request) (*Response, *RejectedError) {
	r := &run{dispatcher: d, lane: lane, request: request, trace: newTrace(request, lane.name)}
	response, rejection := r.open(ctx)
	if rejection != nil {
		r.releaseAdmission()
		r.trace.add("refused: " + rejection.Error())
		d.counter.Count(fmt.Sprintf("refusals_total{reason=%q}", rejection.reason))
	}
	d.traces.record(r.trace)
	return response, rejection
}

// rejectAdmission converts an error of the admission queue to a rejection.
func rejectAdmission(err error) *RejectedError {
	var busy *admitter.BusyError
	if errors.As(err, &busy) {
		return &RejectedError{reason: ReasonBusy, ran: relayer.RanNot, retryAt: busy.RetryAt(), cause: err}
	}
	return &RejectedError{reason: ReasonCanceled, ran: relayer.RanNot, cause: err}
}
