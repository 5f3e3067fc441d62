package chooser

import (
	"math/rand/v2"
	"time"
)

// headroomDivisor sets the headroom that callers over their share leave to others: a
// domain's sequences divided by it, but at least one.
const headroomDivisor = 16

// Standing is how a caller's running requests compare to its fair share.
type Standing uint8

// The standings of a caller.
const (
	// StandingSoleCaller means that no other caller has used the VM's queue recently.
	StandingSoleCaller Standing = iota
	// StandingUnderShare means that the caller has less than its share.
	StandingUnderShare
	// StandingOverShare means that the caller has its share or more.
	StandingOverShare
)

// occupancy is how full the upstreams are, as far as this VM knows.
type occupancy struct {
	free        int // free slots of all upstreams
	capacity    int // sequences of the domain's usable upstreams
	localOnline int // online requests of this VM on them
	peerOnline  int // online requests of peer VMs on them
}

func (p *Pool) occupancy(now time.Time) occupancy {
	var o occupancy
	for u := range p.All {
		o.free += u.FreeSlots(now)
		if u.tier == TierDomain && u.gauge.Usable(now) {
			o.capacity += u.sequences
			o.localOnline += u.gauge.Online()
			o.peerOnline += u.gauge.PeerOnline()
		}
	}
	return o
}

// CapacityQuery asks whether one more online request can start.
type CapacityQuery struct {
	// Starting is the number of requests that were admitted, but that no gauge counts
	// yet.
	Starting int
	// Standing is the standing of the request's caller.
	Standing Standing
	// RemoteChange is set if a report of peer VMs' requests or a new pool caused the
	// query, and not a request of this VM that has arrived or ended.
	RemoteChange bool
}

// HasCapacity reports whether the upstreams can run one more online request.
//
// On saturated upstreams, the VM whose request ends sees the free slot first, and all
// peer VMs receive the report of it at the same time. These rules keep VMs from using
// the same slot, and a caller with many requests from using all of them:
//
//   - A caller with its share or more leaves the headroom free, so that other callers
//     find slots without waiting.
//   - Such a caller acquires further slots only up to its VM's quota, an equal part of
//     the domain's sequences without the headroom. Beyond the quota, there must be a
//     free slot for each peer VM that could acquire one at the same time.
//   - A VM that learns of a free slot from a report acquires it with a probability of
//     one in the number of contending VMs. Otherwise all VMs below their quotas would
//     acquire it at once, overload the upstreams, and all fall below their quotas again.
//
// For example, 4 VMs on 32 sequences leave a headroom of 2 and have quotas of 8, 8, 7
// and 7. A VM with 7 requests and a quota of 7 reuses the slot of a request that ends,
// as no peer VM is below its quota.
func (p *Pool) HasCapacity(query CapacityQuery, now time.Time) bool {
	o := p.occupancy(now)
	if o.capacity == 0 {
		return true // without usable upstreams in the domain, other tiers have to be tried
	}
	o.free -= query.Starting
	o.localOnline += query.Starting
	if o.free <= 0 || query.Standing == StandingUnderShare {
		return o.free > 0
	}
	headroom := max(1, o.capacity/headroomDivisor)
	contenders := min(p.vms-1, o.peerOnline)
	if query.Standing == StandingSoleCaller && o.localOnline < p.quota(o.capacity) {
		return true // a sole caller needs no headroom within its VM's quota
	}
	if query.Standing == StandingOverShare && o.localOnline < p.quota(o.capacity-headroom) {
		yields := query.RemoteChange && rand.IntN(contenders+1) > 0
		return o.free > headroom && !yields
	}
	return o.free > headroom+contenders
}

// quota returns this VM's equal share of a number of slots. The VMs of the lowest ranks
// get the remainder, one slot each.
func (p *Pool) quota(slots int) int {
	quota := slots / p.vms
	if p.vmRank < slots%p.vms {
		quota++
	}
	return quota
}
