package batchkeeper

import "context"

// Page is a page of a job's results.
type Page struct {
	Total   int
	Results []Result
	// Complete is true if there are no results after this page and there will be none.
	Complete bool
}

// Results reads one page of a job's results, starting at position after. It returns
// ErrNotFound, ErrNotRead or ErrCorrupt.
func (k *Keeper) Results(ctx context.Context, caller Caller, id string, after int) (Page, error) {
	stored, err := k.recordFor(ctx, caller, id)
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

// Body reads the request body of one item of an accepted job. It returns ErrNotFound,
// ErrNotRead or ErrCorrupt.
func (k *Keeper) Body(ctx context.Context, caller Caller, id, item string) ([]byte, error) {
	stored, err := k.recordFor(ctx, caller, id)
	if err != nil {
		return nil, err
	}
	found, err := k.findItem(ctx, stored.Record, item)
	return found.Body, err
}

// recordFor reads the record of a job that a caller may use. It returns ErrNotFound, ErrNotRead or
// ErrCorrupt.
func (k *Keeper) recordFor(ctx context.Context, caller Caller, id string) (VersionedRecord, error) {
	stored, err := k.readRecord(ctx, id, noRetryLimit)
	if err == nil {
		err = caller.authorize(&stored.Record)
	}
	return stored, err
}
