package experimenter

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/drawer"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/sitebuilder"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
	"github.com/fescuespindle/fescuespindle/internal/standins/engineemulator"
)

var onlineBurst = Experiment{
	Name:    "online-burst",
	Summary: "a burst of online requests on all VMs, or on one, while batch fills the upstreams",
	run:     runOnlineBurst,
}

const (
	// burstShare is the share of the sequences that a burst needs.
	burstShare   = 0.6
	burstTokens  = 16
	burstRounds  = 5
	burstPause   = 1500 * time.Millisecond
	burstRamp    = 250 * time.Millisecond
	millisPerSec = 1000
)

// yieldRecorder measures two times at the engines: from the arrival of an online
// request at a full engine until a batch stream is canceled for it, and from the
// arrival of each online request until it runs.
type yieldRecorder struct {
	mu      sync.Mutex
	pending map[string]time.Time // by engine: when an online request found it full
	yields  []time.Duration
	waits   []time.Duration
	arrived map[string]time.Time
}

func newYieldRecorder() *yieldRecorder {
	return &yieldRecorder{pending: map[string]time.Time{}, arrived: map[string]time.Time{}}
}

// option returns an engine option that records the events of an engine.
func (r *yieldRecorder) option(engine string) engineemulator.Option {
	return engineemulator.WithRecorder(func(e engineemulator.Event) { r.record(engine, e) })
}

func (r *yieldRecorder) record(engine string, e engineemulator.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := strings.HasPrefix(e.Stream, "batch_")
	switch {
	case e.Kind == engineemulator.EventArrived && !batch:
		r.arrived[e.Stream] = e.At
		if _, waiting := r.pending[engine]; e.Full && !waiting {
			r.pending[engine] = e.At
		}
	case e.Kind == engineemulator.EventRunning && !batch:
		r.waits = append(r.waits, e.At.Sub(r.arrived[e.Stream]))
		delete(r.arrived, e.Stream)
	case e.Kind == engineemulator.EventCancelled && batch:
		if since, waiting := r.pending[engine]; waiting {
			r.yields = append(r.yields, e.At.Sub(since))
			delete(r.pending, engine)
		}
	}
}

// worst returns the longest time until a batch stream yielded and the longest wait
// of an online request at an engine, in milliseconds.
func (r *yieldRecorder) worst() (yield, wait float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.yields {
		yield = max(yield, d.Seconds()*millisPerSec)
	}
	for _, d := range r.waits {
		wait = max(wait, d.Seconds()*millisPerSec)
	}
	return yield, wait
}

func runOnlineBurst(ctx context.Context, p Parameters) (Result, error) {
	result := Result{Policies: map[string]Metrics{}}
	for _, where := range []string{"allVMs", "oneVM"} {
		for _, batch := range []bool{false, true} {
			recorder := newYieldRecorder()
			spec := sitebuilder.Authority()
			spec.EngineOption = recorder.option
			metrics := Metrics{}
			err := withBench(ctx, p, spec, func(b *bench) error {
				result.VMs, result.Upstreams = len(b.site.VMs), len(b.site.Engines)
				stop := b.plotBursts(ctx, where, batch)
				defer stop()
				return b.runBursts(ctx, where, batch, recorder, metrics)
			})
			if err != nil {
				return result, err
			}
			name := where
			if batch {
				name += "WithBatch"
			}
			result.Policies[name] = metrics
		}
		with, without := result.Policies[where+"WithBatch"], result.Policies[where]
		result.Criteria = append(result.Criteria,
			atMost(where+": batch yields, milliseconds", 50, with["worstYieldMilliseconds"]),
			atMost(where+": first-token p99 of without batch", 1.25,
				with["onlineFirstTokenP99Milliseconds"]/without["onlineFirstTokenP99Milliseconds"]))
	}
	return result, nil
}

// runBursts sends bursts with pauses between them and records the metrics.
func (b *bench) runBursts(
	ctx context.Context, where string, batch bool, recorder *yieldRecorder, metrics Metrics,
) error {
	if batch {
		if err := b.submit(ctx, 60_000, batchTokens); err != nil {
			return err
		}
		time.Sleep(rampTime)
	}
	load := onlineLoad{length: burstRamp, generate: b.short(promptWords, burstTokens)}
	sequences := float64(b.sequences())
	if where == "oneVM" {
		load.vms = []int{0}
		sequences = float64(b.domainSequences(b.site.VMs[0].Domain))
	}
	load.rate = burstShare * sequences / burstRamp.Seconds()
	rounds := burstRounds
	if b.p.Quick {
		rounds = 2
	}
	generator := b.runRounds(ctx, load, rounds)
	metrics.addReport(generator, "online")
	metrics["worstYieldMilliseconds"], metrics["worstEngineWaitMilliseconds"] = recorder.worst()
	metrics["yieldsCount"] = float64(len(recorder.yields))
	return nil
}

// plotBursts samples the numbers of running online and batch requests. The
// function that it returns stops sampling and writes the plot.
func (b *bench) plotBursts(ctx context.Context, where string, batch bool) func() {
	if b.p.PlotDir == "" || !batch {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	series := map[string]*drawer.TimeSeries{"online": {}, "batch": {}}
	var group sync.WaitGroup
	group.Go(func() {
		started := time.Now()
		for ctx.Err() == nil {
			online, batch := b.occupancy()
			series["online"].Add(time.Since(started), float64(online))
			series["batch"].Add(time.Since(started), float64(batch))
			sleeper.Sleep(ctx, samplePeriod)
		}
	})
	return func() {
		cancel()
		group.Wait()
		// The result doesn't depend on the plot.
		_ = drawer.DrawTimeSeries(b.p.PlotDir, "online-burst-"+where, "requests running", series)
	}
}

// samplePeriod is the sampling period of plots over time.
const samplePeriod = 10 * time.Millisecond

// occupancy returns the numbers of running online and batch requests.
func (b *bench) occupancy() (online, batch int) {
	for _, e := range b.site.Engines {
		o, n := e.Occupancy(func(id string) bool { return strings.HasPrefix(id, "batch_") })
		online += o
		batch += n
	}
	return online, batch
}

func (b *bench) domainSequences(domain string) int {
	n := 0
	for _, e := range b.site.Engines {
		if e.Domain == domain {
			n += sitebuilder.Sequences
		}
	}
	return n
}
