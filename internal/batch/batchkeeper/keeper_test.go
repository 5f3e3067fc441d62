package batchkeeper_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

var (
	ownerA = batchkeeper.Owner{VM: "a", Boot: 1}
	ownerB = batchkeeper.Owner{VM: "b", Boot: 2}
)

func newKeeper(store rowstore.Store, owner batchkeeper.Owner) *batchkeeper.Keeper {
	return batchkeeper.New(store, owner, 64<<10, slog.New(slog.DiscardHandler))
}

func submission(id string, items int) batchkeeper.Submission {
	s := batchkeeper.Submission{ID: id, Route: "r", Host: "h", Retention: time.Minute}
	for n := range items {
		s.Items = append(s.Items, batchkeeper.Item{
			ID: fmt.Sprint("item", n), URI: "/x", Body: []byte("body"), Tokens: 100,
		})
	}
	return s
}

// runWithStore runs a test against an empty store in a synctest bubble, whose fake clock
// makes outages take no real time.
func runWithStore(t *testing.T, test func(t *testing.T, ctx context.Context, store *rowemulator.Store)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		test(t, ctx, rowemulator.New())
	})
}

func submit(ctx context.Context, t *testing.T, k *batchkeeper.Keeper, items int) batchkeeper.VersionedRecord {
	t.Helper()
	stored, _, err := k.Submit(ctx, submission("j", items))
	qt.Assert(t, err, qt.IsNil)
	return stored
}

func expectResults(ctx context.Context, t *testing.T, k *batchkeeper.Keeper, id string, want ...string) {
	t.Helper()
	page, err := k.Results(ctx, batchkeeper.Caller{}, id, 0)
	qt.Assert(t, err, qt.IsNil)
	var got []string
	for _, r := range page.Results {
		got = append(got, r.Item+"="+string(r.Output))
	}
	qt.Check(t, got, qt.DeepEquals, want)
}

func result(item, output string) batchkeeper.Result {
	return batchkeeper.Result{Item: item, Done: true, Output: []byte(output)}
}

// loseResponses returns a fault that executes the first writes, up to the given number,
// and loses their responses.
func loseResponses(writes int) rowemulator.FaultFunc {
	return func(c rowemulator.Call) (bool, error) {
		if !c.Write || writes == 0 {
			return true, nil
		}
		writes--
		return true, rowstore.ErrInDoubt
	}
}

func TestJobIsAcceptedOnce(t *testing.T) {
	t.Run("sent again to another VM", func(t *testing.T) {
		runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
			_, created, err := newKeeper(store, ownerA).Submit(ctx, submission("j", 2))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, created, qt.IsTrue)
			stored, created, err := newKeeper(store, ownerB).Submit(ctx, submission("j", 2))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, created, qt.IsFalse)
			qt.Check(t, stored.Owner, qt.Equals, ownerA)
		})
	})
	t.Run("answers lost", func(t *testing.T) {
		runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
			store.SetFaultFunc(loseResponses(1))
			_, created, err := newKeeper(store, ownerA).Submit(ctx, submission("j", 2))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, created, qt.IsTrue)
		})
	})
	t.Run("larger than a transaction", func(t *testing.T) {
		runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
			s := submission("j", 200)
			for i := range s.Items {
				s.Items[i].Body = []byte(strings.Repeat("x", 20_000))
			}
			k := newKeeper(store, ownerA)
			stored, _, err := k.Submit(ctx, s)
			qt.Assert(t, err, qt.IsNil)
			items, err := k.Items(ctx, stored.Record)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, items, qt.HasLen, 200)
		})
	})
}

func TestSubmitErrorMatchesStoredState(t *testing.T) {
	expect := func(t *testing.T, fault rowemulator.FaultFunc, want error, wantJob bool) {
		t.Helper()
		runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
			store.SetFaultFunc(fault)
			_, _, err := newKeeper(store, ownerA).Submit(ctx, submission("j", 1))
			qt.Assert(t, err, qt.ErrorIs, want)
			store.SetFaultFunc(nil)
			_, err = newKeeper(store, ownerB).Results(t.Context(), batchkeeper.Caller{}, "j", 0)
			qt.Check(t, err == nil, qt.Equals, wantJob)
		})
	}
	t.Run("nothing was written", func(t *testing.T) {
		expect(t, func(rowemulator.Call) (bool, error) {
			return false, rowstore.ErrNotDone
		}, batchkeeper.ErrNotWritten, false)
	})
	t.Run("the answer was lost, then the store", func(t *testing.T) {
		lost := false
		expect(t, func(c rowemulator.Call) (bool, error) {
			if !c.Write {
				return true, nil
			}
			if !lost {
				lost = true
				return true, rowstore.ErrInDoubt
			}
			return false, rowstore.ErrNotDone
		}, batchkeeper.ErrInDoubt, true)
	})
}

