package experimenter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/loadgenerator"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/requester"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
)

// runRounds repeats a load with pauses between the rounds, and returns a report over
// all rounds. Each round has its own seed.
func (b *bench) runRounds(ctx context.Context, load onlineLoad, rounds int) loadgenerator.Report {
	var mu sync.Mutex
	var firsts []time.Duration
	load.observe = func(_ loadgenerator.Request, due time.Time, c requester.Completion) {
		mu.Lock()
		defer mu.Unlock()
		firsts = append(firsts, c.FirstToken().Sub(due))
	}
	var sum loadgenerator.Report
	seed := b.p.Seed
	for n := range rounds {
		b.p.Seed = seed + uint64(n)
		report := b.online(ctx, load).Class("short").Report("short")
		sum.Sent += report.Sent
		sum.Correct += report.Correct
		sum.Rejected += report.Rejected
		sum.Truncated += report.Truncated
		sum.Wrong += report.Wrong
		sum.TotalP99 = max(sum.TotalP99, report.TotalP99)
		sleeper.Sleep(ctx, burstPause)
	}
	b.p.Seed = seed
	slices.Sort(firsts)
	sum.FirstP50, sum.FirstP99 = quantile(firsts, 0.5), quantile(firsts, 0.99)
	return sum
}

// quantile returns a quantile (0 to 1) of sorted times, in milliseconds.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	at := min(int(q*float64(len(sorted))), len(sorted)-1)
	return sorted[at].Seconds() * millisPerSec
}
