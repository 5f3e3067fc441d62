package placer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
)

// fleetOf returns the given number of VMs in each domain.
func fleetOf(each int, domains ...string) map[string][]string {
	vms := map[string][]string{}
	for _, domain := range domains {
		for n := range each {
			vms[domain] = append(vms[domain], fmt.Sprint(domain, "-vm", n))
		}
	}
	return vms
}

// preferredBy returns the upstreams that online work goes to while all have free
// slots.
func preferredBy(t *testing.T, p *placer.Placer) []string {
	t.Helper()
	preferred := map[string]bool{}
	for range 300 {
		slot, err := p.AcquireOnline(onlineWork, start)
		qt.Assert(t, err, qt.IsNil)
		preferred[slot.Upstream().ID] = true
		p.Release(slot, start)
	}
	var ids []string
	for id := range preferred {
		ids = append(ids, id)
	}
	return ids
}

func TestVMOfALargeFleetPrefersItsSubset(t *testing.T) {
	list := testUpstreams(27, "a", "b", "c")
	for _, size := range []struct{ each, want int }{{16, 27}, {32, 27}, {33, 14}, {49, 9}} {
		t.Run(fmt.Sprint(size.each, " VMs a domain"), func(t *testing.T) {
			p := newPlacer("a-vm0", list)
			p.SetVMs(fleetOf(size.each, "a", "b", "c"))
			preferred := preferredBy(t, p)
			qt.Check(t, preferred, qt.HasLen, size.want)
			for _, id := range preferred {
				vms, all := p.Subscribers(id)
				qt.Check(t, all || slices.Contains(vms, "a-vm0"), qt.IsTrue)
			}
		})
	}
}

// When load steps up and the subset is full, work goes to the domain whose summary
// reports free slots.
func TestFullSubsetOverflowsToADomainWithFreeSlots(t *testing.T) {
	list := testUpstreams(6, "a", "b")
	p := newPlacer("a-vm0", list)
	p.SetVMs(fleetOf(60, "a", "b"))
	full, free := placer.Report{}, placer.Summary{}
	for _, u := range list {
		if u.Domain == "a" {
			full[u.ID] = placer.Count{Online: 5}
		} else {
			free[u.ID] = placer.Count{}
		}
	}
	p.ReceiveReport("a-vm1", full, start)
	p.ReceiveSummary(free, start)
	slot, err := p.AcquireOnline(onlineWork, start)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, slot.Upstream().Domain, qt.Equals, "b")
	for id := range free {
		free[id] = placer.Count{Online: 9}
	}
	p.ReceiveSummary(free, start)
	slot, err = p.AcquireOnline(onlineWork, start)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, slot.Upstream().Domain, qt.Equals, "a", qt.Commentf("the other domain is full too"))
}

// A VM that does not subscribe to an upstream learns too late that its batch work must
// yield there.
func TestBatchWorkOfALargeFleetStaysInTheSubset(t *testing.T) {
	p := newPlacer("a-vm0", testUpstreams(27, "a", "b"))
	p.SetVMs(fleetOf(60, "a", "b"))
	preferred := preferredBy(t, p)
	now := start.Add(time.Second)
	for range 100 {
		slot, found := p.AcquireBatch(placer.BatchWork{Service: "lm", LatestStart: now}, now)
		if !found {
			break
		}
		qt.Check(t, preferred, qt.Contains, slot.Upstream().ID)
	}
}
