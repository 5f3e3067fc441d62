package daysimulator_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/faces/gateway"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/daysimulator"
)

// overloaded returns a day at a site of 66 VMs whose streams need, at each step up, a
// multiple of all slots. CI simulates one step up on half of the domains.
func overloaded(seed uint64, excess float64) daysimulator.Day {
	const perSlot = 1.36 // streams per second that a slot can serve
	day := daysimulator.MediumSite(seed)
	day.Length = 9 * time.Second
	if *seeds <= 2 {
		day.Domains, day.Length = append(day.Domains[:2], day.Domains[3]), 6*time.Second
	}
	slots := 0
	for i := range day.Domains {
		day.Domains[i].VMs, day.Domains[i].Engines = 11, 12
		slots += day.Domains[i].Engines * day.Engine.Sequences
	}
	const stepUp = 1.87 // of the mean, as in daysimulator.SquareWave
	day.Streams = daysimulator.SquareWave(excess * perSlot * float64(slots) / stepUp)
	day.Jobs, day.JobTimeout = daysimulator.Constant(2), 3*time.Second
	return day
}

// expectOverloadServed simulates days whose steps up need a multiple of all slots. The
// production policy must reach at least a fraction of the on-time share of the omniscient
// scheduler, which serves in the order of arrival.
func expectOverloadServed(t *testing.T, excess, minRatio float64) {
	t.Helper()
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			day := overloaded(seed, excess)
			fleet, inOrder := daysimulator.Simulate(day, daysimulator.Fleet),
				daysimulator.Simulate(day, daysimulator.Omniscient)
			t.Logf("fleet:                           %v", fleet)
			t.Logf("omniscient, in order of arrival: %v", inOrder)
			qt.Check(t, fleet.StreamShare() >= minRatio*inOrder.StreamShare(), qt.IsTrue)
		})
	}
}

// The steps up need 95% of all slots.
func TestStepsUpToFullCapacity(t *testing.T) {
	expectOverloadServed(t, 0.95, minOmniscientRatio)
}

// In a short overload, streams that can no longer meet the latency target must not
// delay those that still can. This must outweigh the knowledge of an omniscient scheduler
// that serves in the order of arrival.
func TestShortOverloadDelaysOnlyTheExcess(t *testing.T) {
	expectOverloadServed(t, 1.2, 1)
}

// expectRejections simulates days whose callers leave after a second. Streams may be rejected only
// if the steps up need far more than all slots, and never after longer than they may wait for one.
func expectRejections(t *testing.T, excess float64, wantSome bool) {
	t.Helper()
	const timeout, longestWait = time.Second, time.Second/gateway.SlotWaitDivisor + 2*gateway.SlotPollInterval
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			day := overloaded(seed, excess)
			day.Timeout = timeout
			r := daysimulator.Simulate(day, daysimulator.Fleet)
			t.Logf("%v, gave up %d, last rejection after %v", r, r.GaveUp, r.RejectedAfter)
			qt.Check(t, r.Rejected > 0, qt.Equals, wantSome)
			qt.Check(t, r.RejectedAfter <= longestWait, qt.IsTrue)
		})
	}
}

func TestStreamsThatCanBeServedAreNotRejected(t *testing.T) { expectRejections(t, 1.5, false) }

func TestStreamsThatCanNotBeServedAreRejected(t *testing.T) { expectRejections(t, 4, true) }
