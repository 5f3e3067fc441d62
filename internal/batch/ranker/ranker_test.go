package ranker_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/ranker"
)

const run = 5 * time.Second

func expectOrder(t *testing.T, now time.Duration, items []ranker.Item, want ...string) {
	t.Helper()
	ranker.Sort(items, now, run)
	var got []string
	for _, i := range items {
		got = append(got, fmt.Sprint(i.Job, i.Index))
	}
	qt.Check(t, got, qt.DeepEquals, want)
}

func TestOrder(t *testing.T) {
	t.Run("earliest deadline first", func(t *testing.T) {
		expectOrder(t, 0, []ranker.Item{{Job: "b", Due: 20 * time.Second}, {Job: "a", Due: 18 * time.Second}}, "a0", "b0")
	})
	t.Run("what has got farthest in a job first", func(t *testing.T) {
		expectOrder(t, 0, []ranker.Item{
			{Job: "a", Index: 0, Due: 18 * time.Second}, {Job: "a", Index: 1, Due: 18 * time.Second, CompletedFraction: 0.5},
		}, "a1", "a0")
	})
	t.Run("what can't be in time waits", func(t *testing.T) {
		expectOrder(t, 15*time.Second, []ranker.Item{
			{Job: "a", Index: 0, Due: 18 * time.Second},
			{Job: "a", Index: 1, Due: 18 * time.Second, CompletedFraction: 0.8},
			{Job: "b", Due: 30 * time.Second},
		}, "a1", "b0", "a0")
	})
}

// serve runs jobs of one item each, which come in one after the other, on so
// many places, and returns how many are done in time.
func serve(jobs, places int, every time.Duration, order func(items []ranker.Item, now time.Duration)) int {
	const target, step = 18 * time.Second, 100 * time.Millisecond
	var waiting []ranker.Item
	type running struct{ ends, due time.Duration }
	var active []running
	inTime, next := 0, 0
	for now := time.Duration(0); now < 2*time.Minute; now += step {
		for ; next < jobs && time.Duration(next)*every <= now; next++ {
			waiting = append(waiting, ranker.Item{Job: fmt.Sprintf("%04d", next), Due: time.Duration(next)*every + target})
		}
		var still []running
		for _, r := range active {
			switch {
			case r.ends > now:
				still = append(still, r)
			case r.ends <= r.due:
				inTime++
			}
		}
		active = still
		order(waiting, now)
		for len(active) < places && len(waiting) > 0 {
			active = append(active, running{ends: now + run, due: waiting[0].Due})
			waiting = waiting[1:]
		}
	}
	return inTime
}

// Twice as many jobs as there is room for, all due after the same time: by
// deadline alone, nearly all are late once the line is longer than the target.
func TestFloodOfJobs(t *testing.T) {
	ranked := serve(400, 10, 250*time.Millisecond, func(items []ranker.Item, now time.Duration) {
		ranker.Sort(items, now, run)
	})
	byDeadline := serve(400, 10, 250*time.Millisecond, func([]ranker.Item, time.Duration) {})
	room := 10 * 100 / 5 // places, for the 100 seconds in which jobs come, in runs
	qt.Check(t, ranked >= room*9/10, qt.IsTrue, qt.Commentf("%d of %d", ranked, room))
	qt.Check(t, byDeadline < ranked/2, qt.IsTrue, qt.Commentf("%d by deadline alone", byDeadline))
}

func TestALoadThatFitsLosesNothing(t *testing.T) {
	ranked := serve(150, 10, 550*time.Millisecond, func(items []ranker.Item, now time.Duration) {
		ranker.Sort(items, now, run)
	})
	qt.Check(t, ranked, qt.Equals, 150)
}
