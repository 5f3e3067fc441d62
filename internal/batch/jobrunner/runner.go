// Package jobrunner schedules the batch items of a VM on its upstreams and the
// commits of their results. It claims chunks, starts items within the limits of the
// upstreams, stops the newest runs when online work lowers a limit, and abandons
// chunks that another process has claimed. Runner does no I/O and reads no clock:
// each method handles an event at a given time and returns the actions to carry out.
package jobrunner

import (
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
	checksBegan         []time.Time // of the checks without an outcome, oldest first
	jobsVerifiedAt      time.Time   // when the last answered check, or a claim, has shown the jobs' states
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
		r.checksBegan = append(r.checksBegan, now)
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

func (r *Runner) find(ref jobkeeper.ChunkRef) *chunk {
	for _, c := range r.chunks {
		if c.ref == ref {
			return c
		}
	}
	return nil
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
