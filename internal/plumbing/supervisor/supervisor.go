// Package supervisor runs the tasks of a process so that an unexpected error in
// one of them, a panic, ends or restarts that task alone: a process carries many
// callers' streams, and one malformed message must not cut them all.
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

// ErrPanic means that a task ended by a panic.
var ErrPanic = errors.New("unexpected error")

// restartPause is the time until a task that is kept runs again.
const restartPause = 200 * time.Millisecond

// Counter counts events by name.
type Counter interface {
	Count(name string)
}

// Supervisor runs tasks.
type Supervisor struct {
	counter Counter
	logger  *slog.Logger
	group   sync.WaitGroup
}

// New returns a supervisor without tasks.
func New(counter Counter, logger *slog.Logger) *Supervisor {
	return &Supervisor{counter: counter, logger: logger}
}

// Try runs a task here and returns its error, or ErrPanic.
func (s *Supervisor) Try(name string, task func() error) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			s.note(name, reason)
			err = fmt.Errorf("%w in %s: %v", ErrPanic, name, reason)
		}
	}()
	return task()
}

// Guard runs a task here. A panic ends the task.
func (s *Supervisor) Guard(name string, task func()) {
	_ = s.Try(name, func() error { // noted already
		task()
		return nil
	})
}

func (s *Supervisor) note(name string, reason any) {
	s.counter.Count(`panics_total{task="` + name + `"}`)
	s.logger.Error("task ended by a panic", "task", name, "reason", fmt.Sprint(reason), "stack", string(debug.Stack()))
}

// Go runs a task on a goroutine of its own. A panic ends the task.
func (s *Supervisor) Go(name string, task func()) {
	s.group.Go(func() { s.Guard(name, task) })
}

// GoWithRestart runs a task on a goroutine of its own, and again after a panic, until the
// context ends or the task returns.
func (s *Supervisor) GoWithRestart(ctx context.Context, name string, task func(context.Context)) {
	s.group.Go(func() {
		for ctx.Err() == nil {
			ended := s.Try(name, func() error {
				task(ctx)
				return nil
			})
			if ended == nil || !sleeper.Sleep(ctx, restartPause) {
				return
			}
		}
	})
}

// Wait waits for all tasks to end.
func (s *Supervisor) Wait() { s.group.Wait() }
