package daysimulator_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/daysimulator"
)

// expectLosesMore simulates days whose steps up need more than all slots. The streams of one kind
// must be in time less often than those of the other.
func expectLosesMore(
	t *testing.T, teams daysimulator.Teams, kinds func(r daysimulator.Result) (loses, keeps daysimulator.Share),
) {
	t.Helper()
	for _, excess := range []float64{1.2, 1.4} {
		for seed := range *seeds {
			t.Run(fmt.Sprint(excess, "/", seed), func(t *testing.T) {
				t.Parallel()
				day := overloaded(seed, excess)
				day.Teams = teams
				r := daysimulator.Simulate(day, daysimulator.Fleet)
				loses, keeps := kinds(r)
				t.Logf("loses %.3f, keeps %.3f; %v", loses.OnTimeShare(), keeps.OnTimeShare(), r)
				qt.Check(t, loses.OnTimeShare() < keeps.OnTimeShare(), qt.IsTrue)
				qt.Check(t, r.Rejected, qt.Equals, 0)
			})
		}
	}
}

// One of 21 teams asks seven times as much as another, through all VMs, of which each sees little
// of it. It is the one that waits.
func TestHotTeamLosesMoreThanOthers(t *testing.T) {
	expectLosesMore(t, daysimulator.Teams{Number: 20, HotFactor: 7},
		func(r daysimulator.Result) (loses, keeps daysimulator.Share) { return r.Hot, r.Others })
}

// Half of the streams are less urgent than the others.
func TestLessUrgentStreamsLoseMore(t *testing.T) {
	expectLosesMore(t, daysimulator.Teams{MixedUrgency: true},
		func(r daysimulator.Result) (loses, keeps daysimulator.Share) { return r.LessUrgent, r.Urgent })
}
