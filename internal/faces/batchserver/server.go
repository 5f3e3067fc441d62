// Package batchserver is the callers' face for batch jobs: submissions, results,
// bodies and cancels. Every VM answers all of them from the store.
package batchserver

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/faces/gateway"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
)

// Operation is what a call asks for.
type Operation uint8

// The operations on jobs.
const (
	OperationResults Operation = iota
	OperationBody
	OperationCancel
)

// Call is a call on a job that has been submitted.
type Call struct {
	Operation Operation
	Job       string
	Item      string        // for OperationBody
	After     int           // for OperationResults
	Wait      time.Duration // for OperationResults: how long a result may be waited for
}

// Submission is a job as decoded.
type Submission struct {
	ID       string
	Deadline time.Time // when the caller stops waiting; zero if it doesn't say
	Items    []batchkeeper.Item
}

// Codec translates calls and answers.
type Codec interface {
	// DecodeJobCall returns false for a request that is no call on a job.
	DecodeJobCall(r *http.Request) (Call, bool, error)
	DecodeSubmission(r *http.Request, body []byte, now time.Time) (Submission, error)
	EncodeResults(page batchkeeper.Page, after int) ([]byte, error)
	EncodeLocalReplyHeader(to http.Header, id string, comeBack time.Duration)
}

// Keeper keeps jobs in the store.
type Keeper interface {
	Submit(ctx context.Context, s batchkeeper.Submission) (batchkeeper.VersionedRecord, bool, error)
	Results(ctx context.Context, id string, after int) (batchkeeper.Page, error)
	Body(ctx context.Context, id, item string) ([]byte, error)
	Cancel(ctx context.Context, id string) error
}

// Runner runs the jobs that this VM accepts.
type Runner interface {
	// Adopt runs a job, and ends the ration once it no longer holds the items.
	Adopt(stored batchkeeper.VersionedRecord, items []batchkeeper.Item, ration *rationer.Reservation)
	Cancelled(id string)
}

// Counter counts events by name.
type Counter interface {
	Count(name string)
	Observe(name string, d time.Duration)
}

const (
	// submitTime bounds the time in which a job is made durable. A store that
	// refuses is given up sooner.
	submitTime = 2500 * time.Millisecond
	// readTime bounds a read beyond the time that the caller waits for a result.
	readTime = 1200 * time.Millisecond
	// cancelTime bounds a cancel.
	cancelTime = 3 * time.Second
	// pollTime is the time between two looks for a result.
	pollTime = 400 * time.Millisecond
	// deadlineMargin is left of a caller's deadline for the answer's way.
	deadlineMargin = 100 * time.Millisecond
	// comeBackBase and comeBackSpread tell refused callers when to come back.
	comeBackBase   = 300 * time.Millisecond
	comeBackSpread = 400 * time.Millisecond
)

// Server serves the calls of jobs.
type Server struct {
	codec   Codec
	keeper  Keeper
	runner  Runner
	limits  func() router.Limits
	memory  *rationer.Rationer
	counter Counter
	logger  *slog.Logger
}

var _ gateway.Jobs = (*Server)(nil)

// New returns a server, which holds no more bytes for callers than the memory
// allows. The function returns the limits in force.
func New(
	codec Codec, keeper Keeper, runner Runner, limits func() router.Limits, memory *rationer.Rationer, counter Counter,
	logger *slog.Logger,
) *Server {
	return &Server{
		codec: codec, keeper: keeper, runner: runner, limits: limits, memory: memory, counter: counter, logger: logger,
	}
}

// IsJobCall implements gateway.Jobs.
func (s *Server) IsJobCall(r *http.Request) bool {
	_, found, _ := s.codec.DecodeJobCall(r) //nolint:errcheck // Serve reports a malformed call
	return found
}

// Serve implements gateway.Jobs.
func (s *Server) Serve(w http.ResponseWriter, r *http.Request, route *router.Route) {
	began := time.Now()
	var status int
	if route != nil {
		status = s.submit(w, r, route)
	} else {
		status = s.call(w, r)
	}
	s.counter.Observe(`job_call_seconds{method="`+r.Method+`"}`, time.Since(began))
	s.logger.Info("job call", "method", r.Method, "path", r.URL.Path, "query", r.URL.RawQuery, "status", status,
		"took", time.Since(began))
}

