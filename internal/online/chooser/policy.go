package chooser

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Reason is why an upstream was chosen.
type Reason uint8

// The reasons for a choice.
const (
	ReasonLeastLoad  Reason = iota // the best of the sample by load and slowness
	ReasonPrefix                   // the consistent-hashing ring has it for the prefix
	ReasonSpilled                  // no nearer tier has a free slot
	ReasonGathered                 // online requests are gathered there
	ReasonLastResort               // it failed recently, and no other is usable
	ReasonBaseline                 // a baseline policy chose it
)

// String returns the reason's name, which is a label of a metric.
func (r Reason) String() string {
	return [...]string{"leastLoad", "prefix", "spilled", "gathered", "lastResort", "baseline"}[r]
}

// Request describes a request for which an upstream is chosen.
type Request struct {
	// Prefix is the hash of the prompt's prefix, or 0 for no affinity.
	Prefix uint64
	// Gather is set if requests without a prefix match are concentrated on as few
	// upstreams as can run them, so that the others are left to batch work.
	Gather bool
	// Avoid, if not nil, is an upstream that must not be chosen, since it has already
	// failed the request or is running it.
	Avoid *Upstream
	// MaxTier is the most distant tier that may be used.
	MaxTier Tier
	// Now is the time of the choice.
	Now time.Time
}

// Choice is the upstream that a policy has chosen.
type Choice struct {
	Upstream *Upstream
	Reason   Reason
	// Utilization is the number of the upstream's online requests per sequence. It is
	// above 1 if requests wait there.
	Utilization float64
}

// Policy chooses among the upstreams of a pool. Choose returns false if it finds none.
type Policy interface {
	Choose(*Pool, Request) (Choice, bool)
}

const (
	// sampleSize is the number of upstreams that are compared in a large tier.
	sampleSize = 6
	// maxRingCandidates is the number of upstreams that are tried for a prefix.
	maxRingCandidates = 3
	// prefixLoadFactor bounds the load of an upstream that is chosen for a prefix, as a
	// multiple of the sample's mean load.
	prefixLoadFactor = 1.15
	// maxAvailableSlowness is the slowness above which an upstream is not chosen for a prefix and
	// counts as having no free slots.
	maxAvailableSlowness = 3.0
	// saturationPenalty multiplies the score of upstreams where a request would wait.
	saturationPenalty = 10
	// promptBytesPerRequest is the size of unprocessed prompts that counts as one more
	// request, since all other requests on the engine wait while it processes them.
	promptBytesPerRequest = 1 << 10
	// maxGatherSlowness is the slowness above which no requests are gathered on an
	// upstream.
	maxGatherSlowness = 1.5
)

// Balanced is the default policy. In the nearest tier with a free slot, it chooses the
// upstream that the ring has for the prompt's prefix, if that is neither slow nor loaded
// well above the mean. Otherwise it gathers the request, if asked to, or chooses the best
// of a sample by load and slowness. If no tier has a free slot, the best of the tiers'
// choices is returned, even though the request waits there.
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

// lastResort returns an upstream that is not draining, although it failed recently. It
// may have recovered, and the alternative is to reject the request.
func (p *Pool) lastResort(r Request) (Choice, bool) {
	for tier := TierDomain; tier <= r.MaxTier; tier++ {
		u := anyMatch(p.tiers[tier], func(u *Upstream) bool { return u != r.Avoid && !u.gauge.Draining() })
		if u != nil {
			return Choice{Upstream: u, Reason: ReasonLastResort, Utilization: u.utilization()}, true
		}
	}
	return Choice{}, false
}

// chooseInTier returns the choice within one tier, or false if it has no usable
// upstream.
func (p *Pool) chooseInTier(tier Tier, r Request) (Choice, bool) {
	sampled, meanLoad := p.leastLoaded(tier, r)
	if sampled == nil {
		return Choice{}, false
	}
	if p.AvailableSlots(sampled, r.Now) == 0 && len(p.tiers[tier]) > sampleSize {
		sampled = p.anyAvailable(tier, r, sampled)
	}
	if r.Prefix != 0 {
		if u := p.byPrefix(tier, r, meanLoad); u != nil {
			return Choice{Upstream: u, Reason: ReasonPrefix, Utilization: u.utilization()}, true
		}
	}
	if r.Gather {
		if u := p.gatherTarget(tier, r); u != nil {
			return Choice{Upstream: u, Reason: ReasonGathered, Utilization: u.utilization()}, true
		}
	}
	return Choice{Upstream: sampled, Reason: ReasonLeastLoad, Utilization: sampled.utilization()}, true
}

