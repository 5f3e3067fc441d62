package batchrunner

import (
	"maps"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
)

// heardEnd is when the end of a job was first and last reported to this VM, or shown by the store.
type heardEnd struct {
	first time.Time
	last  time.Time
}

// ends has the jobs, run here or not, of whose end this VM has heard in the last maxRenewalAge.
// Evidence that is older than that doesn't count anyway.
//
// A report is a hint: it makes all that was known before of the job count for nothing, and what the
// store says to an attempt that began after it counts again.
type ends map[string]heardEnd

// record records that an end was heard, and returns whether it is the first report.
func (e ends) record(id string, now time.Time) (first bool) {
	end, known := e[id]
	if !known {
		end.first = now
	}
	end.last = now
	e[id] = end
	return !known
}

// expire forgets ends that were last heard more than maxRenewalAge ago.
func (e ends) expire(now time.Time) {
	maps.DeleteFunc(e, func(_ string, end heardEnd) bool { return now.Sub(end.last) > maxRenewalAge })
}

// Cancelled stops a job that was cancelled in the store, if this VM runs it or gets it later.
func (r *Runner) Cancelled(id string) {
	r.loop.Post(func(now time.Time) { r.endHeard(id, now) })
}

// endHeard handles a report that a job has ended. A job that the store has shown open since the first
// report isn't discarded by a repetition, but checked again.
func (r *Runner) endHeard(id string, now time.Time) {
	first := r.ends.record(id, now)
	j, running := r.jobs[id]
	if !running {
		if first {
			r.counter.Count("job_ends_of_others_total")
			r.logger.Info("end of a job heard that isn't run here", "job", id, "claimingOrLoading", r.claimingOrLoading[id])
		}
		return
	}
	if !first && j.evidence.holdsSince(r.ends[id].first) {
		j.evidence.endHeardAt = now
		return
	}
	r.discard(id, "cancelled")
}

// discardByRecord discards a job, as its record shows that this VM must not run it. If the job has
// ended, what other processes say of it from now on doesn't count.
func (r *Runner) discardByRecord(j *job, shown batchkeeper.VersionedRecord, reason string) {
	if !shown.Open() {
		r.ends.record(j.stored.ID, time.Now())
	}
	r.discard(j.stored.ID, reason)
}
