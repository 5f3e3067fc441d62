package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/courier"
	"github.com/fescuespindle/fescuespindle/internal/online/pacer"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
	"github.com/fescuespindle/fescuespindle/internal/online/versionkeeper"
)

const (
	// maxSends is the maximum number of attempts of a request, rejected ones included.
	// Attempts that may have run the request are also limited by the route's MaxAttempts.
	maxSends = 6
	// defaultPlainTimeout applies to a plain request for which neither the caller nor the
	// route sets a timeout.
	defaultPlainTimeout = 10 * time.Minute
	// minHealthyEvents is the number of events from which a stream shows that its request
	// doesn't crash upstreams.
	minHealthyEvents = 2
)

var (
	// errTruncated means that a plain answer was truncated after its head was sent to the
	// caller, or that a resumed stream got an answer that can't continue it.
	errTruncated = errors.New("answer truncated")
	// errNoStream means that a stream got an answer that is no stream, and can't go on with it.
	errNoStream = errors.New("answer is no stream")
	// errCallerGone means that the answer can't be written because the caller
	// disconnected.
	errCallerGone = errors.New("caller disconnected")
	// errCallerSlow means that an upstream broke off an answer that its caller read slowly.
	errCallerSlow = errors.New("caller reads slowly")
	// errCrashesUpstreams means that a request is likely to crash upstreams.
	errCrashesUpstreams = errors.New("request crashes upstreams")
	// errStalled means that an upstream makes no progress. Comments in an event stream
	// are no progress.
	errStalled = errors.New("upstream stalled")
)

// forwarding is the state of one request over all of its attempts.
type forwarding struct {
	gateway *Gateway
	x       *exchange
	avoid   map[string]bool // upstreams of earlier attempts
	sends   int             // attempts
	runs    int             // attempts that may have run the request
	lastErr error

	// allowedVersions are the software versions at which the stream may go on; empty for any.
	allowedVersions []string
	streamBegun     bool   // an event was delivered
	endStream       func() // as StreamVersions.Begin returns it; otherwise it does nothing

	headSent         bool
	lastEventID      string
	events           int
	headSentAt       time.Time
	callerIsSlow     bool              // since the attempt began
	waitedForSlot    bool              // for a free slot, at least once
	yielded          bool              // the last free slots to others, at least once
	queuedAtUpstream bool              // behind others, at least once
	isProbe          bool              // the next run is one to find out whether the request crashes upstreams
	connection       string            // of the last answer, for the log
	attemptLog       []string          // upstream and outcome of each attempt, for the log
	stallTimer       *pacer.StallTimer // of the current attempt; nil if it is plain and can't fail over
}

// run forwards a request to upstreams until it has a final answer, and logs the outcome.
func (g *Gateway) run(x *exchange) {
	ctx, abort := context.WithCancelCause(x.r.Context())
	defer abort(nil)
	defer context.AfterFunc(g.aborted, func() { abort(errStopping) })()
	cancel := context.CancelFunc(func() {})
	if x.request.Deadline.IsZero() && x.request.route.Kind != router.KindStream {
		x.request.Deadline = x.request.receivedAt.Add(defaultPlainTimeout)
	}
	if !x.request.Deadline.IsZero() {
		ctx, cancel = context.WithDeadline(ctx, x.request.Deadline)
	}
	defer cancel()
	f := &forwarding{
		gateway: g, x: x, avoid: map[string]bool{}, lastEventID: x.request.LastEvent, endStream: func() {},
	}
	defer func() { f.endStream() }()
	outcome := f.forward(ctx)
	x.ran = f.runs > 0
	g.logOutcome(f, outcome)
	if outcome == outcomeTruncated {
		panic(http.ErrAbortHandler) // the only way to make the truncation visible to the caller
	}
}

// outcome is how a request ended, as it appears in logs and metrics.
type outcome string

const (
	outcomeDelivered  outcome = "delivered"
	outcomeFailed     outcome = "failedByUpstream"
	outcomeRejected   outcome = "refused"
	outcomeTruncated  outcome = "cut"
	outcomeCallerGone outcome = "callerLeft"
)

