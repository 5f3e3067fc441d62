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

// largeFleetWork is batch work that has not waited for a slot yet.
var largeFleetWork = placer.BatchWork{
	Service: "lm", Versions: []string{""}, LatestStart: start.Add(10 * time.Second), LeaveSubsetAt: start.Add(10 * time.Second),
}

// Guards against: in a fleet of more than 96 VMs, jobs accepted in a domain whose upstreams are
// gone, draining or of other software versions never run, though other domains are idle.
func TestBatchWorkLeavesASubsetThatCanNotRunIt(t *testing.T) {
	with := func(change func(*placer.Upstream)) []placer.Upstream {
		list := testUpstreams(9, "a", "b")
		for i := range list {
			list[i].Sequences = 7
			if list[i].Domain == "a" {
				change(&list[i])
			}
		}
		return list
	}
	for name, list := range map[string][]placer.Upstream{
		"gone":     with(func(*placer.Upstream) {})[9:],
		"draining": with(func(u *placer.Upstream) { u.Draining = true }),
		"version":  with(func(u *placer.Upstream) { u.Version = "v2" }),
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlacer("a-vm0", list)
			p.SetVMs(fleetOf(60, "a", "b"))
			slot, found := p.AcquireBatch(largeFleetWork, start.Add(time.Second))
			qt.Assert(t, found, qt.IsTrue)
			qt.Check(t, slot.Upstream().Domain, qt.Equals, "b")
		})
	}
}

// Guards against: in a fleet of more than 96 VMs, jobs wait for ever in a domain whose few upstreams
// are full or fail, though other domains are idle.
func TestBatchWorkLeavesAFullSubsetWhenItHasWaitedLong(t *testing.T) {
	p := newPlacer("a-vm0", testUpstreams(9, "a", "b"))
	p.SetVMs(fleetOf(60, "a", "b"))
	full := placer.Report{}
	for n := range 9 {
		full[fmt.Sprint("a", n)] = placer.Count{Online: 2}
	}
	p.ReceiveReport("a-vm1", full, start)
	list := testUpstreams(9, "a", "b")
	for i := range list {
		list[i].Sequences = 7
		if list[i].Domain == "a" {
			list[i].Sequences = 2
		}
	}
	p.SetUpstreams(list)
	_, found := p.AcquireBatch(largeFleetWork, start.Add(time.Second))
	qt.Check(t, found, qt.IsFalse, qt.Commentf("work that has just come waits"))
	slot, found := p.AcquireBatch(largeFleetWork, largeFleetWork.LeaveSubsetAt)
	qt.Assert(t, found, qt.IsTrue)
	qt.Check(t, slot.Upstream().Domain, qt.Equals, "b")
}

// The VMs of a domain learn late what each has sent to another one, so each sends little.
func TestBatchWorkLeavesTheSubsetOnePerInterval(t *testing.T) {
	list := testUpstreams(9, "b")
	for i := range list {
		list[i].Sequences = 7
	}
	p := newPlacer("a-vm0", list)
	p.SetVMs(fleetOf(60, "a", "b"))
	count := 0
	for at := time.Duration(0); at < time.Second; at += 10 * time.Millisecond {
		if _, found := p.AcquireBatch(largeFleetWork, start.Add(time.Second+at)); found {
			count++
		}
	}
	qt.Check(t, count, qt.Equals, 4)
}
