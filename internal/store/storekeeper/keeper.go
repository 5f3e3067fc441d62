// Package storekeeper makes reads and writes of the platform's store that last
// through its faults. It reads a lost answer back before it tries a transaction again,
// keeps a VM's share of the fleet's budget, sends what matters most first, and
// commits in groups.
package storekeeper

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// Errors of this layer.
var (
	// ErrConflict means that a condition did not hold; nothing was written.
	ErrConflict = errors.New("store conflict")
	// ErrNotWritten means that the store could not be reached in time and
	// nothing was written.
	ErrNotWritten = errors.New("store not written")
	// ErrInDoubt means that the write may or may not have taken effect.
	ErrInDoubt = errors.New("store write in doubt")
	// ErrNotRead means that the store could not be read in time.
	ErrNotRead = errors.New("store not read")
	// ErrNotFound means that an object doesn't exist.
	ErrNotFound = errors.New("store object not found")
)

// Purpose names what a request is for; costs are counted by purpose.
type Purpose string

// The purposes of requests to the store.
const (
	PurposeConfig     Purpose = "config"
	PurposeJob        Purpose = "job"
	PurposeClaim      Purpose = "claim"
	PurposeLease      Purpose = "lease"
	PurposeOrder      Purpose = "order"
	PurposeMembership Purpose = "membership"
	PurposeMarker     Purpose = "marker"
)

// Priority orders writes that wait for the budget; lower goes first.
type Priority uint8

// The priorities of writes.
const (
	// PriorityAcknowledge is for writes that a caller waits for.
	PriorityAcknowledge Priority = iota
	// PriorityResult is for finished work.
	PriorityResult
	// PriorityProgress is for marks that may come late.
	PriorityProgress
	priorities
)

// Store is the platform's store.
type Store interface {
	rowstore.Store
	rowstore.Objects
}

// Span is the rows of one part of a table with From <= name < To; an empty
// bound is none.
type Span struct {
	Table string
	Part  string
	From  string
	To    string
}

// PrefixSpan returns the span of all names with a prefix that ends in a byte
// below 0xff.
func PrefixSpan(table, part, prefix string) Span {
	last := len(prefix) - 1
	return Span{Table: table, Part: part, From: prefix, To: prefix[:last] + string(prefix[last]+1)}
}

// RowSpan returns the span of one row.
func RowSpan(key rowstore.Key) Span {
	return Span{Table: key.Table, Part: key.Part, From: key.Name, To: NextName(key.Name)}
}

// NextName returns the name that follows a name in byte order.
func NextName(name string) string { return name + "\x00" }

// Counter counts events by name.
type Counter interface {
	Count(name string)
}

const (
	defaultWritesPerSecond = 30
	defaultReadsPerSecond  = 100
	retryBase              = 20 * time.Millisecond
	retryMax               = time.Second
	attemptTimeout         = 2 * time.Second
	laneCount              = 2
	// readsAtOnce bounds the calls that one read of several rows makes at a time.
	readsAtOnce = 8
)

// Keeper is one VM's client of the store.
type Keeper struct {
	store       Store
	incarnation string
	logger      *slog.Logger
	counter     Counter
	writes      *rate.Limiter
	reads       *rate.Limiter

	mu      sync.Mutex
	waiting [priorities][]*pending
	wake    chan struct{}

	down atomic.Bool
}

// Option sets one property of a Keeper.
type Option func(*Keeper)

// WithBudget sets the VM's share of the fleet's writes and reads a second.
func WithBudget(writes, reads float64) Option {
	return func(k *Keeper) { k.SetBudget(writes, reads) }
}

// New returns a keeper. The incarnation names this process among all that ever
// ran. Run must be called for writes to make progress.
func New(store Store, incarnation string, logger *slog.Logger, counter Counter, options ...Option) *Keeper {
	k := &Keeper{
		store: store, incarnation: incarnation, logger: logger, counter: counter,
		writes: rate.NewLimiter(defaultWritesPerSecond, defaultWritesPerSecond),
		reads:  rate.NewLimiter(defaultReadsPerSecond, defaultReadsPerSecond),
		wake:   make(chan struct{}, laneCount),
	}
	for _, option := range options {
		option(k)
	}
	return k
}

// SetBudget changes the VM's share of the fleet's writes and reads a second.
func (k *Keeper) SetBudget(writes, reads float64) {
	k.writes.SetLimit(rate.Limit(writes))
	k.writes.SetBurst(max(1, int(writes)))
	k.reads.SetLimit(rate.Limit(reads))
	k.reads.SetBurst(max(1, int(reads)))
}

