package batchkeeper

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// Submission is a job as submitted by a caller.
type Submission struct {
	ID    string
	Route string
	Host  string
	Items []Item
	// MaxTokens bounds the tokens of open jobs on the route; 0 means no limit.
	MaxTokens int64
	// Configuration is the version of the configuration that has the route.
	Configuration uint64
	// CompletionTarget and Retention are durations from now until all results are due, and
	// until items without a result are abandoned.
	CompletionTarget time.Duration
	Retention        time.Duration
}

// Submit accepts a job. Once it returns no error the job is stored. It returns the job's
// record, and whether this call created it or found one that this process owns and has
// not written since. It returns ErrOverQuota, ErrNotWritten, ErrInDoubt or, if the existing
// record can't be decoded, ErrCorrupt.
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
	content, err = k.writeExcessContent(ctx, content)
	if err != nil {
		return VersionedRecord{}, false, err
	}
	if err := k.admit(ctx, s, record.Tokens); err != nil {
		return VersionedRecord{}, false, err
	}
	return k.accept(ctx, record, content)
}

// accept writes the job's record together with the given content rows, unless the record
// already exists; it then returns the existing one.
func (k *Keeper) accept(ctx context.Context, record Record, content []rowstore.Put) (VersionedRecord, bool, error) {
	recordPut, err := encodeRow(recordKey(record.ID), record)
	if err != nil {
		return VersionedRecord{}, false, fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
	tx := rowstore.Tx{
		Conditions: []rowstore.Condition{{Key: recordPut.Key}},
		Puts:       append([]rowstore.Put{recordPut}, content...),
	}
	version, err := k.transactWithRetry(ctx, tx, submitRetryTimeout)
	if err == nil {
		return VersionedRecord{Record: record, Version: version}, true, nil
	}
	var conflict *rowstore.ConflictError
	if !errors.As(err, &conflict) {
		return VersionedRecord{}, false, err
	}
	row, found := conflict.Current(recordPut.Key)
	if !found || row.Version == 0 {
		return VersionedRecord{}, false, fmt.Errorf("%w: %w", ErrInDoubt, err)
	}
	stored, err := decodeRecord(row)
	return stored, err == nil && stored.Owner == k.owner && stored.Writes == 0, err
}

// encodeSubmission returns a job's record and its encoded items, split into rows.
func (k *Keeper) encodeSubmission(s Submission) (Record, []rowstore.Put, error) {
	now := k.Now()
	record := Record{
		ID: s.ID, Route: s.Route, Host: s.Host, Owner: k.owner, Items: len(s.Items), Configuration: s.Configuration,
		Due: now + s.CompletionTarget, Expires: now + s.Retention,
	}
	for _, item := range s.Items {
		record.Tokens += item.Tokens
	}
	encoded, err := cbor.Marshal(s.Items)
	if err != nil {
		return record, nil, fmt.Errorf("%w: encode items: %w", ErrNotWritten, err)
	}
	var puts []rowstore.Put
	for n := 0; len(encoded) > 0; n++ {
		size := min(k.rowSize, len(encoded))
		puts = append(puts, rowstore.Put{Key: numberedKey(tableContent, s.ID, n), Value: encoded[:size]})
		encoded = encoded[size:]
	}
	return record, puts, nil
}

// writeExcessContent writes the content rows of a large job that don't fit into the
// transaction that accepts it, and returns the remaining ones. Content rows without a
// record have no meaning, and writing them twice is harmless.
func (k *Keeper) writeExcessContent(ctx context.Context, puts []rowstore.Put) ([]rowstore.Put, error) {
	for {
		n, size := 0, 0
		for n < len(puts) && n < maxTxRows && size+len(puts[n].Value) <= maxTxBytes {
			size += len(puts[n].Value)
			n++
		}
		if n == len(puts) {
			return puts, nil
		}
		if _, err := k.transactWithRetry(ctx, rowstore.Tx{Puts: puts[:n]}, submitRetryTimeout); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotWritten, err)
		}
		puts = puts[n:]
	}
}
