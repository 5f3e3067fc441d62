// Package sleeper waits for a time that a context can cut short.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits. It returns false if the context ends first.
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
