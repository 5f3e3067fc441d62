package jobrunner

import (
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
)

// RunID identifies one run of an item within this process.
type RunID uint64

// ResumePoint identifies where the stream of an earlier, stopped run can be resumed.
type ResumePoint struct {
	// Upstream is the ID of the upstream that holds the state of the stream.
	Upstream string
	// Stream is the ID under which the engine knows the attempt.
	Stream string
	// Text is the output received so far, and Tokens its number of tokens.
	Text   string
	Tokens int
}

// Action is a request of a Runner to its caller, which carries it out and reports
// the outcome to the Runner.
type Action interface{ isAction() }

// RequestChunks asks the VM that finds the chunks of a model in this failure domain
// for up to Limit chunks.
type RequestChunks struct {
	Model string
	Limit int
	// OrphansOnly restricts the request to chunks whose owner is gone.
	OrphansOnly bool
}

// Claim asks to make this process the owner of a chunk in place of the previous
// owner. The outcome goes to Runner.Claimed.
type Claim struct {
	Ref      jobkeeper.ChunkRef
	Previous jobkeeper.Owner
}

// Load asks for the items of a chunk that have no result. The outcome goes to
// Runner.Loaded.
type Load struct{ Claim jobkeeper.Claim }

// Start asks to run an item on an upstream, from the resume point if there is one.
// The outcome goes to Runner.Ended.
type Start struct {
	Run      RunID
	Job      jobkeeper.JobRow
	Item     jobkeeper.Item
	Upstream string
	Resume   *ResumePoint
	Deadline time.Time
}

// Stop asks to cancel a run. Runner.Ended receives where it can be resumed.
type Stop struct{ Run RunID }

// Commit asks to make results of a chunk durable. Last means that the chunk is done
// with them. The outcome goes to Runner.Committed.
type Commit struct {
	Claim   jobkeeper.Claim
	Results []jobkeeper.Result
	Last    bool
}

// Release asks to remove this process as the owner of a chunk.
type Release struct{ Claim jobkeeper.Claim }

// Check asks to renew the lease with the given number, and to read the states of
// the jobs. The outcome goes to Runner.Checked.
type Check struct {
	Beat uint64
	Jobs []string
}

func (RequestChunks) isAction() {}
func (Claim) isAction()         {}
func (Load) isAction()          {}
func (Start) isAction()         {}
func (Stop) isAction()          {}
func (Commit) isAction()        {}
func (Release) isAction()       {}
func (Check) isAction()         {}

// Outcome classifies how a run of an item ended.
type Outcome uint8

// The outcomes of a run.
const (
	// OutcomeCompleted means that the response is complete.
	OutcomeCompleted Outcome = iota
	// OutcomeStopped means that this process canceled the run.
	OutcomeStopped
	// OutcomeNotRun means that the upstream certainly did not start the run.
	OutcomeNotRun
	// OutcomeInterrupted means that the engine crashed during the run. The item is still
	// owed, whatever the number of such runs.
	OutcomeInterrupted
	// OutcomeFailed means that the run failed and the item may be retried.
	OutcomeFailed
	// OutcomePermanentlyFailed means that the run failed and a retry can't succeed.
	OutcomePermanentlyFailed
)

// RunResult describes how a run ended. Resume is the point to resume from, or nil if the
// item has to start over.
type RunResult struct {
	Run     RunID
	Outcome Outcome
	Result  jobkeeper.Result
	Resume  *ResumePoint
}
