package storekeeper_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/internal/store/storekeeper"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newKeeper(store storekeeper.Store, name string) *storekeeper.Keeper {
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	return storekeeper.New(store, name, logger, counter.New(metrics.NewSet()), storekeeper.WithBudget(1e6, 1e6))
}

const table = "numbers"

func rowKey(name string) rowstore.Key { return rowstore.Key{Table: table, Part: table, Name: name} }

func putRow(name string) storekeeper.Write {
	return storekeeper.Write{Tx: rowstore.Tx{Puts: []rowstore.Put{{Key: rowKey(name), Value: []byte("1")}}}}
}

// increment adds one to the number in a row and retries after conflicts.
func increment(ctx context.Context, k *storekeeper.Keeper, key rowstore.Key) error {
	for {
		rows, err := k.Read(ctx, storekeeper.PurposeJob, key)
		if err != nil {
			return err
		}
		value := 0
		if rows[0].Version != 0 {
			if err := json.Unmarshal(rows[0].Value, &value); err != nil {
				return err
			}
		}
		_, err = k.Transact(ctx, storekeeper.Write{
			Purpose: storekeeper.PurposeJob,
			Tx: rowstore.Tx{
				Conditions: []rowstore.Condition{{Key: key, Version: rows[0].Version}},
				Puts:       []rowstore.Put{{Key: key, Value: []byte(fmt.Sprint(value + 1))}},
			},
		})
		if !errors.Is(err, storekeeper.ErrConflict) {
			return err
		}
	}
}

// expectExactCount increments shared rows through several keepers and compares the sum
// with the number of increments reported as successful.
func expectExactCount(t *testing.T, seed uint64, faults rowemulator.Faults) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		const keepers, increments, keys = 3, 25, 2
		store := rowemulator.New()
		store.SetRandomFaults(seed, faults)
		ctx, cancel := context.WithCancel(t.Context())
		var running, work sync.WaitGroup
		var mu sync.Mutex
		succeeded := 0
		for n := range keepers {
			k := newKeeper(store, fmt.Sprintf("vm-%d", n))
			running.Go(func() { _ = k.Run(ctx) })
			for i := range increments {
				work.Go(func() {
					err := increment(ctx, k, rowKey(fmt.Sprintf("key-%d", i%keys)))
					mu.Lock()
					defer mu.Unlock()
					qt.Check(t, err, qt.IsNil)
					succeeded++
				})
			}
		}
		work.Wait()
		time.Sleep(10 * time.Second) // wait for late copies of transactions
		sum := 0
		for _, row := range store.Rows(table) {
			value := 0
			qt.Assert(t, json.Unmarshal(row.Value, &value), qt.IsNil)
			sum += value
		}
		qt.Assert(t, sum, qt.Equals, succeeded)
		qt.Assert(t, succeeded, qt.Equals, keepers*increments)
		cancel()
		running.Wait()
	})
}

func TestWritesWithLostResponsesTakeEffectOnce(t *testing.T) {
	for seed := range uint64(4) {
		expectExactCount(t, seed, rowemulator.Faults{LostResponseShare: 0.3})
	}
}

func TestLateCopiesOfWritesTakeEffectOnce(t *testing.T) {
	for seed := range uint64(4) {
		expectExactCount(t, seed, rowemulator.Faults{LostResponseShare: 0.1, LateShare: 0.2, RejectedShare: 0.2})
	}
}

func TestUnsentWriteReturnsErrNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowemulator.New()
		store.SetDown(true)
		k := newKeeper(store, "vm")
		running, stop := context.WithCancel(t.Context())
		var group sync.WaitGroup
		// Both lanes are blocked by writes that the outage delays.
		group.Go(func() { _ = k.Run(running) })
		for n := range 2 {
			group.Go(func() {
				_, _ = k.Transact(running, putRow(fmt.Sprint(n)))
			})
			synctest.Wait()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := k.Transact(ctx, putRow("third"))
		qt.Check(t, err, qt.ErrorIs, storekeeper.ErrNotWritten)
		qt.Check(t, k.Available(), qt.IsFalse)
		store.SetDown(false)
		time.Sleep(5 * time.Second)
		for _, row := range store.Rows(table) {
			qt.Check(t, row.Name, qt.Not(qt.Equals), "third")
		}
		qt.Check(t, k.Available(), qt.IsTrue)
		stop()
		group.Wait()
	})
}

func TestWritesAreCommittedInGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowemulator.New()
		k := newKeeper(store, "vm")
		running, stop := context.WithCancel(t.Context())
		var group, work sync.WaitGroup
		for n := range 100 {
			work.Go(func() {
				_, err := k.Transact(t.Context(), putRow(fmt.Sprint(n)))
				qt.Check(t, err, qt.IsNil)
			})
		}
		synctest.Wait()
		group.Go(func() { _ = k.Run(running) })
		work.Wait()
		qt.Check(t, store.Counts().Transactions <= 4, qt.IsTrue,
			qt.Commentf("%d transactions for 100 writes", store.Counts().Transactions))
		stop()
		group.Wait()
	})
}

func TestConflictFailsOnlyItsOwnWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowemulator.New()
		k := newKeeper(store, "vm")
		running, stop := context.WithCancel(t.Context())
		var group, work sync.WaitGroup
		outcomes := make([]error, 10)
		for n := range outcomes {
			work.Go(func() {
				write := putRow(fmt.Sprint(n))
				if n == 3 {
					write.Conditions = []rowstore.Condition{{Key: rowKey("other"), Version: 9}}
				}
				_, outcomes[n] = k.Transact(t.Context(), write)
			})
		}
		synctest.Wait()
		group.Go(func() { _ = k.Run(running) })
		work.Wait()
		for n, err := range outcomes {
			if n == 3 {
				qt.Check(t, err, qt.ErrorIs, storekeeper.ErrConflict)
				continue
			}
			qt.Check(t, err, qt.IsNil)
		}
		stop()
		group.Wait()
	})
}

// expectRejected passes a write to a keeper whose Run isn't called, so that Transact
// returns only if it rejects the write without a store call.
func expectRejected(t *testing.T, write storekeeper.Write) {
	t.Helper()
	store := rowemulator.New()
	_, err := newKeeper(store, "vm").Transact(t.Context(), write)
	qt.Check(t, err, qt.ErrorIs, storekeeper.ErrNotWritten)
	qt.Check(t, store.Counts().Transactions, qt.Equals, 0)
}

func TestInvalidWritesAreRejectedWithoutACall(t *testing.T) {
	t.Run("nothing", func(t *testing.T) { expectRejected(t, storekeeper.Write{}) })
	t.Run("rows of two parts", func(t *testing.T) {
		write := putRow("a")
		write.Puts = append(write.Puts, rowstore.Put{Key: rowstore.Key{Table: table, Part: "other", Name: "b"}})
		expectRejected(t, write)
	})
	t.Run("a row that is too large", func(t *testing.T) {
		write := putRow("a")
		write.Puts[0].Value = make([]byte, rowstore.MaxRowBytes+1)
		expectRejected(t, write)
	})
	t.Run("too many rows", func(t *testing.T) {
		var write storekeeper.Write
		for n := range storekeeper.MaxWriteEntries + 1 {
			write.Puts = append(write.Puts, putRow(fmt.Sprint(n)).Puts...)
		}
		expectRejected(t, write)
	})
}

func TestWritesOfManyPartsAndSizesAllTakeEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowemulator.New() // rejects what the platform's store would reject
		k := newKeeper(store, "vm")
		running, stop := context.WithCancel(t.Context())
		var group, work sync.WaitGroup
		group.Go(func() { _ = k.Run(running) })
		const writes, parts = 120, 3
		for n := range writes {
			work.Go(func() {
				write := putRow(fmt.Sprint(n))
				write.Puts[0].Part = fmt.Sprint(n % parts)
				write.Puts[0].Value = make([]byte, n%5*(rowstore.MaxRowBytes/5))
				_, err := k.Transact(t.Context(), write)
				qt.Check(t, err, qt.IsNil)
			})
		}
		work.Wait()
		qt.Check(t, store.Rows(table), qt.HasLen, writes)
		stop()
		group.Wait()
	})
}

func TestRowsAreReadByKeyAcrossParts(t *testing.T) {
	store := rowemulator.New()
	existing := rowstore.Key{Table: table, Part: "b", Name: "there"}
	_, err := store.Apply(rowstore.Tx{Puts: []rowstore.Put{{Key: existing, Value: []byte("1")}}})
	qt.Assert(t, err, qt.IsNil)
	rows, err := newKeeper(store, "vm").Read(t.Context(), storekeeper.PurposeJob, rowKey("missing"), existing)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, rows[0], qt.DeepEquals, rowstore.Row{Key: rowKey("missing")})
	qt.Check(t, rows[1].Key, qt.Equals, existing)
	qt.Check(t, rows[1].Version, qt.Equals, uint64(1))
}
