package linkmeter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/linkmeter"
)

type sums map[string]int

func (s sums) Add(name string, n int) { s[name] += n }

func TestTrafficStaysWithinTheBudget(t *testing.T) {
	counted := sums{}
	m := linkmeter.New(counted)
	m.SetBudget(8, 4) // 250 kB per second for this VM
	start := time.Now()
	sent := 0
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if m.Allows(now) {
			m.Count(linkmeter.PurposeOnline, 20_000, now)
			sent += 20_000
		}
	}
	const perSecond, burst = 250_000, 500_000
	qt.Check(t, sent <= 20*perSecond+burst+20_000, qt.IsTrue, qt.Commentf("%d bytes", sent))
	qt.Check(t, sent >= 19*perSecond, qt.IsTrue, qt.Commentf("%d bytes", sent))
	qt.Check(t, counted[`region_link_bytes_total{purpose="online"}`], qt.Equals, sent)
}

func TestWithoutABudgetAllIsAllowed(t *testing.T) {
	m := linkmeter.New(sums{})
	m.Count(linkmeter.PurposeOnline, 1<<30, time.Now())
	qt.Check(t, m.Allows(time.Now()), qt.IsTrue)
}
