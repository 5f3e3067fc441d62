// Package itemrunner runs a batch item on one upstream. A run can be canceled at any
// time, and then returns the point where its stream can be resumed.
package itemrunner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/jobrunner"
	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
	"github.com/fescuespindle/fescuespindle/internal/online/quarantiner"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/streammover"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
)

// Sender sends requests to engines.
type Sender interface {
	Open(context.Context, relayer.Attempt) (*relayer.Stream, error)
	Call(ctx context.Context, a relayer.Attempt, repeatable bool) (relayer.Answer, error)
}

// Isolator grants a suspect an upstream on which no other suspect runs, until
// release is called.
type Isolator interface {
	Isolate(ctx context.Context, u *chooser.Upstream, f quarantiner.Fingerprint) (release func(), granted bool)
}

// Observer is notified of events of batch runs. Its methods must not block.
type Observer interface {
	// FirstToken is called when the first event of a run arrives.
	FirstToken(run jobrunner.RunID)
	// StrikeRecorded is called when an item becomes suspect of a crash.
	StrikeRecorded(s quarantiner.Strike)
	// DrainingSeen is called when an upstream announces that it is draining.
	DrainingSeen(u *chooser.Upstream)
}

// Runner runs batch items. It is safe for concurrent use.
type Runner struct {
	vm         string
	sender     Sender
	observer   Observer
	isolator   Isolator
	quarantine *quarantiner.Quarantine
}

// New returns a Runner for the VM with the given name.
func New(
	vm string, sender Sender, observer Observer, isolator Isolator, quarantine *quarantiner.Quarantine,
) *Runner {
	return &Runner{vm: vm, sender: sender, observer: observer, isolator: isolator, quarantine: quarantine}
}

// failureBackoff is how long no request is sent to an upstream after a failure.
const failureBackoff = 200 * time.Millisecond

// execution is the state of one run.
type execution struct {
	runner             *Runner
	start              jobrunner.Start
	target             *chooser.Upstream
	findUpstream       func(id string) *chooser.Upstream
	stream             string
	text               strings.Builder
	tokens             int
	pendingPromptBytes int // size of the prompt, until its first token
	usage              upstream.Usage
	finishReason       string
	lastEventAt        time.Time
	answered           bool // whether the engine has responded
}

// Run runs an item on the target until the item ends or the context is canceled. find
// returns an upstream by its ID, or nil; it is used to locate the state of a stopped
// stream. Items that ran on an engine when it crashed run only where no other such item
// does.
func (r *Runner) Run(
	ctx context.Context, start jobrunner.Start, target *chooser.Upstream, find func(id string) *chooser.Upstream,
) jobrunner.RunResult {
	e := &execution{runner: r, start: start, target: target, findUpstream: find}
	e.stream = fmt.Sprintf("%s-%s-%d-%d", start.Job.ID, r.vm, start.Run, time.Now().UnixNano())
	fingerprint := quarantiner.Fingerprint(xxhash.Sum64(start.Item.Body))
	now := time.Now()
	isolated := r.quarantine.Strikes(fingerprint, now) > 0
	if isolated {
		release, granted := r.isolator.Isolate(ctx, target, fingerprint)
		if !granted {
			return jobrunner.RunResult{Run: start.Run, Outcome: jobrunner.OutcomeNotRun, Resume: start.Resume}
		}
		defer release()
	}
	target.Gauge().BeginBatch(now)
	defer target.Gauge().EndBatch()
	e.beginPrompt()
	defer e.endPrompt()
	err := e.run(ctx)
	if err != nil && ctx.Err() == nil && e.answered && relayer.AsAttemptError(err).MayHaveCrashed() {
		r.observer.StrikeRecorded(r.quarantine.RecordCrash(fingerprint, isolated, time.Now()))
	}
	if err == nil {
		r.quarantine.Clear(fingerprint)
	}
	return e.runResult(ctx, err)
}

