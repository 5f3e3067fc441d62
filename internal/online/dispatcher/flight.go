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

// flight is one attempt under way. It counts as online work of its upstream
// from newFlight to end.
type flight struct {
	owner    *run
	upstream *chooser.Upstream
	id       string
	begun    time.Time
	ctx      context.Context //nolint:containedctx // ends with the attempt, not with a call
	cancel   context.CancelFunc
	ended    sync.Once
	stream   *relayer.Stream
	healthy  bool   // the upstream had answered since its last failure
	release  func() // ends the isolation of a suspect; nil for others
	prompt   sync.Once

	mu        sync.Mutex
	abandoned bool
}

func newFlight(ctx context.Context, owner *run, u *chooser.Upstream, now time.Time) *flight {
	f := &flight{owner: owner, upstream: u, begun: now, healthy: u.Gauge().Healthy()}
	f.id = fmt.Sprintf("%s-%d", owner.request.ID, owner.attempts)
	f.ctx, f.cancel = context.WithCancel(ctx)
	u.Gauge().BeginOnline(now)
	u.Gauge().BeginPrompt(len(owner.request.Body))
	owner.dispatcher.observer.OnlineChanged(u, true)
	return f
}

// endPrompt notes once that the prompt is worked through or given up. Others
// are told if it was a long one.
func (f *flight) endPrompt() {
	f.prompt.Do(func() {
		if f.upstream.Gauge().EndPrompt(len(f.owner.request.Body)) {
			f.owner.dispatcher.observer.OnlineChanged(f.upstream, false)
		}
	})
}

// run sends the attempt and reports its first event.
func (f *flight) run() {
	first, err := f.open()
	if !f.report(result{flight: f, first: first, err: err}) {
		f.end(false, nil)
	}
}

// report hands the result to the request, unless the attempt was abandoned.
// The channel has room for every attempt.
func (f *flight) report(r result) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.abandoned {
		return false
	}
	f.owner.results <- r
	return true
}

func (f *flight) open() ([]byte, error) {
	request := f.owner.request
	f.countRemote(len(request.Body))
	stream, err := f.owner.dispatcher.engines.Open(f.ctx, relayer.Attempt{
		ID: f.id, Address: f.upstream.Address(), Method: http.MethodPost, Path: request.Path,
		Body: request.Body, Deadline: request.Deadline,
		Header: http.Header{"Content-Type": {"application/json"}},
	})
	if err != nil {
		return nil, err //nolint:wrapcheck // an AttemptError, which callers unwrap
	}
	f.mu.Lock()
	f.stream = stream
	f.mu.Unlock()
	first, err := stream.Next()
	if errors.Is(err, io.EOF) {
		return nil, nil // a whole answer without any token
	}
	if err != nil {
		return nil, err //nolint:wrapcheck // an AttemptError, which callers unwrap
	}
	f.endPrompt()
	f.upstream.Gauge().RecordEvent(time.Now(), 0)
	return append([]byte(nil), first...), nil
}

// countRemote counts bytes that cross the link between regions.
func (f *flight) countRemote(bytes int) {
	if f.upstream.Tier() == chooser.TierRemote {
		f.owner.dispatcher.link.Count(linkmeter.PurposeOnline, bytes, time.Now())
	}
}

// abandon gives the attempt up. Its goroutine ends it or, if that has already
// reported a result that nobody will read, this call.
func (f *flight) abandon() {
	f.mu.Lock()
	f.abandoned = true
	f.mu.Unlock()
	f.cancel()
	f.owner.drain(f)
}

// drain ends an abandoned attempt whose result came in before.
func (r *run) drain(f *flight) {
	for range len(r.results) {
		got := <-r.results
		if got.flight == f {
			f.end(false, nil)
			return
		}
		r.results <- got
	}
}

// end closes the attempt once and undoes its counts.
func (f *flight) end(completed bool, failure *relayer.AttemptError) {
	f.ended.Do(func() { f.finish(completed, failure) })
}

func (f *flight) finish(completed bool, failure *relayer.AttemptError) {
	// An attempt that the caller gave up also breaks its connection; only one
	// that broke by itself says something of the upstream.
	givenUp := f.ctx.Err() != nil
	f.cancel()
	f.mu.Lock()
	stream := f.stream
	f.mu.Unlock()
	if stream != nil {
		stream.Close()
	}
	d := f.owner.dispatcher
	if failure != nil && !givenUp {
		f.noteFailure(failure)
	}
	if completed {
		d.quarantine.Clear(f.owner.request.Fingerprint)
	}
	if f.release != nil {
		f.release()
	}
	f.endPrompt()
	f.upstream.Gauge().EndOnline()
	d.observer.OnlineChanged(f.upstream, false)
	f.owner.lane.queue.Released()
}

// noteFailure tells the gauge, the quarantine and the observer what an
// attempt's failure says of its upstream.
func (f *flight) noteFailure(failure *relayer.AttemptError) {
	d := f.owner.dispatcher
	now := time.Now()
	if failure.Status() != 0 {
		return
	}
	d.counter.Count("failures_total{ran=\"" + failure.Ran().String() + "\"}")
	f.upstream.Gauge().RecordFailure(now, blockAfterFail)
	if failure.Draining() {
		f.upstream.Gauge().SetDraining(true)
		d.observer.DrainingSeen(f.upstream)
	}
	if failure.MayHaveCrashed() && f.mayHaveCrashed() {
		d.observer.StrikeRecorded(d.quarantine.RecordCrash(f.owner.request.Fingerprint, f.release != nil, now))
	}
}

// mayHaveCrashed tells whether the upstream was alive when it got the request,
// so that the request may be what ended it. An upstream that is down breaks
// every connection, which says nothing of the requests on them.
func (f *flight) mayHaveCrashed() bool {
	f.mu.Lock()
	answered := f.stream != nil
	f.mu.Unlock()
	if f.release != nil {
		return answered
	}
	return answered || f.healthy
}
