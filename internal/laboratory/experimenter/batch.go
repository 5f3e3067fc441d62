package experimenter

import (
	"context"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/drawer"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/loadgenerator"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/sitebuilder"
)

var batchBesideOnline = Experiment{
	Name:    "batch-beside-online",
	Summary: "online tail and batch throughput: online alone, with batch managed, with batch unmanaged",
	run:     runBatchBesideOnline,
}

const (
	onlineTokens    = 32
	promptWords     = 24
	batchModeLength = 12 * time.Second
	// onlineShare is the share of all sequences that the online load occupies.
	onlineShare = 0.4
	batchTokens = 32
	// rampTime is the time that batch work gets to fill the engines.
	rampTime = 3 * time.Second
)

func runBatchBesideOnline(ctx context.Context, p Parameters) (Result, error) {
	result := Result{Policies: map[string]Metrics{}}
	length := p.length(batchModeLength)
	firsts := drawer.NewLatencies()
	for _, mode := range []string{"alone", "managed", "managedReserved", "unmanaged", "batchOnly"} {
		metrics := Metrics{}
		spec := sitebuilder.Authority()
		if mode != "managedReserved" {
			spec = spec.WithOnlineReserve(0)
		}
		err := withBench(ctx, p, spec, func(b *bench) error {
			result.VMs, result.Upstreams = len(b.site.VMs), len(b.site.Engines)
			b.firsts, b.policy = firsts, mode
			return b.measureBatchMode(ctx, mode, length, metrics)
		})
		if err != nil {
			return result, err
		}
		result.Policies[mode] = metrics
	}
	evaluateBatchModes(&result)
	return result, firsts.Draw(p.PlotDir, "batch-beside-online")
}

// measureBatchMode measures online and batch throughput, and online latency, in one
// mode.
func (b *bench) measureBatchMode(ctx context.Context, mode string, length time.Duration, metrics Metrics) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	switch mode {
	case "managed", "managedReserved", "batchOnly":
		if err := b.submit(ctx, 60_000, batchTokens); err != nil {
			return err
		}
		time.Sleep(rampTime)
	case "unmanaged":
		group.Go(func() { b.unmanaged(ctx, b.sequences(), batchTokens) })
		time.Sleep(rampTime)
	}
	before := b.generated()
	started := time.Now()
	var report loadgenerator.Report
	if mode == "batchOnly" {
		time.Sleep(length)
	} else {
		rate := onlineShare * float64(b.sequences()) / (onlineTokens * engineStep.Seconds())
		generator := b.online(ctx, onlineLoad{rate: rate, length: length, generate: b.short(promptWords, onlineTokens)})
		report = generator.Class("short").Report("short")
		metrics.addReport(report, "online")
	}
	seconds := time.Since(started).Seconds()
	total := float64(b.generated() - before)
	metrics["allTokensPerSecond"] = total / seconds
	metrics["batchTokensPerSecond"] = (total - float64(report.Tokens)) / seconds
	return nil
}

// fullCapacity returns the tokens per second that engines generate if no sequence
// is ever free.
func fullCapacity(engines int) float64 {
	const fullStep = 1.15 // duration of a full engine's step, relative to an empty one's
	return float64(engines*sitebuilder.Sequences) / (engineStep.Seconds() * fullStep)
}

// evaluateBatchModes adds the ratios between modes and the criteria to the result.
func evaluateBatchModes(r *Result) {
	alone := r.Policies["alone"]
	capacity := fullCapacity(r.Upstreams)
	for _, name := range []string{"managed", "managedReserved", "unmanaged"} {
		m := r.Policies[name]
		online := m["allTokensPerSecond"] - m["batchTokensPerSecond"]
		m["firstTokenP99OfAloneRatio"] = m["onlineFirstTokenP99Milliseconds"] / alone["onlineFirstTokenP99Milliseconds"]
		m["batchShareOfRoomLeftRatio"] = m["batchTokensPerSecond"] / (capacity - online)
	}
	managed := r.Policies["managed"]
	r.Criteria = []Criterion{
		atMost("online first-token p99 of alone", 1.10, managed["firstTokenP99OfAloneRatio"]),
		atLeast("batch share of the capacity that online leaves", 0.90, managed["batchShareOfRoomLeftRatio"]),
	}
}
