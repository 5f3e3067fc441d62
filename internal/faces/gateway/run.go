package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/courier"
	"github.com/fescuespindle/fescuespindle/internal/online/eventsplitter"
	"github.com/fescuespindle/fescuespindle/internal/online/pacer"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
)

const (
	// maxSends bounds the upstreams that are tried, counting those that refuse.
	maxSends = 6
	// maxHeld bounds what is held of a plain answer, so that another upstream can
	// replace it if it breaks off. A longer one is handed on as it comes.
	maxHeld = 64 << 10
	// handOnBytes is what is held of a longer one.
	handOnBytes = 16 << 10
	// plainTime bounds a plain request for which neither the caller nor the route
	// gives a time.
	plainTime = 10 * time.Minute
	// harmlessEvents is the number of events after which a stream that breaks off
	// is not held against its request.
	harmlessEvents = 2
)

var (
	// errCut means that an answer broke off after its head had gone to the caller.
	errCut = errors.New("answer cut short")
	// errLeft means that the caller no longer takes the answer.
	errLeft = errors.New("caller has left")
	// errStalled means that an upstream sends nothing that says anything.
	errStalled = errors.New("stream stalled")
)

// forwarding is the attempts of one request.
type forwarding struct {
	gateway *Gateway
	x       *exchange
	avoid   map[string]bool
	sends   int
	runs    int // upstreams that may have run it
	last    error

	headSent  bool
	lastEvent string
	events    int
	firstAt   time.Time
	waited    bool              // for a free place
	path      []string          // upstreams and outcomes, for the log
	stall     *pacer.StallTimer // of the attempt under way; nil for plain ones that stay
}

// run sends a request to upstreams until one of them answers.
func (g *Gateway) run(x *exchange) {
	ctx, cancel := x.r.Context(), context.CancelFunc(func() {})
	if x.request.Deadline.IsZero() && x.request.route.Kind != router.KindStream {
		x.request.Deadline = x.request.began.Add(plainTime)
	}
	if !x.request.Deadline.IsZero() {
		ctx, cancel = context.WithDeadline(ctx, x.request.Deadline)
	}
	defer cancel()
	j := &forwarding{gateway: g, x: x, avoid: map[string]bool{}, lastEvent: x.request.LastEvent}
	outcome := j.forward(ctx)
	g.log(j, outcome)
	if outcome == outcomeCut {
		panic(http.ErrAbortHandler) // the only way to end an answer so that it doesn't look whole
	}
}

// outcome is how a request ended.
type outcome string

const (
	outcomeDelivered outcome = "delivered"
	outcomeFailed    outcome = "failedByUpstream"
	outcomeRefused   outcome = "refused"
	outcomeCut       outcome = "cut"
	outcomeLeft      outcome = "callerLeft"
)

// forward makes attempts until the request has its final answer.
func (j *forwarding) forward(ctx context.Context) outcome {
	for j.sends < maxSends {
		place, err := j.place(ctx)
		if err != nil {
			break
		}
		id := place.Upstream().ID
		status, err := j.attempt(ctx, place)
		if err == nil {
			j.path = append(j.path, id+" delivered")
			return j.delivered(status)
		}
		j.suspect(ctx, err)
		j.path = append(j.path, id+" "+err.Error())
		j.last = err
		j.avoid[id] = true
		if ctx.Err() != nil || !j.mayGoOn(err) {
			break
		}
	}
	return j.giveUp(ctx)
}

// attempt sends the request to one upstream and hands its answer on. It returns
// the status of an answer that is whole.
func (j *forwarding) attempt(ctx context.Context, place *placer.Slot) (int, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	j.sends++
	began := time.Now()
	j.stall = nil
	watch := j.watch(place.Upstream().ID)
	if watch.CanFailOver || watch.Deadline.IsZero() {
		j.stall = j.gateway.pacer.StartStallTimer(watch, func() { cancel(errStalled) })
		defer j.stall.Stop()
	}
	delivery, err := j.gateway.courier.Send(ctx, place, j.x.request.Call, courier.Target{
		Deadline: j.x.request.Deadline, LastEvent: j.lastEvent,
	})
	if err != nil {
		if relayer.AsAttemptError(err).Ran() != relayer.RanNot {
			j.runs++
		}
		return 0, j.stalled(ctx, place, err)
	}
	j.runs++
	err = j.stalled(ctx, place, j.deliver(delivery))
	if now := time.Now(); err == nil && !watch.Deadline.IsZero() {
		j.gateway.pacer.RecordAnswer(watch.Service, watch.Upstream, now.Sub(began), now)
	}
	return delivery.Status(), err
}

