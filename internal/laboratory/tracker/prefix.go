package tracker

import "sync"

const (
	// trackedPrefixes is the number of recent requests whose prefixes are kept.
	trackedPrefixes = 1024
	// reuseWeight is the weight of a new request in the moving average of reuse.
	reuseWeight = 0.04
	// startReuse is the initial value of the average, before the first request.
	startReuse = 0.3
	// sharedReuse is the average from which a prefix counts as shared even if it is
	// new.
	sharedReuse = 0.1
)

// Prefixes estimates whether prompts share prefixes. Routing a prompt to an upstream
// that caches its prefix pays off only if other prompts share the prefix.
type Prefixes struct {
	mu     sync.Mutex
	recent [trackedPrefixes]uint64
	next   int
	counts map[uint64]int
	reuse  float64
}

// NewPrefixes returns a tracker that initially assumes startReuse.
func NewPrefixes() *Prefixes {
	return &Prefixes{counts: map[uint64]int{}, reuse: startReuse}
}

// Shared records a request's prefix and returns it if it is likely to be shared, or
// 0 otherwise.
func (t *Prefixes) Shared(prefix uint64) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := t.counts[prefix] > 0
	reused := 0.0
	if seen {
		reused = 1
	}
	t.reuse += reuseWeight * (reused - t.reuse)
	t.add(prefix)
	if seen || t.reuse >= sharedReuse {
		return prefix
	}
	return 0
}

func (t *Prefixes) add(prefix uint64) {
	oldest := t.recent[t.next]
	if t.counts[oldest] > 1 {
		t.counts[oldest]--
	} else {
		delete(t.counts, oldest)
	}
	t.recent[t.next] = prefix
	t.next = (t.next + 1) % trackedPrefixes
	t.counts[prefix]++
}
