package experimenter

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/requester"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/sitebuilder"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
	"github.com/fescuespindle/fescuespindle/internal/standins/engineemulator"
)

var poison = Experiment{
	Name:    "poison",
	Summary: "a request that crashes what runs it, resent to random VMs 50 times",
	run:     runPoison,
}

const (
	poisonSends  = 50
	poisonPause  = 100 * time.Millisecond
	poisonLength = 10 * time.Second
)

func runPoison(ctx context.Context, p Parameters) (Result, error) {
	result := Result{Policies: map[string]Metrics{}}
	metrics := Metrics{}
	spec := sitebuilder.Authority()
	spec.EngineOptions = []engineemulator.Option{engineemulator.WithRestart(time.Second)}
	err := withBench(ctx, p, spec, func(b *bench) error {
		result.VMs, result.Upstreams = len(b.site.VMs), len(b.site.Engines)
		b.runPoisonLoad(ctx, metrics)
		return nil
	})
	result.Policies["quarantine"] = metrics
	result.Criteria = []Criterion{
		atMost("upstreams lost", 3, metrics["crashesCount"]),
		atMost("innocent requests refused", 0, metrics["onlineRefusedCount"]),
	}
	return result, err
}

// runPoisonLoad repeats a request that crashes engines while ordinary requests run,
// and counts the repeats that are rejected as unprocessable.
func (b *bench) runPoisonLoad(ctx context.Context, metrics Metrics) {
	var group sync.WaitGroup
	group.Go(func() {
		random := rand.New(rand.NewPCG(b.p.Seed, 5))
		for range poisonSends {
			vm := b.site.VMs[random.IntN(len(b.site.VMs))]
			caller := b.site.Requester(vm, sitebuilder.OnlineToken)
			_, err := caller.Complete(ctx, b.spec.Model, "verse "+engineemulator.PoisonWord, burstTokens)
			var rejected *requester.RejectedError
			if errors.As(err, &rejected) && rejected.Status() == http.StatusUnprocessableEntity {
				metrics["condemnedAnswersCount"]++
			}
			sleeper.Sleep(ctx, poisonPause)
		}
	})
	rate := tailShare * float64(b.sequences()) / (burstTokens * engineStep.Seconds())
	generator := b.online(ctx, onlineLoad{rate: rate, length: poisonLength, generate: b.short(promptWords, burstTokens)})
	group.Wait()
	metrics.addReport(generator.Class("short").Report("short"), "online")
	crashes := 0
	for _, e := range b.site.Engines {
		crashes += e.Counts().Crashes
	}
	metrics["crashesCount"] = float64(crashes)
}
