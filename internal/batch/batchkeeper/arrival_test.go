package batchkeeper_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// slowLink is a store whose pages of one table arrive in pieces, over a slow link.
type slowLink struct {
	rowstore.Store
	table   string
	takes   time.Duration // of a page
	aborted atomic.Int32
}

// Range implements rowstore.Store.
func (s *slowLink) Range(
	ctx context.Context, table, part, from, to string,
) (rowstore.Snapshot, string, error) {
	if table == s.table {
		for until := time.Now().Add(s.takes); time.Now().Before(until); rowstore.NotifyProgress(ctx) {
			select {
			case <-time.After(s.takes / 10):
			case <-ctx.Done():
				s.aborted.Add(1)
				return rowstore.Snapshot{}, "", rowstore.NewIncomplete(1, ctx.Err())
			}
		}
	}
	return s.Store.Range(ctx, table, part, from, to)
}

// Guards against: a page that arrives slowly over a full link is aborted and read again, so that the link
// stays full and an accepted job can't be loaded.
func TestPageThatKeepsArrivingIsNotAborted(t *testing.T) {
	expectReads := func(t *testing.T, table string, read func(ctx context.Context, k *batchkeeper.Keeper) error) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			store := &slowLink{Store: rowemulator.New(), table: table, takes: 2500 * time.Millisecond}
			accept(t.Context(), t, store.Store, submission("j", 2))
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			qt.Check(t, read(ctx, newKeeper(store, ownerA)), qt.IsNil)
			qt.Check(t, store.aborted.Load(), qt.Equals, int32(0))
		})
	}
	t.Run("content", func(t *testing.T) {
		expectReads(t, "jobContent", func(ctx context.Context, k *batchkeeper.Keeper) error {
			_, err := k.Body(ctx, batchkeeper.Caller{}, "j", "item0")
			return err
		})
	})
	t.Run("records", func(t *testing.T) {
		expectReads(t, "jobs", func(ctx context.Context, k *batchkeeper.Keeper) error {
			_, err := k.ScanPart(ctx, batchkeeper.PartOf("j"))
			return err
		})
	})
}
