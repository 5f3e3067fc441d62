// Package chooser decides which upstream runs a request. It has no input or
// output of its own: it reads gauges, which traffic keeps up to date.
package chooser

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuespindle/fescuespindle/internal/online/gauger"
)

// Tier tells how far an upstream is from this VM.
type Tier uint8

// The tiers, nearest first.
const (
	TierDomain Tier = iota
	TierRegion
	TierRemote
	tierCount
)

// String returns the tier's name.
func (t Tier) String() string {
	return [...]string{"domain", "region", "remote"}[t]
}

// Upstream is one upstream that may run a request.
type Upstream struct {
	id        string
	address   string
	domain    string
	region    string
	sequences int
	tier      Tier
	keeper    string
	gauge     *gauger.Gauge
}

// UpstreamOption sets one property of an Upstream.
type UpstreamOption func(*Upstream)

// WithLocation sets the upstream's failure domain and region, and how far they are.
func WithLocation(domain, region string, tier Tier) UpstreamOption {
	return func(u *Upstream) { u.domain, u.region, u.tier = domain, region, tier }
}

// WithOwner sets the VM that looks after the upstream.
func WithOwner(vm string) UpstreamOption {
	return func(u *Upstream) { u.keeper = vm }
}

// NewUpstream returns an upstream that runs so many requests at a time.
func NewUpstream(id, address string, sequences int, gauge *gauger.Gauge, options ...UpstreamOption) *Upstream {
	u := &Upstream{id: id, address: address, sequences: sequences, gauge: gauge}
	for _, option := range options {
		option(u)
	}
	return u
}

// ID returns the upstream's identifier on the platform's list.
func (u *Upstream) ID() string { return u.id }

// Address returns the upstream's host and port.
func (u *Upstream) Address() string { return u.address }

// Domain returns the upstream's failure domain.
func (u *Upstream) Domain() string { return u.domain }

// Region returns the upstream's region.
func (u *Upstream) Region() string { return u.region }

// Tier returns how far the upstream is.
func (u *Upstream) Tier() Tier { return u.tier }

// Sequences returns how many requests the upstream runs at a time.
func (u *Upstream) Sequences() int { return u.sequences }

// Owner returns the VM that looks after the upstream.
func (u *Upstream) Owner() string { return u.keeper }

// Gauge returns what this VM knows of the upstream.
func (u *Upstream) Gauge() *gauger.Gauge { return u.gauge }

// FreeSlots returns how many more online requests the upstream can take, as far as
// this VM knows. Keepers of other domains tell only on demand; until they have,
// their upstreams count as full.
func (u *Upstream) FreeSlots(now time.Time) int {
	free := max(0, u.sequences-u.gauge.OnlineTotal())
	switch {
	case !u.gauge.Usable(now):
		return 0
	case u.tier == TierDomain:
		return free
	case !u.gauge.Fresh(now):
		return 0
	default:
		return max(0, min(free, u.gauge.Credits()))
	}
}

// AvailableSlots returns how many more online requests an upstream can take without
// making them wait or slow: none if it is slow.
func (p *Pool) AvailableSlots(u *Upstream, now time.Time) int {
	if p.Slowness(u, now) > slowLimit {
		return 0
	}
	return u.FreeSlots(now)
}

// Slowness returns the factor by which the upstream is slower than a typical
// one of the pool.
func (p *Pool) Slowness(u *Upstream, now time.Time) float64 {
	return u.gauge.Slowness(now, p.TypicalGap(), u.sequences)
}

// fill returns the share of the upstream that online work takes.
func (u *Upstream) fill() float64 {
	return float64(u.gauge.OnlineTotal()) / float64(u.sequences)
}

// typicalQuantile is the quantile, as a divisor, of the gaps that counts as
// typical: in a small domain, half of the upstreams may be slow at a time.
const typicalQuantile = 4

