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

// makeRoom pauses a stream of the caller that is farthest over its share, if
// this VM has one, for a request of a caller under its share that finds no
// room. Batch work makes room by itself.
//
// An example: 24 sequences are taken, 20 of them by one caller, whose answers
// began at about the same time and end in half a second. However the queue is
// ordered, a request of another caller waits that long. Instead, the newest of
// the 20 stops after its next token and goes on when it gets its turn again.
func (r *run) makeRoom() {
	if !r.dispatcher.pausing || r.lane.Pool().HasBatch() {
		return
	}
	caller, found := r.lane.queue.MostOverShare(r.request.Caller, r.request.Weight)
	if !found {
		r.trace.add("no room, and no caller is over its share")
		return
	}
	victim := r.lane.newestOf(caller)
	if victim == nil || !victim.pause() {
		r.trace.add("no room, and no stream of " + caller + " can be paused")
		return
	}
	r.dispatcher.counter.Count("streams_paused_total")
	r.trace.add("paused a stream of " + caller)
}

// pauseChoice is what decides which of a caller's streams is paused.
type pauseChoice struct {
	overFull bool
	begun    time.Time
}

func (c pauseChoice) before(other pauseChoice) bool {
	if c.overFull != other.overFull {
		return !c.overFull
	}
	return c.begun.After(other.begun)
}

// pausable returns false if the stream is another caller's or may not be paused.
func (r *Response) pausable(caller string) (pauseChoice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.flight.upstream
	ok := r.flight.owner.request.Caller == caller && r.pauses < maxPauses && !r.pausing.Load()
	return pauseChoice{overFull: u.Gauge().OnlineTotal() > u.Sequences(), begun: r.flight.begun}, ok
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
	f := r.flight
	d := f.owner.dispatcher
	d.group.Go(func() {
		ctx, cancel := context.WithTimeout(f.ctx, pauseTimeout)
		defer cancel()
		_, err := d.engines.Call(ctx, relayer.Attempt{
			ID: f.id + "-pause", Address: f.upstream.Address(), Method: http.MethodPost, Path: upstream.PathCancel + f.id,
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
	old := r.flight
	run := old.owner
	run.leave()
	old.end(false, nil)
	if err := run.lane.queue.Reenter(r.ctx, run.entry()); err != nil {
		return fmt.Errorf("wait to resume: %w", err)
	}
	run.entered, run.started = true, false
	defer run.markStarted()
	target := run.resumeTarget(old.upstream)
	if target != old.upstream {
		if err := streammover.Move(r.ctx, run.dispatcher.engines, old.id, old.id, old.upstream.Address(), target.Address()); err != nil {
			return err //nolint:wrapcheck // says what failed
		}
	}
	f := old.successor(r.ctx, target)
	if err := f.openResumed(r.tokens); err != nil {
		f.end(false, nil)
		return err
	}
	r.mu.Lock()
	r.flight = f
	r.mu.Unlock()
	r.last = time.Time{}
	r.pausing.Store(false)
	run.dispatcher.counter.Count("streams_resumed_total")
	return nil
}

// resumeTarget returns the stream's own upstream if it has room, or another
// that has.
func (r *run) resumeTarget(own *chooser.Upstream) *chooser.Upstream {
	pool := r.lane.Pool()
	now := time.Now()
	if pool.AvailableSlots(own, now) > 0 {
		return own
	}
	choice, ok := r.pick(chooser.Request{MaxTier: MaxTier(r.dispatcher.link, now), Now: now})
	if !ok || pool.AvailableSlots(choice.Upstream, now) == 0 {
		return own
	}
	return choice.Upstream
}

// successor returns the flight that goes on with a stopped stream under the
// same identifier, which is in every event that the caller gets.
func (f *flight) successor(ctx context.Context, u *chooser.Upstream) *flight {
	next := newFlight(ctx, f.owner, u, time.Now())
	next.id = f.id
	next.endPrompt() // the engine has worked through it
	return next
}

// openResumed goes on with the stream from an index on.
func (f *flight) openResumed(tokens int) error {
	stream, err := f.owner.dispatcher.engines.Open(f.ctx, relayer.Attempt{
		ID: f.id, Address: f.upstream.Address(), Method: http.MethodPost,
		Path: fmt.Sprintf("%s%s?from=%d", upstream.PathResume, f.id, tokens), Deadline: f.owner.request.Deadline,
	})
	if err != nil {
		return err //nolint:wrapcheck // an AttemptError, which callers unwrap
	}
	f.mu.Lock()
	f.stream = stream
	f.mu.Unlock()
	return nil
}
