package placer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
)

// An upstream joins while all VMs have items that wait. It runs only a few of them, and each that
// another VM starts there meanwhile is cut again. Reports take 1 ms in a region and 8 ms between two.
func TestFewVMsTakeTheSlotsOfAnUpstreamThatJoins(t *testing.T) {
	const (
		vms        = 42
		sequences  = 8
		maxStarted = 2 * sequences
		nearDelay  = time.Millisecond
		farDelay   = 8 * time.Millisecond
	)
	full := placer.Upstream{ID: "a0", Service: "other", Address: "x", Domain: "a", Sequences: sequences}
	joined := placer.Upstream{ID: "b0", Service: "lm", Address: "y", Domain: "b", Sequences: sequences}
	domainOf := func(vm int) string { return string(rune('a' + vm%3)) }
	var fleet []*placer.Placer
	for n := range vms {
		fleet = append(fleet, placer.New(fmt.Sprint("vm", n), domainOf(n), regions, placer.WithSeed(uint64(n))))
		fleet[n].SetUpstreams([]placer.Upstream{full})
		fleet[n].SetUpstreams([]placer.Upstream{full, joined})
	}
	started := make([]int, vms)
	inFlight := map[time.Time][]func(){}
	work := placer.BatchWork{Service: "lm", LatestStart: start.Add(time.Minute)}
	for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(time.Millisecond) {
		for _, deliver := range inFlight[now] {
			deliver()
		}
		for n, vm := range fleet {
			before := started[n]
			for {
				if _, found := vm.AcquireBatch(work, now); !found {
					break
				}
				started[n]++
			}
			if started[n] > before {
				report := vm.Report()
				for other := range fleet {
					due := now.Add(nearDelay)
					if regions[domainOf(n)] != regions[domainOf(other)] {
						due = now.Add(farDelay)
					}
					if other != n {
						inFlight[due] = append(inFlight[due], func() {
							fleet[other].ReceiveReport(fmt.Sprint("vm", n), report, due)
						})
					}
				}
			}
		}
	}
	total := 0
	for _, n := range started {
		total += n
	}
	qt.Check(t, total > 0 && total <= maxStarted, qt.IsTrue, qt.Commentf("%d items started", total))
}
