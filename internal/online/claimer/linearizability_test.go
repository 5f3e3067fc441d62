package claimer_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/claimer"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
)

// outcome is the result of one sending of a call.
type outcome uint8

const (
	outcomeRan outcome = iota
	outcomeReplayed
	outcomeInDoubt
	outcomeNotRun
)

// callModel returns the specification of a call, by key: it runs once, and the answer of
// an earlier run is returned only after there was one. ErrInDoubt may be returned at any
// time, and any other error changes nothing.
func callModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := map[string][]porcupine.Operation{}
			for _, op := range history {
				key, _ := op.Input.(string)
				byKey[key] = append(byKey[key], op)
			}
			var parts [][]porcupine.Operation
			for _, part := range byKey {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() any { return false },
		Step: func(state, _, output any) (bool, any) {
			ran, _ := state.(bool)
			switch observed, _ := output.(outcome); observed {
			case outcomeRan:
				return !ran, true
			case outcomeReplayed:
				return ran, true
			default:
				return true, ran
			}
		},
	}
}

func outcomeOf(answer claimer.Answer, err error) outcome {
	switch {
	case err == nil && answer.Replayed():
		return outcomeReplayed
	case err == nil:
		return outcomeRan
	case errors.Is(err, claimer.ErrInDoubt):
		return outcomeInDoubt
	default:
		return outcomeNotRun
	}
}

// Senders resend three calls through any VM while the store loses answers, applies writes
// late, rejects writes, goes down and returns. The history of outcomes must be
// linearizable, and no call may run twice.
func TestCallsAreLinearizable(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const senders, rounds, keys, fleet = 6, 6, 3, 4
				f := newFixture(t.Context(), fleet)
				f.store.SetRandomFaults(seed, rowemulator.Faults{LostResponseShare: 0.2, LateShare: 0.05, RejectedShare: 0.1})
				var clock atomic.Int64
				var mu sync.Mutex
				var history []porcupine.Operation
				orders := make([]order, keys)
				var group sync.WaitGroup
				for sender := range senders {
					random := rand.New(rand.NewPCG(seed, uint64(sender)))
					group.Go(func() {
						for range rounds {
							time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
							f.store.SetDown(random.IntN(6) == 0)
							n, vm := random.IntN(keys), random.IntN(fleet)
							call := orders[n].call("panel")
							call.Key = fmt.Sprintf("order-%d", n)
							calledAt := clock.Add(1)
							observed := outcomeOf(f.claimers[vm].Do(t.Context(), call))
							mu.Lock()
							history = append(history, porcupine.Operation{
								ClientId: sender, Input: call.Key, Call: calledAt,
								Output: observed, Return: clock.Add(1),
							})
							mu.Unlock()
						}
					})
				}
				group.Wait()
				f.store.SetDown(false)
				time.Sleep(2 * time.Minute)
				f.close()
				for n := range orders {
					qt.Check(t, orders[n].runs.Load() <= 1, qt.IsTrue, qt.Commentf("order-%d", n))
				}
				qt.Check(t, porcupine.CheckOperations(callModel(), history), qt.IsTrue, qt.Commentf("%v", history))
			})
		})
	}
}
