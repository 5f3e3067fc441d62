package pacer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/pacer"
)

var start = time.Unix(1_700_000_000, 0)

// expectEventGapTimeout checks the timeout for an event after many events with the
// given gap.
func expectEventGapTimeout(t *testing.T, gap, want time.Duration) {
	t.Helper()
	p := pacer.New()
	for range 1000 {
		p.RecordEvent("s", "u", gap, start)
	}
	qt.Check(t, p.EventGapTimeout("s"), qt.Equals, want)
}

func TestTimeoutsScaleWithTheMeansOfTheService(t *testing.T) {
	t.Run("quick events, but a long prompt's pause", func(t *testing.T) {
		expectEventGapTimeout(t, 10*time.Millisecond, 600*time.Millisecond)
	})
	t.Run("slow events", func(t *testing.T) { expectEventGapTimeout(t, 100*time.Millisecond, 2*time.Second) })
	t.Run("very slow events", func(t *testing.T) { expectEventGapTimeout(t, 5*time.Second, pacer.MaxTimeout) })
	t.Run("nothing known", func(t *testing.T) {
		qt.Check(t, pacer.New().EventGapTimeout("s"), qt.Equals, pacer.MaxTimeout)
		qt.Check(t, pacer.New().AnswerTimeout("s"), qt.Equals, pacer.MaxTimeout)
	})
	t.Run("plain answers", func(t *testing.T) {
		p := pacer.New()
		p.RecordAnswer("s", "u", 100*time.Millisecond, start)
		qt.Check(t, p.AnswerTimeout("s"), qt.Equals, 800*time.Millisecond)
	})
}

func TestTimeoutsArePerService(t *testing.T) {
	p := pacer.New()
	p.RecordEvent("slow", "u1", time.Second, start)
	p.RecordEvent("quick", "u2", 10*time.Millisecond, start)
	qt.Check(t, p.EventGapTimeout("slow"), qt.Equals, pacer.MaxTimeout)
	qt.Check(t, p.EventGapTimeout("quick"), qt.Equals, 600*time.Millisecond)
}

func TestUpstreamThatAnswersOtherRequestsIsResponsive(t *testing.T) {
	p := pacer.New()
	p.RecordEvent("s", "u", 0, start.Add(time.Second))
	qt.Check(t, p.IsResponsive("u", start), qt.IsTrue)
	qt.Check(t, p.IsResponsive("u", start.Add(2*time.Second)), qt.IsFalse)
	p.RetainUpstreams(map[string]bool{"other": true})
	qt.Check(t, p.IsResponsive("u", start), qt.IsFalse)
}
