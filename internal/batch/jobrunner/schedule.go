package jobrunner

import (
	"cmp"
	"slices"
	"time"
)

// schedule stops and starts runs to bring their number on each upstream to its limit.
func (r *Runner) schedule(now time.Time) []Action {
	var out []Action
	for _, capacity := range r.capacities {
		out = append(out, r.stopExcess(capacity)...)
		out = append(out, r.startItems(capacity, now)...)
	}
	return append(out, r.stopOnUnownedUpstreams()...)
}

// stopExcess stops the newest runs in excess of the limit, since they lose the least work.
// Runs that are being stopped don't count.
func (r *Runner) stopExcess(capacity Capacity) []Action {
	var out []Action
	count := 0
	for _, run := range r.runs {
		if run.upstream != capacity.Upstream || run.stopping {
			continue
		}
		count++
		if count > capacity.Limit {
			out = append(out, run.stop()...)
		}
	}
	return out
}

// stopOnUnownedUpstreams stops the runs on upstreams that this VM no longer owns.
func (r *Runner) stopOnUnownedUpstreams() []Action {
	var out []Action
	for _, run := range r.runs {
		known := slices.ContainsFunc(r.capacities, func(capacity Capacity) bool { return capacity.Upstream == run.upstream })
		if !known {
			out = append(out, run.stop()...)
		}
	}
	return out
}

// startItems starts items on an upstream up to its limit, but only a few bytes of prompts
// at a time, since prompts delay the other requests of an engine the most.
func (r *Runner) startItems(capacity Capacity, now time.Time) []Action {
	var out []Action
	maxBytes := maxPromptBytes
	if capacity.OnlineIdle {
		maxBytes = maxIdlePromptBytes
	}
	for r.canStart(now) && r.Running(capacity.Upstream) < capacity.Limit && r.promptBytes(capacity.Upstream) < maxBytes {
		c, it := r.pickItem(capacity, now)
		if it == nil {
			return out
		}
		out = append(out, r.start(capacity, c, it))
	}
	return out
}

// canStart reports whether items may be started: not while draining, with too many
// uncommitted results, or without a recent check of the jobs' states.
func (r *Runner) canStart(now time.Time) bool {
	return !r.draining && r.uncommittedBytes() < maxUncommittedBytes &&
		now.Sub(r.jobsVerifiedAt) < maxMissedChecks*r.checkPeriod
}

// promptBytes returns the size in bytes of the prompts on an upstream that have no
// token yet. Resumed items have no prompt to process.
func (r *Runner) promptBytes(upstream string) int {
	bytes := 0
	for _, run := range r.runs {
		if run.upstream == upstream && !run.gotFirstToken && !run.stopping && run.item.resume == nil {
			bytes += len(run.item.item.Body)
		}
	}
	return bytes
}

// pickItem removes and returns the next item for an upstream with its chunk, or nil. Items
// that were stopped there come first. Otherwise, the choice alternates between the
// chunk with the earliest deadline and a round robin over all chunks, so that a large
// job with an earlier deadline doesn't starve a small one.
func (r *Runner) pickItem(capacity Capacity, now time.Time) (*chunk, *item) {
	candidates := r.candidates(capacity.Model)
	for _, c := range candidates {
		if it := c.takeStopped(capacity.Upstream); it != nil {
			return c, it
		}
	}
	r.turn++
	if r.turn%2 == 0 && len(candidates) > 0 {
		offset := r.turn / 2 % len(candidates)
		candidates = append(candidates[offset:], candidates[:offset]...)
	}
	for _, c := range candidates {
		if it := c.takeNext(capacity.Upstream, now); it != nil {
			return c, it
		}
	}
	return nil, nil
}

// candidates returns the chunks of a model that have waiting items, in the order of
// their deadlines.
func (r *Runner) candidates(model string) []*chunk {
	var out []*chunk
	for _, c := range r.chunks {
		if c.phase == phaseRunning && !c.discarded && c.job.Model == model && len(c.waiting) > 0 {
			out = append(out, c)
		}
	}
	slices.SortStableFunc(out, func(a, b *chunk) int {
		return cmp.Or(a.job.Deadline.Compare(b.job.Deadline), cmp.Compare(a.ref.Job, b.ref.Job),
			cmp.Compare(a.ref.Number, b.ref.Number))
	})
	return out
}

// start records a new run of an item and returns the action that starts it.
func (r *Runner) start(capacity Capacity, c *chunk, it *item) Action {
	r.lastRun++
	c.running++
	r.runs = append(r.runs, &run{id: r.lastRun, chunk: c, item: it, upstream: capacity.Upstream})
	return Start{
		Run: r.lastRun, Job: c.job, Item: it.item, Upstream: capacity.Upstream, Resume: it.resume, Deadline: c.job.Deadline,
	}
}
