package dispatcher

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/admitter"
	"github.com/fescuespindle/fescuespindle/internal/chooser"
)

// Lane is what the requests of one model or service share on a VM. It outlives
// the pools that configuration and membership put into it.
type Lane struct {
	name     string
	pool     atomic.Pointer[chooser.Pool]
	queue    *admitter.Queue
	first    *latencyTracker
	prompts  promptTracker
	prefixes *prefixTracker
}

// NewLane returns a lane with an empty pool.
func NewLane(name string, now func() time.Time) *Lane {
	l := &Lane{name: name, first: newLatencyTracker(), prefixes: newPrefixTracker()}
	l.pool.Store(chooser.NewPool(nil))
	l.queue = admitter.New(l.hasRoom, now)
	return l
}

// Name returns the name of the model or service.
func (l *Lane) Name() string { return l.name }

// Pool returns the upstreams in force.
func (l *Lane) Pool() *chooser.Pool { return l.pool.Load() }

// SetPool replaces the upstreams.
func (l *Lane) SetPool(pool *chooser.Pool) {
	l.pool.Store(pool)
	l.queue.Poll()
}

// Queue returns the line in which requests wait for room.
func (l *Lane) Queue() *admitter.Queue { return l.queue }

// hasRoom tells whether the pool can take one request on top of more others,
// for a caller with a standing.
func (l *Lane) hasRoom(more int, standing chooser.Standing) bool {
	return l.Pool().HasRoom(more, standing, time.Now())
}

const (
	trackedLatencies = 256
	refreshEvery     = 16
)

// latencyTracker keeps a high quantile of recent latencies.
type latencyTracker struct {
	mu      sync.Mutex
	recent  []time.Duration
	next    int
	fresh   int
	current atomic.Int64
	middle  atomic.Int64
}

func newLatencyTracker() *latencyTracker {
	return &latencyTracker{recent: make([]time.Duration, 0, trackedLatencies)}
}

// add takes one latency.
func (t *latencyTracker) add(latency time.Duration) {
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
	t.current.Store(int64(sorted[len(sorted)*hedgePercentile/100]))
	t.middle.Store(int64(sorted[len(sorted)/2]))
}

// median returns the middle of the recent latencies, or 0 while there are too
// few.
func (t *latencyTracker) median() time.Duration {
	return time.Duration(t.middle.Load())
}

// high returns the quantile, or 0 while there are too few latencies.
func (t *latencyTracker) high() time.Duration {
	return time.Duration(t.current.Load())
}
