package jobkeeper

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/internal/store/storekeeper"
)

// Result is one line of a job's results. Exactly one of Response and Error is
// set.
type Result struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *ResultResponse `json:"response"`
	Error    *ResultError    `json:"error"`
}

// ResultResponse is the response of an upstream to an item.
type ResultResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// ResultError is the reason why an item failed.
type ResultError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Claim is a chunk that this process owns, with the row and version that this
// process last wrote.
type Claim struct {
	Ref     ChunkRef
	Row     ChunkRow
	Version uint64
}

// OpenJobs returns up to limit jobs of a model that are in progress, earliest
// deadline first.
func (k *Keeper) OpenJobs(ctx context.Context, model string, limit int) ([]JobRow, error) {
	rows, err := k.openRows(ctx, model)
	if err != nil {
		return nil, wrapStoreError(err)
	}
	keys := make([]rowstore.Key, 0, limit)
	for _, row := range rows[:min(len(rows), limit)] {
		var id string
		if json.Unmarshal(row.Value, &id) == nil {
			keys = append(keys, jobKey(id))
		}
	}
	jobs, err := k.readJobs(ctx, keys)
	return slices.DeleteFunc(jobs, func(job JobRow) bool { return job.State != StateInProgress }), err
}

// openRows returns the index rows of a model's open jobs in the order of their
// deadlines. It reads one page of rows from each part.
func (k *Keeper) openRows(ctx context.Context, model string) ([]rowstore.Row, error) {
	var all []rowstore.Row
	for n := range uint64(jobParts) {
		rows, _, err := k.store.Scan(ctx, storekeeper.PurposeJob, storekeeper.PrefixSpan(openTable, jobPart(n), model+"/"))
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
	}
	slices.SortFunc(all, func(a, b rowstore.Row) int { return strings.Compare(a.Name, b.Name) })
	return all, nil
}

// Jobs returns the jobs with the given IDs, without those that don't exist.
func (k *Keeper) Jobs(ctx context.Context, ids []string) ([]JobRow, error) {
	keys := make([]rowstore.Key, 0, len(ids))
	for _, id := range ids {
		keys = append(keys, jobKey(id))
	}
	return k.readJobs(ctx, keys)
}

// readJobs returns the jobs in the rows with the given keys, without rows that don't exist or can't be
// decoded.
func (k *Keeper) readJobs(ctx context.Context, keys []rowstore.Key) ([]JobRow, error) {
	rows, err := k.store.Read(ctx, storekeeper.PurposeJob, keys...)
	if err != nil {
		return nil, wrapStoreError(err)
	}
	var jobs []JobRow
	for _, row := range rows {
		if job, err := decodeRow[JobRow](row); err == nil && job.Version != 0 {
			jobs = append(jobs, job.Value)
		}
	}
	return jobs, nil
}

// ChunkPage returns limit chunk rows of a job, starting at chunk number from. A
// chunk without a row has version 0.
func (k *Keeper) ChunkPage(ctx context.Context, job string, from, limit int) ([]Versioned[ChunkRow], error) {
	span := chunkSpan(job, from)
	span.To = chunkKey(ChunkRef{Job: job, Number: from + limit}).Name
	rows, _, err := k.store.Scan(ctx, storekeeper.PurposeJob, span)
	if err != nil {
		return nil, wrapStoreError(err)
	}
	byName := map[string]rowstore.Row{}
	for _, row := range rows {
		byName[row.Name] = row
	}
	out := make([]Versioned[ChunkRow], 0, limit)
	for n := from; n < from+limit; n++ {
		chunk, err := decodeRow[ChunkRow](byName[chunkKey(ChunkRef{Job: job, Number: n}).Name])
		if err != nil {
			return nil, err
		}
		out = append(out, chunk)
	}
	return out, nil
}

