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

// Response is the answer to a request, event by event.
type Response struct {
	ctx    context.Context //nolint:containedctx // the caller's, for as long as it reads
	first  []byte
	last   time.Time
	tokens int // events handed on; each but the last carries one token
	closed bool

	pausing atomic.Bool
	mu      sync.Mutex // guards what pause reads and changes
	flight  *flight
	pauses  int
}

func newResponse(ctx context.Context, f *flight, first []byte) *Response {
	r := &Response{ctx: ctx, flight: f, first: first}
	f.owner.lane.track(r)
	return r
}

// Upstream returns the upstream that answers.
func (r *Response) Upstream() *chooser.Upstream { return r.flight.upstream }

// Next returns the next event, or io.EOF after the whole answer. Any other
// error means that the answer is not whole. The event is valid until the next
// call.
func (r *Response) Next() ([]byte, error) {
	if r.first != nil {
		first := r.first
		r.first = nil
		r.last = time.Now()
		r.tokens++
		return first, nil
	}
	for {
		data, err := r.flight.stream.Next()
		if err == nil {
			r.note(len(data))
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

// note counts an event that is handed on.
func (r *Response) note(bytes int) {
	now := time.Now()
	r.tokens++
	r.flight.countRemote(bytes)
	if !r.last.IsZero() {
		r.flight.upstream.Gauge().RecordEvent(now, now.Sub(r.last))
	}
	r.last = now
}

// Close ends the answer; the engine stops if it is not whole yet.
func (r *Response) Close() { r.close(false, nil) }

func (r *Response) close(completed bool, failure *relayer.AttemptError) {
	if r.closed {
		return
	}
	r.closed = true
	r.flight.owner.lane.untrack(r)
	r.flight.owner.leave()
	r.flight.end(completed, failure)
}
