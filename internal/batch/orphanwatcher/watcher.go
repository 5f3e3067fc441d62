// Package orphanwatcher tells which jobs have lost their owners. It has no network
// and no clock of its own.
package orphanwatcher

import (
	"slices"
	"strconv"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/weigher"
)

const (
	// ScanPeriod is the time between two looks at the records of one part.
	ScanPeriod = time.Second
	// lapse is how long a record may stay as it is before its owner is taken to be
	// lost: two renewals and a bit.
	lapse = 3400 * time.Millisecond
	// rankTime is added for each VM that comes first for a job.
	rankTime = 400 * time.Millisecond
	// minWatchers and maxWatchers bound the VMs that look at one part. Between them
	// it is one VM in watcherShare: all of a part's watchers must be lost together
	// before jobs there are left alone.
	minWatchers  = 3
	maxWatchers  = 8
	watcherShare = 4
)

// Watcher is what a VM sees of jobs that others own. Each part of the jobs is
// looked at by a few VMs, chosen by hashing, and not by all: what all looks
// together cost must not grow with the square of the fleet.
type Watcher struct {
	self      string
	read      [batchkeeper.Parts]time.Time // the last look that succeeded
	sightings map[string]sighting
}

// sighting is what is known of one job that has another owner, or none.
type sighting struct {
	version uint64
	changed time.Time // when the record was first seen so
	ended   time.Time // when its owner was first known to have ended; zero if it isn't
}

// New returns the watcher of a VM, which has seen nothing.
func New(self string) *Watcher { return &Watcher{self: self, sightings: map[string]sighting{}} }

// Forget forgets a job.
func (w *Watcher) Forget(id string) { delete(w.sightings, id) }

// Read takes in that a part was read. Time in which it could not be read says
// nothing of the owners: they may not have reached the store either.
func (w *Watcher) Read(part int, now time.Time) {
	last := w.read[part]
	w.read[part] = now
	gap := now.Sub(last)
	if last.IsZero() || gap <= 2*ScanPeriod {
		return
	}
	for id, s := range w.sightings {
		if batchkeeper.PartOf(id) == part {
			s.changed = s.changed.Add(gap - ScanPeriod)
			w.sightings[id] = s
		}
	}
}

// IsOrphan takes in the record of a job and tells whether it has been without a
// living owner for so long that it is this VM's turn to take it over. Its owner
// may be known to have ended. The VMs are those that may take it over.
func (w *Watcher) IsOrphan(record batchkeeper.VersionedRecord, ended bool, vms []string, now time.Time) bool {
	lost := w.see(record, ended, now)
	if !ended {
		lost -= lapse
	}
	// Most owners live, and the rank takes a sort of all VMs.
	return lost >= 0 && lost >= time.Duration(w.rank(record.ID, vms))*rankTime
}

// see takes in a record and returns how long its owner has seemed to be lost:
// since it has surely ended, or since it has last renewed the record.
func (w *Watcher) see(record batchkeeper.VersionedRecord, ended bool, now time.Time) time.Duration {
	s, found := w.sightings[record.ID]
	if !found || s.version != record.Version {
		s = sighting{version: record.Version, changed: now}
	}
	if ended && s.ended.IsZero() {
		s.ended = now
	}
	w.sightings[record.ID] = s
	if ended {
		return now.Sub(s.ended)
	}
	return now.Sub(s.changed)
}

// rank returns how many of those that watch a job come before this VM.
func (w *Watcher) rank(id string, vms []string) int {
	for n, vm := range weigher.Order(id, WatchersOf(batchkeeper.PartOf(id), vms)) {
		if vm == w.self {
			return n
		}
	}
	return 0
}

// SuccessorsOf returns the VMs, other than this one, that would take over a job of this
// VM, in the order in which they would.
func (w *Watcher) SuccessorsOf(id string, vms []string) []string {
	return slices.DeleteFunc(weigher.Order(id, WatchersOf(batchkeeper.PartOf(id), vms)), func(vm string) bool {
		return vm == w.self
	})
}

// WatchersOf returns the VMs that look at a part.
func WatchersOf(part int, vms []string) []string {
	n := min(max(len(vms)/watcherShare, minWatchers), maxWatchers)
	return weigher.Order(strconv.Itoa(part), vms)[:min(n, len(vms))]
}
