package batchrunner

import (
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
)

// Cancelled stops a job that was cancelled in the store, if this VM runs it or gets it later.
func (r *Runner) Cancelled(id string) {
	r.loop.Post(func(now time.Time) { r.endHeard(id, now) })
}

// endHeard handles a report that a job has ended. A job that the store has shown open since the first
// report isn't discarded by a repetition, but checked again.
func (r *Runner) endHeard(id string, now time.Time) {
	first := r.ends.Record(id, now)
	j, running := r.jobs[id]
	if !running {
		if first {
			r.counter.Count("job_ends_of_others_total")
			r.logger.Info("end of a job heard that isn't run here", "job", id, "claiming", r.loads.IsLoading(id))
		}
		return
	}
	if !first && j.evidence.HoldsSince(r.ends.FirstHeard(id)) {
		j.evidence.HearEnd(now)
		return
	}
	r.discard(id, "cancelled")
}

// discardByRecord discards a job, as its record shows that this VM must not run it. If the job has
// ended, what other processes say of it from now on doesn't count.
func (r *Runner) discardByRecord(j *job, shown batchkeeper.VersionedRecord, reason string) {
	if !shown.Open() {
		r.ends.Record(j.stored.ID, time.Now())
	}
	r.discard(j.stored.ID, reason)
}
