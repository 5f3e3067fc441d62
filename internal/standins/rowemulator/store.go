// Package rowemulator stands in for the platform's store: rows with versions,
// transactions, and the changes of a table, all in memory, with faults that
// tests switch on.
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

// Call is what a fault is asked about.
type Call struct {
	// Write tells whether the call is a transaction.
	Write bool
	Table string // of a read
	Tx    rowstore.Tx
	// Object is the object's name in a call about an object.
	Object string
}

// FaultFunc decides what becomes of a call. It returns an error to report and
// whether the call is done nevertheless.
type FaultFunc func(c Call) (done bool, err error)

// pageRows bounds the rows of one page.
const pageRows = 500

// Store is the stand-in. It implements rowstore.Store.
type Store struct {
	began time.Time

	mu      sync.Mutex
	rows    map[rowstore.Key]rowstore.Row
	log     []rowstore.Row // every change, in order
	dropped uint64         // changes up to this version are no longer in the log
	version uint64
	fault   FaultFunc
	down    bool
	changed chan struct{} // closed at the next change
	rates   *rates        // nil is none
	objects map[string][]byte
	counts  Counts
}

// Counts are the calls that were made of the store, answered or not.
type Counts struct {
	Transactions int
	Reads        int
	Objects      int
}

var (
	_ rowstore.Store   = (*Store)(nil)
	_ rowstore.Objects = (*Store)(nil)
)

// Option sets one property of a Store.
type Option func(*Store)

// WithRateLimits makes the store refuse calls beyond rates.
func WithRateLimits(r RateLimits) Option { return func(s *Store) { s.rates = newRates(r) } }

// New returns an empty store that takes calls at any rate.
func New(options ...Option) *Store {
	s := &Store{
		began: time.Now(), rows: map[rowstore.Key]rowstore.Row{}, changed: make(chan struct{}),
		objects: map[string][]byte{},
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// SetFaultFunc replaces the fault in force; nil is none.
func (s *Store) SetFaultFunc(f FaultFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// DropHistory forgets all changes so far.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.dropped = nil, s.version
}

// Counts returns the calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Rows returns all rows of a table, whatever fault is in force, in the order of
// their parts and names.
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

// judge asks the fault about a call.
func (s *Store) judge(c Call) (bool, error) {
	s.mu.Lock()
	s.counts.add(c)
	fault, down := s.fault, s.down
	s.mu.Unlock()
	switch {
	case down:
		return false, rowstore.ErrNotDone
	case !s.rates.allow(c):
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
	done, fault := s.judge(Call{Write: true, Tx: tx})
	if !done {
		return rowstore.Snapshot{}, fault
	}
	reply, err := s.Apply(tx)
	if fault != nil {
		return rowstore.Snapshot{}, fault
	}
	return reply, err
}

// Apply carries a transaction out, whatever fault is in force. It refuses what the
// platform's store would refuse.
func (s *Store) Apply(tx rowstore.Tx) (rowstore.Snapshot, error) {
	if _, err := tx.Part(rowstore.MaxEntries, rowstore.MaxTxBytes); err != nil {
		return rowstore.Snapshot{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if conflicts := s.conflicts(tx.Conditions); len(conflicts) > 0 {
		return rowstore.Snapshot{}, rowstore.NewConflict(conflicts)
	}
	if len(tx.Puts)+len(tx.Removes) > 0 {
		s.version++
		for _, p := range tx.Puts {
			s.change(rowstore.Row{Key: p.Key, Value: slices.Clone(p.Value), Version: s.version})
		}
		for _, key := range tx.Removes {
			s.change(rowstore.Row{Key: key, Version: s.version, Deleted: true})
		}
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return s.snapshot(nil), nil
}

// conflicts returns the current rows of all conditions if one doesn't hold.
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

func (s *Store) change(row rowstore.Row) {
	s.log = append(s.log, row)
	if row.Deleted {
		delete(s.rows, row.Key)
		return
	}
	s.rows[row.Key] = row
}

func (s *Store) snapshot(rows []rowstore.Row) rowstore.Snapshot {
	return rowstore.Snapshot{Rows: rows, Version: s.version, Now: time.Since(s.began) + time.Second}
}

// Range implements rowstore.Store.
func (s *Store) Range(
	_ context.Context, table, part, from, to string,
) (rowstore.Snapshot, string, error) {
	if done, err := s.judge(Call{Table: table}); !done || err != nil {
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
	if len(rows) > pageRows {
		rows = rows[:pageRows]
		next = rows[pageRows-1].Name + "\x00"
	}
	return s.snapshot(rows), next, nil
}

// Changes implements rowstore.Store.
func (s *Store) Changes(
	ctx context.Context, table string, after uint64, wait time.Duration,
) (rowstore.Snapshot, error) {
	if done, err := s.judge(Call{Table: table}); !done || err != nil {
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
	if after < s.dropped {
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
