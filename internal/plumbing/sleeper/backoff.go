package sleeper

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff is the pauses between the attempts of a call: they double from one to
// the next, and half of each to one and a half of it is drawn, so that callers
// don't come back together.
type Backoff struct {
	// Initial is the pause after the first attempt, and Most the longest one, each
	// before the draw.
	Initial time.Duration
	Max     time.Duration
}

// maxDoublings keeps a pause from overflowing.
const maxDoublings = 16

// Wait waits before another attempt; the first one has number 0. It returns false
// if the context ends first.
func (b Backoff) Wait(ctx context.Context, attempt int) bool {
	limit := min(b.Initial<<min(attempt, maxDoublings), b.Max)
	return Sleep(ctx, limit/2+rand.N(limit))
}
