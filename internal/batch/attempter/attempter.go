// Package attempter makes one run of a batch item at one upstream and tells how
// it ended.
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
	"github.com/fescuespindle/fescuespindle/internal/online/eventsplitter"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
)

const (
	// firstEventTime and eventTime bound the waits for the first and for each
	// further event of a run, since an upstream may lose an answer, or a
	// connection go silent.
	firstEventTime = 3 * time.Second
	eventTime      = 2 * time.Second
)

// Errors of this layer.
var (
	// ErrStalled means that no event came for too long.
	ErrStalled = errors.New("upstream stalled")
	// ErrNoEvents means that an answer ended before its first event.
	ErrNoEvents = errors.New("answer without events")
	// ErrTooLong means that a run made more than any item may.
	ErrTooLong = errors.New("output without end")
)

// Outcome is how a run ended.
type Outcome uint8

// The outcomes of a run.
//
// A run that makes more than any item may counts as failed: an upstream that
// never ends its stream would otherwise fill the memory, again and again.
const (
	// OutcomeWhole runs came to the end of the item.
	OutcomeWhole Outcome = iota
	// OutcomeStopped runs were stopped by this VM.
	OutcomeStopped
	// OutcomeRefused runs surely didn't begin.
	OutcomeRefused
	// OutcomeFailed runs were answered with an error.
	OutcomeFailed
	// OutcomeImpossible items can never be done.
	OutcomeImpossible
	// OutcomeBroken runs broke off, or stalled.
	OutcomeBroken
)

// String returns the outcome's name in logs.
func (f Outcome) String() string {
	return [...]string{"whole", "stopped", "refused", "failed", "impossible", "broken"}[f]
}

// Result is the outcome of one run.
type Result struct {
	Outcome  Outcome
	Progress batchkeeper.Progress
	// Events is the number of events of this run.
	Events int
	Err    error
}

// Live is the progress of a run under way.
type Live struct {
	mu       sync.Mutex
	progress batchkeeper.Progress
}

// NewLive returns the progress with which a run begins.
func NewLive(p batchkeeper.Progress) *Live { return &Live{progress: p} }

// Progress returns what there is so far.
func (l *Live) Progress() batchkeeper.Progress {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.progress
}

func (l *Live) set(p batchkeeper.Progress) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.progress = p
}

// Courier makes attempts.
type Courier interface {
	Send(ctx context.Context, place *placer.Slot, call *courier.Call, target courier.Target) (*courier.Delivery, error)
}

// Run makes one run on a place, which goes on after what is there already.
func Run(ctx context.Context, c Courier, place *placer.Slot, call *courier.Call, now *Live) Result {
	progress := now.Progress()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(firstEventTime, func() { cancel(ErrStalled) })
	defer stall.Stop()
	delivery, err := c.Send(ctx, place, call, courier.Target{LastEvent: progress.LastEvent})
	if err != nil {
		return Result{Outcome: outcomeOfError(ctx, err), Progress: progress, Err: err}
	}
	defer delivery.Close()
	if delivery.Status() >= http.StatusMultipleChoices {
		return resultOfStatus(ctx, delivery, progress)
	}
	return readEvents(ctx, delivery, now, stall)
}

func outcomeOfError(ctx context.Context, err error) Outcome {
	switch {
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), ErrStalled):
		return OutcomeStopped
	case relayer.AsAttemptError(err).Ran() == relayer.RanNot:
		return OutcomeRefused
	default:
		return OutcomeBroken
	}
}

func resultOfStatus(ctx context.Context, d *courier.Delivery, progress batchkeeper.Progress) Result {
	err := errors.New(http.StatusText(d.Status()))
	if _, readErr := io.Copy(io.Discard, d); readErr != nil {
		return Result{Outcome: outcomeOfError(ctx, readErr), Progress: progress, Err: readErr}
	}
	switch d.Status() {
	case http.StatusUnprocessableEntity:
		return Result{Outcome: OutcomeImpossible, Progress: progress, Err: err}
	case http.StatusInternalServerError:
		return Result{Outcome: OutcomeFailed, Progress: progress, Err: err}
	default:
		return Result{Outcome: OutcomeBroken, Progress: progress, Err: err}
	}
}

// readEvents appends the data of all events to what is there already.
func readEvents(
	ctx context.Context, d *courier.Delivery, now *Live, stall *time.Timer,
) Result {
	progress := now.Progress()
	events := eventsplitter.New(d)
	for n := 0; ; n++ {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if n == 0 && progress.LastEvent == "" {
				return Result{Outcome: OutcomeBroken, Progress: progress, Err: ErrNoEvents}
			}
			return Result{Outcome: OutcomeWhole, Progress: progress, Events: n}
		}
		if err != nil {
			e := Result{Outcome: outcomeOfError(ctx, err), Progress: progress, Events: n, Err: err}
			if e.Outcome == OutcomeBroken {
				d.RecordFailure()
			}
			return e
		}
		if !event.HasData() {
			continue // a comment keeps a connection open, and no more
		}
		stall.Reset(eventTime)
		if len(progress.Output)+len(event.Raw()) > batchkeeper.MaxOutput {
			return Result{Outcome: OutcomeFailed, Events: n, Err: ErrTooLong} // another run begins anew
		}
		if len(progress.Output) > 0 || progress.LastEvent != "" {
			progress.Output = append(progress.Output, '\n')
		}
		progress.Output = event.AppendData(progress.Output)
		if id := event.ID(); id != "" {
			progress.LastEvent = id
		}
		now.set(progress)
	}
}
