package entryvm

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/batchrunner"
	"github.com/fescuespindle/fescuespindle/internal/control/peerteller"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/quarantiner"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

const (
	// maxStrikes bounds the suspected requests in one message to other VMs.
	maxStrikes = 50
	// cancelReportTime is how long the cancellation of a job is reported, and maxCancels
	// bounds the cancellations in one message.
	cancelReportTime = 4 * time.Second
	maxCancels       = 50
)

// sharedState collects what this VM reports to other VMs and applies their reports: the
// requests on upstreams, failing and draining upstreams, suspected requests and cancelled
// jobs.
type sharedState struct {
	placer     *placer.Placer
	quarantine *quarantiner.Quarantine
	runner     *batchrunner.Runner
	logger     *slog.Logger

	mu        sync.Mutex
	cancelled map[string]time.Time // when to stop reporting a cancellation, by job ID
}

var _ peerteller.State = (*sharedState)(nil)

// Report implements peerteller.State.
func (s *sharedState) Report(now time.Time) (placer.Report, peerteller.Notices) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.cancelled, func(_ string, until time.Time) bool { return now.After(until) })
	cancelled := slices.Collect(maps.Keys(s.cancelled))
	notices := peerteller.Notices{
		Strikes:   s.quarantine.Suspects(maxStrikes, now),
		Cancelled: cancelled[:min(len(cancelled), maxCancels)],
		Failing:   s.placer.Failing(now),
		Leaving:   s.placer.Draining(),
	}
	return s.placer.Report(), notices
}

// Summary implements peerteller.State.
func (s *sharedState) Summary() placer.Summary { return s.placer.Summary() }

// Subscribers implements peerteller.State.
func (s *sharedState) Subscribers(upstream string) (vms []string, all bool) {
	return s.placer.Subscribers(upstream)
}

// Receive implements peerteller.State.
func (s *sharedState) Receive(vm string, report placer.Report, notices peerteller.Notices, now time.Time) {
	s.placer.ReceiveReport(vm, report, now)
	s.placer.ReceiveSummary(notices.Summary, now)
	s.placer.ReceiveDraining(notices.Leaving)
	for _, id := range s.placer.ReceiveFailures(notices.Failing, now) {
		f := notices.Failing[id]
		s.logger.Info("upstream reported failing", "upstream", id, "toldBy", vm,
			"inARow", f.ConsecutiveFailures, "for", f.Remaining)
	}
	for _, strike := range notices.Strikes {
		s.quarantine.ReceiveStrike(strike, now)
	}
	for _, id := range notices.Cancelled {
		s.runner.Cancelled(id)
	}
	s.runner.Wake()
}

// Expire implements peerteller.State.
func (s *sharedState) Expire(now time.Time) { s.placer.Expire(now) }

// Adopt implements batchserver.Runner.
func (s *sharedState) Adopt(
	record batchkeeper.VersionedRecord, items []batchkeeper.Item, reservation *rationer.Reservation,
) {
	s.runner.Adopt(record, items, reservation)
}

// Cancelled implements batchserver.Runner. It stops a job on this VM and schedules its
// cancellation to be reported to other VMs.
func (s *sharedState) Cancelled(id string) {
	s.runner.Cancelled(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled[id] = time.Now().Add(cancelReportTime)
}
