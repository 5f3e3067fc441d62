package stepper_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/control/stepper"
)

func TestPanicLosesOnlyItsOwnEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		panics := 0
		guard := func(_ string, step func()) {
			defer func() {
				if recover() != nil {
					panics++
				}
			}()
			step()
		}
		steps := 0
		loop := stepper.New(time.Hour, func(time.Time) {}, func(time.Time) {}, stepper.WithGuard(guard))
		loop.Start()
		loop.Post(func(time.Time) { panic("bad event") })
		loop.Go(func(context.Context) stepper.Event { return func(time.Time) { steps++ } })
		synctest.Wait()
		loop.Stop()
		qt.Check(t, panics, qt.Equals, 1)
		qt.Check(t, steps, qt.Equals, 1)
	})
}
