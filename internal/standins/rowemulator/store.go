// Package rowemulator is an in-memory stand-in for the platform's store. It has
// versioned rows, transactions, a change feed and objects, and injects faults.
package rowemulator

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// Call describes a call of the store to a FaultFunc.
type Call struct {
	// Write is set for a transaction and for a write of an object.
	Write bool
	Table string      // of a read of rows
	Tx    rowstore.Tx // of a transaction
	// Object is the name of the object, or empty if the call is about rows.
	Object string
}

// FaultFunc returns whether a call is executed, and the error that its caller gets,
// which may be non-nil although the call is executed.
type FaultFunc func(c Call) (done bool, err error)

const (
	// pageRows is the maximum number of rows on one page.
	pageRows = 500
	// pageBytes is the maximum size of the values on one page of several rows.
	pageBytes = 1 << 20
)

// Store is an in-memory store with fault injection. It implements rowstore.Store and
// rowstore.Objects.
type Store struct {
	started time.Time

	mu        sync.Mutex
	rows      map[rowstore.Key]rowstore.Row
	log       []rowstore.Row // every change, in order
	discarded uint64         // changes up to this version are no longer in the log
	version   uint64
	fault     FaultFunc
	down      bool
	changed   chan struct{} // closed at the next change
	limiter   *limiter      // nil means no limits
	objects   map[string][]byte
	counts    Counts
}

// Counts holds the numbers of calls, whether they succeeded or not.
type Counts struct {
	Transactions int
	Reads        int
	Objects      int
}

var (
	_ rowstore.Store   = (*Store)(nil)
	_ rowstore.Objects = (*Store)(nil)
)

// Option configures a Store.
type Option func(*Store)

// WithRateLimits makes the store reject calls that exceed limits.
func WithRateLimits(r RateLimits) Option { return func(s *Store) { s.limiter = newLimiter(r) } }

