// Package courier makes one attempt of a request at one upstream: it sends it,
// sorts out what the answer means, and tells the placer what it says of the
// upstream.
package courier

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/forwarder"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
)

// Call is a request, online or of a batch, as it goes to an upstream.
type Call struct {
	ID     string
	Method string
	// URI is the path and the query exactly as the caller sent them.
	URI    string
	Host   string
	Header http.Header // end-to-end fields only
	Body   []byte
}

// Target is where and how one attempt of a call is sent.
type Target struct {
	Upstream placer.Upstream
	// Deadline is when the upstream may stop working on it; zero means never.
	Deadline time.Time
	// LastEvent is the identifier of the last event that need not come again.
	LastEvent string
}

// Classification is what the head of an answer means.
type Classification struct {
	// NotRun answers promise that the upstream did not and will not run the call.
	NotRun bool
	// Misdirected answers come from another upstream at the same address.
	Misdirected bool
	// Failed answers tell of a fault of the upstream, whatever the call.
	Failed bool
	// Leaving answers say that the upstream is about to leave.
	Leaving bool
	Load    placer.Load
	// HasLoad tells whether the answer says anything of the upstream's load.
	HasLoad bool
}

// Codec translates between calls and what upstreams speak.
type Codec interface {
	Encode(call *Call, target Target, now time.Time) *http.Request
	Classify(status int, header http.Header) Classification
}

// maxRefusal bounds the body of a refusal, which is read so that its connection
// can be used again.
const maxRefusal = 64 << 10

// ErrRefused means that an upstream did not take a call.
var ErrRefused = errors.New("upstream refused")

// Courier makes attempts.
type Courier struct {
	forwarder *forwarder.Forwarder
	placer    *placer.Placer
	codec     Codec
	logger    *slog.Logger
}

// New returns a courier.
func New(f *forwarder.Forwarder, p *placer.Placer, codec Codec, logger *slog.Logger) *Courier {
	return &Courier{forwarder: f, placer: p, codec: codec, logger: logger}
}

// Delivery is an answer under way. Close must be called.
type Delivery struct {
	*forwarder.Answer
	courier *Courier
	place   *placer.Slot
}

// Send sends a call to the upstream of a place, which it gives back at the end
// of the answer or with an error. Errors are relayer.AttemptErrors.
func (c *Courier) Send(
	ctx context.Context, place *placer.Slot, call *Call, target Target,
) (*Delivery, error) {
	target.Upstream = place.Upstream()
	answer, err := c.forwarder.Send(ctx, forwarder.Attempt{
		Request: c.codec.Encode(call, target, time.Now()), Body: call.Body, ID: call.ID, Address: target.Upstream.Address,
	})
	if err != nil {
		c.giveBack(ctx, place, true)
		return nil, err //nolint:wrapcheck // an AttemptError, which callers unwrap
	}
	verdict := c.codec.Classify(answer.Status(), answer.Header())
	if verdict.HasLoad {
		c.placer.RecordLoad(place, verdict.Load, time.Now())
	}
	if verdict.Leaving && c.placer.MarkDraining(place) {
		c.logger.Info("upstream leaves", "upstream", target.Upstream.ID, "toldIn", call.ID)
	}
	if !verdict.NotRun {
		c.judge(place, verdict)
		return &Delivery{Answer: answer, courier: c, place: place}, nil
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxRefusal)) // only so that the connection can be kept
	answer.Close()
	c.giveBack(ctx, place, verdict.Misdirected)
	cause := fmt.Errorf("%w: status %d of %s", ErrRefused, answer.Status(), target.Upstream.ID)
	return nil, relayer.NewAttemptError(relayer.RanNot, cause)
}

// judge notes what an answer says of the upstream's health.
func (c *Courier) judge(place *placer.Slot, verdict Classification) {
	if verdict.Failed {
		c.placer.RecordFailure(place, time.Now())
		return
	}
	c.placer.RecordAnswer(place, time.Now())
}

// giveBack ends a place. A failure that the caller's own leaving brought about
// says nothing of the upstream.
func (c *Courier) giveBack(ctx context.Context, place *placer.Slot, failed bool) {
	if failed && ctx.Err() == nil {
		c.placer.RecordFailure(place, time.Now())
	}
	c.placer.Release(place, time.Now())
}

// RecordFailure notes that the upstream broke the answer off.
func (d *Delivery) RecordFailure() { d.courier.placer.RecordFailure(d.place, time.Now()) }

// Close ends the attempt.
func (d *Delivery) Close() {
	d.Answer.Close()
	d.courier.placer.Release(d.place, time.Now())
}
