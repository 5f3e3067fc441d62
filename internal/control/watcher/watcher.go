// Package watcher follows a table of the store: it reads all of it once and then
// its changes as they come, and again all of it after every failure and every
// now and then, since a feed of changes may go silent.
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
	// waitTime is how long the store holds a request for changes, if nothing else is
	// set.
	waitTime = time.Second
	// callTimeout bounds a call beyond the time that the store holds it, if nothing
	// else is set.
	callTimeout = 1200 * time.Millisecond
	// A read of the whole table that was given up while its answer was under way may
	// take twice as long the next time, up to maxReadTime: giving it up again and
	// again would fill a narrow link, and never end. Other reads are given up soon: a
	// call that hangs since an outage must not outlast it.
	maxReadTime = 16 * time.Second
	// rereadTime bounds how long a feed that has gone silent does harm, if nothing
	// else is set.
	rereadTime = 8 * time.Second
	// retryTime is the mean pause after a failure.
	retryTime = 300 * time.Millisecond
	// historyTime is the mean time between two reads of the whole table while the
	// store keeps no history: all VMs read it, and a table can be long.
	historyTime = 1200 * time.Millisecond
)

// Sink takes in what a watcher reads. Its methods are called one at a time.
type Sink interface {
	// Replace is called with all rows of the table.
	Replace(rows []rowstore.Row)
	// Change is called with rows that have changed.
	Change(rows []rowstore.Row)
	// Failed is called whenever the store has not answered.
	Failed(err error)
}

// Guard runs a task so that an unexpected error ends that task alone.
type Guard interface {
	Try(name string, task func() error) error
}

// unguarded runs tasks as they are.
type unguarded struct{}

// Try implements Guard.
func (unguarded) Try(_ string, task func() error) error { return task() }

// Watcher follows one table, whose rows are all in one part.
type Watcher struct {
	store    rowstore.Store
	table    string
	part     string
	sink     Sink
	logger   *slog.Logger
	wait     time.Duration
	pause    time.Duration
	reread   func() time.Duration
	timeout  func() time.Duration
	guard    Guard
	patience time.Duration // for the next read of the whole table; 0 until the first
	lost     bool
	gone     time.Time // when the store last had no history

	mu    sync.Mutex // held while the sink is called
	known known
}

// Option sets one property of a Watcher.
type Option func(*Watcher)

// WithWait sets how long the store holds a request for changes. A feed that has
// gone silent is noticed after that time and a bit.
func WithWait(wait time.Duration) Option {
	return func(w *Watcher) { w.wait = wait }
}

// WithPause sets a time that the watcher waits after each change, so that it reads
// many changes of a large table at once.
func WithPause(pause time.Duration) Option {
	return func(w *Watcher) { w.pause = pause }
}

// WithReread sets a function that returns the time between two reads of the whole
// table.
func WithReread(reread func() time.Duration) Option {
	return func(w *Watcher) { w.reread = reread }
}

// WithTimeout sets a function that returns the bound of a call beyond the time that
// the store holds it.
func WithTimeout(timeout func() time.Duration) Option {
	return func(w *Watcher) { w.timeout = timeout }
}

// WithGuard sets what runs the tasks that a watcher starts.
func WithGuard(guard Guard) Option {
	return func(w *Watcher) { w.guard = guard }
}

// New returns a watcher.
func New(
	store rowstore.Store, table, part string, sink Sink, logger *slog.Logger, options ...Option,
) *Watcher {
	w := &Watcher{
		store: store, table: table, part: part, sink: sink, logger: logger, wait: waitTime,
		timeout: func() time.Duration { return callTimeout },
		reread:  func() time.Duration { return rereadTime },
		guard:   unguarded{},
	}
	for _, option := range options {
		option(w)
	}
	return w
}

// Table returns the name of the table.
func (w *Watcher) Table() string { return w.table }

// Run follows the table until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := w.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, rowstore.ErrHistoryGone) {
			w.logger.Info("store history gone, reading all", "table", w.table)
			w.pace(ctx)
			continue
		}
		w.note(err)
		sleeper.Sleep(ctx, retryTime/2+rand.N(retryTime))
	}
}

// pace waits before the whole table is read because the store's history is gone,
// if it has been gone just before.
func (w *Watcher) pace(ctx context.Context) {
	again := time.Since(w.gone) < 2*historyTime
	if again {
		sleeper.Sleep(ctx, historyTime/2+rand.N(historyTime))
	}
	w.gone = time.Now()
}

// note logs a store that is lost, or back, once each.
func (w *Watcher) note(err error) {
	if err != nil {
		w.mu.Lock()
		w.sink.Failed(err)
		w.mu.Unlock()
	}
	if lost := err != nil; lost != w.lost {
		w.lost = lost
		w.logger.Warn("store dependency", "table", w.table, "lost", lost, "error", err)
	}
}

// follow reads the table and its changes until a call fails.
func (w *Watcher) follow(ctx context.Context) error {
	for {
		all, err := w.readAll(ctx)
		if err != nil {
			return err
		}
		w.note(nil)
		w.replace(all)
		if err := w.followChanges(ctx, all.Version); err != nil {
			return err
		}
	}
}

func (w *Watcher) readAll(ctx context.Context) (rowstore.Snapshot, error) {
	if w.patience == 0 {
		all, err := w.readFirst(ctx)
		if err == nil {
			w.patience = w.timeout()
		}
		return all, err
	}
	ctx, cancel := context.WithTimeout(ctx, w.patience)
	defer cancel()
	all, err := w.unlessLost(ctx, callTimeout, func(ctx context.Context) (rowstore.Snapshot, error) {
		return rowstore.ReadAll(ctx, w.store, w.table, w.part, "", "")
	})
	if errors.Is(err, rowstore.ErrResponseIncomplete) {
		w.patience = min(2*w.patience, maxReadTime)
	} else {
		w.patience = w.timeout()
	}
	return all, err
}

func (w *Watcher) followChanges(ctx context.Context, version uint64) error {
	until := time.Now().Add(w.reread())
	for time.Now().Before(until) {
		changes, err := w.changes(ctx, version)
		if err != nil {
			return err
		}
		w.confirm()
		if len(changes.Rows) == 0 {
			// The version stays: a store that holds changes back for a while must be
			// asked for them again.
			continue
		}
		w.change(changes)
		version = max(version, changes.Version)
		if w.pause > 0 && !sleeper.Sleep(ctx, w.pause) {
			return ctx.Err()
		}
	}
	return nil
}

func (w *Watcher) changes(ctx context.Context, version uint64) (rowstore.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, w.wait+w.timeout())
	defer cancel()
	return w.unlessLost(ctx, w.wait+callTimeout, func(ctx context.Context) (rowstore.Snapshot, error) {
		return w.store.Changes(ctx, w.table, version, w.wait)
	})
}
