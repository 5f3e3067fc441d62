package pacer

import (
	"sync"
	"time"
)

const (
	// wakeTime is how long a stall must last beyond its time: after a VM has stood
	// still its timers fire at once, and what came meanwhile has yet to be read.
	wakeTime = 50 * time.Millisecond
	// livelyFactor is how many times longer an upstream is waited for that goes on
	// answering other requests: it only queues this one, or its connection is gone.
	livelyFactor = 3
	// remainingShare is the part of the time to the deadline after which a plain
	// request goes elsewhere, as a divisor, so that there is time for it.
	remainingShare = 2
)

// StallTimer ends an attempt whose upstream sends nothing that says anything. It
// stands still while a caller takes an event: one that reads slowly is not the
// upstream's fault.
type StallTimer struct {
	pacer   *Pacer
	watch   Attempt
	stalled func()

	mu       sync.Mutex
	timer    *time.Timer
	progress time.Time // when there last was any; the start at first
	events   int
	paused   time.Time // since when it stands still; zero if it doesn't
	woken    bool      // its time was over, and it waits a little longer
	ended    bool
}

// Attempt is what a stall is judged by.
type Attempt struct {
	Service  string
	Upstream string
	// CanFailOver tells whether the request may go on elsewhere.
	CanFailOver bool
	// Deadline is that of a plain request; zero for streams.
	Deadline time.Time
}

// StartStallTimer starts a clock that calls a function when its time is over.
func (p *Pacer) StartStallTimer(watch Attempt, stalled func()) *StallTimer {
	c := &StallTimer{pacer: p, watch: watch, stalled: stalled, progress: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock() // the time may be over before the timer is known
	c.timer = time.AfterFunc(c.patience(), c.fire)
	return c
}

// patience returns how long the next sign of progress is waited for, from the last one
// on. The caller holds mu.
func (c *StallTimer) patience() time.Duration { return c.watch.patience(c.pacer, c.events, c.progress) }

// patience returns how long the next sign of progress is waited for, after so many
// events and from a moment on.
func (w *Attempt) patience(p *Pacer, events int, now time.Time) time.Duration {
	switch {
	case !w.CanFailOver:
		return MaxTimeout
	case !w.Deadline.IsZero():
		return min(p.AnswerTimeout(w.Service), w.Deadline.Sub(now)/remainingShare)
	case events == 0:
		return FirstEventTimeout
	default:
		return p.EventGapTimeout(w.Service)
	}
}

// fire is called when the time is over.
func (c *StallTimer) fire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	if rest := c.rest(time.Now()); rest > 0 {
		c.timer.Reset(rest)
		return
	}
	c.stalled()
}

// rest returns how much longer the upstream is waited for. The caller holds mu.
func (c *StallTimer) rest(now time.Time) time.Duration {
	if !c.paused.IsZero() {
		return MaxTimeout // Resume sets the timer anew
	}
	most := c.patience()
	if c.watch.CanFailOver && c.pacer.IsResponsive(c.watch.Upstream, c.progress) {
		most = min(livelyFactor*most, MaxTimeout)
	}
	switch waited := now.Sub(c.progress); {
	case waited < most:
		return most - waited
	case !c.woken:
		c.woken = true
		return wakeTime
	default:
		return 0
	}
}

// Pause makes the clock stand still.
func (c *StallTimer) Pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer.Stop()
	c.paused = time.Now()
}

// Resume lets the clock go on, from the start if there was progress.
func (c *StallTimer) Resume(progress bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if progress {
		c.noteEvent(now)
	} else {
		c.progress = c.progress.Add(now.Sub(c.paused))
	}
	c.paused = time.Time{}
	c.timer.Reset(max(c.patience()-now.Sub(c.progress), 0))
}

// noteEvent takes in an event, which came when the clock was paused for it. The
// caller holds mu.
func (c *StallTimer) noteEvent(now time.Time) {
	gap := time.Duration(0)
	if c.events > 0 {
		gap = c.paused.Sub(c.progress)
	}
	c.pacer.RecordEvent(c.watch.Service, c.watch.Upstream, gap, now)
	c.events++
	c.progress, c.woken = now, false
}

// Stop ends the clock. It may be called again, and on a nil clock.
func (c *StallTimer) Stop() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.timer.Stop()
}
