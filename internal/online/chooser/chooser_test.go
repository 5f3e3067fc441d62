package chooser_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/propertychecker"
	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
	"github.com/fescuespindle/fescuespindle/internal/online/gauger"
)

const sequences = 8

// newPool returns a pool of n idle upstreams in the tiers that the function returns.
func newPool(n int, tier func(int) chooser.Tier) *chooser.Pool {
	var upstreams []*chooser.Upstream
	for i := range n {
		upstreams = append(upstreams, chooser.NewUpstream(fmt.Sprintf("engine-%03d", i), "", sequences, &gauger.Gauge{},
			chooser.WithLocation("domain", "region", tier(i))))
	}
	return chooser.NewPool(upstreams)
}

func allLocal(int) chooser.Tier { return chooser.TierDomain }

func policies() map[string]chooser.Policy {
	return map[string]chooser.Policy{
		"balanced": chooser.Balanced{}, "roundRobin": chooser.RoundRobin{},
		"leastReported": chooser.LeastReported{}, "twoChoices": chooser.TwoChoices{},
	}
}

func TestNoPolicyChoosesADrainingUpstream(t *testing.T) {
	for name, policy := range policies() {
		t.Run(name, func(t *testing.T) {
			propertychecker.Check(t, func(t *rapid.T) {
				n := rapid.IntRange(1, 40).Draw(t, "n")
				pool := newPool(n, allLocal)
				now := time.Now()
				usable := 0 // upstreams that are not draining
				for u := range pool.All {
					if rapid.Bool().Draw(t, "leaving") {
						u.Gauge().SetDraining(true)
					} else {
						usable++
					}
				}
				for range 20 {
					prefix := rapid.Uint64().Draw(t, "prefix")
					choice, ok := policy.Choose(pool, chooser.Request{Prefix: prefix, MaxTier: chooser.TierRemote, Now: now})
					if ok && choice.Upstream.Gauge().Draining() {
						t.Fatalf("chose a draining upstream")
					}
					if name == "balanced" && ok != (usable > 0) {
						t.Fatalf("with %d usable upstreams, Choose returned %v", usable, ok)
					}
				}
			})
		})
	}
}

// With half as many requests as sequences, no upstream gets more than its sequences.
func TestBalancedLoadsEvenly(t *testing.T) {
	pool := newPool(20, allLocal)
	now := time.Now()
	for i := range 20 * sequences / 2 {
		choice, ok := chooser.Balanced{}.Choose(pool, chooser.Request{Prefix: uint64(i) * 0x9e3779b97f4a7c15, Now: now})
		qt.Assert(t, ok, qt.IsTrue)
		choice.Upstream.Gauge().BeginOnline(now)
	}
	for u := range pool.All {
		qt.Check(t, u.Gauge().Online() <= sequences, qt.IsTrue, qt.Commentf("%s has %d", u.ID(), u.Gauge().Online()))
	}
}

// Every VM builds a ring of its own; all rings must agree on a prefix.
func TestSamePrefixGoesToTheSameUpstreamOnEveryVM(t *testing.T) {
	now := time.Now()
	first, _ := chooser.Balanced{}.Choose(newPool(20, allLocal), chooser.Request{Prefix: 42, Now: now})
	qt.Assert(t, first.Reason, qt.Equals, chooser.ReasonPrefix)
	for range 10 {
		again, _ := chooser.Balanced{}.Choose(newPool(20, allLocal), chooser.Request{Prefix: 42, Now: now})
		qt.Check(t, again.Upstream.ID(), qt.Equals, first.Upstream.ID())
	}
}

// A request goes to a more distant tier only if the nearer tier has no free slot.
func TestSpillsToRegionOnceDomainIsFull(t *testing.T) {
	pool := newPool(4, func(i int) chooser.Tier { return chooser.Tier(min(i, 2)) })
	now := time.Now()
	request := chooser.Request{MaxTier: chooser.TierRemote, Now: now}
	for u := range pool.All {
		u.Gauge().SetPeerOnline(0, now)
	}
	for range sequences {
		choice, _ := chooser.Balanced{}.Choose(pool, request)
		qt.Assert(t, choice.Upstream.Tier(), qt.Equals, chooser.TierDomain)
		choice.Upstream.Gauge().BeginOnline(now)
	}
	choice, _ := chooser.Balanced{}.Choose(pool, request)
	qt.Check(t, choice.Upstream.Tier(), qt.Equals, chooser.TierRegion)
	qt.Check(t, choice.Reason, qt.Equals, chooser.ReasonSpilled)
}

// An upstream that has a request but sends no event for two seconds counts as slow
// without any report, and is avoided although the other one has more requests.
func TestStalledUpstreamIsAvoidedBeforeAnyReport(t *testing.T) {
	pool := newPool(2, allLocal)
	start := time.Now()
	slow := pool.Find("engine-000")
	for u := range pool.All {
		u.Gauge().RecordEvent(start, 20*time.Millisecond)
	}
	pool.RefreshStatistics()
	slow.Gauge().BeginOnline(start)
	now := start.Add(2 * time.Second)
	pool.Find("engine-001").Gauge().BeginOnline(now)
	pool.Find("engine-001").Gauge().BeginOnline(now)
	for range 20 {
		choice, ok := chooser.Balanced{}.Choose(pool, chooser.Request{Now: now})
		qt.Assert(t, ok, qt.IsTrue)
		qt.Check(t, choice.Upstream.ID(), qt.Equals, "engine-001")
	}
}

// The slowness of a period decays without further events, so that the upstream gets
// requests again.
func TestSlownessDecays(t *testing.T) {
	var g gauger.Gauge
	start := time.Now()
	for range 50 {
		g.RecordEvent(start, 200*time.Millisecond)
	}
	typical := 20 * time.Millisecond
	qt.Check(t, g.Slowness(start, typical, sequences) > 5, qt.IsTrue)
	qt.Check(t, g.Slowness(start.Add(20*time.Second), typical, sequences) < 1.1, qt.IsTrue)
}

func BenchmarkChoose760(b *testing.B) {
	pool := newPool(760, allLocal)
	now := time.Now()
	b.ReportAllocs()
	for i := range b.N {
		_, _ = chooser.Balanced{}.Choose(pool, chooser.Request{Prefix: uint64(i), Now: now})
	}
}
