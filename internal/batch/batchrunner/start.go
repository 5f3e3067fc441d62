package batchrunner

import (
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/slotwaiter"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
)

// starter starts items in one pass over all that are pending. It searches each target for a
// slot until none is left, not for each of the many items that wait for the same one.
type starter struct {
	runner  *Runner
	now     time.Time
	full    map[slotwaiter.Target]bool
	accepts map[slotwaiter.Target]bool // whether upstreams of a pinned target accept work
}

// startPending starts items until there are no free slots.
func (r *Runner) startPending(now time.Time) {
	table := r.config.Table()
	if table == nil {
		return
	}
	s := &starter{runner: r, now: now, full: map[slotwaiter.Target]bool{}, accepts: map[slotwaiter.Target]bool{}}
	for _, it := range r.pending(now) {
		route, found := table.RouteByName(it.job.stored.Route)
		if found && !it.outOfAttempts(route) {
			s.start(it, route.Service(uint64(it.index)))
		}
	}
	r.waits.Retain(s.full)
}

// start starts an item at a service if there is a free slot for it.
func (s *starter) start(it *item, service string) {
	r, avoid := s.runner, it.avoided(s.now)
	where := it.target(service)
	isFull := s.full[slotwaiter.Target{Service: service}]
	if !isFull && where.Pinned && !s.acceptsWork(where) {
		s.restart(it, where)
		where = it.target(service)
	}
	if s.full[where] {
		return
	}
	work := placer.BatchWork{
		Service: service, Avoid: avoid, Versions: where.Versions(),
		LeaveSubsetAt: r.waits.LeaveSubsetAt(where, s.now),
		LatestStart:   s.now.Add(r.latestStart(it) - r.keeper.Now()),
	}
	if isFull {
		s.recordRefusal(where, work)
		return
	}
	slot, found := r.placer.AcquireBatch(work, s.now)
	switch {
	case found:
		s.recordSlot(where)
		r.startRun(it, slot)
	case len(avoid) == 0:
		s.recordRefusal(where, work)
	}
}

// recordRefusal records that a target has no slot left in this pass, and logs a long wait once,
// with the reasons.
func (s *starter) recordRefusal(where slotwaiter.Target, work placer.BatchWork) {
	s.full[where] = true
	r := s.runner
	waited, becameLong := r.waits.RecordRefusal(where, s.now)
	if !becameLong {
		return
	}
	r.counter.Count("batch_long_waits_total")
	r.logger.Warn("items get no slot", "service", where.Service, "software", where.Version, "for", waited,
		"upstreams", r.placer.BatchObstacles(work, s.now).String())
}

// recordSlot records that an item of a target got a slot.
func (s *starter) recordSlot(where slotwaiter.Target) {
	if waited, wasLong := s.runner.waits.RecordSlot(where, s.now); wasLong {
		s.runner.logger.Info("items get slots again", "service", where.Service, "software", where.Version,
			"after", waited)
	}
}

// target returns where an item may run at a service.
func (it *item) target(service string) slotwaiter.Target {
	if it.progress.LastEvent == "" {
		return slotwaiter.Target{Service: service}
	}
	return slotwaiter.Target{Service: service, Version: it.progress.SoftwareVersion, Pinned: true}
}

// acceptsWork returns whether an upstream of a pinned target accepts work.
func (s *starter) acceptsWork(where slotwaiter.Target) bool {
	accepts, known := s.accepts[where]
	if !known {
		accepts = s.runner.placer.AcceptsVersion(where.Service, where.Version)
		s.accepts[where] = accepts
	}
	return accepts
}

// restart makes an item start again, as no upstream of the version of its output accepts work.
func (s *starter) restart(it *item, where slotwaiter.Target) {
	s.runner.counter.Count("items_restarted_total")
	s.runner.logger.Info("item starts again at another software version", "job", it.job.stored.ID, "item", it.ID,
		"software", where.Version, "bytes", len(it.progress.Output))
	it.progress = batchkeeper.Progress{}
}
