package quarantiner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/propertychecker"
	"github.com/fescuespindle/fescuespindle/internal/online/quarantiner"
)

var now = time.Unix(1000, 0)

// A request that crashes upstreams is sent repeatedly, to any VM, beside innocent
// requests on the same upstreams. VMs report strikes to each other before they answer.
func TestPoisonIsRejectedAndInnocentsAreNot(t *testing.T) {
	propertychecker.Check(t, func(t *rapid.T) {
		const poison = quarantiner.Fingerprint(1)
		vms := []*quarantiner.Quarantine{quarantiner.New(), quarantiner.New(), quarantiner.New()}
		isolation := quarantiner.NewIsolation()
		upstreams := rapid.IntRange(2, 6).Draw(t, "upstreams")
		crashes := 0
		suspects := []quarantiner.Fingerprint{100}
		next := quarantiner.Fingerprint(101)
		for range 50 {
			vm := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "vm")]
			if vm.ShouldReject(poison, now) {
				continue
			}
			at := fmt.Sprint(rapid.IntRange(0, upstreams-1).Draw(t, "upstream"))
			isolated := map[quarantiner.Fingerprint]bool{}
			running := []quarantiner.Fingerprint{}
			// Innocent suspects also try to run there, some before the poison.
			candidates := append(slices.Clone(suspects), next)
			next++
			order := rapid.Permutation(append(candidates, poison)).Draw(t, "order")
			for _, f := range order {
				if vm.Strikes(f, now) > 0 {
					if !isolation.Acquire(at, f, now) {
						continue
					}
					isolated[f] = true
				}
				running = append(running, f)
			}
			if slices.Contains(running, poison) {
				crashes++
				for _, f := range running {
					strike := vm.RecordCrash(f, isolated[f], now)
					suspects = append(suspects, f)
					for _, other := range vms {
						other.ReceiveStrike(strike, now)
					}
				}
			}
			for f := range isolated {
				isolation.Release(at, f)
			}
			suspects = slices.DeleteFunc(suspects, func(f quarantiner.Fingerprint) bool { return f == poison })
		}
		if crashes > quarantiner.MaxStrikes {
			t.Fatalf("%d upstreams crashed", crashes)
		}
		for _, f := range suspects {
			for _, vm := range vms {
				if vm.ShouldReject(f, now) {
					t.Fatalf("an innocent request is rejected")
				}
			}
		}
	})
}

func TestSuspectsRunOneAtATimePerUpstream(t *testing.T) {
	i := quarantiner.NewIsolation()
	qt.Check(t, i.Acquire("engine", 1, now), qt.IsTrue)
	qt.Check(t, i.Acquire("engine", 2, now), qt.IsFalse)
	qt.Check(t, i.Acquire("other", 2, now), qt.IsTrue)
	i.Release("engine", 2)
	qt.Check(t, i.Acquire("engine", 3, now), qt.IsFalse)
	i.Release("engine", 1)
	qt.Check(t, i.Acquire("engine", 3, now), qt.IsTrue)
	qt.Check(t, i.Acquire("engine", 4, now.Add(time.Hour)), qt.IsTrue)
}

func TestCompletedSuspectIsCleared(t *testing.T) {
	q := quarantiner.New()
	q.RecordCrash(1, false, now)
	qt.Check(t, q.Strikes(1, now), qt.Equals, 1)
	q.RecordCrash(1, false, now)
	qt.Check(t, q.Strikes(1, now), qt.Equals, 1)
	q.Clear(1)
	qt.Check(t, q.Strikes(1, now), qt.Equals, 0)
}

func TestStrikesExpire(t *testing.T) {
	q := quarantiner.New()
	q.ReceiveStrike(quarantiner.Strike{Fingerprint: 1, Count: quarantiner.MaxStrikes}, now)
	qt.Check(t, q.ShouldReject(1, now), qt.IsTrue)
	qt.Check(t, q.ShouldReject(1, now.Add(time.Hour)), qt.IsFalse)
}
