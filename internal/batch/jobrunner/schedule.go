package jobrunner

import (
	"cmp"
	"slices"
	"time"
)

// schedule brings the runs on each upstream to its limit.
func (r *Runner) schedule(now time.Time) []Action {
	var out []Action
	for _, room := range r.capacities {
		out = append(out, r.stopExcess(room)...)
		out = append(out, r.startItems(room, now)...)
	}
	return append(out, r.stopOnUnownedUpstreams()...)
}

// stopExcess stops the newest runs over the limit, since they have the least to
// lose. Runs that are being stopped still count as gone.
func (r *Runner) stopExcess(room Capacity) []Action {
	var out []Action
	kept := 0
	for _, run := range r.runs {
		if run.upstream != room.Upstream || run.stopping {
			continue
		}
		kept++
		if kept > room.Limit {
			out = append(out, run.stop()...)
		}
	}
	return out
}

// stopOnUnownedUpstreams stops runs on upstreams that this VM no longer looks after.
func (r *Runner) stopOnUnownedUpstreams() []Action {
	var out []Action
	for _, run := range r.runs {
		known := slices.ContainsFunc(r.capacities, func(room Capacity) bool { return room.Upstream == run.upstream })
		if !known {
			out = append(out, run.stop()...)
		}
	}
	return out
}

// startItems starts items on an upstream up to its limit, but only few bytes of
// prompts at a time: prompts are what slows an engine's other requests the
// most.
func (r *Runner) startItems(room Capacity, now time.Time) []Action {
	var out []Action
	most := maxPromptBytes
	if room.OnlineIdle {
		most = maxIdlePromptBytes
	}
	for r.canStart(now) && r.Running(room.Upstream) < room.Limit && r.pendingPromptBytes(room.Upstream) < most {
		c, it := r.pickItem(room, now)
		if it == nil {
			return out
		}
		out = append(out, r.start(room, c, it))
	}
	return out
}

func (r *Runner) canStart(now time.Time) bool {
	return !r.draining && r.uncommittedBytes() < maxUncommittedBytes && now.Sub(r.jobsVerifiedAt) < maxMissedChecks*r.checkPeriod
}

// pendingPromptBytes returns the size of the prompts on an upstream that have no token
// yet. Resumed items have none to work through.
func (r *Runner) pendingPromptBytes(upstream string) int {
	bytes := 0
	for _, run := range r.runs {
		if run.upstream == upstream && !run.gotFirstToken && !run.stopping && run.item.resume == nil {
			bytes += len(run.item.item.Body)
		}
	}
	return bytes
}

// pickItem returns the next item for an upstream. Items that were stopped there go
// first. Then every other turn goes to the earliest deadline, and the turns in
// between to each job in turn, so that a small job is not kept waiting by a
// large one that is due earlier.
func (r *Runner) pickItem(room Capacity, now time.Time) (*chunk, *item) {
	candidates := r.candidates(room.Model)
	for _, c := range candidates {
		if it := c.takeStopped(room.Upstream); it != nil {
			return c, it
		}
	}
	r.turn++
	if r.turn%2 == 0 && len(candidates) > 0 {
		by := r.turn / 2 % len(candidates)
		candidates = append(candidates[by:], candidates[:by]...)
	}
	for _, c := range candidates {
		if it := c.takeNext(room.Upstream, now); it != nil {
			return c, it
		}
	}
	return nil, nil
}

// candidates returns the model's chunks in the order of their deadlines.
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

func (r *Runner) start(room Capacity, c *chunk, it *item) Action {
	r.lastRun++
	c.running++
	r.runs = append(r.runs, &run{id: r.lastRun, chunk: c, item: it, upstream: room.Upstream})
	return Start{
		Run: r.lastRun, Job: c.job, Item: it.item, Upstream: room.Upstream, Resume: it.resume, Deadline: c.job.Deadline,
	}
}
