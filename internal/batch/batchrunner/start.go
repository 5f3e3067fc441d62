package batchrunner

import (
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
)

// target is where an item may run: at any upstream of a service, or only at those of the
// software version that has written its output.
type target struct {
	service string
	version string
	pinned  bool // to the version
}

func (t target) versions() []string {
	if !t.pinned {
		return nil
	}
	return []string{t.version}
}

// starter starts items in one pass over all that are pending. It searches each target for a
// slot until none is left, not for each of the many items that wait for the same one.
type starter struct {
	runner  *Runner
	now     time.Time
	full    map[target]bool
	accepts map[target]bool // whether upstreams of a pinned target accept work
}

// startPending starts items until there are no free slots.
func (r *Runner) startPending(now time.Time) {
	table := r.config.Table()
	if table == nil {
		return
	}
	s := &starter{runner: r, now: now, full: map[target]bool{}, accepts: map[target]bool{}}
	for _, it := range r.pending(now) {
		route, found := table.RouteByName(it.job.stored.Route)
		if found && !it.outOfAttempts(route) {
			s.start(it, route.Service(uint64(it.index)))
		}
	}
	r.waits.retain(s.full)
}

// start starts an item at a service if there is a free slot for it.
func (s *starter) start(it *item, service string) {
	r, avoid := s.runner, it.avoided(s.now)
	where := it.target(service)
	isFull := s.full[target{service: service}]
	if !isFull && where.pinned && !s.acceptsWork(where) {
		s.restart(it, where)
		where = it.target(service)
	}
	if s.full[where] {
		return
	}
	work := placer.BatchWork{
		Service: service, Avoid: avoid, Versions: where.versions(),
		LeaveSubsetAt: r.waits.leaveSubsetAt(where, s.now),
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

// target returns where an item may run at a service.
func (it *item) target(service string) target {
	if it.progress.LastEvent == "" {
		return target{service: service}
	}
	return target{service: service, version: it.progress.SoftwareVersion, pinned: true}
}

// acceptsWork returns whether an upstream of a pinned target accepts work.
func (s *starter) acceptsWork(where target) bool {
	accepts, known := s.accepts[where]
	if !known {
		accepts = s.runner.placer.AcceptsVersion(where.service, where.version)
		s.accepts[where] = accepts
	}
	return accepts
}

// restart makes an item start again, as no upstream of the version of its output accepts work.
func (s *starter) restart(it *item, where target) {
	s.runner.counter.Count("items_restarted_total")
	s.runner.logger.Info("item starts again at another software version", "job", it.job.stored.ID, "item", it.ID,
		"software", where.version, "bytes", len(it.progress.Output))
	it.progress = batchkeeper.Progress{}
}