// Available tells whether the store answered last time.
func (k *Keeper) Available() bool {
	return !k.down.Load()
}

// Run commits writes until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i := range laneCount {
		l := &lane{keeper: k, name: fmt.Sprintf("%s-%d", k.incarnation, i), marks: map[string]mark{}}
		group.Go(func() error { return l.run(ctx) })
	}
	return group.Wait()
}

// Read reads rows, trying again until the context ends. Rows that don't exist
// have version 0. Each row is of a moment of its own.
func (k *Keeper) Read(ctx context.Context, purpose Purpose, keys ...rowstore.Key) ([]rowstore.Row, error) {
	rows := make([]rowstore.Row, len(keys))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(readsAtOnce)
	for i, key := range keys {
		group.Go(func() error {
			found, _, err := k.Scan(ctx, purpose, RowSpan(key))
			rows[i] = rowstore.Row{Key: key}
			if len(found) > 0 {
				rows[i] = found[0]
			}
			return err
		})
	}
	return rows, group.Wait()
}

// Scan reads the first page of a span, in the order of names. If there may be
// more rows, next is where to go on.
func (k *Keeper) Scan(ctx context.Context, purpose Purpose, span Span) (rows []rowstore.Row, next string, err error) {
	page, err := readRetried(ctx, k, purpose, func(ctx context.Context) (scanned, error) {
		snapshot, next, err := k.store.Range(ctx, span.Table, span.Part, span.From, span.To)
		return scanned{rows: snapshot.Rows, next: next}, err
	})
	return page.rows, page.next, err
}

// scanned is one page of a span.
type scanned struct {
	rows []rowstore.Row
	next string
}

// GetObject reads an object.
func (k *Keeper) GetObject(ctx context.Context, purpose Purpose, key string) ([]byte, error) {
	return readRetried(ctx, k, purpose, func(ctx context.Context) ([]byte, error) {
		return k.store.GetObject(ctx, key)
	})
}

// PutObject writes an object. Objects are written under names that no other
// content uses, so that writing twice is harmless.
func (k *Keeper) PutObject(ctx context.Context, purpose Purpose, key string, body []byte) error {
	_, err := readRetried(ctx, k, purpose, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, k.store.PutObject(ctx, key, body)
	})
	if errors.Is(err, ErrNotRead) {
		return fmt.Errorf("%w: object %s", ErrInDoubt, key)
	}
	return err
}

// DeleteObject deletes an object, if it exists.
func (k *Keeper) DeleteObject(ctx context.Context, purpose Purpose, key string) error {
	_, err := readRetried(ctx, k, purpose, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, k.store.DeleteObject(ctx, key)
	})
	return err
}

func readRetried[T any](
	ctx context.Context, k *Keeper, purpose Purpose, read func(context.Context) (T, error),
) (T, error) {
	var zero T
	var last error
	for attempt := 0; ; attempt++ {
		if err := k.reads.Wait(ctx); err != nil {
			return zero, fmt.Errorf("%w: %w", ErrNotRead, errors.Join(err, last))
		}
		k.count("reads", purpose)
		value, err := attemptRead(ctx, read)
		k.note(err)
		switch {
		case err == nil:
			return value, nil
		case errors.Is(err, rowstore.ErrNotFound):
			return zero, ErrNotFound
		}
		last = err
		if !retries.Wait(ctx, attempt) {
			return zero, fmt.Errorf("%w: %w", ErrNotRead, last)
		}
	}
}

func attemptRead[T any](ctx context.Context, read func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return read(ctx)
}

// note keeps whether the store answers, for all its users at once.
func (k *Keeper) note(err error) {
	down := err != nil && !isAnswer(err)
	if k.down.Swap(down) == down {
		return
	}
	k.counter.Count("store_state_changes_total")
	if down {
		k.logger.Warn("store unavailable", "error", err)
		return
	}
	k.logger.Info("store available")
}

// isAnswer tells whether an error shows that the store is there.
func isAnswer(err error) bool {
	return errors.Is(err, rowstore.ErrNotFound) || errors.Is(err, rowstore.ErrRateLimited) || errors.Is(err, rowstore.ErrConflict)
}

func (k *Keeper) count(what string, purpose Purpose) {
	k.counter.Count(fmt.Sprintf("store_%s_total{purpose=%q}", what, purpose))
}

// retries are the pauses before a call is made again.
var retries = sleeper.Backoff{Initial: retryBase, Max: retryMax}
