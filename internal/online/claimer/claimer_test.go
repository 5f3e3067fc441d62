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

// vms are claimers of several VMs on one store.
type vms struct {
	store    *rowemulator.Store
	claimers []*claimer.Claimer
	group    sync.WaitGroup
	stop     context.CancelFunc
}

func newVMs(ctx context.Context, n int) *vms {
	v := &vms{store: rowemulator.New()}
	ctx, v.stop = context.WithCancel(ctx)
	for i := range n {
		name := fmt.Sprintf("vm-%d", i)
		store := storekeeper.New(v.store, name, slog.New(slog.NewTextHandler(io.Discard, nil)),
			counter.New(metrics.NewSet()), storekeeper.WithBudget(1e6, 1e6))
		v.group.Go(func() { _ = store.Run(ctx) })
		v.claimers = append(v.claimers, claimer.New(name, store))
	}
	return v
}

func (v *vms) close() {
	for _, c := range v.claimers {
		c.Wait()
	}
	v.stop()
	v.group.Wait()
}

// order is a call that may not be repeated.
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

func TestResendsToAnyVMRunOnce(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVMs(t.Context(), 4)
				v.store.SetRandomFaults(seed, rowemulator.Faults{LostResponseShare: 0.3})
				var o order
				var senders sync.WaitGroup
				for n := range 20 {
					senders.Go(func() {
						time.Sleep(time.Duration(n%5) * 7 * time.Millisecond)
						_, err := v.claimers[n%4].Do(t.Context(), o.call("panel"))
						if err != nil {
							qt.Check(t, err, qt.ErrorIs, claimer.ErrInDoubt)
						}
					})
				}
				senders.Wait()
				time.Sleep(time.Minute)
				qt.Check(t, o.runs.Load(), qt.Equals, int32(1))
				later, err := v.claimers[3].Do(t.Context(), o.call("panel"))
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, later.Replayed(), qt.IsTrue)
				v.close()
			})
		})
	}
}

func TestWithoutAStoreNothingRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVMs(t.Context(), 2)
		v.store.SetDown(true)
		var o order
		_, err := v.claimers[0].Do(t.Context(), o.call("panel"))
		qt.Check(t, err, qt.ErrorIs, claimer.ErrNotClaimed)
		qt.Check(t, o.runs.Load(), qt.Equals, int32(0))
		// The claim may still become durable; it is taken back then, so that a
		// resend is not told that the call may have run.
		v.store.SetDown(false)
		time.Sleep(30 * time.Second)
		_, err = v.claimers[1].Do(t.Context(), o.call("panel"))
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, o.runs.Load(), qt.Equals, int32(1))
		v.close()
	})
}

func TestLostClaimerLeavesTheCallInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVMs(t.Context(), 2)
		o := order{failure: relayer.NewAttemptError(relayer.RanMaybe, errors.New("connection reset"))}
		_, err := v.claimers[0].Do(t.Context(), o.call("panel"))
		qt.Check(t, relayer.AsAttemptError(err).Ran(), qt.Equals, relayer.RanMaybe)
		time.Sleep(time.Second)
		_, err = v.claimers[1].Do(t.Context(), o.call("panel"))
		qt.Check(t, err, qt.ErrorIs, claimer.ErrInDoubt)
		qt.Check(t, o.runs.Load(), qt.Equals, int32(1))
		v.close()
	})
}

func TestCallThatWasNotRunMayBeSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVMs(t.Context(), 1)
		o := order{failure: relayer.NewAttemptError(relayer.RanNot, errors.New("connection refused"))}
		_, err := v.claimers[0].Do(t.Context(), o.call("panel"))
		qt.Check(t, relayer.AsAttemptError(err).Ran(), qt.Equals, relayer.RanNot)
		time.Sleep(time.Second)
		o.failure = nil
		_, err = v.claimers[0].Do(t.Context(), o.call("panel"))
		qt.Check(t, err, qt.IsNil)
		v.close()
	})
}

func TestAnotherBodyUnderTheSameKeyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVMs(t.Context(), 1)
		var o order
		_, err := v.claimers[0].Do(t.Context(), o.call("panel"))
		qt.Check(t, err, qt.IsNil)
		time.Sleep(time.Second)
		_, err = v.claimers[0].Do(t.Context(), o.call("another panel"))
		qt.Check(t, err, qt.ErrorIs, claimer.ErrDifferentBody)
		qt.Check(t, o.runs.Load(), qt.Equals, int32(1))
		v.close()
	})
}
