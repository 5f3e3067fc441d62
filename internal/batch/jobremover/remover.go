// Package jobremover decides when the rows of an ended job are removed from the store. It does no I/O and
// reads no clock.
//
// Every scan of a part reads the records of all its jobs, also of those that have ended. Without
// removal, the cost of scans grows with all jobs that were ever submitted.
package jobremover

import (
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
)

// Remover chooses the jobs to remove. The zero value removes none.
type Remover struct {
	// retention is how long after its retention by the route an ended job stays readable; 0 means
	// that jobs are never removed.
	retention time.Duration
	busy      [batchkeeper.Parts]bool
}

// New returns a Remover of jobs that callers may read for a time after all items had to be done.
func New(retention time.Duration) *Remover { return &Remover{retention: retention} }

// Start returns a job of a part that is to be removed now, by the store's clock. It returns none while
// the removal of another one has not ended, so that removals take few of the store's writes.
func (r *Remover) Start(
	part int, records []batchkeeper.VersionedRecord, now time.Duration,
) (batchkeeper.VersionedRecord, bool) {
	if r.retention <= 0 || r.busy[part] {
		return batchkeeper.VersionedRecord{}, false
	}
	for _, record := range records {
		if !record.Open() && now > max(record.Due, record.Expires)+r.retention {
			r.busy[part] = true
			return record, true
		}
	}
	return batchkeeper.VersionedRecord{}, false
}

// End records that the removal of a job of a part has ended, whether or not it succeeded.
func (r *Remover) End(part int) { r.busy[part] = false }
