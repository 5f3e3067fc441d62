package jobrunner

import (
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
)

// RunID identifies one run of an item in this process.
type RunID uint64

// ResumePoint names the stream of an earlier run that was stopped.
type ResumePoint struct {
	// Upstream has the state of the stream.
	Upstream string
	// Stream is the attempt's identifier at the engine.
	Stream string
	// Text is what the stream had answered, of so many tokens.
	Text   string
	Tokens int
}

// Action is something that the core wants done.
type Action interface{ isAction() }

// RequestChunks asks whoever looks for work for chunks of a model.
type RequestChunks struct {
	Model string
	Limit int
	// OrphansOnly tells that only chunks whose owner is gone are wanted.
	OrphansOnly bool
}

// Claim asks to make this process the owner of a chunk.
type Claim struct {
	Ref      jobkeeper.ChunkRef
	Previous jobkeeper.Owner
}

// Load asks for the items of a chunk that have no result.
type Load struct{ Claim jobkeeper.Claim }

// Start asks to run an item on an upstream.
type Start struct {
	Run      RunID
	Job      jobkeeper.JobRow
	Item     jobkeeper.Item
	Upstream string
	Resume   *ResumePoint
	Deadline time.Time
}

// Stop asks to end a run; its stream is kept for a resume where that's wanted.
type Stop struct{ Run RunID }

// Commit asks to make results of a chunk durable.
type Commit struct {
	Claim   jobkeeper.Claim
	Results []jobkeeper.Result
	Last    bool
}

// Release asks to give a chunk up.
type Release struct{ Claim jobkeeper.Claim }

// Check asks to renew the lease and to read whether jobs were cancelled.
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

// Outcome is how a run of an item ended.
type Outcome uint8

// The outcomes of a run.
const (
	// OutcomeCompleted runs have a whole answer.
	OutcomeCompleted Outcome = iota
	// OutcomeStopped runs were stopped by this process.
	OutcomeStopped
	// OutcomeNotRun runs were refused before they began.
	OutcomeNotRun
	// OutcomeFailed runs failed; the item may be tried again.
	OutcomeFailed
	// OutcomePermanentlyFailed runs failed in a way that another try can't mend.
	OutcomePermanentlyFailed
)

// RunResult tells how a run ended.
type RunResult struct {
	Run     RunID
	Outcome Outcome
	Result  jobkeeper.Result
	Resume  *ResumePoint
}
