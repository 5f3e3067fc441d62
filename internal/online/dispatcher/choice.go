package dispatcher

import (
	"context"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
)

const (
	// maxIsolationWait bounds the time that a suspect waits for an upstream without
	// another suspect, and isolationPollInterval is the time between two tries.
	maxIsolationWait      = 5 * time.Second
	isolationPollInterval = 20 * time.Millisecond
)

// MaxTier returns the most distant tier that a request may use. Upstreams of other
// regions are used only while some of the link's budget is left.
func MaxTier(link Link, now time.Time) chooser.Tier {
	if link.Allows(now) {
		return chooser.TierRemote
	}
	return chooser.TierRegion
}

// choose selects an upstream. A suspect gets one where no other suspect runs; endIsolation
// must be called when its attempt has ended, and is nil for requests that are no suspects.
func (r *run) choose(
	ctx context.Context, avoid *chooser.Upstream, now time.Time,
) (choice chooser.Choice, endIsolation func(), ok bool) {
	query := chooser.Request{
		Prefix: r.prefix, Avoid: avoid, MaxTier: MaxTier(r.dispatcher.link, now), Now: now,
		Gather: r.lane.Pool().HasBatch(),
	}
	if r.dispatcher.quarantine.Strikes(r.request.Fingerprint, now) == 0 {
		choice, ok = r.applyPolicy(query)
		return choice, nil, ok
	}
	return r.isolate(ctx, query)
}

// applyPolicy returns the policy's choice. If the policy finds no other upstream, the one
// to avoid may be chosen.
func (r *run) applyPolicy(query chooser.Request) (chooser.Choice, bool) {
	pool := r.lane.Pool()
	choice, ok := r.dispatcher.policy.Choose(pool, query)
	if !ok && query.Avoid != nil {
		query.Avoid = nil
		choice, ok = r.dispatcher.policy.Choose(pool, query)
	}
	return choice, ok
}

// isolate selects an upstream for a suspect. A crash makes a suspect of every request
// that ran on the upstream, and there may be more suspects than upstreams. Those that
// find no upstream wait until other suspects have finished, for at most
// maxIsolationWait and up to the request's deadline. isolate returns false if the wait
// ends without an upstream, or if the request reaches MaxStrikes meanwhile.
func (r *run) isolate(ctx context.Context, query chooser.Request) (chooser.Choice, func(), bool) {
	ctx, cancel := context.WithDeadline(ctx, earliest(query.Now.Add(maxIsolationWait), r.request.Deadline))
	defer cancel()
	for {
		choice, endIsolation, found := r.tryToIsolate(ctx, query)
		if found {
			return choice, endIsolation, true
		}
		r.trace.add("waits to be isolated")
		if !sleeper.Sleep(ctx, isolationPollInterval) {
			return chooser.Choice{}, nil, false
		}
		query.Now = time.Now()
		if r.dispatcher.quarantine.ShouldReject(r.request.Fingerprint, query.Now) {
			return chooser.Choice{}, nil, false
		}
	}
}

// tryToIsolate makes up to maxCandidates choices until the isolator grants one. Each
// choice avoids only the one before, so an upstream may be tried again.
func (r *run) tryToIsolate(ctx context.Context, query chooser.Request) (chooser.Choice, func(), bool) {
	const maxCandidates = 8
	for range maxCandidates {
		choice, ok := r.applyPolicy(query)
		if !ok {
			return choice, nil, false
		}
		endIsolation, granted := r.dispatcher.isolator.Isolate(ctx, choice.Upstream, r.request.Fingerprint)
		if granted {
			return choice, endIsolation, true
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
