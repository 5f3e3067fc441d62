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

// abandonIfLost makes a call, and cancels it once its answer, or the rest of it, is known to be
// lost.
//
// An answer may take seconds to arrive over a narrow link, or to get through one that is full
// of answers to other VMs, so calls have long timeouts. But a store that is unresponsive for a
// while never answers the calls it received meanwhile, and such a call must not outlast the
// outage by seconds, as new configurations arrive right after it. So if the answer has not
// begun to arrive after the grace period, or stands still for progressTimeout, the store is
// probed with a small read. If it answers that promptly, it would have answered the call too,
// and over a link on which the answer would not stand still.
func (w *Watcher) abandonIfLost(ctx context.Context, grace time.Duration, call readFunc) (rowstore.Snapshot, error) {
	var group sync.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil) // cancels the probes before group.Wait
	expected := newDeadline(grace)
	group.Go(func() {
		_ = w.guard.Try("probe of "+w.table, func() error { // a panic is logged and ends the probes
			if w.detectLoss(ctx, expected) {
				cancel(errAnswerLost)
			}
			return nil
		})
	})
	answer, err := call(rowstore.WithProgressHook(ctx, func() { expected.postpone(progressTimeout) }))
	if err != nil && errors.Is(context.Cause(ctx), errAnswerLost) {
		return answer, fmt.Errorf("%w: %w", rowstore.ErrInDoubt, errAnswerLost)
	}
	return answer, err
}

// deadline is when something is expected at the latest. It is safe for concurrent use.
type deadline struct {
	at atomic.Pointer[time.Time]
}

func newDeadline(after time.Duration) *deadline {
	d := &deadline{}
	d.postpone(after)
	return d
}

// postpone sets the deadline to some time after now.
func (d *deadline) postpone(after time.Duration) {
	at := time.Now().Add(after)
	d.at.Store(&at)
}

// wait sleeps until the deadline has passed, and returns it. It returns false if the context ends
// first.
func (d *deadline) wait(ctx context.Context) (passed time.Time, ok bool) {
	for {
		passed = *d.at.Load()
		left := time.Until(passed)
		if left <= 0 {
			return passed, true
		}
		if !sleeper.Sleep(ctx, left) {
			return passed, false
		}
	}
}

// detectLoss probes the store while something of an answer is overdue. It returns true once a
// probe is answered while nothing of the answer arrives, and false if the call ends first.
func (w *Watcher) detectLoss(ctx context.Context, expected *deadline) bool {
	for {
		passed, ok := expected.wait(ctx)
		if !ok {
			return false
		}
		if w.probeSucceeds(ctx) && passed.Equal(*expected.at.Load()) {
			return true
		}
		if !sleeper.Sleep(ctx, probeInterval) {
			return false
		}
	}
}

// probeSucceeds reports whether the store answers a small read within probeTimeout.
func (w *Watcher) probeSucceeds(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, _, err := w.store.Range(ctx, w.table, w.part, probeName, probeName+"\x00")
	return err == nil
}
