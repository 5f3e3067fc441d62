// Package sleeper provides sleeps and backoff delays that a context can cancel.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for a duration. It returns false if the context ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
