package batchkeeper

import (
	"fmt"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// ReadError reports a read of the store that failed, and what its last attempt met. It wraps
// ErrNotRead and the error of the last attempt.
type ReadError struct {
	table    string
	attempts int
	lastTook time.Duration
	cause    error
}

// newReadError returns the error of a read that has failed after some attempts, of which the last one
// took lastTook and met cause.
func newReadError(table string, attempts int, lastTook time.Duration, cause error) *ReadError {
	return &ReadError{table: table, attempts: attempts, lastTook: lastTook, cause: cause}
}

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("%v: %s: %v", ErrNotRead, e.table, e.cause) }

// Unwrap returns ErrNotRead and the error of the last attempt.
func (e *ReadError) Unwrap() []error { return []error{ErrNotRead, e.cause} }

// Table returns the table that was read.
func (e *ReadError) Table() string { return e.table }

// Attempts returns the number of attempts.
func (e *ReadError) Attempts() int { return e.attempts }

// LastTook returns how long the last attempt took.
func (e *ReadError) LastTook() time.Duration { return e.lastTook }

// Outcome returns the outcome of the last attempt.
func (e *ReadError) Outcome() rowstore.Outcome { return rowstore.OutcomeOf(e.cause) }

// ResponseBytes returns the part of the last response that had arrived, if the outcome is
// rowstore.OutcomeIncomplete.
func (e *ReadError) ResponseBytes() int { return rowstore.IncompleteBytes(e.cause) }
