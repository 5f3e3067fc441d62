package batchrunner

import (
	"context"
	"errors"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
)

// idleJob is a job that this process owns in the store and doesn't run.
type idleJob struct {
	version uint64            // of its record
	claimed bool              // this process wrote that version to claim the job, and has not run it since
	from    batchkeeper.Owner // the owner before the claim
}

// resume runs a job that this process owns and doesn't run, as a scan has found. If it stays so
// until the next scan, the job is claimed first.
//
// One scan is not enough: the process may have accepted the job just now, or have completed it
// since the store was read. And a claim is necessary because a write of an earlier instance of the job
// may still be under way. Its condition is the version of the record at that time:
//
//	record 7, this process loads the job, an old write makes it record 8
//	    the new instance takes the write for its own, and drops results that aren't stored
//	record 7, this process claims the job: record 8
//	    the old write fails
//	record 7, an old write makes it record 8
//	    the claim fails or finds record 8, and the job is loaded with what was written
func (r *Runner) resume(record batchkeeper.VersionedRecord) {
	known := r.idle[record.ID]
	switch {
	case known.version != record.Version:
		r.idle[record.ID] = idleJob{version: record.Version}
	case known.claimed:
		r.load(record, known.from) // an earlier attempt has failed
	default:
		r.claim(record)
	}
}

// claim takes over an orphaned job, or one that this process owns and doesn't run.
func (r *Runner) claim(record batchkeeper.VersionedRecord) {
	if r.claimingOrLoading[record.ID] {
		return
	}
	r.claimingOrLoading[record.ID] = true
	var stored batchkeeper.VersionedRecord
	r.callAsync(storeTimeout, func(ctx context.Context) (err error) {
		stored, err = r.keeper.Claim(ctx, record)
		return err //nolint:wrapcheck // logged as it is
	}, func(_ time.Time, err error) {
		delete(r.claimingOrLoading, record.ID)
		r.logger.Info("job claimed", "job", record.ID, "from", record.Owner.VM, "record", record.Version,
			"error", errorText(err))
		if err != nil || !stored.Open() {
			return
		}
		if record.Owner != r.self {
			r.counter.Count("jobs_taken_over_total")
		}
		r.idle[record.ID] = idleJob{version: stored.Version, claimed: true, from: record.Owner}
		r.load(stored, record.Owner)
	})
}

// load reads a job that this process has claimed in the store from another owner, and runs it.
func (r *Runner) load(stored batchkeeper.VersionedRecord, from batchkeeper.Owner) {
	if r.claimingOrLoading[stored.ID] {
		return
	}
	r.claimingOrLoading[stored.ID] = true
	var loaded batchkeeper.LoadedJob
	r.callAsync(storeTimeout, func(ctx context.Context) (err error) {
		loaded, err = r.keeper.Load(ctx, stored.Record)
		return err //nolint:wrapcheck // logged as it is
	}, func(_ time.Time, err error) {
		delete(r.claimingOrLoading, stored.ID)
		if err != nil {
			if errors.Is(err, batchkeeper.ErrCorrupt) {
				r.counter.Count("jobs_corrupt_total")
			}
			r.logger.Warn("job not loaded", "job", stored.ID, "error", err)
			return // the next scan tries again
		}
		reservation := r.memory.NewReservation()
		if !reservation.Grow(loaded.Bytes()) {
			r.logger.Warn("job not loaded, no memory for its items", "job", stored.ID, "bytes", loaded.Bytes())
			return
		}
		r.adopt(stored, loaded, reservation, origin{way: wayLoaded, from: from})
	})
}
