package batchrunner

import (
	"context"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/loadscheduler"
	"github.com/fescuespindle/fescuespindle/internal/batch/watchassigner"
	"github.com/fescuespindle/fescuespindle/internal/control/memberkeeper"
)

// maxScanTime bounds a scan in all. A scan over a link that is full takes long, and ends much sooner if nothing arrives.
const maxScanTime = 30 * time.Second

// partScan is the state of the scans of one part of the jobs.
type partScan struct {
	inFlight bool
	began    time.Time // the last scan
	due      time.Time // the next one
}

// scan starts a scan of each part that this VM watches and whose scan is due.
func (r *Runner) scan(now time.Time) {
	if !now.Before(r.assignDue) {
		r.assignDue = now.Add(watchassigner.ScanPeriod)
		r.assign(r.members.View(now))
	}
	for part := range r.scans {
		s := &r.scans[part]
		if period, watched := r.assignment.Period(part); watched && !s.inFlight && !now.Before(s.due) {
			s.began, s.due = now, now.Add(period)
			r.scanPart(part, period)
		}
	}
}

// assign determines the parts that this VM watches, and logs if it watches others as VMs have fallen silent.
func (r *Runner) assign(view memberkeeper.View) {
	before := r.assignment
	r.assignment = watchassigner.Assign(r.self.VM, view)
	for part := range r.scans {
		was, _ := before.Period(part)
		if period, _ := r.assignment.Period(part); period < was { // the next scan needn't wait for the old period
			r.scans[part].due = r.scans[part].began.Add(period)
		}
	}
	if extra := r.assignment.Extra(); extra != before.Extra() {
		r.logger.Info("parts watched as VMs are silent", "extra", extra, "parts", r.assignment.Parts(),
			"listed", len(view.Listed()), "heard", len(view.Heard()), "aliveInDomain", view.AliveInDomain())
	}
}

// scanPart reads the records of one part, which is done once in a period, and compares each with what this VM runs.
func (r *Runner) scanPart(part int, period time.Duration) {
	r.scans[part].inFlight = true
	began := time.Now()
	var records []batchkeeper.VersionedRecord
	r.callAsync(maxScanTime, func(ctx context.Context) (err error) {
		records, err = r.keeper.ScanPart(ctx, part)
		return err //nolint:wrapcheck // logged as it is
	}, func(now time.Time, err error) {
		r.scans[part].inFlight = false
		if err != nil {
			r.logger.Debug("jobs not read", "part", part, "error", err) // package watcher logs an outage
			return
		}
		r.silences[part].RecordAnswer(now)
		r.scans[part].due = r.orphans.RecordScan(part, period, began, now)
		vms := r.members.View(now).Heard()
		for _, record := range records {
			r.reconcile(record, vms)
		}
		r.removeEnded(part, records, vms)
	})
}

// removeEnded removes an ended job of a part whose retention is over. Of the VMs that watch the part, the
// first does so.
func (r *Runner) removeEnded(part int, records []batchkeeper.VersionedRecord, vms []memberkeeper.Member) {
	if watchers := watchassigner.Watchers(part, vms); len(watchers) == 0 || watchers[0] != r.self.VM {
		return
	}
	record, found := r.remover.Start(part, records, r.keeper.Now())
	if !found {
		return
	}
	r.callAsync(commitTimeout, func(ctx context.Context) error {
		return r.keeper.Remove(ctx, record)
	}, func(_ time.Time, err error) {
		r.remover.End(part)
		if err != nil {
			r.logger.Info("ended job not removed, trying again later", "job", record.ID, "error", err)
			return
		}
		r.counter.Count("jobs_removed_total")
		r.logger.Debug("ended job removed", "job", record.ID, "record", record.Version)
	})
}

// reconcile compares a record with what this VM runs, and loads, discards or takes over
// the job accordingly. vms are the VMs that may take jobs over.
func (r *Runner) reconcile(record batchkeeper.VersionedRecord, vms []memberkeeper.Member) {
	if record.Owner != r.self || !record.Open() {
		delete(r.idle, record.ID)
		r.loads.Withdraw(record.ID) // unless it is offered again below
	}
	j, running := r.jobs[record.ID]
	if running && record.Version <= j.stored.Version {
		return // not newer than what this VM knows
	}
	switch {
	case !record.Open():
		r.discard(record.ID, "ended")
		r.orphans.Forget(record.ID)
	case record.Owner == r.self && !running:
		r.resume(record)
	case record.Owner == r.self:
		// A write of this process, whose response is still to come.
	case running && j.unclaimed:
		// The pending claim decides who owns the job.
	case running:
		r.discard(record.ID, "run by "+record.Owner.VM)
	case r.isOrphan(record, vms):
		r.loads.Offer(loadscheduler.NewCandidate(record))
	}
}

// isOrphan reports whether it is this VM's turn to take a job over.
func (r *Runner) isOrphan(record batchkeeper.VersionedRecord, vms []memberkeeper.Member) bool {
	owner := record.Owner
	ended := owner == (batchkeeper.Owner{}) || r.members.Replaced(owner.VM, owner.Boot, record.Version)
	return r.orphans.IsOrphan(record, ended, vms)
}
