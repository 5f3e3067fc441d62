package batchrunner_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// expectItemCompleted submits a job with one item, and checks that it is completed with its whole output.
func expectItemCompleted(f *fleet) {
	v := f.start("a")
	defer v.stop()
	f.submit(v, 1)
	f.expectResults(v, 15*time.Second, "item0 ok")
}

// Guards against: an item breaks off, the next upstream answers with something that is no
// stream, and the item counts as completed with the part of its output that it had.
func TestItemIsNotCompletedByAnAnswerThatIsNoStream(t *testing.T) {
	expect := func(t *testing.T, second standin.Plan) {
		t.Helper()
		var runs atomic.Int32
		inFleet(t, 1, func(upstream string, r *http.Request) standin.Plan {
			plan := fastPlan(upstream, r)
			switch runs.Add(1) {
			case 1:
				plan.BreakAfter = 2
			case 2:
				return second
			}
			return plan
		}, expectItemCompleted)
	}
	t.Run("text", func(t *testing.T) { expect(t, standin.Plan{Body: "overloaded\n\n"}) })
	t.Run("nothing", func(t *testing.T) { expect(t, standin.Plan{}) })
	t.Run("an error", func(t *testing.T) { expect(t, standin.Plan{Status: 500, Body: "data: x\n\n"}) })
}

// Guards against: a server in trouble sends a sound head and bytes that are no events, and the item is listed as completed without
// its output, or with a part of it. That holds for the first run and for one that goes on.
func TestItemIsNotCompletedByAnAnswerThatIsNoSeriesOfEvents(t *testing.T) {
	expect := func(t *testing.T, breakage standin.Breakage, brokenRun int32) {
		t.Helper()
		var runs atomic.Int32
		inFleet(t, 2, func(upstream string, r *http.Request) standin.Plan {
			plan := fastPlan(upstream, r)
			switch runs.Add(1) {
			case brokenRun:
				plan.Breakage = breakage
			case 1:
				plan.BreakAfter = 2
			}
			return plan
		}, expectItemCompleted)
	}
	for _, breakage := range standin.BrokenEvents {
		t.Run(breakage.String(), func(t *testing.T) { expect(t, breakage, 1) })
		t.Run(breakage.String()+" that goes on", func(t *testing.T) { expect(t, breakage, 2) })
	}
}
