// Package ranker orders batch items that wait for a slot. It does no I/O and
// reads no clock.
package ranker

import (
	"cmp"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/comparer"
)

// Item has the properties of a batch item that determine its rank.
type Item struct {
	// Job and Index identify the item. They break ties in the same way on every VM.
	Job   string
	Index int
	// Due is when the job's results are due, on the same clock as the time that is
	// passed to Sort.
	Due time.Duration
	// CompletedFraction is the part of the item's run that is done, from 0 to 1.
	CompletedFraction float64
}

// Sort sorts items into the order in which they get slots at the time now. A complete
// run takes the duration run.
//
// Under overload, ordering by deadline alone makes nearly every item late: the items
// at the front are already late, and by the time they finish the next ones are late
// too. Items that can't finish in time therefore come after all that can. Within each
// of the two groups, jobs are ordered by deadline and the items of a job by how much
// of them is done.
func Sort(items []Item, now, run time.Duration) {
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(
			comparer.Bool(a.isLate(now, run), b.isLate(now, run)),
			cmp.Compare(a.Due, b.Due),
			cmp.Compare(a.Job, b.Job),
			cmp.Compare(b.CompletedFraction, a.CompletedFraction),
			cmp.Compare(a.Index, b.Index),
		)
	})
}

// isLate reports whether an item can't finish in time even if it starts now.
func (i Item) isLate(now, run time.Duration) bool { return now > i.LatestStart(run) }

// LatestStart returns when an item must start to finish in time, if a complete run
// takes the duration run.
func (i Item) LatestStart(run time.Duration) time.Duration {
	return i.Due - time.Duration((1-i.CompletedFraction)*float64(run))
}