// watch returns what a stall of an attempt at an upstream is judged by.
func (j *forwarding) watch(upstream string) pacer.Attempt {
	route := j.x.request.route
	w := pacer.Attempt{
		Service: j.x.request.service, Upstream: upstream,
		CanFailOver: route.Repeatable() && j.runs+1 < route.MaxAttempts && j.sends < maxSends,
	}
	if route.Kind != router.KindStream {
		w.Deadline = j.x.request.Deadline
	}
	return w
}

// stalled adds to a failure that this VM gave the attempt up, and holds it against
// the upstream.
func (j *forwarding) stalled(ctx context.Context, place *placer.Slot, err error) error {
	if err == nil || !errors.Is(context.Cause(ctx), errStalled) {
		return err
	}
	j.gateway.placer.RecordFailure(place, time.Now())
	return relayer.NewAttemptError(relayer.AsAttemptError(err).Ran(), fmt.Errorf("%w: %w", errStalled, err))
}

// suspect notes that an upstream broke off while it ran the request, which may
// be what crashed it. A stream that had got on well was cut for another reason.
func (j *forwarding) suspect(ctx context.Context, err error) {
	broke := relayer.AsAttemptError(err).Ran() == relayer.RanMaybe && ctx.Err() == nil
	broke = broke && !errors.Is(err, errLeft) && !errors.Is(err, errStalled)
	if !broke || j.events >= harmlessEvents {
		return
	}
	strike := j.gateway.suspect.RecordCrash(j.x.request.fingerprint, true, time.Now())
	j.gateway.logger.Info("request suspected", "id", j.x.request.Call.ID, "strikes", strike.Count, "error", err)
}

func (j *forwarding) delivered(status int) outcome {
	j.gateway.suspect.Clear(j.x.request.fingerprint)
	if status >= http.StatusMultipleChoices {
		return outcomeFailed
	}
	return outcomeDelivered
}

// mayGoOn tells whether the request may be sent again after a failure.
func (j *forwarding) mayGoOn(err error) bool {
	if relayer.AsAttemptError(err).Ran() == relayer.RanNot {
		return true
	}
	if errors.Is(err, errLeft) || errors.Is(err, errCut) {
		return false
	}
	route := j.x.request.route
	return route.Repeatable() && j.runs < route.MaxAttempts
}

// giveUp gives the final answer of a request that no upstream has answered.
func (j *forwarding) giveUp(ctx context.Context) outcome {
	switch {
	case j.x.r.Context().Err() != nil || errors.Is(j.last, errLeft):
		return outcomeLeft
	case j.headSent:
		return outcomeCut
	case j.runs > 0 && ctx.Err() != nil:
		j.gateway.refuse(j.x, http.StatusGatewayTimeout, reasonDeadline)
	case j.runs > 0:
		j.gateway.refuse(j.x, http.StatusBadGateway, reasonFailed)
	case j.sends > 0:
		j.gateway.refuse(j.x, http.StatusServiceUnavailable, reasonRefused)
	default:
		j.gateway.refuse(j.x, http.StatusServiceUnavailable, reasonNoUpstream)
	}
	return outcomeRefused
}

// deliver hands an answer on. It returns an error if the answer is not whole,
// or is a failure that another upstream may do better.
func (j *forwarding) deliver(d *courier.Delivery) error {
	defer d.Close()
	if j.x.request.route.Kind == router.KindStream && d.Status() < http.StatusMultipleChoices {
		return j.stream(d)
	}
	return j.whole(d)
}

