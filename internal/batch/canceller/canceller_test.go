package canceller_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/canceller"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

const (
	outage    = 5 * time.Second
	graceTime = time.Second
	// maxKept is more than are tried at once.
	maxKept = 20
)

// tasks is a canceller.Spawner.
type tasks struct{ group sync.WaitGroup }

func (t *tasks) Go(_ string, task func()) { t.group.Go(task) }

// silentStore is a store that leaves calls unanswered until it is opened. Those are never answered later.
type silentStore struct {
	*rowemulator.Store
	silent atomic.Bool
}

func (s *silentStore) Transact(ctx context.Context, tx rowstore.Tx) (rowstore.Snapshot, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return rowstore.Snapshot{}, rowstore.ErrInDoubt
	}
	return s.Store.Transact(ctx, tx)
}

func (s *silentStore) Range(
	ctx context.Context, table, part, from, to string,
) (rowstore.Snapshot, string, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return rowstore.Snapshot{}, "", rowstore.ErrInDoubt
	}
	return s.Store.Range(ctx, table, part, from, to)
}

// vm is a VM with a store in which job "j" is open.
type vm struct {
	t         *testing.T
	store     *silentStore
	keeper    *batchkeeper.Keeper
	canceller *canceller.Canceller
	tasks     tasks
	log       bytes.Buffer

	mu        sync.Mutex
	confirmed map[string]time.Time
}

// withVM runs a test in a bubble with a fake clock.
func withVM(t *testing.T, test func(v *vm)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		v := &vm{t: t, store: &silentStore{Store: rowemulator.New()}, confirmed: map[string]time.Time{}}
		logger := slog.New(slog.NewTextHandler(&v.log, nil))
		v.keeper = batchkeeper.New(v.store, batchkeeper.Owner{VM: "a", Boot: 1}, 64<<10, logger)
		v.submit("j")
		v.canceller = canceller.New(v.keeper, &v.tasks, func(id string) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.confirmed[id] = time.Now()
		}, logger, canceller.WithMaxKept(maxKept))
		test(v)
		ctx, cancel := context.WithTimeout(v.t.Context(), graceTime)
		defer cancel()
		v.canceller.Stop(ctx)
		v.tasks.group.Wait()
	})
}

func (v *vm) submit(id string) {
	v.t.Helper()
	_, _, err := v.keeper.Submit(v.t.Context(), batchkeeper.Submission{
		ID: id, Route: "r", Host: "h", Retention: time.Minute,
		Items: []batchkeeper.Item{{ID: "item", URI: "/x", Body: []byte("body"), Tokens: 1}},
	})
	qt.Assert(v.t, err, qt.IsNil)
}

// isCancelled returns whether a job is cancelled in the store.
func (v *vm) isCancelled(id string) bool {
	v.t.Helper()
	records, err := v.keeper.Scan(v.t.Context())
	qt.Assert(v.t, err, qt.IsNil)
	for _, r := range records {
		if r.ID == id {
			return r.Cancelled
		}
	}
	return false
}

func (v *vm) confirmedAt(id string) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.confirmed[id]
}

// Guards against: a caller's cancellation gets a 503 while the store is away, and nobody tries it again.
func TestCancellationTakesEffectOnceTheStoreIsBack(t *testing.T) {
	expect := func(t *testing.T, away func(v *vm, isAway bool)) {
		t.Helper()
		withVM(t, func(v *vm) {
			away(v, true)
			qt.Check(t, v.canceller.Cancel(v.t.Context(), batchkeeper.Caller{}, "j"), qt.IsNotNil)
			time.Sleep(outage)
			qt.Check(t, v.canceller.Kept(), qt.Equals, 1)
			away(v, false)
			back := time.Now()
			time.Sleep(time.Second)
			qt.Check(t, v.isCancelled("j"), qt.IsTrue)
			qt.Check(t, v.confirmedAt("j").Sub(back) < time.Second && !v.confirmedAt("j").IsZero(), qt.IsTrue)
			qt.Check(t, v.canceller.Kept(), qt.Equals, 0)
			qt.Check(t, strings.Count(v.log.String(), "cancellation confirmed late"), qt.Equals, 1)
		})
	}
	t.Run("refuses", func(t *testing.T) { expect(t, func(v *vm, isAway bool) { v.store.SetDown(isAway) }) })
	t.Run("silent", func(t *testing.T) { expect(t, func(v *vm, isAway bool) { v.store.silent.Store(isAway) }) })
}

