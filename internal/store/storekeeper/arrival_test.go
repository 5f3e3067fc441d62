package storekeeper_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/internal/store/storekeeper"
)

// slowObjects is a store whose objects arrive in pieces, over a slow link.
type slowObjects struct {
	storekeeper.Store
	takes time.Duration // of an object
}

// GetObject implements storekeeper.Store.
func (s slowObjects) GetObject(ctx context.Context, name string) ([]byte, error) {
	for until := time.Now().Add(s.takes); time.Now().Before(until); rowstore.NotifyProgress(ctx) {
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return nil, rowstore.NewIncomplete(1, ctx.Err())
		}
	}
	return []byte(name), nil
}

// Guards against: a large object of results that arrives slowly is aborted and read again without end, so
// that an accepted job can't be read.
func TestObjectThatKeepsArrivingIsNotAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		k := newKeeper(slowObjects{takes: 8 * time.Second}, "a")
		got, err := k.GetObject(ctx, storekeeper.PurposeJob, "results")
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, string(got), qt.Equals, "results")
	})
}
