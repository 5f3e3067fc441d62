package dispatcher

import (
	"context"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
)

const (
	// maxIsolationWait bounds the wait of a suspect until it can run alone, and
	// isolationPause is the time between two looks.
	maxIsolationWait = 5 * time.Second
	isolationPause   = 20 * time.Millisecond
)

// MaxTier returns the last tier that a request may go to: another region's
// upstreams only while the link's budget has something left.
func MaxTier(link Link, now time.Time) chooser.Tier {
	if link.Allows(now) {
		return chooser.TierRemote
	}
	return chooser.TierRegion
}

// choose picks an upstream. A suspect is only let run where it is isolated from
// other suspects; the function returned ends that, and is nil for others.
func (r *run) choose(
	ctx context.Context, avoid *chooser.Upstream, now time.Time,
) (choice chooser.Choice, release func(), ok bool) {
	query := chooser.Request{
		Prefix: r.prefix, Avoid: avoid, MaxTier: MaxTier(r.dispatcher.link, now), Now: now,
		Gather: r.lane.Pool().HasBatch(),
	}
	if r.dispatcher.quarantine.Strikes(r.request.Fingerprint, now) == 0 {
		choice, ok = r.pick(query)
		return choice, nil, ok
	}
	return r.isolate(ctx, query)
}

// pick returns the policy's choice. The upstream to avoid is taken if no other
// is left.
func (r *run) pick(query chooser.Request) (chooser.Choice, bool) {
	pool := r.lane.Pool()
	choice, ok := r.dispatcher.policy.Choose(pool, query)
	if !ok && query.Avoid != nil {
		query.Avoid = nil
		choice, ok = r.dispatcher.policy.Choose(pool, query)
	}
	return choice, ok
}

// isolate picks an upstream for a suspect. A crash makes suspects of all that
// ran there, which can be more than there are upstreams to isolate them on, so
// those that find none wait until others are done.
func (r *run) isolate(ctx context.Context, query chooser.Request) (chooser.Choice, func(), bool) {
	ctx, cancel := context.WithDeadline(ctx, earliest(query.Now.Add(maxIsolationWait), r.request.Deadline))
	defer cancel()
	for {
		choice, release, found := r.tryToIsolate(ctx, query)
		if found {
			return choice, release, true
		}
		r.trace.add("waits to be isolated")
		if !sleeper.Sleep(ctx, isolationPause) {
			return chooser.Choice{}, nil, false
		}
		query.Now = time.Now()
		if r.dispatcher.quarantine.ShouldReject(r.request.Fingerprint, query.Now) {
			return chooser.Choice{}, nil, false
		}
	}
}

// tryToIsolate looks at a few upstreams for one without another suspect.
func (r *run) tryToIsolate(ctx context.Context, query chooser.Request) (chooser.Choice, func(), bool) {
	const looks = 8
	for range looks {
		choice, ok := r.pick(query)
		if !ok {
			return choice, nil, false
		}
		release, granted := r.dispatcher.isolator.Isolate(ctx, choice.Upstream, r.request.Fingerprint)
		if granted {
			return choice, release, true
		}
		query.Prefix, query.Gather = 0, false
		query.Avoid = choice.Upstream
	}
	return chooser.Choice{}, nil, false
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
