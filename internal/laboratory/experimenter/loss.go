package experimenter

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/loadgenerator"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/sitebuilder"
)

var vmLoss = Experiment{
	Name:    "vm-loss",
	Summary: "time from the loss of a VM until all its chunks run elsewhere",
	run:     runVMLoss,
}

var storeOutage = Experiment{
	Name:    "store-outage",
	Summary: "online requests and batch jobs while the platform is down",
	run:     runStoreOutage,
}

const (
	lossItems    = 6000
	lossTokens   = 32
	lossLimit    = 60 * time.Second
	lossPoll     = 10 * time.Millisecond
	outageLength = 8 * time.Second
	outageItems  = 2500
	outageTokens = 16
	jobLimit     = 2 * time.Minute
)

// ownedBy returns the number of unfinished chunks that a VM owns according to the
// store.
func (b *bench) ownedBy(vm string) int {
	owned := 0
	for _, row := range b.site.Store.Rows(jobkeeper.ChunkTable) {
		var chunk jobkeeper.ChunkRow
		if json.Unmarshal(row.Value, &chunk) == nil && !chunk.Done && chunk.Owner.VM == vm {
			owned++
		}
	}
	return owned
}

func runVMLoss(ctx context.Context, p Parameters) (Result, error) {
	result := Result{Policies: map[string]Metrics{}}
	metrics := Metrics{}
	err := withBench(ctx, p, sitebuilder.Authority(), func(b *bench) error {
		result.VMs, result.Upstreams = len(b.site.VMs), len(b.site.Engines)
		return b.loseVM(ctx, metrics)
	})
	result.Policies["takeover"] = metrics
	result.Criteria = []Criterion{
		atMost("seconds until the last chunk is owned again", 15, metrics["takeoverSeconds"]),
		atMost("items lost", 0, metrics["lostCount"]),
		atMost("items doubled", 0, metrics["doubledCount"]),
	}
	return result, err
}

// loseVM stops the VM that owns the most chunks, other than the first one, which
// accepted the job. It measures the time until the VM owns no unfinished chunk, and
// waits for the job's end.
func (b *bench) loseVM(ctx context.Context, metrics Metrics) error {
	if err := b.submit(ctx, lossItems, lossTokens); err != nil {
		return err
	}
	time.Sleep(rampTime)
	victim, maxOwned := 1, 0
	for n, vm := range b.site.VMs {
		if owned := b.ownedBy(vm.ID); owned > maxOwned && n > 0 {
			victim, maxOwned = n, owned
		}
	}
	lost := b.site.Stop(victim)
	started := time.Now()
	for b.ownedBy(lost.ID) > 0 && time.Since(started) < lossLimit {
		time.Sleep(lossPoll)
	}
	metrics["ownedChunksCount"] = float64(maxOwned)
	metrics["takeoverSeconds"] = time.Since(started).Seconds()
	return b.countResults(ctx, lossItems, metrics)
}

// countResults waits for the job's end and counts lost, duplicate and failed items.
func (b *bench) countResults(ctx context.Context, items int, metrics Metrics) error {
	ctx, cancel := context.WithTimeout(ctx, jobLimit)
	defer cancel()
	caller := b.site.Requester(b.site.VMs[0], sitebuilder.BatchToken)
	id := b.jobID()
	job, err := caller.Status(ctx, id)
	for err == nil && job.Status == "in_progress" {
		time.Sleep(10 * lossPoll)
		job, err = caller.Status(ctx, id)
	}
	if err != nil {
		return err
	}
	var counter resultCounter
	if err := caller.Results(ctx, id, &counter); err != nil {
		return err
	}
	metrics["doubledCount"] = float64(counter.duplicates)
	metrics["lostCount"] = float64(items - len(counter.seen))
	metrics["failedCount"] = float64(job.RequestCounts.Failed)
	return nil
}

// jobID returns the ID of the only job, or "" if there is none.
func (b *bench) jobID() string {
	rows := b.site.Store.Rows(jobkeeper.JobTable)
	var job jobkeeper.JobRow
	if len(rows) == 0 || json.Unmarshal(rows[0].Value, &job) != nil {
		return ""
	}
	return job.ID
}

func runStoreOutage(ctx context.Context, p Parameters) (Result, error) {
	result := Result{Policies: map[string]Metrics{}}
	metrics := Metrics{}
	err := withBench(ctx, p, sitebuilder.Authority(), func(b *bench) error {
		result.VMs, result.Upstreams = len(b.site.VMs), len(b.site.Engines)
		return b.measureOutage(ctx, metrics)
	})
	result.Policies["outage"] = metrics
	failed := metrics["onlineSentCount"] - metrics["onlineRightCount"]
	result.Criteria = []Criterion{
		atMost("online requests that failed", 0, failed),
		atMost("items lost", 0, metrics["lostCount"]),
		atMost("items doubled", 0, metrics["doubledCount"]),
	}
	return result, err
}

// measureOutage takes the store down while online requests and a batch job run, and
// measures the time from the end of the outage until the job has completed.
func (b *bench) measureOutage(ctx context.Context, metrics Metrics) error {
	if err := b.submit(ctx, outageItems, outageTokens); err != nil {
		return err
	}
	time.Sleep(time.Second)
	b.site.Store.SetDown(true)
	var report loadgenerator.Report
	var group sync.WaitGroup
	group.Go(func() {
		rate := tailShare * float64(b.sequences()) / (burstTokens * engineStep.Seconds())
		report = b.online(ctx, onlineLoad{
			rate: rate, length: outageLength, generate: b.short(promptWords, burstTokens),
		}).Class("short").Report("short")
	})
	group.Wait()
	b.site.Store.SetDown(false)
	started := time.Now()
	err := b.countResults(ctx, outageItems, metrics)
	metrics["catchUpSeconds"] = time.Since(started).Seconds()
	metrics.addReport(report, "online")
	return err
}
