package watcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

const (
	// firstReadDelay is the longest time to wait for the first byte of the first read
	// before another read is started alongside it. The delay doubles with each read, up to
	// maxFirstReadDelay.
	firstReadDelay    = 400 * time.Millisecond
	maxFirstReadDelay = 1500 * time.Millisecond
	// firstByteTimeout bounds the wait for the first byte of a read, and for the next one, and
	// thereby the number of reads that wait at the same time.
	firstByteTimeout = 6 * time.Second
)

// firstRead reads the whole table for the first time in a process.
//
// A process may start while the store is unresponsive; its read is then never answered,
// even once the store is back. It may also start together with all other VMs behind a
// narrow link; its read then takes seconds and must not be canceled. No single timeout
// suits both cases. So while no response arrives, other reads are started alongside, and
// the first complete answer is used.
type firstRead struct {
	watcher  *Watcher
	group    sync.WaitGroup
	results  chan readResult
	progress chan struct{} // has an element once more of any response has arrived
	inFlight int
}

// readResult is the outcome of one read.
type readResult struct {
	all rowstore.Snapshot
	err error
}

// readFirst returns the first answer, or errCopied if a copy came sooner. It returns an error if a read fails while no other
// is in flight, or when the context ends.
func (w *Watcher) readFirst(ctx context.Context) (rowstore.Snapshot, error) {
	f := &firstRead{watcher: w, results: make(chan readResult), progress: make(chan struct{}, 1)}
	defer f.group.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	delay := firstReadDelay
	f.start(ctx)
	timer := time.NewTimer(jitter(delay))
	defer timer.Stop()
	for {
		select {
		case result := <-f.results:
			f.inFlight--
			if result.err == nil || f.inFlight == 0 {
				return result.all, result.err
			}
		case <-ctx.Done():
			return rowstore.Snapshot{}, fmt.Errorf("%w: first read: %w", rowstore.ErrInDoubt, ctx.Err())
		case <-w.copied:
			w.adoptCopy()
			return rowstore.Snapshot{}, errCopied
		case <-f.progress:
			timer.Reset(progressTimeout)
		case <-timer.C:
			f.start(ctx)
			delay = min(2*delay, maxFirstReadDelay)
			timer.Reset(jitter(delay))
		}
	}
}

// jitter returns a random time between 7/8 of limit and limit, so that VMs that start
// together don't send their reads together.
func jitter(limit time.Duration) time.Duration { return limit*7/8 + rand.N(limit/8) }

// start starts another read.
func (f *firstRead) start(ctx context.Context) {
	f.inFlight++
	f.group.Go(func() {
		var result readResult
		result.err = f.watcher.guard.Try("first read of "+f.watcher.table, func() (err error) {
			result.all, err = f.read(ctx)
			return err
		})
		select {
		case f.results <- result:
		case <-ctx.Done():
		}
	})
}

// read performs one read, which is canceled if the response to a page has not started to
// arrive within firstByteTimeout or stops arriving.
func (f *firstRead) read(ctx context.Context) (rowstore.Snapshot, error) {
	ctx = rowstore.WithProgressHook(ctx, func() {
		select {
		case f.progress <- struct{}{}:
		default: // the previous progress has not been noticed yet
		}
	})
	return f.watcher.readPages(ctx, func(ctx context.Context, read readFunc) (rowstore.Snapshot, error) {
		return callWhileArriving(ctx, firstByteTimeout, firstByteTimeout, read)
	})
}
