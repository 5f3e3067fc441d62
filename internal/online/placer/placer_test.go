package placer_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
)

var start = time.Unix(1_700_000_000, 0)

var regions = map[string]string{"a": "east", "b": "east", "c": "west"}

// testUpstreams returns n upstreams of two sequences in each domain.
func testUpstreams(n int, domains ...string) []placer.Upstream {
	var list []placer.Upstream
	for _, domain := range domains {
		for i := range n {
			list = append(list, placer.Upstream{
				ID: fmt.Sprintf("%s%d", domain, i), Service: "lm", Address: "x", Domain: domain, Sequences: 2,
			})
		}
	}
	return list
}

func newPlacer(self string, list []placer.Upstream, options ...placer.Option) *placer.Placer {
	p := placer.New(self, "a", regions, append([]placer.Option{placer.WithSeed(1)}, options...)...)
	p.SetUpstreams(list)
	return p
}

// urgentWork is batch work that must start soon to finish in time.
var urgentWork = placer.BatchWork{Service: "lm", LatestStart: start.Add(time.Second)}

// onlineWork has no latency target and accepts any slot.
var onlineWork = placer.OnlineWork{Service: "lm"}

func acquireOnline(t *testing.T, p *placer.Placer) *placer.Slot {
	t.Helper()
	slot, err := p.AcquireOnline(onlineWork, start)
	qt.Assert(t, err, qt.IsNil)
	return slot
}

func expectDomains(t *testing.T, p *placer.Placer, want ...string) {
	t.Helper()
	var got []string
	for range want {
		got = append(got, acquireOnline(t, p).Upstream().Domain)
	}
	qt.Check(t, got, qt.DeepEquals, want)
}

func TestLocalSlotsAreFilledBeforeRemoteOnes(t *testing.T) {
	p := newPlacer("vm1", testUpstreams(1, "a", "b", "c"))
	expectDomains(t, p, "a", "a", "b", "b", "c", "c")
}

func TestRequestsSpreadOverEqualUpstreams(t *testing.T) {
	p := newPlacer("vm1", testUpstreams(4, "a"))
	seen := map[string]int{}
	for range 8 {
		seen[acquireOnline(t, p).Upstream().ID]++
	}
	qt.Check(t, seen, qt.DeepEquals, map[string]int{"a0": 2, "a1": 2, "a2": 2, "a3": 2})
}

func TestUpstreamsFilledByOtherVMsAreAvoided(t *testing.T) {
	p := newPlacer("vm1", testUpstreams(2, "a"))
	p.ReceiveReport("vm2", placer.Report{"a0": {Online: 2}}, start)
	qt.Check(t, acquireOnline(t, p).Upstream().ID, qt.Equals, "a1")
	qt.Check(t, acquireOnline(t, p).Upstream().ID, qt.Equals, "a1")
	p.Expire(start.Add(time.Minute))
	qt.Check(t, acquireOnline(t, p).Upstream().ID, qt.Equals, "a0")
}

func TestDrainingAndFailedUpstreams(t *testing.T) {
	t.Run("leaving ones get nothing", func(t *testing.T) {
		list := testUpstreams(1, "a")
		list[0].Draining = true
		_, err := newPlacer("vm1", list).AcquireOnline(onlineWork, start)
		qt.Check(t, err, qt.ErrorIs, placer.ErrNoUpstream)
	})
	t.Run("failed ones come last", func(t *testing.T) {
		p := newPlacer("vm1", testUpstreams(1, "a", "c"))
		slot := acquireOnline(t, p)
		p.RecordFailure(slot, start)
		p.Release(slot, start)
		qt.Check(t, acquireOnline(t, p).Upstream().Domain, qt.Equals, "c")
	})
	t.Run("one that starts anew begins with nothing", func(t *testing.T) {
		list := testUpstreams(1, "a")
		p := newPlacer("vm1", list)
		slot := acquireOnline(t, p)
		list[0].ProcessStart = 7
		p.SetUpstreams(list)
		p.Release(slot, start)
		qt.Check(t, p.Report(), qt.HasLen, 0)
	})
}

