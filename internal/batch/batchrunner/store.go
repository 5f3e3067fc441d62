package batchrunner

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/control/stepper"
)

const (
	// storeTime bounds a look at the store, and commitTime the writing of results
	// before it is begun anew.
	storeTime  = 3 * time.Second
	commitTime = 8 * time.Second
	// renewPeriod is the time between two renewals of a job's record, with what
	// there is of its items.
	renewPeriod = 1200 * time.Millisecond
)

// within makes a call of the store off the loop, for at most so long, and then
// takes in its error on the loop.
func (r *Runner) within(
	limit time.Duration, call func(context.Context) error, done func(now time.Time, err error),
) {
	r.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		err := r.guard.Try("store call", func() error { return call(ctx) })
		return func(now time.Time) { done(now, err) }
	})
}

// claim takes a job over.
func (r *Runner) claim(record batchkeeper.VersionedRecord) {
	if r.claiming[record.ID] {
		return
	}
	r.claiming[record.ID] = true
	var stored batchkeeper.VersionedRecord
	r.within(storeTime, func(ctx context.Context) (err error) {
		stored, err = r.keeper.Claim(ctx, record)
		return err //nolint:wrapcheck // logged as it is
	}, func(_ time.Time, err error) {
		delete(r.claiming, record.ID)
		r.logger.Info("job claimed", "job", record.ID, "from", record.Owner.VM, "record", record.Version,
			"error", errorText(err))
		if err == nil {
			r.counter.Count("jobs_taken_over_total")
			r.load(stored)
		}
	})
}

// load reads a job that this process owns and runs it.
func (r *Runner) load(stored batchkeeper.VersionedRecord) {
	if r.claiming[stored.ID] {
		return
	}
	r.claiming[stored.ID] = true
	var loaded batchkeeper.LoadedJob
	r.within(storeTime, func(ctx context.Context) (err error) {
		loaded, err = r.keeper.Load(ctx, stored.ID)
		return err //nolint:wrapcheck // logged as it is
	}, func(_ time.Time, err error) {
		delete(r.claiming, stored.ID)
		if err != nil {
			r.logger.Warn("job not loaded", "job", stored.ID, "error", err)
			return // the next look tries again
		}
		ration := r.memory.NewReservation()
		if !ration.Grow(loaded.Bytes()) {
			r.logger.Warn("job not loaded, no memory for its items", "job", stored.ID, "bytes", loaded.Bytes())
			return
		}
		r.adopt(stored, loaded, ration)
	})
}

// commit writes what a job has to write, one write at a time.
func (r *Runner) commit(j *job) {
	if j.committing || j.dropped || j.unclaimed || j.leaving || (len(j.outbox) == 0 && !j.changed) {
		return
	}
	j.committing, j.changed = true, false
	seen, results := j.stored, slices.Clone(j.outbox)
	tokens, trials := j.tokensLeft(), j.trials()
	stored := seen
	r.within(commitTime, func(ctx context.Context) (err error) {
		stored, err = r.keeper.Commit(ctx, seen, results, tokens, trials)
		return err //nolint:wrapcheck // committed tells the kinds apart
	}, func(now time.Time, err error) { r.committed(j, stored, len(results), now, err) })
}

// committed takes in the outcome of a commit or a renewal.
func (r *Runner) committed(j *job, stored batchkeeper.VersionedRecord, asked int, now time.Time, err error) {
	j.committing = false
	id := j.stored.ID
	switch {
	case j.leaving: // whoever takes the job finds out what was written
		return
	case errors.Is(err, batchkeeper.ErrOwnershipLost):
		r.drop(id, err.Error())
		return
	case err != nil:
		j.changed = true
		r.logger.Warn("job not written", "job", id, "results", asked, "error", err)
		return
	}
	j.renewed = now
	j.renewDue = now.Add(renewPeriod)
	n := stored.Results - j.stored.Results
	j.outbox = j.outbox[n:]
	j.stored = stored
	if n == 0 && asked == 0 {
		return
	}
	r.logger.Info("results committed", "job", id, "results", n, "of", stored.Items, "listed", stored.Results,
		"record", stored.Version)
	if stored.Results == stored.Items {
		r.forget(id)
	}
}

// renew tells other VMs that this one still runs a job, and keeps what there is of
// its items, so that not all is lost with this VM.
func (r *Runner) renew(j *job, now time.Time) {
	if j.committing || j.dropped || j.unclaimed || r.leaving || now.Before(j.renewDue) {
		return
	}
	j.committing, j.changed = true, false
	j.renewDue = now.Add(renewPeriod)
	seen, progress, tokens, trials := j.stored, j.newProgress(), j.tokensLeft(), j.trials()
	stored := seen
	r.within(commitTime, func(ctx context.Context) (err error) {
		stored, err = r.keeper.Renew(ctx, seen, tokens, trials, progress)
		return err //nolint:wrapcheck // committed tells the kinds apart
	}, func(now time.Time, err error) {
		r.counter.Count("renewals_total")
		r.committed(j, stored, 0, now, err)
	})
}

// Release stops all items and gives up all jobs, with what there is of their
// items, so that other VMs go on with them. It returns when that is done or the
// context ends.
func (r *Runner) Release(ctx context.Context) {
	r.loop.Post(func(time.Time) {
		r.leaving = true
		for _, it := range r.running {
			it.cancel()
		}
	})
	select {
	case <-r.idle:
	case <-ctx.Done():
		r.logger.Warn("jobs not released in time", "error", ctx.Err())
	}
}

// closeIfIdle hands over the jobs of a leaving runner once nothing runs. A write that
// is under way is not waited for: in an outage it would last for as long. A job that
// no other VM takes is released once all of it is written.
func (r *Runner) closeIfIdle(now time.Time) {
	if len(r.running) > 0 {
		return
	}
	for _, j := range r.jobs {
		switch {
		case j.leaving:
		case !j.unmoved:
			r.handOver(j, now)
		case !j.committing:
			r.release(j)
		}
	}
	if len(r.jobs) > 0 {
		return
	}
	select {
	case <-r.idle:
	default:
		close(r.idle)
	}
}

// release gives one job up in the store.
func (r *Runner) release(j *job) {
	j.leaving = true
	id := j.stored.ID
	progress := map[int]batchkeeper.Progress{}
	for _, it := range j.items {
		if it.state == statePending && it.progress.LastEvent != "" {
			progress[it.index] = it.progress
		}
	}
	seen := j.stored
	r.within(storeTime, func(ctx context.Context) error {
		_, err := r.keeper.Release(ctx, seen, progress)
		return err //nolint:wrapcheck // logged as it is
	}, func(_ time.Time, err error) {
		r.forget(id)
		r.logger.Info("job released", "job", id, "progress", len(progress), "error", errorText(err))
	})
}
