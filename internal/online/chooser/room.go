package chooser

import (
	"math/rand/v2"
	"time"
)

// headroomShare is the part, as a divisor, of a domain's sequences that callers
// over their share leave to others.
const headroomShare = 16

// Standing tells how a caller's running requests compare to its share.
type Standing uint8

// The standings of a caller.
const (
	// StandingSoleCaller callers share with no other.
	StandingSoleCaller Standing = iota
	// StandingUnderShare callers have less than their share.
	StandingUnderShare
	// StandingOverShare callers have their share or more.
	StandingOverShare
)

// occupancy is how full the upstreams are, as far as this VM knows.
type occupancy struct {
	free     int // on all upstreams
	capacity int // of this domain's upstreams, as are the next two
	own      int
	others   int
}

func (p *Pool) occupancy(now time.Time) occupancy {
	var o occupancy
	for u := range p.All {
		o.free += u.FreeSlots(now)
		if u.tier == TierDomain && u.gauge.Usable(now) {
			o.capacity += u.sequences
			o.own += u.gauge.Online()
			o.others += u.gauge.PeerOnline()
		}
	}
	return o
}

// CapacityQuery is what a request needs of the upstreams.
type CapacityQuery struct {
	// Starting is the number of requests that were let in but have not started yet.
	Starting int
	// Standing is the caller's.
	Standing Standing
	// RemoteChange tells that the VM asks because it heard of other VMs' requests, and
	// not because one of its own is over or has just come.
	RemoteChange bool
}

// HasCapacity tells whether the upstreams can take one more online request.
//
// On full upstreams, whoever ends a request sees its place before others do,
// and when others hear of it, all of them do at once. These rules keep the VMs
// from taking the same place, and a caller with many requests from taking all:
//
//   - A caller over its share leaves a few places free for others, who then find
//     them without waiting.
//   - It takes a place beyond those only up to its VM's equal quota of
//     the domain. Beyond its quota, there must be a place for each VM that could
//     take one at the same time.
//   - A VM that has only heard of a place leaves it to chance whether it takes
//     it. Without this, all VMs below their quotas take it at once, the upstreams
//     are over full, and all VMs fall below their quotas again.
//
// For example, 4 VMs on 32 sequences leave 2 free and have quotas of 8, 8, 7
// and 7. A VM with 7 of its 7 whose request ends takes its place again, as no other
// VM is below its quota.
func (p *Pool) HasCapacity(need CapacityQuery, now time.Time) bool {
	o := p.occupancy(now)
	if o.capacity == 0 {
		return true // a domain without upstreams of its own can only try others'
	}
	o.free -= need.Starting
	o.own += need.Starting
	if o.free <= 0 || need.Standing == StandingUnderShare {
		return o.free > 0
	}
	headroom := max(1, o.capacity/headroomShare)
	contenders := min(p.vms-1, o.others)
	if need.Standing == StandingSoleCaller && o.own < p.quota(o.capacity) {
		return true // a lone caller has the whole quota to itself
	}
	if need.Standing == StandingOverShare && o.own < p.quota(o.capacity-headroom) {
		taken := need.RemoteChange && rand.IntN(contenders+1) > 0
		return o.free > headroom && !taken
	}
	return o.free > headroom+contenders
}

// quota returns this VM's equal share of so many places. The first VMs get one
// more each if the places can't be shared out evenly.
func (p *Pool) quota(places int) int {
	quota := places / p.vms
	if p.rank < places%p.vms {
		quota++
	}
	return quota
}
