package daysimulator_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/daysimulator"
)

var (
	seeds  = flag.Uint64("daysimulator.seeds", 2, "days of each load")
	length = flag.Duration("daysimulator.length", 12*time.Second, "length of a day")
)

// expectNearOmniscient simulates days of a small site under the production policy
// and under the omniscient scheduler. The former must reach at least a given
// fraction of the latter's on-time shares, of both streams and items.
func expectNearOmniscient(t *testing.T, minRatio float64, load func(day *daysimulator.Day)) {
	t.Helper()
	expectSiteNearOmniscient(t, daysimulator.SmallSite, minRatio, load)
}

func expectSiteNearOmniscient(
	t *testing.T, site func(seed uint64) daysimulator.Day, minRatio float64, load func(day *daysimulator.Day),
) {
	t.Helper()
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			day := site(seed)
			day.Length = *length
			load(&day)
			fleet, best := daysimulator.Simulate(day, daysimulator.Fleet), daysimulator.Simulate(day, daysimulator.Omniscient)
			t.Logf("fleet:      %v", fleet)
			t.Logf("omniscient: %v", best)
			qt.Check(t, fleet.StreamShare() >= minRatio*best.StreamShare(), qt.IsTrue)
			qt.Check(t, fleet.ItemShare() >= minRatio*best.ItemShare(), qt.IsTrue)
		})
	}
}

const (
	minOmniscientRatio         = 0.95 // of the omniscient scheduler's on-time shares
	minOmniscientRatioWithLoss = 0.9  // the same while a VM is lost
)

// The load alternates between a third of its mean and almost twice its mean.
func TestLoadSteps(t *testing.T) {
	expectNearOmniscient(t, minOmniscientRatio, func(*daysimulator.Day) {})
}

// Streams arrive at 1.5 times the usual rate for 4 seconds.
func TestStreamBurst(t *testing.T) {
	expectNearOmniscient(t, minOmniscientRatio, func(day *daysimulator.Day) {
		day.Streams = daysimulator.Burst(day.Streams, 1.5, 4*time.Second, 4*time.Second)
	})
}

// Jobs arrive at 6 times the usual rate for 3 seconds.
func TestJobBurst(t *testing.T) {
	expectNearOmniscient(t, minOmniscientRatio, func(day *daysimulator.Day) {
		day.Jobs = daysimulator.Burst(day.Jobs, 6, 2*time.Second, 3*time.Second)
	})
}

// A VM is lost 100 ms after the load has stepped up.
func TestVMLossAtStepUp(t *testing.T) {
	expectNearOmniscient(t, minOmniscientRatioWithLoss, func(day *daysimulator.Day) {
		day.LostVM, day.LostAt = 3, 3500*time.Millisecond
	})
}

// largeSite returns a day at a site of hundreds of VMs, or, in CI, at three of its
// six domains. Their size and the age of reports between domains stay the same.
func largeSite(seed uint64) daysimulator.Day {
	day := daysimulator.LargeSite(seed)
	if *seeds > 2 {
		return day
	}
	day.Domains = append(day.Domains[:1], day.Domains[2], day.Domains[5])
	day.Streams, day.Jobs = daysimulator.SquareWave(421), daysimulator.Constant(5.25)
	day.JobTimeout = 6 * time.Second
	return day
}

// shorten limits a day to one step up and one down.
func shorten(day *daysimulator.Day) { day.Length = min(day.Length, 6*time.Second) }

// With hundreds of VMs, each subscribes to the reports of a few upstreams only.
func TestLoadStepsOnLargeFleet(t *testing.T) {
	expectSiteNearOmniscient(t, largeSite, minOmniscientRatio, shorten)
}

// A seventh of the engines is missing, and the others get the same load.
func TestLoadStepsOnLargeFleetWithFewerEngines(t *testing.T) {
	expectSiteNearOmniscient(t, largeSite, minOmniscientRatio, func(day *daysimulator.Day) {
		shorten(day)
		for i := range day.Domains {
			day.Domains[i].Engines = 23
		}
	})
}

// The rate of reports depends on a VM's own work and not on the size of the fleet. It
// must stay below a limit on a large fleet.
func TestReportRateOfLargeFleetIsBounded(t *testing.T) {
	const maxRate = 300 // messages per VM and second
	day := largeSite(1)
	shorten(&day)
	vms := 0
	for _, domain := range day.Domains {
		vms += domain.VMs
	}
	result := daysimulator.Simulate(day, daysimulator.Fleet)
	rate := float64(result.Messages) / float64(vms) / (day.Length + day.JobTimeout).Seconds()
	qt.Check(t, rate <= maxRate, qt.IsTrue, qt.Commentf("%.0f messages per VM and second", rate))
}

// Reports between VMs must pay off: policies that use only local knowledge serve
// fewer streams and items on time.
func TestFleetBeatsLocalPolicies(t *testing.T) {
	day := daysimulator.SmallSite(1)
	day.Length = *length
	fleet := daysimulator.Simulate(day, daysimulator.Fleet)
	for _, policy := range []daysimulator.Policy{daysimulator.LeastLocal, daysimulator.RoundRobin} {
		local := daysimulator.Simulate(day, policy)
		t.Logf("%s: %v", policy, local)
		qt.Check(t, fleet.StreamShare() > local.StreamShare(), qt.IsTrue)
		qt.Check(t, fleet.ItemShare() > local.ItemShare(), qt.IsTrue)
	}
}

// Repeated simulations of a day must give identical results.
func TestSimulationIsDeterministic(t *testing.T) {
	day := daysimulator.SmallSite(7)
	day.Length = 6 * time.Second
	first := daysimulator.Simulate(day, daysimulator.Fleet)
	for range 3 {
		qt.Check(t, daysimulator.Simulate(day, daysimulator.Fleet), qt.Equals, first)
	}
}
