package experimenter

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/faces/operator"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/sitebuilder"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
)

var controlCost = Experiment{
	Name:    "control-cost",
	Summary: "processor time, memory and bytes of an idle and a busy VM, by the number of VMs",
	run:     runControlCost,
}

const (
	costLength        = 8 * time.Second
	enginesPerVM      = 3
	busyRatePerVM     = 2
	busyTokens        = 8
	bytesPerKilobyte  = 1000
	percent           = 100
	bytesPerMegabyte  = 1 << 20
	bytesMetric       = `fescuespindle_peer_bytes_total{direction="sent"}`
	messagesMetric    = `fescuespindle_peer_messages_total{direction="sent"`
	storeReadsMetric  = `fescuespindle_store_reads_total`
	storeWritesMetric = `fescuespindle_store_transactions_total`
)

func runControlCost(ctx context.Context, p Parameters) (Result, error) {
	result := Result{Policies: map[string]Metrics{}}
	for _, vms := range []int{4, 12, 24, 48} {
		spec := sitebuilder.SingleDomain(vms, enginesPerVM*vms)
		err := withBench(ctx, p, spec, func(b *bench) error {
			result.VMs, result.Upstreams = vms, len(b.site.Engines)
			result.Policies[fmt.Sprintf("idle%02d", vms)] = b.measureCost(ctx, 0)
			result.Policies[fmt.Sprintf("busy%02d", vms)] = b.measureCost(ctx, busyRatePerVM)
			return nil
		})
		if err != nil {
			return result, err
		}
	}
	idle := result.Policies["idle48"]
	result.Criteria = []Criterion{
		atMost("percent of a core of an idle VM at 48", 1.3, idle["corePercentPerVM"]),
		atMost("memory of an idle VM at 48, megabytes", 256, idle["heapMegabytesPerVM"]),
		atMost("kilobytes a second of an idle VM at 48", 5,
			idle["peerKilobytesPerSecondPerVM"]+idle["platformKilobytesPerSecondPerVM"]),
	}
	return result, nil
}

// measureCost returns the processor time, memory and traffic of a VM. The values for
// processor time and memory are upper bounds, since the stand-ins run in the same
// process.
func (b *bench) measureCost(ctx context.Context, ratePerVM float64) Metrics {
	length := b.p.length(costLength)
	before := b.sumMetrics()
	storeBefore, bytesBefore := b.site.Store.Counts(), b.site.StoreBytes()
	cpu := processorTime()
	started := time.Now()
	if ratePerVM > 0 {
		rate := ratePerVM * float64(len(b.site.VMs))
		b.online(ctx, onlineLoad{rate: rate, length: length, generate: b.short(promptWords, busyTokens)})
	} else {
		sleeper.Sleep(ctx, length)
	}
	seconds := time.Since(started).Seconds()
	perVM := 1 / (seconds * float64(len(b.site.VMs)))
	after := b.sumMetrics()
	storeAfter, bytes := b.site.Store.Counts(), b.site.StoreBytes()-bytesBefore
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return Metrics{
		"corePercentPerVM":                 percent * (processorTime() - cpu).Seconds() * perVM,
		"heapMegabytesPerVM":               float64(memory.HeapAlloc) / bytesPerMegabyte / float64(len(b.site.VMs)),
		"peerKilobytesPerSecondPerVM":      (after[bytesMetric] - before[bytesMetric]) / bytesPerKilobyte * perVM,
		"peerMessagesPerSecondPerVM":       (after[messagesMetric] - before[messagesMetric]) * perVM,
		"platformKilobytesPerSecondPerVM":  float64(bytes) / bytesPerKilobyte * perVM,
		"storeReadsPerSecondPerVM":         (after[storeReadsMetric] - before[storeReadsMetric]) * perVM,
		"storeTransactionsPerSecondPerVM":  (after[storeWritesMetric] - before[storeWritesMetric]) * perVM,
		"listReadsPerSecondPerVM":          perVM * float64(storeAfter.Reads-storeBefore.Reads),
		"platformTransactionsPerSecondAll": float64(storeAfter.Transactions-storeBefore.Transactions) / seconds,
	}
}

// sumMetrics returns the sums over all VMs of the metrics that addMetric selects. It
// skips VMs that don't answer.
func (b *bench) sumMetrics() map[string]float64 {
	sums := map[string]float64{}
	for _, vm := range b.site.VMs {
		response, err := http.Get(vm.OperatorURL() + operator.PathMetrics)
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		for line := range strings.Lines(string(text)) {
			addMetric(sums, strings.TrimSpace(line))
		}
	}
	return sums
}

// addMetric adds the value on a line of metrics text to the sum of the metric whose
// name the line begins with, if it is one of those measured.
func addMetric(sums map[string]float64, line string) {
	name, value, found := strings.Cut(line, " ")
	number, err := strconv.ParseFloat(value, 64)
	if !found || err != nil {
		return
	}
	for _, metric := range []string{bytesMetric, messagesMetric, storeReadsMetric, storeWritesMetric} {
		if strings.HasPrefix(name, metric) {
			sums[metric] += number
		}
	}
}
