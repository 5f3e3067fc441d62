// Package startjudge decides whether items of a batch job may start on what this VM knows of the job.
//
// An Evidence is what it knows of one job, a Silence whether a part of the store answers it, and Ends has the
// jobs whose end it has heard. They aren't safe for concurrent use, and have no clock of their own.
package startjudge

import (
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/watchassigner"
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
// attempt after T: at T + checkAge + CheckTimeout and a tick of the runner = 2.1 s at the latest.
const (
	// maxRenewalAge is how long items of a job are still started after its record was last
	// known to be open, while the store doesn't answer: a cancel could have been missed since.
	maxRenewalAge = 10 * time.Second
	// maxEvidenceAge is how long items start on evidence. It is renewed with each write, every
	// renewPeriod at least.
	maxEvidenceAge = 2 * time.Second
	// checkAge is the age of evidence at which the record is read beside whatever write is in
	// flight: a renewal period, a tick and the usual time of a write, so that a check is needed
	// only if a write takes unusually long.
	checkAge = 1500 * time.Millisecond
	// CheckTimeout bounds a check, and checkPause is the time until the next one.
	CheckTimeout = 500 * time.Millisecond
	checkPause   = 300 * time.Millisecond
	// maxSilenceAge is how long a check that ended without an answer shows that the store doesn't
	// answer this VM, counted from the start of the check: two checks, a pause and a tick, and a
	// margin. In a process that stood still, a check that began before shows nothing.
	maxSilenceAge = 1800 * time.Millisecond
	// wordSilence is how long a part must have answered nothing until the word of another process counts:
	// the time between two scans, and that of a slow answer. The VMs to which jobs are handed over scan their
	// parts.
	wordSilence = watchassigner.ScanPeriod + 400*time.Millisecond
)

// Evidence is what this VM knows of whether a job is open and may be run here.
//
// Items start on what this process has learned from the store in the last maxEvidenceAge. Older
// evidence, and the word of the process that has handed a job over, count only while the store
// doesn't answer this VM, and for maxRenewalAge at most.
type Evidence struct {
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

// FromStore returns the evidence of a job that an attempt that began at asOf has shown to be open and nobody
// else's. The end of the job was last heard at endHeardAt, or never if that is zero.
func FromStore(asOf, endHeardAt time.Time) Evidence {
	return Evidence{asOf: asOf, own: true, endHeardAt: endHeardAt}
}

// FromSender does the same for a job that another process has handed over, by the word of that process.
func FromSender(asOf, endHeardAt time.Time) Evidence {
	return Evidence{asOf: asOf, endHeardAt: endHeardAt}
}

// Age returns the age of the evidence.
func (e *Evidence) Age(now time.Time) time.Duration { return now.Sub(e.asOf) }

// HearEnd records a report that the job has ended.
func (e *Evidence) HearEnd(now time.Time) { e.endHeardAt = now }

// Learn records that an answer of the store has shown that the job is open and nobody else's.
func (e *Evidence) Learn(asOf time.Time) {
	if !e.own || asOf.After(e.asOf) {
		e.asOf = asOf
	}
	e.own = true
}

// AllowsStart returns whether items of the job may start.
func (e *Evidence) AllowsStart(s *Silence, now time.Time) bool {
	age := now.Sub(e.asOf)
	if age > maxRenewalAge || e.isContradicted() {
		return false
	}
	if e.own {
		return age <= maxEvidenceAge || s.Holds(now)
	}
	return s.Holds(now) && now.Sub(s.answeredAt) >= wordSilence
}

// HoldsSince returns whether this process has learned from the store, by an attempt that began at a time
// or later, that the job is open.
func (e *Evidence) HoldsSince(t time.Time) bool { return e.own && !e.asOf.Before(t) }

// isContradicted returns whether the end of the job was reported since this process has last learned that it
// is open.
func (e *Evidence) isContradicted() bool {
	return !e.endHeardAt.IsZero() && !e.HoldsSince(e.endHeardAt)
}

// NeedsCheck returns whether the job's record should be read now.
func (e *Evidence) NeedsCheck(now time.Time) bool {
	isDue := !e.HoldsSince(e.endHeardAt) || now.Sub(e.asOf) >= checkAge
	return isDue && !e.checking && !now.Before(e.checkDue)
}

// BeginCheck records that the job's record is read beside its writes.
func (e *Evidence) BeginCheck() { e.checking = true }

// EndCheck records the end of that read.
func (e *Evidence) EndCheck(now time.Time) { e.checking, e.checkDue = false, now.Add(checkPause) }

// AgeToTell returns the age of the evidence for the VM that takes the job over. If this process knows that
// it doesn't count, as it is old while the store answers, or as the end of the job was heard, the age is such that
// it doesn't count there either, in earlier releases too.
func (e *Evidence) AgeToTell(s *Silence, now time.Time) time.Duration {
	age := now.Sub(e.asOf)
	if e.isContradicted() || (e.own && !e.AllowsStart(s, now)) {
		return age + maxRenewalAge + time.Nanosecond
	}
	return age
}
