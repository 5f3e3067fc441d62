package jobrunner

import (
	"fmt"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
)

// phase is where a chunk is on its way through this process.
type phase uint8

const (
	phaseClaiming phase = iota
	phaseLoading
	phaseRunning
)

// item is one item of a claimed chunk that has no result yet.
type item struct {
	item      jobkeeper.Item
	failures  int
	notBefore time.Time
	resume    *ResumePoint
}

// chunk is a chunk that this process owns or is about to own.
type chunk struct {
	ref            jobkeeper.ChunkRef
	phase          phase
	claim          jobkeeper.Claim
	job            jobkeeper.JobRow
	waiting        []*item
	running        int
	results        []jobkeeper.Result
	resultBytes    int
	oldestResultAt time.Time
	committing     int // results in the commit under way; -1 for none
	commitRetryAt  time.Time
	discarded      bool
}

func newChunk(ref jobkeeper.ChunkRef) *chunk {
	return &chunk{ref: ref, committing: noCommit}
}

const noCommit = -1

// takeNext removes and returns the first waiting item that may run now on an
// upstream: one that was stopped there before, or any that holds no state.
func (c *chunk) takeNext(upstream string, now time.Time) *item {
	for i, it := range c.waiting {
		if now.Before(it.notBefore) {
			continue
		}
		if it.resume != nil && it.resume.Upstream != upstream && now.Before(it.notBefore.Add(moveDelay)) {
			continue // its own upstream may have room again soon
		}
		c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
		return it
	}
	return nil
}

// takeStopped tells whether an item that was takeStopped on the upstream waits.
func (c *chunk) takeStopped(upstream string) *item {
	for i, it := range c.waiting {
		if it.resume != nil && it.resume.Upstream == upstream {
			c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
			return it
		}
	}
	return nil
}

func (c *chunk) addResult(result jobkeeper.Result, now time.Time) {
	if len(c.results) == 0 {
		c.oldestResultAt = now
	}
	c.results = append(c.results, result)
	if result.Response != nil {
		c.resultBytes += len(result.Response.Body)
	}
}

// finished tells whether every item has a result.
func (c *chunk) finished() bool {
	return c.phase == phaseRunning && len(c.waiting) == 0 && c.running == 0
}

// commitDue tells whether results should be committed now.
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

// failWaiting ends every waiting item with the same reason.
func (c *chunk) failWaiting(code, message string, now time.Time) {
	for _, it := range c.waiting {
		c.addResult(failedResult(it.item, code, message), now)
	}
	c.waiting = nil
}

func failedResult(it jobkeeper.Item, code, message string) jobkeeper.Result {
	return jobkeeper.Result{
		ID: "result-" + it.CustomID, CustomID: it.CustomID,
		Error: &jobkeeper.ResultError{Code: code, Message: message},
	}
}

func failureMessage(it *item, last jobkeeper.Result) string {
	reason := "unknown"
	if last.Error != nil {
		reason = last.Error.Message
	}
	return fmt.Sprintf("failed after %d tries: %s", it.failures, reason)
}
