// Package supervisor runs the tasks of a process and recovers from their panics, so
// that a panic ends or restarts one task only: a process serves the streams of many
// callers, and one malformed message must not end all of them.
package supervisor

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
)

// ErrPanic means that a task panicked.
var ErrPanic = errors.New("unexpected error")

// restartDelay is the time between a panic and the restart of the task.
const restartDelay = 200 * time.Millisecond

// Counter counts events by name.
type Counter interface {
	Count(name string)
}

// Supervisor runs tasks, and logs and counts their panics.
type Supervisor struct {
	counter Counter
	logger  *slog.Logger
	group   sync.WaitGroup
}

// New returns a supervisor without tasks.
func New(counter Counter, logger *slog.Logger) *Supervisor {
	return &Supervisor{counter: counter, logger: logger}
}

// Try runs a task on the calling goroutine. It returns the task's error, or an error
// that wraps ErrPanic if the task panics.
func (s *Supervisor) Try(name string, task func() error) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			s.recordPanic(name, reason)
			err = fmt.Errorf("%w in %s: %v", ErrPanic, name, reason)
		}
	}()
	return task()
}

// Guard runs a task on the calling goroutine and recovers from a panic, which ends
// the task.
func (s *Supervisor) Guard(name string, task func()) {
	_ = s.Try(name, func() error { // Try has logged a panic
		task()
		return nil
	})
}

func (s *Supervisor) recordPanic(name string, reason any) {
	s.counter.Count(`panics_total{task="` + name + `"}`)
	s.logger.Error("task ended by a panic", "task", name, "reason", fmt.Sprint(reason), "stack", string(debug.Stack()))
}

// Go runs a task on a new goroutine and recovers from a panic, which ends the task.
func (s *Supervisor) Go(name string, task func()) {
	s.group.Go(func() { s.Guard(name, task) })
}

// GoWithRestart runs a task on a new goroutine and restarts it after a panic, until
// the context ends or the task returns.
func (s *Supervisor) GoWithRestart(ctx context.Context, name string, task func(context.Context)) {
	s.group.Go(func() {
		for ctx.Err() == nil {
			err := s.Try(name, func() error {
				task(ctx)
				return nil
			})
			if err == nil || !sleeper.Sleep(ctx, restartDelay) {
				return
			}
		}
	})
}

// Wait waits until all tasks of Go and GoWithRestart have ended.
func (s *Supervisor) Wait() { s.group.Wait() }
