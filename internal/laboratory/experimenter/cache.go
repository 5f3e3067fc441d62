package experimenter

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/loadgenerator"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/sitebuilder"
	"github.com/fescuespindle/fescuespindle/internal/standins/engineemulator"
)

var prefixCache = Experiment{
	Name:    "prefix-cache",
	Summary: "shared prompt prefixes, and memory for a part of them on each engine",
	run:     runPrefixCache,
}

const (
	prefixCount  = 60
	prefixWords  = 256
	suffixWords  = 16
	cacheBlocks  = 200 // of 16 tokens: 12 prefixes
	cacheLength  = 15 * time.Second
	cacheTokens  = 16
	cacheShare   = 0.4
	prefixSkew   = 0.6
	cachePrefill = 100 * time.Microsecond
)

func runPrefixCache(ctx context.Context, p Parameters) (Result, error) {
	result := Result{Policies: map[string]Metrics{}}
	for _, name := range []string{"allSeeing", "balanced", "roundRobin", "twoChoices"} {
		vms := 12
		if name == "allSeeing" {
			vms = 1 // so that it sees every request
		}
		spec := sitebuilder.SingleDomain(vms, 10)
		spec.VMOptions = policies[name]
		spec.EngineOptions = []engineemulator.Option{
			engineemulator.WithCacheBlocks(cacheBlocks), engineemulator.WithPrefill(cachePrefill),
		}
		metrics := Metrics{}
		err := withBench(ctx, p, spec, func(b *bench) error {
			result.VMs, result.Upstreams = max(result.VMs, vms), len(b.site.Engines)
			b.measurePrefixes(ctx, metrics)
			return nil
		})
		if err != nil {
			return result, err
		}
		result.Policies[name] = metrics
	}
	balanced := result.Policies["balanced"]
	result.Criteria = []Criterion{
		atLeast("hit share of an all-seeing router's", 0.9,
			balanced["hitSharePercent"]/result.Policies["allSeeing"]["hitSharePercent"]),
		atMost("largest load of the mean", 1.25, balanced["largestLoadRatio"]),
	}
	return result, nil
}

// measurePrefixes sends requests that share prefixes. The popularity of the prefixes
// follows a Zipf distribution with exponent prefixSkew.
func (b *bench) measurePrefixes(ctx context.Context, metrics Metrics) {
	weights := make([]float64, prefixCount)
	texts := make([]string, prefixCount)
	random := rand.New(rand.NewPCG(b.p.Seed, 3))
	total := 0.0
	for n := range weights {
		weights[n] = 1 / math.Pow(float64(n+1), prefixSkew)
		total += weights[n]
		texts[n] = fmt.Sprintf("prefix %d %s", n, randomWords(prefixWords-2, random))
	}
	rate := cacheShare * float64(b.sequences()) / (cacheTokens * engineStep.Seconds())
	generator := b.online(ctx, onlineLoad{
		rate: rate, length: b.p.length(cacheLength),
		generate: func(_ int, random *rand.Rand) loadgenerator.Request {
			at := random.Float64() * total
			n := 0
			for at > weights[n] && n < prefixCount-1 {
				at -= weights[n]
				n++
			}
			prompt := texts[n] + " " + randomWords(suffixWords, random)
			return loadgenerator.Request{Model: b.spec.Model, Prompt: prompt, Tokens: cacheTokens, Class: "short"}
		},
	})
	report := generator.Class("short").Report("short")
	metrics.addReport(report, "online")
	metrics["hitSharePercent"] = report.CachedPct
	metrics["largestLoadRatio"] = b.largestLoad()
}

// largestLoad returns the largest number of requests that an engine has started,
// relative to the mean.
func (b *bench) largestLoad() float64 {
	maximum, sum := 0, 0
	for _, e := range b.site.Engines {
		started := e.Counts().Started
		maximum = max(maximum, started)
		sum += started
	}
	return float64(maximum) * float64(len(b.site.Engines)) / float64(max(sum, 1))
}
