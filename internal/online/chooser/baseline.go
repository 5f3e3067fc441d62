package chooser

import "math/rand/v2"

// RoundRobin is a baseline: upstreams in turn, whatever their load.
type RoundRobin struct{}

// Choose implements Policy.
func (RoundRobin) Choose(p *Pool, r Request) (Choice, bool) {
	return p.baseline(r, func(upstreams []*Upstream) *Upstream {
		for range upstreams {
			u := upstreams[p.turn.Add(1)%uint64(len(upstreams))]
			if u != r.Avoid && u.gauge.Usable(r.Now) {
				return u
			}
		}
		return nil
	})
}

// LeastReported is a baseline: the least load by the upstreams' late reports.
type LeastReported struct{}

// Choose implements Policy.
func (LeastReported) Choose(p *Pool, r Request) (Choice, bool) {
	return p.baseline(r, func(upstreams []*Upstream) *Upstream {
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

// TwoChoices is a baseline: the better of two random upstreams by this VM's
// own requests in flight.
type TwoChoices struct{}

// Choose implements Policy.
func (TwoChoices) Choose(p *Pool, r Request) (Choice, bool) {
	return p.baseline(r, func(upstreams []*Upstream) *Upstream {
		const looks = 4 // two choices, and two spare for unusable ones
		var best *Upstream
		seen := 0
		for range looks {
			u := upstreams[rand.IntN(len(upstreams))]
			if u == r.Avoid || !u.gauge.Usable(r.Now) {
				continue
			}
			if best == nil || u.gauge.Online() < best.gauge.Online() {
				best = u
			}
			if seen++; seen == 2 {
				break
			}
		}
		return best
	})
}

// baseline chooses in the nearest tier that has an upstream to offer.
func (p *Pool) baseline(r Request, pick func([]*Upstream) *Upstream) (Choice, bool) {
	for tier := TierDomain; tier <= r.MaxTier; tier++ {
		if len(p.tiers[tier]) == 0 {
			continue
		}
		if u := pick(p.tiers[tier]); u != nil {
			return Choice{Upstream: u, Reason: ReasonBaseline, Fill: u.fill()}, true
		}
	}
	return Choice{}, false
}
