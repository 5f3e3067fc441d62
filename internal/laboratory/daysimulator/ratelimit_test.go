package daysimulator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/daysimulator"
)

// quietShare is the share of the mean load of a site at the start of a day.
const quietShare = 0.383

// limited makes seven in ten engines of a day accept half of the usual rate.
func limited(day daysimulator.Day, length time.Duration) daysimulator.Day {
	day.Length, day.JobTimeout = length, time.Second // the simulation ends with the last job's deadline
	day.Streams = daysimulator.Constant(day.Streams(0) / quietShare)
	day.RateLimits = daysimulator.RateLimits{Share: 0.7, Factor: 0.5, From: time.Second, Until: length}
	return day
}

// largeDomains are two of the six domains of a site of 295 VMs, which are enough for VMs to
// report as in a large fleet.
func largeDomains(seed uint64) daysimulator.Day {
	day := daysimulator.LargeSite(seed)
	day.Domains = append(day.Domains[:1], day.Domains[3])
	day.Streams = daysimulator.Constant(281 * quietShare)
	day.Jobs = daysimulator.Constant(3)
	return day
}

// hugeDomain is one of the six domains of a site of 1,200 VMs, as the VMs that share a limit
// are of one domain. It has few engines, so that a test can simulate it.
func hugeDomain(seed uint64) daysimulator.Day {
	day := daysimulator.LargeSite(seed)
	day.Domains = day.Domains[:1]
	day.Domains[0].VMs, day.Domains[0].Engines = 200, 20
	day.Streams = daysimulator.Constant(100 * quietShare)
	day.Jobs = daysimulator.Constant(0)
	return day
}

// minLimitUsed is the least share of the limits that must be used while there is more work
// than the engines accept.
const minLimitUsed = 0.5

func expectLimitsKept(t *testing.T, day daysimulator.Day) {
	t.Helper()
	result := daysimulator.Simulate(day, daysimulator.Fleet)
	t.Logf("%v, of the limits %.2f used, %d messages, last rejection after %v",
		result, result.LimitUsed, result.Messages, result.RejectedAfter)
	qt.Check(t, result.LimitExcess, qt.Equals, 0)
	qt.Check(t, result.LimitUsed >= minLimitUsed, qt.IsTrue)
}

// Guards against: an upstream that accepts a certain number of requests per second from
// all VMs together gets about twice that, as each VM sends it what it would without a limit.
func TestRateLimitOfAnUpstreamIsKeptByAllVMsTogether(t *testing.T) {
	expect := func(t *testing.T, site func(seed uint64) daysimulator.Day, length time.Duration) {
		t.Helper()
		t.Parallel()
		for seed := range *seeds / 2 {
			expectLimitsKept(t, limited(site(seed), length))
		}
	}
	t.Run("12 VMs", func(t *testing.T) { expect(t, daysimulator.SmallSite, 15*time.Second) })
	t.Run("295 VMs, two domains", func(t *testing.T) { expect(t, largeDomains, 7*time.Second) })
	t.Run("1200 VMs, one domain", func(t *testing.T) { expect(t, hugeDomain, 6*time.Second) })
}
