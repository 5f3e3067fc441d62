package claimer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/claimer"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/storekeeper"
)

// fixture holds the claimers of several VMs that share an emulated store.
type fixture struct {
	store    *rowemulator.Store
	claimers []*claimer.Claimer
	group    sync.WaitGroup
	stop     context.CancelFunc
}

func newFixture(ctx context.Context, n int) *fixture {
	f := &fixture{store: rowemulator.New()}
	ctx, f.stop = context.WithCancel(ctx)
	for i := range n {
		name := fmt.Sprintf("vm-%d", i)
		store := storekeeper.New(f.store, name, slog.New(slog.NewTextHandler(io.Discard, nil)),
			counter.New(metrics.NewSet()), storekeeper.WithBudget(1e6, 1e6))
		f.group.Go(func() { _ = store.Run(ctx) })
		f.claimers = append(f.claimers, claimer.New(name, store))
	}
	return f
}

func (f *fixture) close() {
	for _, c := range f.claimers {
		c.Wait()
	}
	f.stop()
	f.group.Wait()
}

// order is a call that must run at most once. It counts its runs.
type order struct {
	runs    atomic.Int32
	failure error
}

func (o *order) call(body string) claimer.Call {
	return claimer.Call{
		Caller: "clerks", Service: "order-desk", Key: "order-12", Body: []byte(body),
		Run: func(context.Context) (relayer.Answer, error) {
			o.runs.Add(1)
			time.Sleep(20 * time.Millisecond)
			return relayer.Answer{}, o.failure
		},
	}
}

// Callers send the same call to all VMs while the store loses answers, so that several
// claims on one key race. The call runs once, and a later resend gets the stored answer.
func TestResendsToAnyVMRunOnce(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t.Context(), 4)
				f.store.SetRandomFaults(seed, rowemulator.Faults{LostResponseShare: 0.3})
				var o order
				var senders sync.WaitGroup
				for n := range 20 {
					senders.Go(func() {
						time.Sleep(time.Duration(n%5) * 7 * time.Millisecond)
						_, err := f.claimers[n%4].Do(t.Context(), o.call("panel"))
						if err != nil {
							qt.Check(t, err, qt.ErrorIs, claimer.ErrInDoubt)
						}
					})
				}
				senders.Wait()
				time.Sleep(time.Minute)
				qt.Check(t, o.runs.Load(), qt.Equals, int32(1))
				later, err := f.claimers[3].Do(t.Context(), o.call("panel"))
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, later.Replayed(), qt.IsTrue)
				f.close()
			})
		})
	}
}

func TestWithoutAStoreNothingRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t.Context(), 2)
		f.store.SetDown(true)
		var o order
		_, err := f.claimers[0].Do(t.Context(), o.call("panel"))
		qt.Check(t, err, qt.ErrorIs, claimer.ErrNotClaimed)
		qt.Check(t, o.runs.Load(), qt.Equals, int32(0))
		// The claim may still become durable. It is withdrawn then, so that a resend
		// does not get ErrInDoubt.
		f.store.SetDown(false)
		time.Sleep(30 * time.Second)
		_, err = f.claimers[1].Do(t.Context(), o.call("panel"))
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, o.runs.Load(), qt.Equals, int32(1))
		f.close()
	})
}

// A connection that breaks after the call was sent leaves open whether it ran. A resend
// through another VM must not run it again.
func TestLostConnectionLeavesTheCallInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t.Context(), 2)
		o := order{failure: relayer.NewAttemptError(relayer.RanMaybe, errors.New("connection reset"))}
		_, err := f.claimers[0].Do(t.Context(), o.call("panel"))
		qt.Check(t, relayer.AsAttemptError(err).Ran(), qt.Equals, relayer.RanMaybe)
		time.Sleep(time.Second)
		_, err = f.claimers[1].Do(t.Context(), o.call("panel"))
		qt.Check(t, err, qt.ErrorIs, claimer.ErrInDoubt)
		qt.Check(t, o.runs.Load(), qt.Equals, int32(1))
		f.close()
	})
}

func TestCallThatWasNotRunMayBeSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t.Context(), 1)
		o := order{failure: relayer.NewAttemptError(relayer.RanNot, errors.New("connection refused"))}
		_, err := f.claimers[0].Do(t.Context(), o.call("panel"))
		qt.Check(t, relayer.AsAttemptError(err).Ran(), qt.Equals, relayer.RanNot)
		time.Sleep(time.Second)
		o.failure = nil
		_, err = f.claimers[0].Do(t.Context(), o.call("panel"))
		qt.Check(t, err, qt.IsNil)
		f.close()
	})
}

func TestAnotherBodyUnderTheSameKeyIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t.Context(), 1)
		var o order
		_, err := f.claimers[0].Do(t.Context(), o.call("panel"))
		qt.Check(t, err, qt.IsNil)
		time.Sleep(time.Second)
		_, err = f.claimers[0].Do(t.Context(), o.call("another panel"))
		qt.Check(t, err, qt.ErrorIs, claimer.ErrDifferentBody)
		qt.Check(t, o.runs.Load(), qt.Equals, int32(1))
		f.close()
	})
}
