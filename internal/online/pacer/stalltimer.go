package pacer

import (
	"sync"
	"time"
)

const (
	// wakeGrace extends a timeout once. When a suspended VM resumes, its timers fire at
	// once although data that arrived in the meantime is still unread.
	wakeGrace = 50 * time.Millisecond
	// responsiveFactor extends the timeout of an upstream that keeps answering other
	// requests: it has only queued this one, or its connection is lost.
	responsiveFactor = 3
	// deadlineDivisor is the share of the time to the deadline, as a divisor, after
	// which a plain request moves to another upstream, so that enough time is left
	// there.
	deadlineDivisor = 2
)

// StallTimer ends an attempt whose upstream makes no progress. Pause it while an event is
// written to the caller, because a slow reader is not the upstream's fault.
type StallTimer struct {
	pacer   *Pacer
	attempt Attempt
	onStall func()

	mu           sync.Mutex
	timer        *time.Timer
	lastProgress time.Time // time of the last event; the start at first
	events       int
	pausedAt     time.Time // zero if running
	graceUsed    bool      // wakeGrace has been granted since the last event
	stopped      bool
}

// Attempt describes the attempt that a StallTimer watches.
type Attempt struct {
	Service  string
	Upstream string
	// CanFailOver is whether the request may continue on another upstream.
	CanFailOver bool
	// Deadline is that of a plain request; zero for streams.
	Deadline time.Time
}

// StartStallTimer starts a timer that calls onStall when an attempt makes no progress
// in time. onStall is called with the timer's lock held, so it must not call the timer's
// methods.
func (p *Pacer) StartStallTimer(attempt Attempt, onStall func()) *StallTimer {
	t := &StallTimer{pacer: p, attempt: attempt, onStall: onStall, lastProgress: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock() // the timer may fire before it is assigned
	t.timer = time.AfterFunc(t.timeout(), t.onTimer)
	return t
}

// timeout returns how long to wait for the next event, from the last one on. The
// caller must hold mu.
func (t *StallTimer) timeout() time.Duration {
	return t.attempt.timeout(t.pacer, t.events, t.lastProgress)
}

// timeout returns how long to wait, from a given time on, for the next event after the
// given number of events, or for a plain answer.
func (a *Attempt) timeout(p *Pacer, events int, since time.Time) time.Duration {
	switch {
	case !a.CanFailOver:
		return MaxTimeout
	case !a.Deadline.IsZero():
		return min(p.AnswerTimeout(a.Service), a.Deadline.Sub(since)/deadlineDivisor)
	case events == 0:
		return FirstEventTimeout
	default:
		return p.EventGapTimeout(a.Service)
	}
}

// onTimer runs when the timer fires.
func (t *StallTimer) onTimer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	if remaining := t.remaining(time.Now()); remaining > 0 {
		t.timer.Reset(remaining)
		return
	}
	t.onStall()
}

// remaining returns how much longer to wait for the upstream. The caller must hold mu.
func (t *StallTimer) remaining(now time.Time) time.Duration {
	if !t.pausedAt.IsZero() {
		return MaxTimeout // Resume resets the timer
	}
	limit := t.timeout()
	if t.attempt.CanFailOver && t.pacer.IsResponsive(t.attempt.Upstream, t.lastProgress) {
		limit = min(responsiveFactor*limit, MaxTimeout)
	}
	switch waited := now.Sub(t.lastProgress); {
	case waited < limit:
		return limit - waited
	case !t.graceUsed:
		t.graceUsed = true
		return wakeGrace
	default:
		return 0
	}
}

// Pause pauses the timer.
func (t *StallTimer) Pause() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
	t.pausedAt = time.Now()
}

// Resume resumes the timer, and restarts its timeout if there was progress.
func (t *StallTimer) Resume(progress bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if progress {
		t.recordEvent(now)
	} else {
		t.lastProgress = t.lastProgress.Add(now.Sub(t.pausedAt))
	}
	t.pausedAt = time.Time{}
	t.timer.Reset(max(t.timeout()-now.Sub(t.lastProgress), 0))
}

// recordEvent records an event that arrived when the timer was paused. The caller must
// hold mu.
func (t *StallTimer) recordEvent(now time.Time) {
	gap := time.Duration(0)
	if t.events > 0 {
		gap = t.pausedAt.Sub(t.lastProgress)
	}
	t.pacer.RecordEvent(t.attempt.Service, t.attempt.Upstream, gap, now)
	t.events++
	t.lastProgress, t.graceUsed = now, false
}

// Stop stops the timer. It may be called repeatedly, and on a nil StallTimer.
func (t *StallTimer) Stop() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
