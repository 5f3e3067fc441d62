package riskestimator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/riskestimator"
)

const (
	interval = 50 * time.Millisecond // between two requests
	certain  = 0.1                   // a probability that keeps requests away while others have room
	doubtful = 0.05                  // a probability that doesn't
)

// history is the outcomes of an upstream's requests, one each interval.
type history struct {
	estimate riskestimator.Estimate
	now      time.Time
}

func newHistory() *history { return &history{now: time.Unix(1_700_000_000, 0)} }

// add adds n requests, of which each failEvery-th fails; 0 for none.
func (h *history) add(n, failEvery int) *history {
	for i := range n {
		h.now = h.now.Add(interval)
		if failEvery > 0 && i%failEvery == 0 {
			h.estimate.RecordFailure(h.now)
		} else {
			h.estimate.RecordAnswers(1, h.now)
		}
	}
	return h
}

func (h *history) wait(d time.Duration) *history {
	h.now = h.now.Add(d)
	return h
}

func (h *history) expectCertain(t *testing.T) {
	t.Helper()
	got := h.estimate.FailureProbability(h.now)
	qt.Check(t, got >= certain, qt.IsTrue, qt.Commentf("%.3f", got))
}

func (h *history) expectAtMost(t *testing.T, probability float64) {
	t.Helper()
	got := h.estimate.FailureProbability(h.now)
	qt.Check(t, got <= probability, qt.IsTrue, qt.Commentf("%.3f", got))
}

func TestFailureProbability(t *testing.T) {
	t.Run("no request", func(t *testing.T) { newHistory().expectAtMost(t, 0) })
	t.Run("only answers", func(t *testing.T) { newHistory().add(100, 0).expectAtMost(t, 0) })
	t.Run("a single failure", func(t *testing.T) { newHistory().add(1, 1).expectAtMost(t, doubtful) })
	t.Run("every third fails", func(t *testing.T) { newHistory().add(7, 3).expectCertain(t) })
	t.Run("all fail", func(t *testing.T) { newHistory().add(3, 1).expectCertain(t) })
	t.Run("one in thirty fails", func(t *testing.T) { newHistory().add(300, 30).expectAtMost(t, doubtful) })
	t.Run("answers for long before failures", func(t *testing.T) {
		newHistory().add(1000, 0).add(7, 3).expectCertain(t)
	})
	t.Run("answers after failures", func(t *testing.T) { newHistory().add(9, 3).add(12, 0).expectAtMost(t, doubtful) })
	t.Run("avoided since its failures", func(t *testing.T) {
		newHistory().add(30, 1).wait(time.Second).expectCertain(t)
		newHistory().add(30, 1).wait(5*time.Second).expectAtMost(t, doubtful)
	})
}

func TestIsFaulty(t *testing.T) {
	expectFaulty := func(t *testing.T, h *history, want bool) {
		t.Helper()
		qt.Check(t, h.estimate.IsFaulty(h.now), qt.Equals, want)
	}
	t.Run("every third fails", func(t *testing.T) { expectFaulty(t, newHistory().add(7, 3), true) })
	t.Run("a single failure", func(t *testing.T) { expectFaulty(t, newHistory().add(1, 1), false) })
	t.Run("only answers", func(t *testing.T) { expectFaulty(t, newHistory().add(100, 0), false) })
}