// forward makes attempts until the request has its final answer, may not be retried,
// or maxSends is reached.
func (f *forwarding) forward(ctx context.Context) outcome {
	if err := f.findVersion(ctx); err != nil {
		f.lastErr = err
		return f.finish(ctx)
	}
	for f.sends < maxSends {
		slot, err := f.acquireSlot(ctx)
		var noRoom *placer.NoRoomError
		if errors.Is(err, errCrashesUpstreams) || errors.Is(err, placer.ErrRateLimited) || errors.As(err, &noRoom) {
			f.lastErr = err
		}
		if err != nil {
			break
		}
		id, version := slot.Upstream().ID, slot.Upstream().Version
		status, err := f.attempt(ctx, slot)
		f.gateway.slots.Done(f.x.request.service, f.x.teamName(), time.Now())
		if err == nil {
			f.attemptLog = append(f.attemptLog, id+" "+version+" delivered over "+f.connection)
			return f.recordDelivery(status)
		}
		f.recordCrash(ctx, slot.Upstream(), err)
		f.isProbe = f.isProbe && relayer.AsAttemptError(err).Ran() == relayer.RanNot
		f.attemptLog = append(f.attemptLog, id+" "+version+" "+err.Error())
		f.lastErr = err
		f.avoid[id] = true
		if ctx.Err() != nil || !f.canRetry(err) {
			break
		}
	}
	return f.finish(ctx)
}

// attempt sends the request to the upstream of a slot and delivers its answer. It
// returns the status of a complete answer; errors are of type relayer.AttemptError.
func (f *forwarding) attempt(ctx context.Context, slot *placer.Slot) (int, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.sends++
	f.callerIsSlow = false
	start := time.Now()
	f.stallTimer = nil
	paced := f.pacerAttempt(slot.Upstream().ID)
	if paced.CanFailOver || paced.Deadline.IsZero() {
		f.stallTimer = f.gateway.pacer.StartStallTimer(paced, func() { cancel(errStalled) })
		defer f.stallTimer.Stop()
	}
	delivery, err := f.gateway.courier.Send(ctx, slot, f.x.request.Call, courier.Target{
		Deadline: f.x.request.Deadline, LastEvent: f.lastEventID,
	})
	if err != nil {
		if relayer.AsAttemptError(err).Ran() != relayer.RanNot {
			f.runs++
		}
		return 0, f.recordStall(ctx, slot, err)
	}
	f.runs++
	f.connection = connectionName(delivery)
	err = f.recordStall(ctx, slot, f.deliver(delivery))
	if now := time.Now(); err == nil && !paced.Deadline.IsZero() {
		f.gateway.pacer.RecordAnswer(paced.Service, paced.Upstream, now.Sub(start), now)
	}
	return delivery.Status(), err
}

// connectionName returns how the connection of an answer appears in the log.
func connectionName(d *courier.Delivery) string {
	name := "new connection"
	if d.Reused() {
		name = "reused connection"
	}
	if d.ThroughPeer() {
		name += " through a peer VM"
	}
	return name
}

// pacerAttempt describes an attempt to the pacer, which derives the stall timeout from it.
func (f *forwarding) pacerAttempt(upstream string) pacer.Attempt {
	route := f.x.request.route
	attempt := pacer.Attempt{
		Service: f.x.request.service, Upstream: upstream,
		CanFailOver: route.Repeatable() && f.runs+1 < route.MaxAttempts && f.sends < maxSends,
	}
	if route.Kind != router.KindStream {
		attempt.Deadline = f.x.request.Deadline
	}
	return attempt
}

// recordStall records a failure of the upstream if the attempt was cancelled because it
// stalled, and wraps the error in errStalled. It returns other errors unchanged.
func (f *forwarding) recordStall(ctx context.Context, slot *placer.Slot, err error) error {
	if err == nil || !errors.Is(context.Cause(ctx), errStalled) {
		return err
	}
	f.gateway.placer.RecordFailure(slot, time.Now())
	return relayer.NewAttemptError(relayer.AsAttemptError(err).Ran(), fmt.Errorf("%w: %w", errStalled, err))
}

// recordCrash records the request as a suspect if its upstream crashed before it began to
// answer it. An upstream that is alive has broken off for another reason.
func (f *forwarding) recordCrash(ctx context.Context, upstream placer.Upstream, err error) {
	maybeCrashed := relayer.AsAttemptError(err).Ran() == relayer.RanMaybe && ctx.Err() == nil
	maybeCrashed = maybeCrashed && !errors.Is(err, errCallerGone) && !errors.Is(err, errCallerSlow) && !errors.Is(err, errStalled)
	if !maybeCrashed || f.events >= minHealthyEvents {
		return
	}
	g := f.gateway
	if !g.courier.HasCrashed(context.WithoutCancel(ctx), upstream) {
		return
	}
	g.crashes.RecordCrash(upstream.ID, f.x.request.traits, time.Now())
	g.counter.Count("requests_on_crashed_upstreams_total")
	g.logger.Info("request suspected of crashing an upstream", "id", f.x.request.Call.ID,
		"upstream", upstream.ID, "events", f.events, "probe", f.isProbe, "parts", f.x.request.SharedParts, "error", err)
}

