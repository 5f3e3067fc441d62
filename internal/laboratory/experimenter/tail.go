package experimenter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/drawer"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/loadgenerator"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/sitebuilder"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
	"github.com/fescuespindle/fescuespindle/internal/standins/engineemulator"
)

var shortBehindLong = Experiment{
	Name:    "short-behind-long",
	Summary: "short work with and without 2% of work 50 times as long",
	run:     runShortBehindLong,
}

const (
	tailLength  = 12 * time.Second
	shortTokens = 16
	shortWords  = 20
	longFactor  = 50
	longShare   = 0.02
	// tailShare is the share of all sequences that short requests occupy.
	tailShare = 0.35
)

func runShortBehindLong(ctx context.Context, p Parameters) (Result, error) {
	result := Result{Policies: map[string]Metrics{}}
	for _, name := range []string{"balanced", "roundRobin", "twoChoices"} {
		for _, share := range []float64{0, longShare} {
			spec := sitebuilder.Trentvale()
			spec.VMOptions = policies[name]
			metrics := Metrics{}
			err := withBench(ctx, p, spec, func(b *bench) error {
				result.VMs, result.Upstreams = len(b.site.VMs), len(b.site.Engines)
				b.measureMixed(ctx, share, metrics)
				return nil
			})
			if err != nil {
				return result, err
			}
			if share > 0 {
				name += "WithLong"
			}
			result.Policies[name] = metrics
		}
	}
	ratio := result.Policies["balancedWithLong"]["shortFirstTokenP99Milliseconds"] /
		result.Policies["balanced"]["shortFirstTokenP99Milliseconds"]
	total := result.Policies["balancedWithLong"]["shortTotalP99Milliseconds"] /
		result.Policies["balanced"]["shortTotalP99Milliseconds"]
	result.Criteria = []Criterion{
		atMost("short first-token p99 with long of without", 1.20, ratio),
		atMost("short whole-answer p99 with long of without", 1.20, total),
	}
	return result, nil
}

// measureMixed sends short requests, a share of which are replaced by requests that
// are longFactor times as long.
func (b *bench) measureMixed(ctx context.Context, share float64, metrics Metrics) {
	rate := tailShare * float64(b.sequences()) / (shortTokens * engineStep.Seconds())
	short := b.short(shortWords, shortTokens)
	generator := b.online(ctx, onlineLoad{
		rate: rate, length: b.p.length(tailLength),
		generate: func(n int, random *rand.Rand) loadgenerator.Request {
			request := short(n, random)
			if random.Float64() < share {
				request.Prompt += " " + randomWords(shortWords*(longFactor-1), random)
				request.Tokens *= longFactor
				request.Class = "long"
			}
			return request
		},
	})
	metrics.addReport(generator.Class("short").Report("short"), "short")
	metrics.addReport(generator.Class("long").Report("long"), "long")
}

var slowedUpstreams = Experiment{
	Name:    "slowed-upstreams",
	Summary: "2 of 10 upstreams 10 times slower for spells of seconds, reports seconds late",
	run:     runSlowedUpstreams,
}

const (
	slowFactor   = 10
	slowPeriod   = 2 * time.Second
	slowPause    = 1500 * time.Millisecond
	slowedAtOnce = 2
	slowLag      = 3 * time.Second
	slowLength   = 18 * time.Second
	warmLength   = 3 * time.Second
)

func runSlowedUpstreams(ctx context.Context, p Parameters) (Result, error) {
	result := Result{Policies: map[string]Metrics{}}
	firsts := drawer.NewLatencies()
	for _, name := range []string{"unslowed", "balanced", "roundRobin", "leastReported", "twoChoices"} {
		spec := sitebuilder.Trentvale()
		spec.VMOptions = policies[name]
		spec.EngineOptions = []engineemulator.Option{engineemulator.WithReportLag(slowLag)}
		metrics := Metrics{}
		err := withBench(ctx, p, spec, func(b *bench) error {
			result.VMs, result.Upstreams = len(b.site.VMs), len(b.site.Engines)
			b.firsts, b.policy = firsts, name
			b.measureSlowed(ctx, name != "unslowed", metrics)
			return nil
		})
		if err != nil {
			return result, err
		}
		result.Policies[name] = metrics
	}
	unslowed, balanced := result.Policies["unslowed"], result.Policies["balanced"]
	result.Criteria = []Criterion{
		atMost("first-token p99 of unslowed", 1.5,
			balanced["shortFirstTokenP99Milliseconds"]/unslowed["shortFirstTokenP99Milliseconds"]),
		atMost("extra upstream work", 0.05, balanced["extraWorkRatio"]),
	}
	return result, firsts.Draw(p.PlotDir, "slowed-upstreams")
}

// measureSlowed sends short requests and, if inject is true, slows down slowedAtOnce
// random engines at a time.
func (b *bench) measureSlowed(ctx context.Context, inject bool, metrics Metrics) {
	ctx, cancel := context.WithCancel(ctx)
	rate := tailShare * float64(b.sequences()) / (shortTokens * engineStep.Seconds())
	load := onlineLoad{rate: rate, length: warmLength, generate: b.short(shortWords, shortTokens)}
	// The VMs learn the usual latencies before an engine is slowed down.
	firsts := b.firsts
	b.firsts = nil
	b.online(ctx, load)
	b.firsts = firsts
	var group sync.WaitGroup
	if inject {
		group.Go(func() { b.injectSlowness(ctx) })
	}
	before := b.generated()
	load.length = b.p.length(slowLength)
	generator := b.online(ctx, load)
	cancel()
	group.Wait()
	report := generator.Class("short").Report("short")
	metrics.addReport(report, "short")
	metrics["extraWorkRatio"] = float64(b.generated()-before)/float64(max(report.Tokens, 1)) - 1
}

// injectSlowness repeatedly slows down random engines by slowFactor for slowPeriod, with
// pauses in between, until the context ends.
func (b *bench) injectSlowness(ctx context.Context) {
	random := rand.New(rand.NewPCG(b.p.Seed, 7))
	for ctx.Err() == nil {
		chosen := random.Perm(len(b.site.Engines))[:slowedAtOnce]
		for _, n := range chosen {
			b.site.Engines[n].SetSlow(slowFactor)
		}
		sleeper.Sleep(ctx, slowPeriod)
		for _, n := range chosen {
			b.site.Engines[n].SetSlow(1)
		}
		sleeper.Sleep(ctx, slowPause)
	}
}
