package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fescuespindle/fescuespindle/internal/quarantiner"
)

var now = time.Unix(1000, 0)

// A poison request is sent again and again, to any VM, beside innocent ones on
// the same upstreams. VMs tell each other of strikes before they answer.
func TestPoisonIsCondemnedAndInnocentsAreNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const poison = quarantiner.Fingerprint(1)
		vms := []*quarantiner.Quarantine{quarantiner.New(), quarantiner.New(), quarantiner.New()}
		upstreams := rapid.IntRange(2, 6).Draw(t, "upstreams")
		crashes := 0
		innocents := map[quarantiner.Fingerprint]bool{}
		next := quarantiner.Fingerprint(100)
		for range 50 {
			vm := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "vm")]
			if vm.Condemned(poison, now) {
				continue
			}
			at := fmt.Sprint(rapid.IntRange(0, upstreams-1).Draw(t, "upstream"))
			var beside []quarantiner.Fingerprint
			for range rapid.IntRange(0, 4).Draw(t, "beside") {
				if vm.Begin(next, at, now) {
					beside = append(beside, next)
					innocents[next] = true
				}
				next++
			}
			if !vm.Begin(poison, at, now) {
				t.Fatalf("a lone suspect may always run")
			}
			crashes++
			for _, f := range append(beside, poison) {
				strike := vm.Crash(f, at, now)
				for _, other := range vms {
					other.Learn(strike, now)
				}
			}
			for _, f := range append(beside, poison) {
				vm.End(f, at, false)
			}
		}
		if crashes > quarantiner.MaxStrikes {
			t.Fatalf("%d upstreams lost", crashes)
		}
		for f := range innocents {
			for _, vm := range vms {
				if vm.Condemned(f, now) {
					t.Fatalf("an innocent request is refused")
				}
			}
		}
	})
}

func TestSuspectsRunApart(t *testing.T) {
	q := quarantiner.New()
	for _, f := range []quarantiner.Fingerprint{1, 2} {
		qt.Assert(t, q.Begin(f, "engine", now), qt.IsTrue)
	}
	q.Crash(1, "engine", now)
	q.Crash(2, "engine", now)
	q.End(1, "engine", false)
	q.End(2, "engine", false)
	qt.Check(t, q.Begin(1, "other", now), qt.IsTrue)
	qt.Check(t, q.Begin(2, "other", now), qt.IsFalse)
	qt.Check(t, q.Begin(2, "third", now), qt.IsTrue)
}

func TestCompletedSuspectIsCleared(t *testing.T) {
	q := quarantiner.New()
	q.Begin(1, "engine", now)
	q.Crash(1, "engine", now)
	q.End(1, "engine", false)
	qt.Check(t, q.Strikes(1, now), qt.Equals, 1)
	q.Begin(1, "other", now)
	q.End(1, "other", true)
	qt.Check(t, q.Strikes(1, now), qt.Equals, 0)
}

func TestStrikesAreForgotten(t *testing.T) {
	q := quarantiner.New()
	q.Learn(quarantiner.Strike{Fingerprint: 1, Count: quarantiner.MaxStrikes}, now)
	qt.Check(t, q.Condemned(1, now), qt.IsTrue)
	qt.Check(t, q.Condemned(1, now.Add(time.Hour)), qt.IsFalse)
}
