package rowstore

import (
	"context"
	"errors"
	"fmt"
)

// CallKind is the kind of a store call.
type CallKind string

// Kinds of store calls.
const (
	CallTransact     CallKind = "transact"
	CallRange        CallKind = "range"
	CallChanges      CallKind = "changes"
	CallPutObject    CallKind = "putObject"
	CallGetObject    CallKind = "getObject"
	CallDeleteObject CallKind = "deleteObject"
)

// Call describes a store call that has ended.
type Call struct {
	Kind CallKind
	// Table is that of the rows, in a transaction that of its first entry. It is empty for a call
	// on an object.
	Table string
	// ResponseBytes is the part of the response's body that was read.
	ResponseBytes int
	// Err is the error that the call returned.
	Err error
}

// Outcome is the outcome of a store call.
type Outcome string

// Outcomes of store calls.
const (
	OutcomeDone        Outcome = "done"
	OutcomeConflict    Outcome = "conflict"
	OutcomeNotFound    Outcome = "notFound"
	OutcomeHistoryGone Outcome = "historyGone"
	OutcomeRateLimited Outcome = "rateLimited"
	// OutcomeNotDone is that of a call that was rejected, or whose connection couldn't be opened.
	OutcomeNotDone Outcome = "notDone"
	// OutcomeIncomplete is that of a call whose response had started to arrive, but not ended.
	OutcomeIncomplete Outcome = "incomplete"
	// OutcomeUnanswered is that of a call whose response didn't start to arrive before its deadline.
	OutcomeUnanswered Outcome = "unanswered"
	// OutcomeCanceled is that of a call that was canceled before its response started to arrive.
	OutcomeCanceled Outcome = "canceled"
	// OutcomeFailed is that of any other call without a usable response.
	OutcomeFailed Outcome = "failed"
)

// outcomesByError has the outcomes of errors, the more specific ones first.
var outcomesByError = []struct {
	err     error
	outcome Outcome
}{
	{ErrConflict, OutcomeConflict},
	{ErrNotFound, OutcomeNotFound},
	{ErrHistoryGone, OutcomeHistoryGone},
	{ErrRateLimited, OutcomeRateLimited},
	{ErrNotDone, OutcomeNotDone},
	{ErrResponseIncomplete, OutcomeIncomplete},
	{context.DeadlineExceeded, OutcomeUnanswered},
	{context.Canceled, OutcomeCanceled},
}

// OutcomeOf returns the outcome of a store call that has returned err.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return OutcomeDone
	}
	for _, known := range outcomesByError {
		if errors.Is(err, known.err) {
			return known.outcome
		}
	}
	return OutcomeFailed
}

// IncompleteError reports a response that had started to arrive when reading it failed or the
// call was canceled. It wraps ErrInDoubt, ErrResponseIncomplete and the cause.
type IncompleteError struct {
	bytes int
	cause error
}

// NewIncomplete returns an IncompleteError for a response of which bytes were read.
func NewIncomplete(bytes int, cause error) *IncompleteError {
	return &IncompleteError{bytes: bytes, cause: cause}
}

// Error implements error.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("%v: %v after %d bytes: %v", ErrInDoubt, ErrResponseIncomplete, e.bytes, e.cause)
}

// Unwrap returns ErrInDoubt, ErrResponseIncomplete and the cause.
func (e *IncompleteError) Unwrap() []error {
	return []error{ErrInDoubt, ErrResponseIncomplete, e.cause}
}

// IncompleteBytes returns the bytes that were read of a response if err is that of an
// incomplete one, otherwise 0.
func IncompleteBytes(err error) int {
	var incomplete *IncompleteError
	if errors.As(err, &incomplete) {
		return incomplete.bytes
	}
	return 0
}
