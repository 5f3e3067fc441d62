package sleeper_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
)

func TestSleepForNoTime(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for _, d := range []time.Duration{0, -time.Second} {
		for range 100 {
			qt.Check(t, sleeper.Sleep(t.Context(), d), qt.IsTrue)
			qt.Check(t, sleeper.Sleep(ended, d), qt.IsFalse)
		}
	}
}
