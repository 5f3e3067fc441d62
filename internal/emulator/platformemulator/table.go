// Package platformemulator is a small stand-in for the platform: a
// transactional table, an object store, a rate-limited weight store and a
// lagging list of VMs, whose faults can be switched on.
package platformemulator

import (
	"slices"
	"strings"
	"sync"

	"github.com/fescuespindle/fescuespindle/internal/platform"
)

// Table is a transactional table in memory.
type Table struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]platform.Row
	sorted  []string
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[string]platform.Row{}}
}

// Transact carries out a transaction as a whole or not at all.
func (t *Table) Transact(tx platform.Transaction) platform.TransactReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	var conflicts []string
	for _, condition := range tx.Conditions {
		if t.rows[condition.Key].Version != condition.Version {
			conflicts = append(conflicts, condition.Key)
		}
	}
	if len(conflicts) > 0 {
		return platform.TransactReply{Conflicts: conflicts}
	}
	t.version++
	for _, put := range tx.Puts {
		t.insert(put.Key)
		t.rows[put.Key] = platform.Row{Key: put.Key, Version: t.version, Value: put.Value}
	}
	for _, key := range tx.Deletes {
		t.remove(key)
	}
	return platform.TransactReply{Committed: true, Version: t.version}
}

func (t *Table) insert(key string) {
	at, found := slices.BinarySearch(t.sorted, key)
	if !found {
		t.sorted = slices.Insert(t.sorted, at, key)
	}
}

func (t *Table) remove(key string) {
	at, found := slices.BinarySearch(t.sorted, key)
	if found {
		t.sorted = slices.Delete(t.sorted, at, at+1)
		delete(t.rows, key)
	}
}

// Read returns rows by key; one that does not exist has version 0.
func (t *Table) Read(keys []string) []platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]platform.Row, 0, len(keys))
	for _, key := range keys {
		row := t.rows[key]
		row.Key = key
		rows = append(rows, row)
	}
	return rows
}

// Scan returns rows by prefix, in the order of their keys.
func (t *Table) Scan(request platform.ScanRequest) []platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	from := max(request.Prefix, request.After)
	at, found := slices.BinarySearch(t.sorted, from)
	if found && request.After == from {
		at++
	}
	rows := []platform.Row{}
	for ; at < len(t.sorted) && len(rows) < request.Limit; at++ {
		key := t.sorted[at]
		if !strings.HasPrefix(key, request.Prefix) {
			break
		}
		rows = append(rows, t.rows[key])
	}
	return rows
}
