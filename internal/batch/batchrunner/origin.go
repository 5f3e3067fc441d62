package batchrunner

import (
	"log/slog"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
)

// origin is how this VM got a job.
type origin struct {
	way  string            // one of the ways below
	from batchkeeper.Owner // the previous owner of a job that was claimed or handed over
}

// Ways in which a VM gets a job, for logs.
const (
	wayAccepted   = "accepted"   // this process has accepted it
	wayLoaded     = "loaded"     // it was loaded after a claim
	wayHandedOver = "handedOver" // another VM has sent it
)

// runStart is what this VM knew when it started a run of an item. It is logged with the outcome.
type runStart struct {
	at         time.Time
	record     uint64        // version of the job's record
	recordAge  time.Duration // time since the record was known to be open and this VM's
	unclaimed  bool          // this VM doesn't own the job in the store yet
	silence    bool          // the store didn't answer this VM
	afterEvent string        // the event after which the run resumes; empty for the first one
}

// newRunStart returns what this VM knows as it starts a run of an item.
func (r *Runner) newRunStart(it *item, now time.Time) runStart {
	return runStart{
		at: now, record: it.job.stored.Version, recordAge: it.job.evidence.Age(now), unclaimed: it.job.unclaimed,
		silence:    r.silenceOf(it.job).Holds(now),
		afterEvent: it.progress.LastEvent,
	}
}

// logAttributes returns where a run came from, for the log line of its outcome.
func (r *Runner) logAttributes(it *item) slog.Attr {
	from, start := it.job.origin, it.runStart
	return slog.Group("from", "vm", r.self.VM, "boot", r.self.Boot, "way", from.way, "sender", from.from.VM,
		"senderBoot", from.from.Boot, "record", start.record, "recordAge", start.recordAge, "unclaimed", start.unclaimed,
		"storeSilent", start.silence, "afterEvent", start.afterEvent, "startedAgo", time.Since(start.at))
}
