// Package canceller cancels batch jobs in the store. What the store doesn't confirm in time for the caller's
// answer is kept, and tried again until the store confirms it or says that the job doesn't exist.
package canceller

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
)

const (
	// answerTimeout bounds how long a caller waits for a confirmation.
	answerTimeout = 3 * time.Second
	// keepTime is how long a cancellation is tried. Its caller sends it again if it still matters.
	keepTime = 60 * time.Second
	// defaultMaxKept bounds the cancellations that are kept.
	defaultMaxKept = 1000
	// overlapPeriod is the time after which another attempt is made beside one that gets no answer, as the
	// calls that a store leaves unanswered are never answered later.
	overlapPeriod = 400 * time.Millisecond
	// retryPause is the time after an attempt that failed.
	retryPause = 250 * time.Millisecond
	// maxAtOnce bounds the cancellations that are tried at the same time without a caller that waits.
	maxAtOnce = 16
)

// Keeper cancels a job in the store, in one attempt that is bounded and may be repeated.
type Keeper interface {
	Cancel(ctx context.Context, caller batchkeeper.Caller, id string) error
}

// Spawner starts goroutines.
type Spawner interface {
	Go(name string, task func())
}

// request is whose cancellation it is, and of which job. That of one team doesn't stand for that of another.
type request struct {
	caller batchkeeper.Caller
	job    string
}

// kept is a cancellation that isn't confirmed.
type kept struct {
	receivedAt time.Time
	lastErr    error
}

// Canceller cancels jobs. It is safe for concurrent use.
type Canceller struct {
	keeper      Keeper
	tasks       Spawner
	onConfirmed func(id string)
	logger      *slog.Logger
	maxKept     int
	slots       chan struct{} // one element for each cancellation that is tried without a caller

	mu   sync.Mutex
	kept map[request]kept

	stopped context.Context //nolint:containedctx // ends with the canceller, not with a call
	stop    context.CancelFunc
}

// Option sets one property of a Canceller.
type Option func(*Canceller)

// WithMaxKept bounds the cancellations that are kept.
func WithMaxKept(n int) Option { return func(c *Canceller) { c.maxKept = n } }

// New returns a Canceller. It calls onConfirmed for each job once the store has confirmed its cancellation.
func New(
	keeper Keeper, tasks Spawner, onConfirmed func(id string), logger *slog.Logger, options ...Option,
) *Canceller {
	c := &Canceller{
		keeper: keeper, tasks: tasks, onConfirmed: onConfirmed, logger: logger,
		maxKept: defaultMaxKept, slots: make(chan struct{}, maxAtOnce), kept: map[request]kept{},
	}
	for _, option := range options {
		option(c)
	}
	c.stopped, c.stop = context.WithCancel(context.Background())
	return c
}

// Cancel cancels a job, and returns once the store has confirmed it or says that there is no such job
// (batchkeeper.ErrNotFound). After any other error the job may still be cancelled, as it is tried further.
func (c *Canceller) Cancel(ctx context.Context, caller batchkeeper.Caller, id string) error {
	asked := request{caller: caller, job: id}
	receivedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	err := c.try(ctx, asked)
	switch {
	case err == nil:
		c.onConfirmed(id)
	case !isFinal(err):
		c.keep(asked, kept{receivedAt: receivedAt, lastErr: err})
	}
	return err
}

// isFinal returns whether trying again can't change the outcome.
func isFinal(err error) bool {
	return err == nil || errors.Is(err, batchkeeper.ErrNotFound) || errors.Is(err, batchkeeper.ErrCorrupt)
}

// keep keeps a cancellation and tries it further, unless that is so already or too many are kept.
func (c *Canceller) keep(asked request, k kept) {
	c.mu.Lock()
	_, found := c.kept[asked]
	full := len(c.kept) >= c.maxKept
	if !found && !full {
		c.kept[asked] = k
	}
	c.mu.Unlock()
	switch {
	case found:
	case full:
		c.logger.Warn("cancellation not confirmed and not kept, as too many are", "job", asked.job, "error", k.lastErr)
	default:
		c.logger.Warn("cancellation not confirmed, trying further", "job", asked.job, "for", keepTime, "error", k.lastErr)
		c.tasks.Go("cancellation", func() { c.tryFurther(asked, k) })
	}
}

// tryFurther tries a kept cancellation until it is decided, keepTime is over or the canceller stops.
func (c *Canceller) tryFurther(asked request, k kept) {
	ctx, cancel := context.WithDeadline(c.stopped, k.receivedAt.Add(keepTime))
	defer cancel()
	err := k.lastErr
	select {
	case c.slots <- struct{}{}:
		err = c.try(ctx, asked)
		<-c.slots
	case <-ctx.Done():
	}
	if c.stopped.Err() != nil && !isFinal(err) {
		return // Stop decides
	}
	c.end(asked, k, err)
}

// end ends a kept cancellation with the result of its last attempt.
func (c *Canceller) end(asked request, k kept, err error) {
	c.mu.Lock()
	delete(c.kept, asked)
	c.mu.Unlock()
	after := time.Since(k.receivedAt)
	if err != nil {
		c.logger.Warn("cancellation stays unconfirmed", "job", asked.job, "after", after, "error", err)
		return
	}
	c.logger.Info("cancellation confirmed late", "job", asked.job, "after", after)
	c.onConfirmed(asked.job)
}

// Stop ends the attempts in the background. It makes one more for each cancellation that is kept, maxAtOnce at
// a time within the context, and logs those that stay unconfirmed. It must be called once no more are asked for.
func (c *Canceller) Stop(ctx context.Context) {
	c.stop()
	c.mu.Lock()
	var group sync.WaitGroup
	for asked, k := range c.kept {
		group.Go(func() { c.tryLast(ctx, asked, k) })
	}
	c.mu.Unlock()
	group.Wait()
}

// tryLast makes the last attempt for a kept cancellation.
func (c *Canceller) tryLast(ctx context.Context, asked request, k kept) {
	err := k.lastErr
	select {
	case c.slots <- struct{}{}:
		err = c.keeper.Cancel(ctx, asked.caller, asked.job)
		<-c.slots
	case <-ctx.Done():
	}
	c.end(asked, k, err)
}

// Kept returns the number of cancellations that are kept.
func (c *Canceller) Kept() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.kept)
}

// try makes attempts until one decides, or the context ends: another one retryPause after an attempt that
// failed, and overlapPeriod after the beginning of one that gets no answer.
func (c *Canceller) try(ctx context.Context, asked request) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error)
	attempt := func() {
		err := c.keeper.Cancel(ctx, asked.caller, asked.job)
		select {
		case results <- err:
		case <-ctx.Done():
		}
	}
	lastErr := batchkeeper.ErrNotRead
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-next.C:
			c.tasks.Go("attempt to cancel", attempt)
			next.Reset(overlapPeriod)
		case err := <-results:
			if isFinal(err) {
				return err
			}
			lastErr = err
			next.Reset(retryPause)
		case <-ctx.Done():
			return lastErr
		}
	}
}
