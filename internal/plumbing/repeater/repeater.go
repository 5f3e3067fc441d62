// Package repeater runs a step again and again: after the pause that the step asks for, or
// at once when it is woken.
package repeater

import (
	"context"
	"time"
)

// Repeater repeats one step. Wake is safe for concurrent use; Run must not run twice at a
// time.
type Repeater struct {
	wake chan struct{}
}

// New returns a Repeater that isn't running.
func New() *Repeater { return &Repeater{wake: make(chan struct{}, 1)} }

// Wake makes the next step run at once, or after the current one. It doesn't block.
func (r *Repeater) Wake() {
	select {
	case r.wake <- struct{}{}:
	default: // it is awake already
	}
}

// Run repeats the step until the context ends. The step returns the longest pause until it must
// run again.
func (r *Repeater) Run(ctx context.Context, step func(ctx context.Context) time.Duration) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-timer.C:
		}
		timer.Reset(step(ctx))
	}
}