// gatherTarget returns the upstream on which requests are gathered now, or nil: the
// first suitable one in an order that all VMs agree on.
//
// Batch work must keep a sequence free wherever online requests arrive, since they would
// otherwise wait for a step of the engine. If requests are spread over all upstreams,
// that costs one sequence on each; if they are gathered, it costs one on each of the few
// upstreams in use. The last free sequence of an upstream is left to requests of peer
// VMs that have not been reported to this VM yet.
func (p *Pool) gatherTarget(tier Tier, r Request) *Upstream {
	order := p.gatherOrder[tier]
	for i := len(order) - 1; i >= 0; i-- {
		u := order[i]
		usable := u != r.Avoid && u.gauge.Usable(r.Now) && u.gauge.OnlineTotal()+1 < u.sequences &&
			u.gauge.TotalPromptBytes() < promptBytesPerRequest
		if usable && p.Slowness(u, r.Now) <= maxGatherSlowness {
			return u
		}
	}
	return nil
}

// leastLoaded returns the upstream with the best score in a random sample, and the mean
// load of the sample. If the sample has no usable upstream, any usable one is returned,
// or nil.
func (p *Pool) leastLoaded(tier Tier, r Request) (*Upstream, float64) {
	upstreams := p.tiers[tier]
	n := len(upstreams)
	if n == 0 {
		return nil, 0
	}
	start, step := rand.IntN(n), 1
	size := min(n, sampleSize)
	if n > sampleSize {
		step = 1 + rand.IntN(n-1)
	}
	var best *Upstream
	var bestScore, load float64
	usable := 0
	for i := range size {
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
		best = anyMatch(upstreams, func(u *Upstream) bool { return u != r.Avoid && u.gauge.Usable(r.Now) })
	}
	return best, load / float64(max(usable, 1))
}

// anyAvailable returns an upstream with an available slot, or the fallback. It searches
// the whole tier, since a sample often misses the few free slots of a nearly full tier.
func (p *Pool) anyAvailable(tier Tier, r Request, fallback *Upstream) *Upstream {
	u := anyMatch(p.tiers[tier], func(u *Upstream) bool { return u != r.Avoid && p.AvailableSlots(u, r.Now) > 0 })
	if u == nil {
		return fallback
	}
	return u
}

// anyMatch returns the first upstream that accept returns true for, starting at a random
// one, or nil.
func anyMatch(upstreams []*Upstream, accept func(*Upstream) bool) *Upstream {
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

// score returns the cost of running a request on an upstream; lower is better. An engine
// runs all its sequences in parallel, so load delays a request little until the engine
// is full, while slowness delays every token: an idle engine that is four times slower
// is worse than one with six of eight sequences in use.
func (p *Pool) score(u *Upstream, now time.Time) float64 {
	const idleCost = 0.5
	slowness := p.Slowness(u, now)
	score := (idleCost + u.load()) * slowness * slowness
	if u.gauge.OnlineTotal() >= u.sequences {
		score *= saturationPenalty // a free slot on a slow upstream is better than none
	}
	return score
}

// load returns the load per sequence that the upstream would have with one more request.
// Batch work counts little, as it yields to online requests.
func (u *Upstream) load() float64 {
	const batchWeight = 0.05
	load := float64(u.gauge.OnlineTotal()+1) + batchWeight*float64(u.gauge.Batch())
	load += float64(u.gauge.TotalPromptBytes()) / promptBytesPerRequest
	return load / float64(u.sequences)
}

// byPrefix returns the upstream for a prefix by consistent hashing with bounded loads,
// or nil. If an upstream is unusable, slow, full or loaded above the bound, the next ones
// on the ring are tried, so that several upstreams cache a prefix in demand.
//
// The cache events of the engines are not used, since they arrive late and with gaps.
// The ring gives the same result on every VM at once.
func (p *Pool) byPrefix(tier Tier, r Request, meanLoad float64) *Upstream {
	ring := p.rings[tier]
	start, _ := slices.BinarySearchFunc(ring, r.Prefix, func(pt ringPoint, hash uint64) int {
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
	for i := 0; i < len(ring) && tried < maxRingCandidates; i++ {
		u := ring[(start+i)%len(ring)].upstream
		if u == last {
			continue
		}
		last = u
		tried++
		if u == r.Avoid || !u.gauge.Usable(r.Now) || p.Slowness(u, r.Now) > maxAvailableSlowness {
			continue
		}
		bound := math.Ceil(prefixLoadFactor * meanLoad * float64(u.sequences))
		if u.gauge.OnlineTotal() < u.sequences && u.load()*float64(u.sequences) <= bound {
			return u
		}
	}
	return nil
}
