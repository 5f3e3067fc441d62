package arrivalbounder_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/arrivalbounder"
)

var bounds = arrivalbounder.Bounds{Start: time.Second, Stall: 2 * time.Second, Total: 10 * time.Second}

// expectEnd makes a call of which something arrives after each pause, and checks when and why it ends.
func expectEnd(t *testing.T, after time.Duration, cause error, pauses ...time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ctx, b := arrivalbounder.Start(t.Context(), bounds)
		defer b.Stop()
		answer := b.Reader(strings.NewReader(strings.Repeat("a", len(pauses))))
		for _, pause := range pauses {
			time.Sleep(pause)
			_, err := io.ReadFull(answer, make([]byte, 1))
			qt.Check(t, err, qt.IsNil)
		}
		<-ctx.Done()
		qt.Check(t, time.Since(began), qt.Equals, after)
		qt.Check(t, b.Cause(), qt.Equals, cause)
		qt.Check(t, context.Cause(ctx), qt.ErrorIs, context.DeadlineExceeded)
	})
}

// Guards against: a call is aborted while its answer arrives, or kept although nothing more comes.
func TestCallIsBoundedByWhatArrives(t *testing.T) {
	const second, half = time.Second, 500 * time.Millisecond
	t.Run("nothing arrives", func(t *testing.T) { expectEnd(t, second, arrivalbounder.ErrNotStarted) })
	t.Run("arrives slowly, then stands still", func(t *testing.T) {
		expectEnd(t, half+2*second+2*second, arrivalbounder.ErrStalled, half, second, second)
	})
	t.Run("arrives without end", func(t *testing.T) {
		pauses := []time.Duration{half}
		for range 10 {
			pauses = append(pauses, second)
		}
		expectEnd(t, 11*second, nil, pauses...)
	})
	t.Run("ends by itself", func(t *testing.T) {
		ctx, b := arrivalbounder.Start(t.Context(), bounds)
		b.Stop()
		qt.Check(t, ctx.Err(), qt.IsNotNil)
		qt.Check(t, b.Cause(), qt.IsNil)
	})
}
