package placer

import (
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/ratelimiter"
)

// RecordRateLimit records the rate limit that an answer of the upstream of a slot names, or 0
// for none. If it is another one than before, RecordRateLimit returns the previous one and
// true.
func (p *Placer) RecordRateLimit(slot *Slot, perSecond float64, now time.Time) (ratelimiter.Limit, bool) {
	p.mu.Lock()
	previous, changed := p.limiter.RecordAnswer(slot.info.process(), perSecond, slot.acquiredAt, now)
	p.mu.Unlock()
	if changed {
		p.onChange(Change{Upstream: slot.info.ID, Domain: slot.info.Domain})
	}
	return previous, changed
}

func (u Upstream) process() ratelimiter.Process {
	return ratelimiter.Process{Upstream: u.ID, Start: u.ProcessStart}
}

// withinRateLimit returns whether this VM may send a request to an upstream now. The caller
// must hold mu.
func (p *Placer) withinRateLimit(u *upstream, isBatch bool, now time.Time) bool {
	if !p.limiter.IsLimited(u.ID) {
		return true
	}
	group := ratelimiter.Group{}
	holds := false
	for _, vm := range p.limitHolders(u) {
		group.Size++
		isSelf := vm == p.self
		holds = holds || isSelf
		if _, heard := p.peers[vm]; heard || isSelf {
			group.Heard++
		}
	}
	return holds && p.limiter.Allows(u.ID, group, isBatch, now)
}

// limitHolders returns the VMs that share the rate limit of an upstream: some of those that
// learn of each other's requests to it at once, or, if its domain has no VM, of all VMs. The
// caller must hold mu.
func (p *Placer) limitHolders(u *upstream) []string {
	if u.limitHolders != nil {
		return u.limitHolders
	}
	candidates := p.domainVMs[u.Domain]
	if len(candidates) > 0 && !p.isFullMesh(u.Domain) {
		candidates = p.subscribersOf(u.Upstream)
	}
	if len(candidates) == 0 {
		for _, vms := range p.domainVMs {
			candidates = append(candidates[:len(candidates):len(candidates)], vms...)
		}
	}
	if len(candidates) == 0 {
		candidates = []string{p.self}
	}
	u.limitHolders = ratelimiter.Holders(u.ID, candidates)
	return u.limitHolders
}

// holdsLimit returns whether this VM shares the rate limit of an upstream. The caller must
// hold mu.
func (p *Placer) holdsLimit(id string) bool {
	u, found := p.upstreams[id]
	return found && slices.Contains(p.limitHolders(u), p.self)
}

// retainLimits discards the rate limits of upstreams that are no longer listed or have
// restarted. The caller must hold mu.
func (p *Placer) retainLimits() {
	p.limiter.Retain(func(process ratelimiter.Process) bool {
		u, found := p.upstreams[process.Upstream]
		return found && u.ProcessStart == process.Start
	})
}

// SentToLimited returns how many requests this VM has sent to upstreams with a rate limit.
func (p *Placer) SentToLimited(now time.Time) map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter.Sent(now)
}

// ReceiveSentToLimited records how many requests a peer VM has sent to upstreams with a rate
// limit.
func (p *Placer) ReceiveSentToLimited(vm string, sent map[string]uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.ReceiveSent(vm, sent)
}

// HasRateLimitNews returns whether there are rate limits that peer VMs must learn soon, and
// whether there are any to report.
func (p *Placer) HasRateLimitNews(now time.Time) (news, toReport bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter.HasNews(p.holdsLimit, now)
}

// RateLimitReport returns what this VM tells peer VMs of rate limits.
func (p *Placer) RateLimitReport(now time.Time) ratelimiter.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter.Report(p.holdsLimit, now)
}

// ReceiveRateLimits records what a peer VM tells of rate limits. If relay is set, this VM must
// tell others what is new in it.
func (p *Placer) ReceiveRateLimits(report ratelimiter.Report, relay bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, named := range report {
		if u, found := p.upstreams[id]; found {
			p.limiter.Receive(u.process(), named, relay, now)
		}
	}
}
