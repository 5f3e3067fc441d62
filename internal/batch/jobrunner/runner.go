// Package jobrunner decides which batch items a VM runs, where and when, and
// when their results are committed. It is a deterministic core: a function of
// its state, an event and the time. It claims chunks, starts items as upstreams
// have room, stops the newest when online work needs the room, and gives up
// what another process has taken over.
package jobrunner

import (
	"errors"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
)

const (
	// maxFailedRuns bounds the runs of one item that fail.
	maxFailedRuns = 3
	// maxChunks bounds the chunks that a process owns.
	maxChunks = 12
	// maxUncommittedBytes bounds the results that wait for the store.
	maxUncommittedBytes = 48 << 20
	// commitItems is the number of results that are committed without waiting.
	commitItems = 128
	// commitInterval is how long a result waits for others to be committed with.
	commitInterval = 2 * time.Second
	// checkPeriod is the time between two looks at the jobs' states.
	checkPeriod = 2 * time.Second
	// maxMissedChecks is the number of such looks that may fail before no item
	// is started, as its job may have been cancelled.
	maxMissedChecks = 7
	// maxPromptBytes is the size of the prompts that an upstream may have before it
	// that have no token yet; one larger prompt may go alone.
	maxPromptBytes = 1 << 10
	// maxIdlePromptBytes is the same for an upstream without online work, where
	// prompts slow only other batch work.
	maxIdlePromptBytes = 8 << 10
	// orphanPeriod is the time between two looks for chunks whose owner is gone.
	orphanPeriod  = 2 * time.Second
	requestPeriod = 250 * time.Millisecond
	retryDelay    = 500 * time.Millisecond
	notRunDelay   = 100 * time.Millisecond
	// moveDelay is how long a stopped item waits for its own upstream before it
	// is moved to another.
	moveDelay = 500 * time.Millisecond
)

// Capacity is an upstream that this VM looks after.
type Capacity struct {
	Upstream string
	Model    string
	// Limit is the number of batch items that may run there now.
	Limit int
	// OnlineIdle tells that no online work has been there for a while.
	OnlineIdle bool
}

// run is an item on an upstream.
type run struct {
	id            RunID
	chunk         *chunk
	item          *item
	upstream      string
	gotFirstToken bool // its first token has come
	stopping      bool
}

// Runner is the state of one VM.
type Runner struct {
	owner               jobkeeper.Owner
	commitInterval      time.Duration
	checkPeriod         time.Duration
	chunks              []*chunk
	capacities          []Capacity
	runs                []*run
	lastRun             RunID
	turn                int
	beat                uint64
	nextCheckAt         time.Time
	jobsVerifiedAt      time.Time
	nextRequestAt       map[string]time.Time
	nextOrphanRequestAt map[string]time.Time
	draining            bool
}

// New returns a runner that owns nothing.
func New(owner jobkeeper.Owner) *Runner {
	return &Runner{owner: owner, commitInterval: commitInterval, checkPeriod: checkPeriod, nextRequestAt: map[string]time.Time{}, nextOrphanRequestAt: map[string]time.Time{}}
}

// SetCommitInterval sets how long a result waits for others to be committed
// with; a larger fleet takes longer, as all share the store's writes.
func (r *Runner) SetCommitInterval(interval time.Duration) { r.commitInterval = interval }

// SetCheckPeriod sets the time between two looks at the jobs' states, each of
// which also renews the lease.
func (r *Runner) SetCheckPeriod(period time.Duration) { r.checkPeriod = period }

// SetCapacities sets the upstreams that the VM looks after and their limits, and
// returns what follows from it at once.
func (r *Runner) SetCapacities(rooms []Capacity, now time.Time) []Action {
	r.capacities = rooms
	return r.schedule(now)
}

// Running returns the number of items on an upstream.
func (r *Runner) Running(upstream string) int {
	n := 0
	for _, run := range r.runs {
		if run.upstream == upstream {
			n++
		}
	}
	return n
}

// Owned returns the number of chunks that the process owns or claims.
func (r *Runner) Owned() int { return len(r.chunks) }

// Owns tells whether the process owns or claims a chunk.
func (r *Runner) Owns(ref jobkeeper.ChunkRef) bool { return r.find(ref) != nil }

// Drained tells whether nothing is left to do before the process ends.
func (r *Runner) Drained() bool { return r.draining && len(r.chunks) == 0 && len(r.runs) == 0 }

// Drain stops every run and gives every chunk up.
func (r *Runner) Drain(now time.Time) []Action {
	r.draining = true
	var out []Action
	for _, run := range r.runs {
		out = append(out, run.stop()...)
	}
	return append(out, r.commitAndRelease(now)...)
}

func (r *run) stop() []Action {
	if r.stopping {
		return nil
	}
	r.stopping = true
	return []Action{Stop{Run: r.id}}
}

// Tick advances time.
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

func (r *Runner) ownedJobs() []string {
	var jobs []string
	for _, c := range r.chunks {
		if !slices.Contains(jobs, c.ref.Job) {
			jobs = append(jobs, c.ref.Job)
		}
	}
	return jobs
}

