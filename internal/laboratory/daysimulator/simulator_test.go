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

// expectNearAllSeeing plays days of a load with the VMs' decisions and with those
// of a scheduler that sees everything, and compares what is in time of both
// streams and items.
func expectNearAllSeeing(t *testing.T, least float64, load func(day *daysimulator.Day)) {
	t.Helper()
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			day := daysimulator.Scribe(seed)
			day.Length = *length
			load(&day)
			fleet, limit := daysimulator.Play(day, daysimulator.Fleet), daysimulator.Play(day, daysimulator.AllSeeing)
			t.Logf("fleet:      %v", fleet)
			t.Logf("all-seeing: %v", limit)
			qt.Check(t, fleet.StreamShare() >= least*limit.StreamShare(), qt.IsTrue)
			qt.Check(t, fleet.ItemShare() >= least*limit.ItemShare(), qt.IsTrue)
		})
	}
}

const (
	nearLimit         = 0.95 // of what the all-seeing scheduler serves in time
	nearLimitWithLoss = 0.9  // the same while a VM is lost
)

func TestStepsOfTheLoadAreServedNearlyAsByAnAllSeeingScheduler(t *testing.T) {
	expectNearAllSeeing(t, nearLimit, func(*daysimulator.Day) {})
}

func TestABurstOfStreamsIsServedNearlyAsByAnAllSeeingScheduler(t *testing.T) {
	expectNearAllSeeing(t, nearLimit, func(day *daysimulator.Day) {
		day.Streams = daysimulator.Burst(day.Streams, 1.5, 4*time.Second, 4*time.Second)
	})
}

func TestAFloodOfJobsIsServedNearlyAsByAnAllSeeingScheduler(t *testing.T) {
	expectNearAllSeeing(t, nearLimit, func(day *daysimulator.Day) {
		day.Jobs = daysimulator.Burst(day.Jobs, 6, 2*time.Second, 3*time.Second)
	})
}

// A VM is lost just as the load has stepped up.
func TestAVMLostAtAStepUpIsServedNearlyAsByAnAllSeeingScheduler(t *testing.T) {
	expectNearAllSeeing(t, nearLimitWithLoss, func(day *daysimulator.Day) {
		day.Lost, day.LostAt = 3, 3500*time.Millisecond
	})
}

// What VMs tell each other is worth it: without it, more come late.
func TestTheVMsServeMoreInTimeThanThoseThatKnowTheirOwnWorkOnly(t *testing.T) {
	day := daysimulator.Scribe(1)
	day.Length = *length
	fleet := daysimulator.Play(day, daysimulator.Fleet)
	for _, policy := range []daysimulator.Policy{daysimulator.LeastOwn, daysimulator.RoundRobin} {
		simple := daysimulator.Play(day, policy)
		t.Logf("%s: %v", policy, simple)
		qt.Check(t, fleet.StreamShare() > simple.StreamShare(), qt.IsTrue)
		qt.Check(t, fleet.ItemShare() > simple.ItemShare(), qt.IsTrue)
	}
}

func TestADayFollowsFromItsSeed(t *testing.T) {
	day := daysimulator.Scribe(7)
	day.Length = 6 * time.Second
	first := daysimulator.Play(day, daysimulator.Fleet)
	for range 3 {
		qt.Check(t, daysimulator.Play(day, daysimulator.Fleet), qt.Equals, first)
	}
}
