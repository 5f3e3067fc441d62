// Package rowstore has the terms in which the system speaks of the platform's
// store: rows with versions, transactions, and the changes of a table. The
// adapter in platform/ implements Store.
package rowstore

import (
	"context"
	"encoding/json"
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
	// ErrInDoubt means that a write may have taken effect, or may still do so.
	ErrInDoubt = errors.New("store call in doubt")
	// ErrHistoryGone means that the store has dropped the changes asked for.
	ErrHistoryGone = errors.New("store history gone")
	// ErrRateLimited means that the store refused a call for its rate. It comes
	// with ErrNotDone.
	ErrRateLimited = errors.New("store rate limit")
	// ErrResponseIncomplete means that an answer had begun to come when the call was given up.
	// It comes with ErrUnknown.
	ErrResponseIncomplete = errors.New("store answer under way")
	// ErrNotFound means that an object doesn't exist.
	ErrNotFound = errors.New("store object not found")
)

// The store's limits on one transaction and one row.
const (
	// MaxEntries bounds the conditions, puts and removals of a transaction together.
	MaxEntries = 100
	// MaxTxBytes bounds the keys and values of a transaction. The store's own
	// limit of 1 MB is on the encoded text, in which values take a third more.
	MaxTxBytes = 700 << 10
	// MaxRowBytes bounds the value of a row.
	MaxRowBytes = 64 << 10
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

// PutJSON writes one row with a value as JSON, which must be plain data.
func PutJSON(key Key, value any) Put {
	text, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("encode row %s: %v", key, err))
	}
	return Put{Key: key, Value: text}
}

// Tx is a set of writes inside one part that takes effect as a whole, if every
// condition holds, or not at all.
type Tx struct {
	Conditions []Condition
	Puts       []Put
	Removes    []Key
}

// Bytes returns the size of the transaction's keys and values.
func (t Tx) Bytes() int {
	bytes := 0
	for _, c := range t.Conditions {
		bytes += c.bytes()
	}
	for _, p := range t.Puts {
		bytes += p.bytes() + len(p.Value)
	}
	for _, k := range t.Removes {
		bytes += k.bytes()
	}
	return bytes
}

// Part returns the part that all rows lie in. It returns ErrNotDone if the store
// could never take the transaction: rows of several parts, a row that is too
// large, or more entries or bytes than the bounds, which are the store's own or
// lower ones.
func (t Tx) Part(maxEntries, maxBytes int) (string, error) {
	keys := t.Keys()
	if len(keys) == 0 {
		return "", nil
	}
	for _, key := range keys {
		if key.Part != keys[0].Part {
			return "", fmt.Errorf("%w: rows of parts %q and %q", ErrNotDone, keys[0].Part, key.Part)
		}
	}
	for _, put := range t.Puts {
		if len(put.Value) > MaxRowBytes {
			return "", fmt.Errorf("%w: row %s has %d bytes", ErrNotDone, put.Key, len(put.Value))
		}
	}
	if t.Entries() > maxEntries || t.Bytes() > maxBytes {
		return "", fmt.Errorf("%w: %d entries of %d bytes", ErrNotDone, t.Entries(), t.Bytes())
	}
	return keys[0].Part, nil
}

// Entries returns the number of conditions, puts and removals.
func (t Tx) Entries() int { return len(t.Conditions) + len(t.Puts) + len(t.Removes) }

// Keys returns the keys of all entries.
func (t Tx) Keys() []Key {
	keys := make([]Key, 0, t.Entries())
	for _, c := range t.Conditions {
		keys = append(keys, c.Key)
	}
	for _, p := range t.Puts {
		keys = append(keys, p.Key)
	}
	return append(keys, t.Removes...)
}

func (k Key) bytes() int { return len(k.Table) + len(k.Part) + len(k.Name) }

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

// Objects is the part of the platform's store that keeps large values. No call
// is tried twice. Calls return ErrNotDone or ErrUnknown like those of Store.
type Objects interface {
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject returns ErrNotFound if there is no such object.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// DeleteObject deletes an object, if it exists.
	DeleteObject(ctx context.Context, name string) error
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
