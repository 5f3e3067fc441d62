package ranker_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/ranker"
)

const runTime = 5 * time.Second

func expectOrder(t *testing.T, now time.Duration, items []ranker.Item, want ...string) {
	t.Helper()
	ranker.Sort(items, now, runTime)
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

// simulate runs jobs of one item each, which arrive at a fixed interval, on a number
// of slots and returns how many finish in time.
func simulate(jobs, slots int, interval time.Duration, order func(items []ranker.Item, now time.Duration)) int {
	const target, step = 18 * time.Second, 100 * time.Millisecond
	var waiting []ranker.Item
	type running struct{ end, due time.Duration }
	var active []running
	inTime, next := 0, 0
	for now := time.Duration(0); now < 2*time.Minute; now += step {
		for ; next < jobs && time.Duration(next)*interval <= now; next++ {
			waiting = append(waiting, ranker.Item{Job: fmt.Sprintf("%04d", next), Due: time.Duration(next)*interval + target})
		}
		var unfinished []running
		for _, r := range active {
			switch {
			case r.end > now:
				unfinished = append(unfinished, r)
			case r.end <= r.due:
				inTime++
			}
		}
		active = unfinished
		order(waiting, now)
		for len(active) < slots && len(waiting) > 0 {
			active = append(active, running{end: now + runTime, due: waiting[0].Due})
			waiting = waiting[1:]
		}
	}
	return inTime
}

// Guards against ordering by deadline alone. There are twice as many jobs as the slots
// can run, all due the same time after their arrival; by deadline alone, nearly all are
// late once the queue is longer than the target.
func TestSortFinishesMoreInTimeUnderOverload(t *testing.T) {
	ranked := simulate(400, 10, 250*time.Millisecond, func(items []ranker.Item, now time.Duration) {
		ranker.Sort(items, now, runTime)
	})
	byDeadline := simulate(400, 10, 250*time.Millisecond, func([]ranker.Item, time.Duration) {})
	capacity := 10 * 100 / 5 // runs that the slots complete in the 100 seconds in which jobs arrive
	qt.Check(t, ranked >= capacity*9/10, qt.IsTrue, qt.Commentf("%d of %d", ranked, capacity))
	qt.Check(t, byDeadline < ranked/2, qt.IsTrue, qt.Commentf("%d by deadline alone", byDeadline))
}

func TestLoadWithinCapacityFinishesInTime(t *testing.T) {
	ranked := simulate(150, 10, 550*time.Millisecond, func(items []ranker.Item, now time.Duration) {
		ranker.Sort(items, now, runTime)
	})
	qt.Check(t, ranked, qt.Equals, 150)
}
