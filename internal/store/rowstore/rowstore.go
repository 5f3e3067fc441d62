// Package rowstore defines the interface to the platform's store: versioned rows,
// transactions, change feeds and objects. The adapter in platform/ implements Store
// and Objects.
package rowstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Errors returned by implementations of Store and Objects.
var (
	// ErrConflict reports that a condition did not hold; nothing was written.
	ErrConflict = errors.New("store conflict")
	// ErrNotDone reports that the call had no effect and will have none.
	ErrNotDone = errors.New("store call not done")
	// ErrInDoubt reports that the outcome of a call is unknown: a write may have taken
	// effect, or may still do so.
	ErrInDoubt = errors.New("store call in doubt")
	// ErrHistoryGone reports that the store no longer retains the requested changes.
	ErrHistoryGone = errors.New("store change history no longer available")
	// ErrRateLimited reports that the store rejected a call because of its rate limit.
	// It is wrapped together with ErrNotDone.
	ErrRateLimited = errors.New("store rate limit exceeded")
	// ErrResponseIncomplete reports that a response had started to arrive when reading it
	// failed or the call was canceled. It is wrapped together with ErrInDoubt.
	ErrResponseIncomplete = errors.New("store response incomplete")
	// ErrNotFound reports that an object doesn't exist.
	ErrNotFound = errors.New("store object not found")
)

// Limits of the store on one transaction and one row.
const (
	// MaxEntries is the maximum number of conditions, puts and removals in a transaction.
	MaxEntries = 100
	// MaxTxBytes is the maximum size of a transaction's keys and values. The store's own
	// limit of 1 MB applies to the encoded text, in which values take a third more space.
	MaxTxBytes = 700 << 10
	// MaxRowBytes is the maximum size of a row's value.
	MaxRowBytes = 64 << 10
)

// Key identifies one row. Part is the partition that the row is stored in.
type Key struct {
	Table string
	Part  string
	Name  string
}

// String returns the key in the form used in logs.
func (k Key) String() string { return k.Table + "/" + k.Part + "/" + k.Name }

// Row is one row as read. Version 0 means that the row doesn't exist.
type Row struct {
	Key
	Value   []byte
	Version uint64
	// Deleted is true for a row that a change removed.
	Deleted bool
}

// Condition requires a row to have a certain version when the transaction is applied;
// version 0 requires that the row doesn't exist.
type Condition struct {
	Key
	Version uint64
}

// Put sets the value of one row.
type Put struct {
	Key
	Value []byte
}

// PutJSON returns a Put whose value is encoded as JSON. It panics if the value can't be
// encoded.
func PutJSON(key Key, value any) Put {
	text, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("encode row %s: %v", key, err))
	}
	return Put{Key: key, Value: text}
}

// Tx is a set of writes within one part that is applied atomically if every condition
// holds, and not at all otherwise.
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

// Part returns the part that all rows of the transaction belong to, or "" if it has no
// entries. It returns ErrNotDone if the store could never accept the transaction: rows in
// several parts, a row that is too large, or more entries or bytes than the given limits,
// which are those of the store or lower ones.
func (t Tx) Part(maxEntries, maxBytes int) (string, error) {
	keys := t.Keys()
	if len(keys) == 0 {
		return "", nil
	}
	for _, key := range keys {
		if key.Part != keys[0].Part {
			return "", fmt.Errorf("%w: transaction has rows in parts %q and %q", ErrNotDone, keys[0].Part, key.Part)
		}
	}
	for _, put := range t.Puts {
		if len(put.Value) > MaxRowBytes {
			return "", fmt.Errorf("%w: value of row %s has %d bytes", ErrNotDone, put.Key, len(put.Value))
		}
	}
	if t.Entries() > maxEntries || t.Bytes() > maxBytes {
		return "", fmt.Errorf("%w: transaction has %d entries and %d bytes", ErrNotDone, t.Entries(), t.Bytes())
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

// Snapshot is a response of the store. Version is that of the rows that a transaction
// has written, or the store's version at which rows were read. Now is the store's
// monotonic clock.
type Snapshot struct {
	Rows    []Row
	Version uint64
	Now     time.Duration
}

// ConflictError reports a transaction whose conditions did not hold. It holds the current
// state of the rows concerned and wraps ErrConflict.
type ConflictError struct {
	current []Row
}

// NewConflict returns a ConflictError with the rows that the transaction found.
func NewConflict(current []Row) *ConflictError { return &ConflictError{current: current} }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: %d rows differ", ErrConflict, len(e.current))
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Current returns the row with the given key as the transaction found it, and whether the
// store reported it.
func (e *ConflictError) Current(key Key) (Row, bool) {
	for _, row := range e.current {
		if row.Key == key {
			return row, true
		}
	}
	return Row{}, false
}

// CurrentRows returns all reported rows as the transaction found them.
func (e *ConflictError) CurrentRows() []Row { return e.current }

// Store is the platform's row store. Implementations don't retry calls.
type Store interface {
	// Transact applies a transaction. It returns ErrConflict (as a *ConflictError),
	// ErrNotDone or ErrInDoubt.
	Transact(ctx context.Context, tx Tx) (Snapshot, error)
	// Range reads the rows of one part with from <= name < to as a consistent snapshot; an
	// empty bound is unlimited. If the page is incomplete, next is the lower bound of the
	// next page, otherwise it is empty.
	Range(ctx context.Context, table, part, from, to string) (page Snapshot, next string, err error)
	// Changes returns the rows of a table that have changed after a version. If there are
	// none it waits for a change, at most for wait.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Snapshot, error)
}

// Objects is the platform's object store, which holds large values. Implementations
// don't retry calls. Calls return ErrNotDone or ErrInDoubt like those of Store.
type Objects interface {
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject returns ErrNotFound if the object doesn't exist.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// DeleteObject deletes an object if it exists.
	DeleteObject(ctx context.Context, name string) error
}

// ReadAll reads all rows of a part with from <= name < to. If they span several pages,
// the rows don't form a consistent snapshot, and Version is that of the first page, so
// that a reader of the changes after it misses none.
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
