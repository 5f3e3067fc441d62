package repeater_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/repeater"
)

// expectSteps runs a step with a pause of a minute for an hour, and counts it.
func expectSteps(t *testing.T, want int, meanwhile func(r *repeater.Repeater)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour-time.Second)
		defer cancel()
		r := repeater.New()
		var group sync.WaitGroup
		steps := 0
		group.Go(func() {
			r.Run(ctx, func(context.Context) time.Duration {
				steps++
				return time.Minute
			})
		})
		meanwhile(r)
		group.Wait()
		qt.Check(t, steps, qt.Equals, want)
	})
}

func TestStepIsRepeatedAfterItsPause(t *testing.T) { expectSteps(t, 60, func(*repeater.Repeater) {}) }

func TestStepIsRepeatedAtOnceWhenWoken(t *testing.T) {
	expectSteps(t, 61, func(r *repeater.Repeater) {
		time.Sleep(30 * time.Second) // the next pauses begin later by half a minute
		r.Wake()
	})
}
