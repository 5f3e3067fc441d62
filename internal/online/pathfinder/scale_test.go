package pathfinder_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// scaleVMs is the size of the largest fleet; 1200 takes minutes.
var scaleVMs = flag.Int("scale.vms", 300, "the number of VMs of the largest fleet")

// maxShare is how many times the mean one VM may carry.
const maxShare = 8

// carried is what a fleet does for VMs without links.
type carried struct {
	connections, failed int
	times               []time.Duration
	loads               []int // connections carried, by VM with links
}

// carry makes each VM without links dial upstreams, one every 50 ms, after a second in which it finds out
// which peer VMs have links.
func (f *fleet) carry(upstreams, rounds int) carried {
	const warmUp = 20
	c := carried{}
	for round := range warmUp + rounds {
		if round == warmUp {
			f.mu.Lock()
			clear(f.dials)
			f.mu.Unlock()
		}
		for vm := range f.finders {
			if f.lost[vm] == nil {
				continue
			}
			began := time.Now()
			conn, err := f.finders[vm].Dial(context.Background(), "tcp", addressOf((round*7+vm)%upstreams))
			if err == nil {
				_ = conn.Close()
			}
			if round < warmUp {
				continue
			}
			c.connections++
			c.times = append(c.times, time.Since(began))
			if err != nil {
				c.failed++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for vm := range f.finders {
		if f.lost[vm] == nil {
			c.loads = append(c.loads, f.dials[vm])
		}
	}
	slices.Sort(c.times)
	slices.Sort(c.loads)
	return c
}

// Guards against: in a large fleet, VMs without links ask many others in vain, or crowd few of those that
// carry for them.
func TestCarryingAtScale(t *testing.T) {
	expectCarried := func(t *testing.T, vms, domains int, isLost func(vm int) bool) {
		const upstreams, rounds = 20, 20
		f := newFleetOf(t, vms, upstreams, domains)
		for vm := range vms {
			if isLost(vm) {
				f.lost[vm] = syscall.ECONNREFUSED
			}
		}
		c := f.carry(upstreams, rounds)
		mean := max(c.connections/len(c.loads), 1)
		p99, most := c.times[len(c.times)*99/100], c.loads[len(c.loads)-1]
		t.Logf("%d connections, %d failed, 99th percentile %v; carried by VMs with links: %d on average, %d at most",
			c.connections, c.failed, p99, mean, most)
		qt.Check(t, c.failed*100 <= c.connections, qt.IsTrue)
		qt.Check(t, p99 <= 100*time.Millisecond, qt.IsTrue)
		qt.Check(t, most <= maxShare*mean, qt.IsTrue)
	}
	for _, vms := range []int{12, 60, *scaleVMs} {
		inBubble(t, fmt.Sprint("one domain of ", vms), func(t *testing.T) {
			expectCarried(t, vms, 3, func(vm int) bool { return vm%3 == 0 })
		})
		inBubble(t, fmt.Sprint("most of ", vms), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(vms)))
			expectCarried(t, vms, 3, func(vm int) bool { return vm != 1 && random.IntN(10) < 7 })
		})
	}
}
