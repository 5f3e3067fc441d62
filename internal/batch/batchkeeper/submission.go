package batchkeeper

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// Submission is a job as submitted by a caller.
type Submission struct {
	ID    string
	Route string
	Host  string
	Items []Item
	// Caller is who submits the job, which then belongs to the caller's team.
	Caller Caller
	// MaxTokens bounds the tokens of the open jobs of the team on the route; 0 means no limit.
	MaxTokens int64
	// Configuration is the version of the configuration that has the route.
	Configuration uint64
	// CompletionTarget and Retention are durations from now until all results are due, and
	// until items without a result are abandoned.
	CompletionTarget time.Duration
	Retention        time.Duration
}

// Submit accepts a job. Once it returns no error the job is stored. It returns the job's
// record, and whether this process is to run the job because this call has accepted it. It
// returns ErrOverQuota, ErrNotWritten, ErrInDoubt, ErrNotFound if the ID is that of another team's job
// or, if the record of an existing job can't be decoded, ErrCorrupt.
func (k *Keeper) Submit(ctx context.Context, s Submission) (VersionedRecord, bool, error) {
	if k.Now() == 0 {
		if _, err := k.ScanPart(ctx, PartOf(s.ID)); err != nil { // needed to compute the job's deadlines
			return VersionedRecord{}, false, fmt.Errorf("%w: %w", ErrNotWritten, err)
		}
	}
	record, content, err := k.encodeSubmission(s)
	if err != nil {
		return VersionedRecord{}, false, err
	}
	excess, rest := splitContent(content)
	if len(excess) > 0 {
		if stored, found, err := k.findRecord(ctx, s.ID); err != nil || found {
			return stored, false, errors.Join(err, s.Caller.authorize(&stored.Record))
		}
	}
	stored, accepted, err := k.submit(ctx, s, record, excess, rest)
	if err == nil && !accepted {
		err = s.Caller.authorize(&stored.Record)
	}
	if !accepted && (err == nil || errors.Is(err, ErrOverQuota) || errors.Is(err, ErrNotFound)) {
		k.removeContent(ctx, excess)
	}
	return stored, accepted && stored.Owner == k.owner && stored.Open(), err
}

// submit writes the excess content of a job and accepts the job, if its tokens are admitted. It
// returns the job's record, and whether this call has accepted the job.
func (k *Keeper) submit(
	ctx context.Context, s Submission, record Record, excess, rest []rowstore.Put,
) (VersionedRecord, bool, error) {
	if err := k.writeContent(ctx, excess); err != nil {
		return VersionedRecord{}, false, err
	}
	if err := k.admit(ctx, s, record.Tokens); err != nil {
		return VersionedRecord{}, false, err
	}
	return k.accept(ctx, record, rest)
}

// findRecord reads the record of a job that may exist. It returns ErrNotWritten if it can't be
// read, or ErrCorrupt.
func (k *Keeper) findRecord(ctx context.Context, id string) (VersionedRecord, bool, error) {
	all, asOf, err := k.readRangeAsOf(ctx, tableJobs, partNameOf(id), id, id+"\x00", submitRetryTimeout)
	if err != nil {
		return VersionedRecord{}, false, fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
	if len(all.Rows) == 0 {
		return VersionedRecord{}, false, nil
	}
	stored, err := decodeRecord(all.Rows[0], asOf)
	return stored, err == nil, err
}

// accept writes the job's record together with the given content rows, unless the record
// already exists. It returns the record in the store, and whether this call has written it.
func (k *Keeper) accept(ctx context.Context, record Record, content []rowstore.Put) (VersionedRecord, bool, error) {
	recordPut, err := encodeRow(recordKey(record.ID), record)
	if err != nil {
		return VersionedRecord{}, false, fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
	ownRow := content[len(content)-1].Key // only this call writes it
	tx := rowstore.Tx{
		Conditions: []rowstore.Condition{{Key: recordPut.Key}, {Key: ownRow}},
		Puts:       append([]rowstore.Put{recordPut}, content...),
	}
	version, asOf, err := k.transactAsOf(ctx, tx, submitRetryTimeout)
	if err == nil {
		return VersionedRecord{Record: record, Version: version, AsOf: asOf}, true, nil
	}
	var conflict *rowstore.ConflictError
	if !errors.As(err, &conflict) {
		return VersionedRecord{}, false, err
	}
	row, found := conflict.Current(recordPut.Key)
	if !found || row.Version == 0 {
		return VersionedRecord{}, false, fmt.Errorf("%w: %w", ErrInDoubt, err)
	}
	stored, err := decodeRecord(row, asOf)
	written, found := conflict.Current(ownRow) // by an attempt whose response was lost
	return stored, err == nil && found && written.Version > 0, err
}

// encodeSubmission returns a job's record and its content rows.
func (k *Keeper) encodeSubmission(s Submission) (Record, []rowstore.Put, error) {
	now := k.Now()
	record := Record{
		ID: s.ID, Route: s.Route, Host: s.Host, Team: s.Caller.Team, Owner: k.owner,
		Items: len(s.Items), Configuration: s.Configuration,
		Due: now + s.CompletionTarget, Expires: now + s.Retention,
	}
	for _, item := range s.Items {
		record.Tokens += item.Tokens
	}
	content, err := k.encodeContent(s.ID, s.Items)
	for _, row := range content {
		record.ContentBytes += int64(len(row.Value))
	}
	return record, content, err
}
