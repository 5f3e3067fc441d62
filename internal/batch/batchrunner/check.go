package batchrunner

import (
	"context"
	"errors"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/startjudge"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// check reads the record of a job if what this VM knows of it doesn't suffice to start items, or
// won't soon.
func (r *Runner) check(j *job, now time.Time) {
	s := r.silenceOf(j)
	if j.discarded || j.releasing || !j.evidence.NeedsCheck(now) || j.hasEnded() || !s.AllowsCheck(now) {
		return
	}
	j.evidence.BeginCheck()
	s.BeginCheck()
	id := j.stored.ID
	var read batchkeeper.VersionedRecord
	r.callAsync(storeTimeout, func(ctx context.Context) (err error) {
		// Canceled, not expired: that a check was too short says nothing of this VM's way to the store.
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer time.AfterFunc(startjudge.CheckTimeout, cancel).Stop()
		read, err = r.keeper.Record(ctx, id)
		return err //nolint:wrapcheck // checked looks at the kind
	}, func(ended time.Time, err error) { r.checked(j, read, now, ended, err) })
}

// checked handles the outcome of a check that has lasted from began to ended.
func (r *Runner) checked(j *job, read batchkeeper.VersionedRecord, began, ended time.Time, err error) {
	s := r.silenceOf(j)
	s.EndCheck()
	j.evidence.EndCheck(ended)
	isSilent := errors.Is(err, batchkeeper.ErrNotRead) && !errors.Is(err, rowstore.ErrRateLimited)
	if isSilent {
		s.RecordNoAnswer(began, ended)
	} else {
		s.RecordAnswer(ended)
	}
	r.counter.Count(`job_checks_total{outcome="` + checkOutcome(err) + `"}`)
	switch {
	case j.discarded || j.releasing:
	case errors.Is(err, batchkeeper.ErrNotFound):
		r.discardByRecord(j, read, err.Error())
	case err != nil: // no answer, or one that says nothing of the job
	default:
		r.compare(j, read, ended)
	}
}

// checkOutcome returns the outcome of a check for metrics.
func checkOutcome(err error) string {
	switch {
	case err == nil:
		return "read"
	case errors.Is(err, batchkeeper.ErrNotFound):
		return "missing"
	case errors.Is(err, batchkeeper.ErrNotRead):
		return "unanswered"
	default:
		return "failed"
	}
}

// compare compares the record that a check has read with the job that this VM runs. A check isn't
// ordered with writes: a record that is older than the known one says nothing.
func (r *Runner) compare(j *job, read batchkeeper.VersionedRecord, now time.Time) {
	stillSenders := read.Owner == j.stored.Owner || read.Owner == batchkeeper.Owner{}
	mayRun := read.Owner == r.self || (j.unclaimed && stillSenders)
	switch {
	case read.Version < j.stored.Version:
	case !read.Open():
		r.discardByRecord(j, read, "ended")
	case mayRun:
		r.learn(j, read.AsOf, now)
	case j.unclaimed: // the claim decides who owns the job
	default:
		r.discard(j.stored.ID, "run by "+read.Owner.VM)
	}
}

// silenceOf returns the silence of the part that holds a job.
func (r *Runner) silenceOf(j *job) *startjudge.Silence {
	return &r.silences[batchkeeper.PartOf(j.stored.ID)]
}

// learn records that an answer of the store has shown that a job is open and nobody else's.
func (r *Runner) learn(j *job, asOf, now time.Time) {
	j.evidence.Learn(asOf)
	r.silenceOf(j).RecordAnswer(now)
}

// hasEnded returns whether no item of a job is left to run.
func (j *job) hasEnded() bool {
	for _, it := range j.items {
		if it.state != stateEnded {
			return false
		}
	}
	return true
}
