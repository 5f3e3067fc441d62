package experimenter

import (
	"context"
	"fmt"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/membersimulator"
)

var membership = Experiment{
	Name:    "membership",
	Summary: "ways to notice a lost VM: list alone, probes, ring neighbours, all to all",
	run:     runMembership,
}

const (
	memberTick    = 50 * time.Millisecond
	memberWarm    = 10 * time.Second
	memberLimit   = 60 * time.Second
	ringNeighbors = 2
)

func runMembership(_ context.Context, p Parameters) (Result, error) {
	result := Result{Policies: map[string]Metrics{}, VMs: 240}
	detectors := map[string]func(n int, seed uint64) membersimulator.Fleet{
		"probes":   membersimulator.NewProbes,
		"allToAll": func(n int, _ uint64) membersimulator.Fleet { return membersimulator.NewHeartbeats(n, n-1) },
		"ring":     func(n int, _ uint64) membersimulator.Fleet { return membersimulator.NewHeartbeats(n, ringNeighbors) },
		"list":     func(n int, _ uint64) membersimulator.Fleet { return membersimulator.NewList(n) },
	}
	for _, n := range []int{12, 60, 240} {
		for name, build := range detectors {
			metrics, err := measureMembers(build(n, p.Seed), n)
			if err != nil {
				return result, err
			}
			result.Policies[fmt.Sprintf("%s%03d", name, n)] = metrics
		}
	}
	result.Criteria = []Criterion{
		atMost("kilobytes a second of a VM by probes at 240", 5, result.Policies["probes240"]["kilobytesPerSecondPerVM"]),
	}
	return result, nil
}

// measureMembers makes one of n VMs fail and measures the time until all others have
// detected it. The traffic is that of the warm-up before the failure.
func measureMembers(f membersimulator.Fleet, n int) (Metrics, error) {
	now := time.Unix(1000, 0)
	for end := now.Add(memberWarm); now.Before(end); now = now.Add(memberTick) {
		f.Tick(now)
	}
	messages, bytes := f.Cost()
	f.Fail(1)
	lost := now
	for f.Detected(1) < n-1 {
		if now.Sub(lost) > memberLimit {
			return nil, fmt.Errorf("not all of %d VMs detected the loss", n)
		}
		f.Tick(now)
		now = now.Add(memberTick)
	}
	perVM := memberWarm.Seconds() * float64(n)
	return Metrics{
		"messagesPerSecondPerVM":  float64(messages) / perVM,
		"kilobytesPerSecondPerVM": float64(bytes) / bytesPerKilobyte / perVM,
		"noticedSeconds":          now.Sub(lost).Seconds(),
	}, nil
}
