// Package healthtracker keeps what is known of an upstream's health: whether it
// fails, by this VM's own word and by that of others, and whether it leaves. It has
// no network and no clock of its own.
package healthtracker

import "time"

const (
	// blockBase doubles with each failure in a row, up to maxBlock.
	blockBase = 100 * time.Millisecond
	maxBlock  = 2 * time.Second
	// maxDoublings bounds the failures in a row that are counted.
	maxDoublings = 5
	// maxHeardBlock bounds a block that was heard of: the first VM that tries the
	// upstream again in vain tells all others.
	maxHeardBlock = time.Second
	// blockSpread is the part of a block that is drawn on top of it where it was
	// heard of, so that not all VMs try the upstream again at the same moment.
	blockSpread = 0.5
	// doubtTime is how long the word of other VMs that an upstream fails counts
	// nothing after it has answered in spite of their word.
	doubtTime = 6 * time.Second
	// sameBlock is how far apart two words of one block may seem to end, as
	// messages take their time.
	sameBlock = 50 * time.Millisecond
)

// Failure is what a VM tells others of an upstream that fails.
type Failure struct {
	_                   struct{} `cbor:",toarray"`
	ConsecutiveFailures int
	Remaining           time.Duration // until the VM tries the upstream again
}

// FailureTracker is what is known of an upstream's failures.
type FailureTracker struct {
	inARow       int
	failedAt     time.Time // when this VM last noted one
	ownUntil     time.Time // no work until then, by this VM's failures
	heardAt      time.Time // when this VM last believed the word of others
	toldUntil    time.Time // no work until then, as they told it
	until        time.Time // no work until then, unless there is no other upstream
	doubtedUntil time.Time // the word of others counts nothing until then
}

// RecordFailure counts a failure of a request that was sent at some time, and returns
// whether it does count. Requests that were under way when the last failure was
// noted failed for the same cause: an upstream whose connections are all reset
// has failed once.
func (f *FailureTracker) RecordFailure(sent, now time.Time) (counted bool) {
	if sent.Before(f.failedAt) {
		return false
	}
	f.failedAt = now
	f.ownUntil = now.Add(min(blockBase<<min(f.inARow, maxDoublings), maxBlock))
	f.until = later(f.until, f.ownUntil)
	f.inARow++
	return true
}

// Failure returns what others are told.
func (f *FailureTracker) Failure(now time.Time) Failure {
	return Failure{ConsecutiveFailures: f.inARow, Remaining: f.ownUntil.Sub(now)}
}

// RecordAnswer notes that the upstream has answered a request that was sent at some
// time.
func (f *FailureTracker) RecordAnswer(sent, now time.Time) {
	if sent.Before(f.failedAt) || sent.Before(f.heardAt) {
		return // it says nothing of the time after the failure
	}
	if f.inARow > 0 && !f.heardAt.IsZero() {
		f.doubtedUntil = now.Add(doubtTime)
	}
	f.inARow, f.heardAt, f.ownUntil, f.until = 0, time.Time{}, time.Time{}, time.Time{}
}

// ReceiveFailure takes in the word of another VM, and returns whether it changes anything.
// A random part of the block, below one, is added to it.
func (f *FailureTracker) ReceiveFailure(told Failure, part float64, now time.Time) bool {
	remaining := min(told.Remaining, maxHeardBlock)
	until := now.Add(remaining)
	if now.Before(f.doubtedUntil) || until.Before(f.toldUntil.Add(sameBlock)) {
		return false
	}
	f.heardAt, f.toldUntil = now, until
	f.until = later(f.until, until.Add(time.Duration(part*blockSpread*float64(remaining))))
	f.inARow = max(f.inARow, min(told.ConsecutiveFailures, maxDoublings))
	return true
}

// ShouldAvoid tells whether other upstreams are preferred at a moment.
func (f *FailureTracker) ShouldAvoid(now time.Time) bool { return now.Before(f.until) }

// FailsLocally tells whether the upstream fails this VM itself, at a moment.
func (f *FailureTracker) FailsLocally(now time.Time) bool { return now.Before(f.ownUntil) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
