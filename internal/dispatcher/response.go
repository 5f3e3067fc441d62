package dispatcher

import (
	"errors"
	"io"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/chooser"
	"github.com/fescuespindle/fescuespindle/internal/relayer"
)

// Response is the answer to a request, event by event.
type Response struct {
	flight *flight
	first  []byte
	last   time.Time
	closed bool
}

// Upstream returns the upstream that answers.
func (r *Response) Upstream() *chooser.Upstream { return r.flight.upstream }

// Next returns the next event, or io.EOF after the whole answer. Any other
// error means that the answer is not whole. The event is valid until the next
// call.
func (r *Response) Next() ([]byte, error) {
	now := time.Now()
	if r.first != nil {
		first := r.first
		r.first = nil
		r.last = now
		return first, nil
	}
	data, err := r.flight.stream.Next()
	switch {
	case err == nil:
		now = time.Now()
		r.flight.countRemote(len(data))
		if !r.last.IsZero() {
			r.flight.upstream.Gauge().Progress(now, now.Sub(r.last))
		}
		r.last = now
		return data, nil
	case errors.Is(err, io.EOF):
		r.close(true, nil)
		return nil, io.EOF
	default:
		failure := relayer.AsFailure(err)
		r.close(false, failure)
		return nil, failure
	}
}

// Close ends the answer; the engine stops if it is not whole yet.
func (r *Response) Close() { r.close(false, nil) }

func (r *Response) close(completed bool, failure *relayer.AttemptError) {
	if r.closed {
		return
	}
	r.closed = true
	r.flight.owner.leave()
	r.flight.end(completed, failure)
}
