// Package courier makes one attempt of a request at one upstream: it sends the
// request, classifies the answer, and records with the placer what the answer shows
// about the upstream.
package courier

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/forwarder"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/requestwriter"
)

// Call is a request, online or from a batch, as it is sent to an upstream.
type Call struct {
	ID     string
	Method string
	// URI is the path and the query exactly as the caller sent them.
	URI    string
	Host   string
	Header http.Header // end-to-end fields only
	Body   []byte
	// HasTeams is whether callers are identified by keys. The upstream then receives the team's
	// name, and neither the key nor another name that the caller sent.
	HasTeams bool
	// Team is the name of the team for which the call is made; empty for none.
	Team string
}

// Target says where and how one attempt of a call is sent.
type Target struct {
	Upstream placer.Upstream // set by Courier.Send
	// Deadline is when the upstream may stop working on the call; zero means no
	// deadline.
	Deadline time.Time
	// LastEvent is the identifier of the last event that was received. The upstream
	// resumes the stream after it.
	LastEvent string
}

// Classification is what the status and the header of an answer mean.
type Classification struct {
	// NotRun is whether the upstream guarantees that it did not and will not run the
	// call.
	NotRun bool
	// Misdirected is whether the answer comes from another upstream at the same
	// address.
	Misdirected bool
	// Failed is whether the answer shows a fault of the upstream, whatever the call.
	Failed bool
	// IsStream is whether the answer is a series of events.
	IsStream bool
	// Draining is whether the upstream announces that it is draining.
	Draining bool
	Load     placer.Load
	// RateLimit is the number of requests per second that the upstream accepts from all VMs
	// together; 0 means no limit. If RateLimitInvalid is set, the answer names one that can't
	// be read, and says nothing of it.
	RateLimit        float64
	RateLimitInvalid bool
	// HasLoad is whether the answer reports the upstream's load.
	HasLoad bool
}

// Codec translates between calls and the wire format of upstreams.
type Codec interface {
	Encode(call *Call, target Target, now time.Time) *http.Request
	Classify(status int, header http.Header) Classification
}

// maxRejectionBytes bounds the body of a rejection that is read to make its connection
// reusable.
const maxRejectionBytes = 64 << 10

// ErrRejected means that an upstream did not accept a call.
var ErrRejected = errors.New("upstream rejected the call")

// Courier sends calls to upstreams and releases their slots.
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

// Delivery is an answer whose body is being read. Close must be called.
type Delivery struct {
	*forwarder.Answer
	courier  *Courier
	slot     *placer.Slot
	isStream bool
}

// Send sends a call to the upstream of a slot. It releases the slot if it returns an
// error; otherwise Delivery.Close does. Errors are of type relayer.AttemptError.
func (c *Courier) Send(
	ctx context.Context, slot *placer.Slot, call *Call, target Target,
) (*Delivery, error) {
	target.Upstream = slot.Upstream()
	answer, err := c.forwarder.Send(ctx, forwarder.Attempt{
		Request: c.codec.Encode(call, target, time.Now()), Body: call.Body, ID: call.ID, Address: target.Upstream.Address,
	})
	if err != nil {
		c.recordError(ctx, slot, err)
		c.placer.Release(slot, time.Now())
		return nil, err //nolint:wrapcheck // an AttemptError, which callers unwrap
	}
	classification := c.codec.Classify(answer.Status(), answer.Header())
	if classification.HasLoad {
		c.placer.RecordLoad(slot, classification.Load, time.Now())
	}
	c.recordRateLimit(slot, classification)
	if classification.Draining && c.placer.MarkDraining(slot) {
		c.logger.Info("upstream is draining", "upstream", target.Upstream.ID, "toldIn", call.ID)
	}
	if !classification.NotRun {
		c.recordHealth(slot, classification)
		return &Delivery{Answer: answer, courier: c, slot: slot, isStream: classification.IsStream}, nil
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxRejectionBytes)) // only to make the connection reusable
	answer.Close()
	if classification.Misdirected && ctx.Err() == nil {
		c.placer.RecordFailure(slot, time.Now())
	}
	c.placer.Release(slot, time.Now())
	cause := fmt.Errorf("%w: status %d of %s", ErrRejected, answer.Status(), target.Upstream.ID)
	return nil, relayer.NewAttemptError(relayer.RanNot, cause)
}

// HasCrashed returns whether an upstream that broke off an attempt refuses connections, so
// that its process has ended.
func (c *Courier) HasCrashed(ctx context.Context, u placer.Upstream) bool {
	return c.forwarder.Refuses(ctx, u.Address)
}

// recordRateLimit records with the placer the rate limit that the answer names, if any.
func (c *Courier) recordRateLimit(slot *placer.Slot, classification Classification) {
	if classification.RateLimitInvalid || classification.Misdirected {
		return
	}
	previous, changed := c.placer.RecordRateLimit(slot, classification.RateLimit, time.Now())
	if changed {
		c.logger.Info("upstream names another rate limit", "upstream", slot.Upstream().ID,
			"perSecond", classification.RateLimit, "previous", previous.PerSecond,
			"sentOnline", previous.SentOnline, "sentItems", previous.SentBatch)
	}
}

// recordHealth records with the placer whether the answer shows the upstream to be
// healthy.
func (c *Courier) recordHealth(slot *placer.Slot, classification Classification) {
	if classification.Failed {
		c.placer.RecordFailure(slot, time.Now())
		return
	}
	c.placer.RecordAnswer(slot, time.Now())
}

// recordError records a failure of the upstream, unless the call is at fault or the context has ended: a canceled
// attempt shows nothing about the upstream.
func (c *Courier) recordError(ctx context.Context, slot *placer.Slot, err error) {
	switch {
	case ctx.Err() != nil || errors.Is(err, requestwriter.ErrUnwritable):
	case isBreak(err):
		c.placer.RecordBreak(slot, time.Now())
	default:
		c.placer.RecordFailure(slot, time.Now())
	}
}

// breaks are errors that show that an upstream has refused or closed a connection.
var breaks = []error{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF}

// isBreak returns whether an error shows that an upstream has refused or closed a connection, as it does when its process
// ends.
func isBreak(err error) bool {
	return slices.ContainsFunc(breaks, func(b error) bool { return errors.Is(err, b) })
}

// IsStream returns whether the answer is a series of events.
func (d *Delivery) IsStream() bool { return d.isStream }

// Upstream returns the upstream that answers.
func (d *Delivery) Upstream() placer.Upstream { return d.slot.Upstream() }

// RecordFailure records that the upstream gave an answer of the wrong kind.
func (d *Delivery) RecordFailure() { d.courier.placer.RecordFailure(d.slot, time.Now()) }

// RecordTruncation records that the upstream truncated the answer or stalled, so that reading it met an error.
func (d *Delivery) RecordTruncation(err error) {
	if isBreak(err) {
		d.courier.placer.RecordBreak(d.slot, time.Now())
		return
	}
	d.courier.placer.RecordFailure(d.slot, time.Now())
}

// Close closes the answer and releases the slot.
func (d *Delivery) Close() {
	d.Answer.Close()
	d.courier.placer.Release(d.slot, time.Now())
}
