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

// failingFleet is VMs that send requests to engines, some of which answer and
// some of which cut every request.
type failingFleet struct {
	random *rand.Rand
	now    time.Time
	vms    []*placer.Placer
	tells  bool // VMs tell each other of failures
	later  []func()
	failed int
	sent   map[string]int
}

func newFailingFleet(vms int, tells bool) *failingFleet {
	f := &failingFleet{random: rand.New(rand.NewPCG(1, 1)), now: start, tells: tells, sent: map[string]int{}}
	list := engines(20, "a")
	for n := range vms {
		f.vms = append(f.vms, newPlacer(fmt.Sprint("vm", n), list, placer.WithSeed(uint64(n))))
	}
	return f
}

// run sends a request each millisecond from a random VM. What a VM learns of a
// failure reaches the others 5 ms later.
func (f *failingFleet) run(length time.Duration, fails func(vm int, upstream string) bool) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		at := f.random.IntN(len(f.vms))
		vm := f.vms[at]
		place, _ := vm.AcquireOnline(onlineWork, f.now)
		f.sent[place.Upstream().ID]++
		if fails(at, place.Upstream().ID) {
			f.failed++
			vm.RecordFailure(place, f.now)
			f.tell(vm)
		} else {
			vm.RecordAnswer(place, f.now)
		}
		vm.Release(place, f.now)
		f.hear()
	}
}

func (f *failingFleet) tell(vm *placer.Placer) {
	if !f.tells {
		return
	}
	const delay = 5
	for len(f.later) < delay {
		f.later = append(f.later, func() {})
	}
	told, now := vm.Failing(f.now), f.now
	before := f.later[delay-1]
	f.later[delay-1] = func() {
		before()
		for _, other := range f.vms {
			if other != vm {
				other.ReceiveFailures(told, now)
			}
		}
	}
}

func (f *failingFleet) hear() {
	if len(f.later) > 0 {
		f.later[0]()
		f.later = append(f.later[1:], func() {})
	}
}

func only(upstream string) func(int, string) bool {
	return func(_ int, id string) bool { return id == upstream }
}

// An engine that takes connections and cuts every request, before many VMs that
// each would have to find out for itself.
func TestAnEngineThatCutsEveryRequestIsLeftByAllVMs(t *testing.T) {
	expectFailed := func(tells bool, least, most int) {
		t.Helper()
		f := newFailingFleet(60, tells)
		f.run(8*time.Second, only("a0"))
		qt.Check(t, f.failed >= least && f.failed <= most, qt.IsTrue, qt.Commentf("%d requests failed", f.failed))
	}
	expectFailed(false, 100, 1000)
	expectFailed(true, 1, 30)
}

// An engine that comes back has its share of work again within seconds.
func TestAnEngineThatComesBackGetsWorkAgain(t *testing.T) {
	f := newFailingFleet(60, true)
	f.run(5*time.Second, only("a0"))
	f.run(4*time.Second, only("none"))
	f.sent = map[string]int{}
	f.run(time.Second, only("none"))
	qt.Check(t, f.sent["a0"] >= 25, qt.IsTrue, qt.Commentf("%d of 1000 requests", f.sent["a0"]))
}

// A VM that can't reach an engine must not keep the others away from it.
func TestAVMThatAloneFailsIsNotBelievedForLong(t *testing.T) {
	f := newFailingFleet(12, true)
	f.run(20*time.Second, func(vm int, id string) bool { return vm == 0 && id == "a0" })
	qt.Check(t, f.sent["a0"] >= 400, qt.IsTrue, qt.Commentf("%d of 20000 requests", f.sent["a0"]))
}

// A VM that is cut off from most engines says nothing of them.
func TestAVMThatIsCutOffTellsNothing(t *testing.T) {
	f := newFailingFleet(12, true)
	f.run(5*time.Second, func(vm int, id string) bool { return vm == 0 && id < "a17" })
	others := f.sent["a17"] + f.sent["a18"] + f.sent["a19"]
	qt.Check(t, others <= 1500, qt.IsTrue, qt.Commentf("%d of 5000 requests went to three engines of 20", others))
}

// Connections that are all reset at one moment are one failure.
func TestRequestsThatAreCutTogetherCountOnce(t *testing.T) {
	p := newPlacer("vm1", engines(1, "a"))
	places := []*placer.Slot{takeOnline(t, p), takeOnline(t, p), takeOnline(t, p)}
	for n, place := range places {
		p.RecordFailure(place, start.Add(time.Duration(n+1)*time.Millisecond))
		p.Release(place, start)
	}
	failing := p.Failing(start.Add(10 * time.Millisecond))
	qt.Check(t, failing["a0"].ConsecutiveFailures, qt.Equals, 1)
}

// expectLeft checks that neither online nor batch work goes to an upstream.
func expectLeft(t *testing.T, p *placer.Placer, id string, now time.Time) {
	t.Helper()
	for range 200 {
		place, err := p.AcquireOnline(onlineWork, now)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, place.Upstream().ID, qt.Not(qt.Equals), id)
		p.Release(place, now)
		if place, found := p.AcquireBatch(placer.BatchWork{Service: "lm", LatestStart: now}, now); found {
			qt.Assert(t, place.Upstream().ID, qt.Not(qt.Equals), id)
			p.Release(place, now)
		}
	}
}

// placeOn takes online places until one is on an upstream.
func placeOn(t *testing.T, p *placer.Placer, id string) *placer.Slot {
	t.Helper()
	for range 1000 {
		place, err := p.AcquireOnline(onlineWork, start)
		qt.Assert(t, err, qt.IsNil)
		if place.Upstream().ID == id {
			return place
		}
	}
	t.Fatalf("no place on %s", id)
	return nil
}

func TestAnUpstreamThatSaysThatItLeavesGetsNothingMore(t *testing.T) {
	list := engines(3, "a")
	left := list[1].ID
	t.Run("also while the list goes on naming it", func(t *testing.T) {
		p := newPlacer("vm", list)
		p.MarkDraining(placeOn(t, p, left))
		expectLeft(t, p, left, start.Add(time.Hour))
		p.SetUpstreams(list)
		expectLeft(t, p, left, start.Add(time.Hour))
	})
	t.Run("as told by another VM", func(t *testing.T) {
		p, other := newPlacer("vm", list), newPlacer("other", list)
		other.MarkDraining(placeOn(t, other, left))
		p.ReceiveDraining(other.Draining())
		expectLeft(t, p, left, start.Add(time.Hour))
		qt.Check(t, p.Draining(), qt.DeepEquals, other.Draining(), qt.Commentf("a VM passes it on"))
	})
	t.Run("until it has started anew", func(t *testing.T) {
		p := newPlacer("vm", list)
		p.MarkDraining(placeOn(t, p, left))
		again := slices.Clone(list)
		again[1].ProcessStart++
		p.SetUpstreams(again)
		p.ReceiveDraining(map[string]int64{left: list[1].ProcessStart}) // old news of another VM
		p.Release(placeOn(t, p, left), start)
	})
	t.Run("also if the news came before the list", func(t *testing.T) {
		p := newPlacer("vm", nil)
		p.ReceiveDraining(map[string]int64{left: list[1].ProcessStart})
		p.SetUpstreams(list)
		expectLeft(t, p, left, start.Add(time.Hour))
	})
}
