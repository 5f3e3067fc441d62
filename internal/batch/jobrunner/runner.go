// Package jobrunner schedules the batch items of a VM on its upstreams and the
// commits of their results. It claims chunks, starts items within the limits of the
// upstreams, stops the newest runs when online work lowers a limit, and abandons
// chunks that another process has claimed. Runner does no I/O and reads no clock:
// each method handles an event at a given time and returns the actions to carry out.
package jobrunner

import (
	"errors"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
)

const (
	// maxFailedRuns is the number of failed runs after which an item fails.
	maxFailedRuns = 3
	// maxChunks is the maximum number of chunks that a process owns or claims.
	maxChunks = 12
	// maxUncommittedBytes is the size of uncommitted results from which on no item is
	// started.
	maxUncommittedBytes = 48 << 20
	// commitItems is the number of results of a chunk that are committed without delay.
	commitItems = 128
	// commitInterval is the default time for which results are collected for one commit.
	commitInterval = 2 * time.Second
	// checkPeriod is the default time between two checks of the jobs' states.
	checkPeriod = 2 * time.Second
	// maxMissedChecks is the number of check periods without a successful check after
	// which no item is started, since its job may have been cancelled.
	maxMissedChecks = 7
	// maxPromptBytes is the size of the prompts in progress on an upstream from which on no
	// item is started there. The last prompt that is started may exceed it.
	maxPromptBytes = 1 << 10
	// maxIdlePromptBytes is the same for an upstream without online requests, where
	// prompts delay only other batch items.
	maxIdlePromptBytes = 8 << 10
	// orphanPeriod is the time between two requests for chunks whose owner is gone, and
	// requestPeriod the time between two requests for any chunks of a model.
	orphanPeriod  = 2 * time.Second
	requestPeriod = 250 * time.Millisecond
	// retryDelay is the time before a failed run or commit is retried, and notRunDelay the
	// time before an item that did not run is started again.
	retryDelay  = 500 * time.Millisecond
	notRunDelay = 100 * time.Millisecond
	// maxInterruptionDelay bounds the time before an item is run again after an engine
	// crashed, which doubles with each such run.
	maxInterruptionDelay = 30 * time.Second
	// moveDelay is how long a stopped item waits for its own upstream before it may be
	// moved to another one.
	moveDelay = 500 * time.Millisecond
)

// Capacity is the current limit of batch items on an upstream that this VM owns.
type Capacity struct {
	Upstream string
	Model    string
	// Limit is the maximum number of batch items that may run there now.
	Limit int
	// OnlineIdle reports whether the upstream has had no online requests for a while.
	OnlineIdle bool
}

// run is one run of an item on an upstream.
type run struct {
	id            RunID
	chunk         *chunk
	item          *item
	upstream      string
	gotFirstToken bool // whether its first token has arrived
	stopping      bool
}

// Runner schedules the batch items of one VM. It is not safe for concurrent use.
type Runner struct {
	owner               jobkeeper.Owner
	commitInterval      time.Duration
	checkPeriod         time.Duration
	chunks              []*chunk
	capacities          []Capacity
	runs                []*run
	lastRun             RunID
	turn                int // number of choices by pickItem, which alternates between two rules
	beat                uint64
	nextCheckAt         time.Time
	jobsVerifiedAt      time.Time
	nextRequestAt       map[string]time.Time
	nextOrphanRequestAt map[string]time.Time
	draining            bool
}

// New returns a Runner without chunks for a process.
func New(owner jobkeeper.Owner) *Runner {
	return &Runner{
		owner: owner, commitInterval: commitInterval, checkPeriod: checkPeriod,
		nextRequestAt: map[string]time.Time{}, nextOrphanRequestAt: map[string]time.Time{},
	}
}

// SetCommitInterval sets how long results are collected for one commit. Larger
// fleets need a longer interval, since all VMs share the store's write capacity.
func (r *Runner) SetCommitInterval(interval time.Duration) { r.commitInterval = interval }

// SetCheckPeriod sets the time between two checks of the jobs' states. Each check
// also renews the lease.
func (r *Runner) SetCheckPeriod(period time.Duration) { r.checkPeriod = period }

// SetCapacities sets the upstreams that the VM owns and their limits, and stops and
// starts runs accordingly.
func (r *Runner) SetCapacities(capacities []Capacity, now time.Time) []Action {
	r.capacities = capacities
	return r.schedule(now)
}

