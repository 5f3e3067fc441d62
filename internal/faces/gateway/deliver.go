package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/courier"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
)

const (
	// maxBufferedBytes is how much of a plain answer is buffered, so that the request can
	// fail over if the answer is truncated. The rest of a longer one is streamed.
	maxBufferedBytes = 64 << 10
	// copyBufferBytes is the size of the buffer with which the rest is streamed.
	copyBufferBytes = 16 << 10
	// slowWriteTime is how long a write to a caller takes that reads slowly.
	slowWriteTime = 500 * time.Millisecond
)

// deliver writes an answer to the caller. It returns an error if the answer is
// truncated, or is a failure after which the request may fail over.
func (f *forwarding) deliver(d *courier.Delivery) error {
	defer d.Close()
	if f.headSent && d.Status() < http.StatusMultipleChoices && !d.IsStream() {
		d.RecordFailure()
		return relayer.NewAttemptError(relayer.RanFailed, errNoStream)
	}
	if f.isStream() && d.Status() < http.StatusMultipleChoices {
		return f.deliverStream(d)
	}
	return f.deliverPlain(d)
}

// deliverPlain writes a plain answer to the caller: a short one once it is complete, a
// longer one, or any if memory is exhausted, as it arrives.
func (f *forwarding) deliverPlain(d *courier.Delivery) error {
	reservation := f.gateway.memory.NewReservation()
	defer reservation.Release()
	bufferSize := 0
	if reservation.Grow(maxBufferedBytes) {
		bufferSize = maxBufferedBytes
	}
	body, err := io.ReadAll(io.LimitReader(d, int64(bufferSize)))
	if err != nil {
		d.RecordTruncation(err) // the caller has delayed nothing yet
		return relayer.NewAttemptError(relayer.RanMaybe, err)
	}
	if (d.Status() >= http.StatusInternalServerError && f.canFailOver()) || meansNotRun(d.Status()) {
		return relayer.NewAttemptError(relayer.RanFailed, errors.New(http.StatusText(d.Status())))
	}
	if f.headSent {
		return relayer.NewAttemptError(relayer.RanFailed, errTruncated)
	}
	f.stallTimer.Stop() // the request can no longer fail over, however slow the rest is
	f.writeHead(d)
	if err := f.write(body); err != nil {
		f.gateway.counter.Count("answers_not_taken_total") // the caller disconnected
		return nil
	}
	if len(body) < bufferSize {
		return nil
	}
	return f.copyRest(d)
}

// copyRest streams the rest of a plain answer to the caller.
func (f *forwarding) copyRest(d *courier.Delivery) error {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := d.Read(buffer)
		if n > 0 {
			if writeErr := f.write(buffer[:n]); writeErr != nil {
				return relayer.NewAttemptError(relayer.RanMaybe, fmt.Errorf("%w: %w", errCallerGone, writeErr))
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return relayer.NewAttemptError(relayer.RanMaybe, fmt.Errorf("%w: %w", errTruncated, f.recordBreak(d, err)))
		}
	}
}

// write writes to the caller. A write that takes long means that the caller reads slowly, and that the upstream
// had to wait.
func (f *forwarding) write(p []byte) error {
	start := time.Now()
	_, err := f.x.w.Write(p)
	f.recordWrite(time.Since(start))
	return err //nolint:wrapcheck // callers do
}

// recordWrite records how long the caller took to read.
func (f *forwarding) recordWrite(took time.Duration) {
	if took >= slowWriteTime {
		f.callerIsSlow = true
	}
}

// recordBreak records a failure of the upstream that broke off its answer, unless the caller had it wait: upstreams
// end answers that are not read. It returns the error, which says so.
func (f *forwarding) recordBreak(d *courier.Delivery, err error) error {
	if !f.callerIsSlow {
		d.RecordTruncation(err)
		return err
	}
	f.gateway.counter.Count("answers_broken_by_slow_callers_total")
	f.gateway.logger.Info("upstream broke off while the caller read slowly", "id", f.x.request.Call.ID,
		"upstream", d.Upstream().ID, "events", f.events, "error", err)
	return fmt.Errorf("%w: %w", errCallerSlow, err)
}

// meansNotRun returns whether a status means to callers that their request has not run.
// An upstream that sends such a status without marking the request as not run may have
// run it, so its answer must not be delivered.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// canFailOver returns whether another attempt may replace a failed answer.
func (f *forwarding) canFailOver() bool {
	route := f.x.request.route
	return route.Repeatable() && f.runs < route.MaxAttempts && f.sends < maxSends
}

// writeHead writes the status and the header of an answer to the caller.
func (f *forwarding) writeHead(d *courier.Delivery) {
	f.gateway.codec.EncodeUpstreamHeader(f.x.w.Header(), d.Header())
	f.x.w.WriteHeader(d.Status())
	f.headSent = true
	f.headSentAt = time.Now()
}
