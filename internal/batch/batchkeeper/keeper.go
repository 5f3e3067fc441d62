package batchkeeper

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

const (
	// attemptTimeout bounds one attempt of a write; and how long a read may take until its answer
	// begins to arrive, and then stand still.
	attemptTimeout = 1500 * time.Millisecond
	// maxArrivalTime bounds how long the answer to one attempt of a read may keep arriving: one page for all VMs of
	// a region, over a link that they share. Callers' reads have shorter times of their own.
	maxArrivalTime = time.Minute
	// retryBase is the delay after the first failed attempt of a call; it doubles up to
	// retryMax.
	retryBase = 30 * time.Millisecond
	retryMax  = 400 * time.Millisecond
	// maxTxRows and maxTxBytes bound one transaction, with a margin for encoding.
	maxTxRows  = 90
	maxTxBytes = 600 << 10
)

// Keeper reads and writes the records, items, results and progress of batch jobs. It is
// safe for concurrent use.
type Keeper struct {
	store   rowstore.Store
	owner   Owner
	rowSize int
	logger  *slog.Logger

	mu               sync.Mutex
	storeClock       time.Duration // store clock at storeClockReadAt
	storeClockReadAt time.Time
	admission        admissionState
}

// New returns a Keeper for the process identified by owner. Rows hold up to rowSize
// bytes.
func New(store rowstore.Store, owner Owner, rowSize int, logger *slog.Logger) *Keeper {
	return &Keeper{store: store, owner: owner, rowSize: rowSize, logger: logger}
}

// Now returns the store's clock as estimated by this process, or 0 before the first
// reading. It is monotonic and common to all VMs, whereas their wall clocks may jump.
func (k *Keeper) Now() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.storeClockReadAt.IsZero() {
		return 0
	}
	return k.storeClock + time.Since(k.storeClockReadAt)
}

// SetClock sets the store's clock to another VM's estimate, unless this process already
// has a reading.
func (k *Keeper) SetClock(now time.Duration) {
	if k.Now() == 0 {
		k.recordClock(now)
	}
}

// recordClock records a reading of the store's clock.
func (k *Keeper) recordClock(now time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now > 0 {
		k.storeClock, k.storeClockReadAt = now, time.Now()
	}
}

// retryBackoff is the delay between attempts of a store call.
var retryBackoff = sleeper.Backoff{Initial: retryBase, Max: retryMax}

// noRetryLimit is a retry timeout that lets a call be retried until its context ends.
const noRetryLimit = time.Duration(1<<63 - 1)

// transactWithRetry sends a transaction until its outcome is known or the context ends.
// While all attempts surely had no effect, it retries for at most retryTimeout. It returns
// a *rowstore.ConflictError, ErrNotWritten or ErrInDoubt. The conflict may be with its own
// earlier attempt; callers recognize that by the rows it wrote.
func (k *Keeper) transactWithRetry(ctx context.Context, tx rowstore.Tx, retryTimeout time.Duration) (uint64, error) {
	version, _, err := k.transactAsOf(ctx, tx, retryTimeout)
	return version, err
}

// transactAsOf does the same, and also returns when the attempt began that succeeded or met a conflict.
func (k *Keeper) transactAsOf(
	ctx context.Context, tx rowstore.Tx, retryTimeout time.Duration,
) (version uint64, asOf time.Time, err error) {
	inDoubt, began := false, time.Now()
	for attempt := 0; ; attempt++ {
		asOf = time.Now()
		reply, err := k.transact(ctx, tx)
		switch {
		case err == nil:
			k.recordClock(reply.Now)
			return reply.Version, asOf, nil
		case errors.Is(err, rowstore.ErrConflict):
			return 0, asOf, err
		case errors.Is(err, rowstore.ErrInDoubt):
			inDoubt = true
		}
		if (inDoubt || time.Since(began) < retryTimeout) && retryBackoff.Wait(ctx, attempt) {
			continue
		}
		if inDoubt {
			return 0, asOf, fmt.Errorf("%w: %w", ErrInDoubt, err)
		}
		return 0, asOf, fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
}

// transact makes one attempt of a transaction.
func (k *Keeper) transact(ctx context.Context, tx rowstore.Tx) (rowstore.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return k.store.Transact(ctx, tx)
}

// Record reads the record of one job in one attempt. It returns ErrNotFound, ErrNotRead or
// ErrCorrupt.
func (k *Keeper) Record(ctx context.Context, id string) (VersionedRecord, error) {
	return k.readRecord(ctx, id, 0)
}

// readRecord reads the record of one job, retrying until retryTimeout has passed or the context
// ends. It returns ErrNotFound, ErrNotRead or ErrCorrupt.
func (k *Keeper) readRecord(ctx context.Context, id string, retryTimeout time.Duration) (VersionedRecord, error) {
	all, asOf, err := k.readRangeAsOf(ctx, tableJobs, partNameOf(id), id, id+"\x00", retryTimeout)
	if err != nil {
		return VersionedRecord{}, err
	}
	if len(all.Rows) == 0 {
		return VersionedRecord{}, fmt.Errorf("%w: %s", ErrNotFound, id)
	}
	return decodeRecord(all.Rows[0], asOf)
}

// ScanPart reads the records of the jobs of part n without retrying. It returns
// ErrNotRead. Records that can't be decoded are logged and skipped.
func (k *Keeper) ScanPart(ctx context.Context, n int) ([]VersionedRecord, error) {
	all, asOf, err := k.tryReadRange(ctx, tableJobs, partName(n), "", "")
	if err != nil {
		return nil, err
	}
	records := make([]VersionedRecord, 0, len(all.Rows))
	for _, row := range all.Rows {
		stored, err := decodeRecord(row, asOf)
		if err != nil {
			k.logger.Error("skipping job with undecodable record", "error", err)
			continue
		}
		records = append(records, stored)
	}
	return records, nil
}

// Scan reads the records of all jobs, one part per goroutine. It returns ErrNotRead if
// any part can't be read.
func (k *Keeper) Scan(ctx context.Context) ([]VersionedRecord, error) {
	began := time.Now()
	var found [Parts][]VersionedRecord
	var errs [Parts]error
	var group sync.WaitGroup
	for n := range Parts {
		group.Go(func() { found[n], errs[n] = k.ScanPart(ctx, n) })
	}
	group.Wait()
	if err := errors.Join(errs[:]...); err != nil {
		return nil, err
	}
	records := slices.Concat(found[:]...)
	k.recordScan(records, began)
	return records, nil
}
