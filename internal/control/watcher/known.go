package watcher

import (
	"time"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// tableState is what this VM knows of a table.
type tableState struct {
	rows map[string]rowstore.Row
	// version is a store version that the rows are at least as new as; 0 while nothing is
	// known.
	version uint64
	// confirmedAt is when the store last confirmed the rows, to this VM or to the one that
	// they were copied from.
	confirmedAt time.Time
	// fromStore is set once the store itself has answered this process, or its changes are to follow from a copy.
	fromStore bool
}

// Copy is the content of a table as one VM sends it to another.
type Copy struct {
	Rows    []CopiedRow `cbor:"rows"`
	Version uint64      `cbor:"version"`
	// Age is how long ago the store last confirmed the rows.
	Age time.Duration `cbor:"age"`
}

// CopiedRow is one row of a Copy. Its table and part are those of the Copy.
type CopiedRow struct {
	Name    string `cbor:"name"`
	Value   []byte `cbor:"value"`
	Version uint64 `cbor:"version"`
}

// Copy returns the known content of the table. It returns false if there is none yet.
func (w *Watcher) Copy(now time.Time) (Copy, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tableState.version == 0 {
		return Copy{}, false
	}
	c := Copy{Version: w.tableState.version, Age: now.Sub(w.tableState.confirmedAt)}
	for _, row := range w.tableState.rows {
		c.Rows = append(c.Rows, CopiedRow{Name: row.Name, Value: row.Value, Version: row.Version})
	}
	return c, true
}

// Version returns a version of the store that the content passed to the sink is at least as new
// as; 0 while nothing is known.
func (w *Watcher) Version() uint64 {
	w.mu.Lock() // held until the sink has the content
	defer w.mu.Unlock()
	return w.tableState.version
}

// length returns the bytes of the names and values of all rows.
func (w *Watcher) length() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	bytes := 0
	for _, row := range w.tableState.rows {
		bytes += len(row.Name) + len(row.Value)
	}
	return bytes
}

// HasData reports whether any content of the table is known, so that no copy is needed.
func (w *Watcher) HasData() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tableState.version > 0
}

// Offer replaces the known content by a copy from another VM, if the copy is newer and the
// store has not answered yet. It replaces all rows, so that a removed row doesn't come
// back from a VM that lags behind. It reports whether the copy was accepted.
func (w *Watcher) Offer(c Copy, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tableState.fromStore || c.Version <= w.tableState.version {
		return false
	}
	rows := make([]rowstore.Row, 0, len(c.Rows))
	for _, row := range c.Rows {
		key := rowstore.Key{Table: w.table, Part: w.part, Name: row.Name}
		rows = append(rows, rowstore.Row{Key: key, Value: row.Value, Version: row.Version})
	}
	w.tableState = tableState{rows: byName(rows), version: c.Version, confirmedAt: now.Add(-c.Age)}
	w.hearsay.know(rows)
	w.sink.Replace(rows)
	w.announceCopy()
	return true
}

// replace replaces the known content by the whole table as read from the store.
func (w *Watcher) replace(all rowstore.Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tableState = tableState{rows: byName(all.Rows), version: all.Version, confirmedAt: time.Now(), fromStore: true}
	w.hearsay.know(all.Rows)
	w.sink.Replace(all.Rows)
}

// change applies changed rows from the store.
func (w *Watcher) change(changes rowstore.Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, row := range changes.Rows {
		if row.Deleted {
			delete(w.tableState.rows, row.Name)
			continue
		}
		w.tableState.rows[row.Name] = row
	}
	w.tableState.version = max(w.tableState.version, changes.Version)
	w.hearsay.know(changes.Rows)
	w.sink.Change(changes.Rows)
}

// confirm records that the store has just confirmed the rows.
func (w *Watcher) confirm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tableState.confirmedAt = time.Now()
}

func byName(rows []rowstore.Row) map[string]rowstore.Row {
	indexed := make(map[string]rowstore.Row, len(rows))
	for _, row := range rows {
		indexed[row.Name] = row
	}
	return indexed
}
