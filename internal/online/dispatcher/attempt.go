package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
	"github.com/fescuespindle/fescuespindle/internal/online/linkmeter"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
)

// attempt is one request to one upstream. The upstream's gauge counts it as an online
// request from newAttempt to end.
type attempt struct {
	parent        *run
	upstream      *chooser.Upstream
	id            string
	startedAt     time.Time
	ctx           context.Context //nolint:containedctx // ends with the attempt, not with a call
	cancel        context.CancelFunc
	endOnce       sync.Once
	stream        *relayer.Stream
	healthy       bool   // the upstream had answered since its last failure when the attempt began
	endIsolation  func() // nil unless the attempt runs a suspect in isolation
	endPromptOnce sync.Once

	mu        sync.Mutex
	abandoned bool
}

// newAttempt returns an attempt that has not been sent, and counts it in the upstream's
// gauge.
func newAttempt(ctx context.Context, r *run, u *chooser.Upstream, now time.Time) *attempt {
	a := &attempt{parent: r, upstream: u, startedAt: now, healthy: u.Gauge().Healthy()}
	a.id = fmt.Sprintf("%s-%d", r.request.ID, r.attemptCount)
	a.ctx, a.cancel = context.WithCancel(ctx)
	u.Gauge().BeginOnline(now)
	u.Gauge().BeginPrompt(len(r.request.Body))
	r.dispatcher.observer.OnlineChanged(u, true)
	return a
}

// endPrompt records, at the first call, that the engine has processed or abandoned the
// prompt. The end of a long prompt is reported to the observer.
func (a *attempt) endPrompt() {
	a.endPromptOnce.Do(func() {
		if a.upstream.Gauge().EndPrompt(len(a.parent.request.Body)) {
			a.parent.dispatcher.observer.OnlineChanged(a.upstream, false)
		}
	})
}

// openAndDeliver sends the attempt and delivers its first event or its failure.
func (a *attempt) openAndDeliver() {
	first, err := a.open()
	if !a.deliver(result{attempt: a, firstToken: first, err: err}) {
		a.end(false, nil)
	}
}

// deliver passes the result to the run. It returns false if the attempt was abandoned.
// It doesn't block, since the channel has space for the results of all attempts.
func (a *attempt) deliver(r result) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.abandoned {
		return false
	}
	a.parent.results <- r
	return true
}

// open sends the request and returns its first event, or nil if the answer ends without
// any.
func (a *attempt) open() ([]byte, error) {
	request := a.parent.request
	a.countLinkBytes(len(request.Body))
	stream, err := a.parent.dispatcher.sender.Open(a.ctx, relayer.Attempt{
		ID: a.id, Address: a.upstream.Address(), Method: http.MethodPost, Path: request.Path,
		Body: request.Body, Deadline: request.Deadline,
		Header: http.Header{"Content-Type": {"application/json"}},
	})
	if err != nil {
		return nil, err //nolint:wrapcheck // an AttemptError, which callers unwrap
	}
	a.mu.Lock()
	a.stream = stream
	a.mu.Unlock()
	first, err := stream.Next()
	if errors.Is(err, io.EOF) {
		return nil, nil // a complete answer without any token
	}
	if err != nil {
		return nil, err //nolint:wrapcheck // an AttemptError, which callers unwrap
	}
	a.endPrompt()
	a.upstream.Gauge().RecordEvent(time.Now(), 0)
	return append([]byte(nil), first...), nil
}

// countLinkBytes counts bytes toward the budget of the link between regions, if the
// upstream is in another region.
func (a *attempt) countLinkBytes(bytes int) {
	if a.upstream.Tier() == chooser.TierRemote {
		a.parent.dispatcher.link.Count(linkmeter.PurposeOnline, bytes, time.Now())
	}
}

// abandon cancels the attempt. Its goroutine then ends it; if that has already delivered
// a result, which nobody will read, abandon ends the attempt itself.
func (a *attempt) abandon() {
	a.mu.Lock()
	a.abandoned = true
	a.mu.Unlock()
	a.cancel()
	a.parent.discardResult(a)
}

// discardResult ends an abandoned attempt whose result was already delivered, and keeps
// the results of other attempts.
func (r *run) discardResult(a *attempt) {
	for range len(r.results) {
		got := <-r.results
		if got.attempt == a {
			a.end(false, nil)
			return
		}
		r.results <- got
	}
}

// end closes the stream, removes the attempt from all counts and records the outcome.
// Only the first call has an effect.
func (a *attempt) end(completed bool, failure *relayer.AttemptError) {
	a.endOnce.Do(func() { a.cleanUp(completed, failure) })
}

func (a *attempt) cleanUp(completed bool, failure *relayer.AttemptError) {
	// A canceled attempt also fails with a broken connection. Only a failure without
	// cancellation says anything about the upstream.
	canceled := a.ctx.Err() != nil
	a.cancel()
	a.mu.Lock()
	stream := a.stream
	a.mu.Unlock()
	if stream != nil {
		stream.Close()
	}
	d := a.parent.dispatcher
	if failure != nil && !canceled {
		a.recordFailure(failure)
	}
	if completed {
		d.quarantine.Clear(a.parent.request.Fingerprint)
	}
	if a.endIsolation != nil {
		a.endIsolation()
	}
	a.endPrompt()
	a.upstream.Gauge().EndOnline()
	d.observer.OnlineChanged(a.upstream, false)
	a.parent.lane.queue.Released()
}

// recordFailure updates the gauge, the quarantine and the observer with a failure. A
// failure with a status is the upstream's rejection of the request, and says nothing
// about the upstream.
func (a *attempt) recordFailure(failure *relayer.AttemptError) {
	d := a.parent.dispatcher
	now := time.Now()
	if failure.Status() != 0 {
		return
	}
	d.counter.Count("failures_total{ran=\"" + failure.Ran().String() + "\"}")
	a.upstream.Gauge().RecordFailure(now, failureBackoff)
	if failure.Draining() {
		a.upstream.Gauge().SetDraining(true)
		d.observer.DrainingSeen(a.upstream)
	}
	if failure.MayHaveCrashed() && a.mayHaveCrashed() {
		d.observer.StrikeRecorded(d.quarantine.RecordCrash(a.parent.request.Fingerprint, a.endIsolation != nil, now))
	}
}

// mayHaveCrashed reports whether the upstream was alive when it received the request, so
// that the request may have crashed it. An upstream that is down breaks every
// connection, whatever the requests on them. An isolated suspect counts only if the
// upstream had begun to answer it.
func (a *attempt) mayHaveCrashed() bool {
	a.mu.Lock()
	answered := a.stream != nil
	a.mu.Unlock()
	if a.endIsolation != nil {
		return answered
	}
	return answered || a.healthy
}
