package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/admitter"
	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
)

// run is one request on its way.
type run struct {
	dispatcher *Dispatcher
	lane       *Lane
	request    Request
	trace      *Trace
	attempts   int
	started    bool
	entered    bool
	prefix     uint64
	worst      relayer.Ran
	last       *relayer.AttemptError
	results    chan result
	flying     []*flight
}

// result is the first event of an attempt, or its failure.
type result struct {
	flight *flight
	first  []byte
	err    error
}

func (r *run) open(ctx context.Context) (*Response, *RejectedError) {
	d := r.dispatcher
	if !time.Now().Before(r.request.Deadline) {
		return nil, &RejectedError{reason: ReasonDeadline, ran: relayer.RanNot, cause: ErrDeadline}
	}
	if err := r.lane.queue.Enter(ctx, r.entry()); err != nil {
		return nil, refuseEntry(err)
	}
	r.trace.add(fmt.Sprintf("let in after %v in line", time.Since(r.trace.at).Round(time.Millisecond)))
	defer r.markStarted()
	r.entered = true
	r.prefix = r.request.Prefix
	if shared := r.lane.prefixes.Shared(r.prefix); r.lane.Pool().HasBatch() {
		r.prefix = shared // others gather, so that batch work has room
	}
	d.retries.Earn()
	d.hedges.Earn()
	r.results = make(chan result, maxAttempts)
	if refusal := r.launch(ctx, nil); refusal != nil {
		return nil, refusal
	}
	return r.wait(ctx)
}

// entry is what the queue has to know of the request.
func (r *run) entry() admitter.Entry {
	return admitter.Entry{
		Caller: r.request.Caller, Weight: r.request.Weight, Deadline: r.request.Deadline, OnUnderShareWait: r.makeRoom,
	}
}

// leave tells the queue that the request is over.
func (r *run) leave() {
	if r.entered {
		r.entered = false
		r.lane.queue.Done(r.request.Caller)
	}
}

// markStarted tells the queue once that the request is counted by a gauge, or
// won't be.
func (r *run) markStarted() {
	if !r.started {
		r.started = true
		r.lane.queue.Started()
	}
}

// wait follows the attempts until one answers or none is left.
func (r *run) wait(ctx context.Context) (*Response, *RejectedError) {
	hedge := r.hedgeTimer()
	defer hedge.Stop()
	deadline := time.NewTimer(time.Until(r.request.Deadline))
	defer deadline.Stop()
	for {
		select {
		case got := <-r.results:
			if got.err == nil {
				return r.win(ctx, got), nil
			}
			if refusal := r.fail(ctx, got); refusal != nil {
				return nil, refusal
			}
		case <-hedge.C:
			r.hedge(ctx)
		case <-deadline.C:
			return nil, r.abandon(ErrDeadline)
		case <-ctx.Done():
			return nil, r.abandon(ctx.Err())
		}
	}
}

// hedgeTimer returns when to send a hedge. One with a long prompt costs another
// engine all of the prompt, so it is sent only once the request is late beyond
// what a prompt that isn't cached takes.
func (r *run) hedgeTimer() *time.Timer {
	wait := r.lane.first.P95()
	if r.request.Prefix == 0 {
		wait = min(wait, hedgeMedians*r.lane.first.Median()/hedgeMedianParts)
	}
	if wait == 0 || !r.dispatcher.hedging {
		timer := time.NewTimer(time.Hour)
		timer.Stop()
		return timer
	}
	return time.NewTimer(max(wait, minHedgeWait))
}

// launch starts one more attempt, away from one upstream.
func (r *run) launch(ctx context.Context, avoid *chooser.Upstream) *RejectedError {
	d := r.dispatcher
	now := time.Now()
	if d.quarantine.ShouldReject(r.request.Fingerprint, now) {
		return &RejectedError{reason: ReasonTooManyCrashes, ran: relayer.RanFailed, cause: ErrTooManyCrashes}
	}
	choice, release, ok := r.choose(ctx, avoid, now)
	if !ok && d.quarantine.ShouldReject(r.request.Fingerprint, time.Now()) {
		return &RejectedError{reason: ReasonTooManyCrashes, ran: relayer.RanFailed, cause: ErrTooManyCrashes}
	}
	if !ok {
		retryAt := now.Add(time.Second)
		return &RejectedError{reason: ReasonNoUpstream, ran: r.worst, retryAt: retryAt, cause: r.explain(ErrNoUpstream)}
	}
	d.counter.Count(fmt.Sprintf("choices_total{reason=%q}", choice.Reason))
	r.trace.choose(r.lane.Pool(), choice)
	r.attempts++
	f := newFlight(ctx, r, choice.Upstream, now)
	f.release = release
	r.markStarted()
	r.flying = append(r.flying, f)
	d.group.Go(f.run)
	return nil
}

