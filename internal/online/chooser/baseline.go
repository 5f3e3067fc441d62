package chooser

import "math/rand/v2"

// RoundRobin is a baseline policy that takes the usable upstreams in turn and ignores
// their load.
type RoundRobin struct{}

// Choose implements Policy.
func (RoundRobin) Choose(p *Pool, r Request) (Choice, bool) {
	return p.chooseBaseline(r, func(upstreams []*Upstream) *Upstream {
		for range upstreams {
			u := upstreams[p.nextIndex.Add(1)%uint64(len(upstreams))]
			if u != r.Avoid && u.gauge.Usable(r.Now) {
				return u
			}
		}
		return nil
	})
}

// LeastReported is a baseline policy that takes the upstream with the least load in
// the upstreams' own reports, which arrive late.
type LeastReported struct{}

// Choose implements Policy.
func (LeastReported) Choose(p *Pool, r Request) (Choice, bool) {
	return p.chooseBaseline(r, func(upstreams []*Upstream) *Upstream {
		var best *Upstream
		for _, u := range upstreams {
			if u == r.Avoid || !u.gauge.Usable(r.Now) {
				continue
			}
			if best == nil || u.gauge.ReportedLoad() < best.gauge.ReportedLoad() {
				best = u
			}
		}
		return best
	})
}

// TwoChoices is a baseline policy that samples up to two usable upstreams and takes
// the one with fewer requests of this VM in flight.
type TwoChoices struct{}

// Choose implements Policy.
func (TwoChoices) Choose(p *Pool, r Request) (Choice, bool) {
	return p.chooseBaseline(r, func(upstreams []*Upstream) *Upstream {
		const maxSamples = 4 // the two choices, and two spare in case some are unusable
		var best *Upstream
		sampled := 0
		for range maxSamples {
			u := upstreams[rand.IntN(len(upstreams))]
			if u == r.Avoid || !u.gauge.Usable(r.Now) {
				continue
			}
			if best == nil || u.gauge.Online() < best.gauge.Online() {
				best = u
			}
			if sampled++; sampled == 2 {
				break
			}
		}
		return best
	})
}

// chooseBaseline applies pick to one tier after the other, nearest first, until it
// returns an upstream.
func (p *Pool) chooseBaseline(r Request, pick func([]*Upstream) *Upstream) (Choice, bool) {
	for tier := TierDomain; tier <= r.MaxTier; tier++ {
		if len(p.tiers[tier]) == 0 {
			continue
		}
		if u := pick(p.tiers[tier]); u != nil {
			return Choice{Upstream: u, Reason: ReasonBaseline, Utilization: u.utilization()}, true
		}
	}
	return Choice{}, false
}
