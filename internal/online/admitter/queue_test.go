package admitter_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/admitter"
	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
)

// pool is a pool with a fixed number of slots.
type pool struct {
	slots   int32
	running atomic.Int32
	peak    atomic.Int32
	queue   *admitter.Queue
}

func newPool(slots int32) *pool {
	p := &pool{slots: slots}
	p.queue = admitter.New(func(query chooser.CapacityQuery) bool {
		free := slots - p.running.Load() - int32(query.Starting)
		if query.Standing == chooser.StandingOverShare {
			free-- // one slot is reserved for callers under their share
		}
		return free > 0
	}, time.Now)
	return p
}

// run enters the queue, holds a slot for a time and releases it. It returns how long
// it waited for the slot.
func (p *pool) run(ctx context.Context, caller string, weight int, duration time.Duration) (time.Duration, error) {
	start := time.Now()
	if err := p.queue.Enter(ctx, admitter.Entry{
		Caller: caller, Weight: weight, Deadline: start.Add(10 * time.Second),
	}); err != nil {
		return 0, err
	}
	waited := time.Since(start)
	running := p.running.Add(1)
	p.peak.Store(max(p.peak.Load(), running))
	p.queue.Started()
	time.Sleep(duration)
	p.running.Add(-1)
	p.queue.Done(caller)
	p.queue.Released()
	return waited, nil
}

func TestModestCallerIsNotDelayedByGreedyCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(8)
		var group sync.WaitGroup
		var rejected atomic.Int32
		var longestWait atomic.Int64
		for n := range 400 { // greedy: 400 a second, four times the pool's capacity
			group.Go(func() {
				time.Sleep(time.Duration(n) * 2500 * time.Microsecond)
				if _, err := p.run(t.Context(), "greedy", 1, 80*time.Millisecond); err != nil {
					rejected.Add(1)
				}
			})
		}
		for n := range 20 {
			group.Go(func() {
				time.Sleep(time.Duration(n) * 50 * time.Millisecond)
				waited, err := p.run(t.Context(), "modest", 1, 80*time.Millisecond)
				qt.Check(t, err, qt.IsNil)
				longestWait.Store(max(longestWait.Load(), int64(waited)))
			})
		}
		group.Wait()
		qt.Check(t, rejected.Load() > 200, qt.IsTrue)
		// All slots are held by requests that run for 80 ms, so a request waits until
		// the next of them ends, but behind no other waiting request.
		qt.Check(t, time.Duration(longestWait.Load()) <= 80*time.Millisecond, qt.IsTrue,
			qt.Commentf("%v", time.Duration(longestWait.Load())))
		qt.Check(t, p.peak.Load() <= 8, qt.IsTrue)
	})
}

func TestWeightsDecideShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(4)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		var group sync.WaitGroup
		served := map[string]*atomic.Int32{"light": {}, "heavy": {}}
		for caller, weight := range map[string]int{"light": 1, "heavy": 3} {
			for range 12 {
				group.Go(func() {
					for ctx.Err() == nil {
						if _, err := p.run(ctx, caller, weight, 20*time.Millisecond); err == nil {
							served[caller].Add(1)
						} else {
							time.Sleep(10 * time.Millisecond)
						}
					}
				})
			}
		}
		group.Wait()
		ratio := float64(served["heavy"].Load()) / float64(served["light"].Load())
		qt.Check(t, ratio > 2.4 && ratio < 3.6, qt.IsTrue, qt.Commentf("%.2f", ratio))
	})
}

func TestRejectionIsEarlyAndHasRetryTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(1)
		var group sync.WaitGroup
		for range 30 {
			group.Go(func() { _, _ = p.run(t.Context(), "a", 1, 100*time.Millisecond) })
		}
		time.Sleep(350 * time.Millisecond)
		start := time.Now()
		_, err := p.run(t.Context(), "a", 1, time.Millisecond)
		var busy *admitter.BusyError
		qt.Assert(t, errors.As(err, &busy), qt.IsTrue)
		qt.Check(t, busy.RetryAt().After(time.Now()), qt.IsTrue)
		qt.Check(t, time.Since(start) <= 400*time.Millisecond, qt.IsTrue)
		group.Wait()
	})
}

func TestCanceledRequestIsNotAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(1)
		var group sync.WaitGroup
		group.Go(func() { _, _ = p.run(t.Context(), "a", 1, 100*time.Millisecond) })
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		group.Go(func() {
			_, err := p.run(ctx, "b", 1, time.Second)
			qt.Check(t, err, qt.ErrorIs, admitter.ErrBusy)
		})
		group.Go(func() {
			time.Sleep(time.Millisecond)
			waited, err := p.run(t.Context(), "c", 1, time.Millisecond)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, waited <= 100*time.Millisecond, qt.IsTrue)
		})
		synctest.Wait()
		cancel()
		group.Wait()
		qt.Check(t, p.queue.Waiting(), qt.Equals, 0)
	})
}

func TestMostOverShareDoesNotAlternate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(100)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for caller, n := range map[string]int{"greedy": 6, "middling": 3, "modest": 1} {
			for range n {
				group.Go(func() { _, _ = p.run(ctx, caller, 1, time.Second) })
			}
		}
		synctest.Wait()
		name, found := p.queue.MostOverShare("modest", 1)
		qt.Check(t, found, qt.IsTrue)
		qt.Check(t, name, qt.Equals, "greedy")
		name, _ = p.queue.MostOverShare("middling", 1)
		qt.Check(t, name, qt.Equals, "greedy")
		_, found = p.queue.MostOverShare("greedy", 1)
		qt.Check(t, found, qt.IsFalse)
		_, found = p.queue.MostOverShare("newcomer", 8)
		qt.Check(t, found, qt.IsTrue)
		cancel()
		group.Wait()
	})
}

func TestReenteredRequestGoesFirstAndIsNotRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(1)
		var group sync.WaitGroup
		entry := admitter.Entry{Caller: "a", Weight: 1, Deadline: time.Now().Add(time.Minute)}
		group.Go(func() { _, _ = p.run(t.Context(), "a", 1, 3*time.Second) })
		synctest.Wait()
		rejected := make(chan error, 1)
		group.Go(func() { rejected <- p.queue.Enter(t.Context(), entry) })
		synctest.Wait()
		start := time.Now()
		qt.Check(t, p.queue.Reenter(t.Context(), entry), qt.IsNil)
		qt.Check(t, time.Since(start), qt.Equals, 3*time.Second)
		qt.Check(t, <-rejected, qt.ErrorIs, admitter.ErrBusy)
		p.queue.Started()
		p.queue.Done("a")
		group.Wait()
	})
}