// fail handles a failed attempt: it retries, waits for another attempt, or
// gives the final answer.
func (r *run) fail(ctx context.Context, got result) *RejectedError {
	d := r.dispatcher
	failure := relayer.AsAttemptError(got.err)
	r.last = failure
	r.worst = max(r.worst, failure.Ran())
	r.trace.add(got.flight.upstream.ID() + ": " + failure.Error())
	r.drop(got.flight)
	got.flight.end(false, failure)
	if failure.Status() != 0 {
		return &RejectedError{reason: ReasonBadRequest, ran: relayer.RanNot, status: failure.Status(), cause: failure}
	}
	if len(r.flying) > 0 {
		return nil
	}
	if r.attempts >= maxAttempts || !d.retries.Spend() {
		retryAt := time.Now().Add(time.Second)
		return &RejectedError{reason: ReasonFailed, ran: r.worst, retryAt: retryAt, cause: r.explain(failure)}
	}
	d.counter.Count("retries_total")
	return r.launch(ctx, got.flight.upstream)
}

func (r *run) explain(err error) error {
	if r.last == nil || errors.Is(err, r.last) {
		return err
	}
	return fmt.Errorf("%w: %w", err, r.last)
}

// hedge starts a second attempt if its budget allows and the pool has room.
func (r *run) hedge(ctx context.Context) {
	d := r.dispatcher
	if len(r.flying) != 1 || r.attempts >= maxAttempts || !r.lane.hasRoom(chooser.CapacityQuery{Standing: chooser.StandingOverShare}) {
		return
	}
	if d.quarantine.Strikes(r.request.Fingerprint, time.Now()) > 0 || !d.hedges.Spend() {
		return
	}
	d.counter.Count("hedges_total")
	r.trace.add("hedged")
	_ = r.launch(ctx, r.flying[0].upstream) // the first attempt goes on if there is no other upstream
}

// win hands on the attempt that answered first and cancels the others.
func (r *run) win(ctx context.Context, got result) *Response {
	now := time.Now()
	r.drop(got.flight)
	r.markSlow(now)
	r.cancelAll()
	r.lane.first.Add(now.Sub(got.flight.begun))
	return newResponse(ctx, got.flight, got.first)
}

// markSlow notes the upstreams that a later attempt has overtaken. Without the
// mark, the knowledge that they are slow would end with the attempt.
func (r *run) markSlow(now time.Time) {
	typical := r.lane.first.Median()
	if typical == 0 {
		return
	}
	least := overtakenSlowness
	if r.request.Prefix != 0 {
		least = promptedSlowness
	}
	for _, f := range r.flying {
		slowness := float64(now.Sub(f.begun)) / float64(typical)
		full := f.upstream.Gauge().OnlineTotal() > f.upstream.Sequences()
		if full || slowness < least || !f.upstream.Gauge().MarkSlow(now, slowness*overtakenFactor) {
			continue
		}
		r.dispatcher.counter.Count("slow_marks_total")
		r.dispatcher.observer.SlownessSeen(f.upstream, slowness*overtakenFactor)
	}
}

func (r *run) abandon(cause error) *RejectedError {
	r.cancelAll()
	return &RejectedError{reason: ReasonDeadline, ran: relayer.RanMaybe, cause: r.explain(cause)}
}

func (r *run) drop(f *flight) {
	for i, other := range r.flying {
		if other == f {
			r.flying = append(r.flying[:i], r.flying[i+1:]...)
			return
		}
	}
}

func (r *run) cancelAll() {
	for _, f := range r.flying {
		f.abandon()
	}
	r.flying = nil
}
