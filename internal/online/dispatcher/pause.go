package dispatcher

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/streammover"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
)

const (
	// maxPauses bounds how often one stream is paused, and pauseTimeout the call that
	// pauses it.
	maxPauses    = 3
	pauseTimeout = time.Second
)

// pauseOverShareStream pauses a stream of the caller that is most over its share, if this
// VM has one, so that the slot goes to a request of a caller under its share. It does
// nothing while there is batch work, which yields by itself.
//
// For example, 24 sequences are in use, 20 of them by one caller whose answers began at
// about the same time and end in half a second. Whatever the order of the queue, a
// request of another caller would wait that long. Instead, the newest of the 20 streams
// stops after its next token, and resumes when it is admitted again.
func (r *run) pauseOverShareStream() {
	if !r.dispatcher.pausing || r.lane.Pool().HasBatch() {
		return
	}
	caller, found := r.lane.queue.MostOverShare(r.request.Caller, r.request.Weight)
	if !found {
		r.trace.add("no room, and no caller is over its share")
		return
	}
	response := r.lane.newestPausable(caller)
	if response == nil || !response.pause() {
		r.trace.add("no room, and no stream of " + caller + " can be paused")
		return
	}
	r.dispatcher.counter.Count("streams_paused_total")
	r.trace.add("paused a stream of " + caller)
}

// pauseCandidate holds the properties that decide which of a caller's streams is paused.
type pauseCandidate struct {
	overloaded bool
	startedAt  time.Time
}

// preferredOver prefers streams whose pause frees a slot, and then the newest.
func (c pauseCandidate) preferredOver(other pauseCandidate) bool {
	if c.overloaded != other.overloaded {
		return !c.overloaded
	}
	return c.startedAt.After(other.startedAt)
}

// pausable returns the stream's properties for pausing, or false if the stream is another
// caller's, is being paused, or has been paused maxPauses times.
func (r *Response) pausable(caller string) (pauseCandidate, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.attempt.upstream
	ok := r.attempt.parent.request.Caller == caller && r.pauses < maxPauses && !r.pausing.Load()
	return pauseCandidate{overloaded: u.Gauge().OnlineTotal() > u.Sequences(), startedAt: r.attempt.startedAt}, ok
}

// pause asks the engine to stop the stream and keep its state, and returns false if the
// stream can't be paused. The engine truncates the stream after the last token that it
// has sent, without an end marker, or rejects the call if the answer is already complete.
func (r *Response) pause() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pauses >= maxPauses || !r.pausing.CompareAndSwap(false, true) {
		return false
	}
	r.pauses++
	a := r.attempt
	d := a.parent.dispatcher
	d.group.Go(func() {
		ctx, cancel := context.WithTimeout(a.ctx, pauseTimeout)
		defer cancel()
		_, err := d.sender.Call(ctx, relayer.Attempt{
			ID: a.id + "-pause", Address: a.upstream.Address(), Method: http.MethodPost,
			Path: upstream.PathCancel + a.id,
		}, false)
		if err != nil {
			r.pausing.Store(false)
		}
	})
	return true
}

// resume releases the slot of a paused stream, waits until it is admitted again and
// resumes it, on another upstream if the previous one has no available slot.
func (r *Response) resume() error {
	old := r.attempt
	run := old.parent
	run.releaseAdmission()
	old.end(false, nil)
	if err := run.lane.queue.Reenter(r.ctx, run.entry()); err != nil {
		return fmt.Errorf("wait to resume: %w", err)
	}
	run.admitted, run.started = true, false
	defer run.markStarted()
	target := run.resumeTarget(old.upstream)
	if target != old.upstream {
		if err := streammover.Move(
			r.ctx, run.dispatcher.sender, old.id, old.id, old.upstream.Address(), target.Address(),
		); err != nil {
			return err //nolint:wrapcheck // says what failed
		}
	}
	a := old.successor(r.ctx, target)
	if err := a.openResumed(r.tokens); err != nil {
		a.end(false, nil)
		return err
	}
	r.mu.Lock()
	r.attempt = a
	r.mu.Unlock()
	r.lastEvent = time.Time{}
	r.pausing.Store(false)
	run.dispatcher.counter.Count("streams_resumed_total")
	return nil
}

// resumeTarget returns the upstream on which to resume: the previous one if it has an
// available slot, otherwise another one that has, otherwise the previous one.
func (r *run) resumeTarget(previous *chooser.Upstream) *chooser.Upstream {
	pool := r.lane.Pool()
	now := time.Now()
	if pool.AvailableSlots(previous, now) > 0 {
		return previous
	}
	choice, ok := r.applyPolicy(chooser.Request{MaxTier: MaxTier(r.dispatcher.link, now), Now: now})
	if !ok || pool.AvailableSlots(choice.Upstream, now) == 0 {
		return previous
	}
	return choice.Upstream
}

// successor returns the attempt that resumes a paused stream. It has the same
// identifier, since every event that the caller gets contains it.
func (a *attempt) successor(ctx context.Context, u *chooser.Upstream) *attempt {
	next := newAttempt(ctx, a.parent, u, time.Now())
	next.id = a.id
	next.endPrompt() // the engine has already processed it
	return next
}

// openResumed opens the paused stream again, without its first tokens, whose number is
// given.
func (a *attempt) openResumed(tokens int) error {
	stream, err := a.parent.dispatcher.sender.Open(a.ctx, relayer.Attempt{
		ID: a.id, Address: a.upstream.Address(), Method: http.MethodPost,
		Path: fmt.Sprintf("%s%s?from=%d", upstream.PathResume, a.id, tokens), Deadline: a.parent.request.Deadline,
	})
	if err != nil {
		return err //nolint:wrapcheck // an AttemptError, which callers unwrap
	}
	a.mu.Lock()
	a.stream = stream
	a.mu.Unlock()
	return nil
}
