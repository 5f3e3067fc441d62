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

// run is the state of one request: its admission, its attempts and their results.
type run struct {
	dispatcher   *Dispatcher
	lane         *Lane
	request      Request
	trace        *Trace
	attemptCount int
	started      bool        // Queue.Started was called for the last admission
	admitted     bool        // Queue.Done must still be called for the last admission
	prefix       uint64      // the request's prefix as it is used for choices; 0 for no affinity
	worstRan     relayer.Ran // over all failed attempts
	lastFailure  *relayer.AttemptError
	results      chan result
	active       []*attempt // running, or with a result that is not handled yet
}

// result is the first event of an attempt, or its failure. Without either, the answer
// was complete and empty.
type result struct {
	attempt    *attempt
	firstToken []byte
	err        error
}

func (r *run) open(ctx context.Context) (*Response, *RejectedError) {
	d := r.dispatcher
	if !time.Now().Before(r.request.Deadline) {
		return nil, &RejectedError{reason: ReasonDeadline, ran: relayer.RanNot, cause: ErrDeadline}
	}
	if err := r.lane.queue.Enter(ctx, r.entry()); err != nil {
		return nil, rejectAdmission(err)
	}
	r.trace.add(fmt.Sprintf("let in after %v in line", time.Since(r.trace.receivedAt).Round(time.Millisecond)))
	defer r.markStarted()
	r.admitted = true
	r.prefix = r.request.Prefix
	if shared := r.lane.prefixes.Shared(r.prefix); r.lane.Pool().HasBatch() {
		r.prefix = shared // requests without a shared prefix are gathered, which leaves capacity to batch work
	}
	d.retries.Earn()
	d.hedges.Earn()
	r.results = make(chan result, maxAttempts)
	if rejection := r.launch(ctx, nil); rejection != nil {
		return nil, rejection
	}
	return r.await(ctx)
}

// entry returns the request's entry for the admission queue.
func (r *run) entry() admitter.Entry {
	return admitter.Entry{
		Caller: r.request.Caller, Weight: r.request.Weight, Deadline: r.request.Deadline,
		OnUnderShareWait: r.pauseOverShareStream,
	}
}

// releaseAdmission reports to the admission queue that the request has ended, unless that
// is done already.
func (r *run) releaseAdmission() {
	if r.admitted {
		r.admitted = false
		r.lane.queue.Done(r.request.Caller)
	}
}

// markStarted reports to the admission queue, once per admission, that a gauge counts
// the request, or that none will.
func (r *run) markStarted() {
	if !r.started {
		r.started = true
		r.lane.queue.Started()
	}
}

// await handles the results of attempts and starts hedges, until one attempt answers or
// the request is rejected.
func (r *run) await(ctx context.Context) (*Response, *RejectedError) {
	hedge := r.hedgeTimer()
	defer hedge.Stop()
	deadline := time.NewTimer(time.Until(r.request.Deadline))
	defer deadline.Stop()
	for {
		select {
		case got := <-r.results:
			if got.err == nil {
				return r.accept(ctx, got), nil
			}
			if rejection := r.handleFailure(ctx, got); rejection != nil {
				return nil, rejection
			}
		case <-hedge.C:
			r.hedge(ctx)
		case <-deadline.C:
			return nil, r.rejectUnfinished(ErrDeadline)
		case <-ctx.Done():
			return nil, r.rejectUnfinished(ctx.Err())
		}
	}
}

// hedgeTimer returns a timer that fires when a hedge is due, or one that never fires. A
// hedge of a long prompt makes a second engine process all of it. A request with a prefix
// is therefore hedged only after the high quantile of the time to the first token, which
// includes prompts that aren't cached.
func (r *run) hedgeTimer() *time.Timer {
	wait := r.lane.firstToken.P95()
	if r.request.Prefix == 0 {
		wait = min(wait, hedgeMedianNumerator*r.lane.firstToken.Median()/hedgeMedianDenominator)
	}
	if wait == 0 || !r.dispatcher.hedging {
		timer := time.NewTimer(time.Hour)
		timer.Stop()
		return timer
	}
	return time.NewTimer(max(wait, minHedgeDelay))
}

// launch starts one more attempt, on another upstream than the one to avoid if there is
// one.
func (r *run) launch(ctx context.Context, avoid *chooser.Upstream) *RejectedError {
	d := r.dispatcher
	now := time.Now()
	if d.quarantine.ShouldReject(r.request.Fingerprint, now) {
		return &RejectedError{reason: ReasonTooManyCrashes, ran: relayer.RanFailed, cause: ErrTooManyCrashes}
	}
	choice, endIsolation, ok := r.choose(ctx, avoid, now)
	if !ok && d.quarantine.ShouldReject(r.request.Fingerprint, time.Now()) {
		return &RejectedError{reason: ReasonTooManyCrashes, ran: relayer.RanFailed, cause: ErrTooManyCrashes}
	}
	if !ok {
		retryAt := now.Add(time.Second)
		return &RejectedError{
			reason: ReasonNoUpstream, ran: r.worstRan, retryAt: retryAt,
			cause: r.withLastFailure(ErrNoUpstream),
		}
	}
	d.counter.Count(fmt.Sprintf("choices_total{reason=%q}", choice.Reason))
	r.trace.addChoice(r.lane.Pool(), choice)
	r.attemptCount++
	a := newAttempt(ctx, r, choice.Upstream, now)
	a.endIsolation = endIsolation
	r.markStarted()
	r.active = append(r.active, a)
	d.group.Go(a.openAndDeliver)
	return nil
}

