package batchkeeper

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// Claim makes this process the owner of a job if its record is unchanged since it was
// read; otherwise it returns ErrOwnershipLost.
func (k *Keeper) Claim(ctx context.Context, seen VersionedRecord) (VersionedRecord, error) {
	return k.updateRecord(ctx, seen, rowstore.Tx{}, func(r *Record) { r.Owner = k.owner })
}

// Commit appends results to a job that this process owns; each result takes the next
// position. It replaces the token sum and the failure counts in the record.
//
// The returned record may have fewer new results than were passed: either not all of them
// fit into one transaction, or an earlier Commit in doubt, which began with the same
// results, turned out to have taken effect. The caller must commit the remaining ones
// again.
func (k *Keeper) Commit(
	ctx context.Context, seen VersionedRecord, results []Result, tokens int64, failureCounts map[int]FailureCounts,
) (VersionedRecord, error) {
	puts, n, err := k.encodeResults(seen.ID, seen.Results, results)
	if err != nil {
		return seen, err
	}
	return k.updateRecord(ctx, seen, rowstore.Tx{Puts: puts}, func(r *Record) {
		r.Results += n
		r.Tokens = tokens
		r.FailureCounts = failureCounts
	})
}

// Release gives up the ownership of a job and stores the progress of its running items,
// so that another VM can resume them.
func (k *Keeper) Release(
	ctx context.Context, seen VersionedRecord, progress map[int]Progress,
) (VersionedRecord, error) {
	tx, err := k.encodeProgress(seen.ID, progress)
	if err != nil {
		return seen, err
	}
	return k.updateRecord(ctx, seen, tx, func(r *Record) { r.Owner = Owner{} })
}

// Renew shows other VMs that the owner of a job is alive, and stores the progress of
// running items. Like Commit it may return the record of an earlier write in doubt.
func (k *Keeper) Renew(
	ctx context.Context, seen VersionedRecord, tokens int64, failureCounts map[int]FailureCounts,
	progress map[int]Progress,
) (VersionedRecord, error) {
	tx, err := k.encodeProgress(seen.ID, progress)
	if err != nil {
		return seen, err
	}
	return k.updateRecord(ctx, seen, tx, func(r *Record) {
		r.Tokens = tokens
		r.FailureCounts = failureCounts
	})
}

// encodeProgress returns the writes for a job's progress. Entries that don't fit into a
// row or one transaction are omitted; a new owner starts the items concerned over.
func (k *Keeper) encodeProgress(id string, progress map[int]Progress) (rowstore.Tx, error) {
	var tx rowstore.Tx
	size := 0
	for _, item := range slices.Sorted(maps.Keys(progress)) {
		row, err := encodeRow(numberedKey(tableProgress, id, item), progress[item])
		if err != nil {
			return tx, fmt.Errorf("%w: %w", ErrNotWritten, err)
		}
		if len(row.Value) > k.rowSize {
			continue
		}
		size += len(row.Value)
		if size > maxTxBytes || len(tx.Puts) == maxTxRows {
			break
		}
		tx.Puts = append(tx.Puts, row)
	}
	return tx, nil
}

