package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/crashanalyzer"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
)

const (
	// MaxSlotWait is the longest time from its arrival that a request waits for a free
	// slot. From then on, it accepts a slot on any upstream. The rest of the caller's
	// timeout is left for the answer.
	MaxSlotWait = 1500 * time.Millisecond
	// slotWaitDivisor bounds the wait to a share of the time from arrival to deadline.
	slotWaitDivisor = 3
	// SlotPollInterval is the mean interval at which a waiting request polls for a slot.
	SlotPollInterval = 40 * time.Millisecond
	// MaxLimitWait is how long a new request waits while the rate limits of all upstreams are
	// reached. Another VM may have something left of them, so it is soon rejected.
	MaxLimitWait = 50 * time.Millisecond
)

// acquireSlot acquires a slot for the next attempt. While the placer returns
// placer.ErrRetryLater, it polls for a slot. If the context ends meanwhile, it returns that
// error. It returns errCrashesUpstreams if the request must not be sent.
func (f *forwarding) acquireSlot(ctx context.Context) (*placer.Slot, error) {
	work := placer.OnlineWork{Service: f.x.request.service, Avoid: f.avoid}
	if target := f.x.request.route.LatencyTarget; target > 0 && !f.headSent {
		work.Target, work.WaitUntil = f.x.request.receivedAt.Add(target), f.slotDeadline()
	}
	work.LimitWaitUntil = f.limitWaitUntil(time.Now())
	for {
		if f.crashesUpstreams() {
			return nil, errCrashesUpstreams
		}
		slot, err := f.acquireVersioned(ctx, work)
		if !errors.Is(err, placer.ErrRetryLater) || !sleeper.Sleep(ctx, SlotPollInterval/2+rand.N(SlotPollInterval)) {
			return slot, err //nolint:wrapcheck // only compared with nil
		}
		f.waitedForSlot = true
	}
}

// limitWaitUntil returns the time until which the request waits while the rate limits of all
// upstreams are reached. A stream that has begun is worth a longer wait.
func (f *forwarding) limitWaitUntil(now time.Time) time.Time {
	if f.headSent {
		return now.Add(MaxSlotWait)
	}
	return f.x.request.receivedAt.Add(MaxLimitWait)
}

// slotDeadline returns the time from which the request accepts a slot on any upstream,
// however long the queue there.
func (f *forwarding) slotDeadline() time.Time {
	receivedAt, latest := f.x.request.receivedAt, f.x.request.receivedAt.Add(MaxSlotWait)
	if deadline := f.x.request.Deadline; !deadline.IsZero() {
		latest = earliest(latest, receivedAt.Add(deadline.Sub(receivedAt)/slotWaitDivisor))
	}
	return latest
}

// RetainUpstreams discards the pacer's state of all upstreams except the given ones.
func (g *Gateway) RetainUpstreams(ids map[string]bool) { g.pacer.RetainUpstreams(ids) }

// crashesUpstreams reports whether the request must not be sent, as it is likely to crash an
// upstream. One that is a probe may be sent until an upstream may have run it.
func (f *forwarding) crashesUpstreams() bool {
	if f.isProbe {
		return false
	}
	decision := f.gateway.crashes.Decide(f.x.request.traits, time.Now())
	f.isProbe = decision == crashanalyzer.DecisionProbe
	if decision != crashanalyzer.DecisionSend {
		f.gateway.logger.Info("request likely to crash upstreams", "id", f.x.request.Call.ID,
			"probe", f.isProbe, "parts", f.x.request.SharedParts)
	}
	return decision == crashanalyzer.DecisionReject
}
