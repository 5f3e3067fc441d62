package sleeper

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff is an exponential backoff: the delay doubles after each attempt. Wait multiplies
// it by a random factor between 0.5 and 1.5, so that clients don't retry at the same time.
type Backoff struct {
	// Initial is the delay after the first attempt, and Max the longest delay, both
	// before jitter.
	Initial time.Duration
	Max     time.Duration
}

// maxDoublings bounds the exponent, so that a delay doesn't overflow.
const maxDoublings = 16

// Delay returns the delay after an attempt, of which the first has number 0, without
// jitter.
func (b Backoff) Delay(attempt int) time.Duration {
	return min(b.Initial<<min(attempt, maxDoublings), b.Max)
}

// Wait sleeps for the delay after an attempt, of which the first has number 0. It
// returns false if the context ends first.
func (b Backoff) Wait(ctx context.Context, attempt int) bool {
	delay := b.Delay(attempt)
	return Sleep(ctx, delay/2+rand.N(delay))
}
