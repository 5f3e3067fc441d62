package placer

import (
	"maps"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/healthtracker"
)

const (
	// failingDivisor limits the share of all upstreams, as a divisor, that may fail for
	// this VM; one always may. If more do, the fault is assumed to be on the VM's side,
	// and Failing reports none to peers.
	failingDivisor = 4
	// maxReportedFailures bounds the failing upstreams in one message to peer VMs.
	maxReportedFailures = 30
	// failureCost is the waiting time that a failed request counts for: the caller of one that
	// can't be repeated gets nothing, and any other is late.
	failureCost = 500 * time.Millisecond
	// maxCountedTime bounds the time for which the present requests of peer VMs are taken
	// for those of the past.
	maxCountedTime = 200 * time.Millisecond
)

// RecordFailure records that an upstream could not be reached, stalled, truncated an
// answer, or answered with an error of its own. Other upstreams are preferred for a
// backoff that doubles with each consecutive failure, up to a limit.
func (p *Placer) RecordFailure(slot *Slot, now time.Time) {
	u := slot.upstream
	change := Change{Upstream: slot.info.ID, Domain: slot.info.Domain}
	p.mu.Lock()
	if u.failures.RecordFailure(slot.acquiredAt, now) {
		u.risk.RecordFailure(now)
		if p.failing(now) != nil {
			change.Failing = map[string]healthtracker.Failure{slot.info.ID: u.failures.Failure(now)}
		}
	}
	p.mu.Unlock()
	p.onChange(change)
}

// RecordBreak records a failure in which an upstream refused or closed a connection, as it does when its process ends.
func (p *Placer) RecordBreak(slot *Slot, now time.Time) {
	p.mu.Lock()
	slot.upstream.lastBreakAt = now
	p.mu.Unlock()
	p.RecordFailure(slot, now)
}

// RecordAnswer records that an upstream has answered without an error of its own.
func (p *Placer) RecordAnswer(slot *Slot, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	slot.answered = true
	slot.upstream.failures.RecordAnswer(slot.acquiredAt, now)
	slot.upstream.risk.RecordAnswers(1, now)
}

// FaultyUpstreams returns the number of upstreams that are likely to fail a considerable share of
// their requests.
func (p *Placer) FaultyUpstreams(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, u := range p.upstreams {
		if u.risk.IsFaulty(now) {
			n++
		}
	}
	return n
}

// failureDelay returns the waiting time that the risk of a failure counts for. The caller must hold
// mu.
func (p *Placer) failureDelay(u *upstream, slotTime time.Duration, now time.Time) time.Duration {
	u.countPeerAnswers(slotTime, now)
	return time.Duration(u.risk.FailureProbability(now) * float64(failureCost))
}

// countPeerAnswers records the requests that peer VMs have had answered since the last call, as far
// as their reports tell: an upstream answers each of its requests within the mean slot time. Their
// failures are reported.
func (u *upstream) countPeerAnswers(slotTime time.Duration, now time.Time) {
	passed := min(now.Sub(u.peersCountedAt), maxCountedTime)
	u.peersCountedAt = now
	peers := u.onlineCount(now) - u.localCount.Online
	if passed > 0 && peers > 0 {
		u.risk.RecordAnswers(float64(peers)*float64(passed)/float64(slotTime), now)
	}
}

// Failing returns up to maxReportedFailures of the upstreams that currently fail for this
// VM. It returns nil if the VM itself is more likely to be cut off: if it seems to be so by its
// links, or if more upstreams fail than failingDivisor allows.
func (p *Placer) Failing(now time.Time) map[string]healthtracker.Failure {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.failing(now)
	if len(all) <= maxReportedFailures {
		return all
	}
	for _, id := range slices.Sorted(maps.Keys(all))[maxReportedFailures:] {
		delete(all, id)
	}
	return all
}

// failing returns all upstreams that fail for this VM, or nil if the VM itself is more likely to
// be cut off. The caller must hold mu.
func (p *Placer) failing(now time.Time) map[string]healthtracker.Failure {
	all := map[string]healthtracker.Failure{}
	if p.isCutOff(now) {
		return nil
	}
	for id, u := range p.upstreams {
		if u.failures.FailsLocally(now) {
			all[id] = u.failures.Failure(now)
		}
	}
	if len(all) > max(1, len(p.upstreams)/failingDivisor) {
		return nil
	}
	return all
}

// ReceiveFailures records which upstreams fail for a peer VM. They are avoided by this
// VM too, except those that have recently answered it despite such a report.
// ReceiveFailures returns the upstreams whose report was accepted and new.
func (p *Placer) ReceiveFailures(
	vm string, reported map[string]healthtracker.Failure, now time.Time,
) (accepted []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(reported)) {
		failure := reported[id]
		u, found := p.upstreams[id]
		if !found || failure.Remaining <= 0 {
			continue
		}
		if u.failures.RecordReport(failure, now) && u.lastReporter != vm {
			u.lastReporter = vm // more failures of the same VM may be those of its own link
			u.risk.RecordFailure(now)
		}
		if u.failures.ReceiveFailure(failure, p.random.Float64(), now) {
			accepted = append(accepted, id)
		}
	}
	return accepted
}
