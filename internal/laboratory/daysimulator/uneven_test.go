package daysimulator_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/daysimulator"
)

// From the middle of a step up on, every seventh engine fails 38% of its requests for several
// seconds and runs the others well. Streams that fail aren't sent again. An engine that got its
// share of the load would fail about 25 streams in that time.
func TestEnginesThatFailSomeRequests(t *testing.T) {
	const (
		every         = 7
		maxPerEngine  = 5
		minOnTimeRate = 0.95
	)
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			day := daysimulator.UnevenSite(seed)
			day.Length = *length
			day.Engine.Faulty = daysimulator.FaultyPeriod{
				From: 5 * time.Second, Length: 6600 * time.Millisecond, Every: every, Share: 0.38,
			}
			faulty := 0
			for _, d := range day.Domains {
				faulty += d.Engines
			}
			faulty = (faulty + every - 1) / every
			result := daysimulator.Simulate(day, daysimulator.Fleet)
			t.Logf("%v, %d faulty engines", result, faulty)
			qt.Check(t, result.Failed <= maxPerEngine*faulty, qt.IsTrue)
			qt.Check(t, result.StreamShare() >= minOnTimeRate, qt.IsTrue)
		})
	}
}
