package jobkeeper_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/internal/store/storekeeper"
)

// storeWithoutObjects has a chunk whose results are in an object that is missing.
type storeWithoutObjects struct {
	jobkeeper.Store
}

// Scan implements jobkeeper.Store.
func (storeWithoutObjects) Scan(
	context.Context, storekeeper.Purpose, storekeeper.Span,
) ([]rowstore.Row, string, error) {
	put := rowstore.PutJSON(rowstore.Key{Name: "chunk"}, jobkeeper.ChunkRow{ResultObjects: []string{"results"}})
	return []rowstore.Row{{Key: put.Key, Value: put.Value, Version: 1}}, "", nil
}

// GetObject implements jobkeeper.Store.
func (storeWithoutObjects) GetObject(context.Context, storekeeper.Purpose, string) ([]byte, error) {
	return nil, storekeeper.ErrNotFound
}

// Guards against: 404 for an accepted job whose results are damaged: the job exists.
func TestMissingObjectOfAJobIsNotAMissingJob(t *testing.T) {
	err := jobkeeper.New(storeWithoutObjects{}).Results(t.Context(), jobkeeper.JobRow{ID: "j"}, func([]byte) error { return nil })
	qt.Check(t, err, qt.ErrorIs, jobkeeper.ErrStore)
	qt.Check(t, err, qt.Not(qt.ErrorIs), jobkeeper.ErrNotFound)
}
