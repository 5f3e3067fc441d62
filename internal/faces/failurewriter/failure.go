// Package failurewriter writes the error response of the product's own HTTP interface
// to a request that was rejected or failed: the error, whether the request was run, and
// when to retry it.
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

// HeaderRan is the response header that says whether a request was run.
const HeaderRan = "X-Fescuespindle-Ran"

// Failure is the error response to a request that was rejected or failed.
type Failure struct {
	status  int
	code    string
	message string
	ran     relayer.Ran
	retryAt time.Time
}

// document is the JSON body of an error response.
type document struct {
	Error errorBody `json:"error"`
}

// errorBody describes the error in a document.
type errorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Ran     string `json:"ran"`
}

// Option sets one property of a Failure.
type Option func(*Failure)

// WithRan sets whether the request was run. The default is relayer.RanNot.
func WithRan(ran relayer.Ran) Option { return func(f *Failure) { f.ran = ran } }

// WithRetryAt sets when the caller may retry. By default, the response doesn't say.
func WithRetryAt(at time.Time) Option { return func(f *Failure) { f.retryAt = at } }

// New returns a Failure with an HTTP status, an error code for programs and a message
// for people.
func New(status int, code, message string, options ...Option) *Failure {
	f := &Failure{status: status, code: code, message: message}
	for _, option := range options {
		option(f)
	}
	return f
}

// document returns the response body before encoding.
func (f *Failure) document() document {
	kind := "api_error"
	if f.status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return document{Error: errorBody{Message: f.message, Type: kind, Code: f.code, Ran: f.ran.String()}}
}

// JSON returns the response body.
func (f *Failure) JSON() []byte {
	text, _ := json.Marshal(f.document()) // strings only, which always encode
	return text
}

// Write writes the response, with a Retry-After header in whole seconds of at least 1
// if a retry time is set.
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

// FromRejection returns the Failure for a request that the dispatcher rejected.
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

// RetryDelay is the time after which callers may retry if the VM or the store is not
// ready.
const RetryDelay = time.Second

// FromCallError returns the Failure for an error of a service call.
func FromCallError(err error) *Failure {
	var busy *admitter.BusyError
	retryAt := time.Now().Add(RetryDelay)
	switch {
	case errors.As(err, &busy):
		return New(http.StatusServiceUnavailable, "busy", err.Error(), WithRetryAt(busy.RetryAt()))
	case errors.Is(err, admitter.ErrBusy): // not a BusyError: the context ended during the wait
		return New(http.StatusServiceUnavailable, "gone", err.Error())
	case errors.Is(err, claimer.ErrNotClaimed):
		return New(http.StatusServiceUnavailable, "storeUnavailable", err.Error(), WithRetryAt(retryAt))
	case errors.Is(err, claimer.ErrDifferentBody):
		return New(http.StatusConflict, "differentBody", err.Error())
	case errors.Is(err, claimer.ErrInDoubt):
		return New(http.StatusConflict, "inDoubt", err.Error(), WithRan(relayer.RanMaybe), WithRetryAt(retryAt))
	}
	failed := relayer.AsAttemptError(err)
	if failed.Status() != 0 {
		return New(failed.Status(), "badRequest", err.Error(), WithRan(failed.Ran()))
	}
	return New(http.StatusBadGateway, "failed", err.Error(), WithRan(failed.Ran()))
}

// FromJobError returns the Failure for an error of package jobkeeper.
func FromJobError(err error) *Failure {
	retryAt := time.Now().Add(RetryDelay)
	switch {
	case errors.Is(err, jobkeeper.ErrNotFound):
		return New(http.StatusNotFound, "notFound", err.Error())
	case errors.Is(err, jobkeeper.ErrDifferentBody):
		return New(http.StatusConflict, "differentBody", err.Error())
	case errors.Is(err, jobkeeper.ErrBadInput):
		return New(http.StatusBadRequest, "badInput", err.Error())
	case errors.Is(err, jobkeeper.ErrInDoubt):
		return New(http.StatusServiceUnavailable, "inDoubt", err.Error(), WithRan(relayer.RanMaybe), WithRetryAt(retryAt))
	default:
		return New(http.StatusServiceUnavailable, "storeUnavailable", err.Error(), WithRetryAt(retryAt))
	}
}
