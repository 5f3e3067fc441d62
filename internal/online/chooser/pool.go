// Package chooser selects the upstream that runs a request. It does no I/O: it reads
// the gauges, which traffic and reports of peer VMs update.
package chooser

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuespindle/fescuespindle/internal/online/gauger"
)

// Tier is the distance between an upstream and this VM.
type Tier uint8

// The tiers, nearest first.
const (
	TierDomain Tier = iota // in the VM's failure domain
	TierRegion             // in another domain of the VM's region
	TierRemote             // in another region
	tierCount
)

// String returns the tier's name.
func (t Tier) String() string {
	return [...]string{"domain", "region", "remote"}[t]
}

// Upstream describes an upstream of a pool and refers to its gauge.
type Upstream struct {
	id        string
	address   string
	domain    string
	region    string
	sequences int
	tier      Tier
	owner     string
	gauge     *gauger.Gauge
}

// UpstreamOption sets one property of an Upstream.
type UpstreamOption func(*Upstream)

// WithLocation sets the upstream's failure domain, region and tier.
func WithLocation(domain, region string, tier Tier) UpstreamOption {
	return func(u *Upstream) { u.domain, u.region, u.tier = domain, region, tier }
}

// WithOwner sets the VM that manages the upstream.
func WithOwner(vm string) UpstreamOption {
	return func(u *Upstream) { u.owner = vm }
}

// NewUpstream returns an upstream that runs up to the given number of sequences at a
// time.
func NewUpstream(id, address string, sequences int, gauge *gauger.Gauge, options ...UpstreamOption) *Upstream {
	u := &Upstream{id: id, address: address, sequences: sequences, gauge: gauge}
	for _, option := range options {
		option(u)
	}
	return u
}

// ID returns the upstream's identifier in the platform's list.
func (u *Upstream) ID() string { return u.id }

// Address returns the upstream's host and port.
func (u *Upstream) Address() string { return u.address }

// Domain returns the upstream's failure domain.
func (u *Upstream) Domain() string { return u.domain }

// Region returns the upstream's region.
func (u *Upstream) Region() string { return u.region }

// Tier returns the upstream's distance from this VM.
func (u *Upstream) Tier() Tier { return u.tier }

// Sequences returns how many requests the upstream runs at a time.
func (u *Upstream) Sequences() int { return u.sequences }

// Owner returns the VM that manages the upstream.
func (u *Upstream) Owner() string { return u.owner }

// Gauge returns this VM's measurements of the upstream.
func (u *Upstream) Gauge() *gauger.Gauge { return u.gauge }

// FreeSlots returns how many more online requests the upstream can run, as far as this
// VM knows. Owners in other domains report only on demand; without a recent report,
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

// AvailableSlots returns the upstream's free slots, or 0 if its slowness is above
// maxSlowness.
func (p *Pool) AvailableSlots(u *Upstream, now time.Time) int {
	if p.Slowness(u, now) > maxAvailableSlowness {
		return 0
	}
	return u.FreeSlots(now)
}

// Slowness returns the factor by which the upstream is slower than a typical upstream
// of the pool.
func (p *Pool) Slowness(u *Upstream, now time.Time) float64 {
	return u.gauge.Slowness(now, p.TypicalGap(), u.sequences)
}

// utilization returns the online requests of all VMs per sequence of the upstream.
func (u *Upstream) utilization() float64 {
	return float64(u.gauge.OnlineTotal()) / float64(u.sequences)
}

// typicalGapDivisor sets the quantile of the gaps that counts as typical: 4 is the lower
// quartile. In a small domain, half of the upstreams may be slow at a time, which would
// raise the median.
const typicalGapDivisor = 4

// pointsPerUpstream is the number of an upstream's points on the consistent-hashing
// ring of its tier.
const pointsPerUpstream = 16

// ringPoint is one point of an upstream on the ring.
type ringPoint struct {
	hash     uint64
	upstream *Upstream
}

