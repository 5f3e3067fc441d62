package watcher

import (
	"context"
	"fmt"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/arrivalbounder"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

const (
	// callTimeout is the default time within which the answer to a call must begin to
	// arrive, in addition to the time that the store holds the call.
	callTimeout = 1200 * time.Millisecond
	// progressTimeout is how long an answer that has begun to arrive may stand still, if the
	// store answers other calls meanwhile.
	progressTimeout = 1500 * time.Millisecond
	// maxReadTimeout bounds the time in which an answer may keep arriving, and a read of a
	// whole table.
	maxReadTimeout = 16 * time.Second
)

// readFunc is a call that reads rows.
type readFunc func(ctx context.Context) (rowstore.Snapshot, error)

// callWhileArriving makes a call, and cancels it if its answer has not begun to arrive within
// startTimeout, if it then stands still for stallTimeout, and maxReadTimeout later in any
// case.
func callWhileArriving(
	ctx context.Context, startTimeout, stallTimeout time.Duration, call readFunc,
) (rowstore.Snapshot, error) {
	ctx, bounder := arrivalbounder.Start(ctx, arrivalbounder.Bounds{
		Start: startTimeout, Stall: stallTimeout, Total: maxReadTimeout,
	})
	defer bounder.Stop()
	answer, err := call(rowstore.WithProgressHook(ctx, bounder.Progress))
	if cause := bounder.Cause(); err != nil && cause != nil {
		return answer, fmt.Errorf("%w: %w", rowstore.ErrInDoubt, cause)
	}
	return answer, err
}

// call makes a call that the store may hold for some time before it answers.
func (w *Watcher) call(ctx context.Context, hold time.Duration, call readFunc) (rowstore.Snapshot, error) {
	if w.timeout <= callTimeout {
		return callWhileArriving(ctx, hold+w.timeout, progressTimeout, call)
	}
	return callWhileArriving(ctx, hold+w.timeout, w.timeout, func(ctx context.Context) (rowstore.Snapshot, error) {
		return w.abandonIfLost(ctx, hold+callTimeout, call)
	})
}

// pageReader is a store on which each read is made by a function that bounds it. The bounds
// thus count for each page of a table.
type pageReader struct {
	rowstore.Store
	bound func(ctx context.Context, call readFunc) (rowstore.Snapshot, error)
}

// Range implements rowstore.Store.
func (r pageReader) Range(ctx context.Context, table, part, from, to string) (rowstore.Snapshot, string, error) {
	next := ""
	page, err := r.bound(ctx, func(ctx context.Context) (page rowstore.Snapshot, err error) {
		page, next, err = r.Store.Range(ctx, table, part, from, to)
		return page, err
	})
	return page, next, err
}

// readPages reads the whole table, with each page bounded by a function.
func (w *Watcher) readPages(
	ctx context.Context, bound func(ctx context.Context, call readFunc) (rowstore.Snapshot, error),
) (rowstore.Snapshot, error) {
	return rowstore.ReadAll(ctx, pageReader{Store: w.store, bound: bound}, w.table, w.part, "", "")
}
