package watcher

import (
	"time"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// known is what a VM knows of a table.
type known struct {
	rows map[string]rowstore.Row
	// version is the store's version that the rows are of, at least. It is 0 as long
	// as nothing is known.
	version uint64
	// confirmed is when the store last said that the rows are so, to this VM or to
	// the one from which they are.
	confirmed time.Time
	// answered tells whether the store has answered this process itself.
	answered bool
}

// Copy is what one VM tells another of a table.
type Copy struct {
	Rows    []CopiedRow `cbor:"rows"`
	Version uint64      `cbor:"version"`
	// Age is how long ago the store last said that the rows are so.
	Age time.Duration `cbor:"age"`
}

// CopiedRow is one row of a Copy, in the copy's table.
type CopiedRow struct {
	Name    string `cbor:"name"`
	Value   []byte `cbor:"value"`
	Version uint64 `cbor:"version"`
}

// Copy returns what the watcher knows of its table, if it knows anything.
func (w *Watcher) Copy(now time.Time) (Copy, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.known.version == 0 {
		return Copy{}, false
	}
	c := Copy{Version: w.known.version, Age: now.Sub(w.known.confirmed)}
	for _, row := range w.known.rows {
		c.Rows = append(c.Rows, CopiedRow{Name: row.Name, Value: row.Value, Version: row.Version})
	}
	return c, true
}

// HasData tells whether anything is known of the table, which then needs no copy.
func (w *Watcher) HasData() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.known.version > 0
}

// Offer takes in what another VM knows of the table, until the store has answered.
// A copy replaces an older one as a whole: a row that was removed must not come back
// from a VM that lies behind. Offer returns whether the copy was taken.
func (w *Watcher) Offer(c Copy, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.known.answered || c.Version <= w.known.version {
		return false
	}
	rows := make([]rowstore.Row, 0, len(c.Rows))
	for _, row := range c.Rows {
		key := rowstore.Key{Table: w.table, Part: w.part, Name: row.Name}
		rows = append(rows, rowstore.Row{Key: key, Value: row.Value, Version: row.Version})
	}
	w.known = known{rows: byName(rows), version: c.Version, confirmed: now.Add(-c.Age)}
	w.sink.Replace(rows)
	return true
}

// replace takes in the whole table as the store has it.
func (w *Watcher) replace(all rowstore.Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.known = known{rows: byName(all.Rows), version: all.Version, confirmed: time.Now(), answered: true}
	w.sink.Replace(all.Rows)
}

// change takes in changes of the table.
func (w *Watcher) change(changes rowstore.Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, row := range changes.Rows {
		if row.Deleted {
			delete(w.known.rows, row.Name)
			continue
		}
		w.known.rows[row.Name] = row
	}
	w.known.version = max(w.known.version, changes.Version)
	w.sink.Change(changes.Rows)
}

// confirm notes that the store has just answered.
func (w *Watcher) confirm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.known.confirmed = time.Now()
}

func byName(rows []rowstore.Row) map[string]rowstore.Row {
	named := make(map[string]rowstore.Row, len(rows))
	for _, row := range rows {
		named[row.Name] = row
	}
	return named
}
