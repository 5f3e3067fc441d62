// Package attempter runs a batch item once on one upstream and classifies the
// outcome.
package attempter

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/online/courier"
	"github.com/fescuespindle/fescuespindle/internal/online/eventreader"
	"github.com/fescuespindle/fescuespindle/internal/online/eventsplitter"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

const (
	// firstEventTimeout and eventTimeout bound the wait for the first and for each
	// further event with data, since an upstream may lose a response and a
	// connection may stall without being closed.
	firstEventTimeout = 3 * time.Second
	eventTimeout      = 2 * time.Second
	// unreservedOutputBytes is how much output a run receives without a reservation of memory. More is
	// reserved in steps of outputStepBytes, of which each takes growthFactor bytes of memory, as the
	// output grows by copies.
	unreservedOutputBytes = 16 << 10
	outputStepBytes       = 32 << 10
	growthFactor          = 2
)

// Errors of a run.
var (
	// ErrStalled means that the next event did not arrive within its timeout.
	ErrStalled = errors.New("upstream stalled")
	// ErrNoStream means that an answer that should go on with the output is no stream.
	ErrNoStream = errors.New("answer is no stream")
	// ErrTooLong means that the output would exceed batchkeeper.MaxOutput.
	ErrTooLong = errors.New("output exceeds the maximum size")
	// ErrNoMemory means that the memory budget has no space for the output.
	ErrNoMemory = errors.New("no memory for the output")
)

// Outcome classifies how a run ended.
type Outcome uint8

// Outcomes of a run.
const (
	// OutcomeCompleted means that the stream of the item came to its end.
	OutcomeCompleted Outcome = iota
	// OutcomeStopped means that this VM canceled the run.
	OutcomeStopped
	// OutcomeNotRun means that the upstream certainly did not start the run.
	OutcomeNotRun
	// OutcomeFailed means that the upstream answered with status 500.
	OutcomeFailed
	// OutcomeUnprocessable means that the upstream answered with status 422: the item
	// can never succeed.
	OutcomeUnprocessable
	// OutcomeInterrupted means that the call failed without it being certain that it
	// did not run, or that the response broke off, stalled, had no events or bytes that are
	// none, exceeded the maximum output, or had any other status than a success.
	OutcomeInterrupted
	// OutcomeNoMemory means that this VM ended the run for lack of memory. Its output is
	// discarded, and the next run starts over.
	OutcomeNoMemory
)

// String returns the name under which the outcome is logged.
func (o Outcome) String() string {
	return [...]string{"whole", "stopped", "refused", "failed", "impossible", "broken", "noMemory"}[o]
}

// Result describes how one run ended.
type Result struct {
	Outcome  Outcome
	Progress batchkeeper.Progress
	// Events is the number of events received in this run. It doesn't count those of earlier runs.
	Events int
	Err    error
}

// LiveProgress is the progress of a current run. It is safe for concurrent use.
type LiveProgress struct {
	mu       sync.Mutex
	progress batchkeeper.Progress
}

// NewLiveProgress returns a LiveProgress that starts with the progress of earlier runs.
func NewLiveProgress(p batchkeeper.Progress) *LiveProgress { return &LiveProgress{progress: p} }

// Progress returns the progress so far.
func (l *LiveProgress) Progress() batchkeeper.Progress {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.progress
}

func (l *LiveProgress) set(p batchkeeper.Progress) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.progress = p
}

// Courier sends calls to upstreams.
type Courier interface {
	Send(ctx context.Context, slot *placer.Slot, call *courier.Call, target courier.Target) (*courier.Delivery, error)
}

