package batchkeeper

import (
	"context"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/arrivalbounder"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// rangeReader reads a range of rows page by page, so that its user can stop before the end. After a
// failed read it tries the same page again.
type rangeReader struct {
	keeper     *Keeper
	table      string
	part       string
	from, to   string // from <= name < to
	retryUntil time.Time
	ended      bool // whether the last page has been read
}

// newRangeReader returns a reader of a range of rows. Reads are retried until retryTimeout has passed.
func (k *Keeper) newRangeReader(table, part, from, to string, retryTimeout time.Duration) *rangeReader {
	return &rangeReader{
		keeper: k, table: table, part: part, from: from, to: to, retryUntil: time.Now().Add(retryTimeout),
	}
}

// read returns the next page, and when the attempt began that has read it. It returns ErrNotRead, as a
// *ReadError, if retryUntil or the end of the context has come.
func (r *rangeReader) read(ctx context.Context) (page rowstore.Snapshot, asOf time.Time, err error) {
	for attempt := 0; ; attempt++ {
		asOf = time.Now()
		page, next, err := r.tryRead(ctx)
		if err == nil {
			r.keeper.recordClock(page.Now)
			r.from, r.ended = next, next == ""
			return page, asOf, nil
		}
		lastTook := time.Since(asOf)
		if !time.Now().Before(r.retryUntil) || !retryBackoff.Wait(ctx, attempt) {
			return page, asOf, newReadError(r.table, attempt+1, lastTook, err)
		}
	}
}

// tryRead makes one attempt to read the next page. It also returns the lower bound of the page after it.
func (r *rangeReader) tryRead(ctx context.Context) (rowstore.Snapshot, string, error) {
	ctx, stop := boundByArrival(ctx)
	defer stop()
	return r.keeper.store.Range(ctx, r.table, r.part, r.from, r.to)
}

// boundByArrival returns a context for one attempt to read rows: they may take long over a link that is full,
// but must keep arriving.
func boundByArrival(ctx context.Context) (bounded context.Context, stop func()) {
	ctx, bounder := arrivalbounder.Start(ctx, arrivalbounder.Bounds{
		Start: attemptTimeout, Stall: attemptTimeout, Total: maxArrivalTime,
	})
	return rowstore.WithProgressHook(ctx, bounder.Progress), bounder.Stop
}

// readRange reads a range of rows, retrying until the context ends.
func (k *Keeper) readRange(ctx context.Context, table, part, from, to string) (rowstore.Snapshot, error) {
	return k.readRangeWithTimeout(ctx, table, part, from, to, noRetryLimit)
}

// readRangeWithTimeout reads a range of rows, retrying until retryTimeout has passed or
// the context ends. It returns ErrNotRead.
func (k *Keeper) readRangeWithTimeout(
	ctx context.Context, table, part, from, to string, retryTimeout time.Duration,
) (rowstore.Snapshot, error) {
	all, _, err := k.readRangeAsOf(ctx, table, part, from, to, retryTimeout)
	return all, err
}

// readRangeAsOf does the same, and also returns when the attempt began that has read the first page.
func (k *Keeper) readRangeAsOf(
	ctx context.Context, table, part, from, to string, retryTimeout time.Duration,
) (all rowstore.Snapshot, asOf time.Time, err error) {
	reader := k.newRangeReader(table, part, from, to, retryTimeout)
	all, asOf, err = reader.read(ctx)
	for err == nil && !reader.ended {
		var page rowstore.Snapshot
		page, _, err = reader.read(ctx)
		all.Rows = append(all.Rows, page.Rows...)
		all.Now = page.Now
	}
	return all, asOf, err
}

// tryReadRange makes one attempt to read a range of rows, and also returns when it began. It returns
// ErrNotRead, as a *ReadError.
func (k *Keeper) tryReadRange(
	ctx context.Context, table, part, from, to string,
) (all rowstore.Snapshot, asOf time.Time, err error) {
	ctx, stop := boundByArrival(ctx)
	defer stop()
	asOf = time.Now()
	all, err = rowstore.ReadAll(ctx, k.store, table, part, from, to)
	if err != nil {
		return all, asOf, newReadError(table, 1, time.Since(asOf), err)
	}
	k.recordClock(all.Now)
	return all, asOf, nil
}
