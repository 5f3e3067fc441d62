package jobrunner

import (
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
)

// requestChunks requests chunks for each model with a shortage.
func (r *Runner) requestChunks(now time.Time) []Action {
	if r.draining {
		return nil
	}
	var out []Action
	for _, model := range r.models() {
		limit := min(r.chunkShortage(model), maxChunks-len(r.chunks))
		switch {
		case limit > 0 && !now.Before(r.nextRequestAt[model]):
			r.nextRequestAt[model] = now.Add(requestPeriod)
			out = append(out, RequestChunks{Model: model, Limit: limit})
		case limit <= 0 && len(r.chunks) < maxChunks && !now.Before(r.nextOrphanRequestAt[model]):
			// A VM without a shortage still takes over the chunks of lost VMs.
			r.nextOrphanRequestAt[model] = now.Add(orphanPeriod)
			out = append(out, RequestChunks{Model: model, Limit: 1, OrphansOnly: true})
		}
	}
	return out
}

// models returns the models of the owned upstreams.
func (r *Runner) models() []string {
	var models []string
	for _, capacity := range r.capacities {
		if !slices.Contains(models, capacity.Model) {
			models = append(models, capacity.Model)
		}
	}
	return models
}

// chunkShortage returns how many more chunks of a model to request. It is none if no
// item may run on the model's upstreams, or while a chunk of any model is being
// claimed or loaded, and two if the waiting items are
// fewer than twice the limit. Otherwise it is what is missing of two owned chunks, so
// that a large job doesn't delay small ones.
func (r *Runner) chunkShortage(model string) int {
	const spareChunks = 2
	limit := 0
	for _, capacity := range r.capacities {
		if capacity.Model == model {
			limit += capacity.Limit
		}
	}
	if limit == 0 {
		return 0
	}
	owned := 0
	waiting := 0
	for _, c := range r.chunks {
		if c.phase != phaseRunning {
			return 0
		}
		if c.job.Model == model && !c.discarded {
			owned++
			waiting += len(c.waiting)
		}
	}
	if waiting < 2*limit {
		return spareChunks
	}
	if owned < spareChunks {
		return spareChunks - owned
	}
	return 0
}

// Offer is a chunk that this process may claim from its previous owner.
type Offer struct {
	Ref      jobkeeper.ChunkRef
	Previous jobkeeper.Owner
}

// Offered handles an offer of chunks, and claims them up to maxChunks.
func (r *Runner) Offered(offers []Offer, now time.Time) []Action {
	var out []Action
	for _, offer := range offers {
		if r.draining || len(r.chunks) >= maxChunks || r.find(offer.Ref) != nil {
			continue
		}
		r.chunks = append(r.chunks, newChunk(offer.Ref, now))
		out = append(out, Claim(offer))
	}
	return out
}

// Claimed handles the outcome of a Claim. What it has read counts from the beginning of the claim, as
// that of a check does.
func (r *Runner) Claimed(
	ref jobkeeper.ChunkRef, claim jobkeeper.Claim, job jobkeeper.JobRow, err error,
) []Action {
	c := r.find(ref)
	if c == nil {
		return nil
	}
	if err != nil || c.discarded {
		r.remove(c)
		return nil
	}
	if len(r.chunks) == 1 { // no checks were made without chunks, and the claim has read the job's state
		r.verified(c.claimBegan)
	}
	c.claim, c.job, c.phase = claim, job, phaseLoading
	return []Action{Load{Claim: claim}}
}

// Loaded handles the outcome of a Load.
func (r *Runner) Loaded(ref jobkeeper.ChunkRef, items []jobkeeper.Item, err error, now time.Time) []Action {
	c := r.find(ref)
	if c == nil {
		return nil
	}
	if err != nil || c.discarded {
		r.remove(c)
		return []Action{Release{Claim: c.claim}}
	}
	c.phase = phaseRunning
	for _, it := range items {
		c.waiting = append(c.waiting, &item{item: it})
	}
	return append(r.schedule(now), r.commitAndRelease(now)...)
}
