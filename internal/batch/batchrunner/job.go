package batchrunner

import (
	"cmp"
	"context"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/attempter"
	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/ranker"
	"github.com/fescuespindle/fescuespindle/internal/batch/startjudge"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

// job is a batch job that this VM runs.
type job struct {
	stored batchkeeper.VersionedRecord
	// firstVersion is the version of the record with which this VM got the job, and origin how
	// it got the job.
	firstVersion uint64
	origin       origin
	items        []*item
	// outbox has the results that are not committed yet, in the order of their
	// positions.
	outbox   []batchkeeper.Result
	dirty    bool // failure counts have changed, or a write has failed, since the last write
	writing  bool // a write of the record is in flight
	evidence startjudge.Evidence
	renewDue time.Time // when the record is renewed next
	// discarded means that another VM owns the job, or that it has ended.
	discarded bool
	// unclaimed means that another VM has handed the job over, and that this one does
	// not own it in the store yet. claimDue is when the next claim is tried.
	unclaimed bool
	claimDue  time.Time
	// cancelLoad ends the load of the job's content; nil once that is over. Until then the job has no items.
	cancelLoad context.CancelFunc
	// releasing means that the job is being handed over to another VM or released in
	// the store, and handoverFailed that a handover has not succeeded.
	releasing      bool
	handoverFailed bool
	// awaitLogged means that the job's wait for a newer configuration has been logged.
	awaitLogged bool
	// reservation is the memory that is reserved for the items.
	reservation *rationer.Reservation
}

// state is the state of an item.
type state uint8

const (
	statePending state = iota
	stateRunning
	stateEnded
)

// item is one item of a job.
type item struct {
	batchkeeper.Item
	job           *job
	index         int
	state         state
	progress      batchkeeper.Progress
	failureCounts batchkeeper.FailureCounts
	// notBefore is when the item may run again after a failure.
	notBefore time.Time
	// avoidedUpstream is the upstream of the last run, if that did not run the item,
	// failed or broke off. Another one is used until avoidUntil.
	avoidedUpstream string
	avoidUntil      time.Time
	slot            *placer.Slot
	cancel          context.CancelFunc
	live            *attempter.LiveProgress // progress of the current run
	runStart        runStart                // of the current run
	// totalRunTime is the total time of all runs so far, and checkpointedBytes the number
	// of output bytes at the last checkpoint.
	totalRunTime      time.Duration
	checkpointedBytes int
}

// minCheckpointBytes is the output that an item must have produced since its last
// checkpoint for the next renewal to store it.
const minCheckpointBytes = 1 << 10

// setContent gives a job its items, which are pending except for those that have a result.
func (j *job) setContent(loaded batchkeeper.LoadedJob) {
	j.cancelLoad = nil
	j.stored.Team = cmp.Or(j.stored.Team, loaded.Team())
	for index, content := range loaded.Items {
		it := &item{
			Item: content, job: j, index: index,
			progress: loaded.Progress[index], failureCounts: j.stored.FailureCounts[index],
		}
		if loaded.HasResult[content.ID] {
			it.state = stateEnded
		}
		j.items = append(j.items, it)
	}
}

// isLoading returns whether the job's content is being loaded.
func (j *job) isLoading() bool { return j.cancelLoad != nil }

// tokensLeft returns the tokens of the items that have no result, neither in the store
// nor in the outbox.
func (j *job) tokensLeft() int64 {
	if j.isLoading() {
		return j.stored.Tokens
	}
	var tokens int64
	for _, it := range j.items {
		if it.state != stateEnded {
			tokens += it.Tokens
		}
	}
	return tokens
}

// failureCountsByIndex returns the failure counts of the items without a result, by index.
func (j *job) failureCountsByIndex() map[int]batchkeeper.FailureCounts {
	if j.isLoading() {
		return j.stored.FailureCounts
	}
	var failureCountsByIndex map[int]batchkeeper.FailureCounts
	for _, it := range j.items {
		if it.state == stateEnded || it.failureCounts == (batchkeeper.FailureCounts{}) {
			continue
		}
		if failureCountsByIndex == nil {
			failureCountsByIndex = map[int]batchkeeper.FailureCounts{}
		}
		failureCountsByIndex[it.index] = it.failureCounts
	}
	return failureCountsByIndex
}

// finish ends an item and appends its result to the outbox. done means that its output is
// complete.
func (j *job) finish(it *item, done bool) {
	it.state = stateEnded
	result := batchkeeper.Result{Item: it.ID, Done: done}
	if done {
		result.Output = it.progress.Output
	}
	it.progress.Output = nil
	j.outbox = append(j.outbox, result)
}

// discard cancels the load or the running items of a job that this VM no longer runs.
func (j *job) discard() {
	j.discarded = true
	j.endLoad()
	for _, it := range j.items {
		if it.state == stateRunning {
			it.cancel()
		}
	}
}

// endLoad cancels the load of the job's content, if it is being loaded.
func (j *job) endLoad() {
	if j.isLoading() {
		j.cancelLoad()
	}
}

// checkpoint returns the progress of the unfinished items that have produced at least
// minCheckpointBytes since their last checkpoint, by index, and counts it as their last
// checkpoint.
func (j *job) checkpoint() map[int]batchkeeper.Progress {
	progress := map[int]batchkeeper.Progress{}
	for _, it := range j.items {
		if it.state == stateEnded {
			continue
		}
		p := it.currentProgress()
		if len(p.Output) >= it.checkpointedBytes+minCheckpointBytes {
			progress[it.index] = p
			it.checkpointedBytes = len(p.Output)
		}
	}
	return progress
}

// currentProgress returns the progress of an item, also while it runs.
func (it *item) currentProgress() batchkeeper.Progress {
	if it.state == stateRunning {
		return it.live.Progress()
	}
	return it.progress
}

// rankItem returns the properties that determine an item's rank.
func (r *Runner) rankItem(it *item) ranker.Item {
	return ranker.Item{
		Job: it.job.stored.ID, Index: it.index, Due: it.job.stored.Due,
		CompletedFraction: r.estimator.Fraction(len(it.progress.Output)),
	}
}

// latestStart returns when an item must start to finish in time, on the store's clock.
func (r *Runner) latestStart(it *item) time.Duration {
	return r.rankItem(it).LatestStart(r.estimator.RunTime())
}

// avoidTime is how long an item prefers to wait over returning to the upstream of a
// failed run. It ends, as there may be no other upstream.
const avoidTime = 2 * time.Second

// avoid makes an item use other upstreams for avoidTime.
func (it *item) avoid(upstream string, now time.Time) {
	it.avoidedUpstream, it.avoidUntil = upstream, now.Add(avoidTime)
}

// avoided returns the upstreams that the item doesn't use for now, or nil.
func (it *item) avoided(now time.Time) map[string]bool {
	if it.avoidedUpstream == "" || !now.Before(it.avoidUntil) {
		return nil
	}
	return map[string]bool{it.avoidedUpstream: true}
}

// pending returns the items that may start, in the order in which they get slots.
func (r *Runner) pending(now time.Time) []*item {
	var waiting []ranker.Item
	for _, j := range r.jobs {
		if j.discarded || r.expired(j) || !j.evidence.AllowsStart(r.silenceOf(j), now) {
			continue
		}
		for _, it := range j.items {
			if it.state != statePending || now.Before(it.notBefore) {
				continue
			}
			waiting = append(waiting, r.rankItem(it))
		}
	}
	ranker.Sort(waiting, r.keeper.Now(), r.estimator.RunTime())
	items := make([]*item, 0, len(waiting))
	for _, w := range waiting {
		items = append(items, r.jobs[w.Job].items[w.Index])
	}
	return items
}
