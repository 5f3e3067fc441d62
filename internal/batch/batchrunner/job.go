package batchrunner

import (
	"context"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/attempter"
	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/ranker"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

// job is a job that this VM runs.
type job struct {
	stored batchkeeper.VersionedRecord
	items  []*item
	// outbox has results that are not committed yet, in the order of their
	// positions.
	outbox     []batchkeeper.Result
	changed    bool // trials have changed since the last commit
	committing bool
	// renewed is when the record was last known to be this VM's, and renewDue when
	// it is renewed next.
	renewed  time.Time
	renewDue time.Time
	// dropped jobs are another VM's, or have ended.
	dropped bool
	// unclaimed jobs were handed over by another VM, and are not yet this one's in the
	// store. claimDue is when that is tried next.
	unclaimed bool
	claimDue  time.Time
	// leaving jobs are on their way to another VM, or to the store. unmoved ones were
	// taken by no other VM.
	leaving bool
	unmoved bool
	// ration is what the items take of the VM's memory.
	ration *rationer.Reservation
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
	trial    batchkeeper.FailureCounts
	// notBefore is when the item may run again after a failure.
	notBefore time.Time
	// avoid is the upstream that has just refused or failed the item.
	avoid  map[string]bool
	place  *placer.Slot
	cancel context.CancelFunc
	live   *attempter.Live // of the run under way
	began  time.Time       // of the run under way
	// ran is the time of all runs so far, and kept the bytes of the last
	// renewal.
	ran  time.Duration
	kept int
}

// checkpointBytes is what an item must have made since the last renewal for the
// next one to have it.
const checkpointBytes = 1 << 10

func newJob(stored batchkeeper.VersionedRecord, loaded batchkeeper.LoadedJob) *job {
	j := &job{stored: stored}
	for index, content := range loaded.Items {
		it := &item{
			Item: content, job: j, index: index,
			progress: loaded.Progress[index], trial: stored.FailureCounts[index],
		}
		if loaded.HasResult[content.ID] {
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
func (j *job) trials() map[int]batchkeeper.FailureCounts {
	var trials map[int]batchkeeper.FailureCounts
	for _, it := range j.items {
		if it.state == stateEnded || it.trial == (batchkeeper.FailureCounts{}) {
			continue
		}
		if trials == nil {
			trials = map[int]batchkeeper.FailureCounts{}
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

// newProgress returns what there is of items that run or wait, where it is
// more than at the last renewal.
func (j *job) newProgress() map[int]batchkeeper.Progress {
	progress := map[int]batchkeeper.Progress{}
	for _, it := range j.items {
		if it.state == stateEnded {
			continue
		}
		p := it.current()
		if len(p.Output) >= it.kept+checkpointBytes {
			progress[it.index] = p
			it.kept = len(p.Output)
		}
	}
	return progress
}

// current returns what there is of an item, also while it runs.
func (it *item) current() batchkeeper.Progress {
	if it.state == stateRunning {
		return it.live.Progress()
	}
	return it.progress
}

// pace is how long items take, as the runs of this VM show.
type pace struct {
	run    time.Duration // running time of a whole item
	output float64       // bytes of a whole item
}

const (
	// startPace is taken until an item is done.
	startPace = 5 * time.Second
	// paceWeight is the weight of a new item in the means.
	paceWeight = 0.1
)

// whole takes in an item that is done.
func (p *pace) whole(run time.Duration, output int) {
	if p.run == 0 {
		p.run, p.output = run, float64(output)
		return
	}
	p.run += time.Duration(paceWeight * float64(run-p.run))
	p.output += paceWeight * (float64(output) - p.output)
}

// of returns how long a whole item takes, and the part of it that an output is.
func (p *pace) of(output int) (run time.Duration, made float64) {
	if p.run == 0 {
		return startPace, 0
	}
	return p.run, min(float64(output)/max(p.output, 1), 1)
}

// rankItem returns what an item's turn goes by.
func (r *Runner) rankItem(it *item) ranker.Item {
	_, made := r.pace.of(len(it.progress.Output))
	return ranker.Item{Job: it.job.stored.ID, Index: it.index, Due: it.job.stored.Due, CompletedFraction: made}
}

// latestStart returns when an item must start to be done in time, on the store's
// clock.
func (r *Runner) latestStart(it *item) time.Duration {
	run, _ := r.pace.of(0)
	return r.rankItem(it).LatestStart(run)
}

// pending returns the items that may start, in the order in which they get room.
func (r *Runner) pending(now time.Time) []*item {
	var waiting []ranker.Item
	run, _ := r.pace.of(0)
	for _, j := range r.jobs {
		if j.dropped || now.Sub(j.renewed) > blindTime {
			continue
		}
		for _, it := range j.items {
			if it.state != statePending || now.Before(it.notBefore) {
				continue
			}
			waiting = append(waiting, r.rankItem(it))
		}
	}
	ranker.Sort(waiting, r.keeper.Now(), run)
	items := make([]*item, 0, len(waiting))
	for _, w := range waiting {
		items = append(items, r.jobs[w.Job].items[w.Index])
	}
	return items
}
