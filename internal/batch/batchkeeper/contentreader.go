package batchkeeper

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/lenientdecoder"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// errIncomplete reports that a copy of a job's content isn't the accepted one.
var errIncomplete = errors.New("incomplete copy")

// Items reads the items of a job. It returns ErrNotRead or ErrCorrupt.
func (k *Keeper) Items(ctx context.Context, record Record) ([]Item, error) {
	from, to := numberedRange(record.ID, 0)
	all, err := k.readRange(ctx, tableContent, partNameOf(record.ID), from, to)
	if err != nil {
		return nil, err
	}
	return itemsIn(all.Rows, record)
}

// itemsIn returns the items of the accepted copy of a job's content, which is in rows. It returns
// ErrCorrupt.
func itemsIn(rows []rowstore.Row, record Record) ([]Item, error) {
	copies := copiesOf(record.ID, rows)
	if len(copies) == 0 {
		return nil, fmt.Errorf("%w: %s has no content", ErrCorrupt, record.ID) // it comes with the record, so the job exists
	}
	var failures []error
	for _, encoded := range copies {
		items, err := decodeContent(encoded, record.Items)
		if err == nil {
			return items, nil
		}
		failures = append(failures, err)
	}
	return nil, fmt.Errorf("%w: content of %s: %w", ErrCorrupt, record.ID, errors.Join(failures...))
}

// copiesOf returns the copies of a job's content that are in rows, which are sorted by name.
func copiesOf(id string, rows []rowstore.Row) [][]byte {
	var copies [][]byte
	last := ""
	for _, row := range rows {
		name, _, found := parseContentRow(id, row.Name)
		if !found {
			continue
		}
		if len(copies) == 0 || name != last {
			copies = append(copies, nil)
			last = name
		}
		n := len(copies) - 1
		copies[n] = append(copies[n], row.Value...)
	}
	return copies
}

// decodeContent decodes a copy of a job's content. It returns errIncomplete for a copy that
// isn't the accepted one.
func decodeContent(encoded []byte, count int) ([]Item, error) {
	var items []Item
	if err := lenientdecoder.Decode(encoded, &items); err != nil {
		return nil, fmt.Errorf("%w: %w", errIncomplete, err)
	}
	if len(items) != count {
		return nil, fmt.Errorf("%w: %d items instead of %d", errIncomplete, len(items), count)
	}
	return items, nil
}

// findItem reads a job's content until it has found an item. It returns ErrNotFound, ErrNotRead or
// ErrCorrupt.
func (k *Keeper) findItem(ctx context.Context, record Record, id string) (Item, error) {
	from, to := numberedRange(record.ID, 0)
	reader := k.newRangeReader(tableContent, partNameOf(record.ID), from, to, noRetryLimit)
	decoder := prefixDecoder{job: record.ID, items: record.Items}
	var rows []rowstore.Row
	for {
		page, _, err := reader.read(ctx)
		if err != nil {
			return Item{}, err
		}
		rows = append(rows, page.Rows...)
		if reader.ended {
			break
		}
		if item, found := itemWithID(decoder.decode(page.Rows), id); found {
			isOnly, err := k.isOnlyCopy(ctx, record.ID, decoder.copyName)
			if err != nil || isOnly {
				return item, err
			}
		}
	}
	items, err := itemsIn(rows, record)
	if err != nil {
		return Item{}, err
	}
	item, found := itemWithID(items, id)
	if !found {
		return Item{}, fmt.Errorf("%w: item %s of %s", ErrNotFound, id, record.ID)
	}
	return item, nil
}

func itemWithID(items []Item, id string) (Item, bool) {
	i := slices.IndexFunc(items, func(item Item) bool { return item.ID == id })
	if i < 0 {
		return Item{}, false
	}
	return items[i], true
}

// isOnlyCopy returns whether the first copy of an accepted job's content, which has the given name, is surely
// the only one. It is the accepted one then, although its last row hasn't been read.
func (k *Keeper) isOnlyCopy(ctx context.Context, id, name string) (bool, error) {
	_, to := numberedRange(id, 0)
	reader := k.newRangeReader(tableContent, partNameOf(id), endOfCopy(id, name), to, noRetryLimit)
	page, _, err := reader.read(ctx)
	return err == nil && reader.ended && len(copiesOf(id, page.Rows)) == 0, err
}

// cborArray is the type of an array in the first byte of its encoding.
const cborArray = 4 << 5

// prefixDecoder decodes the items at the beginning of a named copy of a job's content, as far as its rows
// have been read.
type prefixDecoder struct {
	job      string
	items    int // of the job
	copyName string
	rows     int    // of the copy that have been read
	rest     []byte // of these rows, not decoded yet
	failed   bool   // whether rows were read that aren't the beginning of one named copy
}

// decode returns the items that end in the next rows, which are sorted by name. It returns nothing once it
// has got other rows than those at the beginning of one named copy.
func (d *prefixDecoder) decode(rows []rowstore.Row) []Item {
	for _, row := range rows {
		name, n, found := parseContentRow(d.job, row.Name)
		if !found {
			continue
		}
		if d.rows == 0 {
			d.copyName = name
		}
		d.failed = d.failed || name == "" || name != d.copyName || n != d.rows
		d.rows++
		d.rest = append(d.rest, row.Value...)
		if d.rows == 1 {
			d.decodeHead()
		}
	}
	return d.decodeItems()
}

// decodeHead decodes the number of the items, which is that of the job in an accepted copy.
func (d *prefixDecoder) decodeHead() {
	head, err := cbor.Marshal(uint(d.items)) // only the type differs from the head of an array
	if err != nil {
		d.failed = true
		return
	}
	head[0] |= cborArray
	rest, found := bytes.CutPrefix(d.rest, head)
	d.rest, d.failed = rest, d.failed || !found
}

// decodeItems decodes the items that are complete.
func (d *prefixDecoder) decodeItems() []Item {
	var items []Item
	for !d.failed {
		var item Item
		rest, err := lenientdecoder.DecodeFirst(d.rest, &item)
		if err != nil { // the rest of the item is in a later row
			break
		}
		items = append(items, item)
		d.rest = rest
	}
	return items
}

// parseContentRow returns the name of the copy that a content row of a job belongs to, and its number in the
// copy. It returns false for a row of a job whose ID begins with that of this one and a slash.
func parseContentRow(id, row string) (name string, n int, found bool) {
	match := contentRow.FindStringSubmatch(strings.TrimPrefix(row, id+"/"))
	if match == nil {
		return "", 0, false
	}
	n, err := strconv.Atoi(match[2])
	return match[1], n, err == nil
}
