package placer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
)

// failingFleet simulates VMs that send requests to upstreams, some of which answer and
// some of which fail every request.
type failingFleet struct {
	random        *rand.Rand
	now           time.Time
	vms           []*placer.Placer
	shareFailures bool     // VMs report failures to each other
	pending       []func() // deliveries of reports, by the milliseconds until they are due
	failed        int
	sent          map[string]int // by upstream
}

func newFailingFleet(vms int, shareFailures bool) *failingFleet {
	f := &failingFleet{
		random: rand.New(rand.NewPCG(1, 1)), now: start, shareFailures: shareFailures, sent: map[string]int{},
	}
	list := testUpstreams(20, "a")
	for n := range vms {
		f.vms = append(f.vms, newPlacer(fmt.Sprint("vm", n), list, placer.WithSeed(uint64(n))))
	}
	return f
}

// run sends a request each millisecond from a random VM. The failures that a VM
// reports reach the others 5 ms later.
func (f *failingFleet) run(length time.Duration, fails func(vm int, upstream string) bool) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		at := f.random.IntN(len(f.vms))
		vm := f.vms[at]
		slot, _ := vm.AcquireOnline(onlineWork, f.now)
		f.sent[slot.Upstream().ID]++
		if fails(at, slot.Upstream().ID) {
			f.failed++
			vm.RecordFailure(slot, f.now)
			f.share(vm)
		} else {
			vm.RecordAnswer(slot, f.now)
		}
		vm.Release(slot, f.now)
		f.deliver()
	}
}

func (f *failingFleet) share(vm *placer.Placer) {
	if !f.shareFailures {
		return
	}
	const delay = 5
	for len(f.pending) < delay {
		f.pending = append(f.pending, func() {})
	}
	reported, now := vm.Failing(f.now), f.now
	name := fmt.Sprint("vm", slices.Index(f.vms, vm))
	before := f.pending[delay-1]
	f.pending[delay-1] = func() {
		before()
		for _, other := range f.vms {
			if other != vm {
				other.ReceiveFailures(name, reported, now)
			}
		}
	}
}

func (f *failingFleet) deliver() {
	if len(f.pending) > 0 {
		f.pending[0]()
		f.pending = append(f.pending[1:], func() {})
	}
}

func only(upstream string) func(int, string) bool {
	return func(_ int, id string) bool { return id == upstream }
}

// An upstream accepts connections but fails every request. Without reports, each VM has
// to find that out by failures of its own.
func TestAllVMsAvoidAFailingUpstream(t *testing.T) {
	expectFailed := func(shareFailures bool, minimum, maximum int) {
		t.Helper()
		f := newFailingFleet(60, shareFailures)
		f.run(8*time.Second, only("a0"))
		qt.Check(t, f.failed >= minimum && f.failed <= maximum, qt.IsTrue, qt.Commentf("%d requests failed", f.failed))
	}
	expectFailed(false, 100, 1000)
	expectFailed(true, 1, 30)
}

// An upstream fails more than a third of its requests and answers the others, so that it looks sound
// after each answer. With its share of the requests it would fail 380.
func TestAllVMsAvoidAnUpstreamThatFailsSomeRequests(t *testing.T) {
	f := newFailingFleet(8, true)
	f.run(20*time.Second, func(_ int, id string) bool { return id == "a0" && f.random.Float64() < 0.38 })
	qt.Check(t, f.failed <= 30, qt.IsTrue, qt.Commentf("%d requests failed", f.failed))
}

// An upstream takes 8 times as long as others, and answers.
func TestSlowUpstreamIsNotTakenForAFaultyOne(t *testing.T) {
	p, now := newPlacer("vm", testUpstreams(1, "a")), start
	for range 100 {
		slot, err := p.AcquireOnline(onlineWork, now)
		qt.Assert(t, err, qt.IsNil)
		now = now.Add(8 * time.Second)
		p.RecordLoad(slot, placer.Load{Running: 1, Sequences: 2, Slowness: 8}, now)
		p.RecordAnswer(slot, now)
		p.Release(slot, now)
		qt.Assert(t, p.FaultyUpstreams(now), qt.Equals, 0)
	}
	qt.Check(t, p.Failing(now), qt.HasLen, 0)
}

// The same upstream fails every third request instead.
func TestUpstreamThatFailsEveryThirdRequestIsFaulty(t *testing.T) {
	p, now := newPlacer("vm", testUpstreams(1, "a")), start
	for n := range 30 {
		slot, err := p.AcquireOnline(onlineWork, now)
		qt.Assert(t, err, qt.IsNil)
		now = now.Add(100 * time.Millisecond)
		if n%3 == 0 {
			p.RecordFailure(slot, now)
		} else {
			p.RecordAnswer(slot, now)
		}
		p.Release(slot, now)
	}
	qt.Check(t, p.FaultyUpstreams(now), qt.Equals, 1)
}

// A recovered upstream receives its share of requests again within seconds.
func TestRecoveredUpstreamReceivesRequestsAgain(t *testing.T) {
	f := newFailingFleet(60, true)
	f.run(5*time.Second, only("a0"))
	f.run(4*time.Second, only("none"))
	f.sent = map[string]int{}
	f.run(time.Second, only("none"))
	qt.Check(t, f.sent["a0"] >= 25, qt.IsTrue, qt.Commentf("%d of 1000 requests", f.sent["a0"]))
}