// Run runs an item once on a slot, resuming after the last event of its earlier runs.
// The courier releases the slot when the run ends. Memory for long output is reserved until then.
func Run(
	ctx context.Context, c Courier, slot *placer.Slot, call *courier.Call, live *LiveProgress, memory *rationer.Rationer,
) Result {
	progress := live.Progress()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimer := time.AfterFunc(firstEventTimeout, func() { cancel(ErrStalled) })
	defer stallTimer.Stop()
	delivery, err := c.Send(ctx, slot, call, courier.Target{LastEvent: progress.LastEvent})
	if err != nil {
		return Result{Outcome: outcomeOfError(ctx, err), Progress: progress, Err: err}
	}
	defer delivery.Close()
	if delivery.Status() >= http.StatusMultipleChoices {
		return resultOfStatus(ctx, delivery, progress)
	}
	if progress.LastEvent != "" && !delivery.IsStream() {
		delivery.RecordFailure()
		return Result{Outcome: OutcomeInterrupted, Progress: progress, Err: ErrNoStream}
	}
	output := newOutputMemory(memory)
	defer output.release()
	events := eventreader.New(delivery, progress.LastEvent, eventsplitter.WithMemory(memory))
	defer events.Close()
	return readEvents(ctx, delivery, events, live, output, stallTimer)
}

// outcomeOfError classifies an error of sending a call or of reading its response.
func outcomeOfError(ctx context.Context, err error) Outcome {
	switch {
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), ErrStalled):
		return OutcomeStopped
	case relayer.AsAttemptError(err).Ran() == relayer.RanNot:
		return OutcomeNotRun
	default:
		return OutcomeInterrupted
	}
}

// resultOfStatus drains a response whose status is not a success, and classifies the
// status.
func resultOfStatus(ctx context.Context, d *courier.Delivery, progress batchkeeper.Progress) Result {
	err := errors.New(http.StatusText(d.Status()))
	if _, readErr := io.Copy(io.Discard, d); readErr != nil {
		return Result{Outcome: outcomeOfError(ctx, readErr), Progress: progress, Err: readErr}
	}
	switch d.Status() {
	case http.StatusUnprocessableEntity:
		return Result{Outcome: OutcomeUnprocessable, Progress: progress, Err: err}
	case http.StatusInternalServerError:
		return Result{Outcome: OutcomeFailed, Progress: progress, Err: err}
	default:
		return Result{Outcome: OutcomeInterrupted, Progress: progress, Err: err}
	}
}

// readEvents appends the data of each event to the progress until the stream ends.
func readEvents(
	ctx context.Context, d *courier.Delivery, events *eventreader.Reader, live *LiveProgress, output *outputMemory,
	stallTimer *time.Timer,
) Result {
	progress := live.Progress()
	progress.SoftwareVersion = d.Upstream().Version
	n := 0
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return Result{Outcome: OutcomeCompleted, Progress: progress, Events: n}
		}
		if errors.Is(err, eventsplitter.ErrNoMemory) {
			return Result{Outcome: OutcomeNoMemory, Events: n, Err: ErrNoMemory}
		}
		if err != nil {
			result := Result{Outcome: outcomeOfError(ctx, err), Progress: progress, Events: n, Err: err}
			if result.Outcome == OutcomeInterrupted {
				d.RecordTruncation(err)
			}
			return result
		}
		if !event.HasData() {
			continue // a comment only keeps the connection open, which is no progress
		}
		stallTimer.Reset(eventTimeout)
		if len(progress.Output)+len(event.Raw()) > batchkeeper.MaxOutput {
			d.RecordFailure()                                                      // no such output could be kept: the upstream doesn't end it
			return Result{Outcome: OutcomeInterrupted, Events: n, Err: ErrTooLong} // no progress: the next run starts over
		}
		if !output.reserve(len(progress.Output) + len(event.Raw())) {
			return Result{Outcome: OutcomeNoMemory, Events: n, Err: ErrNoMemory}
		}
		if len(progress.Output) > 0 || progress.LastEvent != "" {
			progress.Output = append(progress.Output, '\n')
		}
		progress.Output = event.AppendData(progress.Output)
		progress.LastEvent = events.LastEvent()
		live.set(progress)
		n++
	}
}