// beginPrompt adds the size of the prompt to the gauge of the upstream, until the first
// token. A resumed stream has no prompt to process.
func (e *execution) beginPrompt() {
	if e.start.Resume == nil {
		e.pendingPromptBytes = len(e.start.Item.Body)
		e.target.Gauge().BeginPrompt(e.pendingPromptBytes)
	}
}

// endPrompt subtracts the prompt from the gauge, unless that was done before.
func (e *execution) endPrompt() {
	e.target.Gauge().EndPrompt(e.pendingPromptBytes)
	e.pendingPromptBytes = 0
}

// run opens the stream and reads it to its end.
func (e *execution) run(ctx context.Context) error {
	stream, err := e.open(ctx)
	if err != nil {
		return err
	}
	defer stream.Close()
	e.answered = true
	for {
		data, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err //nolint:wrapcheck // an AttemptError, which callers unwrap
		}
		if err := e.handleEvent(data); err != nil {
			return err
		}
	}
}

// open resumes the stream of a stopped run if its state is still available, and
// otherwise starts the item over.
func (e *execution) open(ctx context.Context) (*relayer.Stream, error) {
	if e.start.Resume != nil {
		stream, err := e.resume(ctx, *e.start.Resume)
		if err == nil || ctx.Err() != nil {
			return stream, err
		}
		e.text.Reset()
		e.tokens = 0
	}
	body, err := upstream.WithStreaming(e.start.Item.Body)
	if err != nil {
		return nil, err
	}
	return e.sendAttempt(ctx, e.start.Item.URL, body)
}

// sendAttempt sends a request to the target and returns the stream of its response.
func (e *execution) sendAttempt(ctx context.Context, path string, body []byte) (*relayer.Stream, error) {
	stream, err := e.runner.sender.Open(ctx, relayer.Attempt{
		ID: e.stream, Address: e.target.Address(), Method: http.MethodPost, Path: path, Body: body,
		Deadline: e.start.Deadline, Header: http.Header{"Content-Type": {"application/json"}},
	})
	if err != nil {
		return nil, err //nolint:wrapcheck // an AttemptError, which callers unwrap
	}
	return stream, nil
}

// resume resumes a stopped stream. If another upstream holds its state, the state is
// first moved to the target.
func (e *execution) resume(ctx context.Context, from jobrunner.ResumePoint) (*relayer.Stream, error) {
	if from.Upstream != e.target.ID() {
		if err := e.move(ctx, from); err != nil {
			return nil, err
		}
	}
	path := fmt.Sprintf("%s%s?from=%d", upstream.PathResume, from.Stream, from.Tokens)
	stream, err := e.sendAttempt(ctx, path, nil)
	if err != nil {
		return nil, err
	}
	e.text.WriteString(from.Text)
	e.tokens = from.Tokens
	return stream, nil
}

// move copies the state of a stopped stream from the engine that holds it to the
// target.
func (e *execution) move(ctx context.Context, from jobrunner.ResumePoint) error {
	source := e.findUpstream(from.Upstream)
	if source == nil {
		return fmt.Errorf("upstream %s is gone", from.Upstream)
	}
	return streammover.Move(ctx, e.runner.sender, e.stream, from.Stream, source.Address(), e.target.Address()) //nolint:wrapcheck // says what failed
}

// handleEvent adds one event of the stream to the response and updates the gauge.
func (e *execution) handleEvent(data []byte) error {
	var chunk upstream.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return fmt.Errorf("decode event: %w", err)
	}
	now := time.Now()
	gap := time.Duration(0)
	if e.lastEventAt.IsZero() {
		e.endPrompt()
		e.runner.observer.FirstToken(e.start.Run)
	} else {
		gap = now.Sub(e.lastEventAt)
	}
	e.lastEventAt = now
	e.target.Gauge().RecordEvent(now, gap)
	for _, choice := range chunk.Choices {
		if choice.FinishReason != nil {
			e.finishReason = *choice.FinishReason
		}
		if choice.Delta != nil && choice.Delta.Content != "" {
			e.text.WriteString(choice.Delta.Content)
			e.tokens++
		}
	}
	if chunk.Usage != nil {
		e.usage = *chunk.Usage
	}
	return nil
}

