package subsetter_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/subsetter"
)

func names(prefix string, n int) []string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprint(prefix, i))
	}
	return all
}

func TestSmallDomainHasNoSubsets(t *testing.T) {
	subscribers := subsetter.Subscribers(names("vm", 14), names("u", 15))
	for _, vms := range subscribers {
		qt.Check(t, vms, qt.HasLen, 14)
	}
	qt.Check(t, subscribers, qt.HasLen, 15)
}

func TestSubsetsOfALargeDomain(t *testing.T) {
	for _, size := range []struct{ vms, upstreams int }{{49, 27}, {240, 760}, {60, 3}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			upstreams := names("u", size.upstreams)
			subscribers := subsetter.Subscribers(names("vm", size.vms), upstreams)
			subsetSizes, subscriptions := map[string]int{}, 0
			for _, vms := range subscribers {
				subscriptions += len(vms)
				for _, vm := range vms {
					subsetSizes[vm]++
				}
			}
			qt.Check(t, subsetSizes, qt.HasLen, size.vms)
			for _, n := range subsetSizes {
				qt.Check(t, n, qt.Equals, subsetter.SubsetSize(size.vms, size.upstreams))
			}
			for _, u := range upstreams {
				qt.Check(t, len(subscribers[u]) > 0, qt.IsTrue, qt.Commentf("%s has no subscribers", u))
			}
		})
	}
}

// If a VM is removed and the size of subsets stays the same, the subsets of the other VMs
// must not change.
func TestSubsetsAreStableWhenAVMIsRemoved(t *testing.T) {
	vms, upstreams := names("vm", 49), names("u", 27)
	before, after := subsetter.Subscribers(vms, upstreams), subsetter.Subscribers(vms[1:], upstreams)
	for _, u := range upstreams {
		kept := slices.DeleteFunc(slices.Clone(before[u]), func(vm string) bool { return vm == vms[0] })
		qt.Check(t, after[u], qt.DeepEquals, kept)
	}
}