func TestSlowUpstreamIsAvoidedWhileItIsSlow(t *testing.T) {
	p := newPlacer("vm1", testUpstreams(1, "a", "b"))
	slot := acquireOnline(t, p)
	p.RecordLoad(slot, placer.Load{Running: 1, Sequences: 2, Slowness: 2.5}, start)
	p.Release(slot, start)
	qt.Check(t, acquireOnline(t, p).Upstream().Domain, qt.Equals, "b")
	later, err := p.AcquireOnline(onlineWork, start.Add(time.Second))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, later.Upstream().Domain, qt.Equals, "a")
}

func TestBatchLeavesASlotFreeAndYields(t *testing.T) {
	t.Run("reserve", func(t *testing.T) {
		p := newPlacer("vm1", testUpstreams(1, "a"))
		_, found := p.AcquireBatch(urgentWork, start)
		qt.Check(t, found, qt.IsTrue)
		_, found = p.AcquireBatch(urgentWork, start)
		qt.Check(t, found, qt.IsFalse)
	})
	t.Run("step up of online work", func(t *testing.T) {
		p := newPlacer("vm1", testUpstreams(1, "a"))
		batch, _ := p.AcquireBatch(urgentWork, start)
		acquireOnline(t, p)
		qt.Check(t, p.Yield(start), qt.HasLen, 0)
		acquireOnline(t, p)
		qt.Check(t, slices.Equal(p.Yield(start), []*placer.Slot{batch}), qt.IsTrue)
		qt.Check(t, p.Yield(start), qt.HasLen, 0, qt.Commentf("a slot is returned once"))
	})
	t.Run("the VM with the highest name goes first", func(t *testing.T) {
		for self, want := range map[string]int{"vm1": 0, "vm3": 1} {
			p := newPlacer(self, testUpstreams(1, "a"))
			_, found := p.AcquireBatch(urgentWork, start)
			qt.Assert(t, found, qt.IsTrue)
			p.ReceiveReport("vm2", placer.Report{"a0": {Online: 1, Batch: 1}}, start)
			qt.Check(t, p.Yield(start), qt.HasLen, want)
		}
	})
	t.Run("online work prefers an upstream that batch can leave to a queue", func(t *testing.T) {
		p := newPlacer("vm1", testUpstreams(1, "a", "b"))
		p.ReceiveReport("vm2", placer.Report{"a0": {Online: 2}, "b0": {Batch: 2}}, start)
		qt.Check(t, acquireOnline(t, p).Upstream().ID, qt.Equals, "b0")
	})
}

// Online work arrives on an upstream that another VM's batch work fills. That VM must
// be notified at once, wherever it is.
func TestChangeNamesTheVMsThatMustYield(t *testing.T) {
	var changes []placer.Change
	p := placer.New("vm1", "a", regions, placer.WithOnChange(func(c placer.Change) { changes = append(changes, c) }))
	p.SetUpstreams(testUpstreams(1, "a"))
	p.ReceiveReport("vm2", placer.Report{"a0": {Batch: 1}}, start)
	acquireOnline(t, p)
	acquireOnline(t, p)
	qt.Check(t, changes, qt.DeepEquals, []placer.Change{
		{Upstream: "a0", Domain: "a"}, {Upstream: "a0", Domain: "a", Yielding: []string{"vm2"}},
	})
}

// Many VMs with batch work see a slot become free at the same time. Few may acquire it
// before they receive each other's reports, and at least one must.
func TestFreeSlotIsNotAcquiredByAllVMsAtOnce(t *testing.T) {
	const vms, reportDelay = 14, 2 * time.Millisecond
	list := testUpstreams(1, "a")
	var placers []*placer.Placer
	for n := range vms {
		p := newPlacer(fmt.Sprint("vm", n), list)
		p.ReceiveReport("busy", placer.Report{"a0": {Online: 2}}, start)
		placers = append(placers, p)
	}
	now, taken := start, 0
	for ; now.Before(start.Add(50*time.Millisecond)) && taken == 0; now = now.Add(reportDelay) {
		for _, p := range placers {
			p.ReceiveReport("busy", placer.Report{}, now)
			if _, found := p.AcquireBatch(urgentWork, now); found {
				taken++
			}
		}
	}
	qt.Check(t, taken >= 1 && taken <= 4, qt.IsTrue, qt.Commentf("%d of %d VMs", taken, vms))
	qt.Check(t, now.Before(start.Add(15*time.Millisecond)), qt.IsTrue, qt.Commentf("taken after %v", now.Sub(start)))
}

