package gateway_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/faces/gateway"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// withTarget gives the routes a latency target.
func (v *vm) withTarget(target time.Duration) {
	list := routes()
	for i := range list {
		list[i].LatencyTarget = target
	}
	v.gateway.SetTable(router.NewTable(router.Configuration{Version: 2, Routes: list}))
}

// reportOnline delivers a report of another VM's requests on the first upstream.
func (v *vm) reportOnline(n int) {
	v.placer.ReceiveReport("other", placer.Report{"u0": {Online: n}}, time.Now())
}

func (v *vm) expectServed(t *testing.T) {
	t.Helper()
	status, _, _ := v.call("/safe/x", time.Second)
	qt.Check(t, status, qt.Equals, http.StatusOK)
}

// Guards against: a slot that this VM releases is noticed at the next poll only.
func TestReleasedSlotGoesToAWaitingRequestAtOnce(t *testing.T) {
	const duration, target = 100 * time.Millisecond, 50 * time.Millisecond
	withVM(t, []standin.Plan{{Body: "ok", Gap: duration}}, func(v *vm) {
		v.withTarget(target)
		start := time.Now()
		var group sync.WaitGroup
		for range 2 {
			group.Go(func() { v.expectServed(t) })
		}
		group.Wait()
		qt.Check(t, time.Since(start), qt.Equals, 2*duration)
	})
}

// Guards against: a slot that another VM releases is never noticed.
func TestSlotOfAnotherVMIsFoundAtTheNextPoll(t *testing.T) {
	const heldFor = 100 * time.Millisecond
	withVM(t, []standin.Plan{healthy}, func(v *vm) {
		v.withTarget(50 * time.Millisecond)
		v.reportOnline(1)
		time.AfterFunc(heldFor, func() { v.reportOnline(0) })
		start := time.Now()
		v.expectServed(t)
		took := time.Since(start)
		qt.Check(t, took >= heldFor && took <= heldFor+2*gateway.SlotPollInterval, qt.IsTrue)
	})
}

// Guards against: a caller waits until its deadline for a slot that it can't get.
func TestRequestThatCanNotBeServedInTimeIsRejectedAtOnce(t *testing.T) {
	withVM(t, []standin.Plan{{Body: "ok", Gap: 500 * time.Millisecond}}, func(v *vm) {
		v.expectServed(t) // it shows how long a request holds a slot
		v.reportOnline(8)
		start := time.Now()
		request, err := standin.NewRequest(http.MethodPost, "http://vm:1/unsafe/x", "h", "id", time.Second)
		qt.Assert(t, err, qt.IsNil)
		response, err := v.client.Do(request)
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = response.Body.Close() }()
		qt.Check(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, time.Since(start), qt.Equals, time.Duration(0))
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, seconds >= 1, qt.IsTrue)
		qt.Check(t, v.runs(), qt.Equals, 1)
	})
}
