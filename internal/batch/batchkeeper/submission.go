package batchkeeper

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// Submission is a job as it is handed in.
type Submission struct {
	ID    string
	Route string
	Host  string
	Items []Item
	// MaxTokens bounds what may wait on the route; 0 means no limit.
	MaxTokens int64
	// CompletionTarget and Retention count from now.
	CompletionTarget time.Duration
	Retention        time.Duration
}

// Submit accepts a job. Once it returns no error the job is in the store. It
// returns whether this call, not an earlier one, made this VM the owner, and
// ErrOverQuota, ErrNotWritten or ErrInDoubt.
func (k *Keeper) Submit(ctx context.Context, s Submission) (VersionedRecord, bool, error) {
	if k.Now() == 0 {
		if _, err := k.ScanPart(ctx, PartOf(s.ID)); err != nil { // the job's deadlines need the store's clock
			return VersionedRecord{}, false, fmt.Errorf("%w: %w", ErrNotWritten, err)
		}
	}
	record, content, err := k.encode(s)
	if err != nil {
		return VersionedRecord{}, false, err
	}
	content, err = k.putEarly(ctx, content)
	if err != nil {
		return VersionedRecord{}, false, err
	}
	if err := k.admit(ctx, s, record.Tokens); err != nil {
		return VersionedRecord{}, false, err
	}
	return k.accept(ctx, record, content)
}

// accept writes the job's record, with its content, unless there is one.
func (k *Keeper) accept(ctx context.Context, record Record, content []rowstore.Put) (VersionedRecord, bool, error) {
	own, err := put(recordKey(record.ID), record)
	if err != nil {
		return VersionedRecord{}, false, fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
	tx := rowstore.Tx{
		Conditions: []rowstore.Condition{{Key: own.Key}},
		Puts:       append([]rowstore.Put{own}, content...),
	}
	version, err := k.settle(ctx, tx, submitPatience)
	if err == nil {
		return VersionedRecord{Record: record, Version: version}, true, nil
	}
	var conflict *rowstore.ConflictError
	if !errors.As(err, &conflict) {
		return VersionedRecord{}, false, err
	}
	row, found := conflict.Current(own.Key)
	if !found || row.Version == 0 {
		return VersionedRecord{}, false, fmt.Errorf("%w: %w", ErrInDoubt, err)
	}
	stored, err := decodeRecord(row)
	return stored, err == nil && stored.Owner == k.owner && stored.Writes == 0, err
}

// encode returns a job's record and its content, cut into rows.
func (k *Keeper) encode(s Submission) (Record, []rowstore.Put, error) {
	now := k.Now()
	record := Record{
		ID: s.ID, Route: s.Route, Host: s.Host, Owner: k.owner, Items: len(s.Items),
		Due: now + s.CompletionTarget, Expires: now + s.Retention,
	}
	for _, item := range s.Items {
		record.Tokens += item.Tokens
	}
	text, err := cbor.Marshal(s.Items)
	if err != nil {
		return record, nil, fmt.Errorf("%w: encode items: %w", ErrNotWritten, err)
	}
	var puts []rowstore.Put
	for n := 0; len(text) > 0; n++ {
		size := min(k.rowSize, len(text))
		puts = append(puts, rowstore.Put{Key: numberedKey(tableContent, s.ID, n), Value: text[:size]})
		text = text[size:]
	}
	return record, puts, nil
}

// putEarly writes the rows of a large job that don't fit into the transaction
// that accepts it, and returns the rest. Rows without a record mean nothing, and
// writing them twice is harmless.
func (k *Keeper) putEarly(ctx context.Context, puts []rowstore.Put) ([]rowstore.Put, error) {
	for {
		n, size := 0, 0
		for n < len(puts) && n < maxRows && size+len(puts[n].Value) <= maxTxBytes {
			size += len(puts[n].Value)
			n++
		}
		if n == len(puts) {
			return puts, nil
		}
		if _, err := k.settle(ctx, rowstore.Tx{Puts: puts[:n]}, submitPatience); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotWritten, err)
		}
		puts = puts[n:]
	}
}
