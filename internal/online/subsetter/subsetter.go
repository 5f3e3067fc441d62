// Package subsetter decides which VMs of a failure domain share the knowledge of
// which of its upstreams.
//
// In a large domain not every VM can be told of every change on every upstream:
// what is told would grow with the square of the fleet. So each VM has a subset
// of the domain's upstreams, which it prefers, and the VMs that have an upstream
// in their subsets are its audience: they alone are told of a change there at
// once. A subset is drawn by hashing, each VM another one. Disjoint groups would
// be simpler, but then each would stand alone when its own upstreams are full;
// overlapping subsets let load even out over all of the domain.
package subsetter

import "github.com/fescuespindle/fescuespindle/internal/plumbing/weigher"

const (
	// SubsettingThreshold is the number of VMs of a domain up to which all of them share the
	// knowledge of all of its upstreams.
	SubsettingThreshold = 16
	// audience is the mean number of VMs that share the knowledge of an upstream in
	// a larger domain.
	audience = 16
	// minSubset is the number of upstreams that a VM has at least, if there are as
	// many, so that it has a choice.
	minSubset = 4
)

// Subscribers returns the VMs that have each upstream in their subsets. The VMs and
// the upstreams are those of one failure domain, the upstreams of one service.
func Subscribers(vms, upstreams []string) map[string][]string {
	size := SubsetSize(len(vms), len(upstreams))
	audiences := make(map[string][]string, len(upstreams))
	for _, vm := range vms {
		for _, u := range subset(vm, upstreams, size) {
			audiences[u] = append(audiences[u], vm)
		}
	}
	return audiences
}

// SubsetSize returns how many of a domain's upstreams are in the subset of a VM.
func SubsetSize(vms, upstreams int) int {
	if vms <= SubsettingThreshold {
		return upstreams
	}
	mean := (audience*upstreams + vms - 1) / vms
	return min(max(mean, minSubset), upstreams)
}

// subset returns the upstreams that come first for a VM.
func subset(vm string, upstreams []string, size int) []string {
	if size == len(upstreams) {
		return upstreams
	}
	return weigher.Order(vm, upstreams)[:size]
}
