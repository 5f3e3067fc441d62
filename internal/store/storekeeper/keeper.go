// Package storekeeper is a client of the platform's store that tolerates its failures.
// It retries calls, determines the outcome of a write whose response was lost before it
// resends it, enforces the VM's share of the fleet's rate budget, sends writes in order
// of priority, and commits them in groups.
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

	"github.com/fescuespindle/fescuespindle/internal/plumbing/arrivalbounder"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// Errors returned by Keeper.
var (
	// ErrConflict reports that a condition did not hold; nothing was written.
	ErrConflict = errors.New("store conflict")
	// ErrNotWritten reports that nothing was written: the write is invalid, or it was not
	// sent before its context ended.
	ErrNotWritten = errors.New("store write not sent")
	// ErrInDoubt reports that the write may or may not have taken effect.
	ErrInDoubt = errors.New("store write in doubt")
	// ErrNotRead reports that the call did not succeed before its context ended.
	ErrNotRead = errors.New("store call failed")
	// ErrNotFound reports that an object doesn't exist.
	ErrNotFound = errors.New("store object not found")
)

// Purpose says what a call is for; calls are counted by purpose.
type Purpose string

// Purposes of store calls.
const (
	PurposeConfig     Purpose = "config"
	PurposeJob        Purpose = "job"
	PurposeClaim      Purpose = "claim"
	PurposeLease      Purpose = "lease"
	PurposeOrder      Purpose = "order"
	PurposeMembership Purpose = "membership"
	PurposeMarker     Purpose = "marker"
)

// Priority orders writes that wait for the rate budget; lower values are sent first.
type Priority uint8

// Priorities of writes.
const (
	// PriorityAcknowledge is for writes that a caller waits for.
	PriorityAcknowledge Priority = iota
	// PriorityResult is for results of completed work.
	PriorityResult
	// PriorityProgress is for progress records, which tolerate delay.
	PriorityProgress
	priorityCount
)

// Store is the platform's store of rows and objects.
type Store interface {
	rowstore.Store
	rowstore.Objects
}

// Span selects the rows of one part of a table with From <= name < To; an empty bound
// is unlimited.
type Span struct {
	Table string
	Part  string
	From  string
	To    string
}

// PrefixSpan returns the span of all names with a prefix. The prefix must not be empty
// and must end in a byte below 0xff.
func PrefixSpan(table, part, prefix string) Span {
	last := len(prefix) - 1
	return Span{Table: table, Part: part, From: prefix, To: prefix[:last] + string(prefix[last]+1)}
}

// RowSpan returns the span that holds one row only.
func RowSpan(key rowstore.Key) Span {
	return Span{Table: key.Table, Part: key.Part, From: key.Name, To: NextName(key.Name)}
}

// NextName returns the smallest name that is greater than the given one in byte order.
func NextName(name string) string { return name + "\x00" }

// Counter counts events by name.
type Counter interface {
	Count(name string)
}

const (
	defaultWritesPerSecond = 30
	defaultReadsPerSecond  = 100
	// retryBase is the delay after the first failed attempt of a call; it doubles up to
	// retryMax.
	retryBase = 20 * time.Millisecond
	retryMax  = time.Second
	// attemptTimeout bounds one attempt of a transaction; of any other call, how long its answer may
	// take to begin, and stand still then. maxArrivalTime is how long the answer may keep arriving.
	attemptTimeout = 2 * time.Second
	maxArrivalTime = 30 * time.Second
	laneCount      = 2 // transactions in flight at a time
	// maxConcurrentReads bounds the concurrent store calls of one Read.
	maxConcurrentReads = 8
)

// Keeper is one VM's client of the store. It is safe for concurrent use.
type Keeper struct {
	store       Store
	incarnation string
	logger      *slog.Logger
	counter     Counter
	writes      *rate.Limiter
	reads       *rate.Limiter

	mu      sync.Mutex
	waiting [priorityCount][]*pending
	wake    chan struct{}

	down atomic.Bool
}

// Option configures a Keeper.
type Option func(*Keeper)

// WithBudget sets the VM's share of the fleet's rate budget, in writes and reads per
// second.
func WithBudget(writes, reads float64) Option {
	return func(k *Keeper) { k.SetBudget(writes, reads) }
}

// New returns a Keeper. The incarnation must identify this process uniquely among all
// that ever ran. Writes make progress only while Run is running.
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

// SetBudget changes the VM's share of the fleet's rate budget, in writes and reads per
// second.
func (k *Keeper) SetBudget(writes, reads float64) {
	k.writes.SetLimit(rate.Limit(writes))
	k.writes.SetBurst(max(1, int(writes)))
	k.reads.SetLimit(rate.Limit(reads))
	k.reads.SetBurst(max(1, int(reads)))
}

// Available returns whether the store answered the most recent call.
func (k *Keeper) Available() bool {
	return !k.down.Load()
}

