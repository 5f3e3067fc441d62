package batchrunner_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
