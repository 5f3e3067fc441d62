package runestimator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/runestimator"
)

// Guards against: before the first item is complete, items count as nearly complete or as instantaneous.
func TestEstimateWithoutItems(t *testing.T) {
	var e runestimator.Estimator
	qt.Check(t, e.RunTime(), qt.Equals, 5*time.Second)
	qt.Check(t, e.Fraction(1000), qt.Equals, 0.0)
}

// Guards against: one unusual item decides what is expected of all others, or none changes it.
func TestEstimateFollowsItems(t *testing.T) {
	var e runestimator.Estimator
	e.Record(time.Second, 1000)
	qt.Check(t, e.RunTime(), qt.Equals, time.Second)
	qt.Check(t, e.Fraction(500), qt.Equals, 0.5)
	qt.Check(t, e.Fraction(5000), qt.Equals, 1.0)
	e.Record(11*time.Second, 11_000)
	qt.Check(t, e.RunTime(), qt.Equals, 2*time.Second)
	qt.Check(t, e.Fraction(1000), qt.Equals, 0.5)
}