// updateRecord applies mutate to a job's record and writes it together with the rows of
// tx, if the record still has the known version. It returns ErrOwnershipLost if another
// process has changed it, ErrNotWritten, ErrInDoubt or ErrCorrupt.
func (k *Keeper) updateRecord(
	ctx context.Context, seen VersionedRecord, tx rowstore.Tx, mutate func(*Record),
) (VersionedRecord, error) {
	next := seen.Record
	mutate(&next)
	next.Writes++
	row, err := encodeRow(recordKey(seen.ID), next)
	if err != nil {
		return seen, fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
	tx.Conditions = append(tx.Conditions, rowstore.Condition{Key: row.Key, Version: seen.Version})
	tx.Puts = append(tx.Puts, row)
	version, asOf, err := k.transactAsOf(ctx, tx, noRetryLimit)
	if err == nil {
		return VersionedRecord{Record: next, Version: version, AsOf: asOf}, nil
	}
	var conflict *rowstore.ConflictError
	if !errors.As(err, &conflict) {
		return seen, err
	}
	return k.resolveConflict(conflict, asOf, seen, next)
}

// resolveConflict determines the cause of a conflict: either this write has already taken
// effect and only its response was lost, or the job has another owner or was cancelled. asOf is when
// the attempt began that met the conflict.
func (k *Keeper) resolveConflict(
	conflict *rowstore.ConflictError, asOf time.Time, seen VersionedRecord, next Record,
) (VersionedRecord, error) {
	row, found := conflict.Current(recordKey(seen.ID))
	if !found || row.Version == 0 {
		return seen, fmt.Errorf("%w: record of %s does not exist", ErrOwnershipLost, seen.ID)
	}
	current, err := decodeRecord(row, asOf)
	if err != nil {
		return seen, err
	}
	if current.Owner == next.Owner && current.Writes == next.Writes && !current.Cancelled {
		return current, nil
	}
	return current, fmt.Errorf("%w: %s: owner %s, cancelled %t",
		ErrOwnershipLost, seen.ID, current.Owner.VM, current.Cancelled)
}

// LoadedJob is the data that a new owner of a job reads besides its record.
type LoadedJob struct {
	Items     []Item
	HasResult map[string]bool // by item ID
	Progress  map[int]Progress
	// UnreadableProgress is the number of rows of progress that can't be decoded. Their items start over.
	UnreadableProgress int
}

// Team returns the name of the job's team, as its items have it.
func (l LoadedJob) Team() string {
	if len(l.Items) == 0 {
		return ""
	}
	return l.Items[0].Team
}

// Bytes returns the memory that the items and the output so far take.
func (l LoadedJob) Bytes() int64 {
	var bytes int64
	for i := range l.Items {
		bytes += l.Items[i].Bytes()
	}
	for _, p := range l.Progress {
		bytes += int64(len(p.Output))
	}
	return bytes
}

// Load reads the data needed to run a job that this process owns. It returns
// ErrNotRead or ErrCorrupt.
func (k *Keeper) Load(ctx context.Context, record Record) (LoadedJob, error) {
	id := record.ID
	var loaded LoadedJob
	var err error
	if loaded.Items, err = k.Items(ctx, record); err != nil {
		return loaded, err
	}
	if loaded.HasResult, err = k.itemsWithResult(ctx, id); err != nil {
		return loaded, err
	}
	loaded.Progress, loaded.UnreadableProgress, err = k.readProgress(ctx, id)
	return loaded, err
}

// readProgress reads the progress of a job's items, and returns the number of rows that it skips because they can't be
// decoded. Progress only saves work, so that such a row costs its item a new start, and not the job.
func (k *Keeper) readProgress(ctx context.Context, id string) (byItem map[int]Progress, skipped int, err error) {
	byItem, err = readNumbered[Progress](ctx, k, tableProgress, id, func(err error) error {
		skipped++
		k.logger.Warn("skipping progress of an item", "job", id, "error", err)
		return nil
	})
	return byItem, skipped, err
}

// itemsWithResult returns the IDs of the items of a job that have a result. It doesn't read the continuation
// rows of the results.
func (k *Keeper) itemsWithResult(ctx context.Context, id string) (map[string]bool, error) {
	results, err := readNumbered[Result](ctx, k, tableResults, id, failOnCorrupt)
	items := make(map[string]bool, len(results))
	for _, result := range results {
		items[result.Item] = true
	}
	return items, err
}

// failOnCorrupt makes readNumbered fail at a row that can't be decoded.
func failOnCorrupt(err error) error { return err }

// readNumbered reads the numbered rows of a job in a table, and returns their decoded values by number. onCorrupt is called for
// rows that can't be decoded, with ErrCorrupt; if it returns nil, the row is left out.
func readNumbered[T any](
	ctx context.Context, k *Keeper, table, id string, onCorrupt func(error) error,
) (map[int]T, error) {
	from, to := numberedRange(id, 0)
	rows, err := k.readRange(ctx, table, partNameOf(id), from, to)
	if err != nil {
		return nil, err
	}
	values := map[int]T{}
	for _, row := range rows.Rows {
		n, found := numberOf(id, row.Name)
		if !found {
			continue
		}
		var value T
		if err := decodeRow(row, &value); err != nil {
			if err := onCorrupt(err); err != nil {
				return nil, err
			}
			continue
		}
		values[n] = value
	}
	return values, nil
}
