package batchrunner

import (
	"maps"
	"time"
)

// ends has the jobs of whose end this VM has heard in the last maxRenewalAge, and when it first has.
// An end is reported several times.
type ends map[string]time.Time

// record records that an end was heard, and returns whether it is the first report.
func (e ends) record(id string, now time.Time) bool {
	if _, known := e[id]; known {
		return false
	}
	e[id] = now
	return true
}

// expire forgets ends that were first heard more than maxRenewalAge ago.
func (e ends) expire(now time.Time) {
	maps.DeleteFunc(e, func(_ string, heard time.Time) bool { return now.Sub(heard) > maxRenewalAge })
}

// Cancelled stops a job that was cancelled in the store, if this VM runs it.
func (r *Runner) Cancelled(id string) {
	r.loop.Post(func(now time.Time) { r.endHeard(id, now) })
}

// endHeard handles a report that a job has ended.
func (r *Runner) endHeard(id string, now time.Time) {
	first := r.ends.record(id, now)
	if _, running := r.jobs[id]; !running && first {
		r.counter.Count("job_ends_of_others_total")
		r.logger.Info("end of a job heard that isn't run here", "job", id, "claimingOrLoading", r.claimingOrLoading[id])
	}
	r.discard(id, "cancelled")
}