// requestChunks asks for chunks of each model whose upstreams would soon be idle.
func (r *Runner) requestChunks(now time.Time) []Action {
	if r.draining {
		return nil
	}
	var out []Action
	for _, model := range r.models() {
		most := min(r.chunkShortage(model), maxChunks-len(r.chunks))
		switch {
		case most > 0 && !now.Before(r.nextRequestAt[model]):
			r.nextRequestAt[model] = now.Add(requestPeriod)
			out = append(out, RequestChunks{Model: model, Limit: most})
		case most <= 0 && len(r.chunks) < maxChunks && !now.Before(r.nextOrphanRequestAt[model]):
			// A VM that has enough to do still takes over what a lost one left.
			r.nextOrphanRequestAt[model] = now.Add(orphanPeriod)
			out = append(out, RequestChunks{Model: model, Limit: 1, OrphansOnly: true})
		}
	}
	return out
}

func (r *Runner) models() []string {
	var models []string
	for _, room := range r.capacities {
		if !slices.Contains(models, room.Model) {
			models = append(models, room.Model)
		}
	}
	return models
}

// chunkShortage returns how many more chunks of a model are wanted: none while one
// is on its way, one if the waiting items would fill the rooms, and one more
// for each job of another than those owned so that small jobs aren't kept
// waiting by large ones.
func (r *Runner) chunkShortage(model string) int {
	const spareChunks = 2
	limit := 0
	for _, room := range r.capacities {
		if room.Model == model {
			limit += room.Limit
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

// Offer is a chunk that may be claimed.
type Offer struct {
	Ref      jobkeeper.ChunkRef
	Previous jobkeeper.Owner
}

// Offered takes chunks that may be claimed.
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

// Claimed takes the outcome of a Claim.
func (r *Runner) Claimed(ref jobkeeper.ChunkRef, claim jobkeeper.Claim, job jobkeeper.JobRow, err error, now time.Time) []Action {
	c := r.find(ref)
	if c == nil {
		return nil
	}
	if err != nil || c.discarded {
		r.remove(c)
		return nil
	}
	if len(r.chunks) == 1 {
		r.jobsVerifiedAt = now
	}
	c.claim, c.job, c.phase = claim, job, phaseLoading
	return []Action{Load{Claim: claim}}
}

// Loaded takes the outcome of a Load.
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

// FirstToken notes that a run has passed its prompt.
func (r *Runner) FirstToken(id RunID, now time.Time) []Action {
	for _, run := range r.runs {
		if run.id == id {
			run.gotFirstToken = true
		}
	}
	return r.schedule(now)
}

// Ended takes the end of a run.
func (r *Runner) Ended(e RunResult, now time.Time) []Action {
	at := slices.IndexFunc(r.runs, func(run *run) bool { return run.id == e.Run })
	if at < 0 {
		return nil
	}
	ended := r.runs[at]
	r.runs = slices.Delete(r.runs, at, at+1)
	c := ended.chunk
	c.running--
	r.recordRunResult(c, ended.item, e, now)
	out := r.schedule(now)
	return append(out, r.commitAndRelease(now)...)
}

func (r *Runner) recordRunResult(c *chunk, it *item, e RunResult, now time.Time) {
	it.resume = e.Resume
	switch e.Outcome {
	case OutcomeCompleted, OutcomePermanentlyFailed:
		c.addResult(e.Result, now)
		return
	case OutcomeFailed:
		it.failures++
		if it.failures >= maxFailedRuns {
			c.addResult(failedResult(it.item, "failed", failureMessage(it, e.Result)), now)
			return
		}
		it.notBefore = now.Add(retryDelay)
	case OutcomeNotRun:
		it.notBefore = now.Add(notRunDelay)
	case OutcomeStopped:
		it.notBefore = now
	}
	c.waiting = slices.Insert(c.waiting, 0, it)
}

// Committed takes the outcome of a Commit.
func (r *Runner) Committed(ref jobkeeper.ChunkRef, epoch int, claim jobkeeper.Claim, err error, now time.Time) []Action {
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

// discard gives up a chunk that another process owns. Its results count for
// nothing: the other process's are the ones that readers may have seen.
func (r *Runner) discard(c *chunk) []Action {
	out := r.stopRuns(c)
	r.remove(c)
	return out
}

// reclaim starts a chunk over after a commit that may or may not have taken
// effect. The claim moves the epoch on, so the commit is settled either way.
func (r *Runner) reclaim(c *chunk) []Action {
	out := r.discard(c)
	r.chunks = append(r.chunks, newChunk(c.ref))
	return append(out, Claim{Ref: c.ref, Previous: r.owner})
}

func (r *Runner) stopRuns(c *chunk) []Action {
	var out []Action
	for _, run := range r.runs {
		if run.chunk == c {
			out = append(out, run.stop()...)
		}
	}
	return out
}

func (r *Runner) remove(c *chunk) {
	c.discarded = true
	r.chunks = slices.DeleteFunc(r.chunks, func(other *chunk) bool { return other == c })
}

// JobCancelled stops everything of a job. What has finished is still committed.
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

// Checked takes the states of jobs, read from the store at a time.
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

// commitAndRelease commits what is due and lets go of chunks that are over.
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

// releasable tells whether a chunk that won't be finished here has nothing left to
// commit.
func (r *Runner) releasable(c *chunk) bool {
	if !c.discarded && !r.draining {
		return false
	}
	return c.phase == phaseRunning && c.running == 0 && len(c.results) == 0 && c.committing == noCommit
}

// uncommittedBytes returns the size of all results that wait for the store.
func (r *Runner) uncommittedBytes() int {
	total := 0
	for _, c := range r.chunks {
		total += c.resultBytes
	}
	return total
}
