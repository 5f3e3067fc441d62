package relayer

import (
	"errors"
	"fmt"
	"net"
	"net/http"
)

// Ran says whether a failed request was run.
type Ran uint8

// Whether a request was run.
const (
	// RanNot means that the request certainly had no effect.
	RanNot Ran = iota
	// RanMaybe means that the request may have run, partly or completely.
	RanMaybe
	// RanFailed means that the request ran and failed.
	RanFailed
)

// String returns the value of the HTTP header that reports it to callers.
func (r Ran) String() string {
	return [...]string{"not-run", "may-have-run", "ran-and-failed"}[r]
}

// Causes of an AttemptError.
var (
	// ErrTruncated means that an answer ended early: a stream without its end marker,
	// or a body that could not be read completely.
	ErrTruncated = errors.New("stream cut short")
	// ErrMismatchedAnswer means that an answer belongs to another request.
	ErrMismatchedAnswer = errors.New("answer of another request")
	// ErrRejected means that the upstream answered with an unsuccessful status.
	ErrRejected = errors.New("upstream refused")
	// ErrConnectionLost means that the connection broke before an answer arrived.
	ErrConnectionLost = errors.New("connection lost")
	// ErrUnreachable means that no connection could be established.
	ErrUnreachable = errors.New("upstream unreachable")
)

// AttemptError is the error of a failed attempt.
type AttemptError struct {
	ran            Ran
	mayHaveCrashed bool
	draining       bool
	status         int
	cause          error
}

// Error implements error.
func (e *AttemptError) Error() string { return fmt.Sprintf("%s: %v", e.ran, e.cause) }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.cause }

// Ran returns whether the request was run.
func (e *AttemptError) Ran() Ran { return e.ran }

// MayHaveCrashed returns whether the request may have crashed the upstream.
func (e *AttemptError) MayHaveCrashed() bool { return e.mayHaveCrashed }

// Draining returns whether the upstream rejected the request because it is draining.
func (e *AttemptError) Draining() bool { return e.draining }

// Status returns the HTTP status of an answer that must be passed on to the caller
// unchanged, or 0.
func (e *AttemptError) Status() int { return e.status }

// AsAttemptError returns the AttemptError that err wraps. For any other error it
// returns one that says that the request may have run.
func AsAttemptError(err error) *AttemptError {
	var failure *AttemptError
	if errors.As(err, &failure) {
		return failure
	}
	return &AttemptError{ran: RanMaybe, cause: err}
}

// classifySendError classifies an error of the HTTP client. Only a failed dial
// guarantees that the request did not run.
func classifySendError(err error) *AttemptError {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return &AttemptError{ran: RanNot, cause: fmt.Errorf("%w: %w", ErrUnreachable, err)}
	}
	// io.EOF is not wrapped, since callers take it for the end of a complete stream.
	return &AttemptError{
		ran: RanMaybe, mayHaveCrashed: true,
		cause: fmt.Errorf("%w: %v", ErrConnectionLost, err), //nolint:errorlint // see above
	}
}

// classifyStatus classifies an answer with an unsuccessful status. A 4xx status is
// passed on to the caller, and the request counts as not run.
func classifyStatus(status int, notRun, draining bool, text string) *AttemptError {
	cause := fmt.Errorf("%w: status %d: %s", ErrRejected, status, text)
	switch {
	case notRun:
		return &AttemptError{ran: RanNot, draining: draining, cause: cause}
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return &AttemptError{ran: RanNot, status: status, cause: cause}
	default:
		return &AttemptError{ran: RanFailed, cause: cause}
	}
}

// NewAttemptError returns an AttemptError with the given cause.
func NewAttemptError(ran Ran, cause error) *AttemptError {
	return &AttemptError{ran: ran, cause: cause}
}
