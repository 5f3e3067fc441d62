package gateway_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// Guards against: long events of many streams that take more than the VM's memory together.
func TestLongEventsStayWithinTheMemoryBudget(t *testing.T) {
	const availableBytes = 100 << 10
	expectDelivered := func(t *testing.T, plan standin.Plan, want bool) {
		t.Helper()
		withVM(t, plans(plan), func(v *vm) {
			reserved := v.memory.NewReservation()
			qt.Assert(v.t, reserved.Grow(v.memory.Available()-availableBytes), qt.IsTrue)
			status, _, complete := v.call("/stream/x", longDeadline)
			qt.Check(v.t, complete && status == http.StatusOK, qt.Equals, want)
			qt.Check(v.t, v.memory.Available(), qt.Equals, int64(availableBytes))
		})
	}
	t.Run("short events", func(t *testing.T) { expectDelivered(t, paced, true) })
	t.Run("long events that fit", func(t *testing.T) {
		expectDelivered(t, standin.Plan{Events: 3, CommentBytes: 20 << 10}, true)
	})
	t.Run("long events that don't fit", func(t *testing.T) {
		expectDelivered(t, standin.Plan{Events: 3, CommentBytes: 500 << 10}, false)
	})
}
