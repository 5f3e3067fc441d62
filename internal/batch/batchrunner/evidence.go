package batchrunner

import (
	"context"
	"errors"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/orphanwatcher"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// A VM in touch starts no item later than 3 s after the end of its job was confirmed, at T:
//
//   - on evidence of its own, until T + maxEvidenceAge = 2 s: an attempt that began after T has
//     shown the end;
//   - by the silence of the store, only if a check that began in the last maxSilenceAge was not
//     answered. The store has answered a VM in touch for longer than that. A refusal because of the
//     rate of calls is no silence: it comes from a store that is well;
//   - by the word of another process, only if in addition no call to the part, scans included, was answered
//     in the last wordSilence. So a store that is slow, but answers, isn't taken for a silent one.
//
// The VM discards the job, and cancels runs that still wait for a connection, with the answer of the first
// attempt after T: at T + checkAge + tickPeriod + checkTimeout = 2.1 s at the latest.
const (
	// maxEvidenceAge is how long items start on evidence. It is renewed with each write, every
	// renewPeriod at least.
	maxEvidenceAge = 2 * time.Second
	// checkAge is the age of evidence at which the record is read beside whatever write is in
	// flight: a renewal period, a tick and the usual time of a write, so that a check is needed
	// only if a write takes unusually long.
	checkAge = 1500 * time.Millisecond
	// checkTimeout bounds a check, and checkPause is the time until the next one.
	checkTimeout = 500 * time.Millisecond
	checkPause   = 300 * time.Millisecond
	// maxSilenceAge is how long a check that ended without an answer shows that the store doesn't
	// answer this VM, counted from the start of the check: two checks, a pause and a tick, and a
	// margin. In a process that stood still, a check that began before shows nothing.
	maxSilenceAge = 1800 * time.Millisecond
	// wordSilence is how long a part must have answered nothing until the word of another process counts:
	// the time between two scans, and that of a slow answer. The VMs to which jobs are handed over scan their
	// parts.
	wordSilence = orphanwatcher.ScanPeriod + 400*time.Millisecond
)

// evidence is what this VM knows of whether a job is open and may be run here.
//
// Items start on what this process has learned from the store in the last maxEvidenceAge. Older
// evidence, and the word of the process that has handed a job over, count only while the store
// doesn't answer this VM, and for maxRenewalAge at most.
type evidence struct {
	// asOf is when the newest attempt began whose answer has shown that the job was open and
	// nobody else's; or, by the word of the process that has handed the job over, that process's.
	asOf time.Time
	// own means that the answer was one to this process.
	own bool
	// endHeardAt is when the end of the job was last reported; zero if it wasn't. Only what this
	// process has learned from the store since then counts.
	endHeardAt time.Time
	checking   bool // a check is in flight
	checkDue   time.Time
}

// learn records that an answer of the store has shown that the job is open and nobody else's.
func (e *evidence) learn(asOf time.Time) {
	if !e.own || asOf.After(e.asOf) {
		e.asOf = asOf
	}
	e.own = true
}

// allowsStart returns whether items of the job may start.
func (e *evidence) allowsStart(s *silence, now time.Time) bool {
	age := now.Sub(e.asOf)
	if age > maxRenewalAge || e.isContradicted() {
		return false
	}
	if e.own {
		return age <= maxEvidenceAge || s.holds(now)
	}
	return s.holds(now) && now.Sub(s.answeredAt) >= wordSilence
}

// holdsSince returns whether this process has learned from the store, by an attempt that began at a time
// or later, that the job is open.
func (e *evidence) holdsSince(t time.Time) bool { return e.own && !e.asOf.Before(t) }

// isContradicted returns whether the end of the job was reported since this process has last learned that it
// is open.
func (e *evidence) isContradicted() bool {
	return !e.endHeardAt.IsZero() && !e.holdsSince(e.endHeardAt)
}

// needsCheck returns whether the job's record should be read now.
func (e *evidence) needsCheck(now time.Time) bool {
	isDue := !e.holdsSince(e.endHeardAt) || now.Sub(e.asOf) >= checkAge
	return isDue && !e.checking && !now.Before(e.checkDue)
}

// ageToTell returns the age of the evidence for the VM that takes the job over. If this process knows that
// it doesn't count, as it is old while the store answers, or as the end of the job was heard, the age is such that
// it doesn't count there either, in earlier releases too.
func (e *evidence) ageToTell(s *silence, now time.Time) time.Duration {
	age := now.Sub(e.asOf)
	if e.isContradicted() || (e.own && !e.allowsStart(s, now)) {
		return age + maxRenewalAge + time.Nanosecond
	}
	return age
}

// check reads the record of a job if what this VM knows of it doesn't suffice to start items, or
// won't soon.
func (r *Runner) check(j *job, now time.Time) {
	s := r.silenceOf(j)
	if j.discarded || j.releasing || !j.evidence.needsCheck(now) || j.hasEnded() || !s.allowsCheck(now) {
		return
	}
	j.evidence.checking = true
	s.checks++
	id := j.stored.ID
	var read batchkeeper.VersionedRecord
	r.callAsync(storeTimeout, func(ctx context.Context) (err error) {
		// Canceled, not expired: that a check was too short says nothing of this VM's way to the store.
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer time.AfterFunc(checkTimeout, cancel).Stop()
		read, err = r.keeper.Record(ctx, id)
		return err //nolint:wrapcheck // checked looks at the kind
	}, func(ended time.Time, err error) { r.checked(j, read, now, ended, err) })
}

// checked handles the outcome of a check that has lasted from began to ended.
func (r *Runner) checked(j *job, read batchkeeper.VersionedRecord, began, ended time.Time, err error) {
	s := r.silenceOf(j)
	s.checks--
	j.evidence.checking, j.evidence.checkDue = false, ended.Add(checkPause)
	isSilent := errors.Is(err, batchkeeper.ErrNotRead) && !errors.Is(err, rowstore.ErrRateLimited)
	if isSilent {
		s.recordNoAnswer(began, ended)
	} else {
		s.recordAnswer(ended)
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

// hasEnded returns whether no item of a job is left to run.
func (j *job) hasEnded() bool {
	for _, it := range j.items {
		if it.state != stateEnded {
			return false
		}
	}
	return true
}
