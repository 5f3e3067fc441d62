package placer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// remoteCapacityDivisor sets the batch capacity that an upstream of another region
	// must have, as a divisor of its sequences: traffic between regions is expensive,
	// and the VMs there learn late of requests from this region.
	remoteCapacityDivisor = 2
	// onlineReserve is the number of slots on each upstream that batch work leaves
	// free, so that an online request need not wait for batch work to yield.
	onlineReserve = 1
)

// BatchWork describes a batch item that needs a slot.
type BatchWork struct {
	Service string
	Avoid   map[string]bool // upstreams that have just rejected it
	// Versions are the software versions that may run the item; empty for any.
	Versions []string
	// LeaveSubsetAt is the time from which the work accepts a slot outside the VM's subset of
	// a large fleet although the subset has upstreams that could run it; zero for never.
	LeaveSubsetAt time.Time
	// LatestStart is the latest time at which the item can start and still finish in
	// time.
	LatestStart time.Time
}

// urgency ranks batch work by how soon it must start; a higher value is more urgent.
type urgency uint8

const (
	urgencyLate urgency = iota // it can no longer finish in time
	urgencyNormal
	urgencySoon
	urgencyCount
)

// soonWindow is how long before its latest start batch work becomes urgent.
const soonWindow = 6 * time.Second

func (w BatchWork) urgency(now time.Time) urgency {
	switch left := w.LatestStart.Sub(now); {
	case left < 0:
		return urgencyLate
	case left < soonWindow:
		return urgencySoon
	default:
		return urgencyNormal
	}
}

// AcquireBatch acquires a slot for batch work: on the nearest tier that has capacity
// beyond the online reserve, and there on an upstream with a rate limit, of which a long item
// uses up little, or else on the upstream with the most capacity. Upstreams that are
// slow or have recently failed are not eligible, nor, in a large fleet, are those outside
// the VM's subset, as long as the subset can run the work. AcquireBatch returns false if no
// upstream is eligible.
func (p *Placer) AcquireBatch(work BatchWork, now time.Time) (*Slot, bool) {
	slot, found := p.acquireBatch(work, now)
	if found {
		p.onChange(Change{Upstream: slot.info.ID, Domain: slot.info.Domain})
	}
	return slot, found
}

func (p *Placer) acquireBatch(work BatchWork, now time.Time) (*Slot, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotation++
	reach := p.batchReach()
	best, obstacles := p.bestForBatch(work, reach, now)
	if best == nil && reach == reachSubset && p.mayLeaveSubset(work, obstacles, now) {
		if best, _ = p.bestForBatch(work, reachAll, now); best != nil {
			p.nextLeaveAt = now.Add(leaveInterval)
		}
	}
	if best == nil {
		return nil, false
	}
	best.localCount.Batch++
	p.limiter.RecordSend(best.ID, true, now)
	slot := &Slot{upstream: best, info: p.describe(best, now), acquiredAt: now, isBatch: true, urgency: work.urgency(now)}
	best.batchSlots = append(best.batchSlots, slot)
	return slot, true
}

// bestForBatch returns the best upstream for batch work within a reach, or nil, and why the
// others are not eligible. If so many are faulty that the fault is assumed to be elsewhere, the work
// may run there. The caller must hold mu.
func (p *Placer) bestForBatch(work BatchWork, r reach, now time.Time) (*upstream, Obstacles) {
	var best, bestFaulty candidate
	var obstacles Obstacles
	members := p.byService[work.Service]
	for i := range members {
		u := members[(i+p.rotation)%len(members)]
		found := p.batchObstacle(u, work, r, now)
		obstacles.counts[found]++
		switch found {
		case obstacleNone:
			best.improve(u, p.batchRank(u, now))
		case obstacleFaulty:
			bestFaulty.improve(u, p.batchRank(u, now))
		}
	}
	obstacles.counts[obstacleNone] = 0
	if best.upstream == nil && obstacles.counts[obstacleFaulty] > max(1, len(members)/failingDivisor) {
		best = bestFaulty
	}
	return best.upstream, obstacles
}

// candidate is the best upstream for batch work found so far.
type candidate struct {
	upstream *upstream
	rank     batchRank
}

func (c *candidate) improve(u *upstream, rank batchRank) {
	if c.upstream == nil || rank.isBefore(c.rank) {
		c.upstream, c.rank = u, rank
	}
}

// batchRank returns the rank of an upstream for batch work. The caller must hold mu.
func (p *Placer) batchRank(u *upstream, now time.Time) batchRank {
	return batchRank{tier: u.tier, isLimited: p.limiter.IsLimited(u.ID), capacity: p.rankedCapacity(u, now)}
}

// batchRank is what decides which upstream batch work prefers.
type batchRank struct {
	tier      Tier
	isLimited bool
	capacity  int
}

func (r batchRank) isBefore(other batchRank) bool {
	switch {
	case r.tier != other.tier:
		return r.tier < other.tier
	case r.isLimited != other.isLimited:
		return r.isLimited
	default:
		return r.capacity > other.capacity
	}
}

// batchDelaySpread is the range over which the batch delays of VMs are spread.
const batchDelaySpread = 12 * time.Millisecond

// batchDelay returns how long an upstream must have had batch capacity before a VM
// acquires a slot there. The delay differs between VMs: otherwise all that see a slot
// become free would acquire it at once, and most of them would have to yield again.
func batchDelay(vm, upstream string) time.Duration {
	return time.Duration(xxhash.Sum64String(vm+"/"+upstream) % uint64(batchDelaySpread))
}

// batchCapacity returns the number of slots available to batch work. It is negative if
// load exceeds the slots beyond the reserve.
func (u *upstream) batchCapacity(now time.Time) int { return u.batchSequences() - u.load(now) }

// batchSequences returns the number of slots beyond the reserve. An upstream with a single one has
// no reserve, as it would never run batch work.
func (u *upstream) batchSequences() int { return max(u.Sequences-onlineReserve, 1) }

// updateLastFull records the current time if the upstream has too little capacity for
// batch work, or has just joined the others: all VMs would take its slots at once otherwise.
func (u *upstream) updateLastFull(now time.Time) {
	if u.hasJoined || u.batchCapacity(now) < minBatchCapacity(u) {
		u.lastFullAt = now
	}
	u.hasJoined = false
}

// hasBatchCapacity reports whether the upstream has had capacity for this VM's batch
// work for long enough. Less urgent work waits longer, so that VMs with urgent work
// come first.
func (u *upstream) hasBatchCapacity(level urgency, now time.Time) bool {
	u.updateLastFull(now)
	return now.Sub(u.lastFullAt) > u.startDelay(level)
}

// startDelay returns how long an upstream must have had capacity before batch work starts there. VMs
// of other domains and regions learn later that a slot has been taken, so they wait longer.
func (u *upstream) startDelay(level urgency) time.Duration {
	delay := u.batchDelay + time.Duration(urgencyCount-1-level)*batchDelaySpread
	switch u.tier {
	case TierRegion, TierOutsideSubset:
		return batchDelaySpread + delay
	case TierRemote:
		return 2 * (batchDelaySpread + delay)
	default:
		return delay
	}
}

// minBatchCapacity returns the batch capacity that an upstream must have to receive
// batch work: more in the tiers whose VMs learn later of requests from this VM.
func minBatchCapacity(u *upstream) int {
	switch u.tier {
	case TierRemote:
		return max(u.Sequences/remoteCapacityDivisor, 1)
	case TierRegion, TierOutsideSubset:
		return min(2, u.batchSequences())
	case TierDomain:
		return 1
	default:
		return 1
	}
}
