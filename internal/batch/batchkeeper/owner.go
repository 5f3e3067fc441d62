package batchkeeper

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// Claim makes this process the owner of a job, if its record is still as it was
// read.
func (k *Keeper) Claim(ctx context.Context, seen VersionedRecord) (VersionedRecord, error) {
	return k.write(ctx, seen, rowstore.Tx{}, func(r *Record) { r.Owner = k.owner })
}

// Commit appends results to a job of this process; each takes the next position.
// Tokens and trials replace those of the record.
//
// The record that it returns may have fewer results than asked for: not all of
// them fit into one transaction, or an earlier Commit in doubt, with the first of
// these results, turned out to have taken effect. The rest must be committed
// again.
func (k *Keeper) Commit(
	ctx context.Context, seen VersionedRecord, results []Result, tokens int64, trials map[int]FailureCounts,
) (VersionedRecord, error) {
	puts, n, err := k.putResults(seen.ID, seen.Results, results)
	if err != nil {
		return seen, err
	}
	return k.write(ctx, seen, rowstore.Tx{Puts: puts}, func(r *Record) {
		r.Results += n
		r.Tokens = tokens
		r.FailureCounts = trials
	})
}

// Release gives a job up, with what this process has of items that were running,
// so that another VM goes on from there.
func (k *Keeper) Release(ctx context.Context, seen VersionedRecord, progress map[int]Progress) (VersionedRecord, error) {
	tx, err := k.putProgress(seen.ID, progress)
	if err != nil {
		return seen, err
	}
	return k.write(ctx, seen, tx, func(r *Record) { r.Owner = Owner{} })
}

// Renew tells all that the owner of a job lives, and keeps what it has of items
// that are running. Like Commit it may return the record of an earlier write in
// doubt.
func (k *Keeper) Renew(
	ctx context.Context, seen VersionedRecord, tokens int64, trials map[int]FailureCounts, progress map[int]Progress,
) (VersionedRecord, error) {
	tx, err := k.putProgress(seen.ID, progress)
	if err != nil {
		return seen, err
	}
	return k.write(ctx, seen, tx, func(r *Record) {
		r.Tokens = tokens
		r.FailureCounts = trials
	})
}

// putProgress returns the writes of a job's progress. What doesn't fit into a row
// or one transaction is left out; the items concerned start over if it is needed.
func (k *Keeper) putProgress(id string, progress map[int]Progress) (rowstore.Tx, error) {
	var tx rowstore.Tx
	size := 0
	for _, item := range slices.Sorted(maps.Keys(progress)) {
		row, err := put(numberedKey(tableProgress, id, item), progress[item])
		if err != nil {
			return tx, fmt.Errorf("%w: %w", ErrNotWritten, err)
		}
		if len(row.Value) > k.rowSize {
			continue
		}
		size += len(row.Value)
		if size > maxTxBytes || len(tx.Puts) == maxRows {
			break
		}
		tx.Puts = append(tx.Puts, row)
	}
	return tx, nil
}

// write changes a job's record, and writes rows with it, if the record is still
// as this process knows it. It returns ErrLost if another has changed it.
func (k *Keeper) write(
	ctx context.Context, seen VersionedRecord, tx rowstore.Tx, change func(*Record),
) (VersionedRecord, error) {
	next := seen.Record
	change(&next)
	next.Writes++
	row, err := put(recordKey(seen.ID), next)
	if err != nil {
		return seen, fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
	tx.Conditions = append(tx.Conditions, rowstore.Condition{Key: row.Key, Version: seen.Version})
	tx.Puts = append(tx.Puts, row)
	version, err := k.settle(ctx, tx, unlimited)
	if err == nil {
		return VersionedRecord{Record: next, Version: version}, nil
	}
	var conflict *rowstore.ConflictError
	if !errors.As(err, &conflict) {
		return seen, err
	}
	return k.afterConflict(conflict, seen, next)
}

// afterConflict finds out what a conflict means: that this write has taken
// effect already and only its answer was lost, or that the job has changed hands
// or was cancelled.
func (k *Keeper) afterConflict(conflict *rowstore.ConflictError, seen VersionedRecord, next Record) (VersionedRecord, error) {
	row, found := conflict.Current(recordKey(seen.ID))
	if !found || row.Version == 0 {
		return seen, fmt.Errorf("%w: %s is gone", ErrOwnershipLost, seen.ID)
	}
	current, err := decodeRecord(row)
	if err != nil {
		return seen, err
	}
	if current.Owner == next.Owner && current.Writes == next.Writes && !current.Cancelled {
		return current, nil
	}
	return current, fmt.Errorf("%w: %s: owner %s, cancelled %t", ErrOwnershipLost, seen.ID, current.Owner.VM, current.Cancelled)
}

// LoadedJob is what a new owner reads of a job.
type LoadedJob struct {
	Items     []Item
	HasResult map[string]bool // items that have a result
	Progress  map[int]Progress
}

// Bytes returns what the items and what there is of them take.
func (l LoadedJob) Bytes() int64 {
	var bytes int64
	for _, item := range l.Items {
		bytes += int64(len(item.Body))
	}
	for _, p := range l.Progress {
		bytes += int64(len(p.Output))
	}
	return bytes
}

// Load reads what is needed to run a job that this process owns.
func (k *Keeper) Load(ctx context.Context, id string) (LoadedJob, error) {
	loaded := LoadedJob{HasResult: map[string]bool{}, Progress: map[int]Progress{}}
	var err error
	if loaded.Items, err = k.Items(ctx, id); err != nil {
		return loaded, err
	}
	results, err := k.readAllResults(ctx, id)
	if err != nil {
		return loaded, err
	}
	for _, result := range results {
		loaded.HasResult[result.Item] = true
	}
	from, to := numberedRange(id, 0)
	rows, err := k.readAll(ctx, tableProgress, partOf(id), from, to)
	if err != nil {
		return loaded, err
	}
	for _, row := range rows.Rows {
		var p Progress
		var item int
		if _, err := fmt.Sscanf(row.Name[len(id):], "/%d", &item); err != nil {
			return loaded, fmt.Errorf("%w: %s", ErrDamaged, row.Key)
		}
		if err := decode(row, &p); err != nil {
			return loaded, err
		}
		loaded.Progress[item] = p
	}
	return loaded, nil
}

func (k *Keeper) readAllResults(ctx context.Context, id string) ([]Result, error) {
	var results []Result
	for {
		page, err := k.readResults(ctx, id, len(results))
		if err != nil {
			return nil, err
		}
		if len(page) == 0 {
			return results, nil
		}
		results = append(results, page...)
	}
}

// Cancel ends a job. What is listed already stays listed.
func (k *Keeper) Cancel(ctx context.Context, id string) error {
	for attempt := 0; ; attempt++ {
		stored, err := k.record(ctx, id)
		if err != nil {
			return err
		}
		if stored.Cancelled {
			return nil
		}
		next := stored.Record
		next.Cancelled = true
		row, err := put(recordKey(id), next)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrNotWritten, err)
		}
		_, err = k.settle(ctx, rowstore.Tx{
			Conditions: []rowstore.Condition{{Key: row.Key, Version: stored.Version}}, Puts: []rowstore.Put{row},
		}, unlimited)
		if !errors.Is(err, rowstore.ErrConflict) {
			return err
		}
		if !retries.Wait(ctx, attempt) { // the owner has written meanwhile
			return fmt.Errorf("%w: %w", ErrNotWritten, err)
		}
	}
}
