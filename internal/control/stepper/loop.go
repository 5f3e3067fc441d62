// Package stepper runs control state on the goroutine of one event loop. Network calls run
// on other goroutines and post their results back as events.
package stepper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const mailboxLength = 4096

// Event is a step that changes control state. It runs on the loop's goroutine and must not
// block.
type Event func(now time.Time)

// Loop is an event loop that owns control state.
type Loop struct {
	mailbox chan Event
	ctx     context.Context //nolint:containedctx // lifetime of the loop and of the work started by Go
	cancel  context.CancelFunc
	group   sync.WaitGroup
	period  atomic.Int64 // a time.Duration
	tick    Event
	after   Event
	guard   Guard
}

// Guard runs a step of the loop and decides what a panic in it ends.
type Guard func(name string, step func())

// Option configures a Loop.
type Option func(*Loop)

// WithGuard sets the function that runs each step. By default a panic in a step ends the
// process.
func WithGuard(guard Guard) Option {
	return func(l *Loop) { l.guard = guard }
}

// New returns a Loop that calls tick once every period. It calls after once after each
// tick and after each batch of events.
func New(period time.Duration, tick, after Event, options ...Option) *Loop {
	l := &Loop{
		mailbox: make(chan Event, mailboxLength), tick: tick, after: after,
		guard: func(_ string, step func()) { step() },
	}
	l.SetPeriod(period)
	for _, option := range options {
		option(l)
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// SetPeriod sets the time between two ticks. It takes effect after the next tick.
func (l *Loop) SetPeriod(period time.Duration) { l.period.Store(int64(period)) }

// Start starts the loop.
func (l *Loop) Start() { l.group.Go(l.run) }

// Stop ends the loop, cancels the work started by Go, and waits for both.
func (l *Loop) Stop() {
	l.cancel()
	l.group.Wait()
}

// Post queues an event. It blocks while the mailbox is full. Once the loop has ended,
// events are discarded.
func (l *Loop) Post(e Event) {
	select {
	case l.mailbox <- e:
	case <-l.ctx.Done():
	}
}

// Go runs work on another goroutine, and posts the event that it returns, if any.
func (l *Loop) Go(work func(context.Context) Event) {
	l.group.Go(func() {
		if event := work(l.ctx); event != nil {
			l.Post(event)
		}
	})
}

func (l *Loop) run() {
	ticker := time.NewTimer(time.Duration(l.period.Load()))
	defer ticker.Stop()
	for {
		select {
		case e := <-l.mailbox:
			l.step("event", e)
			l.drain()
		case <-ticker.C:
			ticker.Reset(time.Duration(l.period.Load()))
			l.step("tick", l.tick)
		case <-l.ctx.Done():
			return
		}
		l.step("after", l.after)
	}
}

func (l *Loop) step(name string, e Event) {
	l.guard(name, func() { e(time.Now()) })
}

// drain runs the events that are already queued, so that after runs once per batch.
func (l *Loop) drain() {
	for range len(l.mailbox) {
		l.step("event", <-l.mailbox)
	}
}
