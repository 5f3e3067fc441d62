package jobrunner

import (
	"errors"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
)

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
		return r.reclaim(c, now)
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
func (r *Runner) reclaim(c *chunk, now time.Time) []Action {
	out := r.discard(c)
	r.chunks = append(r.chunks, newChunk(c.ref, now))
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

// verified records that a call that began at a time has shown the jobs' states.
func (r *Runner) verified(began time.Time) {
	if began.After(r.jobsVerifiedAt) {
		r.jobsVerifiedAt = began
	}
}

// Checked handles the outcome of a Check. After an error, the time of the last
// successful check stays.
//
// What the store has answered counts from the beginning of the check: the VM may have stood still
// since. Outcomes don't say whose they are, so each counts as that of the oldest check without one.
func (r *Runner) Checked(jobs []jobkeeper.JobRow, err error, now time.Time) []Action {
	began := now
	if len(r.checksBegan) > 0 {
		began, r.checksBegan = r.checksBegan[0], r.checksBegan[1:]
	}
	if err != nil {
		return nil
	}
	r.verified(began)
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
