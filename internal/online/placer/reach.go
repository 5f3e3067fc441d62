package placer

import (
	"math"
	"time"
)

// In a large fleet, a VM learns at once only of changes on the upstreams of its subset. Batch
// work elsewhere would yield late to online requests, so it stays in the subset. But a subset
// may be unable to run work that the VM has accepted:
//
//   - Its domain has no upstreams of the service, or all of them are draining or of another
//     software version than the one that has begun the work. The work leaves at once.
//   - Its upstreams are full, fail or are rate-limited for long. The work leaves after a wait.
//
// Otherwise the work would wait until it expires while other domains are idle.

// leaveInterval is the least time between two batch slots that a VM acquires outside its
// subset. All VMs of its domain may do the same, and each learns only from the next summary
// what the others have sent.
const leaveInterval = 250 * time.Millisecond

// reach is where a VM's batch work may run.
type reach uint8

const (
	reachSubset reach = iota // in the VM's subset of its domain's upstreams
	reachAll
)

// batchReach returns where the VM's batch work may run if nothing is known of the work. The
// caller must hold mu.
func (p *Placer) batchReach() reach {
	if p.largeFleet {
		return reachSubset
	}
	return reachAll
}

// mayLeaveSubset returns whether batch work that no upstream of the subset can run now may run
// outside it. The caller must hold mu.
func (p *Placer) mayLeaveSubset(work BatchWork, found Obstacles, now time.Time) bool {
	if now.Before(p.nextLeaveAt) {
		return false
	}
	return !found.passing() || work.mayLeave(now)
}

// mayLeave returns whether the work has waited for its subset long enough.
func (w BatchWork) mayLeave(now time.Time) bool {
	return !w.LeaveSubsetAt.IsZero() && !now.Before(w.LeaveSubsetAt)
}

// rankedCapacity returns the capacity by which upstreams of a tier are ranked for batch work.
// In a large fleet, that of an upstream outside the subset is a random number: all VMs of the
// domain have received the same summaries, and would send their work to the same upstream.
func (p *Placer) rankedCapacity(u *upstream, now time.Time) int {
	if p.largeFleet && u.tier != TierDomain {
		return p.random.IntN(math.MaxInt32)
	}
	return u.batchCapacity(now)
}
