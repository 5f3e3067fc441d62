package batchrunner_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchrunner"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// withTwoVersions runs a test with an upstream of each of two software versions. Each run at
// the first one breaks off after an event; only that one takes the first run of the item.
func withTwoVersions(t *testing.T, test func(f *fleet, v *vm)) {
	t.Helper()
	inFleet(t, 2, func(upstream string, r *http.Request) standin.Plan {
		plan := fastPlan(upstream, r)
		if upstream == "u0" {
			plan.BreakAfter = 1
		}
		return plan
	}, func(f *fleet) {
		f.placerUpstreams[0].Version, f.placerUpstreams[1].Version = "v1", "v2"
		f.placerUpstreams[1].Draining = true
		v := f.start("a")
		defer v.stop()
		f.submit(v, 1)
		time.Sleep(250 * time.Millisecond)
		f.placerUpstreams[1].Draining = false
		test(f, v)
	})
}

// Guards against: the output of an item is joined from two software versions of its service.
func TestItemGoesOnAtTheVersionOfItsOutput(t *testing.T) {
	withTwoVersions(t, func(f *fleet, v *vm) {
		v.placer.SetUpstreams(f.placerUpstreams)
		f.expectResults(v, 10*time.Second, "item0 ok")
		qt.Check(f.t, f.upstreams[1].Runs(), qt.HasLen, 0)
	})
}

func TestItemStartsAgainIfTheVersionOfItsOutputIsGone(t *testing.T) {
	withTwoVersions(t, func(f *fleet, v *vm) {
		v.placer.SetUpstreams(f.placerUpstreams[1:])
		f.expectResults(v, 10*time.Second, "item0 ok")
		runs := f.upstreams[1].Runs()
		qt.Assert(f.t, runs, qt.HasLen, 1)
		qt.Check(f.t, runs[0].LastEvent, qt.Equals, 0)
	})
}

// searchCounter counts the searches for a slot.
type searchCounter struct {
	batchrunner.Placer
	searches atomic.Int32
}

func (c *searchCounter) AcquireBatch(work placer.BatchWork, now time.Time) (*placer.Slot, bool) {
	c.searches.Add(1)
	return c.Placer.AcquireBatch(work, now)
}

// Guards against: each of the items that have yielded searches all upstreams for a slot, again
// at each change of the load, while none is free.
func TestItemsThatWaitForTheSameUpstreamsSearchOnce(t *testing.T) {
	const upstreams = 10
	inFleet(t, upstreams, fastPlan, func(f *fleet) {
		counter := &searchCounter{}
		f.wrapPlacer = func(p batchrunner.Placer) batchrunner.Placer {
			counter.Placer = p
			return counter
		}
		v := f.start("a")
		defer v.stop()
		f.submit(v, upstreams)
		time.Sleep(250 * time.Millisecond) // each item has some output
		busy := placer.Report{}
		for n := range upstreams {
			busy[fmt.Sprint("u", n)] = placer.Count{Online: 2}
		}
		v.placer.ReceiveReport("b", busy, time.Now())
		v.runner.Wake()
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		qt.Check(f.t, v.placer.Report(), qt.HasLen, 0)
		before := counter.searches.Load()
		v.runner.Wake()
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		searches := counter.searches.Load() - before
		qt.Check(f.t, searches > 0 && searches <= 2, qt.IsTrue, qt.Commentf("%d", searches))
	})
}

// Guards against: the output of all items of a version that is gone for a moment is dropped, although
// there is a slot for none of them.
func TestItemsKeepTheirOutputWhileNothingIsFree(t *testing.T) {
	inFleet(t, 3, fastPlan, func(f *fleet) {
		for i, version := range []string{"v1", "v1", "v2"} {
			f.placerUpstreams[i].Version = version
		}
		f.placerUpstreams[2].Draining = true
		v := f.start("a")
		defer v.stop()
		f.submit(v, 2)
		time.Sleep(250 * time.Millisecond) // both have some output of v1
		v.placer.ReceiveReport("b", placer.Report{"u0": {Online: 2}, "u1": {Online: 2}, "u2": {Online: 2}}, time.Now())
		v.runner.Wake()
		time.Sleep(10 * time.Millisecond)
		f.placerUpstreams[2].Draining = false
		v.placer.SetUpstreams(f.placerUpstreams[2:])
		v.runner.Wake()
		time.Sleep(time.Second)
		restarts := v.counters.Get("items_restarted_total")
		qt.Check(f.t, restarts, qt.Equals, uint64(1), qt.Commentf("the one that has looked for a slot"))
	})
}
