// Package sleeper provides sleeps and backoff delays that a context can cancel.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for a duration, if it is positive. It returns false if the context ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
