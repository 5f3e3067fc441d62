package chooser

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Reason tells why an upstream was chosen.
type Reason uint8

// The reasons for a choice.
const (
	ReasonLeastLoad Reason = iota
	ReasonPrefix
	ReasonSpilled
	ReasonGathered
	ReasonLastResort
	ReasonBaseline
)

// String returns the reason's name, as counters show it.
func (r Reason) String() string {
	return [...]string{"leastLoad", "prefix", "spilled", "gathered", "lastResort", "baseline"}[r]
}

// Request is what a choice depends on.
type Request struct {
	// Prefix is the hash of the prompt's beginning, or 0 for no affinity.
	Prefix uint64
	// Gather tells whether requests that no prefix sends elsewhere go to as few
	// upstreams as can take them, so that batch work has the others to itself.
	Gather bool
	// Avoid is an upstream that has already failed or is running the request.
	Avoid *Upstream
	// MaxTier is the last tier that may be used.
	MaxTier Tier
	// Now is the time of the choice.
	Now time.Time
}

// Choice is the upstream chosen, and why.
type Choice struct {
	Upstream *Upstream
	Reason   Reason
	// Fill is the share of the upstream that online work takes.
	Fill float64
}

// Policy chooses among the upstreams of a pool. It returns false if none may
// be used.
type Policy interface {
	Choose(*Pool, Request) (Choice, bool)
}

const (
	// samples is the number of upstreams that are looked at in a large tier.
	samples = 6
	// ringSteps is the number of upstreams that a prefix may fall back to.
	ringSteps = 3
	// prefixSlack is the load over the mean that a prefix is worth.
	prefixSlack = 1.15
	// slowLimit is the slowness from which an upstream loses its prefixes.
	slowLimit = 3.0
	// fullPenalty keeps requests away from upstreams where they would wait.
	fullPenalty = 10
	// promptBytes is the size of prompts being worked through that counts like
	// one more request: all others on the engine wait for it.
	promptBytes = 1 << 10
	// gatherSlowness is the slowness from which an upstream gathers no requests.
	gatherSlowness = 1.5
)

// Balanced is the product's own policy: the upstream that the prompt's prefix
// points to while it is neither slow nor over its share of the load, otherwise
// the best of a few by load and slowness, in the nearest tier with room.
type Balanced struct{}

// Choose implements Policy.
func (Balanced) Choose(p *Pool, r Request) (Choice, bool) {
	var best Choice
	found := false
	for tier := TierDomain; tier <= r.MaxTier; tier++ {
		choice, ok := p.chooseInTier(tier, r)
		if !ok {
			continue
		}
		if found {
			choice.Reason = ReasonSpilled
		}
		if p.AvailableSlots(choice.Upstream, r.Now) > 0 {
			return choice, true
		}
		if !found || p.score(choice.Upstream, r.Now) < p.score(best.Upstream, r.Now) {
			best = choice
		}
		found = true
	}
	if !found {
		return p.lastResort(r)
	}
	return best, found
}

// lastResort returns an upstream that failed a moment ago, if there is no
// other: it may be back, and a refusal would help nobody.
func (p *Pool) lastResort(r Request) (Choice, bool) {
	for tier := TierDomain; tier <= r.MaxTier; tier++ {
		u := firstFrom(p.tiers[tier], func(u *Upstream) bool { return u != r.Avoid && !u.gauge.Draining() })
		if u != nil {
			return Choice{Upstream: u, Reason: ReasonLastResort, Fill: u.fill()}, true
		}
	}
	return Choice{}, false
}

func (p *Pool) chooseInTier(tier Tier, r Request) (Choice, bool) {
	sampled, meanLoad := p.leastLoaded(tier, r)
	if sampled == nil {
		return Choice{}, false
	}
	if p.AvailableSlots(sampled, r.Now) == 0 && len(p.tiers[tier]) > samples {
		sampled = p.anyFree(tier, r, sampled)
	}
	if r.Prefix != 0 {
		if u := p.byPrefix(tier, r, meanLoad); u != nil {
			return Choice{Upstream: u, Reason: ReasonPrefix, Fill: u.fill()}, true
		}
	}
	if r.Gather {
		if u := p.gatherTarget(tier, r); u != nil {
			return Choice{Upstream: u, Reason: ReasonGathered, Fill: u.fill()}, true
		}
	}
	return Choice{Upstream: sampled, Reason: ReasonLeastLoad, Fill: sampled.fill()}, true
}