// A single VM that cannot reach an upstream must not keep the other VMs away from it.
func TestFailuresOfASingleVMAreDistrusted(t *testing.T) {
	f := newFailingFleet(12, true)
	f.run(20*time.Second, func(vm int, id string) bool { return vm == 0 && id == "a0" })
	qt.Check(t, f.sent["a0"] >= 400, qt.IsTrue, qt.Commentf("%d of 20000 requests", f.sent["a0"]))
}

// A VM that is cut off from most upstreams must not report them as failing.
func TestVMThatReachesFewUpstreamsReportsNoFailures(t *testing.T) {
	f := newFailingFleet(12, true)
	f.run(5*time.Second, func(vm int, id string) bool { return vm == 0 && id < "a17" })
	others := f.sent["a17"] + f.sent["a18"] + f.sent["a19"]
	qt.Check(t, others <= 1500, qt.IsTrue, qt.Commentf("%d of 5000 requests went to three of 20 upstreams", others))
}

// Connections that are all reset at the same time count as one failure.
func TestSimultaneousFailuresCountOnce(t *testing.T) {
	p := newPlacer("vm1", testUpstreams(1, "a"))
	slots := []*placer.Slot{acquireOnline(t, p), acquireOnline(t, p), acquireOnline(t, p)}
	for n, slot := range slots {
		p.RecordFailure(slot, start.Add(time.Duration(n+1)*time.Millisecond))
		p.Release(slot, start)
	}
	failing := p.Failing(start.Add(10 * time.Millisecond))
	qt.Check(t, failing["a0"].ConsecutiveFailures, qt.Equals, 1)
}

// expectAvoided checks that neither online nor batch work goes to an upstream.
func expectAvoided(t *testing.T, p *placer.Placer, id string, now time.Time) {
	t.Helper()
	for range 200 {
		slot, err := p.AcquireOnline(onlineWork, now)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, slot.Upstream().ID, qt.Not(qt.Equals), id)
		p.Release(slot, now)
		if slot, found := p.AcquireBatch(placer.BatchWork{Service: "lm", LatestStart: now}, now); found {
			qt.Assert(t, slot.Upstream().ID, qt.Not(qt.Equals), id)
			p.Release(slot, now)
		}
	}
}

// slotOn acquires online slots until one is on the given upstream.
func slotOn(t *testing.T, p *placer.Placer, id string) *placer.Slot {
	t.Helper()
	for range 1000 {
		slot, err := p.AcquireOnline(onlineWork, start)
		qt.Assert(t, err, qt.IsNil)
		if slot.Upstream().ID == id {
			return slot
		}
	}
	t.Fatalf("no slot on %s", id)
	return nil
}

func TestDrainingUpstreamReceivesNoRequests(t *testing.T) {
	list := testUpstreams(3, "a")
	draining := list[1].ID
	t.Run("also while the list goes on naming it", func(t *testing.T) {
		p := newPlacer("vm", list)
		p.MarkDraining(slotOn(t, p, draining))
		expectAvoided(t, p, draining, start.Add(time.Hour))
		p.SetUpstreams(list)
		expectAvoided(t, p, draining, start.Add(time.Hour))
	})
	t.Run("as told by another VM", func(t *testing.T) {
		p, other := newPlacer("vm", list), newPlacer("other", list)
		other.MarkDraining(slotOn(t, other, draining))
		p.ReceiveDraining(other.Draining())
		expectAvoided(t, p, draining, start.Add(time.Hour))
		qt.Check(t, p.Draining(), qt.DeepEquals, other.Draining(), qt.Commentf("a VM passes it on"))
	})
	t.Run("until it has started anew", func(t *testing.T) {
		p := newPlacer("vm", list)
		p.MarkDraining(slotOn(t, p, draining))
		restarted := slices.Clone(list)
		restarted[1].ProcessStart++
		p.SetUpstreams(restarted)
		p.ReceiveDraining(map[string]int64{draining: list[1].ProcessStart}) // outdated report of a peer VM
		p.Release(slotOn(t, p, draining), start)
	})
	t.Run("also if the news came before the list", func(t *testing.T) {
		p := newPlacer("vm", nil)
		p.ReceiveDraining(map[string]int64{draining: list[1].ProcessStart})
		p.SetUpstreams(list)
		expectAvoided(t, p, draining, start.Add(time.Hour))
	})
}

// Guards against: a VM that is cut off from upstreams tells others at once that sound upstreams fail.
func TestVMThatIsCutOffReportsNoFailureAtOnce(t *testing.T) {
	expectReported := func(t *testing.T, failures, want int, isCutOff bool) {
		t.Helper()
		reported := 0
		p := newPlacer("vm1", testUpstreams(8, "a"),
			placer.WithOnChange(func(c placer.Change) { reported += len(c.Failing) }),
			placer.WithCutOff(func(time.Time) bool { return isCutOff }))
		for n := range failures {
			slot := slotOn(t, p, fmt.Sprint("a", n))
			p.RecordFailure(slot, start.Add(time.Duration(n)*time.Millisecond))
		}
		qt.Check(t, reported, qt.Equals, want)
	}
	t.Run("links work", func(t *testing.T) { expectReported(t, 1, 1, false) })
	t.Run("links are lost", func(t *testing.T) { expectReported(t, 1, 0, true) })
	t.Run("too many fail", func(t *testing.T) { expectReported(t, 5, 2, false) })
}
