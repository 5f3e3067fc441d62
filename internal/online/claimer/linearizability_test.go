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

// reply is what a sender of a call heard.
type reply uint8

const (
	replyRan reply = iota
	replyEarlier
	replyInDoubt
	replyNotRun
)

// callModel is a call as its callers are promised it: it runs once, and an
// answer from an earlier run comes only after there is one. That it may have run
// can be said at any time; that this sending didn't run it changes nothing.
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
			switch heard, _ := output.(reply); heard {
			case replyRan:
				return !ran, true
			case replyEarlier:
				return ran, true
			default:
				return true, ran
			}
		},
	}
}

func replyOf(answer claimer.Answer, err error) reply {
	switch {
	case err == nil && answer.Replayed():
		return replyEarlier
	case err == nil:
		return replyRan
	case errors.Is(err, claimer.ErrInDoubt):
		return replyInDoubt
	default:
		return replyNotRun
	}
}

// Senders resend three calls through any VM while answers of the store are lost,
// late and refused, and the store goes down and comes back.
func TestCallsAreLinearizable(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const senders, rounds, keys, fleet = 6, 6, 3, 4
				v := newVMs(t.Context(), fleet)
				v.store.SetRandomFaults(seed, rowemulator.Faults{LostResponseShare: 0.2, LateShare: 0.05, RejectedShare: 0.1})
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
							v.store.SetDown(random.IntN(6) == 0)
							n, at := random.IntN(keys), random.IntN(fleet)
							call := orders[n].call("panel")
							call.Key = fmt.Sprintf("order-%d", n)
							called := clock.Add(1)
							heard := replyOf(v.claimers[at].Do(t.Context(), call))
							mu.Lock()
							history = append(history, porcupine.Operation{
								ClientId: sender, Input: call.Key, Call: called, Output: heard, Return: clock.Add(1),
							})
							mu.Unlock()
						}
					})
				}
				group.Wait()
				v.store.SetDown(false)
				time.Sleep(2 * time.Minute)
				v.close()
				for n := range orders {
					qt.Check(t, orders[n].runs.Load() <= 1, qt.IsTrue, qt.Commentf("order-%d", n))
				}
				qt.Check(t, porcupine.CheckOperations(callModel(), history), qt.IsTrue, qt.Commentf("%v", history))
			})
		})
	}
}
