package server

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

// Headers of answers to callers.
const (
	// HeaderRan tells whether a refused request was run.
	HeaderRan = "X-Fescuespindle-Ran"
	// HeaderReplayed marks the answer of an earlier run of the same call.
	HeaderReplayed = "X-Fescuespindle-Replayed"
	// HeaderRequestID identifies a request, in and out.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey identifies all sendings of the same request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadline is the time after which an answer is of no use, as RFC
	// 3339 text.
	HeaderDeadline = "X-Deadline"
)

// failure is the final answer to a request that was refused or failed.
type failure struct {
	status  int
	code    string
	message string
	ran     relayer.Ran
	retryAt time.Time
}

// failureBody is a failure as callers get it.
type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Ran     string `json:"ran"`
}

// Error implements error.
func (f *failure) Error() string { return f.message }

// notRun returns a failure of a request that was not run.
func notRun(status int, code, message string) *failure {
	return &failure{status: status, code: code, message: message}
}

func (f *failure) body() failureBody {
	kind := "api_error"
	if f.status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return failureBody{Error: failureDetail{Message: f.message, Type: kind, Code: f.code, Ran: f.ran.String()}}
}

// write sends the failure. Callers are told when to come back and never held.
func (f *failure) write(w http.ResponseWriter) {
	text, _ := json.Marshal(f.body())
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderRan, f.ran.String())
	if !f.retryAt.IsZero() {
		seconds := int(time.Until(f.retryAt).Seconds()) + 1
		w.Header().Set("Retry-After", strconv.Itoa(max(seconds, 1)))
	}
	w.WriteHeader(f.status)
	_, _ = w.Write(append(text, '\n'))
}

// failureOfRefusal turns a dispatcher's refusal into the answer.
func failureOfRefusal(r *dispatcher.RefusedError) *failure {
	f := &failure{code: string(r.Reason()), message: r.Error(), ran: r.Ran(), retryAt: r.RetryAt()}
	switch r.Reason() {
	case dispatcher.ReasonBadRequest:
		f.status = r.Status()
	case dispatcher.ReasonCondemned:
		f.status = http.StatusUnprocessableEntity
	case dispatcher.ReasonDeadline:
		f.status = http.StatusGatewayTimeout
	case dispatcher.ReasonFailed:
		f.status = http.StatusBadGateway
	case dispatcher.ReasonBusy, dispatcher.ReasonGone, dispatcher.ReasonNoUpstream:
		f.status = http.StatusServiceUnavailable
	}
	return f
}

const comeBackWait = time.Second

// failureOfCall turns an error of a service call into the answer.
func failureOfCall(err error) *failure {
	var busy *admitter.BusyError
	soon := time.Now().Add(comeBackWait)
	switch {
	case errors.As(err, &busy):
		return &failure{
			status: http.StatusServiceUnavailable, code: "busy", message: err.Error(), retryAt: busy.RetryAt(),
		}
	case errors.Is(err, admitter.ErrBusy):
		return notRun(http.StatusServiceUnavailable, "gone", err.Error())
	case errors.Is(err, claimer.ErrNotClaimed):
		f := notRun(http.StatusServiceUnavailable, "storeUnavailable", err.Error())
		f.retryAt = soon
		return f
	case errors.Is(err, claimer.ErrDifferentBody):
		return notRun(http.StatusConflict, "differentBody", err.Error())
	case errors.Is(err, claimer.ErrInDoubt):
		return &failure{
			status: http.StatusConflict, code: "inDoubt", message: err.Error(), ran: relayer.RanMaybe, retryAt: soon,
		}
	}
	failed := relayer.AsFailure(err)
	if failed.Status() != 0 {
		return &failure{status: failed.Status(), code: "badRequest", message: err.Error(), ran: failed.Ran()}
	}
	return &failure{status: http.StatusBadGateway, code: "failed", message: err.Error(), ran: failed.Ran()}
}

// failureOfJob turns an error of the jobs' keeper into the answer.
func failureOfJob(err error) *failure {
	switch {
	case errors.Is(err, jobkeeper.ErrNotFound):
		return notRun(http.StatusNotFound, "notFound", err.Error())
	case errors.Is(err, jobkeeper.ErrDifferentBody):
		return notRun(http.StatusConflict, "differentBody", err.Error())
	case errors.Is(err, jobkeeper.ErrBadInput):
		return notRun(http.StatusBadRequest, "badInput", err.Error())
	case errors.Is(err, jobkeeper.ErrInDoubt):
		return &failure{
			status: http.StatusServiceUnavailable, code: "inDoubt", message: err.Error(), ran: relayer.RanMaybe,
			retryAt: time.Now().Add(comeBackWait),
		}
	default:
		f := notRun(http.StatusServiceUnavailable, "storeUnavailable", err.Error())
		f.retryAt = time.Now().Add(comeBackWait)
		return f
	}
}
