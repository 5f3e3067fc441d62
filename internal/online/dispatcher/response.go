package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
)

// Response is the answer to a request as a stream of events. Its exported methods must be
// called from one goroutine at a time. Other requests may pause it concurrently.
type Response struct {
	ctx        context.Context //nolint:containedctx // the caller's, valid while it reads the answer
	firstToken []byte
	lastEvent  time.Time
	tokens     int // events returned by Next; each but the last carries one token
	closed     bool

	pausing atomic.Bool
	mu      sync.Mutex // guards attempt and pauses
	attempt *attempt
	pauses  int
}

func newResponse(ctx context.Context, a *attempt, first []byte) *Response {
	r := &Response{ctx: ctx, attempt: a, firstToken: first}
	a.parent.lane.track(r)
	return r
}

// Upstream returns the upstream that sends the answer.
func (r *Response) Upstream() *chooser.Upstream { return r.attempt.upstream }

// Next returns the next event, or io.EOF after a complete answer. Any other error means
// that the answer is incomplete. The event is valid until the next call. A stream that
// was paused is resumed within Next.
func (r *Response) Next() ([]byte, error) {
	if r.firstToken != nil {
		first := r.firstToken
		r.firstToken = nil
		r.lastEvent = time.Now()
		r.tokens++
		return first, nil
	}
	for {
		data, err := r.attempt.stream.Next()
		if err == nil {
			r.recordEvent(len(data))
			return data, nil
		}
		if errors.Is(err, io.EOF) {
			r.close(true, nil)
			return nil, io.EOF
		}
		failure := relayer.AsAttemptError(err)
		if !r.pausing.Load() || !errors.Is(err, relayer.ErrTruncated) {
			r.close(false, failure)
			return nil, failure
		}
		if err := r.resume(); err != nil {
			r.close(false, nil)
			return nil, fmt.Errorf("%w: %w", failure, err)
		}
	}
}

// recordEvent updates the counts and the upstream's gauge with an event.
func (r *Response) recordEvent(bytes int) {
	now := time.Now()
	r.tokens++
	r.attempt.countLinkBytes(bytes)
	if !r.lastEvent.IsZero() {
		r.attempt.upstream.Gauge().RecordEvent(now, now.Sub(r.lastEvent))
	}
	r.lastEvent = now
}

// Close ends the stream. If the answer is incomplete, the engine stops working on it.
func (r *Response) Close() { r.close(false, nil) }

func (r *Response) close(completed bool, failure *relayer.AttemptError) {
	if r.closed {
		return
	}
	r.closed = true
	r.attempt.parent.lane.untrack(r)
	r.attempt.parent.releaseAdmission()
	r.attempt.end(completed, failure)
}
