package batchkeeper

import (
	"context"
	"fmt"
	"slices"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

const (
	// MaxOutput bounds the output of an item, in bytes. One result must fit into one
	// transaction and into one page of results.
	MaxOutput = 512 << 10
	// rowOverhead is the space in a row for the other fields of a result, in bytes.
	rowOverhead = 1 << 10
)

// continuationKey returns the key of the n-th continuation row of a result; n starts at 1.
func continuationKey(id string, position, n int) rowstore.Key {
	return rowstore.Key{
		Table: tableContinuation, Part: partNameOf(id), Name: fmt.Sprintf("%s/%06d/%03d", id, position, n),
	}
}

// encodeResult returns the rows of one result. An output that is longer than a row is
// split, and continues in further rows.
func (k *Keeper) encodeResult(id string, position int, result Result) ([]rowstore.Put, error) {
	size := k.rowSize - rowOverhead
	chunks := slices.Collect(slices.Chunk(result.Output, size))
	if len(chunks) > 1 {
		result.Output, result.ContinuationRows = chunks[0], len(chunks)-1
	}
	first, err := encodeRow(numberedKey(tableResults, id, position), result)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
	puts := []rowstore.Put{first}
	for n := 1; n < len(chunks); n++ {
		puts = append(puts, rowstore.Put{Key: continuationKey(id, position, n), Value: chunks[n]})
	}
	return puts, nil
}

// encodeResults returns the rows of as many results as fit into one transaction, and the
// number of these results.
func (k *Keeper) encodeResults(id string, position int, results []Result) (puts []rowstore.Put, n int, err error) {
	size := 0
	for ; n < len(results); n++ {
		rows, err := k.encodeResult(id, position+n, results[n])
		if err != nil {
			return nil, 0, err
		}
		for _, row := range rows {
			size += len(row.Value)
		}
		if n > 0 && (len(puts)+len(rows) > maxTxRows || size > maxTxBytes) {
			return puts, n, nil
		}
		puts = append(puts, rows...)
	}
	return puts, n, nil
}

// maxPageBytes bounds the size of one page of results. A page has at least one result.
const maxPageBytes = 900 << 10

// readResults reads a page of results, starting at position after. It doesn't read on once the page is
// full.
func (k *Keeper) readResults(ctx context.Context, id string, after int) ([]Result, error) {
	from, to := numberedRange(id, after)
	reader := k.newRangeReader(tableResults, partNameOf(id), from, to, noRetryLimit)
	var results []Result
	size := 0
	for !reader.ended {
		page, _, err := reader.read(ctx)
		if err != nil {
			return nil, err
		}
		for _, row := range page.Rows {
			position, found := numberOf(id, row.Name)
			if !found {
				continue
			}
			var result Result
			if err := decodeRow(row, &result); err != nil {
				return nil, err
			}
			size += len(result.Output) + result.ContinuationRows*k.rowSize
			if size > maxPageBytes && len(results) > 0 {
				return results, nil
			}
			if err := k.readContinuation(ctx, id, position, &result); err != nil {
				return nil, err
			}
			results = append(results, result)
		}
	}
	return results, nil
}

// readContinuation appends the continuation rows of a result to its output.
func (k *Keeper) readContinuation(ctx context.Context, id string, position int, result *Result) error {
	if result.ContinuationRows == 0 {
		return nil
	}
	from := continuationKey(id, position, 0).Name
	rows, err := k.readRange(ctx, tableContinuation, partNameOf(id), from, continuationKey(id, position+1, 0).Name)
	if err != nil {
		return err
	}
	found := 0
	for _, row := range rows.Rows {
		if row.Key == continuationKey(id, position, found+1) { // not of a job with a longer ID
			result.Output = append(result.Output, row.Value...)
			found++
		}
	}
	if found != result.ContinuationRows {
		return fmt.Errorf("%w: result %d of %s has %d continuation rows instead of %d",
			ErrCorrupt, position, id, found, result.ContinuationRows)
	}
	result.ContinuationRows = 0
	return nil
}
