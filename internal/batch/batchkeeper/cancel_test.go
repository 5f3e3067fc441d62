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

// Guards against: a cancellation reads the record again after each conflict, and the owner's next write is
// there before its own.
func TestOwnerThatWritesOftenDoesNotHoldACancellation(t *testing.T) {
	runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
		const writes = 8
		a, b := newKeeper(store, ownerA), newKeeper(store, ownerB)
		owned := submit(ctx, t, a, 2)
		written, isOwner := 0, false
		store.SetFaultFunc(func(c rowemulator.Call) (bool, error) {
			if !isOwner && c.Write && written < writes {
				isOwner = true
				var err error
				owned, err = a.Renew(ctx, owned, 1, nil, nil)
				isOwner = false
				qt.Check(t, err, qt.IsNil)
				written++
			}
			return true, nil
		})
		began, reads := time.Now(), store.Counts().Reads
		qt.Assert(t, b.Cancel(ctx, batchkeeper.Caller{}, "j"), qt.IsNil)
		qt.Check(t, written, qt.Equals, writes)
		qt.Check(t, store.Counts().Reads-reads, qt.Equals, 1)
		qt.Check(t, time.Since(began), qt.Equals, time.Duration(0), qt.Commentf("it waits for nothing"))
		_, err := a.Renew(ctx, owned, 1, nil, nil)
		qt.Check(t, err, qt.ErrorIs, batchkeeper.ErrOwnershipLost)
	})
}

// Guards against: an attempt to cancel that has failed seems confirmed, or as if the job didn't exist.
func TestFailedCancellations(t *testing.T) {
	expect := func(t *testing.T, fault rowemulator.FaultFunc, wantErr error, wantCancelled bool) {
		t.Helper()
		runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
			k := newKeeper(store, ownerA)
			stored := submit(ctx, t, k, 2)
			store.SetFaultFunc(fault)
			qt.Check(t, k.Cancel(ctx, batchkeeper.Caller{}, "j"), qt.ErrorIs, wantErr)
			store.SetFaultFunc(nil)
			_, err := k.Renew(ctx, stored, 1, nil, nil)
			qt.Check(t, err != nil, qt.Equals, wantCancelled)
		})
	}
	onWrite := func(done bool, err error) rowemulator.FaultFunc {
		return func(c rowemulator.Call) (bool, error) {
			if c.Write {
				return done, err
			}
			return true, nil
		}
	}
	t.Run("not read", func(t *testing.T) {
		expect(t, func(rowemulator.Call) (bool, error) { return false, rowstore.ErrNotDone }, batchkeeper.ErrNotRead, false)
	})
	t.Run("not written", func(t *testing.T) {
		expect(t, onWrite(false, rowstore.ErrNotDone), batchkeeper.ErrNotWritten, false)
	})
	t.Run("in doubt", func(t *testing.T) { expect(t, onWrite(true, rowstore.ErrInDoubt), batchkeeper.ErrInDoubt, true) })
}
