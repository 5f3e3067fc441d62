package server

import "github.com/fescuespindle/fescuespindle/internal/faces/failurewriter"

// HTTP headers of requests and responses.
const (
	// HeaderRan says in an error response whether the request was run.
	HeaderRan = failurewriter.HeaderRan
	// HeaderReplayed marks the stored response of an earlier run of the same call.
	HeaderReplayed = "X-Fescuespindle-Replayed"
	// HeaderRequestID is the request ID: of the caller's choice in a request, as
	// assigned by the VM in a response.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey is equal in a request and its retries.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadline is the time after which the caller has no use for a response, in
	// the format of RFC 3339.
	HeaderDeadline = "X-Deadline"
)