func TestSubmitFailsSoonDuringOutage(t *testing.T) {
	runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
		k := newKeeper(store, ownerA)
		_, err := k.Scan(ctx)
		qt.Assert(t, err, qt.IsNil)
		store.SetFaultFunc(func(rowemulator.Call) (bool, error) { return false, rowstore.ErrNotDone })
		began := time.Now()
		_, _, err = k.Submit(ctx, submission("j", 1))
		qt.Check(t, err, qt.ErrorIs, batchkeeper.ErrNotWritten)
		qt.Check(t, time.Since(began) < 1500*time.Millisecond, qt.IsTrue)
	})
}

func TestQuotaHoldsAcrossVMs(t *testing.T) {
	runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
		accepted := 0
		for n := range 20 {
			k := newKeeper(store, batchkeeper.Owner{VM: fmt.Sprint(n)})
			k.SetVMCount(20)
			s := submission(fmt.Sprint("j", n), 1)
			s.MaxTokens = 1000
			_, _, err := k.Submit(ctx, s)
			if err == nil {
				accepted++
				continue
			}
			qt.Check(t, err, qt.ErrorIs, batchkeeper.ErrOverQuota)
		}
		qt.Check(t, accepted, qt.Equals, 10)
	})
}

func TestQuotaIsReleasedByResults(t *testing.T) {
	runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
		k := newKeeper(store, ownerA)
		s := submission("j1", 1)
		s.MaxTokens = 100
		stored, _, err := k.Submit(ctx, s)
		qt.Assert(t, err, qt.IsNil)
		s.ID = "j2"
		_, _, err = k.Submit(ctx, s)
		qt.Assert(t, err, qt.ErrorIs, batchkeeper.ErrOverQuota)
		_, err = k.Commit(ctx, stored, []batchkeeper.Result{result("item0", "x")}, 0, nil)
		qt.Assert(t, err, qt.IsNil)
		_, _, err = k.Submit(ctx, s)
		qt.Check(t, err, qt.IsNil)
	})
}

func TestReplacedOwnerCannotCommit(t *testing.T) {
	runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
		a, b := newKeeper(store, ownerA), newKeeper(store, ownerB)
		old := submit(ctx, t, a, 2)
		claimed, err := b.Claim(ctx, old)
		qt.Assert(t, err, qt.IsNil)
		_, err = a.Commit(ctx, old, []batchkeeper.Result{result("item0", "from a")}, 100, nil)
		qt.Check(t, err, qt.ErrorIs, batchkeeper.ErrOwnershipLost)
		_, err = b.Commit(ctx, claimed, []batchkeeper.Result{result("item0", "from b")}, 100, nil)
		qt.Assert(t, err, qt.IsNil)
		expectResults(ctx, t, a, "j", "item0=from b")
	})
}

func TestOnlyOneVMCanTakeOverAJob(t *testing.T) {
	runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
		old := submit(ctx, t, newKeeper(store, batchkeeper.Owner{VM: "gone"}), 1)
		_, err := newKeeper(store, ownerA).Claim(ctx, old)
		qt.Check(t, err, qt.IsNil)
		_, err = newKeeper(store, ownerB).Claim(ctx, old)
		qt.Check(t, err, qt.ErrorIs, batchkeeper.ErrOwnershipLost)
	})
}

// A write whose response was lost may have taken effect with fewer results than
// there are when Commit is called again.
func TestResultsAreStoredOnceWhenResponsesAreLost(t *testing.T) {
	runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
		k := newKeeper(store, ownerA)
		stored := submit(ctx, t, k, 3)
		store.SetFaultFunc(func(rowemulator.Call) (bool, error) { return true, rowstore.ErrInDoubt })
		short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		defer cancel()
		_, err := k.Commit(short, stored, []batchkeeper.Result{result("item0", "x")}, 200, nil)
		qt.Assert(t, errors.Is(err, batchkeeper.ErrInDoubt), qt.IsTrue)
		store.SetFaultFunc(nil)
		results := []batchkeeper.Result{result("item0", "x"), result("item1", "y")}
		stored, err = k.Commit(ctx, stored, results, 100, nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, stored.Results, qt.Equals, 1)
		_, err = k.Commit(ctx, stored, results[1:], 100, nil)
		qt.Assert(t, err, qt.IsNil)
		expectResults(ctx, t, k, "j", "item0=x", "item1=y")
	})
}

func TestCancelledJobAcceptsNoResults(t *testing.T) {
	runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
		a, b := newKeeper(store, ownerA), newKeeper(store, ownerB)
		stored := submit(ctx, t, a, 2)
		stored, err := a.Commit(ctx, stored, []batchkeeper.Result{result("item0", "x")}, 100, nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, b.Cancel(ctx, batchkeeper.Caller{}, "j"), qt.IsNil)
		qt.Check(t, b.Cancel(ctx, batchkeeper.Caller{}, "j"), qt.IsNil, qt.Commentf("again"))
		_, err = a.Commit(ctx, stored, []batchkeeper.Result{result("item1", "y")}, 0, nil)
		qt.Check(t, err, qt.ErrorIs, batchkeeper.ErrOwnershipLost)
		expectResults(ctx, t, b, "j", "item0=x")
		page, err := b.Results(ctx, batchkeeper.Caller{}, "j", 1)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, page.Complete, qt.IsTrue)
	})
}

