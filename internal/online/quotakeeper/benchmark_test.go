package quotakeeper_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/online/quotakeeper"
)

// largeKeeper returns the Keeper of a VM of a large fleet, and its teams.
func largeKeeper(vms, teams int) (*quotakeeper.Keeper, []string) {
	var members []quotakeeper.Member
	for n := range vms {
		members = append(members, quotakeeper.Member{VM: fmt.Sprint("vm", n), Domain: fmt.Sprint("domain", n%domains)})
	}
	limits := map[string]quotakeeper.Limit{}
	var names []string
	for n := range teams {
		names = append(names, fmt.Sprint("team", n))
		limits[names[n]] = quotakeeper.Limit{PerSecond: 1e6, Burst: 1e6}
	}
	k := quotakeeper.New(members[0], 1, quotakeeper.Terms{Window: 5 * time.Second, Overage: 0.1, Slack: 20})
	k.SetLimits(limits, start)
	k.SetMembers(members)
	return k, names
}

var fleetSizes = []struct{ vms, teams int }{{68, 76}, {300, 1000}, {1200, 4700}}

// BenchmarkRequest measures a request at the VM that admits it: the decision, the report and the answer.
func BenchmarkRequest(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("%d VMs, %d teams", size.vms, size.teams), func(b *testing.B) {
			k, teams := largeKeeper(size.vms, size.teams)
			bytes, n := 0, 0
			for b.Loop() {
				now := start.Add(time.Duration(n) * time.Millisecond)
				k.Admit(teams[n%len(teams)], now)
				envelopes, _ := k.Step(now)
				for _, e := range envelopes {
					data, _ := cbor.Marshal(e.Message)
					bytes += len(data)
					k.Receive(e.To, answerTo(e.Message), now)
				}
				n++
			}
			b.ReportMetric(float64(bytes)/float64(n), "B/report")
		})
	}
}

// answerTo returns the answer of a keeper that counts all.
func answerTo(m quotakeeper.Message) quotakeeper.Message {
	var answer quotakeeper.Message
	for _, r := range m.Reports {
		answer.Verdicts = append(answer.Verdicts, quotakeeper.Verdict{Team: r.Team, Series: r.Series, Total: r.Total, Tokens: 9, Fullness: 1})
	}
	return answer
}

// BenchmarkReport measures a report at the keeper, with the answer.
func BenchmarkReport(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("%d VMs, %d teams", size.vms, size.teams), func(b *testing.B) {
			k, _ := largeKeeper(size.vms, size.teams)
			bytes, n := 0, 0
			for b.Loop() {
				now := start.Add(time.Duration(n) * time.Millisecond)
				total := quotakeeper.Total{Admitted: uint64(n/size.vms + 1)}
				report := quotakeeper.Report{Team: "team1", Series: 1, Total: total, Pending: 1}
				k.Receive(fmt.Sprint("vm", 1+n%(size.vms-1)), quotakeeper.Message{Reports: []quotakeeper.Report{report}}, now)
				envelopes, _ := k.Step(now)
				for _, e := range envelopes {
					data, _ := cbor.Marshal(e.Message)
					bytes += len(data)
				}
				n++
			}
			b.ReportMetric(float64(bytes)/float64(n), "B/answer")
		})
	}
}

// BenchmarkMemory measures the memory of a VM that has admitted requests of all teams and is the keeper of
// its part of them, each with reports of all VMs.
func BenchmarkMemory(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("%d VMs, %d teams", size.vms, size.teams), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				k, teams := largeKeeper(size.vms, size.teams)
				for _, team := range teams {
					k.Admit(team, start)
				}
				k.Step(start)
				for n := range max(size.teams/size.vms, 1) {
					for vm := range size.vms {
						report := quotakeeper.Report{Team: teams[n], Series: 1, Total: quotakeeper.Total{Admitted: 1}, Pending: 1}
						k.Receive(fmt.Sprint("vm", vm), quotakeeper.Message{Reports: []quotakeeper.Report{report}}, start)
					}
				}
				k.Step(start)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "B/VM")
				runtime.KeepAlive(k)
			}
		})
	}
}