// runResult classifies the end of the run.
func (e *execution) runResult(ctx context.Context, err error) jobrunner.RunResult {
	result := jobrunner.RunResult{Run: e.start.Run}
	if err == nil {
		return e.completed()
	}
	if ctx.Err() != nil {
		result.Outcome = jobrunner.OutcomeStopped
		result.Resume = e.resumePoint()
		return result
	}
	failure := relayer.AsAttemptError(err)
	if failure.Status() != 0 {
		return e.permanentFailure("refused", failure.Error())
	}
	e.target.Gauge().RecordFailure(time.Now(), failureBackoff)
	if failure.Draining() {
		e.target.Gauge().SetDraining(true)
		e.runner.observer.DrainingSeen(e.target)
	}
	switch {
	case failure.Ran() == relayer.RanNot:
		result.Outcome = jobrunner.OutcomeNotRun
	case failure.MayHaveCrashed() && e.isEngineDown(ctx):
		result.Outcome = jobrunner.OutcomeInterrupted
	default:
		result.Outcome = jobrunner.OutcomeFailed
	}
	result.Result = failedResult(e.start.Item, "failed", failure.Error())
	return result
}

// downTimeout bounds the check whether an engine is down.
const downTimeout = 500 * time.Millisecond

// isEngineDown reports whether the target doesn't answer a request for its load. One that
// does has not crashed, and so has failed the item.
func (e *execution) isEngineDown(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, downTimeout)
	defer cancel()
	_, err := e.runner.sender.Call(ctx, relayer.Attempt{
		ID: e.stream + "-load", Address: e.target.Address(), Method: http.MethodGet, Path: upstream.PathLoad,
	}, true)
	return err != nil
}

// resumePoint returns where the stream can be resumed, or nil if no event of it has
// arrived in this run.
func (e *execution) resumePoint() *jobrunner.ResumePoint {
	if e.lastEventAt.IsZero() {
		return nil
	}
	return &jobrunner.ResumePoint{Upstream: e.target.ID(), Stream: e.stream, Text: e.text.String(), Tokens: e.tokens}
}

// permanentFailure returns the result of an item that must not be retried.
func (e *execution) permanentFailure(code, message string) jobrunner.RunResult {
	return jobrunner.RunResult{
		Run: e.start.Run, Outcome: jobrunner.OutcomePermanentlyFailed, Result: failedResult(e.start.Item, code, message),
	}
}

// failedResult returns the result of an item that failed.
func failedResult(item jobkeeper.Item, code, message string) jobkeeper.Result {
	return jobkeeper.Result{
		ID: "result-" + item.CustomID, CustomID: item.CustomID,
		Error: &jobkeeper.ResultError{Code: code, Message: message},
	}
}

// completed returns the result of a run whose stream has ended, with the text of the
// stream as a response that wasn't streamed.
func (e *execution) completed() jobrunner.RunResult {
	reason := e.finishReason
	answer := upstream.Completed{
		ID: e.stream, Object: "chat.completion", Model: e.start.Job.Model,
		Choices: []upstream.Choice{{
			Message: &upstream.Message{Role: "assistant", Content: e.text.String()}, FinishReason: &reason,
		}},
		Usage: e.usage,
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return e.permanentFailure("internal", err.Error())
	}
	return jobrunner.RunResult{Run: e.start.Run, Outcome: jobrunner.OutcomeCompleted, Result: jobkeeper.Result{
		ID: "result-" + e.start.Item.CustomID, CustomID: e.start.Item.CustomID,
		Response: &jobkeeper.ResultResponse{StatusCode: http.StatusOK, RequestID: e.stream, Body: body},
	}}
}
