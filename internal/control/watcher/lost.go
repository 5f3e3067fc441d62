package watcher

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

const (
	// probeTimeout bounds the wait for the answer to a probe. probeInterval is the delay
	// between an unanswered probe and the next one.
	probeTimeout  = 400 * time.Millisecond
	probeInterval = 200 * time.Millisecond
	// probeName is a row name that no table has.
	probeName = "\x7f"
)

// errAnswerLost means that the answer to a call will never arrive.
var errAnswerLost = errors.New("answer lost")

// abandonIfLost makes a call, and cancels it once its answer is known to be lost.
//
// In a large fleet an answer may take seconds to arrive over a narrow link, so calls have
// long timeouts there. But a store that is unresponsive for a while never answers the
// calls it received meanwhile, and such a call must not outlast the outage by seconds, as
// new configurations arrive right after it. So if the answer has not begun to arrive after
// the grace period, the store is probed with a small read. If it answers that promptly, it
// would have answered the call too, and the call's answer is lost.
func (w *Watcher) abandonIfLost(ctx context.Context, grace time.Duration, call readFunc) (rowstore.Snapshot, error) {
	if w.timeout() <= callTimeout {
		return call(ctx) // the call's own timeout ends it as soon
	}
	var responseStarted atomic.Bool
	var group sync.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil) // cancels the probes before group.Wait
	group.Go(func() {
		_ = w.guard.Try("probe of "+w.table, func() error { // a panic is logged and ends the probes
			if w.detectLoss(ctx, grace, &responseStarted) {
				cancel(errAnswerLost)
			}
			return nil
		})
	})
	answer, err := call(rowstore.WithResponseStartHook(ctx, func() { responseStarted.Store(true) }))
	if err != nil && errors.Is(context.Cause(ctx), errAnswerLost) {
		return answer, fmt.Errorf("%w: %w", rowstore.ErrInDoubt, errAnswerLost)
	}
	return answer, err
}

// detectLoss probes the store after the grace period. It returns true once a probe is
// answered while the call is not, and false if the call ends or its response starts to
// arrive first.
func (w *Watcher) detectLoss(ctx context.Context, grace time.Duration, responseStarted *atomic.Bool) bool {
	for delay := grace; sleeper.Sleep(ctx, delay) && !responseStarted.Load(); delay = probeInterval {
		if w.probeSucceeds(ctx) {
			return !responseStarted.Load()
		}
	}
	return false
}

// probeSucceeds reports whether the store answers a small read within probeTimeout.
func (w *Watcher) probeSucceeds(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, _, err := w.store.Range(ctx, w.table, w.part, probeName, probeName+"\x00")
	return err == nil
}
