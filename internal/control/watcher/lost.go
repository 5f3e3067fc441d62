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
	// probeTime bounds the answer to a probe, and probePause is the time until the next
	// one after a probe that was not answered.
	probeTime  = 400 * time.Millisecond
	probePause = 200 * time.Millisecond
	// probeName is the name of a row that no table has.
	probeName = "\x7f"
)

// errLost means that the answer to a call will not come.
var errLost = errors.New("answer lost")

// unlessLost makes a call, and gives it up once its answer is known to be lost.
//
// In a large fleet an answer may take seconds to come over a narrow link, so a call
// there may take long. But a store that falls silent for a while never answers what it
// was asked meanwhile, and a call of that time must not outlast the outage by seconds:
// configurations come right after it. So if the answer has not begun to come for a
// time, the store is asked something small beside it. A store that answers that at
// once would have answered the call too.
func (w *Watcher) unlessLost(
	ctx context.Context, grace time.Duration, call func(context.Context) (rowstore.Snapshot, error),
) (rowstore.Snapshot, error) {
	if w.timeout() <= callTimeout {
		return call(ctx) // it is given up as soon as that
	}
	var begun atomic.Bool
	var group sync.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil) // before the wait, as it ends the probes
	group.Go(func() {
		_ = w.guard.Try("probe of "+w.table, func() error { // a panic is noted, and ends the probes
			if w.isLost(ctx, grace, &begun) {
				cancel(errLost)
			}
			return nil
		})
	})
	answer, err := call(rowstore.WithResponseStartHook(ctx, func() { begun.Store(true) }))
	if err != nil && errors.Is(context.Cause(ctx), errLost) {
		return answer, fmt.Errorf("%w: %w", rowstore.ErrInDoubt, errLost)
	}
	return answer, err
}

// isLost probes the store from some time on, until an answer shows that a call's
// answer is lost, or the call has ended or begun to be answered.
func (w *Watcher) isLost(ctx context.Context, grace time.Duration, begun *atomic.Bool) bool {
	for pause := grace; sleeper.Sleep(ctx, pause) && !begun.Load(); pause = probePause {
		if w.answersProbe(ctx) {
			return !begun.Load()
		}
	}
	return false
}

// answersProbe tells whether the store answers a small question at once.
func (w *Watcher) answersProbe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	_, _, err := w.store.Range(ctx, w.table, w.part, probeName, probeName+"\x00")
	return err == nil
}
