package batchkeeper

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// Cancel marks a job as cancelled, so that no more results are added. Existing results
// remain available. It returns nil if the job is already cancelled. Otherwise it returns ErrNotFound,
// ErrCorrupt, or ErrNotRead, ErrNotWritten or ErrInDoubt, after which it may be called again.
//
// It makes one attempt, each call of which is bounded. While the job's owner changes the
// record meanwhile, it goes on with the record that the conflict shows, without reading it again: an owner
// that writes often can't keep it from ending.
func (k *Keeper) Cancel(ctx context.Context, caller Caller, id string) error {
	all, _, err := k.tryReadRange(ctx, tableJobs, partNameOf(id), id, id+"\x00")
	if err != nil {
		return err
	}
	if len(all.Rows) == 0 {
		return fmt.Errorf("%w: %s", ErrNotFound, id)
	}
	for current := all.Rows[0]; ; {
		conflict, err := k.cancelRecord(ctx, caller, current)
		if conflict == nil {
			return err
		}
		row, found := conflict.Current(recordKey(id))
		switch {
		case !found:
			return fmt.Errorf("%w: %w", ErrNotWritten, conflict)
		case row.Version == 0:
			return fmt.Errorf("%w: %s", ErrNotFound, id)
		}
		current = row
	}
}

// cancelRecord writes that a job is cancelled, unless its record says so. It returns a conflict if the
// record has changed.
func (k *Keeper) cancelRecord(
	ctx context.Context, caller Caller, row rowstore.Row,
) (*rowstore.ConflictError, error) {
	stored, err := decodeRecord(row, time.Time{}) // nobody asks for its age
	if err == nil {
		err = caller.authorize(&stored.Record)
	}
	if err != nil || stored.Cancelled {
		return nil, err
	}
	next := stored.Record
	next.Cancelled = true
	put, err := encodeRow(recordKey(next.ID), next)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
	reply, err := k.transact(ctx, rowstore.Tx{
		Conditions: []rowstore.Condition{{Key: put.Key, Version: stored.Version}}, Puts: []rowstore.Put{put},
	})
	var conflict *rowstore.ConflictError
	switch {
	case err == nil:
		k.recordClock(reply.Now)
		return nil, nil
	case errors.As(err, &conflict):
		return conflict, nil
	case errors.Is(err, rowstore.ErrInDoubt):
		return nil, fmt.Errorf("%w: %w", ErrInDoubt, err)
	default:
		return nil, fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
}
