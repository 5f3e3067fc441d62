// Package healthtracker tracks the health of upstreams: whether they fail, as observed
// by this VM or reported by peer VMs, and whether they are draining. It performs no
// I/O and has no clock of its own.
package healthtracker

import (
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
)

const (
	// baseBackoff doubles with each consecutive failure, up to maxBackoff.
	baseBackoff = 100 * time.Millisecond
	maxBackoff  = 2 * time.Second
	// maxReportedFailures bounds the consecutive failures that are taken over from a report.
	maxReportedFailures = 5
	// maxReportedBackoff bounds a backoff reported by a peer VM: the first VM whose
	// next attempt fails reports that to all others.
	maxReportedBackoff = time.Second
	// backoffJitter is the share of a reported backoff up to which a random time is
	// added, so that not all VMs try the upstream again at the same time.
	backoffJitter = 0.5
	// distrustTime is how long reports of failures are ignored after the upstream has
	// answered this VM despite a report.
	distrustTime = 6 * time.Second
	// sameBackoffTolerance is the difference up to which two reported ends count as the
	// same backoff, to allow for message delays.
	sameBackoffTolerance = 50 * time.Millisecond
)

// Failure is the report of a failing upstream to peer VMs.
type Failure struct {
	_                   struct{} `cbor:",toarray"`
	ConsecutiveFailures int
	Remaining           time.Duration // until the VM tries the upstream again
}

// FailureTracker tracks the failures of one upstream. It is not safe for concurrent use.
type FailureTracker struct {
	consecutive   int
	failedAt      time.Time // when this VM last recorded a failure
	localUntil    time.Time // end of the backoff for this VM's failures
	reportedAt    time.Time // when this VM last accepted a report
	reportedUntil time.Time // end of the last reported backoff, without jitter
	until         time.Time // end of the backoff, in which other upstreams are preferred
	distrustUntil time.Time // end of the time in which reports are ignored
	heardUntil    time.Time // end of the last backoff that any peer VM has reported
}

// RecordFailure records the failure of a request that was sent at the given time, and
// reports whether it counts. Requests that were in flight at the last recorded failure
// have the same cause: an upstream whose connections are all reset has failed once.
func (f *FailureTracker) RecordFailure(sentAt, now time.Time) (counts bool) {
	if sentAt.Before(f.failedAt) {
		return false
	}
	f.failedAt = now
	f.localUntil = now.Add(sleeper.Backoff{Initial: baseBackoff, Max: maxBackoff}.Delay(f.consecutive))
	f.until = later(f.until, f.localUntil)
	f.consecutive++
	return true
}

// Failure returns the report for peer VMs.
func (f *FailureTracker) Failure(now time.Time) Failure {
	return Failure{ConsecutiveFailures: f.consecutive, Remaining: f.localUntil.Sub(now)}
}

// RecordAnswer records an answer to a request that was sent at the given time. It ends
// the backoff unless the request predates the last failure or report. If the backoff was
// due to a report, further reports are ignored for distrustTime.
func (f *FailureTracker) RecordAnswer(sentAt, now time.Time) {
	if sentAt.Before(f.failedAt) || sentAt.Before(f.reportedAt) {
		return
	}
	if f.consecutive > 0 && !f.reportedAt.IsZero() {
		f.distrustUntil = now.Add(distrustTime)
	}
	f.consecutive, f.reportedAt, f.localUntil, f.until = 0, time.Time{}, time.Time{}, time.Time{}
}

// RecordReport returns whether the report of a peer VM tells of a failure that no earlier report
// has told of. It doesn't matter whether ReceiveFailure accepts the report.
func (f *FailureTracker) RecordReport(reported Failure, now time.Time) (isNew bool) {
	until := now.Add(reported.Remaining)
	if until.Before(f.heardUntil.Add(sameBackoffTolerance)) {
		return false
	}
	f.heardUntil = until
	return true
}

// ReceiveFailure records the report of a peer VM, and reports whether it was accepted
// and new. The jitter, in [0, 1), scales the random time added to the backoff.
func (f *FailureTracker) ReceiveFailure(reported Failure, jitter float64, now time.Time) bool {
	remaining := min(reported.Remaining, maxReportedBackoff)
	until := now.Add(remaining)
	if now.Before(f.distrustUntil) || until.Before(f.reportedUntil.Add(sameBackoffTolerance)) {
		return false
	}
	f.reportedAt, f.reportedUntil = now, until
	f.until = later(f.until, until.Add(time.Duration(jitter*backoffJitter*float64(remaining))))
	f.consecutive = max(f.consecutive, min(reported.ConsecutiveFailures, maxReportedFailures))
	return true
}

// ShouldAvoid reports whether other upstreams are preferred at the given time.
func (f *FailureTracker) ShouldAvoid(now time.Time) bool { return now.Before(f.until) }

// FailsLocally reports whether this VM's own failures cause a backoff at the given
// time.
func (f *FailureTracker) FailsLocally(now time.Time) bool { return now.Before(f.localUntil) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
