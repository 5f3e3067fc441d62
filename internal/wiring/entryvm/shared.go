package entryvm

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/batchrunner"
	"github.com/fescuespindle/fescuespindle/internal/control/memberkeeper"
	"github.com/fescuespindle/fescuespindle/internal/control/peerteller"
	"github.com/fescuespindle/fescuespindle/internal/control/watcher"
	"github.com/fescuespindle/fescuespindle/internal/online/crashanalyzer"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/ratelimiter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

const (
	// cancelReportTime is how long the cancellation of a job is reported, and maxCancels
	// bounds the cancellations in one message.
	cancelReportTime = 4 * time.Second
	maxCancels       = 50
)

// sharedState collects what this VM reports to other VMs and applies their reports: the
// requests on upstreams, failing and draining upstreams, crashes of upstreams, cancelled jobs,
// and how new the configuration is.
type sharedState struct {
	placer  *placer.Placer
	crashes *crashanalyzer.Analyzer
	runner  *batchrunner.Runner
	members *memberkeeper.Keeper
	logger  *slog.Logger
	// configuration is set before the first report is sent or received.
	configuration *watcher.Watcher

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
		Cancelled: cancelled[:min(len(cancelled), maxCancels)],
		Failing:   s.placer.Failing(now),
		Leaving:   s.placer.Draining(),
		Sent:      s.placer.SentToLimited(now),

		Configuration: s.configuration.NewestRow(),
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
	s.members.Hear(vm, now)
	s.placer.ReceiveReport(vm, report, now)
	s.placer.ReceiveSentToLimited(vm, notices.Sent)
	s.placer.ReceiveSummary(notices.Summary, now)
	s.placer.ReceiveDraining(notices.Leaving)
	s.configuration.HearOf(notices.Configuration, now)
	for _, id := range s.placer.ReceiveFailures(vm, notices.Failing, now) {
		f := notices.Failing[id]
		s.logger.Info("upstream reported failing", "upstream", id, "toldBy", vm,
			"inARow", f.ConsecutiveFailures, "for", f.Remaining)
	}
	for _, id := range notices.Cancelled {
		s.runner.Cancelled(id)
	}
	s.runner.Wake()
}

// HasCrashNews implements peerteller.State.
func (s *sharedState) HasCrashNews(now time.Time) (news, toReport bool) {
	return s.crashes.HasNews(now)
}

// CrashReport implements peerteller.State.
func (s *sharedState) CrashReport(now time.Time) crashanalyzer.Report { return s.crashes.Report(now) }

// ReceiveCrashes implements peerteller.State.
func (s *sharedState) ReceiveCrashes(report crashanalyzer.Report, relay bool, now time.Time) {
	s.crashes.Receive(report, relay, now)
}

// HasLimitNews implements peerteller.State.
func (s *sharedState) HasLimitNews(now time.Time) (news, toReport bool) {
	return s.placer.HasRateLimitNews(now)
}

// LimitReport implements peerteller.State.
func (s *sharedState) LimitReport(now time.Time) ratelimiter.Report {
	return s.placer.RateLimitReport(now)
}

// ReceiveLimits implements peerteller.State.
func (s *sharedState) ReceiveLimits(report ratelimiter.Report, relay bool, now time.Time) {
	s.placer.ReceiveRateLimits(report, relay, now)
}

// Expire implements peerteller.State.
func (s *sharedState) Expire(now time.Time) { s.placer.Expire(now) }

// Adopt implements batchserver.Runner.
func (s *sharedState) Adopt(
	record batchkeeper.VersionedRecord, items []batchkeeper.Item, reservation *rationer.Reservation,
) {
	s.runner.Adopt(record, items, reservation)
}

// Cancelled stops a job on this VM whose cancellation the store has confirmed, and schedules the cancellation
// to be reported to other VMs.
func (s *sharedState) Cancelled(id string) {
	s.runner.Cancelled(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled[id] = time.Now().Add(cancelReportTime)
}
