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

// attempt is one attempt under way. It counts as online work of its upstream
// from newFlight to end.
type attempt struct {
	run           *run
	upstream      *chooser.Upstream
	id            string
	startedAt     time.Time
	ctx           context.Context //nolint:containedctx // ends with the attempt, not with a call
	cancel        context.CancelFunc
	endOnce       sync.Once
	stream        *relayer.Stream
	healthy       bool   // the upstream had answered since its last failure
	release       func() // ends the isolation of a suspect; nil for others
	endPromptOnce sync.Once

	mu        sync.Mutex
	abandoned bool
}

func newAttempt(ctx context.Context, r *run, u *chooser.Upstream, now time.Time) *attempt {
	a := &attempt{run: r, upstream: u, startedAt: now, healthy: u.Gauge().Healthy()}
	a.id = fmt.Sprintf("%s-%d", r.request.ID, r.attemptCount)
	a.ctx, a.cancel = context.WithCancel(ctx)
	u.Gauge().BeginOnline(now)
	u.Gauge().BeginPrompt(len(r.request.Body))
	r.dispatcher.observer.OnlineChanged(u, true)
	return a
}

// endPrompt notes once that the prompt is worked through or given up. Others
// are told if it was a long one.
func (a *attempt) endPrompt() {
	a.endPromptOnce.Do(func() {
		if a.upstream.Gauge().EndPrompt(len(a.run.request.Body)) {
			a.run.dispatcher.observer.OnlineChanged(a.upstream, false)
		}
	})
}

// openAndDeliver sends the attempt and reports its first event.
func (a *attempt) openAndDeliver() {
	first, err := a.open()
	if !a.deliver(result{attempt: a, firstToken: first, err: err}) {
		a.end(false, nil)
	}
}

// deliver hands the result to the request, unless the attempt was abandoned.
// The channel has room for every attempt.
func (a *attempt) deliver(r result) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.abandoned {
		return false
	}
	a.run.results <- r
	return true
}

func (a *attempt) open() ([]byte, error) {
	request := a.run.request
	a.countLinkBytes(len(request.Body))
	stream, err := a.run.dispatcher.sender.Open(a.ctx, relayer.Attempt{
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
		return nil, nil // a whole answer without any token
	}
	if err != nil {
		return nil, err //nolint:wrapcheck // an AttemptError, which callers unwrap
	}
	a.endPrompt()
	a.upstream.Gauge().RecordEvent(time.Now(), 0)
	return append([]byte(nil), first...), nil
}

// countLinkBytes counts bytes that cross the link between regions.
func (a *attempt) countLinkBytes(bytes int) {
	if a.upstream.Tier() == chooser.TierRemote {
		a.run.dispatcher.link.Count(linkmeter.PurposeOnline, bytes, time.Now())
	}
}

// abandon gives the attempt up. Its goroutine ends it or, if that has already
// reported a result that nobody will read, this call.
func (a *attempt) abandon() {
	a.mu.Lock()
	a.abandoned = true
	a.mu.Unlock()
	a.cancel()
	a.run.discardResult(a)
}

// discardResult ends an abandoned attempt whose result came in before.
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

// end closes the attempt once and undoes its counts.
func (a *attempt) end(completed bool, failure *relayer.AttemptError) {
	a.endOnce.Do(func() { a.cleanUp(completed, failure) })
}

func (a *attempt) cleanUp(completed bool, failure *relayer.AttemptError) {
	// An attempt that the caller gave up also breaks its connection; only one
	// that broke by itself says something of the upstream.
	canceled := a.ctx.Err() != nil
	a.cancel()
	a.mu.Lock()
	stream := a.stream
	a.mu.Unlock()
	if stream != nil {
		stream.Close()
	}
	d := a.run.dispatcher
	if failure != nil && !canceled {
		a.recordFailure(failure)
	}
	if completed {
		d.quarantine.Clear(a.run.request.Fingerprint)
	}
	if a.release != nil {
		a.release()
	}
	a.endPrompt()
	a.upstream.Gauge().EndOnline()
	d.observer.OnlineChanged(a.upstream, false)
	a.run.lane.queue.Released()
}

// recordFailure tells the gauge, the quarantine and the observer what an
// attempt's failure says of its upstream.
func (a *attempt) recordFailure(failure *relayer.AttemptError) {
	d := a.run.dispatcher
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
		d.observer.StrikeRecorded(d.quarantine.RecordCrash(a.run.request.Fingerprint, a.release != nil, now))
	}
}

// mayHaveCrashed tells whether the upstream was alive when it got the request,
// so that the request may be what ended it. An upstream that is down breaks
// every connection, which says nothing of the requests on them.
func (a *attempt) mayHaveCrashed() bool {
	a.mu.Lock()
	answered := a.stream != nil
	a.mu.Unlock()
	if a.release != nil {
		return answered
	}
	return answered || a.healthy
}
