package placer

import (
	"maps"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/healthtracker"
)

const (
	// suspectShare is the part of all upstreams, as a divisor, that may fail one VM
	// before the fault is taken to be its own and others are not told.
	suspectShare = 4
	// maxFailing bounds the failures in one message to other VMs.
	maxFailing = 30
)

// Failed notes that an upstream broke off or could not be reached. Others are
// preferred for a time that doubles with each failure in a row.
func (p *Placer) RecordFailure(place *Slot, now time.Time) {
	u := place.upstream
	change := Change{Upstream: place.listed.ID, Domain: place.listed.Domain}
	p.mu.Lock()
	if u.failing.RecordFailure(place.taken, now) {
		change.Failing = map[string]healthtracker.Failure{place.listed.ID: u.failing.Failure(now)}
	}
	p.mu.Unlock()
	p.changed(change)
}

// RecordAnswer notes that an upstream has answered, and not with a fault of its own.
func (p *Placer) RecordAnswer(place *Slot, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	place.answered = true
	place.upstream.failing.RecordAnswer(place.taken, now)
}

// Failing returns the upstreams that fail this VM. A VM that most of them seem
// to fail says nothing: it is more likely cut off itself.
func (p *Placer) Failing(now time.Time) map[string]healthtracker.Failure {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]healthtracker.Failure{}
	for id, u := range p.upstreams {
		if u.failing.FailsLocally(now) {
			all[id] = u.failing.Failure(now)
		}
	}
	if len(all) > max(1, len(p.upstreams)/suspectShare) {
		return nil
	}
	if len(all) <= maxFailing {
		return all
	}
	for _, id := range slices.Sorted(maps.Keys(all))[maxFailing:] {
		delete(all, id)
	}
	return all
}

// ReceiveFailures takes in which upstreams fail another VM. They are left alone
// here too, but for those that have answered here in spite of such a word. It
// returns those for which this VM didn't know it.
func (p *Placer) ReceiveFailures(told map[string]healthtracker.Failure, now time.Time) (believed []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(told)) {
		failure := told[id]
		u, found := p.upstreams[id]
		if found && failure.Remaining > 0 && u.failing.ReceiveFailure(failure, p.random.Float64(), now) {
			believed = append(believed, id)
		}
	}
	return believed
}