// Guards against: a caller that leaves before the confirmation takes its cancellation with it.
func TestCancellationOfACallerThatLeftIsTriedFurther(t *testing.T) {
	withVM(t, func(v *vm) {
		v.store.silent.Store(true)
		ctx, leave := context.WithTimeout(v.t.Context(), 10*time.Millisecond)
		defer leave()
		qt.Check(t, v.canceller.Cancel(ctx, batchkeeper.Caller{}, "j"), qt.IsNotNil)
		v.store.silent.Store(false)
		time.Sleep(time.Second)
		qt.Check(t, v.isCancelled("j"), qt.IsTrue)
	})
}

// Guards against: one call that hangs holds the cancellation for as long as its caller waits.
func TestHungCallDoesNotHoldACancellation(t *testing.T) {
	withVM(t, func(v *vm) {
		v.store.silent.Store(true)
		time.AfterFunc(10*time.Millisecond, func() { v.store.silent.Store(false) })
		began := time.Now()
		qt.Check(t, v.canceller.Cancel(v.t.Context(), batchkeeper.Caller{}, "j"), qt.IsNil)
		qt.Check(t, time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
		qt.Check(t, v.confirmedAt("j").IsZero(), qt.IsFalse)
	})
}

// Guards against: cancellations are kept without bound in number or time.
func TestKeptCancellationsAreBounded(t *testing.T) {
	withVM(t, func(v *vm) {
		v.store.SetDown(true)
		var group sync.WaitGroup
		for n := range maxKept + 5 {
			group.Go(func() { _ = v.canceller.Cancel(v.t.Context(), batchkeeper.Caller{}, fmt.Sprint("k", n)) })
		}
		group.Wait()
		qt.Check(t, v.canceller.Kept(), qt.Equals, maxKept)
		time.Sleep(time.Minute)
		qt.Check(t, v.canceller.Kept(), qt.Equals, 0)
		v.store.SetDown(false)
		qt.Check(t, v.confirmed, qt.HasLen, 0)
	})
}

// Guards against: a job that doesn't exist is tried for a minute, or seems cancelled.
func TestUnknownJobIsNotTriedFurther(t *testing.T) {
	withVM(t, func(v *vm) {
		qt.Check(t, v.canceller.Cancel(v.t.Context(), batchkeeper.Caller{}, "other"), qt.ErrorIs, batchkeeper.ErrNotFound)
		qt.Check(t, v.canceller.Kept(), qt.Equals, 0)
		v.store.SetDown(true)
		qt.Check(t, v.canceller.Cancel(v.t.Context(), batchkeeper.Caller{}, "other"), qt.IsNotNil)
		v.store.SetDown(false)
		time.Sleep(time.Second)
		qt.Check(t, v.canceller.Kept(), qt.Equals, 0)
		qt.Check(t, v.confirmed, qt.HasLen, 0)
	})
}

// Guards against: a process that is stopped forgets cancellations without a word.
func TestStopTriesOnceMoreAndLogsWhatStaysUnconfirmed(t *testing.T) {
	expect := func(t *testing.T, isBack bool, want string) {
		t.Helper()
		withVM(t, func(v *vm) {
			v.store.SetDown(true)
			qt.Check(t, v.canceller.Cancel(v.t.Context(), batchkeeper.Caller{}, "j"), qt.IsNotNil)
			v.store.SetDown(!isBack)
			ctx, cancel := context.WithTimeout(v.t.Context(), graceTime)
			defer cancel()
			v.canceller.Stop(ctx)
			v.store.SetDown(false)
			qt.Check(t, v.isCancelled("j"), qt.Equals, isBack)
			qt.Check(t, strings.Count(v.log.String(), want), qt.Equals, 1, qt.Commentf("%s", v.log.String()))
		})
	}
	t.Run("store is back", func(t *testing.T) { expect(t, true, "cancellation confirmed late") })
	t.Run("store is away", func(t *testing.T) { expect(t, false, "cancellation stays unconfirmed") })
}

// Guards against: a process that is stopped sends calls for all kept cancellations at once to a store that is slow,
// or waits for them beyond its grace period.
func TestStopIsBoundedByItsContext(t *testing.T) {
	withVM(t, func(v *vm) {
		v.store.silent.Store(true)
		var group sync.WaitGroup
		for n := range maxKept {
			group.Go(func() { _ = v.canceller.Cancel(v.t.Context(), batchkeeper.Caller{}, fmt.Sprint("k", n)) })
		}
		group.Wait()
		began := time.Now()
		ctx, cancel := context.WithTimeout(v.t.Context(), graceTime)
		defer cancel()
		v.canceller.Stop(ctx)
		qt.Check(t, time.Since(began), qt.Equals, graceTime)
		qt.Check(t, v.canceller.Kept(), qt.Equals, 0)
		qt.Check(t, strings.Count(v.log.String(), "cancellation stays unconfirmed"), qt.Equals, maxKept)
	})
}
