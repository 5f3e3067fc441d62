package experimenter

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/loadgenerator"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/requester"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/sitebuilder"
	"github.com/fescuespindle/fescuespindle/internal/standins/engineemulator"
)

var relayCost = Experiment{
	Name:    "relay-cost",
	Summary: "an entry VM in the way against straight to the upstream",
	run:     runRelayCost,
}

const (
	relayLength = 8 * time.Second
	relayTokens = 32
	relayRate   = 60
	relayStep   = 5 * time.Millisecond
)

func runRelayCost(ctx context.Context, p Parameters) (Result, error) {
	result := Result{Policies: map[string]Metrics{}}
	for _, mode := range []string{"straight", "relayed"} {
		spec := sitebuilder.SingleDomain(1, 8)
		spec.EngineOptions = []engineemulator.Option{engineemulator.WithStep(relayStep)}
		metrics := Metrics{}
		err := withBench(ctx, p, spec, func(b *bench) error {
			result.VMs, result.Upstreams = len(b.site.VMs), len(b.site.Engines)
			b.measureRelay(ctx, mode == "relayed", metrics)
			return nil
		})
		if err != nil {
			return result, err
		}
		result.Policies[mode] = metrics
	}
	straight, relayed := result.Policies["straight"], result.Policies["relayed"]
	added := relayed["onlineFirstTokenP99Milliseconds"] - straight["onlineFirstTokenP99Milliseconds"]
	perToken := (relayed["cpuMicrosecondsPerToken"] - straight["cpuMicrosecondsPerToken"])
	relayed["tokensPerSecondPerCore"] = 1e6 / max(perToken, 1)
	result.Criteria = []Criterion{atMost("added first-token p99, milliseconds", 2, added)}
	return result, nil
}

// measureRelay sends the same load through the VM or directly to the engines. The
// difference in processor time between the two is the cost of the VM.
func (b *bench) measureRelay(ctx context.Context, throughVM bool, metrics Metrics) {
	client := newClient()
	defer client.CloseIdleConnections()
	var targets []loadgenerator.Target
	for _, e := range b.site.Engines {
		targets = append(targets, requester.New(e.EngineURL(), "", client))
	}
	if throughVM {
		targets = b.targets(onlineLoad{})
	}
	runtime.GC()
	cpu := processorTime()
	generator := loadgenerator.New(loadgenerator.Plan{
		Rate: relayRate, End: time.Now().Add(b.p.length(relayLength)), Seed: b.p.Seed, Timeout: requestTimeout,
		Targets: targets, Generate: b.short(promptWords, relayTokens), Expect: expected,
	})
	generator.Run(ctx)
	report := generator.Class("short").Report("short")
	metrics.addReport(report, "online")
	metrics["cpuMicrosecondsPerToken"] = float64((processorTime() - cpu).Microseconds()) / float64(max(report.Tokens, 1))
}

// processorTime returns the user and system CPU time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
