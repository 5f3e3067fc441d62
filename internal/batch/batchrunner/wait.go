package batchrunner

import (
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
)

const (
	// longWait is how long the items of a target wait without a single slot until it is
	// logged.
	longWait = 5 * time.Second
	// subsetWait is how long they wait until they may leave the VM's subset of a large
	// fleet.
	subsetWait = 4 * time.Second
)

// wait is the time in which items of a target have waited and none of them got a slot.
type wait struct {
	since  time.Time
	logged bool
}

// waits has the targets whose items get no slots at present.
type waits map[target]*wait

// begin records that an item of a target got no slot, and returns the wait.
func (w waits) begin(where target, now time.Time) *wait {
	if w[where] == nil {
		w[where] = &wait{since: now}
	}
	return w[where]
}

// leaveSubsetAt returns when the items of a target may leave the VM's subset.
func (w waits) leaveSubsetAt(where target, now time.Time) time.Time {
	if current, found := w[where]; found {
		return current.since.Add(subsetWait)
	}
	return now.Add(subsetWait)
}

// retain removes the waits of targets without waiting items.
func (w waits) retain(refused map[target]bool) {
	for where := range w {
		if !refused[where] {
			delete(w, where)
		}
	}
}

// recordRefusal records that a target has no slot left in this pass, and logs a long wait once,
// with the reasons.
func (s *starter) recordRefusal(where target, work placer.BatchWork) {
	s.full[where] = true
	r, current := s.runner, s.runner.waits.begin(where, s.now)
	waited := s.now.Sub(current.since)
	if current.logged || waited < longWait {
		return
	}
	current.logged = true
	r.counter.Count("batch_long_waits_total")
	r.logger.Warn("items get no slot", "service", where.service, "software", where.version, "for", waited,
		"upstreams", r.placer.BatchObstacles(work, s.now).String())
}

// recordSlot records that an item of a target got a slot.
func (s *starter) recordSlot(where target) {
	current, found := s.runner.waits[where]
	if !found {
		return
	}
	delete(s.runner.waits, where)
	if current.logged {
		s.runner.logger.Info("items get slots again", "service", where.service, "software", where.version,
			"after", s.now.Sub(current.since))
	}
}