// handleFailure ends a failed attempt. It returns nil if another attempt is running or a
// retry was started, and otherwise the final rejection.
func (r *run) handleFailure(ctx context.Context, got result) *RejectedError {
	d := r.dispatcher
	failure := relayer.AsAttemptError(got.err)
	r.lastFailure = failure
	r.worstRan = max(r.worstRan, failure.Ran())
	r.trace.add(got.attempt.upstream.ID() + ": " + failure.Error())
	r.removeActive(got.attempt)
	got.attempt.end(false, failure)
	if failure.Status() != 0 {
		return &RejectedError{reason: ReasonBadRequest, ran: relayer.RanNot, status: failure.Status(), cause: failure}
	}
	if len(r.active) > 0 {
		return nil
	}
	if r.attemptCount >= maxAttempts || !d.retries.Spend() {
		retryAt := time.Now().Add(time.Second)
		return &RejectedError{
			reason: ReasonFailed, ran: r.worstRan, retryAt: retryAt,
			cause: r.withLastFailure(failure),
		}
	}
	d.counter.Count("retries_total")
	return r.launch(ctx, got.attempt.upstream)
}

// withLastFailure adds the failure of the last failed attempt to an error.
func (r *run) withLastFailure(err error) error {
	if r.lastFailure == nil || errors.Is(err, r.lastFailure) {
		return err
	}
	return fmt.Errorf("%w: %w", err, r.lastFailure)
}

// hedge starts an attempt beside the only active one, unless maxAttempts is reached, the
// pool has no capacity, the request is a suspect or the hedge budget is spent.
func (r *run) hedge(ctx context.Context) {
	d := r.dispatcher
	if len(r.active) != 1 || r.attemptCount >= maxAttempts ||
		!r.lane.hasCapacity(chooser.CapacityQuery{Standing: chooser.StandingOverShare}) {
		return
	}
	if d.quarantine.Strikes(r.request.Fingerprint, time.Now()) > 0 || !d.hedges.Spend() {
		return
	}
	d.counter.Count("hedges_total")
	r.trace.add("hedged")
	_ = r.launch(ctx, r.active[0].upstream) // if it is rejected, the first attempt continues
}

// accept returns the response of the attempt that answered first, and abandons the
// others.
func (r *run) accept(ctx context.Context, got result) *Response {
	now := time.Now()
	r.removeActive(got.attempt)
	r.markOvertaken(now)
	r.abandonActive()
	r.lane.firstToken.Add(now.Sub(got.attempt.startedAt))
	return newResponse(ctx, got.attempt, got.firstToken)
}

// markOvertaken marks the upstreams of the attempts that are still without an answer as
// slow, if they have run for long. Without a mark, what those attempts show of their
// upstreams would be lost when they are abandoned. Upstreams with more requests than
// sequences are not marked, since the attempt may just be queued there.
func (r *run) markOvertaken(now time.Time) {
	typical := r.lane.firstToken.Median()
	if typical == 0 {
		return
	}
	least := minOvertakenSlowness
	if r.request.Prefix != 0 {
		least = minOvertakenSlownessWithPrefix
	}
	for _, a := range r.active {
		slowness := float64(now.Sub(a.startedAt)) / float64(typical)
		overloaded := a.upstream.Gauge().OnlineTotal() > a.upstream.Sequences()
		if overloaded || slowness < least || !a.upstream.Gauge().MarkSlow(now, slowness*overtakenSlownessFactor) {
			continue
		}
		r.dispatcher.counter.Count("slow_marks_total")
		r.dispatcher.observer.SlownessSeen(a.upstream, slowness*overtakenSlownessFactor)
	}
}

// rejectUnfinished abandons all attempts because of a passed deadline or a canceled
// context. The request may have run.
func (r *run) rejectUnfinished(cause error) *RejectedError {
	r.abandonActive()
	return &RejectedError{reason: ReasonDeadline, ran: relayer.RanMaybe, cause: r.withLastFailure(cause)}
}

func (r *run) removeActive(a *attempt) {
	for i, other := range r.active {
		if other == a {
			r.active = append(r.active[:i], r.active[i+1:]...)
			return
		}
	}
}

func (r *run) abandonActive() {
	for _, a := range r.active {
		a.abandon()
	}
	r.active = nil
}
