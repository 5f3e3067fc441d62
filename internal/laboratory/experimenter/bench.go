package experimenter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/drawer"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/loadgenerator"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/requester"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/sitebuilder"
	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
	"github.com/fescuespindle/fescuespindle/internal/online/dispatcher"
	"github.com/fescuespindle/fescuespindle/internal/standins/engineemulator"
)

const (
	startLimit = 20 * time.Second
	// settleTime is how long a site runs before a measurement. In this time the VMs
	// assign an owner to each upstream, which is required for batch work.
	settleTime     = 1500 * time.Millisecond
	requestTimeout = 30 * time.Second
	// engineStep is the duration of one step of an empty engine. It is long enough
	// for one machine to run a complete site.
	engineStep = 20 * time.Millisecond
)

// policies are the upstream selection policies that the experiments compare.
var policies = map[string][]dispatcher.Option{
	"balanced":      nil,
	"roundRobin":    {dispatcher.WithPolicy(chooser.RoundRobin{}), dispatcher.WithHedging(false)},
	"leastReported": {dispatcher.WithPolicy(chooser.LeastReported{}), dispatcher.WithHedging(false)},
	"twoChoices":    {dispatcher.WithPolicy(chooser.TwoChoices{}), dispatcher.WithHedging(false)},
}

// bench is a running site with the parameters of the experiment.
type bench struct {
	site *sitebuilder.Site
	spec sitebuilder.Spec
	p    Parameters
	// firsts collects times to first token for the plot, under the name of the
	// current policy; nil means that there is no plot.
	firsts *drawer.Latencies
	policy string
}

// withBench starts a site, calls measure and closes the site.
func withBench(ctx context.Context, p Parameters, spec sitebuilder.Spec, measure func(*bench) error) error {
	spec.Seed = p.Seed
	spec.EngineOptions = append([]engineemulator.Option{engineemulator.WithStep(engineStep)}, spec.EngineOptions...)
	site, err := sitebuilder.New(spec)
	if err != nil {
		return err
	}
	defer site.Close()
	starting, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if _, err := site.Apply(starting, spec.Document); err != nil {
		return err
	}
	if err := site.WaitReady(starting); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return measure(&bench{site: site, spec: spec, p: p})
}

// length returns the duration of a phase, which is shortened in quick runs.
func (p Parameters) length(full time.Duration) time.Duration {
	const quickDivisor = 3
	if p.Quick {
		return full / quickDivisor
	}
	return full
}

// sequences returns the number of sequences of all engines.
func (b *bench) sequences() int { return len(b.site.Engines) * sitebuilder.Sequences }

// onlineLoad is an open-loop load of online requests: arrivals don't depend on
// answers.
type onlineLoad struct {
	rate   float64 // requests per second
	length time.Duration
	// vms holds the indexes of the VMs that get the load; nil means all.
	vms      []int
	token    string
	generate func(n int, random *rand.Rand) loadgenerator.Request
	observe  func(loadgenerator.Request, time.Time, requester.Completion)
}

func (b *bench) targets(load onlineLoad) []loadgenerator.Target {
	if load.token == "" {
		load.token = sitebuilder.OnlineToken
	}
	var targets []loadgenerator.Target
	for n, vm := range b.site.VMs {
		if load.vms == nil || containsInt(load.vms, n) {
			targets = append(targets, b.site.Requester(vm, load.token))
		}
	}
	return targets
}

func containsInt(list []int, n int) bool {
	for _, m := range list {
		if m == n {
			return true
		}
	}
	return false
}

// online runs an online load and returns when all requests are answered.
func (b *bench) online(ctx context.Context, load onlineLoad) *loadgenerator.Generator {
	observe := func(r loadgenerator.Request, due time.Time, c requester.Completion) {
		if b.firsts != nil && r.Class == "short" {
			b.firsts.Add(b.policy, c.FirstToken().Sub(due))
		}
		if r.Class == "short" {
			b.explain(c.ID(), c.FirstToken().Sub(due))
		}
		if load.observe != nil {
			load.observe(r, due, c)
		}
	}
	generator := loadgenerator.New(loadgenerator.Plan{
		Rate: load.rate, End: time.Now().Add(load.length), Seed: b.p.Seed, Timeout: requestTimeout,
		Targets: b.targets(load), Generate: load.generate, Expect: expected,
	}, loadgenerator.WithObserver(observe))
	generator.Run(ctx)
	return generator
}

// expected returns the correct answer to a request.
func expected(r loadgenerator.Request) string {
	return engineemulator.Answer("user: "+r.Prompt+"\n", r.Tokens)
}

// short returns a generator of requests of class "short", with the given numbers of
// prompt words and of tokens to generate.
func (b *bench) short(words, tokens int) func(int, *rand.Rand) loadgenerator.Request {
	return func(n int, random *rand.Rand) loadgenerator.Request {
		prompt := fmt.Sprintf("request %d %s", n, randomWords(words-2, random))
		return loadgenerator.Request{Model: b.spec.Model, Prompt: prompt, Tokens: tokens, Class: "short"}
	}
}

func randomWords(n int, random *rand.Rand) string {
	var text strings.Builder
	for range n {
		fmt.Fprintf(&text, "w%d ", random.IntN(100_000))
	}
	return strings.TrimSpace(text.String())
}

// jobName is the idempotency key of every experiment's batch job and the prefix of
// its items.
const jobName = "lot"

// submit submits a batch job through the first VM.
func (b *bench) submit(ctx context.Context, items, tokens int) error {
	caller := b.site.Requester(b.site.VMs[0], sitebuilder.BatchToken)
	input := sitebuilder.BatchInput(b.spec.Model, jobName, items, tokens)
	file, err := caller.Upload(ctx, jobName+".jsonl", strings.NewReader(input))
	if err != nil {
		return err
	}
	_, err = caller.Submit(ctx, file.ID, "/v1/chat/completions", "1h", jobName)
	return err
}

// generated returns the number of tokens that all engines have generated.
func (b *bench) generated() int {
	tokens := 0
	for _, e := range b.site.Engines {
		tokens += e.Counts().Tokens
	}
	return tokens
}

// unmanaged sends batch items as if they were online requests, in a closed loop with
// the given concurrency, until the context ends.
func (b *bench) unmanaged(ctx context.Context, concurrency, tokens int) {
	var group sync.WaitGroup
	targets := b.targets(onlineLoad{token: sitebuilder.BatchToken})
	for n := range concurrency {
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				prompt := fmt.Sprintf("unmanaged item %d of %d", i, n)
				_, err := targets[n%len(targets)].Complete(ctx, b.spec.Model, prompt, tokens)
				if err != nil {
					time.Sleep(engineStep)
				}
			}
		})
	}
	group.Wait()
}

// addReport adds the report of a class of requests, with a prefix to each name.
func (m Metrics) addReport(r loadgenerator.Report, prefix string) {
	m[prefix+"SentCount"] = float64(r.Sent)
	m[prefix+"RightCount"] = float64(r.Correct)
	m[prefix+"RefusedCount"] = float64(r.Rejected)
	m[prefix+"CutCount"] = float64(r.Truncated)
	m[prefix+"WrongCount"] = float64(r.Wrong)
	m[prefix+"FirstTokenP50Milliseconds"] = r.FirstP50
	m[prefix+"FirstTokenP99Milliseconds"] = r.FirstP99
	m[prefix+"TotalP99Milliseconds"] = r.TotalP99
}

// newClient returns a client for requests that bypass the VMs.
func newClient() *http.Client {
	const conns = 256
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: conns, DisableCompression: true}}
}
