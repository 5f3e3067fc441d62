package drainer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/drainer"
)

// Guards against: a process that will end takes a request that it must cut.
func TestPlan(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	expectTooLate := func(plan *drainer.Plan, deadline, now time.Time, want bool) {
		t.Helper()
		qt.Check(t, plan.IsTooLate(deadline, now), qt.Equals, want)
	}
	plan := drainer.NewPlan(at(3), at(7))
	expectTooLate(plan, at(9), at(2), false) // the balancer may still send callers
	expectTooLate(plan, at(9), at(3), true)
	expectTooLate(plan, at(7), at(3), false)
	expectTooLate(plan, time.Time{}, at(2), false)
	expectTooLate(plan, time.Time{}, at(3), true)
	expectTooLate(nil, time.Time{}, at(3), false)
}
