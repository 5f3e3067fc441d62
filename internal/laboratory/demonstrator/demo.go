// Package demonstrator runs the Authority's and Trentvale's sites, with two regions
// each, in one process, and measures online requests with and without a batch job.
package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/loadgenerator"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/sitebuilder"
	"github.com/fescuespindle/fescuespindle/internal/standins/engineemulator"
)

// ErrWrong is returned if an answer is incorrect or missing.
var ErrWrong = errors.New("not every answer was right")

const (
	onlineRate   = 60
	onlineTokens = 16
	phaseLength  = 5 * time.Second
	batchItems   = 1500
	batchTokens  = 24
	batchLimit   = 20 * time.Second
	pollPeriod   = 50 * time.Millisecond
	startLimit   = 15 * time.Second
	callTimeout  = 20 * time.Second
)

// Report holds the measurements of all sites.
type Report struct {
	Sites []SiteReport `json:"sites"`
}

// SiteReport holds the measurements of one site.
type SiteReport struct {
	Site           string               `json:"site"`
	VMs            int                  `json:"vms"`
	Upstreams      int                  `json:"upstreams"`
	Alone          loadgenerator.Report `json:"alone"`
	WithBatch      loadgenerator.Report `json:"withBatch"`
	Calls          int                  `json:"calls"`
	BatchItems     int                  `json:"batchItems"`
	ItemsPerSecond float64              `json:"batchItemsPerSecond"`
	StatePage      string               `json:"statePage"`
}

// Demo runs the sites and measures them.
type Demo struct {
	progress io.Writer
}

// Option configures a Demo.
type Option func(*Demo)

// WithProgress sets a terminal that a progress line is written to.
func WithProgress(to io.Writer) Option { return func(d *Demo) { d.progress = to } }

// New returns a demo.
func New(options ...Option) *Demo {
	d := &Demo{progress: io.Discard}
	for _, option := range options {
		option(d)
	}
	return d
}

// Run runs both users' sites, one after the other.
func (d *Demo) Run(ctx context.Context) (Report, error) {
	var report Report
	for _, spec := range []sitebuilder.Spec{sitebuilder.Authority(), sitebuilder.Trentvale()} {
		site, err := d.runSite(ctx, spec)
		if err != nil {
			return report, fmt.Errorf("%s: %w", spec.Document.Name, err)
		}
		report.Sites = append(report.Sites, site)
	}
	_, _ = fmt.Fprint(d.progress, "\r\033[K")
	return report, nil
}

func (d *Demo) printProgress(site, what string) {
	_, _ = fmt.Fprintf(d.progress, "\r\033[K%s: %s", site, what)
}

func (d *Demo) runSite(ctx context.Context, spec sitebuilder.Spec) (SiteReport, error) {
	name := spec.Document.Name
	d.printProgress(name, "starting")
	site, err := sitebuilder.New(spec)
	if err != nil {
		return SiteReport{}, err
	}
	defer site.Close()
	starting, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if _, err := site.Apply(starting, spec.Document); err != nil {
		return SiteReport{}, err
	}
	if err := site.WaitReady(starting); err != nil {
		return SiteReport{}, err
	}
	report := SiteReport{
		Site: name, VMs: len(site.VMs), Upstreams: len(site.Engines) + len(site.Services),
		StatePage: site.VMs[0].OperatorURL() + "/state",
	}
	if report.Calls, err = callService(ctx, site, spec); err != nil {
		return report, err
	}
	d.printProgress(name, "online callers alone")
	if report.Alone, err = online(ctx, site, spec, 1); err != nil {
		return report, err
	}
	d.printProgress(name, "online callers beside a batch job")
	return report, onlineWithBatch(ctx, site, spec, &report)
}

// online runs online requests for one phase and returns ErrWrong unless all answers
// are correct.
func online(
	ctx context.Context, site *sitebuilder.Site, spec sitebuilder.Spec, seed uint64,
) (loadgenerator.Report, error) {
	var targets []loadgenerator.Target
	for _, vm := range site.VMs {
		targets = append(targets, site.Requester(vm, sitebuilder.OnlineToken))
	}
	generator := loadgenerator.New(loadgenerator.Plan{
		Rate: onlineRate, End: time.Now().Add(phaseLength), Seed: seed, Timeout: callTimeout, Targets: targets,
		Generate: func(n int, random *rand.Rand) loadgenerator.Request {
			prompt := fmt.Sprintf("draft a selection for parish %d, request %d", random.IntN(20), n)
			return loadgenerator.Request{Model: spec.Model, Prompt: prompt, Tokens: onlineTokens, Class: "online"}
		},
		Expect: func(r loadgenerator.Request) string {
			return engineemulator.Answer("user: "+r.Prompt+"\n", r.Tokens)
		},
	})
	generator.Run(ctx)
	report := generator.Class("online").Report("online")
	if report.Correct != report.Sent || report.Sent == 0 {
		return report, fmt.Errorf("%w: online: %d of %d: %v", ErrWrong, report.Correct, report.Sent, generator.Errors())
	}
	return report, nil
}