// Running returns the number of runs on an upstream, including those being stopped.
func (r *Runner) Running(upstream string) int {
	n := 0
	for _, run := range r.runs {
		if run.upstream == upstream {
			n++
		}
	}
	return n
}

// Owned returns the number of chunks that the process owns or is claiming.
func (r *Runner) Owned() int { return len(r.chunks) }

// Owns reports whether the process owns or is claiming a chunk.
func (r *Runner) Owns(ref jobkeeper.ChunkRef) bool { return r.find(ref) != nil }

// Drained reports whether Drain was called and no chunks and runs are left.
func (r *Runner) Drained() bool { return r.draining && len(r.chunks) == 0 && len(r.runs) == 0 }

// Drain stops every run, and releases each chunk once its results are committed.
func (r *Runner) Drain(now time.Time) []Action {
	r.draining = true
	var out []Action
	for _, run := range r.runs {
		out = append(out, run.stop()...)
	}
	return append(out, r.commitAndRelease(now)...)
}

// stop returns the action that stops a run, unless the run is being stopped.
func (r *run) stop() []Action {
	if r.stopping {
		return nil
	}
	r.stopping = true
	return []Action{Stop{Run: r.id}}
}

// Tick does the work that is due at a time, such as checks of the jobs' states,
// requests for chunks, and commits. It is called periodically.
func (r *Runner) Tick(now time.Time) []Action {
	var out []Action
	for _, c := range r.chunks {
		if c.phase == phaseRunning && now.After(c.job.Deadline) {
			c.failWaiting("expired", "the job's deadline passed before the item ran", now)
		}
	}
	if len(r.chunks) > 0 && !now.Before(r.nextCheckAt) {
		r.nextCheckAt = now.Add(r.checkPeriod)
		r.beat++
		out = append(out, Check{Beat: r.beat, Jobs: r.ownedJobs()})
	}
	out = append(out, r.requestChunks(now)...)
	out = append(out, r.schedule(now)...)
	return append(out, r.commitAndRelease(now)...)
}

// ownedJobs returns the IDs of the jobs that have chunks here.
func (r *Runner) ownedJobs() []string {
	var jobs []string
	for _, c := range r.chunks {
		if !slices.Contains(jobs, c.ref.Job) {
			jobs = append(jobs, c.ref.Job)
		}
	}
	return jobs
}

// requestChunks requests chunks for each model with a shortage.
func (r *Runner) requestChunks(now time.Time) []Action {
	if r.draining {
		return nil
	}
	var out []Action
	for _, model := range r.models() {
		limit := min(r.chunkShortage(model), maxChunks-len(r.chunks))
		switch {
		case limit > 0 && !now.Before(r.nextRequestAt[model]):
			r.nextRequestAt[model] = now.Add(requestPeriod)
			out = append(out, RequestChunks{Model: model, Limit: limit})
		case limit <= 0 && len(r.chunks) < maxChunks && !now.Before(r.nextOrphanRequestAt[model]):
			// A VM without a shortage still takes over the chunks of lost VMs.
			r.nextOrphanRequestAt[model] = now.Add(orphanPeriod)
			out = append(out, RequestChunks{Model: model, Limit: 1, OrphansOnly: true})
		}
	}
	return out
}

// models returns the models of the owned upstreams.
func (r *Runner) models() []string {
	var models []string
	for _, capacity := range r.capacities {
		if !slices.Contains(models, capacity.Model) {
			models = append(models, capacity.Model)
		}
	}
	return models
}

// chunkShortage returns how many more chunks of a model to request. It is none if no
// item may run on the model's upstreams, or while a chunk of any model is being
// claimed or loaded, and two if the waiting items are
// fewer than twice the limit. Otherwise it is what is missing of two owned chunks, so
// that a large job doesn't delay small ones.
func (r *Runner) chunkShortage(model string) int {
	const spareChunks = 2
	limit := 0
	for _, capacity := range r.capacities {
		if capacity.Model == model {
			limit += capacity.Limit
		}
	}
	if limit == 0 {
		return 0
	}
	owned := 0
	waiting := 0
	for _, c := range r.chunks {
		if c.phase != phaseRunning {
			return 0
		}
		if c.job.Model == model && !c.discarded {
			owned++
			waiting += len(c.waiting)
		}
	}
	if waiting < 2*limit {
		return spareChunks
	}
	if owned < spareChunks {
		return spareChunks - owned
	}
	return 0
}

