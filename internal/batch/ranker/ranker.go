// Package ranker decides in which order batch items wait for room. It has no
// network and no clock.
package ranker

import (
	"cmp"
	"slices"
	"time"
)

// Item is what the order goes by.
type Item struct {
	// Job and Index name the item; they break ties the same way everywhere.
	Job   string
	Index int
	// Due is when the job's results are due.
	Due time.Duration
	// CompletedFraction is the part of its run that an item has behind it, from 0 to 1.
	CompletedFraction float64
}

// Sort sorts items into the order in which they get room, at a moment, if a
// whole run takes so long.
//
// Under a flood of jobs, the order of deadlines alone serves nobody: the items at
// the front are always those that are already late, and by the time that they
// are done the next ones are late too. Items that can't be done in time
// therefore wait until those that can have room. Among either, jobs go by their
// deadline, and in a job the items that have got farthest go first.
func Sort(items []Item, now, run time.Duration) {
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(
			compareBool(a.isLate(now, run), b.isLate(now, run)),
			cmp.Compare(a.Due, b.Due),
			cmp.Compare(a.Job, b.Job),
			cmp.Compare(b.CompletedFraction, a.CompletedFraction),
			cmp.Compare(a.Index, b.Index),
		)
	})
}

// isLate tells whether an item can't be done in time even if it starts now.
func (i Item) isLate(now, run time.Duration) bool { return now > i.LatestStart(run) }

// LatestStart returns when an item must start to be done in time, if a whole run
// takes so long.
func (i Item) LatestStart(run time.Duration) time.Duration {
	return i.Due - time.Duration((1-i.CompletedFraction)*float64(run))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
