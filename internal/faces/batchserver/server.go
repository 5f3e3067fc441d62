// Package batchserver serves callers' HTTP calls on batch jobs: submissions, results,
// bodies and cancellations. Any VM can serve any call, because all state is in the store.
package batchserver

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/faces/bodyreader"
	"github.com/fescuespindle/fescuespindle/internal/faces/gateway"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
)

// Operation is the kind of a call on a job.
type Operation uint8

// Operations on jobs.
const (
	OperationResults Operation = iota // read a page of results
	OperationBody                     // read the request body of an item
	OperationCancel                   // cancel a job
)

// Call is a decoded call on a submitted job.
type Call struct {
	Operation Operation
	Job       string
	Item      string        // for OperationBody
	After     int           // for OperationResults: the position after which the page starts
	Wait      time.Duration // for OperationResults: the longest wait for a result
}

// Submission is a decoded request to create a job.
type Submission struct {
	ID       string
	Deadline time.Time // when the caller stops waiting; zero means no deadline
	Items    []batchkeeper.Item
}

// Codec translates between callers' wire format and calls and answers.
type Codec interface {
	// DecodeJobCall returns false if a request is not a call on a job.
	DecodeJobCall(r *http.Request) (Call, bool, error)
	DecodeSubmission(r *http.Request, body []byte, now time.Time) (Submission, error)
	EncodeResults(page batchkeeper.Page, after int) ([]byte, error)
	// EncodeJobReplyHeader writes the header of an answer to a call on a job. An empty job and a zero
	// retryAfter are left out.
	EncodeJobReplyHeader(to http.Header, job string, retryAfter time.Duration)
	// SetIdentity removes what a header says of its sender, a key and the name of a team, and sets the name
	// of a team, if there is one.
	SetIdentity(header http.Header, team string)
}

// Keeper stores jobs, and reads what is stored of them.
type Keeper interface {
	// Submit stores a job. It also returns whether this VM is to run the job.
	Submit(ctx context.Context, s batchkeeper.Submission) (batchkeeper.VersionedRecord, bool, error)
	Results(ctx context.Context, caller batchkeeper.Caller, id string, after int) (batchkeeper.Page, error)
	Body(ctx context.Context, caller batchkeeper.Caller, id, item string) ([]byte, error)
}

// Canceller cancels jobs, in the store and on all VMs.
type Canceller interface {
	// Cancel returns nil once the store has confirmed it, and batchkeeper.ErrNotFound if there is no such job.
	// After another error the job may be cancelled later.
	Cancel(ctx context.Context, caller batchkeeper.Caller, id string) error
}

// Runner runs the jobs that this VM accepts.
type Runner interface {
	// Adopt runs a job, and releases the reservation once it no longer holds the items.
	Adopt(stored batchkeeper.VersionedRecord, items []batchkeeper.Item, reservation *rationer.Reservation)
}

// Counter updates metrics by name.
type Counter interface {
	Count(name string)
	Observe(name string, d time.Duration)
}

const (
	// submitTimeout bounds the time to store a job. Submit returns earlier if the store
	// rejects the write.
	submitTimeout = 2500 * time.Millisecond
	// readTimeout bounds a read, in addition to the time that the caller waits for a
	// result.
	readTimeout = 1200 * time.Millisecond
	// pollInterval is the time between two reads while a call waits for a result.
	pollInterval = 400 * time.Millisecond
	// deadlineMargin is the time before a caller's deadline that is reserved for sending
	// the answer.
	deadlineMargin = 100 * time.Millisecond
)

// Server is the HTTP handler for calls on jobs.
type Server struct {
	codec     Codec
	keeper    Keeper
	canceller Canceller
	runner    Runner
	limits    func() router.Limits
	memory    *rationer.Rationer
	answers   *rationer.Rationer // memory for answers that callers have not read yet
	counter   Counter
	logger    *slog.Logger
}

var _ gateway.Jobs = (*Server)(nil)

// New returns a Server. Submissions are reserved from memory; long answers from a budget of their own, in
// proportion to it. The limits function returns the current limits of the configuration.
func New(
	codec Codec, keeper Keeper, canceller Canceller, runner Runner, limits func() router.Limits, memory *rationer.Rationer,
	counter Counter, logger *slog.Logger,
) *Server {
	return &Server{
		codec: codec, keeper: keeper, canceller: canceller, runner: runner, limits: limits, memory: memory,
		answers: rationer.New(memory.Available() / answerMemoryDivisor), counter: counter, logger: logger,
	}
}

// IsJobCall implements gateway.Jobs.
func (s *Server) IsJobCall(r *http.Request) bool {
	_, found, _ := s.codec.DecodeJobCall(r) //nolint:errcheck // Serve reports a malformed call
	return found
}

// Serve implements gateway.Jobs.
func (s *Server) Serve(w http.ResponseWriter, r *http.Request, about gateway.JobContext) {
	start := time.Now()
	var status int
	if about.Route != nil {
		status = s.submit(w, r, about)
	} else {
		status = s.call(w, r, callerOf(about))
	}
	s.counter.Observe(`job_call_seconds{method="`+r.Method+`"}`, time.Since(start))
	s.logger.Info("job call", "method", r.Method, "path", r.URL.Path, "query", r.URL.RawQuery, "status", status,
		"team", callerOf(about).Team, "took", time.Since(start))
}

