package jobrunner

import (
	"fmt"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
)

// phase is the progress of a chunk in this process.
type phase uint8

const (
	phaseClaiming phase = iota
	phaseLoading
	phaseRunning
)

// item is an item of a claimed chunk that has no result yet.
type item struct {
	item     jobkeeper.Item
	failures int
	// interruptions is the number of runs in which engines crashed.
	interruptions int
	notBefore     time.Time
	resume        *ResumePoint
}

// chunk is a chunk that this process owns or is claiming.
type chunk struct {
	ref            jobkeeper.ChunkRef
	phase          phase
	claimBegan     time.Time
	claim          jobkeeper.Claim
	job            jobkeeper.JobRow
	waiting        []*item
	running        int
	results        []jobkeeper.Result
	resultBytes    int
	oldestResultAt time.Time
	committing     int // number of results in the current commit; -1 (noCommit) for none
	commitRetryAt  time.Time
	// discarded means that no more items are started: the job was cancelled, or
	// the chunk was removed from the Runner.
	discarded bool
}

// newChunk returns a chunk whose claim begins now.
func newChunk(ref jobkeeper.ChunkRef, now time.Time) *chunk {
	return &chunk{ref: ref, claimBegan: now, committing: noCommit}
}

// noCommit means that no commit is in progress; a commit may have 0 results.
const noCommit = -1

// takeNext removes and returns the first waiting item that may run on an upstream now,
// or returns nil. An item that was stopped on another upstream is withheld for
// moveDelay.
func (c *chunk) takeNext(upstream string, now time.Time) *item {
	for i, it := range c.waiting {
		if now.Before(it.notBefore) {
			continue
		}
		if it.resume != nil && it.resume.Upstream != upstream && now.Before(it.notBefore.Add(moveDelay)) {
			continue // its own upstream may soon have a free slot
		}
		c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
		return it
	}
	return nil
}

// takeStopped removes and returns the first waiting item that was stopped on an
// upstream, or returns nil.
func (c *chunk) takeStopped(upstream string) *item {
	for i, it := range c.waiting {
		if it.resume != nil && it.resume.Upstream == upstream {
			c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
			return it
		}
	}
	return nil
}

// addResult adds a result to those that wait for the next commit.
func (c *chunk) addResult(result jobkeeper.Result, now time.Time) {
	if len(c.results) == 0 {
		c.oldestResultAt = now
	}
	c.results = append(c.results, result)
	if result.Response != nil {
		c.resultBytes += len(result.Response.Body)
	}
}

// finished reports whether every item has a result.
func (c *chunk) finished() bool {
	return c.phase == phaseRunning && len(c.waiting) == 0 && c.running == 0
}

// commitDue reports whether to start a commit now: after the last item, when enough
// results have accumulated, when the oldest has waited for the interval, or when the
// chunk is discarded.
func (c *chunk) commitDue(interval time.Duration, now time.Time) bool {
	if c.committing != noCommit || c.phase != phaseRunning || now.Before(c.commitRetryAt) {
		return false
	}
	if c.finished() && !c.discarded {
		return true
	}
	if len(c.results) == 0 {
		return false
	}
	return c.discarded || len(c.results) >= commitItems || !now.Before(c.oldestResultAt.Add(interval))
}

// failWaiting fails every waiting item with the same error.
func (c *chunk) failWaiting(code, message string, now time.Time) {
	for _, it := range c.waiting {
		c.addResult(failedResult(it.item, code, message), now)
	}
	c.waiting = nil
}

// failedResult returns the result of an item that failed.
func failedResult(it jobkeeper.Item, code, message string) jobkeeper.Result {
	return jobkeeper.Result{
		ID: "result-" + it.CustomID, CustomID: it.CustomID,
		Error: &jobkeeper.ResultError{Code: code, Message: message},
	}
}

// failureMessage returns the error message of an item whose last run has failed.
func failureMessage(it *item, last jobkeeper.Result) string {
	reason := "unknown"
	if last.Error != nil {
		reason = last.Error.Message
	}
	return fmt.Sprintf("failed after %d tries: %s", it.failures, reason)
}
