package supervisor_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/supervisor"
)

func newSupervisor() (*supervisor.Supervisor, *counter.Counters) {
	counters := counter.New(metrics.NewSet())
	return supervisor.New(counters, slog.New(slog.DiscardHandler)), counters
}

func TestAPanicEndsItsTaskOnly(t *testing.T) {
	s, counters := newSupervisor()
	s.Go("bad", func() { panic("bad message") })
	s.Go("good", func() {})
	s.Wait()
	qt.Check(t, counters.Get(`panics_total{task="bad"}`), qt.Equals, uint64(1))
	qt.Check(t, counters.Get(`panics_total{task="good"}`), qt.Equals, uint64(0))
}

func TestGoWithRestartRestartsAfterAPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, counters := newSupervisor()
		runs := 0
		s.GoWithRestart(t.Context(), "task", func(context.Context) {
			if runs++; runs < 3 {
				panic("bad row")
			}
		})
		s.Wait()
		qt.Check(t, runs, qt.Equals, 3)
		qt.Check(t, counters.Get(`panics_total{task="task"}`), qt.Equals, uint64(2))
	})
}

func TestTryReturnsThePanic(t *testing.T) {
	s, _ := newSupervisor()
	qt.Check(t, s.Try("task", func() error { panic("x") }), qt.ErrorIs, supervisor.ErrPanic)
	qt.Check(t, s.Try("task", func() error { return context.Canceled }), qt.ErrorIs, context.Canceled)
}
