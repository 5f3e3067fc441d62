package batchrunner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/placer"
)

// job is a job that this VM runs.
type job struct {
	stored batchkeeper.Stored
	items  []*item
	// outbox has results that are not committed yet, in the order of their
	// positions.
	outbox     []batchkeeper.Result
	changed    bool // trials have changed since the last commit
	committing bool
	// dropped jobs are another VM's, or have ended.
	dropped bool
}

// state is where an item stands.
type state uint8

const (
	statePending state = iota
	stateRunning
	stateEnded
)

// item is one item of a job.
type item struct {
	batchkeeper.Item
	job      *job
	index    int
	state    state
	progress batchkeeper.Progress
	trial    batchkeeper.Trial
	// notBefore is when the item may run again after a failure.
	notBefore time.Time
	// avoid is the upstream that has just refused or failed the item.
	avoid  map[string]bool
	place  *placer.Place
	cancel context.CancelFunc
}

func newJob(stored batchkeeper.Stored, loaded batchkeeper.Loaded) *job {
	j := &job{stored: stored}
	for index, content := range loaded.Items {
		it := &item{
			Item: content, job: j, index: index,
			progress: loaded.Progress[index], trial: stored.Trials[index],
		}
		if loaded.Listed[content.ID] {
			it.state = stateEnded
		}
		j.items = append(j.items, it)
	}
	return j
}

// tokensLeft returns the tokens of the items that will have no result after a
// commit of the outbox.
func (j *job) tokensLeft() int64 {
	var tokens int64
	for _, it := range j.items {
		if it.state != stateEnded {
			tokens += it.Tokens
		}
	}
	return tokens
}

// trials returns the failures of items that have no result.
func (j *job) trials() map[int]batchkeeper.Trial {
	var trials map[int]batchkeeper.Trial
	for _, it := range j.items {
		if it.state == stateEnded || it.trial == (batchkeeper.Trial{}) {
			continue
		}
		if trials == nil {
			trials = map[int]batchkeeper.Trial{}
		}
		trials[it.index] = it.trial
	}
	return trials
}

// end gives an item its result.
func (j *job) end(it *item, done bool) {
	it.state = stateEnded
	result := batchkeeper.Result{Item: it.ID, Done: done}
	if done {
		result.Output = it.progress.Output
	}
	it.progress.Output = nil
	j.outbox = append(j.outbox, result)
}

// drop stops all items of a job that is no longer this VM's.
func (j *job) drop() {
	j.dropped = true
	for _, it := range j.items {
		if it.state == stateRunning {
			it.cancel()
		}
	}
}

// pending returns the items that may start, those of the job that is due first
// at the front, and among those of one job the ones that have got farthest.
func (r *Runner) pending(now time.Time) []*item {
	var waiting []*item
	for _, j := range r.jobs {
		if j.dropped {
			continue
		}
		for _, it := range j.items {
			if it.state == statePending && !now.Before(it.notBefore) {
				waiting = append(waiting, it)
			}
		}
	}
	slices.SortFunc(waiting, func(a, b *item) int {
		return cmp.Or(
			cmp.Compare(a.job.stored.Due, b.job.stored.Due),
			cmp.Compare(a.job.stored.ID, b.job.stored.ID),
			cmp.Compare(len(b.progress.Output), len(a.progress.Output)),
			cmp.Compare(a.index, b.index),
		)
	})
	return waiting
}
