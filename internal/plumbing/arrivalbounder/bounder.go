// Package arrivalbounder bounds a call by what arrives of its answer, not by the time that the whole
// answer takes.
//
// Over a link that many VMs share an answer may take long. If a call has a time in all, it is aborted
// while its answer arrives and made again, so that the link stays full of bytes that are thrown away.
package arrivalbounder

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Causes of the end of a context. They wrap context.DeadlineExceeded, as the call has missed a deadline and was
// not canceled by whoever needs the answer.
var (
	ErrNotStarted = fmt.Errorf("answer has not begun to arrive: %w", context.DeadlineExceeded)
	ErrStalled    = fmt.Errorf("answer has stopped arriving: %w", context.DeadlineExceeded)
)

// Bounds are the times of a call.
type Bounds struct {
	// Start is how long the answer may take to begin, Stall how long it may stand still then, and Total
	// how long it may keep arriving, after Start.
	Start, Stall, Total time.Duration
}

// Bounder ends the context of one call. Progress may be called by any goroutine.
type Bounder struct {
	ctx     context.Context //nolint:containedctx // it is what Bounder is about
	cancel  context.CancelFunc
	stall   time.Duration
	started atomic.Bool
	timer   *time.Timer
}

// Start returns a context for a call, and the Bounder that ends it. Stop must be called.
func Start(ctx context.Context, b Bounds) (context.Context, *Bounder) {
	ctx, cancelTotal := context.WithTimeout(ctx, b.Start+b.Total)
	ctx, cancel := context.WithCancelCause(ctx)
	bounder := &Bounder{ctx: ctx, stall: b.Stall, cancel: func() {
		cancel(nil)
		cancelTotal()
	}}
	bounder.timer = time.AfterFunc(b.Start, func() {
		if bounder.started.Load() {
			cancel(ErrStalled)
			return
		}
		cancel(ErrNotStarted)
	})
	return ctx, bounder
}

// Progress records that something of the answer has arrived.
func (b *Bounder) Progress() {
	b.started.Store(true)
	b.timer.Reset(b.stall)
}

// Cause returns ErrNotStarted or ErrStalled if the Bounder has ended the call so, and otherwise nil.
func (b *Bounder) Cause() error {
	for _, cause := range []error{ErrNotStarted, ErrStalled} {
		if context.Cause(b.ctx) == cause { //nolint:errorlint // both wrap the same error
			return cause
		}
	}
	return nil
}

// Stop ends the context.
func (b *Bounder) Stop() {
	b.timer.Stop()
	b.cancel()
}

// Reader returns a reader that records each piece that it reads.
func (b *Bounder) Reader(from io.Reader) io.Reader { return arrivingReader{from: from, bounder: b} }

type arrivingReader struct {
	from    io.Reader
	bounder *Bounder
}

// Read implements io.Reader.
func (r arrivingReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if n > 0 {
		r.bounder.Progress()
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}
