package tablesharer

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// content is the content of a table. It is never modified.
type content struct {
	rows map[string]rowstore.Row
	// version is a store version that the rows are at least as new as.
	version uint64
	// digest identifies the rows by their names and versions. The same rows may be known as of
	// different versions, as a version counts the changes of all tables.
	digest uint64
	// bytes is the size of the values.
	bytes int
}

// newContent returns the content that consists of some rows.
func newContent(rows map[string]rowstore.Row, version uint64) *content {
	c := &content{rows: rows, version: version}
	digest := xxhash.New()
	for _, row := range c.sorted() {
		c.bytes += len(row.Value)
		text := binary.BigEndian.AppendUint64([]byte(row.Name+"\x00"), row.Version)
		_, _ = digest.Write(text) // never fails
	}
	c.digest = digest.Sum64()
	return c
}

// contentOf returns the content that the store has answered.
func contentOf(all rowstore.Snapshot) *content {
	rows := make(map[string]rowstore.Row, len(all.Rows))
	for _, row := range all.Rows {
		rows[row.Name] = row
	}
	return newContent(rows, all.Version)
}

// sorted returns the rows in the order of their names.
func (c *content) sorted() []rowstore.Row {
	rows := make([]rowstore.Row, 0, len(c.rows))
	for _, row := range c.rows {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b rowstore.Row) int { return strings.Compare(a.Name, b.Name) })
	return rows
}

// isLong returns whether the content is long enough to be shared.
func (c *content) isLong() bool { return c.bytes >= longBytes }

// withChanges returns the content after some changes. Without any it keeps its version, as a store may
// withhold changes for a while.
func (c *content) withChanges(changes rowstore.Snapshot) *content {
	if len(changes.Rows) == 0 {
		return c
	}
	rows := make(map[string]rowstore.Row, len(c.rows)+len(changes.Rows))
	for name, row := range c.rows {
		rows[name] = row
	}
	for _, row := range changes.Rows {
		if row.Deleted {
			delete(rows, row.Name)
			continue
		}
		rows[row.Name] = row
	}
	return newContent(rows, max(c.version, changes.Version))
}

// changesSince returns the rows that differ from an earlier content; those that the earlier
// content alone has are returned as deleted.
func (c *content) changesSince(earlier *content) []rowstore.Row {
	var changed []rowstore.Row
	for _, row := range c.sorted() {
		if earlier.rows[row.Name].Version != row.Version {
			changed = append(changed, row)
		}
	}
	for _, row := range earlier.sorted() {
		if _, found := c.rows[row.Name]; !found {
			changed = append(changed, rowstore.Row{Key: row.Key, Version: c.version, Deleted: true})
		}
	}
	return changed
}

// isOlderThan returns whether the content, or any of its rows, is older than another content.
func (c *content) isOlderThan(other *content) bool {
	if c.version < other.version {
		return true
	}
	for name, row := range other.rows {
		if own, found := c.rows[name]; found && own.Version < row.Version || !found && c.version < row.Version {
			return true
		}
	}
	return false
}
