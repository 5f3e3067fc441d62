// Package storekeeper is the one place that knows the faults of the platform's
// store. It reads a lost answer back before it tries a transaction again,
// keeps a VM's share of the fleet's budget, sends what matters most first, and
// commits in groups.
package storekeeper

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/fescuespindle/fescuespindle/internal/platform"
	"github.com/fescuespindle/fescuespindle/internal/platformcaller"
	"github.com/fescuespindle/fescuespindle/internal/sleeper"
)

// Errors of this layer.
var (
	// ErrConflict means that a condition did not hold; nothing was written.
	ErrConflict = errors.New("store conflict")
	// ErrNotWritten means that the store could not be reached in time and
	// nothing was written.
	ErrNotWritten = errors.New("store not written")
	// ErrUnknown means that the write may or may not have taken effect.
	ErrUnknown = errors.New("store write in doubt")
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

// Store is the platform as this package needs it.
type Store interface {
	Transact(context.Context, platform.Transaction) (platform.TransactReply, error)
	Read(context.Context, []string) ([]platform.Row, error)
	Scan(context.Context, platform.ScanRequest) ([]platform.Row, error)
	PutObject(context.Context, string, []byte) error
	GetObject(context.Context, string) ([]byte, error)
	DeleteObject(context.Context, string) error
}

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
	groupLimit             = 64
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
		l := &lane{keeper: k, marker: fmt.Sprintf("tx/%s/%d", k.incarnation, i)}
		group.Go(func() error { return l.run(ctx) })
	}
	return group.Wait()
}

// Read reads rows, trying again until the context ends.
func (k *Keeper) Read(ctx context.Context, purpose Purpose, keys ...string) ([]platform.Row, error) {
	return readRetried(ctx, k, purpose, func(ctx context.Context) ([]platform.Row, error) {
		return k.store.Read(ctx, keys)
	})
}

// Scan reads up to limit rows by prefix after a key.
func (k *Keeper) Scan(ctx context.Context, purpose Purpose, prefix, after string, limit int) ([]platform.Row, error) {
	return readRetried(ctx, k, purpose, func(ctx context.Context) ([]platform.Row, error) {
		return k.store.Scan(ctx, platform.ScanRequest{Prefix: prefix, After: after, Limit: limit})
	})
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
		return fmt.Errorf("%w: object %s", ErrUnknown, key)
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
		case errors.Is(err, platformcaller.ErrNotFound):
			return zero, ErrNotFound
		}
		last = err
		if !sleepBackoff(ctx, attempt) {
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
	down := err != nil && !errors.Is(err, platformcaller.ErrNotFound) && !errors.Is(err, platformcaller.ErrLimited)
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

func (k *Keeper) count(what string, purpose Purpose) {
	k.counter.Count(fmt.Sprintf("store_%s_total{purpose=%q}", what, purpose))
}

// sleepBackoff waits for an exponential time with full jitter. It returns false
// if the context ends first.
func sleepBackoff(ctx context.Context, attempt int) bool {
	limit := min(retryBase<<min(attempt, 10), retryMax)
	return sleeper.Sleep(ctx, retryBase/2+rand.N(limit))
}