// whole hands a plain answer on: a short one once all of it is there, a longer
// one as it comes.
func (j *forwarding) whole(d *courier.Delivery) error {
	ration := j.gateway.memory.NewReservation()
	defer ration.Release()
	held := 0
	if ration.Grow(maxHeld) {
		held = maxHeld
	}
	body, err := io.ReadAll(io.LimitReader(d, int64(held)))
	if err != nil {
		d.RecordFailure()
		return relayer.NewAttemptError(relayer.RanMaybe, err)
	}
	if (d.Status() >= http.StatusInternalServerError && j.mayTryElsewhere()) || promisesNotRun(d.Status()) {
		return relayer.NewAttemptError(relayer.RanFailed, errors.New(http.StatusText(d.Status())))
	}
	if j.headSent {
		return relayer.NewAttemptError(relayer.RanFailed, errCut)
	}
	j.stall.Stop() // it can't be replaced any more, however slowly the rest comes
	j.sendHead(d)
	if _, err := j.x.w.Write(body); err != nil {
		j.gateway.counter.Count("answers_not_taken_total") // the caller has left
		return nil
	}
	if len(body) < held {
		return nil
	}
	return j.handOn(d)
}

// handOn hands the rest of a plain answer on as it comes.
func (j *forwarding) handOn(d *courier.Delivery) error {
	buffer := make([]byte, handOnBytes)
	for {
		n, err := d.Read(buffer)
		if n > 0 {
			if _, writeErr := j.x.w.Write(buffer[:n]); writeErr != nil {
				return relayer.NewAttemptError(relayer.RanMaybe, fmt.Errorf("%w: %w", errLeft, writeErr))
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			d.RecordFailure()
			return relayer.NewAttemptError(relayer.RanMaybe, fmt.Errorf("%w: %w", errCut, err))
		}
	}
}

// promisesNotRun tells whether a status tells callers that their request has not
// run. An upstream that gives one without marking it so may have run the request,
// and its answer must not be handed on.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// mayTryElsewhere tells whether a failure may be replaced by another attempt.
func (j *forwarding) mayTryElsewhere() bool {
	route := j.x.request.route
	return route.Repeatable() && j.runs < route.MaxAttempts && j.sends < maxSends
}

func (j *forwarding) sendHead(d *courier.Delivery) {
	j.gateway.codec.EncodeUpstreamHeader(j.x.w.Header(), d.Header())
	j.x.w.WriteHeader(d.Status())
	j.headSent = true
	j.firstAt = time.Now()
}

// stream hands whole events on as they come. What an upstream has sent of an
// event that it doesn't finish is dropped, so that another one can go on.
func (j *forwarding) stream(d *courier.Delivery) error {
	control := http.NewResponseController(j.x.w)
	events := eventsplitter.New(d)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if !j.headSent {
				j.sendHead(d)
			}
			return nil
		}
		if err != nil {
			d.RecordFailure()
			return relayer.NewAttemptError(relayer.RanMaybe, err)
		}
		if err := j.handEvent(d, control, event); err != nil {
			return err
		}
	}
}

// handEvent hands one event on.
func (j *forwarding) handEvent(d *courier.Delivery, control *http.ResponseController, event eventsplitter.Event) error {
	if !j.headSent {
		j.sendHead(d)
	}
	j.stall.Pause()
	if _, err := j.x.w.Write(event.Raw()); err != nil {
		return relayer.NewAttemptError(relayer.RanMaybe, fmt.Errorf("%w: %w", errLeft, err))
	}
	if err := control.Flush(); err != nil {
		return relayer.NewAttemptError(relayer.RanMaybe, fmt.Errorf("%w: %w", errLeft, err))
	}
	progress := event.HasData() // a comment keeps a connection open, and no more
	j.stall.Resume(progress)
	if progress {
		j.events++
	}
	if id := event.ID(); id != "" {
		j.lastEvent = id
	}
	return nil
}

// log writes the one line that tells what became of a request.
func (g *Gateway) log(j *forwarding, result outcome) {
	request := &j.x.request
	took := time.Since(request.began)
	g.counter.Count(`requests_total{outcome="` + string(result) + `"}`)
	g.counter.Observe(`request_seconds{kind="`+request.route.Kind.String()+`"}`, took)
	first := time.Duration(0)
	if !j.firstAt.IsZero() {
		first = j.firstAt.Sub(request.began)
		g.counter.Observe(`first_byte_seconds{kind="`+request.route.Kind.String()+`"}`, first)
	}
	g.logger.Info("request", "id", request.Call.ID, "outcome", result, "route", request.route.Name,
		"version", request.version, "first", first, "took", took, "events", j.events, "waited", j.waited, "attempts", j.path)
}