// onlineWithBatch runs online requests and a batch job at the same time.
func onlineWithBatch(ctx context.Context, site *sitebuilder.Site, spec sitebuilder.Spec, report *SiteReport) error {
	var group sync.WaitGroup
	var onlineErr, batchErr error
	group.Go(func() { report.WithBatch, onlineErr = online(ctx, site, spec, 2) })
	group.Go(func() { batchErr = batch(ctx, site, spec, report) })
	group.Wait()
	return errors.Join(onlineErr, batchErr)
}

// batch runs a batch job and checks its results, which it reads from another VM.
func batch(ctx context.Context, site *sitebuilder.Site, spec sitebuilder.Spec, report *SiteReport) error {
	ctx, cancel := context.WithTimeout(ctx, batchLimit)
	defer cancel()
	caller := site.Requester(site.VMs[0], sitebuilder.BatchToken)
	input := sitebuilder.BatchInput(spec.Model, "proof", batchItems, batchTokens)
	file, err := caller.Upload(ctx, "lot.jsonl", strings.NewReader(input))
	if err != nil {
		return err
	}
	started := time.Now()
	job, err := caller.Submit(ctx, file.ID, "/v1/chat/completions", "1h", "demo")
	for err == nil && job.Status == "in_progress" {
		time.Sleep(pollPeriod)
		job, err = caller.Status(ctx, job.ID)
	}
	if err != nil {
		return err
	}
	report.BatchItems = job.RequestCounts.Completed
	report.ItemsPerSecond = float64(report.BatchItems) / time.Since(started).Seconds()
	reader := site.Requester(site.VMs[len(site.VMs)-1], sitebuilder.BatchToken)
	var results strings.Builder
	if err := reader.Results(ctx, job.ID, &results); err != nil {
		return err
	}
	return checkResults(results.String())
}

// checkResults returns ErrWrong unless each item has exactly one correct answer.
func checkResults(results string) error {
	seen := map[string]bool{}
	for line := range strings.Lines(results) {
		id, text, err := parseResult(line)
		if err != nil {
			return err
		}
		prompt := "user: proof item " + strings.TrimPrefix(id, "proof-") + "\n"
		if seen[id] || text != engineemulator.Answer(prompt, batchTokens) {
			return fmt.Errorf("%w: batch item %s", ErrWrong, id)
		}
		seen[id] = true
	}
	if len(seen) != batchItems {
		return fmt.Errorf("%w: %d of %d batch items", ErrWrong, len(seen), batchItems)
	}
	return nil
}

// callService sends a call that may run only once through three VMs, with the same
// idempotency key, and returns the number of times that it ran.
func callService(ctx context.Context, site *sitebuilder.Site, spec sitebuilder.Spec) (int, error) {
	path := singleCall(spec)
	body := []byte(`{"order":"panel 12"}`)
	for _, vm := range site.VMs[:3] {
		if _, err := site.Requester(vm, sitebuilder.OnlineToken).
			Call(ctx, "POST", spec.Service, path, "order-12", body); err != nil {
			return 0, err
		}
		// Until the call's outcome is durable, a retry is answered that the call may
		// have run.
		time.Sleep(callSettleTime)
	}
	runs := 0
	for _, service := range site.Services {
		runs += service.Runs(string(body))
	}
	if runs != 1 {
		return runs, fmt.Errorf("%w: a call that may not be repeated ran %d times", ErrWrong, runs)
	}
	return runs, nil
}

// callSettleTime is the time after which the outcome of a call is durable.
const callSettleTime = 500 * time.Millisecond

// Write prints the report as a table.
func (r Report) Write(to io.Writer) {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "site\tVMs\tupstreams\trequests\tfirst token p50/p99\twith batch p50/p99\tbatch items/s")
	for _, s := range r.Sites {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.1f/%.1f ms\t%.1f/%.1f ms\t%.0f\n",
			s.Site, s.VMs, s.Upstreams, s.Alone.Sent+s.WithBatch.Sent, s.Alone.FirstP50, s.Alone.FirstP99,
			s.WithBatch.FirstP50, s.WithBatch.FirstP99, s.ItemsPerSecond)
	}
	_ = table.Flush()
	_, _ = fmt.Fprintln(to, "\nEvery answer was right. Next: docs/ARCHITECTURE.md, docs/OPERATIONS.md,")
	_, _ = fmt.Fprintln(to, "and `fescuespindle experiment list` for the measurements.")
}
