// Package racer makes attempts at the same thing until the first succeeds, each a little after the
// one before.
package racer

import (
	"context"
	"io"
	"time"
)

// Attempt is one way to get a result. It should end with its context, and must end by itself.
type Attempt[R io.Closer] func(ctx context.Context) (R, error)

// outcome is the outcome of one attempt.
type outcome[R io.Closer] struct {
	result R
	err    error
}

// First starts the attempts in order, each when the one before has failed or an interval has passed,
// and returns the first result. It returns false if all attempts have failed, isEnough returns true
// for the error of one, or the context ends. It doesn't wait for attempts that are left: their context
// ends, and what they return is closed by goroutines that it starts with spawn.
func First[R io.Closer](
	ctx context.Context, spawn func(task func()), interval time.Duration, attempts []Attempt[R],
	isEnough func(err error) bool,
) (result R, found bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome[R], len(attempts))
	started, pending := 0, 0
	defer func() { closeUnused(spawn, outcomes, pending) }()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if started < len(attempts) {
			attempt := attempts[started]
			started++
			pending++
			ticker.Reset(interval)
			spawn(func() {
				result, err := attempt(ctx)
				outcomes <- outcome[R]{result, err}
			})
		}
		if pending == 0 {
			return result, false
		}
		select {
		case o := <-outcomes:
			pending--
			if o.err == nil {
				return o.result, true
			}
			if isEnough(o.err) {
				return result, false
			}
		case <-ticker.C:
		case <-ctx.Done():
			return result, false
		}
	}
}

// closeUnused closes the results of pending attempts.
func closeUnused[R io.Closer](spawn func(task func()), outcomes <-chan outcome[R], pending int) {
	if pending == 0 {
		return
	}
	spawn(func() {
		for range pending {
			if o := <-outcomes; o.err == nil {
				_ = o.result.Close()
			}
		}
	})
}
