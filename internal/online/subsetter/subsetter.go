// Package subsetter assigns subsets of a failure domain's upstreams to its VMs.
//
// In a large domain not every VM can receive every change on every upstream: the
// number of messages would grow with the square of the fleet. Each VM therefore has a
// subset of the domain's upstreams, which it prefers, and the VMs that have an
// upstream in their subsets are its subscribers: only they are notified of a change
// there at once. Subsets are chosen by hashing and differ between VMs. Disjoint groups
// would be simpler, but a group could not use other upstreams when its own are full;
// overlapping subsets let load spread over the whole domain.
package subsetter

import "github.com/fescuespindle/fescuespindle/internal/plumbing/weigher"

const (
	// SubsettingThreshold is the number of VMs of a domain up to which all of them
	// subscribe to all of its upstreams.
	SubsettingThreshold = 16
	// meanSubscribers is the mean number of subscribers of an upstream in a larger
	// domain.
	meanSubscribers = 16
	// minSubsetSize is the least number of upstreams of a subset, if there are as many,
	// so that a VM has a choice.
	minSubsetSize = 4
)

// Subscribers returns the VMs that have each upstream in their subsets. The VMs must
// be those of one failure domain, and the upstreams those of one service in it.
func Subscribers(vms, upstreams []string) map[string][]string {
	size := SubsetSize(len(vms), len(upstreams))
	subscribers := make(map[string][]string, len(upstreams))
	for _, vm := range vms {
		for _, u := range subset(vm, upstreams, size) {
			subscribers[u] = append(subscribers[u], vm)
		}
	}
	return subscribers
}

// SubsetSize returns how many of a domain's upstreams are in the subset of a VM.
func SubsetSize(vms, upstreams int) int {
	if vms <= SubsettingThreshold {
		return upstreams
	}
	mean := (meanSubscribers*upstreams + vms - 1) / vms
	return min(max(mean, minSubsetSize), upstreams)
}

// subset returns the upstreams that rank first for a VM.
func subset(vm string, upstreams []string, size int) []string {
	if size == len(upstreams) {
		return upstreams
	}
	return weigher.Order(vm, upstreams)[:size]
}
