// Package tracker keeps statistics of a lane's requests on one VM: the latency of
// first tokens, and how often prompts share their prefix.
package tracker

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	trackedLatencies = 256 // most recent ones
	refreshEvery     = 16  // latencies between two computations of the quantiles
	highPercentile   = 95
)

// Latency keeps the median and the 95th percentile of recent latencies.
type Latency struct {
	mu           sync.Mutex
	recent       []time.Duration
	next         int
	sinceRefresh int
	p95          atomic.Int64
	median       atomic.Int64
}

// NewLatency returns an empty tracker.
func NewLatency() *Latency {
	return &Latency{recent: make([]time.Duration, 0, trackedLatencies)}
}

// Add records a latency. The quantiles are computed for each of the first latencies and
// then for every refreshEvery-th.
func (t *Latency) Add(latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.recent) < trackedLatencies {
		t.recent = append(t.recent, latency)
	} else {
		t.recent[t.next] = latency
		t.next = (t.next + 1) % trackedLatencies
	}
	t.sinceRefresh++
	if t.sinceRefresh < refreshEvery && len(t.recent) > refreshEvery {
		return
	}
	t.sinceRefresh = 0
	sorted := slices.Clone(t.recent)
	slices.Sort(sorted)
	t.p95.Store(int64(sorted[len(sorted)*highPercentile/100]))
	t.median.Store(int64(sorted[len(sorted)/2]))
}

// Median returns the median of the recent latencies, or 0 if there are none.
func (t *Latency) Median() time.Duration {
	return time.Duration(t.median.Load())
}

// P95 returns the 95th percentile of the recent latencies, or 0 if there are none.
func (t *Latency) P95() time.Duration {
	return time.Duration(t.p95.Load())
}
