package gateway_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/faces/gateway"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// Guards against: an upstream that says how many requests it accepts gets more, and those
// beyond that are kept waiting instead of being rejected while they can still go elsewhere.
func TestRequestsBeyondTheLimitOfTheOnlyUpstreamAreRejectedAtOnce(t *testing.T) {
	withVM(t, []standin.Plan{{Body: "ok", RateLimit: "0.5"}}, func(v *vm) {
		status, _, _ := v.call("/safe/x", time.Second)
		qt.Check(t, status, qt.Equals, http.StatusOK)
		for range 10 {
			start := time.Now()
			status, _, _ = v.call("/safe/x", time.Second)
			qt.Check(t, status, qt.Equals, http.StatusServiceUnavailable)
			qt.Check(t, time.Since(start) <= gateway.MaxLimitWait+2*gateway.SlotPollInterval, qt.IsTrue)
		}
		qt.Check(t, v.runs(), qt.Equals, 1)
		time.Sleep(2 * time.Second)
		status, _, _ = v.call("/safe/x", time.Second)
		qt.Check(t, status, qt.Equals, http.StatusOK)
	})
}

func TestUpstreamThatAcceptsNothingIsAskedRarely(t *testing.T) {
	withVM(t, []standin.Plan{{Body: "ok", RateLimit: "0"}}, func(v *vm) {
		for range 300 {
			v.call("/safe/x", time.Second)
			time.Sleep(50 * time.Millisecond)
		}
		qt.Check(v.t, v.runs() >= 2 && v.runs() <= 5, qt.IsTrue, qt.Commentf("%d", v.runs()))
	})
}

func TestRateLimitThatCanNotBeReadChangesNothing(t *testing.T) {
	withVM(t, []standin.Plan{{Body: "ok", RateLimit: "many"}}, func(v *vm) {
		for range 10 {
			status, _, _ := v.call("/safe/x", time.Second)
			qt.Check(v.t, status, qt.Equals, http.StatusOK)
		}
		v.upstreams[0].SetPlan(standin.Plan{Body: "ok", RateLimit: "0.5"})
		v.call("/safe/x", time.Second)
		v.upstreams[0].SetPlan(standin.Plan{Body: "ok", RateLimit: "many"})
		time.Sleep(2 * time.Second)
		v.call("/safe/x", time.Second)
		status, _, _ := v.call("/safe/x", time.Second)
		qt.Check(v.t, status, qt.Equals, http.StatusServiceUnavailable)
	})
}
