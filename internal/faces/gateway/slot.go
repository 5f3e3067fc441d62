package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/crashanalyzer"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/slotqueuer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
)

const (
	// MaxSlotWait is the longest time from its arrival that a request waits for a free
	// slot. From then on, it accepts a slot on any upstream. The rest of the caller's
	// timeout is left for the answer.
	MaxSlotWait = 1500 * time.Millisecond
	// SlotWaitDivisor bounds the wait to a share of the time from arrival to deadline.
	SlotWaitDivisor = 3
	// SlotPollInterval is the mean interval at which a waiting request polls for a slot.
	SlotPollInterval = 40 * time.Millisecond
	// MaxLimitWait is how long a new request waits while the rate limits of all upstreams are
	// reached. Another VM may have something left of them, so it is soon rejected.
	MaxLimitWait = 50 * time.Millisecond
)

// acquireSlot acquires a slot for the next attempt, for which it waits behind the requests of
// this VM that precede it. If the context ends meanwhile, it returns that error. It returns
// errCrashesUpstreams if the request must not be sent.
func (f *forwarding) acquireSlot(ctx context.Context) (*placer.Slot, error) {
	slot, err := f.waitForSlot(ctx, f.onlineWork())
	if !errors.Is(err, placer.ErrNoUpstream) || !f.mayReturn() || !sleeper.Sleep(ctx, returnPause) {
		return slot, err
	}
	work := f.onlineWork()
	work.Avoid = nil
	return f.waitForSlot(ctx, work)
}

// onlineWork describes the next attempt to the placer.
func (f *forwarding) onlineWork() placer.OnlineWork {
	work := placer.OnlineWork{Service: f.x.request.service, Avoid: f.avoid, Versions: f.versions()}
	if !f.headSent { // otherwise it can't be rejected any more
		work.Deadline = f.x.request.Deadline
	}
	if target := f.x.request.route.LatencyTarget; target > 0 && !f.headSent {
		work.Target, work.WaitUntil = f.x.request.receivedAt.Add(target), f.slotDeadline()
	}
	work.LimitWaitUntil = f.limitWaitUntil(time.Now())
	return work
}

// waitForSlot acquires a slot, or waits in the queue of this VM until the request gets one.
func (f *forwarding) waitForSlot(ctx context.Context, work placer.OnlineWork) (*placer.Slot, error) {
	var slot *placer.Slot
	wasYielding := f.yielded
	ticket, err := f.gateway.slots.Enter(slotqueuer.Request{
		Team: f.x.teamName(), Urgency: f.x.urgency(), Work: work,
		Acquire: func(work placer.OnlineWork, now time.Time) (err error) {
			f.yielded = f.yielded || !work.YieldUntil.IsZero()
			slot, err = f.acquireOnce(work, now)
			return err
		},
	}, time.Now())
	if ticket != nil {
		f.waitedForSlot = true
		err = f.awaitSlot(ctx, ticket)
	}
	f.countSlot(slot, err, ticket != nil, f.yielded && !wasYielding)
	return slot, err //nolint:wrapcheck // compared by the caller
}

// countSlot counts how an attempt to get a slot ended.
func (f *forwarding) countSlot(slot *placer.Slot, err error, waited, yielded bool) {
	if yielded {
		f.gateway.counter.Count("slot_requests_yielding_total")
	}
	result := "none"
	switch {
	case err == nil && slot.Queued():
		f.queuedAtUpstream, result = true, "queueOfUpstream"
	case err == nil:
		result = "free"
	}
	f.gateway.counter.Count(`slot_requests_total{result="` + result + `",waited="` + strconv.FormatBool(waited) + `"}`)
}

// acquireOnce asks the placer for a slot, unless the request must not be sent.
func (f *forwarding) acquireOnce(work placer.OnlineWork, now time.Time) (*placer.Slot, error) {
	if f.crashesUpstreams() {
		return nil, errCrashesUpstreams
	}
	return f.acquireVersioned(work, now)
}

// awaitSlot waits until the wait of a request ends, and returns its result. The queue is asked
// when this VM releases a slot. What other VMs release, and the passage of time, show only when
// it is asked again: each waiting request does so at random times, so that VMs that hear of the
// same slot don't take it at once.
func (f *forwarding) awaitSlot(ctx context.Context, ticket *slotqueuer.Ticket) error {
	began := time.Now()
	defer func() { f.gateway.counter.Observe("slot_wait_seconds", time.Since(began)) }()
	timer := time.NewTimer(pollDelay())
	defer timer.Stop()
	for {
		select {
		case <-ticket.Done():
			return ticket.Err() //nolint:wrapcheck // compared by the caller
		case <-timer.C:
			f.gateway.slots.Poll(f.x.request.service, time.Now())
			timer.Reset(pollDelay())
		case <-ctx.Done():
			if f.gateway.slots.Leave(ticket) {
				return context.Cause(ctx) //nolint:wrapcheck // only compared with nil
			}
			return ticket.Err() //nolint:wrapcheck // compared by the caller
		}
	}
}

func pollDelay() time.Duration { return SlotPollInterval/2 + rand.N(SlotPollInterval) }

// SlotReleased lets waiting requests of a service acquire the slot that this VM has released.
func (g *Gateway) SlotReleased(service string) { g.slots.Ask(service, time.Now()) }

// Waiting returns the number of requests that wait for a slot.
func (g *Gateway) Waiting() int { return g.slots.Waiting() }

// urgency returns the rank of the request: its team's, or else its route's. 0 is the most urgent.
func (x *exchange) urgency() int {
	if x.team != nil && x.team.HasPriority {
		return x.team.Priority
	}
	return x.request.route.Priority
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
		latest = earliest(latest, receivedAt.Add(deadline.Sub(receivedAt)/SlotWaitDivisor))
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
