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

	"github.com/fescuespindle/fescuespindle/internal/counter"
	"github.com/fescuespindle/fescuespindle/internal/emulator/storeemulator"
	"github.com/fescuespindle/fescuespindle/internal/platform"
	"github.com/fescuespindle/fescuespindle/internal/storekeeper"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newKeeper(store storekeeper.Store, name string) *storekeeper.Keeper {
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	return storekeeper.New(store, name, logger, counter.New(metrics.NewSet()), storekeeper.WithBudget(1e6, 1e6))
}

// increment adds one to a row, as often as conflicts make it try.
func increment(ctx context.Context, k *storekeeper.Keeper, key string) error {
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
			Purpose:    storekeeper.PurposeJob,
			Conditions: []platform.Condition{{Key: key, Version: rows[0].Version}},
			Puts:       []platform.Put{{Key: key, Value: json.RawMessage(fmt.Sprint(value + 1))}},
		})
		if !errors.Is(err, storekeeper.ErrConflict) {
			return err
		}
	}
}

// expectExactCount lets several keepers increment shared rows and compares the
// sum with what they were told.
func expectExactCount(t *testing.T, seed uint64, faults storeemulator.PlatformFaults) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		const keepers, increments, keys = 3, 25, 2
		store := storeemulator.NewPlatform(seed)
		store.SetFaults(faults)
		ctx, cancel := context.WithCancel(t.Context())
		var running, work sync.WaitGroup
		var mu sync.Mutex
		succeeded := 0
		for n := range keepers {
			k := newKeeper(store, fmt.Sprintf("vm-%d", n))
			running.Go(func() { _ = k.Run(ctx) })
			for i := range increments {
				work.Go(func() {
					err := increment(ctx, k, fmt.Sprintf("key-%d", i%keys))
					mu.Lock()
					defer mu.Unlock()
					qt.Check(t, err, qt.IsNil)
					succeeded++
				})
			}
		}
		work.Wait()
		time.Sleep(10 * time.Second) // late copies arrive
		sum := 0
		for _, row := range store.Table().Read([]string{"key-0", "key-1"}) {
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

func TestLostAnswersTakeEffectOnce(t *testing.T) {
	for seed := range uint64(4) {
		expectExactCount(t, seed, storeemulator.PlatformFaults{Lost: 0.3})
	}
}

func TestLateCopiesTakeEffectOnce(t *testing.T) {
	for seed := range uint64(4) {
		expectExactCount(t, seed, storeemulator.PlatformFaults{Lost: 0.1, Late: 0.2, Refused: 0.2})
	}
}

func TestWriteThatWasNeverSentSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storeemulator.NewPlatform(1)
		store.SetDown(true)
		k := newKeeper(store, "vm")
		running, stop := context.WithCancel(t.Context())
		var group sync.WaitGroup
		// Both lanes are taken by writes that the outage holds up.
		group.Go(func() { _ = k.Run(running) })
		for n := range 2 {
			group.Go(func() {
				_, _ = k.Transact(running, storekeeper.Write{Puts: []platform.Put{{Key: fmt.Sprint(n), Value: json.RawMessage("1")}}})
			})
			synctest.Wait()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := k.Transact(ctx, storekeeper.Write{Puts: []platform.Put{{Key: "third", Value: json.RawMessage("1")}}})
		qt.Check(t, err, qt.ErrorIs, storekeeper.ErrNotWritten)
		qt.Check(t, k.Available(), qt.IsFalse)
		store.SetDown(false)
		time.Sleep(5 * time.Second)
		qt.Check(t, store.Table().Read([]string{"third"})[0].Version, qt.Equals, uint64(0))
		qt.Check(t, k.Available(), qt.IsTrue)
		stop()
		group.Wait()
	})
}

func TestWritesAreCommittedInGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storeemulator.NewPlatform(1)
		k := newKeeper(store, "vm")
		running, stop := context.WithCancel(t.Context())
		var group, work sync.WaitGroup
		for n := range 100 {
			work.Go(func() {
				_, err := k.Transact(t.Context(), storekeeper.Write{
					Puts: []platform.Put{{Key: fmt.Sprint(n), Value: json.RawMessage("1")}},
				})
				qt.Check(t, err, qt.IsNil)
			})
		}
		synctest.Wait()
		group.Go(func() { _ = k.Run(running) })
		work.Wait()
		qt.Check(t, store.Requests() <= 4, qt.IsTrue, qt.Commentf("%d transactions for 100 writes", store.Requests()))
		stop()
		group.Wait()
	})
}

func TestOneConflictFailsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storeemulator.NewPlatform(1)
		k := newKeeper(store, "vm")
		running, stop := context.WithCancel(t.Context())
		var group, work sync.WaitGroup
		outcomes := make([]error, 10)
		for n := range outcomes {
			work.Go(func() {
				write := storekeeper.Write{Puts: []platform.Put{{Key: fmt.Sprint(n), Value: json.RawMessage("1")}}}
				if n == 3 {
					write.Conditions = []platform.Condition{{Key: "other", Version: 9}}
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
