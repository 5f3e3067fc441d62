package batchkeeper

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Page is a page of a job's results.
type Page struct {
	Total   int
	Results []Result
	// Complete is true if there are no results after this page and there will be none.
	Complete bool
}

// Results reads one page of a job's results, starting at position after. It returns
// ErrNotFound, ErrNotRead or ErrCorrupt.
func (k *Keeper) Results(ctx context.Context, id string, after int) (Page, error) {
	stored, err := k.readRecord(ctx, id)
	if err != nil {
		return Page{}, err
	}
	page := Page{Total: stored.Items}
	if after < stored.Results {
		if page.Results, err = k.readResults(ctx, id, after); err != nil {
			return Page{}, err
		}
	}
	page.Complete = !stored.Open() && after+len(page.Results) >= stored.Results
	return page, nil
}

// Items reads the items of a job. It returns ErrNotFound, ErrNotRead or ErrCorrupt.
func (k *Keeper) Items(ctx context.Context, id string) ([]Item, error) {
	from, to := numberedRange(id, 0)
	all, err := k.readRange(ctx, tableContent, partNameOf(id), from, to)
	if err != nil {
		return nil, err
	}
	if len(all.Rows) == 0 {
		return nil, fmt.Errorf("%w: %s has no content", ErrNotFound, id)
	}
	var encoded []byte
	for _, row := range all.Rows {
		encoded = append(encoded, row.Value...)
	}
	var items []Item
	if err := cbor.Unmarshal(encoded, &items); err != nil {
		return nil, fmt.Errorf("%w: content of %s: %w", ErrCorrupt, id, err)
	}
	return items, nil
}

// Body reads the request body of one item of an accepted job. It returns ErrNotFound,
// ErrNotRead or ErrCorrupt.
func (k *Keeper) Body(ctx context.Context, id, item string) ([]byte, error) {
	if _, err := k.readRecord(ctx, id); err != nil {
		return nil, err
	}
	items, err := k.Items(ctx, id)
	if err != nil {
		return nil, err
	}
	for i := range items {
		if items[i].ID == item {
			return items[i].Body, nil
		}
	}
	return nil, fmt.Errorf("%w: item %s of %s", ErrNotFound, item, id)
}
