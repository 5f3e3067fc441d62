// Package watcher follows a table of the store. It reads the whole table once and then its
// changes as they occur. It rereads the whole table after every failure and periodically,
// as a feed of changes may stall unnoticed; a long table less often.
package watcher

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

const (
	// defaultWait is how long the store holds a request for changes (long polling).
	defaultWait = time.Second
	// retryDelay is the mean delay after a failure.
	retryDelay = 300 * time.Millisecond
	// historyRereadDelay is the mean time between two reads of the whole table while the
	// store keeps no history of changes: all VMs read it then, and a table can be long.
	historyRereadDelay = 1200 * time.Millisecond
)

// Sink receives the content of a table. Its methods are never called concurrently.
type Sink interface {
	// Replace is called with all rows of the table.
	Replace(rows []rowstore.Row)
	// Change is called with the rows that have changed.
	Change(rows []rowstore.Row)
	// Failed is called whenever a call of the store has failed, unless the store only
	// lacks the history of changes.
	Failed(err error)
}

// Guard runs a task so that a panic ends that task alone.
type Guard interface {
	Try(name string, task func() error) error
}

// unguarded runs tasks without recovering from panics.
type unguarded struct{}

// Try implements Guard.
func (unguarded) Try(_ string, task func() error) error { return task() }

// Watcher follows one table whose rows are all in one part.
type Watcher struct {
	store         rowstore.Store
	table         string
	part          string
	sink          Sink
	logger        *slog.Logger
	wait          time.Duration
	pause         time.Duration
	rereads       rereads
	timeout       time.Duration
	guard         Guard
	hasRead       bool // whether the whole table has been read
	storeLost     bool
	historyGoneAt time.Time // when the store last had no history
	hearsay       hearsay
	// copied is closed once a copy from another VM is known; nil if the first read goes on all the same.
	copied chan struct{}

	mu         sync.Mutex // held while the sink is called
	tableState tableState
}

// Option configures a Watcher.
type Option func(*Watcher)

// WithWait sets how long the store holds a request for changes. A stalled feed is detected
// after that time plus the call timeout.
func WithWait(wait time.Duration) Option {
	return func(w *Watcher) { w.wait = wait }
}

// WithPause sets a delay after each change, so that frequent changes of a large table are
// read in one call.
func WithPause(pause time.Duration) Option {
	return func(w *Watcher) { w.pause = pause }
}

// WithTimeout sets the time within which the answer to a call must begin to arrive, in addition to the
// time that the store holds the call, and must go on if it stands still. If it is longer than the
// default, a call is abandoned earlier if the store answers other calls meanwhile.
func WithTimeout(timeout time.Duration) Option {
	return func(w *Watcher) { w.timeout = timeout }
}

// WithGuard sets the guard of the goroutines that a watcher starts.
func WithGuard(guard Guard) Option {
	return func(w *Watcher) { w.guard = guard }
}

// New returns a Watcher that passes the rows of a table to a sink.
func New(
	store rowstore.Store, table, part string, sink Sink, logger *slog.Logger, options ...Option,
) *Watcher {
	w := &Watcher{
		store: store, table: table, part: part, sink: sink, logger: logger, wait: defaultWait,
		timeout: callTimeout,
		rereads: newRereads(),
		guard:   unguarded{},
	}
	for _, option := range options {
		option(w)
	}
	newerExists := w.rereads.newerExists
	w.rereads.newerExists = func() bool { return w.hearsay.isBehind(time.Now()) || newerExists() }
	return w
}

// Table returns the name of the table.
func (w *Watcher) Table() string { return w.table }

// Run follows the table until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	w.rereads.demand() // the sink may have missed a change if it has panicked
	for ctx.Err() == nil {
		err := w.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, rowstore.ErrHistoryGone) {
			w.logger.Info("store history gone, rereading the whole table", "table", w.table)
			w.delayReread(ctx)
			w.rereads.demand()
			continue
		}
		w.recordOutcome(err)
		sleeper.Sleep(ctx, retryDelay/2+rand.N(retryDelay))
	}
}

// delayReread delays a read of the whole table because of missing history, if the history
// was missing shortly before as well.
func (w *Watcher) delayReread(ctx context.Context) {
	again := time.Since(w.historyGoneAt) < 2*historyRereadDelay
	if again {
		sleeper.Sleep(ctx, historyRereadDelay/2+rand.N(historyRereadDelay))
	}
	w.historyGoneAt = time.Now()
}

// recordOutcome informs the sink of a failed call, and logs when the store becomes
// unavailable or available again.
func (w *Watcher) recordOutcome(err error) {
	if err != nil {
		w.mu.Lock()
		w.sink.Failed(err)
		w.mu.Unlock()
	}
	if lost := err != nil; lost != w.storeLost {
		w.storeLost = lost
		w.logger.Warn("store availability changed", "table", w.table, "lost", lost, "error", err)
	}
}

// follow reads the table, unless its feed can be resumed, and its changes until a call fails.
func (w *Watcher) follow(ctx context.Context) error {
	if w.rereads.canResume(w.length()) {
		if err := w.followChanges(ctx); err != nil {
			return err
		}
	}
	for {
		all, err := w.readAll(ctx)
		if err != nil && !errors.Is(err, errCopied) {
			return err
		}
		if err == nil {
			w.recordOutcome(nil)
			w.replace(all)
		}
		w.rereads.record(w.length())
		if err := w.followChanges(ctx); err != nil {
			return err
		}
	}
}

func (w *Watcher) readAll(ctx context.Context) (rowstore.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, maxReadTimeout)
	defer cancel()
	if !w.hasRead {
		all, err := w.readFirst(ctx)
		w.hasRead = err == nil
		return all, err
	}
	return w.readPages(ctx, func(ctx context.Context, read readFunc) (rowstore.Snapshot, error) {
		return w.call(ctx, 0, read)
	})
}

// followChanges applies changes until the whole table must be read again.
func (w *Watcher) followChanges(ctx context.Context) error {
	for !w.rereads.isDue(w.length()) {
		changes, err := w.changes(ctx, w.Version())
		if err != nil {
			return err
		}
		w.recordOutcome(nil)
		w.confirm()
		if len(changes.Rows) == 0 {
			// The version stays the same: a store may withhold changes for a while, so
			// they must be requested again.
			continue
		}
		w.change(changes)
		if w.pause > 0 && !sleeper.Sleep(ctx, w.pause) {
			return ctx.Err()
		}
	}
	return nil
}

// changes requests the changes after a version. After a failure the store is to answer at
// once, so that the call doesn't outlast an outage by long.
func (w *Watcher) changes(ctx context.Context, version uint64) (rowstore.Snapshot, error) {
	wait := w.wait
	if w.storeLost {
		wait = 0
	}
	return w.call(ctx, wait, func(ctx context.Context) (rowstore.Snapshot, error) {
		return w.store.Changes(ctx, w.table, version, wait)
	})
}
