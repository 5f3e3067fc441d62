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
	paced     = standin.Plan{Events: streamEvents, Gap: 30 * time.Millisecond}
	goesDark  = standin.Plan{Events: streamEvents, Gap: 30 * time.Millisecond, StallAfter: 5}
	neverOver = 30 * time.Second // longer than any wait
)

// inPacedVM is inVM, on a gateway that has seen how fast its upstreams answer, before
// upstreams that then do as planned.
func inPacedVM(t *testing.T, path string, then []standin.Plan, test func(v *vm)) {
	t.Helper()
	plans := make([]standin.Plan, len(then))
	inVM(t, plans, func(v *vm) {
		for n := range v.upstreams {
			v.upstreams[n].SetPlan(paced)
			if path == "/safe/x" {
				v.upstreams[n].SetPlan(standin.Plan{Body: "ok", Gap: 20 * time.Millisecond})
			}
		}
		for range 5 {
			_, _, whole := v.call(path, neverOver)
			qt.Assert(v.t, whole, qt.IsTrue)
		}
		for n, plan := range then {
			v.upstreams[n].SetPlan(plan)
		}
		test(v)
	})
}

// An upstream falls silent in the middle of a stream that may go on elsewhere.
func TestAStreamLeavesAnUpstreamThatFallsSilent(t *testing.T) {
	inPacedVM(t, "/resume/x", []standin.Plan{goesDark, paced}, func(v *vm) {
		for range 3 {
			began := time.Now()
			_, body, whole := v.call("/resume/x", neverOver)
			qt.Check(v.t, whole, qt.IsTrue)
			qt.Check(v.t, strings.Count(body, "data:"), qt.Equals, streamEvents)
			qt.Check(v.t, time.Since(began) < 3*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(began)))
		}
	})
}

// A stream that may run once only has nowhere to go: what is silent may come back.
func TestAStreamThatRunsOnceStaysWithASilentUpstream(t *testing.T) {
	pauses := standin.Plan{Events: 3, Gap: 6 * time.Second}
	inPacedVM(t, "/resume/x", []standin.Plan{pauses}, func(v *vm) {
		v.gateway.SetTable(untimed())
		_, body, whole := v.call("/stream/x", 0)
		qt.Check(v.t, whole, qt.IsTrue)
		qt.Check(v.t, strings.Count(body, "data:"), qt.Equals, 3)
	})
}

// A plain request that may be repeated goes elsewhere in time for its deadline, and
// the next ones avoid the upstream.
func TestAPlainRequestLeavesASilentUpstream(t *testing.T) {
	quick := standin.Plan{Body: "ok", Gap: 20 * time.Millisecond}
	inPacedVM(t, "/safe/x", []standin.Plan{{NeverAnswer: true}, quick}, func(v *vm) {
		slow := 0
		for range 4 {
			began := time.Now()
			status, _, _ := v.call("/safe/x", 1200*time.Millisecond)
			qt.Check(v.t, status, qt.Equals, http.StatusOK)
			if time.Since(began) > 100*time.Millisecond {
				slow++
			}
		}
		qt.Check(v.t, slow <= 1, qt.IsTrue, qt.Commentf("%d of 4 requests met the silent upstream", slow))
	})
}

// A long answer that comes slowly is sound. Its head has gone to the caller, so there
// is nothing to replace it with.
func TestALongPlainAnswerIsNotCutForItsSlowness(t *testing.T) {
	inPacedVM(t, "/safe/x", []standin.Plan{{BodyBytes: 4 << 20, BodyGap: 10 * time.Millisecond}}, func(v *vm) {
		v.gateway.SetTable(untimed())
		_, body, whole := v.call("/safe/x", 0)
		qt.Check(v.t, whole, qt.IsTrue)
		qt.Check(v.t, len(body), qt.Equals, 4<<20)
	})
}