// Pool holds the upstreams of one deployment that may run a request. It is immutable
// but for the gauges, the round-robin index and the values that RefreshStatistics sets.
type Pool struct {
	tiers       [tierCount][]*Upstream
	rings       [tierCount][]ringPoint
	gatherOrder [tierCount][]*Upstream // the last one gathers requests first
	typicalGap  atomic.Int64
	nextIndex   atomic.Uint64
	hasBatch    atomic.Bool
	vms         int
	vmRank      int
}

// PoolOption sets one property of a Pool.
type PoolOption func(*Pool)

// WithVMs sets the number of entry VMs that share the domain's upstreams, and this VM's
// rank among them, from 0, in an order that all of them agree on.
func WithVMs(n, rank int) PoolOption {
	return func(p *Pool) { p.vms, p.vmRank = max(n, 1), max(rank, 0) }
}

// NewPool returns a pool of upstreams.
func NewPool(upstreams []*Upstream, options ...PoolOption) *Pool {
	p := &Pool{vms: 1}
	for _, option := range options {
		option(p)
	}
	for _, u := range upstreams {
		p.tiers[u.tier] = append(p.tiers[u.tier], u)
		p.rings[u.tier] = append(p.rings[u.tier], ringPointsOf(u)...)
	}
	for tier := range p.rings {
		p.gatherOrder[tier] = slices.Clone(p.tiers[tier])
		slices.SortFunc(p.gatherOrder[tier], func(a, b *Upstream) int {
			return cmp.Compare(gatherRank(a), gatherRank(b))
		})
		slices.SortFunc(p.tiers[tier], func(a, b *Upstream) int { return cmp.Compare(a.id, b.id) })
		slices.SortFunc(p.rings[tier], func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	}
	p.RefreshStatistics()
	return p
}

// gatherRank orders the upstreams for gathering, equally on all VMs.
func gatherRank(u *Upstream) uint64 { return xxhash.Sum64String("rank/" + u.id) }

func ringPointsOf(u *Upstream) []ringPoint {
	points := make([]ringPoint, 0, pointsPerUpstream)
	text := []byte(u.id + "#0")
	for i := range pointsPerUpstream {
		text[len(text)-1] = byte('0' + i)
		points = append(points, ringPoint{hash: xxhash.Sum64(text), upstream: u})
	}
	return points
}

// Tier returns the upstreams of one tier, sorted by identifier.
func (p *Pool) Tier(t Tier) []*Upstream { return p.tiers[t] }

// All iterates over the upstreams, nearest tier first.
func (p *Pool) All(yield func(*Upstream) bool) {
	for _, tier := range p.tiers {
		for _, u := range tier {
			if !yield(u) {
				return
			}
		}
	}
}

// Find returns the upstream with the given identifier, or nil.
func (p *Pool) Find(id string) *Upstream {
	for u := range p.All {
		if u.id == id {
			return u
		}
	}
	return nil
}

// RefreshStatistics updates the typical gap between tokens, a low quantile over the
// upstreams for which this VM has measured a gap, and whether any upstream runs batch
// work. It is called a few times a second.
func (p *Pool) RefreshStatistics() {
	var gaps []time.Duration
	batch := false
	for u := range p.All {
		batch = batch || u.gauge.Batch()+u.gauge.OwnerBatch() > 0
		if gap := u.gauge.Gap(); gap > 0 {
			gaps = append(gaps, gap)
		}
	}
	p.hasBatch.Store(batch)
	if len(gaps) == 0 {
		return
	}
	slices.Sort(gaps)
	p.typicalGap.Store(int64(gaps[(len(gaps)-1)/typicalGapDivisor]))
}

// HasBatch reports whether any of the upstreams ran batch work at the last
// RefreshStatistics, as far as this VM knows.
func (p *Pool) HasBatch() bool { return p.hasBatch.Load() }

// TypicalGap returns the typical time between two tokens of a stream, or 0 if unknown.
func (p *Pool) TypicalGap() time.Duration {
	return time.Duration(p.typicalGap.Load())
}
