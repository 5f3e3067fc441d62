// Package tracker keeps what a VM learns of a lane from the requests that pass:
// how long first tokens take, and whether prompts share their beginnings.
package tracker

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	trackedLatencies = 256
	refreshEvery     = 16
	highPercentile   = 95
)

// Latency keeps a high quantile of recent latencies.
type Latency struct {
	mu      sync.Mutex
	recent  []time.Duration
	next    int
	fresh   int
	current atomic.Int64
	middle  atomic.Int64
}

// NewLatency returns a tracker without latencies.
func NewLatency() *Latency {
	return &Latency{recent: make([]time.Duration, 0, trackedLatencies)}
}

// Add takes one latency.
func (t *Latency) Add(latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.recent) < trackedLatencies {
		t.recent = append(t.recent, latency)
	} else {
		t.recent[t.next] = latency
		t.next = (t.next + 1) % trackedLatencies
	}
	t.fresh++
	if t.fresh < refreshEvery && len(t.recent) > refreshEvery {
		return
	}
	t.fresh = 0
	sorted := slices.Clone(t.recent)
	slices.Sort(sorted)
	t.current.Store(int64(sorted[len(sorted)*highPercentile/100]))
	t.middle.Store(int64(sorted[len(sorted)/2]))
}

// Median returns the middle of the recent latencies, or 0 while there are too
// few.
func (t *Latency) Median() time.Duration {
	return time.Duration(t.middle.Load())
}

// P95 returns the quantile, or 0 while there are too few latencies.
func (t *Latency) P95() time.Duration {
	return time.Duration(t.current.Load())
}