// recordDelivery records a complete answer and returns the outcome.
func (f *forwarding) recordDelivery(status int) outcome {
	if f.events < minHealthyEvents { // otherwise countEvent has recorded it
		f.gateway.crashes.RecordAnswer(f.x.request.traits, time.Now())
	}
	if status >= http.StatusMultipleChoices {
		return outcomeFailed
	}
	return outcomeDelivered
}

// canRetry returns whether the request may be sent again after a failed attempt.
func (f *forwarding) canRetry(err error) bool {
	if relayer.AsAttemptError(err).Ran() == relayer.RanNot {
		return true
	}
	if errors.Is(err, errCallerGone) || errors.Is(err, errTruncated) {
		return false
	}
	route := f.x.request.route
	return route.Repeatable() && f.runs < route.MaxAttempts
}

// finish ends a request that got no complete answer, with a local reply if the caller
// can still receive one.
func (f *forwarding) finish(ctx context.Context) outcome {
	var noRoom *placer.NoRoomError
	switch {
	case f.x.r.Context().Err() != nil || errors.Is(f.lastErr, errCallerGone):
		return outcomeCallerGone
	case f.headSent:
		return outcomeTruncated
	case errors.Is(f.lastErr, errCrashesUpstreams):
		f.gateway.reject(f.x, http.StatusBadGateway, reasonCrashesUpstreams)
	case f.sends == 0 && errors.Is(context.Cause(ctx), errStopping):
		f.gateway.reject(f.x, http.StatusServiceUnavailable, reasonStopping)
	case f.runs > 0 && errors.Is(context.Cause(ctx), errStopping):
		f.gateway.reject(f.x, http.StatusBadGateway, reasonStopping)
	case f.runs > 0 && ctx.Err() != nil:
		f.gateway.reject(f.x, http.StatusGatewayTimeout, reasonDeadline)
	case f.runs > 0:
		f.gateway.reject(f.x, http.StatusBadGateway, reasonFailed)
	case errors.Is(f.lastErr, versionkeeper.ErrUnknown):
		f.gateway.reject(f.x, http.StatusServiceUnavailable, reasonVersionUnknown)
	case errors.As(f.lastErr, &noRoom):
		f.gateway.rejectUntil(f.x, noRoom.RoomAt())
	case errors.Is(f.lastErr, placer.ErrRateLimited):
		f.gateway.reject(f.x, http.StatusServiceUnavailable, reasonRateLimited)
	case errors.Is(f.lastErr, relayer.ErrUnreachable):
		f.gateway.reject(f.x, http.StatusServiceUnavailable, reasonUnreachable)
	case f.sends > 0:
		f.gateway.reject(f.x, http.StatusServiceUnavailable, reasonRejected)
	default:
		f.gateway.reject(f.x, http.StatusServiceUnavailable, reasonNoUpstream)
	}
	return outcomeRejected
}

// logOutcome logs the outcome of a request in one line and updates the metrics.
func (g *Gateway) logOutcome(f *forwarding, result outcome) {
	request := &f.x.request
	took := time.Since(request.receivedAt)
	g.counter.Count(`requests_total{outcome="` + string(result) + `"}`)
	g.counter.Observe(`request_seconds{kind="`+request.route.Kind.String()+`"}`, took)
	first := time.Duration(0)
	if !f.headSentAt.IsZero() {
		first = f.headSentAt.Sub(request.receivedAt)
		g.counter.Observe(`first_byte_seconds{kind="`+request.route.Kind.String()+`"}`, first)
	}
	g.logger.Info("request", "id", request.Call.ID, "outcome", result, "route", request.route.Name,
		"version", request.configVersion, "first", first, "took", took, "events", f.events, "waited", f.waitedForSlot,
		"yielded", f.yielded, "queued", f.queuedAtUpstream, "team", f.x.teamName(), "urgency", f.x.urgency(),
		"resumes", request.Resumes, "after", request.LastEvent, "attempts", f.attemptLog)
}