// pointsPerUpstream is the number of points of an upstream on the ring.
const pointsPerUpstream = 16

type point struct {
	hash     uint64
	upstream *Upstream
}

// Pool is the upstreams of one deployment that may run a request. It never
// changes, but for the gauges and the typical gap.
type Pool struct {
	tiers   [tierCount][]*Upstream
	rings   [tierCount][]point
	ranked  [tierCount][]*Upstream // in the order in which requests gather
	typical atomic.Int64
	turn    atomic.Uint64
	batch   atomic.Bool
	vms     int
	rank    int
}

// PoolOption sets one property of a Pool.
type PoolOption func(*Pool)

// WithVMs sets how many entry VMs share the domain's upstreams, and which of
// them this one is, from 0, in an order that all agree on.
func WithVMs(n, rank int) PoolOption {
	return func(p *Pool) { p.vms, p.rank = max(n, 1), max(rank, 0) }
}

// NewPool returns a pool of upstreams.
func NewPool(upstreams []*Upstream, options ...PoolOption) *Pool {
	p := &Pool{vms: 1}
	for _, option := range options {
		option(p)
	}
	for _, u := range upstreams {
		p.tiers[u.tier] = append(p.tiers[u.tier], u)
		p.rings[u.tier] = append(p.rings[u.tier], pointsOf(u)...)
	}
	for tier := range p.rings {
		p.ranked[tier] = slices.Clone(p.tiers[tier])
		slices.SortFunc(p.ranked[tier], func(a, b *Upstream) int { return cmp.Compare(rankOf(a), rankOf(b)) })
		slices.SortFunc(p.tiers[tier], func(a, b *Upstream) int { return cmp.Compare(a.id, b.id) })
		slices.SortFunc(p.rings[tier], func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	}
	p.RefreshStatistics()
	return p
}

func rankOf(u *Upstream) uint64 { return xxhash.Sum64String("rank/" + u.id) }

func pointsOf(u *Upstream) []point {
	points := make([]point, 0, pointsPerUpstream)
	text := []byte(u.id + "#0")
	for i := range pointsPerUpstream {
		text[len(text)-1] = byte('0' + i)
		points = append(points, point{hash: xxhash.Sum64(text), upstream: u})
	}
	return points
}

// Tier returns the upstreams of one tier, sorted by identifier.
func (p *Pool) Tier(t Tier) []*Upstream { return p.tiers[t] }

// All calls yield for each upstream, nearest tier first.
func (p *Pool) All(yield func(*Upstream) bool) {
	for _, tier := range p.tiers {
		for _, u := range tier {
			if !yield(u) {
				return
			}
		}
	}
}

// Find returns the upstream with an identifier, or nil.
func (p *Pool) Find(id string) *Upstream {
	for u := range p.All {
		if u.id == id {
			return u
		}
	}
	return nil
}

// RefreshStatistics computes what is known of the pool as a whole: the typical gap
// between tokens, which is a low quantile over the upstreams that this VM has
// seen at work, and whether there is batch work. It is called a few times a second.
func (p *Pool) RefreshStatistics() {
	var gaps []time.Duration
	batch := false
	for u := range p.All {
		batch = batch || u.gauge.Batch()+u.gauge.OwnerBatch() > 0
		if gap := u.gauge.Gap(); gap > 0 {
			gaps = append(gaps, gap)
		}
	}
	p.batch.Store(batch)
	if len(gaps) == 0 {
		return
	}
	slices.Sort(gaps)
	p.typical.Store(int64(gaps[(len(gaps)-1)/typicalQuantile]))
}

// HasBatch tells whether batch work runs on any of the upstreams, as far as
// this VM knows.
func (p *Pool) HasBatch() bool { return p.batch.Load() }

// TypicalGap returns the typical gap between tokens, or 0 if unknown.
func (p *Pool) TypicalGap() time.Duration {
	return time.Duration(p.typical.Load())
}
