package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
)

const (
	// MaxSlotWait is how long after its arrival a request waits at most for a place that
	// is free. What is left of a caller's patience is for the answer.
	MaxSlotWait = 1500 * time.Millisecond
	// waitShare is the part of the time to the deadline that it waits at most, as a
	// divisor.
	waitShare = 3
	// SlotPollInterval is the mean time between two questions for a free place.
	SlotPollInterval = 40 * time.Millisecond
)

// place takes the place of the next attempt, and waits for one while none is there in
// time.
func (j *forwarding) place(ctx context.Context) (*placer.Slot, error) {
	work := placer.OnlineWork{Service: j.x.request.service, Avoid: j.avoid}
	if target := j.x.request.route.LatencyTarget; target > 0 && !j.headSent {
		work.Target, work.WaitUntil = j.x.request.began.Add(target), j.latestPlace()
	}
	for {
		place, err := j.gateway.placer.AcquireOnline(work, time.Now())
		if !errors.Is(err, placer.ErrRetryLater) || !sleeper.Sleep(ctx, SlotPollInterval/2+rand.N(SlotPollInterval)) {
			return place, err //nolint:wrapcheck // only told from nil
		}
		j.waited = true
	}
}

// latestPlace returns until when the request waits for a free place.
func (j *forwarding) latestPlace() time.Time {
	began, latest := j.x.request.began, j.x.request.began.Add(MaxSlotWait)
	if deadline := j.x.request.Deadline; !deadline.IsZero() {
		latest = earliest(latest, began.Add(deadline.Sub(began)/waitShare))
	}
	return latest
}

// RetainUpstreams tells which upstreams there are.
func (g *Gateway) RetainUpstreams(ids map[string]bool) { g.pacer.RetainUpstreams(ids) }
