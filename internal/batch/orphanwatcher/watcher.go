// Package orphanwatcher detects jobs whose owner is lost. It does no I/O and reads no
// clock.
package orphanwatcher

import (
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/watchassigner"
	"github.com/fescuespindle/fescuespindle/internal/control/memberkeeper"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/weigher"
)

const (
	// ownerTimeout is how long a record may stay unchanged before its owner counts as lost:
	// two renewal periods and a margin.
	ownerTimeout = 3400 * time.Millisecond
	// rankDelay is the additional delay for each VM that precedes this one in the
	// takeover order of a job.
	rankDelay = 400 * time.Millisecond
)

// Watcher tracks jobs that this VM doesn't own, in the parts that watchassigner has it scan.
type Watcher struct {
	self         string
	due          [batchkeeper.Parts]time.Time // when each part was to be scanned after its last successful scan
	observations map[string]observation
}

// observation is what this VM knows of one job that has another owner or none.
type observation struct {
	version        uint64
	unchangedSince time.Time // when this version was first seen, moved forward by failed scans
	ownerEndedAt   time.Time // when the owner was first known to have ended, or zero
}

// New returns the watcher of the VM named self, which has seen no jobs.
func New(self string) *Watcher { return &Watcher{self: self, observations: map[string]observation{}} }

// Forget discards what is known of a job.
func (w *Watcher) Forget(id string) { delete(w.observations, id) }

// RecordScan records a scan of a part that has succeeded, and returns when the next one is due: a period after the start of
// this one, but a scan that takes longer is followed by a pause of nearly the same length, so that scans don't fill a link.
// Time in which the part could not be read doesn't count against the owners of its jobs, which may not have reached
// the store either. A scan that takes long because its answer arrives slowly is no such time.
func (w *Watcher) RecordScan(part int, period time.Duration, began, ended time.Time) (next time.Time) {
	due := w.due[part]
	next = latest(began.Add(period), ended.Add(ended.Sub(began)-period))
	w.due[part] = next
	late := began.Sub(due)
	if due.IsZero() || late <= period {
		return next
	}
	for id, o := range w.observations {
		if batchkeeper.PartOf(id) == part {
			o.unchangedSince = o.unchangedSince.Add(late)
			w.observations[id] = o
		}
	}
	return next
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// IsOrphan records the record of a job and reports whether the job has been, at the start of the scan that has
// read it, without a live owner for so long that it is this VM's turn to take it over. ownerEnded
// means that the owner is known to have ended. vms are the VMs that may take jobs over.
func (w *Watcher) IsOrphan(record batchkeeper.VersionedRecord, ownerEnded bool, vms []memberkeeper.Member) bool {
	lostFor := w.observe(record, ownerEnded)
	if !ownerEnded {
		lostFor -= ownerTimeout
	}
	// The first condition spares most calls the rank, which sorts all VMs.
	return lostFor >= 0 && lostFor >= time.Duration(w.rank(record.ID, vms))*rankDelay
}

// observe updates the observation of a job and returns how long its owner has appeared to be
// lost: since it was known to have ended, or else since its last renewal was seen.
func (w *Watcher) observe(record batchkeeper.VersionedRecord, ownerEnded bool) time.Duration {
	o, found := w.observations[record.ID]
	now := record.AsOf // what happened after the start of the scan isn't known
	if !found || o.version != record.Version {
		o = observation{version: record.Version, unchangedSince: now}
	}
	if ownerEnded && o.ownerEndedAt.IsZero() {
		o.ownerEndedAt = now
	}
	w.observations[record.ID] = o
	if ownerEnded {
		return now.Sub(o.ownerEndedAt)
	}
	return now.Sub(o.unchangedSince)
}

// rank returns how many watchers of a job precede this VM in its takeover order. It is
// 0 for a VM that doesn't watch the job.
func (w *Watcher) rank(id string, vms []memberkeeper.Member) int {
	for n, vm := range weigher.Order(id, watchassigner.Watchers(batchkeeper.PartOf(id), vms)) {
		if vm == w.self {
			return n
		}
	}
	return 0
}

// SuccessorsOf returns the other VMs that would take over a job of this VM, in takeover
// order.
func (w *Watcher) SuccessorsOf(id string, vms []memberkeeper.Member) []string {
	return slices.DeleteFunc(weigher.Order(id, watchassigner.Watchers(batchkeeper.PartOf(id), vms)), func(vm string) bool {
		return vm == w.self
	})
}