// When many jobs compete for a free slot, VMs whose work must start soon come before
// those whose work has time, and those before VMs with work that is already late.
func TestUrgentBatchWorkAcquiresAFreeSlotFirst(t *testing.T) {
	waitOf := func(latest time.Duration) time.Duration {
		p := newPlacer("vm1", testUpstreams(1, "a"))
		p.ReceiveReport("busy", placer.Report{"a0": {Online: 2}}, start)
		p.ReceiveReport("busy", placer.Report{}, start)
		for wait := time.Duration(0); ; wait += time.Millisecond {
			work := placer.BatchWork{Service: "lm", LatestStart: start.Add(latest)}
			if _, found := p.AcquireBatch(work, start.Add(wait)); found {
				return wait
			}
		}
	}
	soon, normal, late := waitOf(2*time.Second), waitOf(10*time.Second), waitOf(-time.Second)
	qt.Check(t, soon < normal && normal < late, qt.IsTrue, qt.Commentf("%v, %v, %v", soon, normal, late))
}

// The least urgent batch work yields to online work first.
func TestLateBatchWorkYieldsBeforeUrgentWork(t *testing.T) {
	list := testUpstreams(1, "a")
	list[0].Sequences = 4
	p := newPlacer("vm1", list)
	var slots []*placer.Slot
	for _, latest := range []time.Duration{-time.Second, 10 * time.Second, 2 * time.Second} {
		slot, found := p.AcquireBatch(placer.BatchWork{Service: "lm", LatestStart: start.Add(latest)}, start)
		qt.Assert(t, found, qt.IsTrue)
		slots = append(slots, slot)
	}
	for _, want := range slots {
		p.ReceiveReport("b", placer.Report{"a0": {Online: 2 + slices.Index(slots, want)}}, start)
		got := p.Yield(start)
		qt.Assert(t, got, qt.HasLen, 1)
		qt.Check(t, got[0], qt.Equals, want)
		p.Release(want, start)
	}
}

// The owner of a slot reads it while the answers of other requests change the state of
// its upstream. The race detector reports a violation.
func TestSlotCanBeReadWhileItsUpstreamChanges(t *testing.T) {
	list := testUpstreams(1, "a")
	p := newPlacer("vm1", list)
	slot, other := acquireOnline(t, p), acquireOnline(t, p)
	var group sync.WaitGroup
	group.Go(func() {
		for n := range 100 {
			p.RecordLoad(other, placer.Load{Sequences: 2 + n%2}, start)
			p.SetUpstreams(list)
		}
	})
	for range 100 {
		qt.Check(t, slot.Upstream().ID, qt.Equals, "a0")
	}
	group.Wait()
}

// Guards against: jobs that a VM has accepted never run, as the upstreams that are left, in whatever
// domain, have so few slots that the reserve for online requests takes them all.
func TestBatchWorkRunsOnUpstreamsWithFewSlots(t *testing.T) {
	for _, domain := range []string{"a", "b", "c"} {
		for sequences := 1; sequences <= 3; sequences++ {
			t.Run(fmt.Sprint(domain, " ", sequences), func(t *testing.T) {
				list := testUpstreams(1, domain)
				list[0].Sequences = sequences
				p := newPlacer("vm1", list)
				slot, found := p.AcquireBatch(urgentWork, start)
				qt.Assert(t, found, qt.IsTrue)
				for range sequences {
					acquireOnline(t, p)
				}
				yielding := p.Yield(start)
				qt.Check(t, len(yielding) == 1 && yielding[0] == slot, qt.IsTrue, qt.Commentf("online requests come first"))
			})
		}
	}
}