// ClaimChunk transfers a chunk from its previous owner to a new one and returns
// the claim and the job. The error is ErrCancelled if the job is no longer in
// progress, and ErrOwnershipLost if the chunk is done or its owner isn't the
// previous one.
func (k *Keeper) ClaimChunk(ctx context.Context, ref ChunkRef, previous, owner Owner) (Claim, JobRow, error) {
	rows, err := k.store.Read(ctx, storekeeper.PurposeJob, chunkKey(ref), jobKey(ref.Job))
	if err != nil {
		return Claim{}, JobRow{}, wrapStoreError(err)
	}
	chunk, err := decodeRow[ChunkRow](rows[0])
	if err != nil {
		return Claim{}, JobRow{}, err
	}
	job, err := decodeRow[JobRow](rows[1])
	if err != nil {
		return Claim{}, JobRow{}, err
	}
	if job.Value.State != StateInProgress {
		return Claim{}, JobRow{}, ErrCancelled
	}
	row := chunk.Value
	if chunk.Version == 0 || row.Done || row.Owner != previous {
		return Claim{}, JobRow{}, ErrOwnershipLost
	}
	row.Owner = owner
	row.Epoch++
	version, err := k.store.Transact(ctx, storekeeper.Write{
		Purpose: storekeeper.PurposeJob, Priority: storekeeper.PriorityProgress,
		Tx: chunkTx(ref, chunk.Version, row),
	})
	if errors.Is(err, storekeeper.ErrConflict) {
		return Claim{}, JobRow{}, ErrOwnershipLost
	}
	return Claim{Ref: ref, Row: row, Version: version}, job.Value, wrapStoreError(err)
}

// Items returns the items of a claimed chunk that have no committed result.
func (k *Keeper) Items(ctx context.Context, claim Claim) ([]Item, error) {
	text, err := k.store.GetObject(ctx, storekeeper.PurposeJob, claim.Row.Object)
	if err != nil {
		return nil, wrapStoreError(err)
	}
	done := map[string]bool{}
	for _, object := range claim.Row.ResultObjects {
		results, err := k.store.GetObject(ctx, storekeeper.PurposeJob, object)
		if err != nil {
			return nil, wrapStoreError(err)
		}
		for line := range bytes.Lines(results) {
			var result Result
			if err := json.Unmarshal(line, &result); err != nil {
				return nil, fmt.Errorf("decode result in %s: %w", object, err)
			}
			done[result.CustomID] = true
		}
	}
	var items []Item
	for line := range bytes.Lines(text) {
		var item Item
		if err := json.Unmarshal(line, &item); err != nil {
			return nil, fmt.Errorf("decode item in %s: %w", claim.Row.Object, err)
		}
		if !done[item.CustomID] {
			items = append(items, item)
		}
	}
	return items, nil
}

// CommitResults adds results to a chunk, and marks the chunk as done if they are the
// last. The write is conditional on the version of the row in the claim, so that
// a process that has lost the chunk can't add results to it: the first commit of
// a result wins, and the process gets ErrOwnershipLost. The returned claim has the
// new row and version.
func (k *Keeper) CommitResults(
	ctx context.Context, claim Claim, results []Result, last bool, now time.Time,
) (Claim, error) {
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetEscapeHTML(false)
	for _, result := range results {
		if err := encoder.Encode(result); err != nil {
			return claim, fmt.Errorf("encode result %s: %w", result.CustomID, err)
		}
	}
	row := claim.Row
	object := resultObjectName(claim.Ref, row.Epoch, len(row.ResultObjects), text.Bytes())
	if err := k.store.PutObject(ctx, storekeeper.PurposeJob, object, text.Bytes()); err != nil {
		return claim, wrapStoreError(err)
	}
	row.ResultObjects = append(append([]string(nil), row.ResultObjects...), object)
	for _, result := range results {
		if result.Error != nil {
			row.Failed++
		} else {
			row.Completed++
		}
	}
	row.Done = last
	if last {
		return k.finishChunk(ctx, claim, row, now)
	}
	return k.putChunk(ctx, claim, row)
}

// chunkTx returns a transaction that replaces a chunk's row if the row still has
// the given version.
func chunkTx(ref ChunkRef, version uint64, row ChunkRow) rowstore.Tx {
	return rowstore.Tx{
		Conditions: []rowstore.Condition{{Key: chunkKey(ref), Version: version}},
		Puts:       []rowstore.Put{rowstore.PutJSON(chunkKey(ref), row)},
	}
}