// New returns an empty store, by default without rate limits.
func New(options ...Option) *Store {
	s := &Store{
		started: time.Now(), rows: map[rowstore.Key]rowstore.Row{}, changed: make(chan struct{}),
		objects: map[string][]byte{},
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// SetFaultFunc sets the function that injects faults; nil means no faults.
func (s *Store) SetFaultFunc(f FaultFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// DropHistory discards the log of changes, so that Changes returns ErrHistoryGone for
// versions before the current one.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.discarded = nil, s.version
}

// Counts returns the numbers of calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Rows returns all rows of a table in the order of their parts and names, regardless
// of faults.
func (s *Store) Rows(table string) []rowstore.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []rowstore.Row
	for key, row := range s.rows {
		if key.Table == table {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b rowstore.Row) int {
		return cmp.Or(strings.Compare(a.Part, b.Part), strings.Compare(a.Name, b.Name))
	})
	return rows
}

func (c *Counts) add(call Call) {
	switch {
	case call.Object != "":
		c.Objects++
	case call.Write:
		c.Transactions++
	default:
		c.Reads++
	}
}

// checkCall counts a call and returns whether it is executed, and the error that its
// caller gets, as a FaultFunc does.
func (s *Store) checkCall(c Call) (bool, error) {
	s.mu.Lock()
	s.counts.add(c)
	fault, down := s.fault, s.down
	s.mu.Unlock()
	switch {
	case down:
		return false, rowstore.ErrNotDone
	case !s.limiter.allow(c):
		return false, fmt.Errorf("%w: %w", rowstore.ErrNotDone, rowstore.ErrRateLimited)
	case fault == nil:
		return true, nil
	default:
		return fault(c)
	}
}

// Transact implements rowstore.Store.
func (s *Store) Transact(ctx context.Context, tx rowstore.Tx) (rowstore.Snapshot, error) {
	if err := ctx.Err(); err != nil {
		return rowstore.Snapshot{}, rowstore.ErrNotDone
	}
	done, fault := s.checkCall(Call{Write: true, Tx: tx})
	if !done {
		return rowstore.Snapshot{}, fault
	}
	snapshot, err := s.Apply(tx)
	if fault != nil {
		return rowstore.Snapshot{}, fault
	}
	return snapshot, err
}

// Apply executes a transaction regardless of faults and rate limits. It rejects
// transactions that the platform's store would reject.
func (s *Store) Apply(tx rowstore.Tx) (rowstore.Snapshot, error) {
	if _, err := tx.Part(rowstore.MaxEntries, rowstore.MaxTxBytes); err != nil {
		return rowstore.Snapshot{}, err
	}
	return s.apply(tx)
}

// PutLarge writes a row of any size, regardless of faults and rate limits, as the platform's
// operator does.
func (s *Store) PutLarge(put rowstore.Put) error {
	_, err := s.apply(rowstore.Tx{Puts: []rowstore.Put{put}})
	return err
}

func (s *Store) apply(tx rowstore.Tx) (rowstore.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if conflicts := s.conflicts(tx.Conditions); len(conflicts) > 0 {
		return rowstore.Snapshot{}, rowstore.NewConflict(conflicts)
	}
	if len(tx.Puts)+len(tx.Removes) > 0 {
		s.version++
		for _, p := range tx.Puts {
			s.applyChange(rowstore.Row{Key: p.Key, Value: slices.Clone(p.Value), Version: s.version})
		}
		for _, key := range tx.Removes {
			s.applyChange(rowstore.Row{Key: key, Version: s.version, Deleted: true})
		}
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return s.snapshot(nil), nil
}

// conflicts returns the current rows of all conditions if any condition fails, or
// nil. A missing row has version 0.
func (s *Store) conflicts(conditions []rowstore.Condition) []rowstore.Row {
	holds := true
	var current []rowstore.Row
	for _, c := range conditions {
		row, found := s.rows[c.Key]
		if !found {
			row = rowstore.Row{Key: c.Key}
		}
		holds = holds && row.Version == c.Version
		current = append(current, row)
	}
	if holds {
		return nil
	}
	return current
}

// applyChange updates a row and appends the change to the log. The caller holds mu.
func (s *Store) applyChange(row rowstore.Row) {
	s.log = append(s.log, row)
	if row.Deleted {
		delete(s.rows, row.Key)
		return
	}
	s.rows[row.Key] = row
}

func (s *Store) snapshot(rows []rowstore.Row) rowstore.Snapshot {
	return rowstore.Snapshot{Rows: rows, Version: s.version, Now: time.Since(s.started) + time.Second}
}

// Range implements rowstore.Store.
func (s *Store) Range(
	_ context.Context, table, part, from, to string,
) (rowstore.Snapshot, string, error) {
	if done, err := s.checkCall(Call{Table: table}); !done || err != nil {
		return rowstore.Snapshot{}, "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []rowstore.Row
	for key, row := range s.rows {
		if key.Table == table && key.Part == part && key.Name >= from && (to == "" || key.Name < to) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b rowstore.Row) int { return strings.Compare(a.Name, b.Name) })
	next := ""
	if n := rowsOnPage(rows); n < len(rows) {
		rows = rows[:n]
		next = rows[n-1].Name + "\x00"
	}
	return s.snapshot(rows), next, nil
}

// rowsOnPage returns how many of the rows fit on one page.
func rowsOnPage(rows []rowstore.Row) int {
	bytes := 0
	for n, row := range rows {
		bytes += len(row.Value)
		if n == pageRows || (n > 0 && bytes > pageBytes) {
			return n
		}
	}
	return len(rows)
}

// Changes implements rowstore.Store.
func (s *Store) Changes(
	ctx context.Context, table string, after uint64, wait time.Duration,
) (rowstore.Snapshot, error) {
	if done, err := s.checkCall(Call{Table: table}); !done || err != nil {
		return rowstore.Snapshot{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		snapshot, changed, err := s.changesNow(table, after)
		if err != nil || len(snapshot.Rows) > 0 {
			return snapshot, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return snapshot, nil
		case <-ctx.Done():
			return rowstore.Snapshot{}, rowstore.ErrInDoubt
		}
	}
}

func (s *Store) changesNow(table string, after uint64) (rowstore.Snapshot, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.discarded {
		return rowstore.Snapshot{}, nil, rowstore.ErrHistoryGone
	}
	at, _ := slices.BinarySearchFunc(s.log, after+1, func(row rowstore.Row, version uint64) int {
		return cmp.Compare(row.Version, version)
	})
	var rows []rowstore.Row
	for _, row := range s.log[at:] {
		if row.Table == table {
			rows = append(rows, row)
		}
	}
	return s.snapshot(rows), s.changed, nil
}
