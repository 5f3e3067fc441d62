package rationer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

func TestReservations(t *testing.T) {
	r := rationer.New(100)
	a, b := r.NewReservation(), r.NewReservation()
	qt.Check(t, a.Grow(60), qt.IsTrue)
	qt.Check(t, b.Grow(50), qt.IsFalse)
	qt.Check(t, b.Grow(40), qt.IsTrue)
	a.Release()
	a.Release()
	qt.Check(t, r.Available(), qt.Equals, int64(60))
	var none *rationer.Reservation
	none.Release()
}