// submit handles a submission and returns the status of the answer.
func (s *Server) submit(w http.ResponseWriter, r *http.Request, about gateway.JobContext) int {
	now := time.Now()
	body, reservation, err := bodyreader.Read(w, r, s.limits(), s.memory)
	defer func() { reservation.Release() }()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, bodyreader.ErrNoMemory):
		return s.reject(w, "", http.StatusServiceUnavailable, err)
	case errors.As(err, &tooLarge):
		return s.reject(w, "", http.StatusRequestEntityTooLarge, err)
	case err != nil:
		return s.reject(w, "", http.StatusRequestTimeout, err)
	}
	submission, err := s.codec.DecodeSubmission(r, body, now)
	if err != nil {
		return s.reject(w, submission.ID, http.StatusBadRequest, err)
	}
	if about.Table.HasTeams() {
		if err := s.identify(submission.Items, callerOf(about).Team); err != nil {
			return s.reject(w, submission.ID, http.StatusBadRequest, err)
		}
	}
	deadline := now.Add(submitTimeout)
	if !submission.Deadline.IsZero() && submission.Deadline.Before(deadline) {
		deadline = submission.Deadline.Add(-deadlineMargin)
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	route := about.Route
	stored, shouldRun, err := s.keeper.Submit(ctx, batchkeeper.Submission{
		ID: submission.ID, Route: route.Name, Host: r.Host, Items: submission.Items,
		Caller: callerOf(about), MaxTokens: route.MaxTokens,
		CompletionTarget: route.CompletionTarget, Retention: route.Retention, Configuration: about.Table.Version(),
	})
	switch {
	case err == nil:
	case errors.Is(err, batchkeeper.ErrOverQuota):
		return s.reject(w, submission.ID, http.StatusTooManyRequests, err)
	case errors.Is(err, batchkeeper.ErrNotFound):
		return s.reject(w, submission.ID, http.StatusNotFound, err)
	case errors.Is(err, batchkeeper.ErrNotWritten):
		return s.reject(w, submission.ID, http.StatusServiceUnavailable, err)
	default:
		return s.reject(w, submission.ID, http.StatusGatewayTimeout, err)
	}
	if shouldRun {
		s.runner.Adopt(stored, submission.Items, reservation)
		reservation = nil // released by the runner
	}
	return s.answer(w, submission.ID, http.StatusAccepted, nil)
}

// identify replaces what the items of a submission say of their sender by the name of a team. The store is to hold
// no key. The headers carry the name for a release without teams, which sends them as they are.
func (s *Server) identify(items []batchkeeper.Item, team string) error {
	for i := range items {
		fields, err := items[i].Header.Fields()
		if err != nil {
			return err //nolint:wrapcheck // logged as it is
		}
		s.codec.SetIdentity(fields, team)
		items[i].Header, items[i].Team = batchkeeper.NewHeader(fields), team
	}
	return nil
}

// callerOf returns who makes a call on a job.
func callerOf(about gateway.JobContext) batchkeeper.Caller {
	caller := batchkeeper.Caller{HasTeams: about.Table.HasTeams()}
	if about.Team != nil {
		caller.Team = about.Team.Name
	}
	return caller
}

// call handles a call on a submitted job and returns the status of the answer.
func (s *Server) call(w http.ResponseWriter, r *http.Request, caller batchkeeper.Caller) int {
	call, _, err := s.codec.DecodeJobCall(r)
	if err != nil {
		return s.reject(w, call.Job, http.StatusBadRequest, err)
	}
	var body []byte
	switch call.Operation {
	case OperationResults:
		body, err = s.results(r.Context(), caller, call)
	case OperationBody:
		body, err = s.body(r.Context(), caller, call)
	case OperationCancel:
		err = s.canceller.Cancel(r.Context(), caller, call.Job)
	}
	switch {
	case err == nil:
		return s.answerReserved(w, call.Job, body)
	case errors.Is(err, batchkeeper.ErrNotFound):
		return s.reject(w, call.Job, http.StatusNotFound, err)
	default:
		return s.reject(w, call.Job, http.StatusServiceUnavailable, err)
	}
}

// results returns a page of results, and waits for the first one up to call.Wait.
func (s *Server) results(ctx context.Context, caller batchkeeper.Caller, call Call) ([]byte, error) {
	until := time.Now().Add(call.Wait)
	ctx, cancel := context.WithDeadline(ctx, until.Add(readTimeout))
	defer cancel()
	for {
		page, err := s.keeper.Results(ctx, caller, call.Job, call.After)
		if err != nil {
			return nil, err
		}
		wait := min(pollInterval, time.Until(until))
		if len(page.Results) > 0 || page.Complete || wait <= 0 || !sleeper.Sleep(ctx, wait) {
			return s.codec.EncodeResults(page, call.After)
		}
	}
}

// body returns the request body of one item of a job.
func (s *Server) body(ctx context.Context, caller batchkeeper.Caller, call Call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return s.keeper.Body(ctx, caller, call.Job, call.Item)
}