// gatherTarget returns the upstream that gathers requests now: the first with
// room, in an order that all VMs agree on.
//
// Batch work must keep a sequence free wherever online requests arrive, or they
// wait for a step of the engine. Spread over all upstreams, that is a sequence
// on each. Gathered, it is one on each of the few upstreams that are in use.
// The last sequence of an upstream is left to requests of other VMs that this
// one has not heard of yet.
func (p *Pool) gatherTarget(tier Tier, r Request) *Upstream {
	ranked := p.ranked[tier]
	for i := len(ranked) - 1; i >= 0; i-- {
		u := ranked[i]
		usable := u != r.Avoid && u.gauge.Usable(r.Now) && u.gauge.OnlineTotal()+1 < u.sequences &&
			u.gauge.TotalPromptBytes() < promptBytes
		if usable && p.Slowness(u, r.Now) <= gatherSlowness {
			return u
		}
	}
	return nil
}

// leastLoaded returns the best of a few random upstreams, and their mean load.
func (p *Pool) leastLoaded(tier Tier, r Request) (*Upstream, float64) {
	upstreams := p.tiers[tier]
	n := len(upstreams)
	if n == 0 {
		return nil, 0
	}
	start, step := rand.IntN(n), 1
	looks := min(n, samples)
	if n > samples {
		step = 1 + rand.IntN(n-1)
	}
	var best *Upstream
	var bestScore, load float64
	usable := 0
	for i := range looks {
		u := upstreams[(start+i*step)%n]
		if u == r.Avoid || !u.gauge.Usable(r.Now) {
			continue
		}
		usable++
		load += u.load()
		score := p.score(u, r.Now)
		if best == nil || score < bestScore {
			best, bestScore = u, score
		}
	}
	if best == nil {
		best = firstFrom(upstreams, func(u *Upstream) bool { return u != r.Avoid && u.gauge.Usable(r.Now) })
	}
	return best, load / float64(max(usable, 1))
}

// anyFree returns an upstream with a free sequence, or the fallback. On nearly
// full upstreams a sample misses the free ones.
func (p *Pool) anyFree(tier Tier, r Request, fallback *Upstream) *Upstream {
	u := firstFrom(p.tiers[tier], func(u *Upstream) bool { return u != r.Avoid && p.AvailableSlots(u, r.Now) > 0 })
	if u == nil {
		return fallback
	}
	return u
}

// firstFrom returns the first upstream from a random one on that a function
// accepts, or nil.
func firstFrom(upstreams []*Upstream, accept func(*Upstream) bool) *Upstream {
	if len(upstreams) == 0 {
		return nil
	}
	start := rand.IntN(len(upstreams))
	for i := range upstreams {
		if u := upstreams[(start+i)%len(upstreams)]; accept(u) {
			return u
		}
	}
	return nil
}

// score is lower for a better upstream. An engine works on all its sequences at
// once, so its load costs a request little until it is full, while slowness
// costs all of it: an empty engine that is four times slower is worse than one
// with six of eight sequences taken.
func (p *Pool) score(u *Upstream, now time.Time) float64 {
	const idleCost = 0.5
	slowness := p.Slowness(u, now)
	score := (idleCost + u.load()) * slowness * slowness
	if u.gauge.OnlineTotal() >= u.sequences {
		score *= fullPenalty // a place at a slow upstream is better than none
	}
	return score
}

// load returns the share of the upstream that is taken once it has one request
// more. Batch work counts little, as it yields.
func (u *Upstream) load() float64 {
	const batchWeight = 0.05
	load := float64(u.gauge.OnlineTotal()+1) + batchWeight*float64(u.gauge.Batch())
	load += float64(u.gauge.TotalPromptBytes()) / promptBytes
	return load / float64(u.sequences)
}

// byPrefix returns the upstream that all VMs agree on for the prefix, unless
// it has more than its share of the load. In that case the next ones on the
// ring are tried, so that a prefix in demand is cached by several upstreams.
//
// Cache events are not needed for this: they come late and with gaps, while
// the ring gives every VM the same answer at once.
func (p *Pool) byPrefix(tier Tier, r Request, meanLoad float64) *Upstream {
	ring := p.rings[tier]
	at, _ := slices.BinarySearchFunc(ring, r.Prefix, func(pt point, hash uint64) int {
		switch {
		case pt.hash < hash:
			return -1
		case pt.hash > hash:
			return 1
		default:
			return 0
		}
	})
	var last *Upstream
	tried := 0
	for i := 0; i < len(ring) && tried < ringSteps; i++ {
		u := ring[(at+i)%len(ring)].upstream
		if u == last {
			continue
		}
		last = u
		tried++
		if u == r.Avoid || !u.gauge.Usable(r.Now) || p.Slowness(u, r.Now) > slowLimit {
			continue
		}
		most := math.Ceil(prefixSlack * meanLoad * float64(u.sequences))
		if u.gauge.OnlineTotal() < u.sequences && u.load()*float64(u.sequences) <= most {
			return u
		}
	}
	return nil
}