// submit accepts a job, or refuses it.
func (s *Server) submit(w http.ResponseWriter, r *http.Request, route *router.Route) int {
	now := time.Now()
	body, ration, err := gateway.ReadBody(w, r, s.limits(), s.memory)
	defer func() { ration.Release() }()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, gateway.ErrNoMemory):
		return s.refuse(w, "", http.StatusServiceUnavailable, err)
	case errors.As(err, &tooLarge):
		return s.refuse(w, "", http.StatusRequestEntityTooLarge, err)
	case err != nil:
		return s.refuse(w, "", http.StatusRequestTimeout, err)
	}
	submission, err := s.codec.DecodeSubmission(r, body, now)
	if err != nil {
		return s.refuse(w, submission.ID, http.StatusBadRequest, err)
	}
	deadline := now.Add(submitTime)
	if !submission.Deadline.IsZero() && submission.Deadline.Before(deadline) {
		deadline = submission.Deadline.Add(-deadlineMargin)
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	stored, own, err := s.keeper.Submit(ctx, batchkeeper.Submission{
		ID: submission.ID, Route: route.Name, Host: r.Host, Items: submission.Items, MaxTokens: route.MaxTokens,
		CompletionTarget: route.CompletionTarget, Retention: route.Retention,
	})
	switch {
	case err == nil:
	case errors.Is(err, batchkeeper.ErrOverQuota):
		return s.refuse(w, submission.ID, http.StatusTooManyRequests, err)
	case errors.Is(err, batchkeeper.ErrNotWritten):
		return s.refuse(w, submission.ID, http.StatusServiceUnavailable, err)
	default:
		return s.refuse(w, submission.ID, http.StatusGatewayTimeout, err)
	}
	if own {
		s.runner.Adopt(stored, submission.Items, ration)
		ration = nil // the runner ends it
	}
	return s.answer(w, submission.ID, http.StatusAccepted, nil)
}

// call answers a call on a job that has been submitted.
func (s *Server) call(w http.ResponseWriter, r *http.Request) int {
	call, _, err := s.codec.DecodeJobCall(r)
	if err != nil {
		return s.refuse(w, call.Job, http.StatusBadRequest, err)
	}
	var body []byte
	switch call.Operation {
	case OperationResults:
		body, err = s.results(r.Context(), call)
	case OperationBody:
		body, err = s.body(r.Context(), call)
	case OperationCancel:
		err = s.cancel(r.Context(), call)
	}
	switch {
	case err == nil:
		return s.answer(w, call.Job, http.StatusOK, body)
	case errors.Is(err, batchkeeper.ErrNotFound):
		return s.refuse(w, call.Job, http.StatusNotFound, err)
	default:
		return s.refuse(w, call.Job, http.StatusServiceUnavailable, err)
	}
}

// results reads results, waiting for one as long as the caller does.
func (s *Server) results(ctx context.Context, call Call) ([]byte, error) {
	until := time.Now().Add(call.Wait)
	ctx, cancel := context.WithDeadline(ctx, until.Add(readTime))
	defer cancel()
	for {
		page, err := s.keeper.Results(ctx, call.Job, call.After)
		if err != nil {
			return nil, err
		}
		wait := min(pollTime, time.Until(until))
		if len(page.Results) > 0 || page.Complete || wait <= 0 || !sleeper.Sleep(ctx, wait) {
			return s.codec.EncodeResults(page, call.After)
		}
	}
}

func (s *Server) body(ctx context.Context, call Call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	return s.keeper.Body(ctx, call.Job, call.Item)
}

func (s *Server) cancel(ctx context.Context, call Call) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTime)
	defer cancel()
	if err := s.keeper.Cancel(ctx, call.Job); err != nil {
		return err
	}
	s.runner.Cancelled(call.Job)
	return nil
}

// refuse answers a call that could not be done.
func (s *Server) refuse(w http.ResponseWriter, id string, status int, err error) int {
	s.counter.Count(`job_refusals_total{status="` + http.StatusText(status) + `"}`)
	s.logger.Warn("job call refused", "job", id, "status", status, "error", err)
	comeBack := time.Duration(0)
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		comeBack = comeBackBase + rand.N(comeBackSpread)
	}
	s.codec.EncodeLocalReplyHeader(w.Header(), id, comeBack)
	w.WriteHeader(status)
	return status
}

func (s *Server) answer(w http.ResponseWriter, id string, status int, body []byte) int {
	s.codec.EncodeLocalReplyHeader(w.Header(), id, 0)
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		s.logger.Info("answer not taken", "job", id, "error", err)
	}
	return status
}
