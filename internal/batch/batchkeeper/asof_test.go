package batchkeeper_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// Guards against: a record that a slow call has read counts as what the store has now, although an
// end may have been confirmed since the call reached the store.
func TestRecordIsAsOfTheStartOfTheAttempt(t *testing.T) {
	const delay = time.Second
	expect := func(
		t *testing.T, lost int,
		call func(ctx context.Context, k *batchkeeper.Keeper, seen batchkeeper.VersionedRecord) (batchkeeper.VersionedRecord, error),
	) {
		t.Helper()
		runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
			k := newKeeper(store, ownerA)
			seen := submit(ctx, t, k, 2)
			answered := loseResponses(lost)
			store.SetFaultFunc(func(c rowemulator.Call) (bool, error) {
				time.Sleep(delay)
				return answered(c)
			})
			stored, err := call(ctx, k, seen)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, time.Since(stored.AsOf), qt.Equals, delay, qt.Commentf("the last attempt"))
		})
	}
	renew := func(ctx context.Context, k *batchkeeper.Keeper, seen batchkeeper.VersionedRecord) (batchkeeper.VersionedRecord, error) {
		return k.Renew(ctx, seen, 0, nil, nil)
	}
	t.Run("a read", func(t *testing.T) {
		expect(t, 0, func(ctx context.Context, k *batchkeeper.Keeper, _ batchkeeper.VersionedRecord) (batchkeeper.VersionedRecord, error) {
			return k.Record(ctx, "j")
		})
	})
	t.Run("a scan", func(t *testing.T) {
		expect(t, 0, func(ctx context.Context, k *batchkeeper.Keeper, _ batchkeeper.VersionedRecord) (batchkeeper.VersionedRecord, error) {
			records, err := k.ScanPart(ctx, batchkeeper.PartOf("j"))
			if err != nil {
				return batchkeeper.VersionedRecord{}, err
			}
			return records[0], nil
		})
	})
	t.Run("a write", func(t *testing.T) { expect(t, 0, renew) })
	t.Run("a write that is found by the next attempt", func(t *testing.T) { expect(t, 1, renew) })
	t.Run("a submission", func(t *testing.T) {
		expect(t, 0, func(ctx context.Context, k *batchkeeper.Keeper, _ batchkeeper.VersionedRecord) (batchkeeper.VersionedRecord, error) {
			stored, _, err := k.Submit(ctx, submission("k", 2))
			return stored, err
		})
	})
}

func TestRecordTellsThatAJobDoesNotExist(t *testing.T) {
	runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
		k := newKeeper(store, ownerA)
		_, err := k.Record(ctx, "j")
		qt.Check(t, err, qt.ErrorIs, batchkeeper.ErrNotFound)
		store.SetFaultFunc(func(rowemulator.Call) (bool, error) { return false, rowstore.ErrNotDone })
		_, err = k.Record(ctx, "j")
		qt.Check(t, err, qt.ErrorIs, batchkeeper.ErrNotRead)
	})
}
