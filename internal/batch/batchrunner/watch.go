package batchrunner

import (
	"context"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/orphanwatcher"
)

// partScan is the looks at one part of the jobs.
type partScan struct {
	underWay bool
	due      time.Time
}

// scan looks at the parts that are this VM's to watch.
func (r *Runner) scan(now time.Time) {
	var vms []string
	for part := range r.scans {
		s := &r.scans[part]
		if s.underWay || now.Before(s.due) {
			continue
		}
		if vms == nil {
			vms = r.members.Successors(now)
		}
		s.due = now.Add(orphanwatcher.ScanPeriod)
		if slices.Contains(orphanwatcher.WatchersOf(part, vms), r.self.VM) {
			r.scanPart(part)
		}
	}
}

func (r *Runner) scanPart(part int) {
	r.scans[part].underWay = true
	var records []batchkeeper.VersionedRecord
	r.within(storeTime, func(ctx context.Context) (err error) {
		records, err = r.keeper.ScanPart(ctx, part)
		return err //nolint:wrapcheck // logged as it is
	}, func(now time.Time, err error) {
		r.scans[part].underWay = false
		if err != nil {
			r.logger.Debug("jobs not read", "part", part, "error", err) // the watchers log a lost store
			return
		}
		r.orphans.Read(part, now)
		vms := r.members.Successors(now)
		for _, record := range records {
			r.look(record, vms, now)
		}
	})
}

// look compares a record with what this VM runs. The VMs are those that may take
// jobs over.
func (r *Runner) look(record batchkeeper.VersionedRecord, vms []string, now time.Time) {
	j, mine := r.jobs[record.ID]
	if mine && record.Version <= j.stored.Version {
		return // as this VM knows it, or older
	}
	switch {
	case !record.Open():
		r.drop(record.ID, "ended")
		r.orphans.Forget(record.ID)
	case record.Owner == r.self && !mine:
		r.load(record)
	case record.Owner == r.self:
		// A commit whose answer is still to come.
	case mine && j.unclaimed:
		// Its claim finds out whose the job is.
	case mine:
		r.drop(record.ID, "run by "+record.Owner.VM)
	case r.isOrphan(record, vms, now):
		r.claim(record)
	}
}

// isOrphan tells whether it is this VM's turn to take a job over.
func (r *Runner) isOrphan(record batchkeeper.VersionedRecord, vms []string, now time.Time) bool {
	owner := record.Owner
	ended := owner == (batchkeeper.Owner{}) || r.members.Replaced(owner.VM, owner.Boot, record.Version)
	return r.orphans.IsOrphan(record, ended, vms, now)
}
