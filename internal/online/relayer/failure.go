package relayer

import (
	"errors"
	"fmt"
	"net"
	"net/http"
)

// Ran tells whether a request that failed was run.
type Ran uint8

// Whether a request was run.
const (
	// RanNot requests surely had no effect.
	RanNot Ran = iota
	// RanMaybe requests may have run, in part or as a whole.
	RanMaybe
	// RanFailed requests ran and failed.
	RanFailed
)

// String returns the value of the header that tells callers.
func (r Ran) String() string {
	return [...]string{"not-run", "may-have-run", "ran-and-failed"}[r]
}

// Errors of this layer.
var (
	// ErrTruncated means that a stream ended without its end mark.
	ErrTruncated = errors.New("stream cut short")
	// ErrCrossed means that an answer belongs to another request.
	ErrCrossed = errors.New("answer of another request")
	// ErrRefused means that the upstream refused the request.
	ErrRefused = errors.New("upstream refused")
	// ErrLost means that the connection broke before an answer came.
	ErrLost = errors.New("connection lost")
	// ErrUnreachable means that no connection could be made.
	ErrUnreachable = errors.New("upstream unreachable")
)

// AttemptError is a failed attempt.
type AttemptError struct {
	ran     Ran
	crash   bool
	leaving bool
	status  int
	cause   error
}

// Error implements error.
func (f *AttemptError) Error() string { return fmt.Sprintf("%s: %v", f.ran, f.cause) }

// Unwrap returns the cause.
func (f *AttemptError) Unwrap() error { return f.cause }

// Ran tells whether the request was run.
func (f *AttemptError) Ran() Ran { return f.ran }

// MayHaveCrashed tells whether the upstream may have crashed on the request.
func (f *AttemptError) MayHaveCrashed() bool { return f.crash }

// Leaving tells whether the upstream refused because it is leaving.
func (f *AttemptError) Leaving() bool { return f.leaving }

// Status returns the status of an answer that must be handed to the caller as
// it is, or 0.
func (f *AttemptError) Status() int { return f.status }

// AsAttemptError returns the failure that an error wraps; an error of another kind
// may have run.
func AsAttemptError(err error) *AttemptError {
	var failure *AttemptError
	if errors.As(err, &failure) {
		return failure
	}
	return &AttemptError{ran: RanMaybe, cause: err}
}

// failureOfSend classifies an error of the HTTP client. Only a connection that
// could not be made is a promise that nothing ran.
func failureOfSend(err error) *AttemptError {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return &AttemptError{ran: RanNot, cause: fmt.Errorf("%w: %w", ErrUnreachable, err)}
	}
	// io.EOF is not wrapped, as it means the end of a whole stream here.
	return &AttemptError{ran: RanMaybe, crash: true, cause: fmt.Errorf("%w: %v", ErrLost, err)} //nolint:errorlint // see above
}

// failureOfStatus classifies an answer that is not a success.
func failureOfStatus(status int, notRun, leaving bool, text string) *AttemptError {
	cause := fmt.Errorf("%w: status %d: %s", ErrRefused, status, text)
	switch {
	case notRun:
		return &AttemptError{ran: RanNot, leaving: leaving, cause: cause}
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return &AttemptError{ran: RanNot, status: status, cause: cause}
	default:
		return &AttemptError{ran: RanFailed, cause: cause}
	}
}

// NewAttemptError returns a failure of a request that took several attempts.
func NewAttemptError(ran Ran, cause error) *AttemptError {
	return &AttemptError{ran: ran, cause: cause}
}
