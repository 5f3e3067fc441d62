package experimenter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/sitebuilder"
	"github.com/fescuespindle/fescuespindle/pkg/deployer"
)

var configSpread = Experiment{
	Name:    "config-spread",
	Summary: "time from accept to in force everywhere, with cuts and restarts going on",
	run:     runConfigSpread,
}

var domainCut = Experiment{
	Name:    "domain-cut",
	Summary: "online goodput inside a failure domain that is cut off from all others and the platform",
	run:     runDomainCut,
}

const (
	spreadRounds      = 20
	spreadPause       = 200 * time.Millisecond
	spreadLimit       = 20 * time.Second
	watchPeriod       = time.Millisecond
	partitionedDomain = "dodoma-makulu"
	partitionLength   = 6 * time.Second
)

func runConfigSpread(ctx context.Context, p Parameters) (Result, error) {
	result := Result{Policies: map[string]Metrics{}}
	for _, faults := range []bool{false, true} {
		metrics := Metrics{}
		err := withBench(ctx, p, sitebuilder.Authority(), func(b *bench) error {
			result.VMs, result.Upstreams = len(b.site.VMs), len(b.site.Engines)
			return b.measureSpread(ctx, faults, metrics)
		})
		if err != nil {
			return result, err
		}
		name := "calm"
		if faults {
			name = "faults"
		}
		result.Policies[name] = metrics
	}
	result.Criteria = []Criterion{
		atMost("seconds from accept to the last VM", 2, result.Policies["calm"]["slowestSeconds"]),
		atMost("seconds from accept to the last VM that can be reached", 2, result.Policies["faults"]["slowestSeconds"]),
		atMost("versions that went back", 0, result.Policies["faults"]["backwardsCount"]),
	}
	return result, nil
}

// versionMonitor counts how often the configuration version of a VM process went
// back.
type versionMonitor struct {
	mu        sync.Mutex
	last      map[*sitebuilder.VM]uint64
	backwards int
}

func (w *versionMonitor) check(vms []*sitebuilder.VM) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, vm := range vms {
		version := vm.Publisher().View().Config().Version()
		if version < w.last[vm] {
			w.backwards++
		}
		w.last[vm] = version
	}
}

// measureSpread applies versions one after the other and measures the time until each
// is in use on all reachable VMs.
func (b *bench) measureSpread(ctx context.Context, faults bool, metrics Metrics) error {
	monitor := &versionMonitor{last: map[*sitebuilder.VM]uint64{}}
	random := rand.New(rand.NewPCG(b.p.Seed, 9))
	sum := 0.0
	for round := range spreadRounds {
		reachable := b.site.VMs
		if faults {
			reachable = b.injectFault(round, random)
		}
		doc := b.spec.Document
		deployer.WithCaller(fmt.Sprintf("caller-%d", round), deployer.TokenDigest(fmt.Sprint(round)))(&doc)
		entry, err := sitebuilder.ApplyDocument(ctx, b.site.PlatformURL(), doc)
		if err != nil {
			return err
		}
		took, err := waitInForce(reachable, entry.Version, func() { monitor.check(b.site.VMs) })
		if err != nil {
			return err
		}
		sum += took.Seconds()
		metrics["slowestSeconds"] = max(metrics["slowestSeconds"], took.Seconds())
		time.Sleep(spreadPause)
	}
	b.site.HealPartition()
	metrics["meanSeconds"] = sum / spreadRounds
	metrics["backwardsCount"] = float64(monitor.backwards)
	return nil
}

// injectFault partitions a domain in even rounds and restarts a random VM in odd
// ones. It returns the VMs that can be reached.
func (b *bench) injectFault(round int, random *rand.Rand) []*sitebuilder.VM {
	if round%2 == 1 {
		b.site.HealPartition()
		if err := b.site.Restart(random.IntN(len(b.site.VMs))); err != nil {
			return b.site.VMs
		}
		return b.site.VMs
	}
	b.partitionDomain()
	var reachable []*sitebuilder.VM
	for _, vm := range b.site.VMs {
		if vm.Domain != partitionedDomain {
			reachable = append(reachable, vm)
		}
	}
	return reachable
}

func (b *bench) partitionDomain() {
	b.site.Partition(func(from, to string) bool { return (from == partitionedDomain) != (to == partitionedDomain) })
}

// waitInForce waits until all VMs use a version and returns the time that it took.
// It calls look at each poll, and returns an error after spreadLimit.
func waitInForce(vms []*sitebuilder.VM, version uint64, look func()) (time.Duration, error) {
	started := time.Now()
	for {
		look()
		outdated := 0
		for _, vm := range vms {
			if vm.Publisher().View().Config().Version() < version {
				outdated++
			}
		}
		took := time.Since(started)
		if outdated == 0 {
			return took, nil
		}
		if took > spreadLimit {
			return took, fmt.Errorf("version %d is not in use on %d VMs", version, outdated)
		}
		time.Sleep(watchPeriod)
	}
}

func runDomainCut(ctx context.Context, p Parameters) (Result, error) {
	result := Result{Policies: map[string]Metrics{}}
	err := withBench(ctx, p, sitebuilder.Authority(), func(b *bench) error {
		result.VMs, result.Upstreams = len(b.site.VMs), len(b.site.Engines)
		load := onlineLoad{length: p.length(partitionLength), generate: b.short(promptWords, burstTokens)}
		for n, vm := range b.site.VMs {
			if vm.Domain == partitionedDomain {
				load.vms = append(load.vms, n)
			}
		}
		load.rate = tailShare * float64(b.domainSequences(partitionedDomain)) / (burstTokens * engineStep.Seconds())
		for _, when := range []string{"before", "during", "after"} {
			if when == "during" {
				b.partitionDomain()
			}
			metrics := Metrics{}
			metrics.addReport(b.online(ctx, load).Class("short").Report("short"), "online")
			result.Policies[when] = metrics
			b.site.HealPartition()
		}
		return nil
	})
	ratio := result.Policies["during"]["onlineRightCount"] / result.Policies["before"]["onlineRightCount"]
	result.Criteria = []Criterion{atLeast("online goodput of before", 0.95, ratio)}
	return result, err
}
