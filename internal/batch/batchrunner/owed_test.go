package batchrunner_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// calmTime is how long an item may take to complete after the last fault: the platform's
// time to finish what is owed.
const calmTime = 18 * time.Second

// expectOwed checks that an item whose first runs end by a fault completes within calmTime
// after them.
func expectOwed(t *testing.T, upstreams, faultyRuns int, faulty standin.Plan, faultTime time.Duration) {
	t.Helper()
	var runs atomic.Int32
	plan := func(string, *http.Request) standin.Plan {
		if int(runs.Add(1)) <= faultyRuns {
			return faulty
		}
		return standin.Plan{Events: 5, Gap: time.Millisecond}
	}
	inFleet(t, upstreams, plan, func(f *fleet) {
		v := f.start("a")
		defer v.stop()
		f.submit(v, 1)
		f.expectResults(v, faultTime+calmTime, "item0 ok")
	})
}

// Guards against: an item that ran on several upstreams when they crashed is never placed
// again, although all is calm and there is room.
func TestItemUnderWhichUpstreamsCrashedIsStillOwed(t *testing.T) {
	crash := standin.Plan{BodyBytes: 1, BreakBody: true} // ends within the first event
	t.Run("after a few crashes", func(t *testing.T) { expectOwed(t, 2, 3, crash, 10*time.Second) })
	t.Run("after many crashes", func(t *testing.T) { expectOwed(t, 2, 8, crash, 30*time.Second) })
}

// Guards against: an item is never placed again because the only upstream of its service
// once broke off or did not run it.
func TestItemReturnsToTheOnlyUpstream(t *testing.T) {
	t.Run("that broke off", func(t *testing.T) {
		expectOwed(t, 1, 1, standin.Plan{Events: 5, BreakAfter: 3, Gap: time.Millisecond}, 0)
	})
	t.Run("that failed", func(t *testing.T) {
		expectOwed(t, 1, 1, standin.Plan{Status: http.StatusInternalServerError}, 0)
	})
	t.Run("that did not run it", func(t *testing.T) { expectOwed(t, 1, 1, standin.Plan{NotRun: true}, 0) })
}

// Guards against: an item that runs when its job expires is cancelled and started again,
// many times a second and without end.
func TestItemThatRunsWhenItsJobExpiresIsAbandoned(t *testing.T) {
	slow := func(string, *http.Request) standin.Plan {
		return standin.Plan{Events: 1 << 10, Gap: time.Second}
	}
	inFleet(t, 1, slow, func(f *fleet) {
		v := f.start("a")
		defer v.stop()
		f.submit(v, 1)
		f.expectResults(v, 62*time.Second, "item0 given up")
		qt.Check(t, f.runs(), qt.HasLen, 1)
	})
}

// Guards against: an answer that has neither a length nor chunks ends before its first event,
// and an item that resumes there counts as complete, without its last events.
func TestItemIsNotCompleteWithAnAnswerThatEndsAtOnce(t *testing.T) {
	var runs atomic.Int32
	plan := func(string, *http.Request) standin.Plan {
		switch runs.Add(1) {
		case 1:
			return standin.Plan{Events: 5, BreakAfter: 3, Gap: time.Millisecond}
		case 2:
			return standin.Plan{Events: 1, Unframed: true} // has no event after the third
		default:
			return standin.Plan{Events: 5, Gap: time.Millisecond}
		}
	}
	inFleet(t, 2, plan, func(f *fleet) {
		v := f.start("a")
		defer v.stop()
		f.submit(v, 1)
		f.expectResults(v, calmTime, "item0 ok")
	})
}