// putChunk replaces the row of a claimed chunk.
func (k *Keeper) putChunk(ctx context.Context, claim Claim, row ChunkRow) (Claim, error) {
	version, err := k.store.Transact(ctx, storekeeper.Write{
		Purpose: storekeeper.PurposeJob, Priority: storekeeper.PriorityResult,
		Tx: chunkTx(claim.Ref, claim.Version, row),
	})
	if errors.Is(err, storekeeper.ErrConflict) {
		return claim, ErrOwnershipLost
	}
	return Claim{Ref: claim.Ref, Row: row, Version: version}, wrapStoreError(err)
}

// finishChunk marks a chunk as done and adds its counts to the job, in one
// transaction. The last chunk completes the job, unless the job was cancelled.
func (k *Keeper) finishChunk(ctx context.Context, claim Claim, row ChunkRow, now time.Time) (Claim, error) {
	for range maxTransactionAttempts {
		rows, err := k.store.Read(ctx, storekeeper.PurposeJob, chunkKey(claim.Ref), jobKey(claim.Ref.Job))
		if err != nil {
			return claim, wrapStoreError(err)
		}
		if rows[0].Version != claim.Version {
			return claim, ErrOwnershipLost
		}
		found, err := decodeRow[JobRow](rows[1])
		if err != nil {
			return claim, err
		}
		version, err := k.store.Transact(ctx, finishWrite(claim, row, found, now))
		if errors.Is(err, storekeeper.ErrConflict) {
			continue
		}
		return Claim{Ref: claim.Ref, Row: row, Version: version}, wrapStoreError(err)
	}
	return claim, fmt.Errorf("%w: finish chunk: too many conflicts", ErrStore)
}

// finishWrite returns the write that marks a chunk as done and updates its job.
func finishWrite(claim Claim, row ChunkRow, found Versioned[JobRow], now time.Time) storekeeper.Write {
	job := found.Value
	job.DoneChunks++
	job.Completed += row.Completed
	job.Failed += row.Failed
	tx := chunkTx(claim.Ref, claim.Version, row)
	tx.Conditions = append(tx.Conditions, rowstore.Condition{Key: jobKey(job.ID), Version: found.Version})
	if job.DoneChunks == job.Chunks && job.State == StateInProgress {
		job.State = StateCompleted
		job.Ended = now
		tx.Removes = []rowstore.Key{openKey(job)}
	}
	tx.Puts = append(tx.Puts, rowstore.PutJSON(jobKey(job.ID), job))
	return storekeeper.Write{Purpose: storekeeper.PurposeJob, Priority: storekeeper.PriorityResult, Tx: tx}
}

// ReleaseChunk removes the owner of a chunk, so that another process can claim it
// without waiting for the lease to expire.
func (k *Keeper) ReleaseChunk(ctx context.Context, claim Claim) error {
	row := claim.Row
	row.Owner = Owner{}
	_, err := k.putChunk(ctx, claim, row)
	return err
}

// RenewLease renews the lease of a process that owns chunks. Each renewal changes
// the version of the lease row.
func (k *Keeper) RenewLease(ctx context.Context, owner Owner, beat uint64) error {
	_, err := k.store.Transact(ctx, storekeeper.Write{
		Purpose: storekeeper.PurposeLease, Priority: storekeeper.PriorityProgress,
		Tx: rowstore.Tx{Puts: []rowstore.Put{rowstore.PutJSON(leaseKey(owner), LeaseRow{Beat: beat})}},
	})
	return wrapStoreError(err)
}

// Leases returns the version of each owner's lease row, or 0 if it has none.
func (k *Keeper) Leases(ctx context.Context, owners []Owner) ([]uint64, error) {
	keys := make([]rowstore.Key, 0, len(owners))
	for _, owner := range owners {
		keys = append(keys, leaseKey(owner))
	}
	rows, err := k.store.Read(ctx, storekeeper.PurposeLease, keys...)
	if err != nil {
		return nil, wrapStoreError(err)
	}
	versions := make([]uint64, 0, len(rows))
	for _, row := range rows {
		versions = append(versions, row.Version)
	}
	return versions, nil
}