func TestReleasedJobResumesFromProgress(t *testing.T) {
	runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
		a, b := newKeeper(store, ownerA), newKeeper(store, ownerB)
		stored := submit(ctx, t, a, 2)
		stored, err := a.Commit(ctx, stored, []batchkeeper.Result{result("item0", "x")}, 100, nil)
		qt.Assert(t, err, qt.IsNil)
		progress := map[int]batchkeeper.Progress{1: {LastEvent: "7", Output: []byte("half")}}
		released, err := a.Release(ctx, stored, progress)
		qt.Assert(t, err, qt.IsNil)
		claimed, err := b.Claim(ctx, released)
		qt.Assert(t, err, qt.IsNil)
		loaded, err := b.Load(ctx, claimed.Record)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, loaded.Items, qt.HasLen, 2)
		qt.Check(t, loaded.HasResult, qt.DeepEquals, map[string]bool{"item0": true})
		qt.Check(t, loaded.Progress, qt.DeepEquals, progress)
	})
}

func TestBodies(t *testing.T) {
	runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
		k := newKeeper(store, ownerA)
		submit(ctx, t, k, 2)
		body, err := newKeeper(store, ownerB).Body(ctx, batchkeeper.Caller{}, "j", "item1")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(body), qt.Equals, "body")
		_, err = k.Body(ctx, batchkeeper.Caller{}, "j", "other")
		qt.Check(t, err, qt.ErrorIs, batchkeeper.ErrNotFound)
		_, err = k.Body(ctx, batchkeeper.Caller{}, "other", "item1")
		qt.Check(t, err, qt.ErrorIs, batchkeeper.ErrNotFound)
	})
}

// commitAll commits results as a runner does: it calls Commit again with the remaining
// ones until none is left.
func commitAll(
	ctx context.Context, t *testing.T, k *batchkeeper.Keeper, stored batchkeeper.VersionedRecord,
	results []batchkeeper.Result,
) {
	t.Helper()
	for calls := 0; len(results) > 0; calls++ {
		qt.Assert(t, calls < 200, qt.IsTrue, qt.Commentf("%d results are left", len(results)))
		next, err := k.Commit(ctx, stored, results, 0, nil)
		qt.Assert(t, err, qt.IsNil)
		results, stored = results[next.Results-stored.Results:], next
	}
}

// After an outage an owner may hold more results than one transaction takes.
func TestManyOrLargeResultsAreCommittedAndRead(t *testing.T) {
	expectAll := func(t *testing.T, items, size int) {
		t.Helper()
		runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
			k := newKeeper(store, ownerA)
			stored := submit(ctx, t, k, items)
			var results []batchkeeper.Result
			for n := range items {
				results = append(results, result(fmt.Sprint("item", n), strings.Repeat(string(rune('a'+n%26)), size)))
			}
			commitAll(ctx, t, k, stored, results)
			var listed []batchkeeper.Result
			for len(listed) < items {
				page, err := newKeeper(store, ownerB).Results(ctx, batchkeeper.Caller{}, "j", len(listed))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, len(page.Results) > 0, qt.IsTrue)
				listed = append(listed, page.Results...)
			}
			qt.Check(t, len(listed), qt.Equals, items)
			for n, r := range listed {
				qt.Assert(t, r.Item == results[n].Item && string(r.Output) == string(results[n].Output), qt.IsTrue,
					qt.Commentf("result %d has %d bytes", n, len(r.Output)))
			}
			loaded, err := k.Load(ctx, stored.Record)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, len(loaded.HasResult), qt.Equals, items)
		})
	}
	t.Run("more rows than a transaction takes", func(t *testing.T) { expectAll(t, 150, 100) })
	t.Run("more bytes than a transaction takes", func(t *testing.T) { expectAll(t, 20, 50_000) })
	t.Run("one larger than a row", func(t *testing.T) { expectAll(t, 3, 70_000) })
	t.Run("as large as an item's output may be", func(t *testing.T) { expectAll(t, 3, batchkeeper.MaxOutput) })
}

func TestOversizedProgressIsOmitted(t *testing.T) {
	runWithStore(t, func(t *testing.T, ctx context.Context, store *rowemulator.Store) {
		k := newKeeper(store, ownerA)
		stored := submit(ctx, t, k, 2)
		progress := map[int]batchkeeper.Progress{
			0: {LastEvent: "9", Output: []byte(strings.Repeat("x", 70_000))}, 1: {LastEvent: "1", Output: []byte("y")},
		}
		_, err := k.Release(ctx, stored, progress)
		qt.Assert(t, err, qt.IsNil)
		loaded, err := k.Load(ctx, stored.Record)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, len(loaded.Progress), qt.Equals, 1)
		qt.Check(t, loaded.Progress[1].LastEvent, qt.Equals, "1")
	})
}
