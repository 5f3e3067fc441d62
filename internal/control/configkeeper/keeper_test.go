package configkeeper_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/control/configkeeper"
	"github.com/fescuespindle/fescuespindle/internal/standins/storeemulator"
	"github.com/fescuespindle/fescuespindle/pkg/deployer"
)

func newStore(seed uint64) *storeemulator.Keeper {
	const inDoubtProbability = 0.25
	store := storeemulator.NewKeeper(rand.New(rand.NewPCG(seed, seed)))
	store.SetInDoubtShare(inDoubtProbability)
	return store
}

// operation is a change based on a version, or a read of the head if the digest is
// empty.
type operation struct {
	from   uint64
	digest string
}

// outcome is what an operation returned.
type outcome struct {
	accepted bool
	inDoubt  bool
	head     configkeeper.Head
}

// model is the sequential specification that operators rely on: versions follow each
// other without gaps, each based on the one before.
func model() porcupine.Model {
	nondeterministic := porcupine.NondeterministicModel{
		Init: func() []any { return []any{configkeeper.Head{}} },
		Step: func(state, input, output any) []any {
			head, _ := state.(configkeeper.Head)
			op, _ := input.(operation)
			out, _ := output.(outcome)
			if op.digest == "" {
				if out.head == head {
					return []any{head}
				}
				return nil
			}
			applied := configkeeper.Head{Version: op.from + 1, Digest: op.digest}
			alreadyApplied := head == applied
			basedOnHead := head.Version == op.from
			switch {
			case out.inDoubt && basedOnHead:
				return []any{head, applied}
			case out.inDoubt:
				return []any{head}
			case out.accepted && (basedOnHead || alreadyApplied):
				return []any{applied}
			case !out.accepted && !alreadyApplied:
				return []any{head} // a change based on the head may still lose to one in doubt
			default:
				return nil
			}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return nondeterministic.ToModel()
}

func documentOf(operator, round int) deployer.Document {
	return deployer.New(fmt.Sprintf("by %d in round %d", operator, round), deployer.WithRegion("pwani", "mbezi"))
}

// apply applies a change based on the head that the operator last read.
func apply(k *configkeeper.Keeper, op operation, doc deployer.Document) outcome {
	_, err := k.Apply(context.Background(), configkeeper.Change{
		From: op.from, Digest: op.digest, Document: doc, By: "operator", Why: "race", At: time.Unix(1000, 0),
	})
	return outcome{accepted: err == nil, inDoubt: errors.Is(err, configkeeper.ErrInDoubt)}
}

// Four operators change the configuration at the same time, in a store that leaves a
// quarter of the transactions in doubt. The test fails if a change gets lost or is
// based on a version that was not in force.
func TestConcurrentChangesAreLinearizable(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			k := configkeeper.New(newStore(seed))
			var clock atomic.Int64
			var mu sync.Mutex
			var history []porcupine.Operation
			record := func(client int, op operation, run func() outcome) outcome {
				called := clock.Add(1)
				out := run()
				mu.Lock()
				defer mu.Unlock()
				history = append(history, porcupine.Operation{
					ClientId: client, Input: op, Call: called, Output: out, Return: clock.Add(1),
				})
				return out
			}
			var group sync.WaitGroup
			for client := range 4 {
				group.Go(func() {
					for round := range 8 {
						read := record(client, operation{}, func() outcome {
							head, err := k.Head(context.Background())
							qt.Check(t, err, qt.IsNil)
							return outcome{head: head}
						})
						doc := documentOf(client, round)
						digest, err := doc.Digest()
						qt.Check(t, err, qt.IsNil)
						op := operation{from: read.head.Version, digest: digest}
						record(client, op, func() outcome { return apply(k, op, doc) })
					}
				})
			}
			group.Wait()
			qt.Assert(t, porcupine.CheckOperations(model(), history), qt.IsTrue)
			checkAuditTrail(t, k)
		})
	}
}

// checkAuditTrail checks that the audit trail has every version once, each based on
// the one before.
func checkAuditTrail(t *testing.T, k *configkeeper.Keeper) {
	t.Helper()
	entries, err := k.History(t.Context(), 0)
	qt.Assert(t, err, qt.IsNil)
	head, err := k.Head(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, uint64(len(entries)), qt.Equals, head.Version)
	previous := ""
	for n, entry := range entries {
		qt.Check(t, entry.Version, qt.Equals, uint64(n+1))
		qt.Check(t, entry.Previous, qt.Equals, previous)
		previous = entry.Digest
	}
	qt.Check(t, head.Digest, qt.Equals, previous)
}

func TestDocumentWithWrongDigestIsRejected(t *testing.T) {
	k := configkeeper.New(newStore(1))
	_, err := k.Apply(t.Context(), configkeeper.Change{Digest: "sha256:00", Document: documentOf(1, 1)})
	qt.Check(t, err, qt.ErrorIs, configkeeper.ErrWrongDigest)
}
