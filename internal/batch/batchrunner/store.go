package batchrunner

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/control/stepper"
)

const (
	// storeTimeout bounds a claim or a release, and commitTimeout one attempt to commit or renew a job.
	storeTimeout  = 3 * time.Second
	commitTimeout = 8 * time.Second
	// renewPeriod is the time between two renewals of a job's record, which also store
	// the progress of its items.
	renewPeriod = 1200 * time.Millisecond
)

// callAsync makes a call on another goroutine, with a timeout, and then calls done with
// its error on the loop.
func (r *Runner) callAsync(
	timeout time.Duration, call func(context.Context) error, done func(now time.Time, err error),
) {
	r.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		err := r.guard.Try("store call", func() error { return call(ctx) })
		return func(now time.Time) { done(now, err) }
	})
}

// commit writes new results and failure counts of a job. At most one write of a job is
// in flight at a time.
func (r *Runner) commit(j *job) {
	if j.writing || j.discarded || j.unclaimed || j.releasing || (len(j.outbox) == 0 && !j.dirty) {
		return
	}
	j.writing, j.dirty = true, false
	seen, results := j.stored, slices.Clone(j.outbox)
	tokens, failureCounts := j.tokensLeft(), j.failureCountsByIndex()
	stored := seen
	r.callAsync(commitTimeout, func(ctx context.Context) (err error) {
		stored, err = r.keeper.Commit(ctx, seen, results, tokens, failureCounts)
		return err //nolint:wrapcheck // writeEnded checks the kind
	}, func(now time.Time, err error) { r.writeEnded(j, stored, len(results), now, err) })
}

// writeEnded handles the outcome of a commit or a renewal. sent is the number of results
// that were to be written.
func (r *Runner) writeEnded(j *job, stored batchkeeper.VersionedRecord, sent int, now time.Time, err error) {
	j.writing = false
	id := j.stored.ID
	written := stored.Results - j.stored.Results
	switch {
	case j.discarded: // this VM may run another instance of the job, which the outcome says nothing of
		return
	case j.releasing: // the next owner finds out what was written
		return
	case errors.Is(err, batchkeeper.ErrOwnershipLost):
		r.discardByRecord(j, stored, err.Error())
		return
	case err != nil:
		j.dirty = true
		r.logger.Warn("job not written", "job", id, "results", sent, "error", err)
		return
	case written < 0 || written > len(j.outbox): // never drop a result that may not be stored
		r.counter.Count("jobs_inconsistent_total")
		r.logger.Error("record doesn't match the job's results, loading it again", "job", id, "record", stored.Version,
			"written", written, "uncommitted", len(j.outbox))
		r.discard(id, "inconsistent")
		return
	}
	r.learn(j, stored.AsOf, now)
	j.renewDue = renewDueAfter(stored, now)
	j.outbox = j.outbox[written:]
	stored.Team = cmp.Or(stored.Team, j.stored.Team) // the load may have found it since the write began
	j.stored = stored
	if written == 0 && sent == 0 {
		return
	}
	r.logger.Info("results committed", "job", id, "results", written, "of", stored.Items, "listed", stored.Results,
		"record", stored.Version)
	if stored.Results == stored.Items {
		r.remove(j)
	}
}

// renewDueAfter returns when a record that was written is renewed next: renewPeriod after the attempt
// began, but not at once if the store is slow.
func renewDueAfter(stored batchkeeper.VersionedRecord, now time.Time) time.Time {
	due, earliest := stored.AsOf.Add(renewPeriod), now.Add(renewPeriod/2)
	if due.Before(earliest) {
		return earliest
	}
	return due
}

// renew renews a job's record, which shows other VMs that its owner is alive. It also
// stores a checkpoint of the items, so that less is lost with this VM.
func (r *Runner) renew(j *job, now time.Time) {
	if j.writing || j.discarded || j.unclaimed || r.draining || now.Before(j.renewDue) {
		return
	}
	j.writing, j.dirty = true, false
	j.renewDue = now.Add(renewPeriod)
	seen, progress, tokens, failureCounts := j.stored, j.checkpoint(), j.tokensLeft(), j.failureCountsByIndex()
	stored := seen
	r.callAsync(commitTimeout, func(ctx context.Context) (err error) {
		stored, err = r.keeper.Renew(ctx, seen, tokens, failureCounts, progress)
		return err //nolint:wrapcheck // writeEnded checks the kind
	}, func(now time.Time, err error) {
		r.counter.Count("renewals_total")
		r.writeEnded(j, stored, 0, now, err)
	})
}

// Release cancels all items and hands over or releases all jobs with the progress of
// their items, so that other VMs resume them. It returns when this is done or the
// context ends.
func (r *Runner) Release(ctx context.Context) {
	r.loop.Post(func(time.Time) {
		r.draining = true
		for _, it := range r.running {
			it.cancel()
		}
	})
	select {
	case <-r.drained:
	case <-ctx.Done():
		r.logger.Warn("jobs not released in time", "error", ctx.Err())
	}
}

// drainIfIdle hands over the jobs of a draining runner once no item runs. It doesn't wait
// for a write in flight, which would take as long as an outage of the store does. A job
// that no other VM takes over is released in the store once no write of it is in flight; schedule
// commits its results first, unless this VM hasn't claimed the job yet.
func (r *Runner) drainIfIdle(now time.Time) {
	if len(r.running) > 0 {
		return
	}
	for _, j := range r.jobs {
		switch {
		case j.releasing:
		case !j.handoverFailed && !j.isLoading():
			r.handOver(j, now)
		case !j.writing:
			r.release(j)
		}
	}
	if len(r.jobs) > 0 {
		return
	}
	select {
	case <-r.drained:
	default:
		close(r.drained)
	}
}

// release releases one job in the store, with the progress of its items.
func (r *Runner) release(j *job) {
	j.releasing = true
	j.endLoad()
	progress := map[int]batchkeeper.Progress{}
	for _, it := range j.items {
		if it.state == statePending && it.progress.LastEvent != "" {
			progress[it.index] = it.progress
		}
	}
	seen := j.stored
	r.callAsync(storeTimeout, func(ctx context.Context) error {
		_, err := r.keeper.Release(ctx, seen, progress)
		return err //nolint:wrapcheck // logged as it is
	}, func(_ time.Time, err error) {
		r.remove(j)
		r.logger.Info("job released", "job", seen.ID, "progress", len(progress), "error", errorText(err))
	})
}