// Run commits writes until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i := range laneCount {
		l := &lane{keeper: k, name: fmt.Sprintf("%s-%d", k.incarnation, i), markers: map[string]markerState{}}
		group.Go(func() error { return l.run(ctx) })
	}
	return group.Wait()
}

// Read reads rows, retrying until the context ends; it then returns ErrNotRead. Rows that
// don't exist have version 0. Each row is read separately, so together they don't form a
// consistent snapshot.
func (k *Keeper) Read(ctx context.Context, purpose Purpose, keys ...rowstore.Key) ([]rowstore.Row, error) {
	rows := make([]rowstore.Row, len(keys))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentReads)
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

// Scan reads the first page of a span, in the order of names, retrying until the context
// ends; it then returns ErrNotRead. If there may be more rows, next is the From bound of
// the next page.
func (k *Keeper) Scan(ctx context.Context, purpose Purpose, span Span) (rows []rowstore.Row, next string, err error) {
	page, err := retryCall(ctx, k, purpose, func(ctx context.Context) (scanPage, error) {
		snapshot, next, err := k.store.Range(ctx, span.Table, span.Part, span.From, span.To)
		return scanPage{rows: snapshot.Rows, next: next}, err
	})
	return page.rows, page.next, err
}

// scanPage is one page of a span.
type scanPage struct {
	rows []rowstore.Row
	next string
}

// GetObject reads an object, retrying until the context ends. It returns ErrNotFound or
// ErrNotRead.
func (k *Keeper) GetObject(ctx context.Context, purpose Purpose, key string) ([]byte, error) {
	return retryCall(ctx, k, purpose, func(ctx context.Context) ([]byte, error) {
		return k.store.GetObject(ctx, key)
	})
}

// PutObject writes an object, retrying until the context ends; it then returns ErrInDoubt.
// Retries are safe because objects are written under names that no other content uses.
func (k *Keeper) PutObject(ctx context.Context, purpose Purpose, key string, body []byte) error {
	_, err := retryCall(ctx, k, purpose, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, k.store.PutObject(ctx, key, body)
	})
	if errors.Is(err, ErrNotRead) {
		return fmt.Errorf("%w: object %s", ErrInDoubt, key)
	}
	return err
}

// DeleteObject deletes an object if it exists, retrying until the context ends; it then
// returns ErrNotRead, and the deletion may have taken effect.
func (k *Keeper) DeleteObject(ctx context.Context, purpose Purpose, key string) error {
	_, err := retryCall(ctx, k, purpose, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, k.store.DeleteObject(ctx, key)
	})
	return err
}

// retryCall makes a call until it succeeds, the object doesn't exist, or the context ends.
// It returns ErrNotFound or ErrNotRead. Attempts count against the rate budget of reads.
func retryCall[T any](
	ctx context.Context, k *Keeper, purpose Purpose, call func(context.Context) (T, error),
) (T, error) {
	var zero T
	var last error
	for attempt := 0; ; attempt++ {
		if err := k.reads.Wait(ctx); err != nil {
			return zero, fmt.Errorf("%w: %w", ErrNotRead, errors.Join(err, last))
		}
		k.count("reads", purpose)
		value, err := attemptCall(ctx, call)
		k.recordAvailability(err)
		switch {
		case err == nil:
			return value, nil
		case errors.Is(err, rowstore.ErrNotFound):
			return zero, ErrNotFound
		}
		last = err
		if !retryBackoff.Wait(ctx, attempt) {
			return zero, fmt.Errorf("%w: %w", ErrNotRead, last)
		}
	}
}

// attemptCall makes one attempt of a call. A large answer may take long over a full link, but must keep
// arriving.
func attemptCall[T any](ctx context.Context, call func(context.Context) (T, error)) (T, error) {
	ctx, bounder := arrivalbounder.Start(ctx, arrivalbounder.Bounds{
		Start: attemptTimeout, Stall: attemptTimeout, Total: maxArrivalTime,
	})
	defer bounder.Stop()
	return call(rowstore.WithProgressHook(ctx, bounder.Progress))
}

// recordAvailability updates the availability of the store after a call and logs changes.
func (k *Keeper) recordAvailability(err error) {
	down := err != nil && !isStoreResponse(err)
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

// isStoreResponse returns whether an error shows that the store is reachable.
func isStoreResponse(err error) bool {
	return errors.Is(err, rowstore.ErrNotFound) || errors.Is(err, rowstore.ErrRateLimited) ||
		errors.Is(err, rowstore.ErrConflict)
}

func (k *Keeper) count(operation string, purpose Purpose) {
	k.counter.Count(fmt.Sprintf("store_%s_total{purpose=%q}", operation, purpose))
}

// retryBackoff is the delay between attempts of a call.
var retryBackoff = sleeper.Backoff{Initial: retryBase, Max: retryMax}