// Offer is a chunk that this process may claim from its previous owner.
type Offer struct {
	Ref      jobkeeper.ChunkRef
	Previous jobkeeper.Owner
}

// Offered handles an offer of chunks, and claims them up to maxChunks.
func (r *Runner) Offered(offers []Offer) []Action {
	var out []Action
	for _, offer := range offers {
		if r.draining || len(r.chunks) >= maxChunks || r.find(offer.Ref) != nil {
			continue
		}
		r.chunks = append(r.chunks, newChunk(offer.Ref))
		out = append(out, Claim(offer))
	}
	return out
}

func (r *Runner) find(ref jobkeeper.ChunkRef) *chunk {
	for _, c := range r.chunks {
		if c.ref == ref {
			return c
		}
	}
	return nil
}

// Claimed handles the outcome of a Claim.
func (r *Runner) Claimed(
	ref jobkeeper.ChunkRef, claim jobkeeper.Claim, job jobkeeper.JobRow, err error, now time.Time,
) []Action {
	c := r.find(ref)
	if c == nil {
		return nil
	}
	if err != nil || c.discarded {
		r.remove(c)
		return nil
	}
	if len(r.chunks) == 1 { // no checks were made without chunks, and the claim has read the job's state
		r.jobsVerifiedAt = now
	}
	c.claim, c.job, c.phase = claim, job, phaseLoading
	return []Action{Load{Claim: claim}}
}

// Loaded handles the outcome of a Load.
func (r *Runner) Loaded(ref jobkeeper.ChunkRef, items []jobkeeper.Item, err error, now time.Time) []Action {
	c := r.find(ref)
	if c == nil {
		return nil
	}
	if err != nil || c.discarded {
		r.remove(c)
		return []Action{Release{Claim: c.claim}}
	}
	c.phase = phaseRunning
	for _, it := range items {
		c.waiting = append(c.waiting, &item{item: it})
	}
	return append(r.schedule(now), r.commitAndRelease(now)...)
}

// FirstToken records that the engine has processed the prompt of a run.
func (r *Runner) FirstToken(id RunID, now time.Time) []Action {
	for _, run := range r.runs {
		if run.id == id {
			run.gotFirstToken = true
		}
	}
	return r.schedule(now)
}

// Ended handles the end of a run.
func (r *Runner) Ended(result RunResult, now time.Time) []Action {
	at := slices.IndexFunc(r.runs, func(run *run) bool { return run.id == result.Run })
	if at < 0 {
		return nil
	}
	ended := r.runs[at]
	r.runs = slices.Delete(r.runs, at, at+1)
	c := ended.chunk
	c.running--
	r.recordRunResult(c, ended.item, result, now)
	out := r.schedule(now)
	return append(out, r.commitAndRelease(now)...)
}

// recordRunResult adds the result of an item to its chunk, or puts the item back at the
// head of the waiting ones to run again.
func (r *Runner) recordRunResult(c *chunk, it *item, result RunResult, now time.Time) {
	it.resume = result.Resume
	switch result.Outcome {
	case OutcomeCompleted, OutcomePermanentlyFailed:
		c.addResult(result.Result, now)
		return
	case OutcomeFailed:
		it.failures++
		if it.failures >= maxFailedRuns {
			c.addResult(failedResult(it.item, "failed", failureMessage(it, result.Result)), now)
			return
		}
		it.notBefore = now.Add(retryDelay)
	case OutcomeInterrupted:
		it.interruptions++
		it.notBefore = now.Add(interruptionDelay(it.interruptions))
	case OutcomeNotRun:
		it.notBefore = now.Add(notRunDelay)
	case OutcomeStopped:
		it.notBefore = now
	}
	c.waiting = slices.Insert(c.waiting, 0, it)
}

// interruptionDelay returns the time before an item is run again after a number of runs in
// which engines crashed.
func interruptionDelay(interruptions int) time.Duration {
	return sleeper.Backoff{Initial: retryDelay, Max: maxInterruptionDelay}.Delay(interruptions - 1)
}

