// Package rowstore has the terms in which the system speaks of the platform's
// store: rows with versions, transactions, and the changes of a table. The
// adapter in platform/ implements Store.
package rowstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of this layer.
var (
	// ErrConflict means that a condition did not hold; nothing was written.
	ErrConflict = errors.New("store conflict")
	// ErrNotDone means that the call surely had no effect.
	ErrNotDone = errors.New("store call not done")
	// ErrUnknown means that a write may have taken effect, or may still do so.
	ErrUnknown = errors.New("store call in doubt")
	// ErrHistoryGone means that the store has dropped the changes asked for.
	ErrHistoryGone = errors.New("store history gone")
)

// Key names one row.
type Key struct {
	Table string
	Part  string
	Name  string
}

// String returns the key as logs show it.
func (k Key) String() string { return k.Table + "/" + k.Part + "/" + k.Name }

// Row is one row as read. Version 0 means that the row doesn't exist.
type Row struct {
	Key
	Value   []byte
	Version uint64
	// Deleted marks a row that a change removed.
	Deleted bool
}

// Condition requires a row to have a version.
type Condition struct {
	Key
	Version uint64
}

// Put writes one row.
type Put struct {
	Key
	Value []byte
}

// Tx is a set of writes inside one part that takes effect as a whole, if every
// condition holds, or not at all.
type Tx struct {
	Conditions []Condition
	Puts       []Put
	Removes    []Key
}

// Snapshot is what the store answers. Now is the store's steady clock.
type Snapshot struct {
	Rows    []Row
	Version uint64
	Now     time.Duration
}

// ConflictError is a transaction whose conditions did not hold.
type ConflictError struct {
	current []Row
}

// NewConflict returns the error of a transaction that found other rows.
func NewConflict(current []Row) *ConflictError { return &ConflictError{current: current} }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: %d rows differ", ErrConflict, len(e.current))
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Current returns the row with a key as the transaction found it.
func (e *ConflictError) Current(key Key) (Row, bool) {
	for _, row := range e.current {
		if row.Key == key {
			return row, true
		}
	}
	return Row{}, false
}

// CurrentRows returns all rows as the transaction found them.
func (e *ConflictError) CurrentRows() []Row { return e.current }

// Store is the platform's store. No call is tried twice.
type Store interface {
	// Transact returns ErrConflict (a ConflictError), ErrNotDone or ErrUnknown.
	Transact(ctx context.Context, tx Tx) (Snapshot, error)
	// Range reads rows of one part with from <= name < to, all as of one moment;
	// an empty bound is none. An incomplete answer has its last name in next.
	Range(ctx context.Context, table, part, from, to string) (page Snapshot, next string, err error)
	// Changes returns the rows of a table that have changed after a version. It
	// waits for a change if there is none.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Snapshot, error)
}

// ReadAll reads all rows of a part with from <= name < to. If they take several
// pages, the rows are not of one moment and Version is that of the first page,
// so that a reader of changes after it misses nothing.
func ReadAll(ctx context.Context, store Store, table, part, from, to string) (Snapshot, error) {
	all, next, err := store.Range(ctx, table, part, from, to)
	for err == nil && next != "" {
		var page Snapshot
		page, next, err = store.Range(ctx, table, part, next, to)
		all.Rows = append(all.Rows, page.Rows...)
		all.Now = page.Now
	}
	return all, err
}
