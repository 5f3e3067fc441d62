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
	// maxPauses bounds how often one stream is paused.
	maxPauses    = 3
	pauseTimeout = time.Second
)

// pauseOverShareStream pauses a stream of the caller that is farthest over its share, if
// this VM has one, for a request of a caller under its share that finds no
// room. Batch work makes room by itself.
//
// An example: 24 sequences are taken, 20 of them by one caller, whose answers
// began at about the same time and end in half a second. However the queue is
// ordered, a request of another caller waits that long. Instead, the newest of
// the 20 stops after its next token and goes on when it gets its turn again.
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

// pauseCandidate is what decides which of a caller's streams is paused.
type pauseCandidate struct {
	overloaded bool
	startedAt  time.Time
}

func (c pauseCandidate) preferredOver(other pauseCandidate) bool {
	if c.overloaded != other.overloaded {
		return !c.overloaded
	}
	return c.startedAt.After(other.startedAt)
}

// pausable returns false if the stream is another caller's or may not be paused.
func (r *Response) pausable(caller string) (pauseCandidate, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.attempt.upstream
	ok := r.attempt.run.request.Caller == caller && r.pauses < maxPauses && !r.pausing.Load()
	return pauseCandidate{overloaded: u.Gauge().OnlineTotal() > u.Sequences(), startedAt: r.attempt.startedAt}, ok
}

// pause asks the engine to stop the stream and keep its state. The engine ends
// the stream without an end mark after the last token that it has sent, or
// refuses if the answer is already whole.
func (r *Response) pause() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pauses >= maxPauses || !r.pausing.CompareAndSwap(false, true) {
		return false
	}
	r.pauses++
	a := r.attempt
	d := a.run.dispatcher
	d.group.Go(func() {
		ctx, cancel := context.WithTimeout(a.ctx, pauseTimeout)
		defer cancel()
		_, err := d.sender.Call(ctx, relayer.Attempt{
			ID: a.id + "-pause", Address: a.upstream.Address(), Method: http.MethodPost, Path: upstream.PathCancel + a.id,
		}, false)
		if err != nil {
			r.pausing.Store(false)
		}
	})
	return true
}

// resume gives the paused stream's place up, waits for its caller's turn and
// goes on with the stream, on another engine if its own is full.
func (r *Response) resume() error {
	old := r.attempt
	run := old.run
	run.releaseAdmission()
	old.end(false, nil)
	if err := run.lane.queue.Reenter(r.ctx, run.entry()); err != nil {
		return fmt.Errorf("wait to resume: %w", err)
	}
	run.admitted, run.started = true, false
	defer run.markStarted()
	target := run.resumeTarget(old.upstream)
	if target != old.upstream {
		if err := streammover.Move(r.ctx, run.dispatcher.sender, old.id, old.id, old.upstream.Address(), target.Address()); err != nil {
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

// resumeTarget returns the stream's own upstream if it has room, or another
// that has.
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

// successor returns the flight that goes on with a stopped stream under the
// same identifier, which is in every event that the caller gets.
func (a *attempt) successor(ctx context.Context, u *chooser.Upstream) *attempt {
	next := newAttempt(ctx, a.run, u, time.Now())
	next.id = a.id
	next.endPrompt() // the engine has worked through it
	return next
}

// openResumed goes on with the stream from an index on.
func (a *attempt) openResumed(tokens int) error {
	stream, err := a.run.dispatcher.sender.Open(a.ctx, relayer.Attempt{
		ID: a.id, Address: a.upstream.Address(), Method: http.MethodPost,
		Path: fmt.Sprintf("%s%s?from=%d", upstream.PathResume, a.id, tokens), Deadline: a.run.request.Deadline,
	})
	if err != nil {
		return err //nolint:wrapcheck // an AttemptError, which callers unwrap
	}
	a.mu.Lock()
	a.stream = stream
	a.mu.Unlock()
	return nil
}
