package batchrunner

import (
	"context"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/loadscheduler"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

// idleJob is a job that this process owns in the store and doesn't run.
type idleJob struct {
	version uint64            // of its record
	claimed bool              // this process wrote that version, has not run the job since, and writes nothing more
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
		r.loads.Withdraw(record.ID)
	case known.claimed: // an earlier attempt to load it has failed
		r.loads.Offer(loadscheduler.NewClaimed(record, known.from))
	default:
		r.loads.Offer(loadscheduler.NewCandidate(record))
	}
}

// startLoads claims and loads jobs that this VM doesn't run yet, as many as its link and its memory allow.
func (r *Runner) startLoads() {
	for {
		reservation := r.memory.NewReservation()
		candidate, found := r.loads.Next(r.keeper.Now(), reservation.Grow)
		switch {
		case !found:
			return
		case candidate.Claimed():
			r.load(candidate.Record(), candidate.From(), reservation)
		default:
			r.claim(candidate.Record(), reservation)
		}
	}
}

// claim takes over an orphaned job, or one that this process owns and doesn't run. The reservation is the memory for
// its content.
func (r *Runner) claim(record batchkeeper.VersionedRecord, reservation *rationer.Reservation) {
	var stored batchkeeper.VersionedRecord
	r.callAsync(storeTimeout, func(ctx context.Context) (err error) {
		stored, err = r.keeper.Claim(ctx, record)
		return err //nolint:wrapcheck // logged as it is
	}, func(_ time.Time, err error) {
		r.logger.Info("job claimed", "job", record.ID, "from", record.Owner.VM, "record", record.Version,
			"waiting", r.loads.Waiting(), "error", errorText(err))
		if err != nil || !stored.Open() {
			r.loads.End(record.ID)
			reservation.Release()
			return
		}
		if record.Owner != r.self {
			r.counter.Count("jobs_taken_over_total")
		}
		r.load(stored, record.Owner, reservation)
	})
}