// Committed handles the outcome of a Commit. The epoch is that of the claim that was
// committed to; an outcome for an earlier claim of the same chunk is ignored.
func (r *Runner) Committed(
	ref jobkeeper.ChunkRef, epoch int, claim jobkeeper.Claim, err error, now time.Time,
) []Action {
	at := slices.IndexFunc(r.chunks, func(c *chunk) bool { return c.ref == ref && c.claim.Row.Epoch == epoch })
	if at < 0 {
		return nil
	}
	c := r.chunks[at]
	committed := c.committing
	c.committing = noCommit
	switch {
	case err == nil:
		c.claim = claim
		c.results = slices.Delete(c.results, 0, committed)
		c.resultBytes = 0
		for _, result := range c.results {
			if result.Response != nil {
				c.resultBytes += len(result.Response.Body)
			}
		}
		if claim.Row.Done {
			r.remove(c)
			return r.schedule(now)
		}
		return r.commitAndRelease(now)
	case errors.Is(err, jobkeeper.ErrOwnershipLost):
		return r.discard(c)
	case errors.Is(err, jobkeeper.ErrInDoubt):
		return r.reclaim(c)
	default:
		c.commitRetryAt = now.Add(retryDelay)
		return nil
	}
}

// discard stops the runs of a chunk that another process may own and drops its
// uncommitted results: readers may already have seen results of the other process.
func (r *Runner) discard(c *chunk) []Action {
	out := r.stopRuns(c)
	r.remove(c)
	return out
}

// reclaim discards a chunk after a commit in doubt and claims it again. The claim
// changes the version of the row, so that the commit can't take effect after it, and
// the items loaded next are those without a committed result.
func (r *Runner) reclaim(c *chunk) []Action {
	out := r.discard(c)
	r.chunks = append(r.chunks, newChunk(c.ref))
	return append(out, Claim{Ref: c.ref, Previous: r.owner})
}

// stopRuns stops the runs of a chunk.
func (r *Runner) stopRuns(c *chunk) []Action {
	var out []Action
	for _, run := range r.runs {
		if run.chunk == c {
			out = append(out, run.stop()...)
		}
	}
	return out
}

// remove marks a chunk as discarded and forgets it.
func (r *Runner) remove(c *chunk) {
	c.discarded = true
	r.chunks = slices.DeleteFunc(r.chunks, func(other *chunk) bool { return other == c })
}

// JobCancelled stops all runs of a cancelled job. Results that are complete are
// still committed.
func (r *Runner) JobCancelled(job string, now time.Time) []Action {
	var out []Action
	for _, c := range r.chunks {
		if c.ref.Job != job || c.discarded {
			continue
		}
		c.discarded = true
		c.waiting = nil
		out = append(out, r.stopRuns(c)...)
	}
	return append(out, r.commitAndRelease(now)...)
}

// Checked handles the outcome of a Check. After an error, the time of the last
// successful check stays.
func (r *Runner) Checked(jobs []jobkeeper.JobRow, err error, now time.Time) []Action {
	if err != nil {
		return nil
	}
	r.jobsVerifiedAt = now
	var out []Action
	for _, job := range jobs {
		if job.State == jobkeeper.StateCancelled {
			out = append(out, r.JobCancelled(job.ID, now)...)
		}
	}
	return out
}

// commitAndRelease commits the results that are due, and removes the chunks that are
// releasable.
func (r *Runner) commitAndRelease(now time.Time) []Action {
	var out []Action
	for _, c := range slices.Clone(r.chunks) {
		switch {
		case c.commitDue(r.commitInterval, now) || (r.draining && len(c.results) > 0 && c.commitDue(0, now)):
			c.committing = len(c.results)
			last := c.finished() && !c.discarded
			out = append(out, Commit{Claim: c.claim, Results: slices.Clone(c.results), Last: last})
		case r.releasable(c):
			r.remove(c)
			if !c.discarded || r.draining {
				out = append(out, Release{Claim: c.claim})
			}
		}
	}
	return out
}

// releasable reports whether a chunk that won't be finished here has no runs left and
// nothing left to commit.
func (r *Runner) releasable(c *chunk) bool {
	if !c.discarded && !r.draining {
		return false
	}
	return c.phase == phaseRunning && c.running == 0 && len(c.results) == 0 && c.committing == noCommit
}

// uncommittedBytes returns the size in bytes of all response bodies that aren't committed.
func (r *Runner) uncommittedBytes() int {
	total := 0
	for _, c := range r.chunks {
		total += c.resultBytes
	}
	return total
}
