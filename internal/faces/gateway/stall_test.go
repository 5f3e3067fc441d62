package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/platform/standin"
)

const streamEvents = 20

var (
	paced        = standin.Plan{Events: streamEvents, Gap: 30 * time.Millisecond}
	stalling     = standin.Plan{Events: streamEvents, Gap: 30 * time.Millisecond, StallAfter: 5}
	longDeadline = 30 * time.Second // longer than any stall timeout
)

// withWarmVM is withVM on a gateway that has already measured the speed of its
// upstreams on a path. The plans apply from then on.
func withWarmVM(t *testing.T, path string, then []standin.Plan, test func(v *vm)) {
	t.Helper()
	plans := make([]standin.Plan, len(then))
	withVM(t, plans, func(v *vm) {
		for n := range v.upstreams {
			v.upstreams[n].SetPlan(paced)
			if path == "/safe/x" {
				v.upstreams[n].SetPlan(standin.Plan{Body: "ok", Gap: 20 * time.Millisecond})
			}
		}
		for range 5 {
			_, _, complete := v.call(path, longDeadline)
			qt.Assert(v.t, complete, qt.IsTrue)
		}
		for n, plan := range then {
			v.upstreams[n].SetPlan(plan)
		}
		test(v)
	})
}

// An upstream stops sending in the middle of a stream that another upstream may resume.
func TestAStreamFailsOverFromAnUnresponsiveUpstream(t *testing.T) {
	withWarmVM(t, "/resume/x", []standin.Plan{stalling, paced}, func(v *vm) {
		for range 3 {
			start := time.Now()
			_, body, complete := v.call("/resume/x", longDeadline)
			qt.Check(v.t, complete, qt.IsTrue)
			qt.Check(v.t, strings.Count(body, "data:"), qt.Equals, streamEvents)
			qt.Check(v.t, time.Since(start) < 3*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(start)))
		}
	})
}

// A stream that may run only once can't fail over, so it waits through long pauses: the
// upstream may continue.
func TestAStreamThatCannotFailOverWaitsForItsUpstream(t *testing.T) {
	pauses := standin.Plan{Events: 3, Gap: 6 * time.Second}
	withWarmVM(t, "/resume/x", []standin.Plan{pauses}, func(v *vm) {
		v.gateway.SetTable(tableWithoutTimeouts())
		_, body, complete := v.call("/stream/x", 0)
		qt.Check(v.t, complete, qt.IsTrue)
		qt.Check(v.t, strings.Count(body, "data:"), qt.Equals, 3)
	})
}

// A repeatable plain request fails over early enough to meet its deadline, and later
// requests avoid the unresponsive upstream.
func TestAPlainRequestFailsOverFromAnUnresponsiveUpstream(t *testing.T) {
	quick := standin.Plan{Body: "ok", Gap: 20 * time.Millisecond}
	withWarmVM(t, "/safe/x", []standin.Plan{{NeverAnswer: true}, quick}, func(v *vm) {
		slow := 0
		for range 4 {
			start := time.Now()
			status, _, _ := v.call("/safe/x", 1200*time.Millisecond)
			qt.Check(v.t, status, qt.Equals, http.StatusOK)
			if time.Since(start) > 100*time.Millisecond {
				slow++
			}
		}
		qt.Check(v.t, slow <= 1, qt.IsTrue, qt.Commentf("%d of 4 requests were delayed by the unresponsive upstream", slow))
	})
}

// A long answer that arrives slowly is not a stall. Its head has been sent to the
// caller, so the request can't fail over.
func TestASlowLongPlainAnswerIsNotAborted(t *testing.T) {
	withWarmVM(t, "/safe/x", []standin.Plan{{BodyBytes: 4 << 20, BodyGap: 10 * time.Millisecond}}, func(v *vm) {
		v.gateway.SetTable(tableWithoutTimeouts())
		_, body, complete := v.call("/safe/x", 0)
		qt.Check(v.t, complete, qt.IsTrue)
		qt.Check(v.t, len(body), qt.Equals, 4<<20)
	})
}
