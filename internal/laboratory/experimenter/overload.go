package experimenter

import (
	"context"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/loadgenerator"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/sitebuilder"
	"github.com/fescuespindle/fescuespindle/internal/online/dispatcher"
)

var overload = Experiment{
	Name:    "overload",
	Summary: "twice what the fleet can do, most of it from a greedy caller",
	run:     runOverload,
}

const (
	overloadLength = 12 * time.Second
	overloadFactor = 2
	// modestShare is the share of the fleet's capacity that the modest caller needs.
	modestShare = 0.2
)

func runOverload(ctx context.Context, p Parameters) (Result, error) {
	result := Result{Policies: map[string]Metrics{}}
	for _, mode := range []string{"capacity", "modestAlone", "overloaded", "overloadedWithoutPausing"} {
		metrics := Metrics{}
		spec := sitebuilder.Trentvale()
		spec.VMOptions = []dispatcher.Option{dispatcher.WithPausing(mode != "overloadedWithoutPausing")}
		err := withBench(ctx, p, spec, func(b *bench) error {
			result.VMs, result.Upstreams = len(b.site.VMs), len(b.site.Engines)
			b.measureOverload(ctx, mode, metrics)
			return nil
		})
		if err != nil {
			return result, err
		}
		result.Policies[mode] = metrics
	}
	capacity, alone, over := result.Policies["capacity"], result.Policies["modestAlone"], result.Policies["overloaded"]
	result.Criteria = []Criterion{
		atLeast("goodput of capacity", 0.95, over["goodTokensPerSecond"]/capacity["goodTokensPerSecond"]),
		atMost("modest caller's first-token p99 of without the greedy one", 1.25,
			over["modestFirstTokenP99Milliseconds"]/alone["modestFirstTokenP99Milliseconds"]),
		atMost("modest caller's refusals", 0, over["modestRefusedCount"]),
	}
	return result, nil
}

// measureOverload measures one mode. Capacity is the throughput of a closed loop with
// one request per sequence at a time.
func (b *bench) measureOverload(ctx context.Context, mode string, metrics Metrics) {
	length := b.p.length(overloadLength)
	full := float64(b.sequences()) / (onlineTokens * engineStep.Seconds())
	started := time.Now()
	before := b.generated()
	var modest, greedy loadgenerator.Report
	var group sync.WaitGroup
	if mode == "capacity" {
		closing, cancel := context.WithTimeout(ctx, length)
		defer cancel()
		b.unmanaged(closing, b.sequences(), onlineTokens)
		metrics["goodTokensPerSecond"] = float64(b.generated()-before) / time.Since(started).Seconds()
		return
	}
	if mode != "modestAlone" {
		group.Go(func() {
			load := onlineLoad{
				rate: (overloadFactor - modestShare) * full, length: length, token: sitebuilder.GreedyToken,
				generate: b.short(promptWords, onlineTokens),
			}
			greedy = b.online(ctx, load).Class("short").Report("greedy")
		})
	}
	load := onlineLoad{rate: modestShare * full, length: length, generate: b.short(promptWords, onlineTokens)}
	modest = b.online(ctx, load).Class("short").Report("modest")
	group.Wait()
	metrics.addReport(modest, "modest")
	metrics.addReport(greedy, "greedy")
	metrics["goodTokensPerSecond"] = float64(modest.Tokens+greedy.Tokens) / time.Since(started).Seconds()
}
