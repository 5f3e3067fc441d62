package server

import "github.com/fescuespindle/fescuespindle/internal/faces/failurewriter"

// Headers of answers to callers.
const (
	// HeaderRan tells whether a refused request was run.
	HeaderRan = failurewriter.HeaderRan
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
