// Package failurewriter writes the final answer to a request that was refused or
// failed on the product's own interface: what went wrong, whether the request
// was run, and when to come back.
package failurewriter

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
	"github.com/fescuespindle/fescuespindle/internal/online/admitter"
	"github.com/fescuespindle/fescuespindle/internal/online/claimer"
	"github.com/fescuespindle/fescuespindle/internal/online/dispatcher"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
)

// HeaderRan tells whether a refused request was run.
const HeaderRan = "X-Fescuespindle-Ran"

// Failure is the final answer to a request that was refused or failed.
type Failure struct {
	status  int
	code    string
	message string
	ran     relayer.Ran
	retryAt time.Time
}

// document is a failure as callers get it.
type document struct {
	Error detail `json:"error"`
}

type detail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Ran     string `json:"ran"`
}

// Option sets one property of a Failure.
type Option func(*Failure)

// WithRan tells whether the request was run; without it, it was not.
func WithRan(ran relayer.Ran) Option { return func(f *Failure) { f.ran = ran } }

// WithRetryAt tells when the caller may come back.
func WithRetryAt(at time.Time) Option { return func(f *Failure) { f.retryAt = at } }

// New returns a failure of a request that was not run, unless an option says
// otherwise.
func New(status int, code, message string, options ...Option) *Failure {
	f := &Failure{status: status, code: code, message: message}
	for _, option := range options {
		option(f)
	}
	return f
}

func (f *Failure) document() document {
	kind := "api_error"
	if f.status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return document{Error: detail{Message: f.message, Type: kind, Code: f.code, Ran: f.ran.String()}}
}

// JSON returns the failure as callers get it.
func (f *Failure) JSON() []byte {
	text, _ := json.Marshal(f.document()) // plain data
	return text
}

// Write sends the failure. Callers are told when to come back and never held.
func (f *Failure) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderRan, f.ran.String())
	if !f.retryAt.IsZero() {
		seconds := int(time.Until(f.retryAt).Seconds()) + 1
		w.Header().Set("Retry-After", strconv.Itoa(max(seconds, 1)))
	}
	w.WriteHeader(f.status)
	_, _ = w.Write(append(f.JSON(), '\n'))
}

// FromRejection turns a dispatcher's refusal into the answer.
func FromRejection(r *dispatcher.RejectedError) *Failure {
	f := New(0, string(r.Reason()), r.Error(), WithRan(r.Ran()), WithRetryAt(r.RetryAt()))
	switch r.Reason() {
	case dispatcher.ReasonBadRequest:
		f.status = r.Status()
	case dispatcher.ReasonTooManyCrashes:
		f.status = http.StatusUnprocessableEntity
	case dispatcher.ReasonDeadline:
		f.status = http.StatusGatewayTimeout
	case dispatcher.ReasonFailed:
		f.status = http.StatusBadGateway
	case dispatcher.ReasonBusy, dispatcher.ReasonCanceled, dispatcher.ReasonNoUpstream:
		f.status = http.StatusServiceUnavailable
	}
	return f
}

// RetryDelay is when callers may come back to a VM that can't answer yet.
const RetryDelay = time.Second

// FromCallError turns an error of a service call into the answer.
func FromCallError(err error) *Failure {
	var busy *admitter.BusyError
	soon := time.Now().Add(RetryDelay)
	switch {
	case errors.As(err, &busy):
		return New(http.StatusServiceUnavailable, "busy", err.Error(), WithRetryAt(busy.RetryAt()))
	case errors.Is(err, admitter.ErrBusy):
		return New(http.StatusServiceUnavailable, "gone", err.Error())
	case errors.Is(err, claimer.ErrNotClaimed):
		return New(http.StatusServiceUnavailable, "storeUnavailable", err.Error(), WithRetryAt(soon))
	case errors.Is(err, claimer.ErrDifferentBody):
		return New(http.StatusConflict, "differentBody", err.Error())
	case errors.Is(err, claimer.ErrInDoubt):
		return New(http.StatusConflict, "inDoubt", err.Error(), WithRan(relayer.RanMaybe), WithRetryAt(soon))
	}
	failed := relayer.AsAttemptError(err)
	if failed.Status() != 0 {
		return New(failed.Status(), "badRequest", err.Error(), WithRan(failed.Ran()))
	}
	return New(http.StatusBadGateway, "failed", err.Error(), WithRan(failed.Ran()))
}

// FromJobError turns an error of the jobs' keeper into the answer.
func FromJobError(err error) *Failure {
	soon := time.Now().Add(RetryDelay)
	switch {
	case errors.Is(err, jobkeeper.ErrNotFound):
		return New(http.StatusNotFound, "notFound", err.Error())
	case errors.Is(err, jobkeeper.ErrDifferentBody):
		return New(http.StatusConflict, "differentBody", err.Error())
	case errors.Is(err, jobkeeper.ErrBadInput):
		return New(http.StatusBadRequest, "badInput", err.Error())
	case errors.Is(err, jobkeeper.ErrInDoubt):
		return New(http.StatusServiceUnavailable, "inDoubt", err.Error(), WithRan(relayer.RanMaybe), WithRetryAt(soon))
	default:
		return New(http.StatusServiceUnavailable, "storeUnavailable", err.Error(), WithRetryAt(soon))
	}
}
