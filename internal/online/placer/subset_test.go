package placer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
)

// fleetOf returns so many VMs of each domain.
func fleetOf(each int, domains ...string) map[string][]string {
	vms := map[string][]string{}
	for _, domain := range domains {
		for n := range each {
			vms[domain] = append(vms[domain], fmt.Sprint(domain, "-vm", n))
		}
	}
	return vms
}

// nearOf returns the upstreams that online work goes to while all are free.
func nearOf(t *testing.T, p *placer.Placer) []string {
	t.Helper()
	near := map[string]bool{}
	for range 300 {
		place, err := p.AcquireOnline(onlineWork, start)
		qt.Assert(t, err, qt.IsNil)
		near[place.Upstream().ID] = true
		p.Release(place, start)
	}
	var ids []string
	for id := range near {
		ids = append(ids, id)
	}
	return ids
}

func TestAVMOfALargeFleetPrefersItsSubset(t *testing.T) {
	list := engines(27, "a", "b", "c")
	for _, size := range []struct{ each, want int }{{16, 27}, {32, 27}, {33, 14}, {49, 9}} {
		t.Run(fmt.Sprint(size.each, " VMs a domain"), func(t *testing.T) {
			p := newPlacer("a-vm0", list)
			p.SetVMs(fleetOf(size.each, "a", "b", "c"))
			near := nearOf(t, p)
			qt.Check(t, near, qt.HasLen, size.want)
			for _, id := range near {
				vms, all := p.Subscribers(id)
				qt.Check(t, all || slices.Contains(vms, "a-vm0"), qt.IsTrue)
			}
		})
	}
}

// The subset is full at a step up: work goes where a summary says there is room.
func TestAStepUpLeavesAFullSubsetForADomainWithRoom(t *testing.T) {
	list := engines(6, "a", "b")
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
	place, err := p.AcquireOnline(onlineWork, start)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, place.Upstream().Domain, qt.Equals, "b")
	for id := range free {
		free[id] = placer.Count{Online: 9}
	}
	p.ReceiveSummary(free, start)
	place, err = p.AcquireOnline(onlineWork, start)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, place.Upstream().Domain, qt.Equals, "a", qt.Commentf("the other domain is full too"))
}

// A VM outside of an upstream's audience doesn't hear that it must give way there.
func TestBatchWorkOfALargeFleetStaysInTheSubset(t *testing.T) {
	p := newPlacer("a-vm0", engines(27, "a", "b"))
	p.SetVMs(fleetOf(60, "a", "b"))
	near := nearOf(t, p)
	now := start.Add(time.Second)
	for range 100 {
		place, found := p.AcquireBatch(placer.BatchWork{Service: "lm", LatestStart: now}, now)
		if !found {
			break
		}
		qt.Check(t, near, qt.Contains, place.Upstream().ID)
	}
}
